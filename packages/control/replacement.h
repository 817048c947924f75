/*
 * The command that replaces the whole table, as differences from the table in
 * force and from its text.
 */
#ifndef REPLACEMENT_H
#define REPLACEMENT_H

#include "state.h"

/*
 * Appends the encoded command that replaces version base by the table t, which
 * was read from source. ERR_LIMIT: source exceeds COMMAND_SOURCE_MAX; or
 * ERR_MEMORY.
 */
int encode_replacement(const struct state *s, uint64_t base,
    const struct table *t, struct str source, struct buf *out);

#endif
