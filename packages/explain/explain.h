/*
 * The account of one call from the log lines of many processes: its decisions
 * in order, the changes around it, and why it ended as it did.
 */
#ifndef EXPLAIN_H
#define EXPLAIN_H

#include "base.h"

struct explanation;

/* Lines of the input that told nothing. */
struct explain_skipped {
	uint64_t damaged; /* cut or mixed: no whole JSON object */
	uint64_t foreign; /* of other programs or releases */
};

int open_explanation(struct str call, struct explanation **out);
void close_explanation(struct explanation *e);

/* A line of whatever process, in any order; text before the object is skipped. */
int add_explanation_line(struct explanation *e, struct str line); /* MEMORY */

/* ERR_NOT_FOUND: no line names the call */
int render_explanation(struct explanation *e, bool json, struct buf *out);
const char *get_explanation_cause(struct explanation *e); /* "overload", ... */
struct explain_skipped get_explanation_skipped(const struct explanation *e);

#endif
