/*
 * A non-blocking socket with its input and output buffers, split into records.
 * Used by one thread. Internal to the package.
 */
#ifndef RPC_STREAM_H
#define RPC_STREAM_H

#include "base.h"
#include "rpc.h"

struct rpc_stream {
	int fd; /* negative: closed */
	struct buf in;
	size_t in_consumed; /* bytes of in that popped records occupy */
	struct buf out;
	size_t out_written; /* bytes of out already written */
	uint64_t total_written; /* bytes written to the socket since opening */
	/* Times of the monotonic clock in ns */
	int64_t partial_since; /* start of an incomplete record, 0: none */
	int64_t stall_since; /* last progress of pending output, 0: none */
	int64_t last_received; /* last input; initially the time of opening */
};

/*
 * Sets *max to the longest length allowed for a record, which it recognizes by
 * its first RPC_PEEK_BYTES. A negative error number refuses the record.
 */
typedef int (*rpc_limit_fn)(void *arg, struct str head, size_t *max);

void open_rpc_stream(struct rpc_stream *st, int fd, int64_t now);
void close_rpc_stream(struct rpc_stream *st);
int read_rpc_stream(struct rpc_stream *st, int64_t now); /* ERR_CLOSED: end */
int pop_rpc_record(struct rpc_stream *st, size_t max, rpc_limit_fn limit,
    void *arg, char **record, size_t *len); /* 1: popped; 0: incomplete */
void compact_rpc_stream(struct rpc_stream *st, bool popped, int64_t now);
int flush_rpc_stream(struct rpc_stream *st, int64_t now); /* ERR_CLOSED */
size_t get_rpc_unsent_bytes(const struct rpc_stream *st); /* in output */
uint64_t get_rpc_queued_total(const struct rpc_stream *st); /* since opening */

#endif
