/*
 * Counters of rows. A metric is registered when it is first counted, because
 * most rows never use most counters and the metric registry is bounded.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <ck_pr.h>

#include "rows.h"

#define ROWS_BUCKETS 1024

struct row_entry {
	struct row_state state;
	struct row_entry *next;
};

static pthread_mutex_t rows_lock = PTHREAD_MUTEX_INITIALIZER; /* leaf lock */
static struct row_entry *buckets[ROWS_BUCKETS];
static size_t row_total;
/* Shared by all kinds beyond ROWS_MAX. */
static struct row_state overflow_state = {.kind = "other"};

static metric_id get_row_metric(struct row_state *s, int counter);
static void name_counter(
    const struct row_state *s, int counter, char *out, size_t size);
static int render_row(const struct row_state *s, bool first, struct buf *out);

/*
 * Returns the state of a kind and creates it on first use. Kinds beyond
 * ROWS_MAX, and those for which there is no memory, share one state.
 */
struct row_state *
find_row_state(const char *kind)
{
	size_t b = hash_str(make_str(kind), 0) % ROWS_BUCKETS;
	struct row_entry *e;

	pthread_mutex_lock(&rows_lock);
	for (e = buckets[b]; e != NULL; e = e->next) {
		if (strcmp(e->state.kind, kind) == 0)
			break;
	}
	if (e == NULL && row_total < ROWS_MAX)
		e = calloc(1, sizeof(*e));
	if (e != NULL && e->state.kind[0] == '\0') {
		(void)copy_str(
		    e->state.kind, sizeof(e->state.kind), make_str(kind));
		start_retry_budget(&e->state.budget);
		e->next = buckets[b];
		buckets[b] = e;
		row_total++;
	}
	pthread_mutex_unlock(&rows_lock);
	return e != NULL ? &e->state : &overflow_state;
}

void
count_row(struct row_state *s, int counter, uint64_t n)
{
	ck_pr_add_64(&s->counts[counter], n);
	count_metric(get_row_metric(s, counter), n);
}

/*
 * Adds a time to a histogram. The metric is in microseconds.
 */
void
observe_row(struct row_state *s, int counter, int64_t ns)
{
	uint64_t us = ns > 0 ? (uint64_t)(ns / NSEC_PER_USEC) : 0;

	ck_pr_inc_64(&s->counts[counter]);
	observe_metric(get_row_metric(s, counter), us);
}

/*
 * Appends the counts of all rows as a JSON object with one member per kind.
 */
int
render_rows(struct buf *out)
{
	bool first = true;
	int rc = append_buf(out, "{", 1);

	pthread_mutex_lock(&rows_lock);
	for (size_t b = 0; b < ROWS_BUCKETS && rc == 0; b++) {
		for (struct row_entry *e = buckets[b]; e != NULL && rc == 0;
		     e = e->next) {
			rc = render_row(&e->state, first, out);
			first = false;
		}
	}
	pthread_mutex_unlock(&rows_lock);
	return rc != 0 ? rc : append_buf(out, "}", 1);
}

/*
 * Returns the metric id of a counter and registers it on first use. Ids are
 * stored plus 2, so that 0 means not registered and 1 means refused by the
 * registry.
 */
static metric_id
get_row_metric(struct row_state *s, int counter)
{
	metric_id id = ck_pr_load_int(&s->ids[counter]);
	char name[METRIC_NAME_BYTES];
	bool histogram = counter == ROW_QUEUE_US || counter == ROW_ADDED_US;

	if (id != 0)
		return id - 2;
	name_counter(s, counter, name, sizeof(name));
	id = register_metric(histogram ? METRIC_HISTOGRAM : METRIC_COUNTER,
	    name, "calls of a row");
	if (id < 0)
		id = -1;
	ck_pr_store_int(&s->ids[counter], id + 2);
	return id;
}

static void
name_counter(const struct row_state *s, int counter, char *out, size_t size)
{
	const char *k = s->kind;

	if (counter >= ROW_ADDED_US)
		snprintf(out, size, "ggs_added_us{kind=\"%s\"}", k);
	else if (counter == ROW_QUEUE_US)
		snprintf(out, size, "ggs_queue_us{kind=\"%s\"}", k);
	else if (counter == ROW_HEDGES)
		snprintf(out, size, "ggs_hedges_total{kind=\"%s\"}", k);
	else if (counter == ROW_RETRIES)
		snprintf(out, size, "ggs_retries_total{kind=\"%s\"}", k);
	else if (counter >= ROW_REFUSED)
		snprintf(out, size,
		    "ggs_refused_total{kind=\"%s\",reason=\"%s\"}", k,
		    get_refuse_name(
			(enum refuse_reason)(counter - ROW_REFUSED)));
	else if (counter >= ROW_SERVED)
		snprintf(out, size,
		    "ggs_served_total{kind=\"%s\",outcome=\"%s\"}", k,
		    get_outcome_name(
			(enum call_outcome)(counter - ROW_SERVED)));
	else
		snprintf(out, size,
		    "ggs_calls_total{kind=\"%s\",outcome=\"%s\"}", k,
		    get_outcome_name((enum call_outcome)(counter - ROW_CALLS)));
}

static int
render_row(const struct row_state *s, bool first, struct buf *out)
{
	const uint64_t *n = s->counts;
	uint64_t refused = 0;

	for (int i = ROW_REFUSED; i < ROW_RETRIES; i++)
		refused += ck_pr_load_64(&n[i]);
	return append_buf_fmt(out,
	    "%s\"%s\":{\"ran\":%llu,\"failed\":%llu,\"not_run\":%llu,"
	    "\"unknown\":%llu,\"served\":%llu,\"refused\":%llu,"
	    "\"retries\":%llu,\"hedges\":%llu}",
	    first ? "" : ",", s->kind,
	    (unsigned long long)ck_pr_load_64(&n[ROW_CALLS + OUTCOME_RAN]),
	    (unsigned long long)ck_pr_load_64(&n[ROW_CALLS + OUTCOME_FAILED]),
	    (unsigned long long)ck_pr_load_64(&n[ROW_CALLS + OUTCOME_NOT_RUN]),
	    (unsigned long long)ck_pr_load_64(&n[ROW_CALLS + OUTCOME_UNKNOWN]),
	    (unsigned long long)ck_pr_load_64(&n[ROW_SERVED + OUTCOME_RAN]),
	    (unsigned long long)refused,
	    (unsigned long long)ck_pr_load_64(&n[ROW_RETRIES]),
	    (unsigned long long)ck_pr_load_64(&n[ROW_HEDGES]));
}
