/*
 * Timeline of a process: a bounded ring of events, stamped by a hybrid logical
 * clock.
 */
#ifndef EVENT_H
#define EVENT_H

#include "base.h"

#define EVENT_RING_DEFAULT 8192 /* events kept by a process */
#define EVENT_KIND_BYTES 24
#define EVENT_SUBJECT_BYTES 64
#define EVENT_DETAIL_BYTES 160

/*
 * Hybrid logical clock: wall time in ns since the Unix epoch that never goes
 * back, and a counter that orders events with the same time.
 */
struct hlc {
	int64_t wall_ns;
	uint32_t count;
};

/* One event; subject is a call id, endpoint, version or peer. */
struct event {
	struct hlc stamp;
	uint64_t version; /* table version, 0 when none */
	char kind[EVENT_KIND_BYTES];
	char subject[EVENT_SUBJECT_BYTES];
	char detail[EVENT_DETAIL_BYTES];
};

struct event_log;

struct event_log *open_event_log(struct clock_source clock, const char *node,
    size_t capacity); /* NULL: out of memory */
void close_event_log(struct event_log *l);

void record_event(struct event_log *l, const char *kind, const char *subject,
    uint64_t version, const char *fmt, ...)
    __attribute__((format(printf, 5, 6))); /* l may be NULL */
struct hlc stamp_hlc(struct event_log *l); /* for an outgoing message */
void merge_hlc(struct event_log *l, struct hlc seen); /* incoming message */

uint64_t get_event_drops(struct event_log *l); /* events overwritten */
int render_events(struct event_log *l, struct buf *out); /* JSON lines */
int compare_hlc(struct hlc a, struct hlc b);

#endif
