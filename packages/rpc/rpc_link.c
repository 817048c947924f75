/*
 * Encodes outgoing messages and applies the fault hooks to them.
 */
#include <stdlib.h>
#include <string.h>

#include "rpc_link.h"

struct rpc_delayed {
	struct rpc_delayed *next;
	int64_t due; /* monotonic clock, ns */
	struct rpc_outgoing message;
	char body[]; /* copy that message.body points to */
};

static int append_message(struct rpc_link *l, const struct rpc_outgoing *m);
static int delay_message(
    struct rpc_link *l, const struct rpc_outgoing *m, int64_t due);
static void call_send_hook(const struct rpc_link *l,
    const struct rpc_outgoing *m, struct rpc_fault *fault);

/*
 * Initializes a link, which owns fd from then on. hooks and meter must outlive
 * it.
 */
void
open_rpc_link(struct rpc_link *l, int fd, uint64_t conn_id, const char *peer,
    const struct rpc_fault_hooks *hooks, struct rpc_meter *meter, int64_t now)
{
	*l = (struct rpc_link){
	    .conn_id = conn_id, .hooks = hooks, .meter = meter};
	(void)copy_str(l->peer, sizeof(l->peer), make_str(peer));
	open_rpc_stream(&l->stream, fd, now);
}

void
close_rpc_link(struct rpc_link *l)
{
	struct rpc_delayed *d;

	while ((d = l->delayed) != NULL) {
		l->delayed = d->next;
		free(d);
	}
	close_rpc_stream(&l->stream);
	l->handshake_done = false;
}

/*
 * Appends a message to the output unless a hook drops, delays or duplicates it.
 * The counter is assigned during encoding, so that a dropped or delayed message
 * leaves no gap, which the peer would refuse. Returns ERR_CLOSED when a hook
 * breaks the connection, or an error of encoding.
 */
int
send_rpc_message(struct rpc_link *l, const struct rpc_outgoing *m, int64_t now)
{
	struct rpc_fault fault;
	size_t at;
	int rc;

	call_send_hook(l, m, &fault);
	switch (fault.kind) {
	case RPC_FAULT_DROP:
		return 0;
	case RPC_FAULT_DELAY:
		return delay_message(
		    l, m, now + fault.delay_ms * NSEC_PER_MSEC);
	case RPC_FAULT_DUPLICATE:
		rc = append_message(l, m);
		return rc != 0 ? rc : append_message(l, m);
	case RPC_FAULT_REPLAY:
		at = l->stream.out.len;
		rc = append_message(l, m);
		if (rc == 0) {
			struct buf copy = {0};

			rc = append_buf(&copy, l->stream.out.data + at,
			    l->stream.out.len - at);
			if (rc == 0)
				rc = append_buf_str(
				    &l->stream.out, view_buf(&copy));
			unload_buf(&copy);
		}
		return rc;
	case RPC_FAULT_BREAK:
		return ERR_CLOSED;
	case RPC_FAULT_PASS:
	default:
		return append_message(l, m);
	}
}

/*
 * Appends the delayed messages that are due to the output. Returns an error of
 * encoding.
 */
int
send_rpc_delayed(struct rpc_link *l, int64_t now)
{
	struct rpc_delayed **at = &l->delayed, *d;
	int rc = 0;

	while ((d = *at) != NULL && rc == 0) {
		if (d->due > now) {
			at = &d->next;
			continue;
		}
		*at = d->next;
		rc = append_message(l, &d->message);
		free(d);
	}
	return rc;
}

/*
 * Returns when the next delayed message is due, or INT64_MAX.
 */
int64_t
get_rpc_delayed_due(const struct rpc_link *l)
{
	int64_t due = INT64_MAX;

	for (const struct rpc_delayed *d = l->delayed; d != NULL; d = d->next)
		due = d->due < due ? d->due : due;
	return due;
}

/*
 * Encodes a message with the next counter and counts its bytes.
 */
static int
append_message(struct rpc_link *l, const struct rpc_outgoing *m)
{
	size_t at = l->stream.out.len;
	int rc;

	if (m->is_reply)
		rc = encode_rpc_reply(
		    &l->session, m->xid, m->status, m->body, &l->stream.out);
	else
		rc = encode_rpc_call(
		    &l->session, m->xid, m->proc, m->body, &l->stream.out);
	if (rc == 0)
		count_rpc_bytes(
		    l->meter, true, m->proc, l->stream.out.len - at);
	return rc;
}

/*
 * Copies a message into the list of delayed ones. Returns ERR_MEMORY.
 */
static int
delay_message(struct rpc_link *l, const struct rpc_outgoing *m, int64_t due)
{
	struct rpc_delayed *d = malloc(sizeof(*d) + m->body.len);

	if (d == NULL)
		return ERR_MEMORY;
	d->message = *m;
	d->due = due;
	if (m->body.len > 0)
		memcpy(d->body, m->body.data, m->body.len);
	d->message.body = make_str_n(d->body, m->body.len);
	d->next = l->delayed;
	l->delayed = d;
	return 0;
}

/*
 * Asks the on_send hook, if there is one, which fault to inject.
 */
static void
call_send_hook(const struct rpc_link *l, const struct rpc_outgoing *m,
    struct rpc_fault *fault)
{
	struct rpc_message_info info = {
	    l->conn_id, m->proc, m->xid, m->is_reply, l->peer};

	*fault = (struct rpc_fault){RPC_FAULT_PASS, 0};
	if (l->hooks != NULL && l->hooks->on_send != NULL)
		*fault = l->hooks->on_send(l->hooks->arg, &info);
}
