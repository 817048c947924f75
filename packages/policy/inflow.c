/*
 * Bytes due over the link, and whether more may be asked for.
 */
#include "inflow.h"

/*
 * More bodies are asked for while the link needs less than this time for those
 * that are due. It covers the way to another zone and back many times, so the
 * link does not run dry between two bodies.
 */
#define AHEAD_NS (40 * NSEC_PER_MSEC)
/* Nothing came for this long: the senders are slow, not this link. */
#define STALL_NS (100 * NSEC_PER_MSEC)

void
add_inflow(struct inflow *f, int64_t bytes, int64_t now)
{
	if (bytes <= 0)
		return;
	f->due += bytes;
	f->moved_at = now;
}

void
take_inflow(struct inflow *f, int64_t bytes, int64_t now)
{
	if (bytes <= 0)
		return;
	f->due -= bytes < f->due ? bytes : f->due;
	f->moved_at = now;
}

bool
has_inflow_room(const struct inflow *f, int64_t now)
{
	return get_inflow_ns(f, 0) < AHEAD_NS || now - f->moved_at > STALL_NS;
}

/*
 * Returns the time in ns until everything due and these bytes have come.
 */
double
get_inflow_ns(const struct inflow *f, int64_t bytes)
{
	if (f->rate <= 0)
		return 0;
	return (double)(f->due + bytes) * NSEC_PER_SEC / (double)f->rate;
}
