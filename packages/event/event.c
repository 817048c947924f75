/*
 * The event ring of one process.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>

#include "event.h"
#include "log.h"

#define EVENT_NODE_BYTES 64

struct event_log {
	pthread_mutex_t lock; /* leaf lock; guards last, ring and recorded */
	struct clock_source clock;
	struct hlc last; /* last value of the hybrid logical clock */
	struct event *ring;
	size_t capacity;
	uint64_t recorded; /* events since the start */
	char node[EVENT_NODE_BYTES];
};

static struct hlc advance_hlc(struct event_log *l, struct hlc seen);
static int render_event(
    const struct event_log *l, const struct event *e, struct buf *out);

/*
 * Opens a log that keeps the newest capacity events. node is copied; it names
 * the process in the rendered events. Returns NULL when out of memory.
 */
struct event_log *
open_event_log(struct clock_source clock, const char *node, size_t capacity)
{
	struct event_log *l = calloc(1, sizeof(*l));

	if (l == NULL)
		return NULL;
	l->ring = calloc(capacity, sizeof(*l->ring));
	if (l->ring == NULL) {
		free(l);
		return NULL;
	}
	pthread_mutex_init(&l->lock, NULL);
	l->clock = clock;
	l->capacity = capacity;
	snprintf(l->node, sizeof(l->node), "%s", node);
	return l;
}

void
close_event_log(struct event_log *l)
{
	if (l == NULL)
		return;
	pthread_mutex_destroy(&l->lock);
	free(l->ring);
	free(l);
}

/*
 * Records an event, overwriting the oldest one when the ring is full, and
 * writes it as a log line. Texts that are too long are truncated.
 */
void
record_event(struct event_log *l, const char *kind, const char *subject,
    uint64_t version, const char *fmt, ...)
{
	struct event e = {.version = version};
	char name[sizeof(e.kind) + 8];
	va_list ap;

	if (l == NULL)
		return;
	snprintf(e.kind, sizeof(e.kind), "%s", kind);
	snprintf(e.subject, sizeof(e.subject), "%s", subject);
	va_start(ap, fmt);
	vsnprintf(e.detail, sizeof(e.detail), fmt, ap);
	va_end(ap);
	pthread_mutex_lock(&l->lock);
	e.stamp = advance_hlc(l, (struct hlc){0});
	l->ring[l->recorded % l->capacity] = e;
	l->recorded++;
	pthread_mutex_unlock(&l->lock);
	snprintf(name, sizeof(name), "fleet.%s", e.kind);
	WRITE_EVENT(LOG_LEVEL_INFO, name, LOG_TEXT("subject", e.subject),
	    LOG_INT("version", e.version), LOG_TEXT("detail", e.detail),
	    LOG_INT("hlc_ns", e.stamp.wall_ns),
	    LOG_INT("hlc_count", e.stamp.count));
}

/*
 * Returns a new stamp for an outgoing message; 0 when l is NULL.
 */
struct hlc
stamp_hlc(struct event_log *l)
{
	struct hlc h;

	if (l == NULL)
		return (struct hlc){0};
	pthread_mutex_lock(&l->lock);
	h = advance_hlc(l, (struct hlc){0});
	pthread_mutex_unlock(&l->lock);
	return h;
}

/*
 * Merges the stamp of a received message into the clock, so that later events
 * sort after it.
 */
void
merge_hlc(struct event_log *l, struct hlc seen)
{
	if (l == NULL)
		return;
	pthread_mutex_lock(&l->lock);
	advance_hlc(l, seen);
	pthread_mutex_unlock(&l->lock);
}

uint64_t
get_event_drops(struct event_log *l)
{
	uint64_t n;

	pthread_mutex_lock(&l->lock);
	n = l->recorded > l->capacity ? l->recorded - l->capacity : 0;
	pthread_mutex_unlock(&l->lock);
	return n;
}

/*
 * Appends the events in the ring, oldest first, one JSON object per line.
 * Returns ERR_MEMORY.
 */
int
render_events(struct event_log *l, struct buf *out)
{
	uint64_t first;
	int rc = 0;

	pthread_mutex_lock(&l->lock);
	first = l->recorded > l->capacity ? l->recorded - l->capacity : 0;
	for (uint64_t i = first; i < l->recorded && rc == 0; i++)
		rc = render_event(l, &l->ring[i % l->capacity], out);
	pthread_mutex_unlock(&l->lock);
	return rc;
}

/*
 * Orders stamps by time, then by count.
 */
int
compare_hlc(struct hlc a, struct hlc b)
{
	if (a.wall_ns != b.wall_ns)
		return a.wall_ns < b.wall_ns ? -1 : 1;
	return a.count < b.count ? -1 : a.count > b.count;
}

/*
 * Advances the hybrid logical clock beyond its last value and beyond seen, at
 * least to the wall clock, and returns it. Call with the lock held.
 */
static struct hlc
advance_hlc(struct event_log *l, struct hlc seen)
{
	struct hlc now = {read_wall(&l->clock), 0};
	struct hlc latest = compare_hlc(seen, l->last) > 0 ? seen : l->last;

	if (compare_hlc(now, latest) <= 0) {
		now = latest;
		now.count++;
	}
	l->last = now;
	return now;
}

/*
 * Appends one event as a JSON object and a newline. Returns ERR_MEMORY.
 */
static int
render_event(const struct event_log *l, const struct event *e, struct buf *out)
{
	json_t *o = json_pack("{s:I,s:I,s:s,s:s,s:s,s:I,s:s}", "wall_ns",
	    (json_int_t)e->stamp.wall_ns, "count", (json_int_t)e->stamp.count,
	    "node", l->node, "kind", e->kind, "subject", e->subject, "version",
	    (json_int_t)e->version, "detail", e->detail);
	char *text = o != NULL ? json_dumps(o, JSON_COMPACT) : NULL;
	int rc;

	json_decref(o);
	if (text == NULL)
		return ERR_MEMORY;
	rc = append_buf_fmt(out, "%s\n", text);
	free(text);
	return rc;
}
