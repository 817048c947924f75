/*
 * The queue of one table row at one backend server: its cells, its waiting
 * calls and their order, its calls in flight and its estimates. Internal to the
 * package.
 */
#ifndef LANE_H
#define LANE_H

#include "account_share.h"
#include "admission.h"

/*
 * State of a row, or of the late calls of a row, which have a queue of their
 * own.
 */
struct row_queue {
	bool used; /* this entry is in use */
	bool retired; /* row left the table; freed when empty */
	int late_queue; /* of a base queue: index of its late queue, or -1 */
	int base_queue; /* of a late queue: index of the base queue, else -1 */
	char kind[TABLE_NAME_BYTES];
	int rank;
	bool urgent; /* served before all ranks */
	int own_rank; /* of its accounts, replaces the row's; 0: none */
	struct account_shares shares; /* of a base queue */
	size_t delayed; /* waiting calls beyond the share of their account */
	int weight;
	int floor_pct;
	int limit_pct;
	int queue_max;
	int64_t target_ns;
	/*
	 * Callers wait for several targets, so a late answer still has a use.
	 */
	bool patient;

	struct admission_call **heap; /* waiting calls, next one first */
	size_t waiting;
	size_t heap_cap;
	bool by_deadline; /* heap ordered by sort_key, else by arrival */

	int in_flight;
	double service_ns; /* recent mean; 0: unknown */
	double deviation_ns; /* recent mean deviation */
	double baseline_ns; /* long-run mean under good conditions */
	uint64_t sample_count;

	double floor_credit; /* slot-ns; see accrue_queue() */
	double vtime; /* virtual time: slot-ns over weight; fair only */
	double body_bytes; /* recent mean over offered bodies */
	double mean_in_flight; /* recent mean of in_flight */
	double started_per_s; /* recent rate of started calls */
	bool overflowed; /* overflowed and has not been empty since */
	bool link_blocked; /* its next call's body waits for the link */
};

void set_queue_row(struct row_queue *q, const struct row *r, bool by_deadline);
void clear_queue(struct row_queue *q);
int push_call(struct row_queue *q, struct admission_call *c); /* ERR_MEMORY */
void remove_call(struct row_queue *q, struct admission_call *c);
void rebuild_heap(struct row_queue *q);
struct admission_call *get_first_call(const struct row_queue *q); /* or NULL */
void add_service_sample(struct row_queue *q, double service_ns);
double get_slow_service_ns(const struct row_queue *q); /* few calls exceed it */
double get_floor_slots(const struct row_queue *q, int limit);
int get_limit_slots(const struct row_queue *q, int limit); /* at least 1 */
void add_started_call(struct row_queue *q);
/* Advances the time-weighted state by dt ns. */
void accrue_queue(struct row_queue *q, int limit, double dt);
/* Whether a new call should be refused because of a lasting overload. */
bool is_overloaded(const struct row_queue *q);
/* Whether a waiting call could start now if it got a slot. */
bool has_startable_call(const struct row_queue *q);
/* Whether the row is owed a slot of its floor now. */
bool is_owed_floor(const struct row_queue *q, int limit);

#endif
