/*
 * Concurrency limit of one backend server: at most the announced slots, lower
 * while its latency grows or it sheds calls, and rising slowly after a cold
 * start.
 */
#ifndef LIMITER_H
#define LIMITER_H

#include "base.h"

/* State of one limiter; the caller owns it. */
struct limiter {
	int slots; /* announced */
	double limit; /* 1..slots */
	int64_t warmup_start; /* cold start, mono ns; INT64_MIN: warm */
	int64_t window_start; /* start of the measuring window, mono ns */
	int64_t no_cut_before; /* no further cut by sheds before, mono ns */
	double ratio_sum; /* sum of service times over their row's baseline */
	int ratio_count;
};

void start_limiter(struct limiter *l, int slots, bool cold, int64_t now);
void set_limiter_slots(struct limiter *l, int slots, int64_t now);
/* Adds a finished call: its service time over the baseline of its row. */
void add_limiter_sample(struct limiter *l, double ratio, int64_t now);
void add_limiter_shed(struct limiter *l, int in_flight, int64_t now);
int get_limit(const struct limiter *l, int64_t now); /* 1..slots */

#endif
