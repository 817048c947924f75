/*
 * Buffered reading and writing of a non-blocking socket. Input memory grows
 * with the bytes that arrived, not with the length that a record announces.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rpc_message.h"
#include "rpc_stream.h"

#define READ_BYTES (64 * 1024) /* one read; keeps connections in turn */
#define KEEP_BYTES 4096 /* empty buffers above this are freed */

static void shrink_buf(struct buf *b, size_t *at);

void
open_rpc_stream(struct rpc_stream *st, int fd, int64_t now)
{
	*st = (struct rpc_stream){.fd = fd, .received_at = now};
}

void
close_rpc_stream(struct rpc_stream *st)
{
	if (st->fd >= 0)
		close(st->fd);
	unload_buf(&st->in);
	unload_buf(&st->out);
	*st = (struct rpc_stream){.fd = -1};
}

/*
 * Reads once, without blocking, up to READ_BYTES. Returns 0 also when nothing
 * was there, ERR_CLOSED on end of input or a socket error and ERR_MEMORY.
 */
int
read_rpc_stream(struct rpc_stream *st, int64_t now)
{
	char chunk[READ_BYTES];
	ssize_t n = recv(st->fd, chunk, sizeof(chunk), 0);

	if (n < 0)
		return errno == EAGAIN || errno == EINTR ? 0 : ERR_CLOSED;
	if (n == 0)
		return ERR_CLOSED;
	st->received_at = now;
	return append_buf(&st->in, chunk, (size_t)n);
}

/*
 * Takes the next whole record; it stays valid and may be changed until
 * compact_rpc_stream(). max bounds every record; limit, which may be NULL,
 * bounds this one once its head is there. Returns 1 with a record, 0 when more
 * input is needed, and a negative error number when the stream is unusable.
 */
int
take_rpc_record(struct rpc_stream *st, size_t max, rpc_limit_fn limit,
    void *arg, char **record, size_t *len)
{
	size_t have = st->in.len - st->in_at, own = max;
	char *p = st->in.data + st->in_at;
	int rc;

	if (have < RPC_MARK_BYTES)
		return 0;
	rc = decode_rpc_mark(p, max, len);
	if (rc != 0)
		return rc;
	if (limit != NULL) {
		if (*len < RPC_PEEK_BYTES)
			return ERR_CORRUPT;
		if (have < RPC_MARK_BYTES + RPC_PEEK_BYTES)
			return 0;
		rc = limit(
		    arg, make_str_n(p + RPC_MARK_BYTES, RPC_PEEK_BYTES), &own);
		if (rc != 0)
			return rc;
		if (*len > own)
			return ERR_LIMIT;
	}
	if (have < RPC_MARK_BYTES + *len)
		return 0;
	*record = p + RPC_MARK_BYTES;
	st->in_at += RPC_MARK_BYTES + *len;
	return 1;
}

/*
 * Frees the records taken since the last call. taken tells whether there were
 * any: the time of a partial record counts from its first byte and is not
 * extended by further bytes.
 */
void
compact_rpc_stream(struct rpc_stream *st, bool taken, int64_t now)
{
	shrink_buf(&st->in, &st->in_at);
	if (st->in.len == 0)
		st->partial_since = 0;
	else if (taken || st->partial_since == 0)
		st->partial_since = now;
}

/*
 * Writes what the socket takes. Returns ERR_CLOSED when the peer is gone.
 */
int
flush_rpc_stream(struct rpc_stream *st, int64_t now)
{
	while (st->out_at < st->out.len) {
		ssize_t n = send(st->fd, st->out.data + st->out_at,
		    st->out.len - st->out_at, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n <= 0)
			return ERR_CLOSED;
		st->out_at += (size_t)n;
		st->written += (uint64_t)n;
		st->stall_since = now;
	}
	shrink_buf(&st->out, &st->out_at);
	if (st->out.len == 0)
		st->stall_since = 0;
	else if (st->stall_since == 0)
		st->stall_since = now;
	return 0;
}

size_t
get_rpc_unsent(const struct rpc_stream *st)
{
	return st->out.len - st->out_at;
}

uint64_t
get_rpc_queued(const struct rpc_stream *st)
{
	return st->written + get_rpc_unsent(st);
}

/*
 * Drops the first *at bytes once they are at least half of the content.
 */
static void
shrink_buf(struct buf *b, size_t *at)
{
	if (*at == b->len) {
		b->len = 0;
		*at = 0;
		if (b->cap > KEEP_BYTES)
			unload_buf(b);
	} else if (*at >= b->len - *at) {
		memmove(b->data, b->data + *at, b->len - *at);
		b->len -= *at;
		*at = 0;
	}
}
