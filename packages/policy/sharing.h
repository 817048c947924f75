/*
 * Scheduling policies: how the rows of one backend server share its slots.
 * Internal to the package.
 */
#ifndef SHARING_H
#define SHARING_H

#include "lane.h"

/* The state that a policy decides on. */
struct scheduler_view {
	struct row_queue *queues;
	size_t queue_count;
	int limit; /* most slots that may be in use */
	int in_flight; /* below limit when a queue is chosen */
	size_t waiting; /* calls, over all queues */
	double vtime; /* virtual time of the queue served last; fair only */
};

struct slot_scheduler {
	const char *name;
	bool bounded; /* queue_max, limit_pct and the adaptive limit apply */
	bool by_deadline; /* order within a queue; else by arrival */
	bool sheds; /* refuses calls that cannot meet their deadline */
	/* Index of the queue to start a call of, or -1 to leave slots free. */
	int (*choose_queue)(const struct scheduler_view *v);
	/* Charges a queue for a started call. */
	void (*charge_queue)(struct scheduler_view *v, struct row_queue *q);
};

const struct slot_scheduler *get_slot_scheduler(enum admission_policy_id id);
/* Whether others wait and the row is at its limit_pct. */
bool is_queue_capped(const struct scheduler_view *v, const struct row_queue *q);

#endif
