/*
 * State of an explanation and functions shared by its modules. Internal to the
 * package.
 */
#ifndef EXPLAIN_STATE_H
#define EXPLAIN_STATE_H

#include <stdio.h>
#include <time.h>

#include <jansson.h>

#include "explain.h"
#include "log.h"

/* Parsed lines, in input order until they are sorted. */
struct line_list {
	json_t **list;
	size_t count, cap;
};

struct explanation {
	char call[LOG_ID_BYTES]; /* as in log lines */
	struct line_list lines; /* that name the call */
	struct line_list changes; /* state changes of processes */
	struct explain_skipped skipped;
};

/* explain.c */
const char *get_line_text(const json_t *line, const char *name); /* or "" */
int64_t get_line_number(const json_t *line, const char *name); /* or 0 */
double get_line_time(const json_t *line); /* s since the epoch, or 0 */
bool is_event(const json_t *line, const char *event);

/* cause.c: returns the cause; appends sentences with its figures to why. */
const char *find_cause(const struct explanation *e, struct buf *why);

#endif
