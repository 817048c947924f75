/*
 * State of an explanation and what its modules share. Internal to the package.
 */
#ifndef EXPLAIN_STATE_H
#define EXPLAIN_STATE_H

#include <stdio.h>
#include <time.h>

#include <jansson.h>

#include "explain.h"

#define EXPLAIN_CALL_BYTES 129

/* Lines in the order of their reading, or sorted. */
struct line_list {
	json_t **list;
	size_t count, cap;
};

struct explanation {
	char call[EXPLAIN_CALL_BYTES];
	struct line_list lines; /* that name the call */
	struct line_list changes; /* of what processes believe and do */
	struct explain_skipped skipped;
};

/* explain.c */
const char *get_line_text(const json_t *line, const char *name); /* or "" */
int64_t get_line_number(const json_t *line, const char *name); /* or 0 */
double get_line_time(const json_t *line); /* s */
bool is_event(const json_t *line, const char *event);

/* cause.c: the cause as a word; why gets a sentence with its figures. */
const char *find_cause(const struct explanation *e, struct buf *why);

#endif
