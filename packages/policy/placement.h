/*
 * Choice of a serving node for a call: the one with the least chance of a late
 * answer, with a price on leaving the availability zone. Pure.
 */
#ifndef PLACEMENT_H
#define PLACEMENT_H

#include "base.h"

/* One serving node of the service. */
struct placement_option {
	bool usable;
	bool tried; /* the call was there before */
	bool avoided; /* failed a moment ago */
	bool same_zone;
	int slots; /* calls that it may run at a time */
	int own; /* calls of this node there now */
	bool reported; /* the next fields are known */
	int64_t report_age; /* ns */
	int in_flight; /* calls of all nodes there when it reported */
	int queued;
	int own_at_report; /* of these, calls of this node */
	int64_t service_ns; /* mean time of a run; 0: not known */
	double failed; /* recent share of failed runs, 0..1 */
	int64_t body_wait_ns; /* until a body could begin to come */
};

struct placement_call {
	int64_t target_left; /* ns until an answer is late */
	int64_t deadline_left; /* ns until nobody waits any more */
	int64_t run_ns; /* mean time of a run of this kind; 0: not known */
	size_t body_len;
};

/*
 * Returns the place of the best option, ERR_NOT_FOUND when none is usable or
 * all were tried.
 */
int choose_placement(const struct placement_option *options, size_t count,
    const struct placement_call *call, struct rng *r);

#endif
