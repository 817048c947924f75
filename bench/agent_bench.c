/*
 * Measures the cost of pinning the current table for a call: pin and unpin by
 * 1, 4 and 8 threads while a writer publishes new versions, and a counter under
 * a mutex for comparison. Prints JSON lines; GGS_COMMIT names the commit in
 * them.
 *
 * usage: agent_bench [MILLISECONDS]
 */
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include <jansson.h>

#include "agent_hold.h"

#define THREADS_MAX 8
#define SWITCH_MS 10 /* between two versions; far more often than by design */

enum method {
	METHOD_PIN,
	METHOD_MUTEX,
};

/* One measurement, shared by its threads. */
struct bench {
	enum method method;
	struct table_pins *table_pins;
	pthread_mutex_t lock;
	int refs; /* protected by lock */
	atomic_bool stop;
	atomic_ullong pairs; /* of pin and unpin */
};

static void *run_pin_loop(void *arg);
static int measure_pin(enum method method, int threads, int64_t ms);
static void print_value(const char *params, double value);
static void sleep_ms(int64_t ms);

int
main(int argc, char **argv)
{
	static const int threads[] = {1, 4, THREADS_MAX};
	int64_t ms = 1000;
	int rc = 0;

	if (argc > 1 && parse_i64(make_str(argv[1]), 10, 60000, &ms) != 0) {
		fputs("usage: agent_bench [MILLISECONDS]\n", stderr);
		return 2;
	}
	for (size_t i = 0; i < sizeof(threads) / sizeof(threads[0]); i++) {
		rc |= measure_pin(METHOD_PIN, threads[i], ms);
		rc |= measure_pin(METHOD_MUTEX, threads[i], ms);
	}
	return rc != 0;
}

/*
 * Pins and unpins until the end of the measurement.
 */
static void *
run_pin_loop(void *arg)
{
	struct bench *b = arg;
	unsigned long long n = 0;

	while (!atomic_load_explicit(&b->stop, memory_order_relaxed)) {
		if (b->method == METHOD_PIN) {
			unpin_table(b->table_pins, pin_table(b->table_pins));
		} else {
			pthread_mutex_lock(&b->lock);
			b->refs++;
			pthread_mutex_unlock(&b->lock);
			pthread_mutex_lock(&b->lock);
			b->refs--;
			pthread_mutex_unlock(&b->lock);
		}
		n++;
	}
	atomic_fetch_add(&b->pairs, n);
	return NULL;
}

/*
 * Prints the time of one pin and unpin, in ns, as a thread sees it. Returns
 * ERR_MEMORY, or ERR_IO if not all threads could be started.
 */
static int
measure_pin(enum method method, int threads, int64_t ms)
{
	struct bench b = {.method = method, .table_pins = open_table_pins()};
	pthread_t ids[THREADS_MAX];
	char params[64];
	int started = 0;
	double pairs;

	if (b.table_pins == NULL)
		return ERR_MEMORY;
	pthread_mutex_init(&b.lock, NULL);
	while (started < threads &&
	       pthread_create(&ids[started], NULL, run_pin_loop, &b) == 0)
		started++;
	for (int64_t at = 0; at < ms; at += SWITCH_MS) {
		struct table *t = make_empty_table();

		if (t != NULL && publish_table(b.table_pins, t) != 0)
			unload_table(t);
		sleep_ms(SWITCH_MS);
	}
	atomic_store(&b.stop, true);
	for (int i = 0; i < started; i++)
		pthread_join(ids[i], NULL);
	pairs = (double)atomic_load(&b.pairs);
	snprintf(params, sizeof(params), "method=%s threads=%d",
	    method == METHOD_PIN ? "hold" : "mutex", threads);
	if (pairs > 0)
		print_value(
		    params, (double)ms * NSEC_PER_MSEC * threads / pairs);
	close_table_pins(b.table_pins);
	pthread_mutex_destroy(&b.lock);
	return started == threads ? 0 : ERR_IO;
}

static void
print_value(const char *params, double value)
{
	const char *commit = getenv("GGS_COMMIT");
	json_t *j =
	    json_pack("{s:s,s:s,s:s,s:f,s:s,s:s}", "experiment", "agent_hold",
		"params", params, "metric", "acquire_release", "value", value,
		"unit", "ns", "commit", commit != NULL ? commit : "unknown");
	char *text = j != NULL ? json_dumps(j, JSON_COMPACT) : NULL;

	if (text != NULL)
		puts(text);
	free(text);
	json_decref(j);
}

static void
sleep_ms(int64_t ms)
{
	struct timespec ts = {ms / 1000, (ms % 1000) * NSEC_PER_MSEC};

	nanosleep(&ts, NULL);
}
