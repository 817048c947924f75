/*
 * The load generator: its options, the rows that it offers and the outcomes of
 * their calls.
 */
#ifndef LOAD_H
#define LOAD_H

#include "loop.h"

#define LOAD_ROWS_MAX 32
#define LOAD_ENTRIES_MAX 64
#define LOAD_NAME_BYTES 64
#define LOAD_ID_BYTES 48

/* Last outcome of a call; LOAD_NONE: no answer or no outcome header. */
enum load_outcome {
	LOAD_RAN,
	LOAD_FAILED,
	LOAD_NOT_RUN,
	LOAD_UNKNOWN,
	LOAD_NONE,
	LOAD_OUTCOMES
};

/* The calls of one kind, with their counts during the measured time. */
struct load_row {
	char kind[LOAD_NAME_BYTES];
	double rate; /* calls/s */
	int body_bytes;
	int deadline_ms; /* 0: no deadline header */
	int target_ms; /* 0: none; later answers do not count as goodput */
	bool once; /* sent with an idempotency key, and resent */
	int64_t next_at; /* mono ns of the next arrival */
	uint64_t sent, resent, late; /* late: after target_ms */
	uint64_t outcomes[LOAD_OUTCOMES];
	uint32_t *samples; /* latencies of calls that ran, us */
	size_t sample_count, sample_cap;
};

struct load_options {
	char entries[LOAD_ENTRIES_MAX][LOAD_NAME_BYTES];
	int entry_count;
	char servers[LOAD_ENTRIES_MAX][LOAD_NAME_BYTES]; /* for GET /runs */
	int server_count;
	struct load_row rows[LOAD_ROWS_MAX];
	int row_count;
	double seconds; /* measured time */
	double warmup_seconds; /* before it; not counted */
	int resends; /* most resends of one call */
	int in_flight_max; /* calls beyond it are not sent */
	uint64_t seed;
	char experiment[LOAD_NAME_BYTES];
	char params[256];
	char commit[LOAD_NAME_BYTES];
};

void read_load_flags(int argc, char **argv, struct load_options *o);
/* Remembers the id of a call that got only not-run answers */
void record_not_run(const char *id, bool once);
void record_latency(struct load_row *r, int64_t ns); /* of a call that ran */
void print_report(struct load_options *o, double seconds);
/* Prints one JSON line on standard output */
void print_value(const struct load_options *o, const char *metric, double value,
    const char *unit);

#endif
