/*
 * The state of an admission, and estimates of waits and ends on it. Internal to
 * the package.
 */
#ifndef ESTIMATE_H
#define ESTIMATE_H

#include "inflow.h"
#include "limiter.h"
#include "sharing.h"

/*
 * Mean service times that a call must have left to wait as one that can be in
 * time. Nearly three of four runs are shorter for the usual skewed times; with
 * less, an overload would fill the slots with runs that mostly end late.
 */
#define TARGET_NEED 1.2

struct admission {
	const struct sharing_policy *policy;
	struct sharing_view view;
	struct limiter limiter;
	struct inflow inflow;
	bool fixed_limit;
	bool draining;
	int64_t accrued_at;
	int64_t slack_at; /* last time at which a late call could start */
	uint64_t next_seq;
};

/* Whether a call that starts now ends too late. */
bool is_late(const struct admission *a, const struct lane *l,
    const struct admission_call *c, int64_t now);
/* The time that a call must have left to be started, ns. */
int64_t get_least_run(const struct admission *a, const struct lane *l);
/* Whether a new call cannot end by its deadline. */
bool is_hopeless(const struct admission *a, const struct lane *l,
    const struct admission_call *c, int64_t now);
/* How long a new call of a row waits, ns. */
double estimate_wait(const struct admission *a, const struct lane *l);
/* The lane whose estimates count for the calls of l. */
const struct lane *get_main(const struct admission *a, const struct lane *l);
/* Whether a new call would probably be answered late. */
bool misses_target(const struct admission *a, const struct lane *l,
    const struct admission_call *c, int64_t now);
/* Time until the body of a new call has come, ns. */
double estimate_body_wait(const struct admission *a, const struct lane *l,
    const struct admission_call *c);
/* When a call that was refused as late should come back, ns. */
int64_t get_late_retry(const struct admission *a, const struct lane *l,
    const struct admission_call *c, int64_t now);
/* When another attempt here may succeed, ns. */
int64_t get_retry_after(
    const struct admission *a, const struct lane *l, enum refuse_reason reason);
/* The time for all bodies that are due or wait, ns. */
int64_t get_body_wait(const struct admission *a);
/* Whether slots came free for late calls a moment ago. */
bool may_wait_late(const struct admission *a, int64_t now);

#endif
