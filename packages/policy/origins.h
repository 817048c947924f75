/*
 * Learns which kinds of calls are made by backend servers: their calls come
 * only from beside the services whose runs make them, while calls of clients
 * come from beside all services. Pure.
 */
#ifndef ORIGINS_H
#define ORIGINS_H

#include "table.h"

#define ORIGINS_MAX 32 /* services that are told apart */

/* Calls of a kind by the service beside which they began, recent ones. */
struct origin_counts {
	struct origin_counts *next; /* in the list of kinds */
	float counts[ORIGINS_MAX];
	float total;
	bool listed;
	bool inner; /* made by backend servers, as of the last look */
	size_t missing; /* of an inner kind: the service that showed it */
	int unseen; /* calls since then */
};

struct origins {
	char services[ORIGINS_MAX][TABLE_NAME_BYTES];
	size_t service_count;
	struct origin_counts *kinds; /* those with a call, embedded elsewhere */
};

/* Counts a call; the counts stay listed as long as the origins are used. */
void count_origin(
    struct origins *o, struct origin_counts *k, struct str service);
bool is_inner_kind(const struct origin_counts *k);

#endif
