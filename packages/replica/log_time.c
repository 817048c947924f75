/*
 * Log time as the leader of a term stamps it.
 */
#include "log_time.h"

/*
 * Starts a term's log time. base_ns is the log time after all entries of
 * earlier terms are applied, and mono_ns is read after that, so no entry of an
 * earlier term is older in log time than in real time.
 */
void
start_log_time(
    struct log_time *t, uint64_t term, int64_t base_ns, int64_t mono_ns)
{
	*t = (struct log_time){term, base_ns, mono_ns};
}

/*
 * Returns the log time at mono_ns. A start in an earlier term does not count:
 * since then, other leaders may have stamped less time than has passed here.
 */
int64_t
read_log_time(const struct log_time *t, uint64_t term, int64_t mono_ns)
{
	if (t->term != term || mono_ns < t->mono_ns)
		return 0;
	return t->base_ns + (mono_ns - t->mono_ns);
}
