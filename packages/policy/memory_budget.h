/*
 * How much memory the bytes of connections may take in a process, and which
 * connection gives way when that is short. Pure: the caller counts the bytes
 * and passes the monotonic time.
 *
 * Load: clients that keep no limit. They send many bodies of legal size at
 * once and stop short of their end, send without end, or do not read their
 * answers. Each connection keeps its limits; their sum exceeds the VM's memory.
 */
#ifndef MEMORY_BUDGET_H
#define MEMORY_BUDGET_H

#include <limits.h>

#include "base.h"

#define MEMORY_RANK_UNKNOWN INT_MAX /* no row is known: least urgent */

/* Limits of a process; 0: unlimited. */
struct memory_budget {
	size_t limit; /* bytes of buffers; above it nothing is read */
	size_t urgent; /* for calls of the most urgent rank */
	size_t common; /* for all others; the rest is for small messages */
	size_t answers; /* of it, for long answers being read */
	int callers; /* connections of one listener for calls */
	int others; /* connections of each other listener */
};

/* A connection as a candidate for giving way. */
struct memory_holder {
	size_t bytes; /* that it holds */
	int64_t progress_at; /* mono ns; its client last sent or read bytes */
	int64_t since; /* mono ns; begin of its message */
	int rank; /* of its row, 1: most urgent; or MEMORY_RANK_UNKNOWN */
	bool waits; /* for the node: its call runs, it need not progress */
};

/* Both in the units of the settings; 0: unlimited. */
struct memory_budget plan_memory(int64_t memory_bytes, int64_t descriptors);
/* Bytes that may be in use once the holder has grown. */
size_t get_memory_level(const struct memory_budget *b, size_t held, int rank);
/* Whether a gives way before b; a holder that waits never gives way. */
bool yields_memory_before(
    const struct memory_holder *a, const struct memory_holder *b, int64_t now);
/* The same for descriptors, which connections without a message need least. */
bool yields_descriptor_before(
    const struct memory_holder *a, const struct memory_holder *b, int64_t now);
/* Whether the holder's client has let the time for progress pass. */
bool is_holder_stalled(const struct memory_holder *h, int64_t now);
/* Receive buffer of the next connection, bytes; 0: the system's default. */
int choose_receive_bytes(const struct memory_budget *b, int connections);

#endif
