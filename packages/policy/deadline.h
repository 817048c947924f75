/*
 * Deadline arithmetic across hops. Within a process a deadline is a monotonic
 * time in ns; between processes it is the remaining time in milliseconds
 * (X-Ggs-Deadline-Ms).
 */
#ifndef DEADLINE_H
#define DEADLINE_H

#include "base.h"

#define DEADLINE_ABSENT (-1) /* no X-Ggs-Deadline-Ms header */

/* Deadline of a call that arrives at now with the header's value. */
int64_t start_deadline(int64_t now, int64_t header_ms, int32_t deadline_ms);

/* Header value for the next hop; 0 when the hop cannot answer in time. */
int64_t get_next_hop_deadline_ms(int64_t now, int64_t deadline, int64_t hop_ns);

/* Time left at now, in ns; 0 when past. */
int64_t get_time_left(int64_t now, int64_t deadline);

/* Whether work of need_ns that starts at now ends by the deadline. */
bool can_meet_deadline(int64_t now, int64_t deadline, int64_t need_ns);

#endif
