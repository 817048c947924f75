/*
 * The stand-in backend server: its settings, the record of its runs and its
 * calls.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <microhttpd.h>

#include "loop.h"

#define STANDIN_NAME_BYTES 64
#define STANDIN_KEY_BYTES 129
#define STANDIN_CHAINS_MAX 32

enum standin_fault {
	STANDIN_FAULT_NONE,
	STANDIN_FAULT_TRUNCATE, /* runs, sends half of the body, closes */
	STANDIN_FAULT_LATE, /* runs and answers late_ms later */
	STANDIN_FAULT_WRONG_ID, /* runs and answers with another call id */
	STANDIN_FAULT_CLOSE, /* closes without running */
	STANDIN_FAULT_CLOSE_RAN, /* runs and closes without an answer */
	STANDIN_FAULT_SILENT, /* takes the call and never answers */
	STANDIN_FAULT_FAIL, /* runs and answers 500 */
	STANDIN_FAULT_SHED, /* refuses with 503 not-run */
	STANDIN_FAULT_COUNT
};

enum standin_report {
	STANDIN_REPORT_TRUE, /* health and load as they are */
	STANDIN_REPORT_READY, /* always ready and idle */
	STANDIN_REPORT_BAD, /* always starting and full */
	STANDIN_REPORT_LATE, /* as they were lag_ms ago */
	STANDIN_REPORT_SILENT, /* no answer */
	STANDIN_REPORT_COUNT
};

struct standin_chain {
	char kind[STANDIN_NAME_BYTES]; /* "*": any */
	char next[STANDIN_NAME_BYTES];
};

struct standin_options {
	char listen[STANDIN_NAME_BYTES];
	char node[STANDIN_NAME_BYTES]; /* local node, for chains */
	int slots;
	double service_ms; /* mean */
	int shape; /* 0 fixed, 1 exponential, 2 long tail */
	int64_t cold_ms; /* slow start: 5 times slower, fading */
	int64_t start_ms; /* not ready for this long */
	int64_t late_ms;
	int64_t lag_ms;
	int answer_bytes;
	int depth; /* longest chain */
	uint64_t seed;
	enum standin_fault fault;
	int fault_pct;
	int fault_left; /* calls that meet it; -1: no limit */
	enum standin_report report;
	struct standin_chain chains[STANDIN_CHAINS_MAX];
	int chain_count;
};

/* Options, from flags and from the query of POST /control */
int set_standin_option(
    struct standin_options *o, const char *name, const char *value);
void read_standin_flags(int argc, char **argv, struct standin_options *o);

/* The record of runs */
void note_run(const char *kind, const char *key, const char *call_id);
void count_standin(const char *what); /* "shed", "cancelled", ... */
int render_runs(bool all, struct buf *out); /* JSON */

#endif
