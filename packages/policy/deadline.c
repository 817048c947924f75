/*
 * Deadline arithmetic across hops.
 */
#include "deadline.h"

/*
 * Returns the deadline of a call that arrives at now: the row's deadline_ms, or
 * the header's remaining time when that is shorter. A caller cannot extend it.
 * A negative header other than DEADLINE_ABSENT means that no time is left.
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
 * less hop_ns for the round trip, rounded down so that the hops together never
 * exceed the first deadline.
 */
int64_t
get_next_hop_deadline_ms(int64_t now, int64_t deadline, int64_t hop_ns)
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

/*
 * Says whether need_ns of work that starts now ends by the deadline, which must
 * be in the future.
 */
bool
can_meet_deadline(int64_t now, int64_t deadline, int64_t need_ns)
{
	return deadline - now >= need_ns && deadline > now;
}
