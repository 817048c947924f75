/*
 * Log time as the leader of a term stamps it: the log time that its state
 * machine had reached when the term began, plus the monotonic time since then.
 */
#ifndef LOG_TIME_H
#define LOG_TIME_H

#include <stdint.h>

/* Zero-initialized: no term has begun. */
struct log_time {
	uint64_t term; /* in which this member leads; 0 none yet */
	int64_t base_ns; /* log time at mono_ns */
	int64_t mono_ns;
};

void start_log_time(
    struct log_time *t, uint64_t term, int64_t base_ns, int64_t mono_ns);
/* 0 when the term has not begun: the state machine keeps its log time. */
int64_t read_log_time(const struct log_time *t, uint64_t term, int64_t mono_ns);

#endif
