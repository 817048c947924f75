/*
 * The command that replaces the whole table, as differences from the table in
 * force and from its text.
 */
#ifndef REPLACEMENT_H
#define REPLACEMENT_H

#include "state.h"

/* A replacement that is not encoded yet. */
struct replacement {
	uint64_t base;
	struct command_replace command; /* without the members below */
	struct buf cells;
	struct buf delta; /* of the text */
};

/*
 * Computes the change from version base to the table t, which was read from
 * source. ERR_LIMIT: source exceeds COMMAND_SOURCE_MAX; or ERR_MEMORY. Free
 * *out with unload_replacement(), also after an error.
 */
int make_replacement(const struct state *s, uint64_t base,
    const struct table *t, struct str source, struct replacement *out);
void unload_replacement(struct replacement *r);

/*
 * Appends the encoded command. A long delta gives way to the deflated source,
 * which takes a while, so the caller holds no lock. ERR_LIMIT: that is too long
 * as well; or ERR_MEMORY.
 */
int encode_replacement(
    struct replacement *r, struct str source, struct buf *out);

#endif
