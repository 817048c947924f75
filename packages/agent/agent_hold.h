/*
 * The table in force and its reference counts. Acquiring and releasing cost one
 * atomic add each; a switch to a new version never waits. Internal to the
 * package, except for bench/agent_bench.c.
 */
#ifndef AGENT_HOLD_H
#define AGENT_HOLD_H

#include "table.h"

#define PIN_SLOTS 1024 /* versions referenced at once, and the empty slot 0 */

struct pin_slot {
	struct table *table; /* NULL: free */
	uint64_t balance; /* releases; less acquisitions once replaced */
};

/* One writer calls publish_table(); any thread may acquire and release. */
struct table_pins {
	uint64_t current; /* slot in the high 16 bits, acquisitions below */
	struct pin_slot slots[PIN_SLOTS]; /* slot 0: no table */
};

struct table_pins *open_table_pins(void); /* NULL: out of memory */
void close_table_pins(struct table_pins *h); /* all tables must be released */
int publish_table(
    struct table_pins *h, struct table *t); /* owns t unless it fails */
const struct table *pin_table(struct table_pins *h); /* NULL: no table */
void unpin_table(struct table_pins *h, const struct table *t);
const struct table *peek_table(struct table_pins *h); /* for the writer only */
int count_pinned_versions(struct table_pins *h); /* versions in memory */

#endif
