/*
 * Explains the outcome of one call from the log lines of many processes: its
 * decisions in order, the state changes around it, and the cause of its end.
 */
#ifndef EXPLAIN_H
#define EXPLAIN_H

#include "base.h"

struct explanation;

/* Input lines that were not used. */
struct explain_skipped {
	uint64_t damaged; /* truncated or interleaved JSON object */
	uint64_t foreign; /* of other programs or releases */
};

int open_explanation(struct str call, struct explanation **out);
void close_explanation(struct explanation *e);

/*
 * Adds a line of any process, in any order; text before the JSON object is
 * skipped. Returns ERR_MEMORY.
 */
int add_explanation_line(struct explanation *e, struct str line);

/* Appends the explanation; ERR_NOT_FOUND: no line names the call. */
int render_explanation(struct explanation *e, bool json, struct buf *out);
const char *get_explanation_cause(struct explanation *e); /* "overload", ... */
struct explain_skipped get_explanation_skipped(const struct explanation *e);

#endif
