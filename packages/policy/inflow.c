/*
 * Body bytes outstanding on the link, and whether more may be requested.
 */
#include "inflow.h"

/*
 * More bodies are requested while the link needs less than this time for the
 * outstanding bytes. It is many times the round trip to another zone, so that
 * the link never idles between two bodies.
 */
#define REQUEST_AHEAD_NS (40 * NSEC_PER_MSEC)
/* Without progress for this long, the senders are slow and not this link. */
#define STALL_NS (100 * NSEC_PER_MSEC)

/* Adds the bytes of a body that is requested now. */
void
add_inflow(struct inflow *f, int64_t bytes, int64_t now)
{
	if (bytes <= 0)
		return;
	f->outstanding += bytes;
	f->progress_at = now;
}

/* Subtracts bytes that were received or will no longer come. */
void
remove_inflow(struct inflow *f, int64_t bytes, int64_t now)
{
	if (bytes <= 0)
		return;
	f->outstanding -= bytes < f->outstanding ? bytes : f->outstanding;
	f->progress_at = now;
}

/*
 * Says whether another body may be requested: the link will soon be idle, or
 * the senders of the outstanding bytes have stalled.
 */
bool
has_inflow_room(const struct inflow *f, int64_t now)
{
	return get_inflow_wait_ns(f, 0) < REQUEST_AHEAD_NS ||
	       now - f->progress_at > STALL_NS;
}

/* Returns the time in ns to transfer the outstanding bytes and bytes more. */
double
get_inflow_wait_ns(const struct inflow *f, int64_t bytes)
{
	if (f->rate <= 0)
		return 0;
	return (double)(f->outstanding + bytes) * NSEC_PER_SEC /
	       (double)f->rate;
}
