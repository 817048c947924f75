/*
 * One row of the table at one backend server: its limits, its waiting calls,
 * its calls in flight and its estimates. Internal to the package.
 */
#ifndef LANE_H
#define LANE_H

#include "admission.h"

/* A row's state. Shares of slots are in slots, not in percent. */
struct lane {
	bool used; /* holds a row, current or retired */
	bool retired; /* the row left the table; ends when empty */
	int late; /* lane of the row's late calls; -1: none */
	int main; /* of a lane of late calls: the row's own; else -1 */
	char kind[TABLE_NAME_BYTES];
	int rank;
	bool urgent; /* goes before all ranks */
	int weight;
	int floor_pct;
	int limit_pct;
	int queue_max;
	int64_t target_ns;

	struct admission_call **heap; /* waiting, next one first */
	size_t waiting;
	size_t heap_cap;
	bool by_deadline; /* order of the heap; else by arrival */

	int in_flight;
	double service_ns; /* recent mean; 0: none known */
	double spread_ns; /* recent mean deviation */
	double usual_ns; /* long mean under good conditions */
	uint64_t served;

	double credit; /* slot-ns of the fraction of a floor, see accrue */
	double vtime; /* weighted slot-ns received; weighted fair */
	double body_bytes; /* recent mean of the bodies that were offered */
	double held; /* recent mean of in_flight */
	bool overflowed; /* its queue overflowed and has not emptied since */
	bool held_by_link; /* its next call has a body that must wait */
};

void load_lane(struct lane *l, const struct row *r, bool by_deadline);
void unload_lane(struct lane *l);
int push_call(struct lane *l, struct admission_call *c); /* ERR_MEMORY */
void remove_call(struct lane *l, struct admission_call *c);
void rebuild_heap(struct lane *l);
struct admission_call *get_first_call(const struct lane *l); /* or NULL */
void add_service_sample(struct lane *l, double service_ns);
double get_service_high(const struct lane *l); /* a slow call, ns */
double get_floor_slots(const struct lane *l, int limit);
int get_limit_slots(const struct lane *l, int limit); /* at least 1 */
/* Moves the time-weighted state over dt ns. */
void accrue_lane(struct lane *l, int limit, double dt);
/* Whether a row in overload would serve a new call past its target. */
bool is_overloaded(const struct lane *l);
/* Whether a call of the row could start now, if it gets a slot. */
bool is_lane_ready(const struct lane *l);
/* Whether the row is owed a slot of its floor now. */
bool is_owed_floor(const struct lane *l, int limit);

#endif
