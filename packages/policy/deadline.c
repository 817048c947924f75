/*
 * Deadline arithmetic over hops.
 */
#include "deadline.h"

/*
 * Returns the absolute deadline of a call: the row's deadline_ms, or what the
 * header leaves of it when that is shorter. A caller cannot lengthen it. A
 * header below zero other than DEADLINE_ABSENT counts as no time left.
 */
int64_t
start_deadline(int64_t now, int64_t header_ms, int32_t deadline_ms)
{
	int64_t ms = deadline_ms;

	if (header_ms != DEADLINE_ABSENT && header_ms < ms)
		ms = header_ms < 0 ? 0 : header_ms;
	return now + ms * NSEC_PER_MSEC;
}

/*
 * Returns the milliseconds for the next hop's X-Ggs-Deadline-Ms: the time left
 * less hop_ns, which covers the way there and back, rounded down so that the
 * sum over hops never exceeds the first deadline.
 */
int64_t
pass_deadline_ms(int64_t now, int64_t deadline, int64_t hop_ns)
{
	int64_t left = deadline - now - hop_ns;

	return left <= 0 ? 0 : left / NSEC_PER_MSEC;
}

/* Returns the time left in ns, never below zero. */
int64_t
get_time_left(int64_t now, int64_t deadline)
{
	return deadline > now ? deadline - now : 0;
}

/* Says whether need_ns of work from now on ends by the deadline. */
bool
can_meet_deadline(int64_t now, int64_t deadline, int64_t need_ns)
{
	return deadline - now >= need_ns && deadline > now;
}
