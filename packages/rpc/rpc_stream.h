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
	size_t in_at; /* bytes of in already taken */
	struct buf out;
	size_t out_at; /* bytes of out already written */
	uint64_t written; /* bytes handed to the kernel since opening */
	int64_t partial_since; /* first byte of an incomplete record, 0: none */
	int64_t stall_since; /* last progress of pending output, 0: none */
	int64_t received_at; /* last byte received, or opening */
};

/*
 * Tells the longest record allowed, from its first RPC_PEEK_BYTES; a negative
 * error number refuses it.
 */
typedef int (*rpc_limit_fn)(void *arg, struct str head, size_t *max);

void open_rpc_stream(struct rpc_stream *st, int fd, int64_t now);
void close_rpc_stream(struct rpc_stream *st);
int read_rpc_stream(struct rpc_stream *st, int64_t now); /* ERR_CLOSED: ended */
int take_rpc_record(struct rpc_stream *st, size_t max, rpc_limit_fn limit,
    void *arg, char **record, size_t *len); /* 1: one taken; 0: none */
void compact_rpc_stream(struct rpc_stream *st, bool taken, int64_t now);
int flush_rpc_stream(struct rpc_stream *st, int64_t now); /* ERR_CLOSED */
size_t get_rpc_unsent(const struct rpc_stream *st); /* bytes */
uint64_t get_rpc_queued(const struct rpc_stream *st); /* since opening */

#endif
