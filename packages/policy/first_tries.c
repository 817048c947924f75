/*
 * Range of the time-outs of first tries, learned while no call has failed for so
 * long that none can be a second try.
 */
#include "first_tries.h"

/*
 * A time-out below this share of the longest is no usual one of a first try: the
 * callers that it comes from are few, or about to leave.
 */
#define USUAL_SHARE 0.75

/* Counts the time-out of a call that has arrived, in ns. */
void
add_caller_timeout(struct first_tries *f, int64_t timeout, int64_t now)
{
	if (timeout > f->longest)
		f->longest = timeout;
	if (f->failed && now - f->failed_at <= f->longest)
		return;
	if (timeout < (int64_t)(USUAL_SHARE * (double)f->longest))
		return;
	if (f->shortest == 0 || timeout < f->shortest)
		f->shortest = timeout;
}

/* Records a call that was refused or failed, so that its caller may return. */
void
record_failed_try(struct first_tries *f, int64_t now)
{
	f->failed = true;
	f->failed_at = now;
}

/*
 * A time-out within the range of first tries counts as one; the start of another
 * call is taken from the middle of that range.
 */
int64_t
estimate_elapsed(const struct first_tries *f, int64_t timeout)
{
	int64_t shortest = f->shortest;
	int64_t usual = (int64_t)(USUAL_SHARE * (double)f->longest);

	if (shortest == 0)
		shortest = f->longest;
	if (shortest < usual)
		shortest = usual;
	if (timeout >= shortest)
		return 0;
	return shortest + (f->longest - shortest) / 2 - timeout;
}
