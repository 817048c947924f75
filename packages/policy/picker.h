/*
 * Choice of an endpoint of one service at the entry node, based on what this
 * node measures and the load that answers report. Pure: the caller passes the
 * monotonic time and serializes access.
 */
#ifndef PICKER_H
#define PICKER_H

#include "outcome.h"

#define PICKER_TRIED_MAX 8 /* endpoints that a call can avoid */

struct picker;

/* States of an endpoint; equal to wire_endpoint_state. */
enum picker_state {
	PICKER_STARTING = 0, /* never picked */
	PICKER_READY = 1,
	PICKER_DRAINING = 2, /* never picked */
	PICKER_GONE = 3, /* never picked */
	PICKER_SUSPECT = 4, /* picked only if there is no other */
};

/* One announced endpoint. Strings are copied. */
struct picker_endpoint {
	struct str id; /* node name */
	uint64_t incarnation;
	struct str address; /* "IP:port" */
	struct str zone;
	int slots;
	enum picker_state state;
};

struct picker_config {
	struct str zone; /* of this node */
	uint64_t seed;
};

/* Refers to an endpoint of a picker, also after the set has changed. */
struct pick_ref {
	uint32_t index;
	uint32_t generation; /* 0: no endpoint */
};

/* A picked endpoint; its strings are valid until end_pick(). */
struct pick {
	struct pick_ref ref;
	const char *id;
	const char *address;
	bool same_zone;
	bool tried_before; /* it was in the list of tried endpoints */
};

/* Load returned on an answer (X-Ggs-Load). */
struct returned_load {
	bool known;
	int in_flight;
	int queued;
	int slots;
};

/* How an attempt at an endpoint ended. */
struct pick_result {
	enum call_outcome outcome;
	enum refuse_reason reason; /* of a refusal */
	int status; /* of a failure: below 500 is a caller error */
	bool cancelled; /* no information about the endpoint */
	int64_t latency_ns;
	struct returned_load load;
};

/* Counts for metrics. */
struct picker_counts {
	int listed; /* READY or SUSPECT */
	int selectable; /* listed and not ejected */
	int ejected;
	int in_flight; /* over all endpoints, also removed ones */
};

int create_picker(const struct picker_config *cfg, struct picker **out);
void destroy_picker(struct picker *p);

/*
 * Replaces the set; endpoints that stay keep their measurements. Returns
 * ERR_LIMIT or ERR_MEMORY.
 */
int set_picker_endpoints(struct picker *p, const struct picker_endpoint *eps,
    size_t count, int64_t now);

/*
 * Picks an endpoint and counts a call in flight there until end_pick().
 * ERR_NOT_FOUND: no endpoint may be picked.
 */
int pick_endpoint(struct picker *p, const struct pick_ref *tried,
    size_t tried_count, int64_t now, struct pick *out);
/* Ends an attempt; must be called once for each pick. */
int end_pick(struct picker *p, struct pick_ref ref,
    const struct pick_result *result, int64_t now);

/* Queries */
/* Whether an endpoint that is not in tried is selectable. */
bool has_other_endpoint(const struct picker *p, const struct pick_ref *tried,
    size_t tried_count, int64_t now);
struct picker_counts get_picker_counts(const struct picker *p, int64_t now);
int64_t get_mean_latency(const struct picker *p); /* ns; 0: unknown */
/* Parse and render X-Ggs-Load: "in_flight=3 queued=0 slots=20". */
int parse_load(struct str value, struct returned_load *out);
int render_load(const struct returned_load *load, char *out, size_t size);

#endif
