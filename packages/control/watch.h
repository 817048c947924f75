/*
 * Decisions of the watch service: reply now or keep the watch pending, delta
 * or full table, and rate limit of full tables. Pure: the time is passed in.
 */
#ifndef WATCH_H
#define WATCH_H

#include "registry.h"
#include "state.h"
#include "wire.h"

#define WATCH_STALE_NS (2 * NSEC_PER_SEC) /* without contact to a leader */
/*
 * Of a round of the replica's work. Nodes must have a table in force 2 s after
 * its acceptance; with 2 s they were up to 0.13 s late when the disk of their
 * control process hung. The rest is for moving on and for a full table.
 */
#define WATCH_BLOCKED_NS NSEC_PER_SEC
#define WATCH_CACHE_MAX 256 /* base versions with an encoded reply */
#define WATCH_PACKED_MAX 32 /* packed replies kept for further nodes */
/*
 * Changes of sets are sent at intervals that grow with the watches, so that a
 * series of changes costs each node one reply an interval and not one a change.
 */
#define WATCH_SET_SPACING_NS (8 * NSEC_PER_MSEC) /* per pending watch */
#define WATCH_SET_INTERVAL_MAX_NS NSEC_PER_SEC
#define WATCH_REPLY_BYTES (900 * 1024) /* further sets go in the next reply */
#define WATCH_TOKEN_BYTES 16384 /* bytes of a full table per token */
#define WATCH_PACKED_RATIO 4 /* a packed table is shorter by this at least */
#define WATCH_TOKEN_RATE 1000 /* per second; about 16 MB/s */
#define WATCH_RETRY_MAX_MS 15000

enum watch_verdict {
	WATCH_PENDING = 0, /* nothing newer; reply later */
	WATCH_REPLY,
	WATCH_STALE, /* refuse: the process has no contact to a leader */
	WATCH_NEEDS_READ, /* pending until a read index is confirmed */
};

/* State of the process when it decides on a watch. */
struct watch_view {
	uint64_t version; /* of the local table */
	bool stale; /* no contact to a leader */
	bool starting; /* no contact to a leader since the process started */
	bool confirmed; /* by a read index requested after the watch arrived */
	bool timed_out; /* the heartbeat interval of the request has passed */
	bool sets_due; /* changes of sets are sent now */
	const struct registry *registry;
};

enum watch_verdict decide_watch(
    const struct watch_view *v, const struct wire_watch_args *a);
/* Time between replies for changes of sets, in ns. */
int64_t get_set_interval(size_t pending_watches);

/* Rate limit of full tables */
struct token_bucket {
	uint32_t rate; /* tokens per second, also the capacity */
	int64_t refilled_ns;
	double tokens;
	double retry_backlog; /* tokens of refused requests that will retry */
};

/* rate 0: WATCH_TOKEN_RATE */
void open_bucket(struct token_bucket *b, uint32_t rate, int64_t now);
/* Returns 0, or the delay before a retry in ms (the node adds jitter). */
int consume_tokens(struct token_bucket *b, uint32_t count, int64_t now);

/* The table update for one base version, and its reply without sets. */
struct watch_update {
	bool used;
	uint64_t base; /* table version of the node; 0: none */
	wire_table_form form;
	struct buf body; /* delta or full table */
	struct buf reply; /* encoded once, sent to all nodes with this base */
};

/* A packed reply, and what it depends on. */
struct packed_reply {
	uint64_t key; /* digest of the inputs; 0: unused */
	struct buf reply;
};

struct watch_cache {
	uint64_t version; /* of the table that the updates lead to */
	struct packed_reply packed[WATCH_PACKED_MAX];
	size_t next_packed; /* index in packed, round robin */
	struct buf full_table; /* as CSV; empty: not rendered yet */
	struct watch_update updates[WATCH_CACHE_MAX];
	size_t next_evicted; /* index in updates, round robin */
	uint64_t encoded; /* replies encoded since the start */
};

/* Finds the update from base to the table in force; valid until next call. */
int find_update(struct watch_cache *c, const struct state *s, uint64_t base,
    struct watch_update **out);
void clear_cache(struct watch_cache *c);

/* The list of control processes that nodes receive. */
struct watch_controls {
	uint64_t digest; /* 0: no list to send */
	struct wire_member *members;
	unsigned int count;
};

/*
 * Appends the encoded reply: the table update when the node needs it, the sets
 * that changed since those the node has (up to WATCH_REPLY_BYTES), and the
 * control processes when the node requests them and has another list.
 */
int encode_watch_reply(struct watch_cache *c, const struct state *s,
    const struct registry *g, const struct watch_controls *controls,
    const struct wire_watch_args *a, const struct wire_hlc *stamp,
    struct buf *out);
/* The same as an encoded wire_packed. */
int encode_packed_reply(struct watch_cache *c, const struct state *s,
    const struct registry *g, const struct watch_controls *controls,
    const struct wire_watch_args *a, const struct wire_hlc *stamp,
    struct buf *out);
/* Appends a refusal (LIMIT, STALE, ...): a reply without table and sets. */
int encode_watch_refusal(wire_status status, int retry_ms,
    const struct wire_hlc *stamp, struct buf *out);
bool needs_table(uint64_t version, const struct wire_watch_args *a);
uint32_t get_update_tokens(
    const struct watch_update *u, bool packed); /* delta: 0 */

#endif
