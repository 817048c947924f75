/*
 * The table in force and its reference counts. Acquiring and releasing cost one
 * atomic add each; a switch to a new version never waits. Internal to the
 * package, except for bench/agent_bench.c.
 */
#ifndef AGENT_HOLD_H
#define AGENT_HOLD_H

#include "table.h"

#define HOLD_SLOTS 1024 /* versions referenced at once, and the empty slot 0 */

struct hold_slot {
	struct table *table; /* NULL: free */
	uint64_t balance; /* releases; less acquisitions once replaced */
};

/* One writer calls publish_hold(); any thread may acquire and release. */
struct hold {
	uint64_t current; /* slot in the high 16 bits, acquisitions below */
	struct hold_slot slots[HOLD_SLOTS]; /* slot 0: no table */
};

struct hold *open_hold(void); /* NULL: out of memory */
void close_hold(struct hold *h); /* all tables must be released */
int publish_hold(struct hold *h, struct table *t); /* owns t unless it fails */
const struct table *acquire_hold(struct hold *h); /* NULL: no table */
void release_hold(struct hold *h, const struct table *t);
const struct table *peek_hold(struct hold *h); /* for the writer only */
int count_hold(struct hold *h); /* versions in memory */

#endif
