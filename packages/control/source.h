/*
 * The source text of a full table, stored so that a read returns it unchanged.
 * Successive texts differ little, so the log contains deltas.
 */
#ifndef SOURCE_H
#define SOURCE_H

#include "base.h"

/*
 * Appends the delta from old to text, which exceeds the text by 5 bytes at
 * most. Returns 0 or ERR_MEMORY.
 */
int make_source_delta(struct str old, struct str text, struct buf *out);
/* Appends the text that results from old and delta. ERR_CORRUPT, ERR_MEMORY. */
int apply_source_delta(struct str old, struct str delta, struct buf *out);
uint64_t compute_source_digest(struct str text); /* xxh3; never 0 */

#endif
