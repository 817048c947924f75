/*
 * The accepted versions of the table: the author of each change, and its cells
 * before and after. Older tables are rebuilt from them.
 */
#ifndef HISTORY_H
#define HISTORY_H

#include "command.h"
#include "table.h"

#define HISTORY_MAX 1024 /* versions kept */
#define HISTORY_BYTES_MAX (16 * 1024 * 1024) /* of all kept versions */

struct history {
	struct stored_version *ring[HISTORY_MAX];
	size_t first; /* slot of the oldest version */
	size_t count;
	size_t bytes;
};

/* Makes the record of a change; the caller sets base, time, type and author. */
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
    uint64_t number); /* rebuild_table() would succeed */
int rebuild_table(const struct history *h, const struct table *current,
    uint64_t number, struct table **out, struct fault *f);

/*
 * Returns the newest version above base that changed the cell, or any cell of
 * the row for column COLUMN_COUNT, or of the account for column
 * ACCOUNT_COLUMN_END; NULL: none.
 */
const struct stored_version *find_change(
    const struct history *h, uint64_t base, struct str row, int column);

#endif
