/*
 * The load generator: rows with their rates, calls and what became of them.
 */
#ifndef LOAD_H
#define LOAD_H

#include "loop.h"

#define LOAD_ROWS_MAX 32
#define LOAD_ENTRIES_MAX 64
#define LOAD_NAME_BYTES 64
#define LOAD_ID_BYTES 48

/* Last outcome of a call; LOAD_NONE is no outcome header or no answer. */
enum load_outcome {
	LOAD_RAN,
	LOAD_FAILED,
	LOAD_NOT_RUN,
	LOAD_UNKNOWN,
	LOAD_NONE,
	LOAD_OUTCOMES
};

struct load_row {
	char kind[LOAD_NAME_BYTES];
	double rate; /* calls/s */
	int body_bytes;
	int deadline_ms; /* 0: no header */
	int target_ms; /* 0: none; for goodput */
	bool once; /* idempotency key, resends */
	int64_t next_at; /* mono ns of the next arrival */
	uint64_t sent, resent, late;
	uint64_t outcomes[LOAD_OUTCOMES];
	uint32_t *us; /* latencies of calls that ran */
	size_t us_count, us_cap;
};

struct load_options {
	char entries[LOAD_ENTRIES_MAX][LOAD_NAME_BYTES];
	int entry_count;
	char servers[LOAD_ENTRIES_MAX][LOAD_NAME_BYTES]; /* for GET /runs */
	int server_count;
	struct load_row rows[LOAD_ROWS_MAX];
	int row_count;
	double seconds;
	double warm_seconds; /* not counted */
	int resends;
	int in_flight_max;
	uint64_t seed;
	char experiment[LOAD_NAME_BYTES];
	char params[256];
	char commit[LOAD_NAME_BYTES];
};

void read_load_flags(int argc, char **argv, struct load_options *o);
/* Remembers a call whose last answer was not-run. */
void note_not_run(const char *id, bool once);
void note_latency(struct load_row *r, int64_t ns);
void print_report(struct load_options *o, double seconds);
void print_value(const struct load_options *o, const char *metric, double value,
    const char *unit);

#endif
