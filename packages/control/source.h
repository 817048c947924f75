/*
 * The source text of a full table, stored so that a read returns it unchanged.
 * Successive texts differ little, so the log contains deltas.
 */
#ifndef SOURCE_H
#define SOURCE_H

#include "base.h"

#define SOURCE_TEXT_MAX (4 * 1024 * 1024) /* bytes of a text */

/* Appends the delta from old to text. Returns 0 or ERR_MEMORY. */
int make_source_delta(struct str old, struct str text, struct buf *out);
/* Appends a delta from any text: the deflated text. Returns 0 or ERR_MEMORY. */
int deflate_source(struct str text, struct buf *out);
/*
 * Appends the text that results from old and delta. Returns 0, ERR_CORRUPT,
 * also for a deflated text of more than SOURCE_TEXT_MAX, or ERR_MEMORY.
 */
int apply_source_delta(struct str old, struct str delta, struct buf *out);
uint64_t compute_source_digest(struct str text); /* xxh3; never 0 */

#endif
