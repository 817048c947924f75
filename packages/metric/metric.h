/*
 * Registry of counters, gauges and histograms, and their Prometheus text form.
 */
#ifndef METRIC_H
#define METRIC_H

#include <stdint.h>

#include "base.h"

/*
 * Room for a table of 2,000 rows with 21 metrics each, and 1,008 metrics of the
 * process. Memory is used as metrics are: at most 6 MB for names and values,
 * 16 MB for histograms and 344 KB for each thread that counts.
 */
#define METRIC_MAX (42 * 1024)
#define METRIC_HISTOGRAMS_MAX 4096 /* 4 KB each; two per row and 96 more */
#define METRIC_FAMILIES_MAX 256 /* names without their labels */
#define METRIC_NAME_BYTES 96 /* name with labels, with NUL */
#define HISTOGRAM_BUCKETS 512 /* 8 per power of two: error at most 12.5% */

/* A registered counter, gauge or histogram; negative: not registered. */
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
	uint64_t max; /* upper bound of the highest bucket in use */
};

/*
 * name may include labels: "calls_total{kind=\"read\"}". Registering a name
 * again returns the same id. Returns ERR_LIMIT when METRIC_MAX or another limit
 * above is reached, or ERR_MEMORY, and counts the refusal; the functions below
 * ignore a negative id.
 */
metric_id register_metric(
    enum metric_kind kind, const char *name, const char *help);
void count_metric(metric_id id, uint64_t n); /* add to a counter */
void set_metric(metric_id id, int64_t value); /* set a gauge */
void observe_metric(metric_id id, uint64_t value); /* add to a histogram */

int64_t get_metric(metric_id id); /* counter or gauge */
struct histogram_summary get_histogram(metric_id id);
uint64_t get_metric_refusals(void); /* registrations refused */
int render_metrics(struct buf *out); /* Prometheus text format */

#endif
