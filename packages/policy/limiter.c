/*
 * Concurrency limit of one backend server: additive increase, multiplicative
 * decrease by the ratio of service times to their baseline.
 */
#include "limiter.h"

#define WINDOW_SAMPLES 20 /* with fewer, one slow call lowers the limit */
#define WINDOW_NS (100 * NSEC_PER_MSEC) /* shortest measuring window */
/* Mean ratio above which the latency counts as grown. */
#define GROWTH_RATIO 1.6
#define RATIO_MAX 4.0 /* bounds the effect of one stuck call */
#define CUT_FACTOR 0.85 /* of the limit, on growth */
#define RISE_SHARE 0.05 /* of the slots, for a window without growth */
/* Of the slots; the picker, not the limit, handles a dead server. */
#define MIN_LIMIT_SHARE 0.2
/* The sheds of one burst lower the limit once. */
#define SHED_CUT_INTERVAL_NS (100 * NSEC_PER_MSEC)
/* A cold server may use all of its slots after this time. */
#define WARMUP_NS (10 * NSEC_PER_SEC)
#define WARMUP_START_SHARE 0.2 /* of the slots, at a cold start */

static void close_window(struct limiter *l, int64_t now);
static double get_min_limit(const struct limiter *l);
static void cut_limit(struct limiter *l, double new_limit, int64_t now);

/*
 * Starts the limit at the announced slots. For a cold server get_limit() raises
 * it from a share of them during the warm-up.
 */
void
start_limiter(struct limiter *l, int slots, bool cold, int64_t now)
{
	*l = (struct limiter){.slots = slots < 1 ? 1 : slots,
	    .warmup_start = cold ? now : INT64_MIN,
	    .window_start = now,
	    .no_cut_before = now};
	l->limit = l->slots;
}

/*
 * Sets the announced slots, keeps the limit's share of them and starts a new
 * window.
 */
void
set_limiter_slots(struct limiter *l, int slots, int64_t now)
{
	double share = l->limit / l->slots;

	l->slots = slots < 1 ? 1 : slots;
	l->limit = share * l->slots;
	l->window_start = now;
	l->ratio_sum = 0;
	l->ratio_count = 0;
}

/*
 * Adds one finished call. ratio is its service time over the baseline of its
 * row. A window closes after enough calls and time: growth lowers the limit,
 * otherwise it rises.
 */
void
add_limiter_sample(struct limiter *l, double ratio, int64_t now)
{
	l->ratio_sum += ratio > RATIO_MAX ? RATIO_MAX : ratio;
	l->ratio_count++;
	if (l->ratio_count >= WINDOW_SAMPLES &&
	    now - l->window_start >= WINDOW_NS)
		close_window(l, now);
}

/*
 * Records that the backend server shed a call. It has fewer free slots than
 * announced, so the limit falls below in_flight, which includes that call.
 */
void
add_limiter_shed(struct limiter *l, int in_flight, int64_t now)
{
	double below = in_flight - 1;

	if (now < l->no_cut_before)
		return;
	cut_limit(l,
	    below < l->limit * CUT_FACTOR ? below : l->limit * CUT_FACTOR, now);
	l->no_cut_before = now + SHED_CUT_INTERVAL_NS;
}

/* Returns the number of calls that may be in flight now. */
int
get_limit(const struct limiter *l, int64_t now)
{
	double limit = l->limit;
	int n;

	if (l->warmup_start != INT64_MIN && now - l->warmup_start < WARMUP_NS) {
		double done = (double)(now - l->warmup_start) / WARMUP_NS;
		double warm = l->slots * (WARMUP_START_SHARE +
					     (1 - WARMUP_START_SHARE) * done);

		limit = limit < warm ? limit : warm;
	}
	n = (int)(limit + 1e-9);
	if (n < 1)
		n = 1;
	return n < l->slots ? n : l->slots;
}

/* Evaluates the window, adjusts the limit and starts the next window. */
static void
close_window(struct limiter *l, int64_t now)
{
	double mean = l->ratio_sum / l->ratio_count;

	if (mean > GROWTH_RATIO) {
		cut_limit(l, l->limit * CUT_FACTOR, now);
	} else {
		double step = l->slots * RISE_SHARE;

		l->limit += step > 0.5 ? step : 0.5;
		if (l->limit > l->slots)
			l->limit = l->slots;
	}
	l->window_start = now;
	l->ratio_sum = 0;
	l->ratio_count = 0;
}

/*
 * Returns the lower bound of the limit, which leaves enough calls to measure a
 * recovery.
 */
static double
get_min_limit(const struct limiter *l)
{
	double low = l->slots * MIN_LIMIT_SHARE;

	return low < 1 ? 1 : low;
}

/* Lowers the limit, at most to its lower bound, and starts a new window. */
static void
cut_limit(struct limiter *l, double new_limit, int64_t now)
{
	double min_limit = get_min_limit(l);

	if (new_limit < l->limit)
		l->limit = new_limit < min_limit ? min_limit : new_limit;
	l->window_start = now;
	l->ratio_sum = 0;
	l->ratio_count = 0;
}
