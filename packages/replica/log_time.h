/*
 * Log time as the leader of a term stamps it: the log time that its state
 * machine had reached when the term started, plus the monotonic time since
 * then.
 */
#ifndef LOG_TIME_H
#define LOG_TIME_H

#include <stdint.h>

/* Zero-initialized: no term has started. */
struct log_time {
	uint64_t term; /* that this member leads; 0: none yet */
	int64_t base_ns; /* log time at mono_ns */
	int64_t mono_ns; /* monotonic clock */
};

void start_log_time(
    struct log_time *t, uint64_t term, int64_t base_ns, int64_t mono_ns);
/* 0 if the term has not started: the state machine keeps its log time. */
int64_t read_log_time(const struct log_time *t, uint64_t term, int64_t mono_ns);

#endif
