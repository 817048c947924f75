/*
 * One endpoint as seen by an entry node: load, spare capacity and slow start.
 * Internal to the package.
 */
#ifndef ENDPOINT_H
#define ENDPOINT_H

#include "ejection.h"
#include "picker.h"

#define ENDPOINT_NAME_BYTES 65 /* longest name on the wire and NUL */
#define ENDPOINT_WARMUP_NS (10 * NSEC_PER_SEC) /* duration of slow start */

/* One endpoint that is listed or still has calls in flight. */
struct endpoint {
	bool used;
	bool listed; /* in the current set */
	uint32_t generation;
	char id[ENDPOINT_NAME_BYTES];
	char address[ENDPOINT_NAME_BYTES];
	uint64_t incarnation;
	bool same_zone;
	int slots;
	enum picker_state state;
	int in_flight; /* calls of this node */
	double latency_ns; /* mean; 0: not measured */
	int64_t latency_at; /* mono ns; last measurement; never set: 0 */
	struct returned_load load;
	int64_t load_at; /* mono ns; when load was received */
	int in_flight_at_load; /* calls of this node when load was received */
	int64_t ready_since; /* mono ns; first announced as ready; slow start */
	struct ejection ejection;
};

bool is_pickable(const struct endpoint *e);
bool is_selectable(const struct endpoint *e, int64_t now);
bool is_endpoint_failure(const struct pick_result *r);
/* Expected calls per slot. */
double get_load(const struct endpoint *e, int64_t now);
/* Share of the capacity that may be used during slow start, up to 1. */
double get_warmup_share(const struct endpoint *e, int64_t now);
bool has_room(const struct endpoint *e, int64_t now);

#endif
