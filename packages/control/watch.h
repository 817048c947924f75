/*
 * Decisions of the watch service: reply or hold, delta or whole table, and
 * admission of whole tables. Pure: the time is passed in.
 */
#ifndef WATCH_H
#define WATCH_H

#include "registry.h"
#include "state.h"
#include "wire.h"

#define WATCH_STALE_NS (2 * NSEC_PER_SEC) /* no contact to a leader */
#define WATCH_CACHE_MAX 256 /* bases with an encoded reply */
#define WATCH_REPLY_BYTES (900 * 1024) /* sets beyond wait for the next */
#define WATCH_TOKEN_BYTES 16384 /* of a whole table, for one token */
#define WATCH_TOKEN_RATE 1000 /* a second; about 16 MB/s */
#define WATCH_RETRY_MAX_MS 15000

enum watch_verdict {
	WATCH_HOLD = 0, /* nothing newer; answer later */
	WATCH_REPLY,
	WATCH_STALE, /* the process is cut off from the leader */
	WATCH_READ, /* confirm a read index first */
};

/* What the process holds when it decides. */
struct watch_view {
	uint64_t version; /* table */
	bool stale;
	bool starting; /* no contact to a leader yet since its start */
	bool confirmed; /* a read index, requested after arrival */
	bool due; /* the heartbeat interval of the request is over */
	const struct registry *registry;
};

enum watch_verdict decide_watch(
    const struct watch_view *v, const struct wire_watch_args *a);

/* Whole tables by token bucket */
struct token_bucket {
	uint32_t rate; /* tokens a second, also the most saved up */
	int64_t filled_ns;
	double tokens;
	double refused; /* refused and expected to retry */
};

void open_bucket(struct token_bucket *b, uint32_t rate, int64_t now);
/* Returns 0, or the ms after which to retry (the caller adds jitter). */
int take_tokens(struct token_bucket *b, uint32_t count, int64_t now);

/* The update of the table for one base, and its reply without sets. */
struct watch_update {
	bool used;
	uint64_t base;
	wire_table_form form;
	struct buf body;
	struct buf reply; /* encoded once, sent to all nodes with this base */
};

struct watch_cache {
	uint64_t version;
	struct buf whole;
	struct watch_update updates[WATCH_CACHE_MAX];
	size_t next; /* overwritten when full */
	uint64_t encoded; /* replies encoded so far */
};

/* The update from base to the table in force; valid until the next call. */
int find_update(struct watch_cache *c, const struct state *s, uint64_t base,
    struct watch_update **out);
void clear_cache(struct watch_cache *c);

/* The control processes of the group, as nodes learn them. */
struct watch_controls {
	uint64_t digest; /* 0: none to send */
	struct wire_member *members;
	unsigned int count;
};

/*
 * Appends the encoded reply: the table update when the node lacks it, and the
 * sets that are newer than those it holds, as far as they fit, and the control
 * processes when it asks for them and holds another list.
 */
int encode_watch_reply(struct watch_cache *c, const struct state *s,
    const struct registry *g, const struct watch_controls *controls,
    const struct wire_watch_args *a, const struct wire_hlc *stamp,
    struct buf *out);
/* One without content, for LIMIT and STALE. */
int encode_watch_refusal(wire_status status, int retry_ms,
    const struct wire_hlc *stamp, struct buf *out);
bool needs_table(uint64_t version, const struct wire_watch_args *a);
uint32_t get_update_tokens(const struct watch_update *u); /* 0 for a delta */

#endif
