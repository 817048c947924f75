/*
 * State of an admission, and estimates of waits and service times based on it.
 * Internal to the package.
 */
#ifndef ESTIMATE_H
#define ESTIMATE_H

#include "inflow.h"
#include "limiter.h"
#include "rate_limit.h"
#include "sharing.h"

/*
 * A call waits in the base queue only while this many mean service times are
 * left before its target. For the typical skewed distribution nearly three of
 * four calls take less; with a smaller factor, an overload would fill the slots
 * with calls that mostly end late.
 */
#define TARGET_SERVICE_FACTOR 1.2

struct admission {
	const struct slot_scheduler *policy;
	struct scheduler_view view;
	struct limiter limiter;
	struct inflow inflow;
	struct rate_limit rate; /* named by the backend server */
	bool fixed_limit;
	bool draining;
	int64_t accrued_at; /* mono ns; see accrue_queues() */
	int64_t free_slot_at; /* mono ns; when a late call could last start */
	uint64_t next_seq;
};

/* Whether a call that starts now would probably miss its deadline. */
bool is_too_late_to_start(const struct admission *a, const struct row_queue *q,
    const struct admission_call *c, int64_t now);
/* Time in ns that must be left until the deadline for a call to be started. */
int64_t get_start_need_ns(const struct admission *a, const struct row_queue *q);
/* Whether a new call would probably miss its deadline. */
bool misses_deadline(const struct admission *a, const struct row_queue *q,
    const struct admission_call *c, int64_t now);
/* How long a new call of a row waits, ns. */
double estimate_wait(const struct admission *a, const struct row_queue *q);
/* The queue whose estimates apply to the calls of q. */
const struct row_queue *get_base_queue(
    const struct admission *a, const struct row_queue *q);
/* Whether a new call would probably miss its target. */
bool misses_target(const struct admission *a, const struct row_queue *q,
    const struct admission_call *c, int64_t now);
/* Time until the body of a new call has been received, ns. */
double estimate_body_wait(const struct admission *a, const struct row_queue *q,
    const struct admission_call *c);
/* Retry delay of a call that was refused because of its target, ns. */
int64_t get_late_retry_after(const struct admission *a,
    const struct row_queue *q, const struct admission_call *c, int64_t now);
/* Time after which another attempt here may succeed, ns; 0: unknown. */
int64_t get_retry_after(const struct admission *a, const struct row_queue *q,
    enum refuse_reason reason);
/* Time to transfer all outstanding and waiting bodies, ns. */
int64_t get_body_wait(const struct admission *a);
/* Whether late calls may wait: a slot was free for them recently. */
bool may_queue_late(const struct admission *a, int64_t now);

#endif
