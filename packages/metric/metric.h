/*
 * Counters, gauges and histograms with per-thread slots, and their text form.
 */
#ifndef METRIC_H
#define METRIC_H

#include <stdint.h>

#include "base.h"

#define METRIC_MAX 256 /* metrics of one process */
#define METRIC_NAME_BYTES 96 /* name with labels, with NUL */
#define HISTOGRAM_BUCKETS 512 /* 8 a power of two: error at most 12.5% */

/* A registered counter, gauge or histogram; negative when none. */
typedef int metric_id;

enum metric_kind {
	METRIC_COUNTER,
	METRIC_GAUGE,
	METRIC_HISTOGRAM,
};

struct histogram_summary {
	uint64_t count;
	uint64_t sum;
	uint64_t p50;
	uint64_t p99;
	uint64_t p999;
	uint64_t max; /* upper edge of the highest bucket in use */
};

/*
 * name may carry labels: "calls_total{kind=\"read\"}". Registering a name again
 * returns the first id. Returns ERR_LIMIT when METRIC_MAX is reached; the
 * functions below ignore a negative id.
 */
metric_id register_metric(
    enum metric_kind kind, const char *name, const char *help);
void count_metric(metric_id id, uint64_t n); /* add to a counter */
void set_metric(metric_id id, int64_t value); /* set a gauge */
void observe_metric(metric_id id, uint64_t value); /* add to a histogram */

int64_t get_metric(metric_id id); /* counter or gauge */
struct histogram_summary get_histogram(metric_id id);
int render_metrics(struct buf *out); /* Prometheus text format */

#endif
