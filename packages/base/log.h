/*
 * Structured log lines: one JSON object per line, for standard output. Once the
 * writer runs, logging never blocks: lines that do not fit into its buffer are
 * dropped and counted, and the count is logged.
 */
#ifndef LOG_H
#define LOG_H

#include "base.h"

enum log_level {
	LOG_LEVEL_ERR = 3, /* syslog severities */
	LOG_LEVEL_WARNING = 4,
	LOG_LEVEL_NOTICE = 5,
	LOG_LEVEL_INFO = 6,
	LOG_LEVEL_DEBUG = 7,
};

enum log_type {
	LOG_TYPE_TEXT,
	LOG_TYPE_INT,
	LOG_TYPE_REAL,
	LOG_TYPE_BOOL,
};

/* A named value of a line; use the macros below. */
struct log_field {
	const char *name;
	enum log_type type;
	struct str text;
	int64_t number;
	double real;
};

#define LOG_TEXT(n, v)       \
	((struct log_field){ \
	    .name = (n), .type = LOG_TYPE_TEXT, .text = make_str(v)})
#define LOG_STR(n, v) \
	((struct log_field){.name = (n), .type = LOG_TYPE_TEXT, .text = (v)})
#define LOG_INT(n, v)        \
	((struct log_field){ \
	    .name = (n), .type = LOG_TYPE_INT, .number = (int64_t)(v)})
#define LOG_REAL(n, v) \
	((struct log_field){.name = (n), .type = LOG_TYPE_REAL, .real = (v)})
#define LOG_BOOL(n, v)       \
	((struct log_field){ \
	    .name = (n), .type = LOG_TYPE_BOOL, .number = (v) ? 1 : 0})

/* Writes a line; event is named subject.what, as in "call.ended". */
#define WRITE_EVENT(level, event, ...)                                         \
	write_event((level), (event), (const struct log_field[]){__VA_ARGS__}, \
	    sizeof((const struct log_field[]){__VA_ARGS__}) /                  \
		sizeof(struct log_field))

void write_event(enum log_level level, const char *event,
    const struct log_field *fields, size_t count);

/* Writes a line of event "message" with the text in one field. */
void write_log(enum log_level level, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/*
 * Text of an id that a caller chose: the id itself, or its start and a hash of
 * all of it when it is longer or has bytes that a line cannot hold. Writes
 * LOG_ID_BYTES at most; returns out.
 */
#define LOG_ID_BYTES 129 /* with NUL */
const char *format_log_id(char *out, struct str id);

/* Settings */
void set_log_name(const char *name); /* "process" of each line */
void set_log_level(enum log_level level); /* less severe lines are dropped */

/* Writer thread for fd; without it, lines go to standard error. */
int start_log_writer(int fd); /* ERR_MEMORY, ERR_IO */
void stop_log_writer(void); /* flushes for a bounded time */

/* Queries */
uint64_t count_dropped_lines(void); /* since process start */

#endif
