/*
 * Rate at which one backend server accepts calls, as it names it in its
 * answers: a token bucket. Pure: the caller passes the monotonic time.
 */
#ifndef RATE_LIMIT_H
#define RATE_LIMIT_H

#include "base.h"

/* State of one limit; the caller owns it. All zero: unlimited. */
struct rate_limit {
	bool active;
	double per_s; /* calls per second, at least RATE_MIN_PER_S */
	double tokens; /* calls that may start now; below 0 after a resend */
	int64_t refilled_at; /* mono ns */
};

/* Commands */
void set_rate_limit(struct rate_limit *l, double per_s, int64_t now);
void clear_rate_limit(struct rate_limit *l);
void refill_rate_limit(struct rate_limit *l, int64_t now);
void consume_rate_limit(struct rate_limit *l); /* a call is sent */

/* Queries, as of the last refill */
bool has_rate_room(const struct rate_limit *l); /* a call may be sent */
/*
 * Until a call may be sent after ahead others, while more urgent calls keep
 * using urgent_per_s of the rate, ns; 0: now.
 */
double get_rate_wait_ns(
    const struct rate_limit *l, double ahead, double urgent_per_s);

#endif
