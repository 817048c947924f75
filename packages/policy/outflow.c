/*
 * Estimate of the bytes that a link has not carried yet, and when the next piece
 * of a long answer may follow.
 */
#include "outflow.h"

/*
 * Share of the link's speed that is counted on. The rest carries headers of
 * packets, acknowledgements and what is sent without being counted.
 */
#define USABLE_SHARE 0.9
/*
 * A piece follows while the link needs less than this time for what was sent
 * before, so that it does not idle until a timer runs.
 */
#define SEND_AHEAD_NS (2 * NSEC_PER_MSEC)

static double get_unsent(const struct outflow *f, int64_t now);

/* Counts bytes that were sent now, of long answers and of others. */
void
add_outflow(struct outflow *f, size_t bytes, int64_t now)
{
	if (f->rate <= 0)
		return;
	f->unsent = get_unsent(f, now) + (double)bytes;
	f->at = now;
}

/* Says whether a body of this length is sent in pieces. */
bool
is_paced(const struct outflow *f, size_t body_len)
{
	return f->rate > 0 && body_len > OUTFLOW_LONG_BYTES;
}

bool
has_outflow_room(const struct outflow *f, int64_t now)
{
	return get_outflow_wait_ns(f, 0, now) <= SEND_AHEAD_NS;
}

int64_t
get_outflow_wakeup(const struct outflow *f, int64_t now)
{
	int64_t wait = get_outflow_wait_ns(f, 0, now) - SEND_AHEAD_NS;

	return wait > 0 ? now + wait : now;
}

int
get_outflow_order(const struct outflow *f, size_t left, int64_t target_at,
    int64_t deadline, int64_t now)
{
	if (now >= target_at + (deadline - target_at) / 2)
		return 0;
	return now + get_outflow_wait_ns(f, left, now) <= target_at ? 1 : 2;
}

int64_t
get_outflow_wait_ns(const struct outflow *f, size_t bytes, int64_t now)
{
	if (f->rate <= 0)
		return 0;
	return (int64_t)((get_unsent(f, now) + (double)bytes) /
			 (USABLE_SHARE * (double)f->rate) *
			 (double)NSEC_PER_SEC);
}

/* Returns the bytes that the link has not carried by now. */
static double
get_unsent(const struct outflow *f, int64_t now)
{
	double left = f->unsent - USABLE_SHARE * (double)f->rate *
				      (double)(now - f->at) /
				      (double)NSEC_PER_SEC;

	return left > 0 ? left : 0;
}
