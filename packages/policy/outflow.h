/*
 * Pace of long answers on a link of known speed. Answers of 90 KB fill a link of
 * 18 Mbit/s for 40 ms each; sent as they come, they hold up every small answer
 * and every refusal of the node. A piece of a long answer is sent only when the
 * link has carried nearly all that was sent before. Pure.
 */
#ifndef OUTFLOW_H
#define OUTFLOW_H

#include "base.h"

/* Bodies above this are sent in pieces, bytes. */
#define OUTFLOW_LONG_BYTES (32 * 1024)

struct outflow {
	int64_t rate; /* bytes per second; 0: unlimited, nothing is paced */
	double unsent; /* bytes that the link has not carried yet; estimate */
	int64_t at; /* mono ns; of unsent */
};

/* Changes */
void add_outflow(struct outflow *f, size_t bytes, int64_t now);

/* Queries */
bool is_paced(const struct outflow *f, size_t body_len);
bool has_outflow_room(const struct outflow *f, int64_t now);
/* Mono ns at which has_outflow_room() becomes true. */
int64_t get_outflow_wakeup(const struct outflow *f, int64_t now);
/*
 * Order of a long answer with bytes left among others, least first: those that
 * have been late for half of the time until their deadline, so that they are not
 * lost; those that can be in time if they go next; all others.
 */
int get_outflow_order(const struct outflow *f, size_t left, int64_t target_at,
    int64_t deadline, int64_t now);
/* Time in ns until the link has carried bytes more. */
int64_t get_outflow_wait_ns(const struct outflow *f, size_t bytes, int64_t now);

#endif
