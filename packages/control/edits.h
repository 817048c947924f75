/*
 * Decides the outcome of a change of the table: edit, import or revert.
 */
#ifndef EDITS_H
#define EDITS_H

#include "history.h"

struct edit_outcome {
	int status; /* 0 or an error; text then names the remedy */
	uint64_t version; /* made by the change, else the one in force */
	bool unchanged; /* accepted, but the content was the same */
	struct cell_edit winner; /* conflict: the cell in force */
	char winner_author[COMMAND_AUTHOR_MAX + 1];
	uint64_t winner_version; /* 0: no conflict */
	char text[FAULT_TEXT_BYTES];
	struct table *next; /* new table, owned by the caller; may be NULL */
};

/* Changes nothing; the same arguments give the same outcome everywhere. */
void decide_edit(const struct history *h, const struct table *current,
    const struct command *c, struct edit_outcome *out);

#endif
