/*
 * Hedged sends: recent answer times of a row, when a hedge pays, and whether
 * there is room for it.
 */
#include "hedge.h"

#include <math.h>

#define BUCKETS_PER_OCTAVE 4 /* a bucket is 19% wide */
#define FIRST_BUCKET_NS ((double)NSEC_PER_MSEC)
/* Counts are halved at this total, so that old answers lose weight. */
#define TOTAL_MAX 400.0F
#define TOTAL_MIN 20.0F /* fewer answers give no quantile */
#define TOKENS_MAX 3.0 /* hedges of one burst */
/*
 * A hedge that is to meet the target may go out before the quantile that the
 * share names, but not before most answers have arrived.
 */
#define EARLIEST_QUANTILE 0.8
/*
 * Part of the service's slots that may be in use. Below it nearly every offer
 * finds a free slot at once, so that a hedge delays no other call.
 */
#define USE_MAX 0.7
/*
 * A look that comes later than planned by this follows a suspension of the
 * process: its view of the servers is out of date.
 */
#define OVERDUE_NS (250 * NSEC_PER_MSEC)

static const char *const refusal_names[HEDGE_REFUSAL_COUNT] = {
    [HEDGE_ALLOWED] = "allowed",
    [HEDGE_ATTEMPTS] = "attempts",
    [HEDGE_SHARE] = "share",
    [HEDGE_ROOM] = "room",
    [HEDGE_SERVER] = "server",
    [HEDGE_LATE] = "late",
    [HEDGE_OVERDUE] = "overdue",
    [HEDGE_BUDGET] = "budget",
};

static int find_bucket(int64_t ns);

void
add_answer_time(struct answer_times *t, int64_t ns)
{
	if (t->total >= TOTAL_MAX) {
		t->total = 0;
		for (int i = 0; i < ANSWER_BUCKETS; i++) {
			t->counts[i] /= 2;
			t->total += t->counts[i];
		}
	}
	t->counts[find_bucket(ns)] += 1;
	t->total += 1;
}

/*
 * Returns the upper end of the bucket that the quantile falls into.
 */
int64_t
get_answer_quantile(const struct answer_times *t, double share)
{
	double left = share * (double)t->total;
	int i = 0;

	if (t->total < TOTAL_MIN)
		return 0;
	while (i < ANSWER_BUCKETS - 1 && left > (double)t->counts[i])
		left -= (double)t->counts[i++];
	return (
	    int64_t)(FIRST_BUCKET_NS * exp2((i + 1.0) / BUCKETS_PER_OCTAVE));
}

void
add_hedge_tokens(struct hedge_budget *b, double share)
{
	b->tokens += share;
	if (b->tokens > TOKENS_MAX)
		b->tokens = TOKENS_MAX;
}

/*
 * Waits for as many answers as the share leaves without a hedge. If that is too
 * late for the target, the last moment that serves the target is taken, unless
 * most answers are still to come then. A call whose target is out of reach is
 * hedged for its deadline.
 */
int64_t
plan_hedge(const struct answer_times *t, double share, int64_t started_at,
    int64_t target_at, int64_t deadline)
{
	int64_t typical = get_answer_quantile(t, 0.5);
	int64_t at = started_at + get_answer_quantile(t, 1 - share);
	int64_t last = target_at - typical;

	if (share <= 0 || typical == 0)
		return 0;
	if (at > last &&
	    last >= started_at + get_answer_quantile(t, EARLIEST_QUANTILE))
		at = last;
	return at + typical < deadline ? at : 0;
}

enum hedge_refusal
decide_hedged_send(const struct hedge_input *in, struct hedge_budget *b)
{
	if (in->now - in->planned_at > OVERDUE_NS)
		return HEDGE_OVERDUE;
	if (in->arrivals >= in->attempts_max)
		return HEDGE_ATTEMPTS;
	if (in->now + in->typical_ns >= in->deadline)
		return HEDGE_LATE;
	if ((double)in->calls > USE_MAX * (double)in->slots)
		return HEDGE_ROOM;
	if (!in->has_server)
		return HEDGE_SERVER;
	if (b->tokens < 1)
		return HEDGE_SHARE;
	b->tokens -= 1;
	return HEDGE_ALLOWED;
}

const char *
get_hedge_refusal_name(enum hedge_refusal r)
{
	return refusal_names[r];
}

static int
find_bucket(int64_t ns)
{
	double octaves;

	if ((double)ns <= FIRST_BUCKET_NS)
		return 0;
	octaves = log2((double)ns / FIRST_BUCKET_NS) * BUCKETS_PER_OCTAVE;
	return octaves < ANSWER_BUCKETS - 1 ? (int)octaves : ANSWER_BUCKETS - 1;
}
