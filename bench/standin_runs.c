/*
 * The stand-in's record of executed calls by idempotency key and call id. The
 * load generator uses it to count duplicate runs and not-run answers to calls
 * that did run.
 */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "standin.h"

#define RUN_BUCKETS 65536
#define COUNTERS_MAX 16

/* The runs of one idempotency key, or of one call id if there is no key. */
struct run {
	struct run *next;
	char kind[STANDIN_NAME_BYTES];
	char key[STANDIN_KEY_BYTES];
	char call_id[STANDIN_KEY_BYTES];
	int count;
};

/* An event counter; the name is a string literal of the caller. */
struct named_count {
	const char *name;
	uint64_t count;
};

static pthread_mutex_t runs_lock = PTHREAD_MUTEX_INITIALIZER;
static struct run *runs[RUN_BUCKETS];
static uint64_t run_total, keyed_total, duplicate_total;
static struct named_count counters[COUNTERS_MAX];

static json_t *list_runs(bool all);

/*
 * Records that a call began to run. Calls with an idempotency key are counted
 * by the key, others by their call id.
 */
void
record_run(const char *kind, const char *key, const char *call_id)
{
	const char *by = key[0] != '\0' ? key : call_id;
	size_t b = hash_str(make_str(by), 0) % RUN_BUCKETS;
	struct run *r;

	pthread_mutex_lock(&runs_lock);
	for (r = runs[b]; r != NULL; r = r->next) {
		if (strcmp(r->key[0] != '\0' ? r->key : r->call_id, by) == 0 &&
		    strcmp(r->kind, kind) == 0)
			break;
	}
	if (r == NULL) {
		r = calloc(1, sizeof(*r));
		if (r != NULL) {
			(void)copy_str(
			    r->kind, sizeof(r->kind), make_str(kind));
			(void)copy_str(r->key, sizeof(r->key), make_str(key));
			(void)copy_str(
			    r->call_id, sizeof(r->call_id), make_str(call_id));
			r->next = runs[b];
			runs[b] = r;
		}
	}
	if (r != NULL && ++r->count > 1 && key[0] != '\0')
		duplicate_total++;
	run_total++;
	keyed_total += key[0] != '\0';
	pthread_mutex_unlock(&runs_lock);
}

/*
 * Adds one to the counter of an event. The name is kept by reference and must
 * stay valid.
 */
void
count_event(const char *what)
{
	int i;

	pthread_mutex_lock(&runs_lock);
	for (i = 0; i < COUNTERS_MAX && counters[i].name != NULL; i++) {
		if (strcmp(counters[i].name, what) == 0)
			break;
	}
	if (i < COUNTERS_MAX) {
		counters[i].name = what;
		counters[i].count++;
	}
	pthread_mutex_unlock(&runs_lock);
}

/*
 * Appends the counters and the runs as JSON: all runs, or only the keys that
 * ran more than once. Returns ERR_MEMORY if the text cannot be built.
 */
int
render_runs(bool all, struct buf *out)
{
	json_t *o = json_object(), *list, *counts = json_object();
	char *text;
	int rc = ERR_MEMORY;

	pthread_mutex_lock(&runs_lock);
	list = list_runs(all);
	for (int i = 0; i < COUNTERS_MAX && counters[i].name != NULL; i++)
		json_object_set_new(counts, counters[i].name,
		    json_integer((json_int_t)counters[i].count));
	json_object_set_new(o, "total", json_integer((json_int_t)run_total));
	json_object_set_new(o, "keyed", json_integer((json_int_t)keyed_total));
	json_object_set_new(
	    o, "duplicates", json_integer((json_int_t)duplicate_total));
	pthread_mutex_unlock(&runs_lock);
	json_object_set_new(o, "counts", counts);
	json_object_set_new(o, "runs", list);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	if (text != NULL)
		rc = append_buf_fmt(out, "%s\n", text);
	free(text);
	return rc;
}

/*
 * Lists the runs as a JSON array. The caller must hold runs_lock.
 */
static json_t *
list_runs(bool all)
{
	json_t *list = json_array();

	for (size_t b = 0; b < RUN_BUCKETS; b++) {
		for (struct run *r = runs[b]; r != NULL; r = r->next) {
			if (!all && (r->count < 2 || r->key[0] == '\0'))
				continue;
			json_array_append_new(
			    list, json_pack("{s:s,s:s,s:s,s:i}", "kind",
				      r->kind, "key", r->key, "call_id",
				      r->call_id, "count", r->count));
		}
	}
	return list;
}
