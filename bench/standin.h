/*
 * The stand-in backend server of tests and measurements: its options, the
 * faults that it injects and the record of the calls that it ran.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <microhttpd.h>

#include "loop.h"

#define STANDIN_NAME_BYTES 64
#define STANDIN_KEY_BYTES 129
#define STANDIN_CHAINS_MAX 32

/* Injected faults; "runs" means that the call is recorded as executed. */
enum standin_fault {
	STANDIN_FAULT_NONE,
	STANDIN_FAULT_TRUNCATE, /* runs, sends half of the body and closes */
	STANDIN_FAULT_LATE, /* runs and answers with a delay of late_ms */
	STANDIN_FAULT_WRONG_ID, /* runs and answers with another call id */
	STANDIN_FAULT_CLOSE, /* closes without running */
	STANDIN_FAULT_CLOSE_RAN, /* runs and closes without an answer */
	STANDIN_FAULT_SILENT, /* does not run the call and never answers */
	STANDIN_FAULT_FAIL, /* runs and answers 500 */
	STANDIN_FAULT_SHED, /* refuses with 503 not-run */
	STANDIN_FAULT_COUNT
};

/* What GET /health and GET /load report. */
enum standin_report {
	STANDIN_REPORT_TRUE, /* the actual state and load */
	STANDIN_REPORT_READY, /* always ready and idle */
	STANDIN_REPORT_BAD, /* always starting, all slots in use */
	STANDIN_REPORT_LATE, /* ready, with the load of lag_ms ago */
	STANDIN_REPORT_SILENT, /* no answer */
	STANDIN_REPORT_COUNT
};

/* A call of one kind makes a call of the next kind through the local node. */
struct standin_chain {
	char kind[STANDIN_NAME_BYTES]; /* "*": any kind */
	char next[STANDIN_NAME_BYTES];
};

struct standin_options {
	char listen[STANDIN_NAME_BYTES];
	char node[STANDIN_NAME_BYTES]; /* local node, for chains */
	int slots;
	double service_ms; /* mean */
	int shape; /* 0 fixed, 1 exponential, 2 long tail */
	int64_t cold_ms; /* cold start, at first 5 times slower */
	int64_t start_ms; /* state "starting" for this long */
	int64_t late_ms; /* delay of STANDIN_FAULT_LATE */
	int64_t lag_ms; /* age of STANDIN_REPORT_LATE */
	int answer_bytes;
	int depth; /* calls of this X-Ggs-Depth make no further call */
	uint64_t seed;
	enum standin_fault fault;
	int fault_pct; /* share of the calls with the fault */
	int fault_left; /* faults still to inject; -1: no limit */
	enum standin_report report;
	struct standin_chain chains[STANDIN_CHAINS_MAX];
	int chain_count;
};

/* Options, from flags and from the query of POST /control */
int set_standin_option(
    struct standin_options *o, const char *name, const char *value);
void read_standin_flags(int argc, char **argv, struct standin_options *o);

/* The record of executed calls; safe to use from any thread */
void record_run(const char *kind, const char *key, const char *call_id);
void count_event(const char *what); /* what: a string literal */
int render_runs(bool all, struct buf *out); /* appends JSON */

#endif
