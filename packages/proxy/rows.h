/*
 * Counters and the retry budget of each row. They are found by kind and outlive
 * table versions. All functions may run on any thread.
 */
#ifndef ROWS_H
#define ROWS_H

#include "metric.h"
#include "policy.h"

#define ROWS_MAX 4096 /* kinds seen since the process started */

enum row_counter {
	ROW_CALLS, /* + outcome: calls from callers */
	ROW_SERVED = ROW_CALLS + 4, /* + outcome: attempts served here */
	ROW_REFUSED = ROW_SERVED + 4, /* + reason */
	ROW_RETRIES = ROW_REFUSED + REFUSE_REASON_COUNT,
	ROW_HEDGES,
	ROW_QUEUE_US, /* histogram: time until the call got a slot */
	ROW_ADDED_US, /* histogram: time added by this node itself */
	ROW_COUNTERS
};

struct row_state {
	char kind[TABLE_NAME_BYTES];
	struct retry_budget budget; /* loop thread only */
	metric_id ids[ROW_COUNTERS]; /* id plus 2; 0: not registered */
	uint64_t counts[ROW_COUNTERS]; /* kept even if the registry is full */
};

struct row_state *find_row_state(const char *kind); /* never NULL */
void count_row(struct row_state *s, int counter, uint64_t n);
void observe_row(struct row_state *s, int counter, int64_t ns);
int render_rows(struct buf *out); /* JSON object with one member per kind */

#endif
