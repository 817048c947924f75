/*
 * One endpoint as an entry node sees it: load, room and slow start. Internal to
 * the package.
 */
#ifndef ENDPOINT_H
#define ENDPOINT_H

#include "ejection.h"
#include "picker.h"

#define ENDPOINT_NAME_BYTES 65 /* wire names with NUL */
#define ENDPOINT_WARM_NS (10 * NSEC_PER_SEC) /* slow start of a new endpoint */

/* One endpoint, listed or with calls still in flight. */
struct endpoint {
	bool used;
	bool listed; /* in the present set */
	uint32_t generation;
	char id[ENDPOINT_NAME_BYTES];
	char address[ENDPOINT_NAME_BYTES];
	uint64_t incarnation;
	bool same_zone;
	int slots;
	enum picker_state state;
	int in_flight; /* of this node */
	double latency_ns; /* mean; 0: none measured */
	int64_t latency_at; /* time of the last measurement */
	struct returned_load load;
	int64_t load_at;
	int in_flight_at_load; /* of this node when the load came */
	int64_t since; /* first seen ready; slow start */
	struct ejection ejection;
};

bool is_pickable(const struct endpoint *e);
bool is_selectable(const struct endpoint *e, int64_t now);
bool is_bad_result(const struct pick_result *r);
double get_load(const struct endpoint *e, int64_t now); /* calls per slot */
double get_warmth(const struct endpoint *e, int64_t now); /* up to 1 */
bool has_room(const struct endpoint *e, int64_t now);

#endif
