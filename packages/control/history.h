/*
 * The accepted versions of the table: who changed what, the cells after and
 * before each change, and older tables rebuilt from them.
 */
#ifndef HISTORY_H
#define HISTORY_H

#include "command.h"
#include "table.h"

#define HISTORY_MAX 1024 /* versions kept */
#define HISTORY_BYTES_MAX (16 * 1024 * 1024) /* of their cells, together */

struct history {
	struct stored_version *ring[HISTORY_MAX];
	size_t first; /* slot of the oldest version */
	size_t count;
	size_t bytes;
};

/* Makes the record of a change; the caller sets base, time, type, author. */
int make_version(const struct table *from, const struct table *to,
    struct stored_version **out);
void unload_version(struct stored_version *v);

void append_version(struct history *h, struct stored_version *v); /* owns v */
void clear_history(struct history *h);

/* Queries */
const struct stored_version *get_version(
    const struct history *h, size_t i); /* 0 is the oldest */
const struct stored_version *find_version(
    const struct history *h, uint64_t number); /* NULL: not kept */
bool covers_version(const struct history *h, const struct table *current,
    uint64_t number); /* the table of that version can be rebuilt */
int rebuild_table(const struct history *h, const struct table *current,
    uint64_t number, struct table **out, struct fault *f);

/*
 * The newest version above base that changed the cell; column COLUMN_COUNT
 * stands for any cell of the row. NULL: none did.
 */
const struct stored_version *find_change(
    const struct history *h, uint64_t base, struct str row, int column);

#endif
