/*
 * Computes the outcome of a table change: edit, import, revert or replacement.
 */
#ifndef EDITS_H
#define EDITS_H

#include "history.h"

/* A cell of the table, with its value as text. */
struct cell_value {
	char row[TABLE_NAME_BYTES];
	enum column column;
	char value[TABLE_CELL_BYTES];
};

struct edit_outcome {
	int status; /* 0 or negative; text then names the remedy */
	uint64_t version; /* made by the change, else the current one */
	bool unchanged; /* accepted, but the content was the same */
	struct cell_value winner; /* of a conflict: the current cell */
	char winner_author[COMMAND_AUTHOR_MAX + 1];
	uint64_t winner_version; /* 0: no conflict */
	char text[FAULT_TEXT_BYTES];
	struct table *new_table; /* owned by the caller; NULL: no change */
	struct buf source; /* text of a replacement; owned by the caller */
};

/*
 * Decides a change without applying it. Deterministic: the replicas must agree
 * on the outcome. source is the text that the current table was read from;
 * empty: none. Free out with unload_outcome().
 */
void decide_edit(const struct history *h, const struct table *current,
    struct str source, const struct command *c, struct edit_outcome *out);
bool find_accepted_replacement(const struct history *h, const struct command *c,
    struct edit_outcome *out); /* sets out if true */
void unload_outcome(struct edit_outcome *o);

#endif
