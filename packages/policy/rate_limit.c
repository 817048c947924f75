/*
 * Token bucket whose rate and depth follow the limit that was named last.
 */
#include "rate_limit.h"

/*
 * A server is sent a call at this rate even if it names a lower limit: only an
 * answer tells that the limit has ended.
 */
#define RATE_MIN_PER_S 0.5
/* Depth of the bucket: one call, and the calls of this time. */
#define BURST_S 0.25
#define BURST_MIN 1.0 /* calls */

/* Of the rate; bounds the estimated wait of the least urgent calls. */
#define SHARE_LEFT_MIN 0.01
#define ROUNDING_TOKENS 1e-6

static double get_burst(const struct rate_limit *l);

/*
 * Starts or changes the limit. A new one starts with one call, since the server
 * is busy with those that were sent before.
 */
void
set_rate_limit(struct rate_limit *l, double per_s, int64_t now)
{
	refill_rate_limit(l, now);
	if (!l->active) {
		l->tokens = BURST_MIN;
		l->refilled_at = now;
	}
	l->active = true;
	l->per_s = per_s > RATE_MIN_PER_S ? per_s : RATE_MIN_PER_S;
	if (l->tokens > get_burst(l))
		l->tokens = get_burst(l);
}

void
clear_rate_limit(struct rate_limit *l)
{
	*l = (struct rate_limit){0};
}

void
refill_rate_limit(struct rate_limit *l, int64_t now)
{
	if (!l->active || now <= l->refilled_at)
		return;
	l->tokens +=
	    l->per_s * (double)(now - l->refilled_at) / (double)NSEC_PER_SEC;
	l->refilled_at = now;
	if (l->tokens > get_burst(l))
		l->tokens = get_burst(l);
}

void
consume_rate_limit(struct rate_limit *l)
{
	if (l->active)
		l->tokens -= 1;
}

bool
has_rate_room(const struct rate_limit *l)
{
	return !l->active || l->tokens >= 1 - ROUNDING_TOKENS;
}

/*
 * Estimates the wait for the token of a call. What is in the bucket goes to more
 * urgent calls in the same proportion as what comes in.
 */
double
get_rate_wait_ns(const struct rate_limit *l, double ahead, double urgent_per_s)
{
	double left = l->per_s - urgent_per_s;

	if (!l->active || (has_rate_room(l) && ahead < l->tokens))
		return 0;
	if (left < SHARE_LEFT_MIN * l->per_s)
		left = SHARE_LEFT_MIN * l->per_s;
	return (ahead + 1 - l->tokens * left / l->per_s) / left *
	       (double)NSEC_PER_SEC;
}

static double
get_burst(const struct rate_limit *l)
{
	return BURST_MIN + BURST_S * l->per_s;
}
