/*
 * The load generator's report, and the check of its outcomes against the runs
 * that the stand-ins recorded.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <jansson.h>

#include "load.h"

static const char *const outcome_names[] = {
    "ran", "failed", "not_run", "unknown", "no_answer"};
static json_t *not_run_ids; /* id: true for an idempotency key */

static int compare_us(const void *a, const void *b);
static double get_quantile_ms(const struct load_row *r, double q);
static void print_row(
    const struct load_options *o, struct load_row *r, double seconds);
static void check_runs(const struct load_options *o);
static json_t *fetch_runs(const char *server);
static size_t append_body(char *data, size_t size, size_t n, void *arg);
static void add_runs(json_t *by_id, const json_t *runs);

/*
 * Remembers the id of a call that got only not-run answers: its idempotency key
 * if once is set, else its call id.
 */
void
record_not_run(const char *id, bool once)
{
	if (not_run_ids == NULL)
		not_run_ids = json_object();
	json_object_set_new(not_run_ids, id, json_boolean(once));
}

/*
 * Adds the latency of a call that ran; drops it when out of memory.
 */
void
record_latency(struct load_row *r, int64_t ns)
{
	if (r->sample_count == r->sample_cap) {
		size_t cap = r->sample_cap != 0 ? r->sample_cap * 2 : 4096;
		uint32_t *p = realloc(r->samples, cap * sizeof(*p));

		if (p == NULL)
			return;
		r->samples = p;
		r->sample_cap = cap;
	}
	r->samples[r->sample_count++] = (uint32_t)(ns / NSEC_PER_USEC);
}

/*
 * Prints the summary on standard error and JSON lines on standard output.
 */
void
print_report(struct load_options *o, double seconds)
{
	fprintf(stderr, "%-18s %8s %8s %7s %8s %8s %6s %7s %8s %8s %8s %8s\n",
	    "kind", "sent", "ran", "failed", "not-run", "unknown", "none",
	    "resent", "in-tgt", "p50 ms", "p99 ms", "p99.9 ms");
	for (int i = 0; i < o->row_count; i++)
		print_row(o, &o->rows[i], seconds);
	if (o->server_count > 0)
		check_runs(o);
}

void
print_value(const struct load_options *o, const char *metric, double value,
    const char *unit)
{
	json_t *j = json_pack("{s:s,s:s,s:s,s:f,s:s,s:s}", "experiment",
	    o->experiment, "params", o->params, "metric", metric, "value",
	    value, "unit", unit, "commit", o->commit);
	char *text = j != NULL ? json_dumps(j, JSON_COMPACT) : NULL;

	if (text != NULL)
		puts(text);
	free(text);
	json_decref(j);
}

static int
compare_us(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

/*
 * Returns a quantile of the sorted latencies, in ms; 0 without latencies.
 */
static double
get_quantile_ms(const struct load_row *r, double q)
{
	size_t i = (size_t)((double)r->sample_count * q);

	if (r->sample_count == 0)
		return 0;
	return (double)
		   r->samples[i < r->sample_count ? i : r->sample_count - 1] /
	       1000;
}

/*
 * Sorts the latencies of a row and prints its line of the summary and its JSON
 * lines.
 */
static void
print_row(const struct load_options *o, struct load_row *r, double seconds)
{
	static const struct {
		const char *name;
		double q;
	} quantiles[] = {
	    {"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p999", 0.999}};
	char metric[128];
	double in_target;

	if (r->sample_count > 1)
		qsort(r->samples, r->sample_count, sizeof(*r->samples),
		    compare_us);
	in_target = r->sent > 0 ?
			100.0 * (double)(r->outcomes[LOAD_RAN] - r->late) /
			    (double)r->sent :
			0;
	fprintf(stderr,
	    "%-18s %8llu %8llu %7llu %8llu %8llu %6llu %7llu %7.2f%% %8.3f "
	    "%8.3f %8.3f\n",
	    r->kind, (unsigned long long)r->sent,
	    (unsigned long long)r->outcomes[LOAD_RAN],
	    (unsigned long long)r->outcomes[LOAD_FAILED],
	    (unsigned long long)r->outcomes[LOAD_NOT_RUN],
	    (unsigned long long)r->outcomes[LOAD_UNKNOWN],
	    (unsigned long long)r->outcomes[LOAD_NONE],
	    (unsigned long long)r->resent, in_target, get_quantile_ms(r, 0.5),
	    get_quantile_ms(r, 0.99), get_quantile_ms(r, 0.999));
	for (size_t i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++) {
		snprintf(metric, sizeof(metric), "%s.%s", r->kind,
		    quantiles[i].name);
		print_value(
		    o, metric, get_quantile_ms(r, quantiles[i].q), "ms");
	}
	for (int i = 0; i < LOAD_OUTCOMES; i++) {
		snprintf(
		    metric, sizeof(metric), "%s.%s", r->kind, outcome_names[i]);
		print_value(o, metric, (double)r->outcomes[i], "calls");
	}
	snprintf(metric, sizeof(metric), "%s.sent", r->kind);
	print_value(o, metric, (double)r->sent, "calls");
	snprintf(metric, sizeof(metric), "%s.resent", r->kind);
	print_value(o, metric, (double)r->resent, "calls");
	snprintf(metric, sizeof(metric), "%s.goodput", r->kind);
	print_value(o, metric,
	    (double)(r->outcomes[LOAD_RAN] - r->late) / seconds, "calls/s");
	snprintf(metric, sizeof(metric), "%s.in_target", r->kind);
	print_value(o, metric, in_target, "%");
}

/*
 * Counts idempotency keys that ran more than once, over all servers, and calls
 * that ran although every answer to them was not-run.
 */
static void
check_runs(const struct load_options *o)
{
	json_t *by_id = json_object(), *v;
	const char *id;
	uint64_t duplicates = 0, false_not_run = 0, total = 0;

	for (int i = 0; i < o->server_count; i++) {
		json_t *runs = fetch_runs(o->servers[i]);

		if (runs == NULL)
			fprintf(stderr, "cannot read the runs of %s\n",
			    o->servers[i]);
		add_runs(by_id, runs);
		json_decref(runs);
	}
	json_object_foreach (by_id, id, v) {
		total += (uint64_t)json_integer_value(v);
		if (json_integer_value(v) > 1 && id[0] == 'k')
			duplicates++;
	}
	json_object_foreach (not_run_ids, id, v) {
		char key[LOAD_ID_BYTES + 32];

		snprintf(
		    key, sizeof(key), "%c%s", json_is_true(v) ? 'k' : 'c', id);
		false_not_run += json_object_get(by_id, key) != NULL;
	}
	fprintf(stderr,
	    "%llu runs, %llu duplicate runs, %llu untrue not-run answers\n",
	    (unsigned long long)total, (unsigned long long)duplicates,
	    (unsigned long long)false_not_run);
	print_value(o, "runs", (double)total, "runs");
	print_value(o, "duplicate_runs", (double)duplicates, "keys");
	print_value(o, "false_not_run", (double)false_not_run, "calls");
	json_decref(by_id);
}

/*
 * Fetches the runs of a stand-in. Returns NULL if it does not answer; the
 * caller releases the object.
 */
static json_t *
fetch_runs(const char *server)
{
	struct buf body = {0};
	char url[160];
	CURL *e = curl_easy_init();
	json_t *o = NULL;

	snprintf(url, sizeof(url), "http://%s/runs?all=1", server);
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, 30000L);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, &body);
	if (curl_easy_perform(e) == CURLE_OK)
		o = json_loadb(body.data, body.len, 0, NULL);
	curl_easy_cleanup(e);
	unload_buf(&body);
	return o;
}

/*
 * Appends received bytes to the buffer arg; returns 0, which ends the transfer,
 * when out of memory.
 */
static size_t
append_body(char *data, size_t size, size_t n, void *arg)
{
	return append_buf(arg, data, size * n) == 0 ? size * n : 0;
}

/*
 * Adds up the runs by idempotency key ("k...") or else by call id ("c...").
 */
static void
add_runs(json_t *by_id, const json_t *runs)
{
	json_t *r;
	size_t i;

	json_array_foreach (json_object_get(runs, "runs"), i, r) {
		const char *k = json_string_value(json_object_get(r, "key"));
		const char *c =
		    json_string_value(json_object_get(r, "call_id"));
		json_int_t n = json_integer_value(json_object_get(r, "count"));
		char id[256];

		if (k == NULL || c == NULL)
			continue;
		snprintf(id, sizeof(id), "%c%s", k[0] != '\0' ? 'k' : 'c',
		    k[0] != '\0' ? k : c);
		n += json_integer_value(json_object_get(by_id, id));
		json_object_set_new(by_id, id, json_integer(n));
	}
}
