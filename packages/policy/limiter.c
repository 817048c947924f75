/*
 * Concurrency limit of one backend server. Additive increase, multiplicative
 * decrease on the ratio of service times to the usual ones.
 */
#include "limiter.h"

#define WINDOW_SAMPLES 20 /* fewer let one slow call cut the limit */
#define WINDOW_NS (100 * NSEC_PER_MSEC) /* shortest measuring window */
#define GROWTH 1.6 /* mean ratio that counts as growth of latency */
#define RATIO_MAX 4.0 /* one stuck call must not outweigh a window */
#define CUT 0.85 /* factor of the limit on growth */
#define RISE 0.05 /* of the slots, per window without growth */
#define LOWEST 0.2 /* of the slots; a dead server is the picker's matter */
#define SHED_HOLD_NS (100 * NSEC_PER_MSEC) /* sheds of one burst cut once */
#define WARM_NS (10 * NSEC_PER_SEC) /* from a cold start to all slots */
#define WARM_FROM 0.2 /* share of the slots at a cold start */

static void close_window(struct limiter *l, int64_t now);
static double get_lowest(const struct limiter *l);
static void cut_limit(struct limiter *l, double to, int64_t now);

/* Starts at the announced slots; a cold server warms up from a share of it. */
void
start_limiter(struct limiter *l, int slots, bool cold, int64_t now)
{
	*l = (struct limiter){.slots = slots < 1 ? 1 : slots,
	    .warm_from = cold ? now : INT64_MIN,
	    .window_from = now,
	    .held_until = now};
	l->limit = l->slots;
}

/* Changes the announced slots and keeps the limit's share of them. */
void
set_limiter_slots(struct limiter *l, int slots, int64_t now)
{
	double share = l->limit / l->slots;

	l->slots = slots < 1 ? 1 : slots;
	l->limit = share * l->slots;
	l->window_from = now;
	l->ratio_sum = 0;
	l->ratio_count = 0;
}

/*
 * Adds one finished call. ratio is its service time over the usual service
 * time of its row. A window closes after enough calls and time: growth cuts
 * the limit, anything else lets it rise.
 */
void
add_limiter_sample(struct limiter *l, double ratio, int64_t now)
{
	l->ratio_sum += ratio > RATIO_MAX ? RATIO_MAX : ratio;
	l->ratio_count++;
	if (l->ratio_count >= WINDOW_SAMPLES &&
	    now - l->window_from >= WINDOW_NS)
		close_window(l, now);
}

/*
 * The server shed a call that this node gave it, so it has fewer free slots
 * than announced: the limit falls below what was in flight.
 */
void
add_limiter_shed(struct limiter *l, int in_flight, int64_t now)
{
	double below = in_flight - 1;

	if (now < l->held_until)
		return;
	cut_limit(l, below < l->limit * CUT ? below : l->limit * CUT, now);
	l->held_until = now + SHED_HOLD_NS;
}

/* Returns the calls that may be in flight now. */
int
get_limit(const struct limiter *l, int64_t now)
{
	double limit = l->limit;
	int n;

	if (l->warm_from != INT64_MIN && now - l->warm_from < WARM_NS) {
		double done = (double)(now - l->warm_from) / WARM_NS;
		double warm = l->slots * (WARM_FROM + (1 - WARM_FROM) * done);

		limit = limit < warm ? limit : warm;
	}
	n = (int)(limit + 1e-9);
	if (n < 1)
		n = 1;
	return n < l->slots ? n : l->slots;
}

/* Judges the window and starts the next one. */
static void
close_window(struct limiter *l, int64_t now)
{
	double mean = l->ratio_sum / l->ratio_count;

	if (mean > GROWTH) {
		cut_limit(l, l->limit * CUT, now);
	} else {
		double step = l->slots * RISE;

		l->limit += step > 0.5 ? step : 0.5;
		if (l->limit > l->slots)
			l->limit = l->slots;
	}
	l->window_from = now;
	l->ratio_sum = 0;
	l->ratio_count = 0;
}

/* The limit never falls below this, so that recovery can be measured. */
static double
get_lowest(const struct limiter *l)
{
	double low = l->slots * LOWEST;

	return low < 1 ? 1 : low;
}

/* Lowers the limit and starts a new window. */
static void
cut_limit(struct limiter *l, double to, int64_t now)
{
	double low = get_lowest(l);

	if (to < l->limit)
		l->limit = to < low ? low : to;
	l->window_from = now;
	l->ratio_sum = 0;
	l->ratio_count = 0;
}
