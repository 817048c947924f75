/*
 * Detects which kinds of calls are made by backend servers: these calls
 * originate only beside the services that make them, while calls of clients
 * originate beside all services. Pure.
 */
#ifndef ORIGINS_H
#define ORIGINS_H

#include "table.h"

#define ORIGINS_MAX 32 /* services that are counted separately */

/*
 * Recent calls of a kind by origin service, the service beside which they
 * began.
 */
struct origin_counts {
	struct origin_counts *next; /* in the list of origins */
	float counts[ORIGINS_MAX];
	float total;
	bool listed;
	bool internal; /* made by backend servers, as of the last check */
	size_t
	    missing_service; /* of an internal kind: service that originates none */
	int calls_since_check; /* calls since the last check */
};

struct origins {
	char services[ORIGINS_MAX][TABLE_NAME_BYTES];
	size_t service_count;
	struct origin_counts *kinds; /* kinds with calls; owned by the caller */
};

/* Counts a call. k is linked into o and must live as long as o is used. */
void count_origin(
    struct origins *o, struct origin_counts *k, struct str service);
bool is_internal_kind(const struct origin_counts *k);

#endif
