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

#define READ_CHUNK_BYTES (64 * 1024) /* per read, for fairness */
#define IDLE_BUF_MAX 4096 /* bytes; larger empty buffers are freed */

static void discard_consumed(struct buf *b, size_t *consumed);

void
open_rpc_stream(struct rpc_stream *st, int fd, int64_t now)
{
	*st = (struct rpc_stream){.fd = fd, .last_received = now};
}

/*
 * Closes the socket and frees both buffers. total_written becomes 0.
 */
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
 * Reads up to READ_CHUNK_BYTES once, without blocking. Returns 0 also when no
 * input is available, ERR_CLOSED at the end of input or on a socket error, and
 * ERR_MEMORY.
 */
int
read_rpc_stream(struct rpc_stream *st, int64_t now)
{
	char chunk[READ_CHUNK_BYTES];
	ssize_t n = recv(st->fd, chunk, sizeof(chunk), 0);

	if (n < 0)
		return errno == EAGAIN || errno == EINTR ? 0 : ERR_CLOSED;
	if (n == 0)
		return ERR_CLOSED;
	st->last_received = now;
	return append_buf(&st->in, chunk, (size_t)n);
}

/*
 * Returns the next complete record, which points into the input buffer and may
 * be changed until compact_rpc_stream(). max bounds every record; limit, which
 * may be NULL, bounds this one as soon as its first RPC_PEEK_BYTES are there.
 * Returns 1 with a record, 0 when more input is needed, and a negative error
 * number when the connection must be closed.
 */
int
pop_rpc_record(struct rpc_stream *st, size_t max, rpc_limit_fn limit, void *arg,
    char **record, size_t *len)
{
	size_t available = st->in.len - st->in_consumed, record_max = max;
	char *p = st->in.data + st->in_consumed;
	int rc;

	if (available < RPC_MARK_BYTES)
		return 0;
	rc = decode_rpc_mark(p, max, len);
	if (rc != 0)
		return rc;
	if (limit != NULL) {
		if (*len < RPC_PEEK_BYTES)
			return ERR_CORRUPT;
		if (available < RPC_MARK_BYTES + RPC_PEEK_BYTES)
			return 0;
		rc = limit(arg, make_str_n(p + RPC_MARK_BYTES, RPC_PEEK_BYTES),
		    &record_max);
		if (rc != 0)
			return rc;
		if (*len > record_max)
			return ERR_LIMIT;
	}
	if (available < RPC_MARK_BYTES + *len)
		return 0;
	*record = p + RPC_MARK_BYTES;
	st->in_consumed += RPC_MARK_BYTES + *len;
	return 1;
}

/*
 * Frees the input of popped records; popped: there were some since the last
 * call. The time of a partial record starts at its first byte and is not
 * extended by further bytes.
 */
void
compact_rpc_stream(struct rpc_stream *st, bool popped, int64_t now)
{
	discard_consumed(&st->in, &st->in_consumed);
	if (st->in.len == 0)
		st->partial_since = 0;
	else if (popped || st->partial_since == 0)
		st->partial_since = now;
}

/*
 * Writes as much output as the socket accepts. Returns ERR_CLOSED when the
 * connection is closed or broken.
 */
int
flush_rpc_stream(struct rpc_stream *st, int64_t now)
{
	while (st->out_written < st->out.len) {
		ssize_t n = send(st->fd, st->out.data + st->out_written,
		    st->out.len - st->out_written, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n <= 0)
			return ERR_CLOSED;
		st->out_written += (size_t)n;
		st->total_written += (uint64_t)n;
		st->stall_since = now;
	}
	discard_consumed(&st->out, &st->out_written);
	if (st->out.len == 0)
		st->stall_since = 0;
	else if (st->stall_since == 0)
		st->stall_since = now;
	return 0;
}

size_t
get_rpc_unsent_bytes(const struct rpc_stream *st)
{
	return st->out.len - st->out_written;
}

uint64_t
get_rpc_queued_total(const struct rpc_stream *st)
{
	return st->total_written + get_rpc_unsent_bytes(st);
}

/*
 * Removes the first *consumed bytes once they are at least half of the content,
 * so that the cost of moving the rest is amortized.
 */
static void
discard_consumed(struct buf *b, size_t *consumed)
{
	if (*consumed == b->len) {
		b->len = 0;
		*consumed = 0;
		if (b->cap > IDLE_BUF_MAX)
			unload_buf(b);
	} else if (*consumed >= b->len - *consumed) {
		memmove(b->data, b->data + *consumed, b->len - *consumed);
		b->len -= *consumed;
		*consumed = 0;
	}
}
