/*
 * Choice of a serving node for a call: the one with the lowest expected loss,
 * mainly the probability of a late answer and the cost of leaving the
 * availability zone. Pure.
 */
#ifndef PLACEMENT_H
#define PLACEMENT_H

#include "base.h"

/* One serving node of the service, as the entry node sees it. */
struct placement_option {
	bool usable;
	bool tried; /* the call was sent there before */
	bool avoided; /* failed recently */
	bool same_zone;
	int slots; /* calls that it runs at a time */
	int own; /* calls of this node in flight there */
	bool reported; /* a load report exists; sets the next fields */
	int64_t report_age; /* ns */
	int in_flight; /* calls of all nodes, as reported */
	int queued;
	int own_at_report; /* calls of this node among them */
	int64_t service_ns; /* mean service time; 0: unknown */
	double failed_share; /* recent share of failed calls, 0..1 */
	int64_t body_wait_ns; /* until a body or a long answer could be sent */
};

struct placement_call {
	int64_t target_left; /* ns until an answer is late; negative: past */
	int64_t deadline_left; /* ns until the caller times out */
	int64_t
	    kind_service_ns; /* mean service time of this kind; 0: unknown */
	size_t body_len;
	/*
	 * Expected length of a long answer; 0: a short one. It uses the same
	 * link as a body, in the other direction.
	 */
	size_t answer_len;
};

/*
 * Returns the index of the best option, or ERR_NOT_FOUND when none is usable or
 * all were tried.
 */
int choose_placement(const struct placement_option *options, size_t count,
    const struct placement_call *call, struct rng *r);

#endif
