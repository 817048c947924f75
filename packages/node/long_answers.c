/*
 * Long answers to other nodes: sent in pieces, as fast as this machine's link
 * carries them, so that small answers and refusals do not wait behind them. The
 * slot of the call is free meanwhile. HOP_ANSWER follows the last piece but one,
 * so an answer that is broken off never looks complete.
 */
#include <stdlib.h>
#include <string.h>

#include "node_state.h"

/* Pieces wait while a link has this many unsent bytes. */
#define LINK_UNSENT_BYTES (32 * 1024)

struct long_answer {
	struct node *node;
	struct long_answer *next; /* in the node's queue, oldest first */
	struct hop_link *hop;
	uint32_t stream;
	int64_t target_at, deadline; /* mono ns */
	void (*ended)(void *owner);
	void *owner;
	struct hop_answer message; /* head points into bytes */
	struct buf bytes; /* head lines, then the body */
	size_t body_at; /* offset of the body in bytes */
	size_t sent; /* bytes of the body */
};

static void run_outflow_timer(struct timer *t);
static struct long_answer *get_sendable(const struct node *n, int64_t now);
static void send_piece(struct node *n, struct long_answer *a);
static void remove_long_answer(struct node *n, struct long_answer *a);

/*
 * Queues a copy of an answer. ended(owner) is called after its last piece unless
 * cancel_long_answer() comes first. Returns ERR_MEMORY.
 */
int
start_long_answer(struct node *n, struct hop_link *hop, uint32_t stream,
    const struct job_answer *from, const struct job_spec *spec,
    void (*ended)(void *owner), void *owner, struct long_answer **out)
{
	struct long_answer *a = calloc(1, sizeof(*a)), **at = &n->long_answers;

	if (a == NULL || append_buf_str(&a->bytes, from->head) != 0 ||
	    append_buf_str(&a->bytes, from->body) != 0) {
		if (a != NULL)
			unload_buf(&a->bytes);
		free(a);
		return ERR_MEMORY;
	}
	a->node = n;
	a->hop = hop;
	a->stream = stream;
	a->target_at = spec->target_at;
	a->deadline = spec->deadline;
	a->ended = ended;
	a->owner = owner;
	a->body_at = from->head.len;
	a->message = (struct hop_answer){.status = from->status,
	    .sealed = from->sealed,
	    .service_us = (unsigned int)(from->service_ns / NSEC_PER_USEC)};
	n->long_answer_bytes += from->body.len;
	while (*at != NULL)
		at = &(*at)->next;
	*at = a;
	*out = a;
	count_metric(n->metrics.long_answers_total, 1);
	/* Not now: ended must not be called before this returns. */
	if (n->long_answers == a)
		set_timer(n->reactor, &n->outflow_timer,
		    get_reactor_now(n->reactor), run_outflow_timer);
	return 0;
}

/* Drops an answer that is no longer wanted; ended is not called. */
void
cancel_long_answer(struct long_answer *a)
{
	remove_long_answer(a->node, a);
}

/*
 * Sends pieces while this machine's link has room, and continues by a timer.
 */
void
send_long_answers(struct node *n)
{
	int64_t now = get_reactor_now(n->reactor);
	struct long_answer *a;

	while ((a = get_sendable(n, now)) != NULL &&
	       has_outflow_room(&n->outflow, now))
		send_piece(n, a);
	if (a != NULL)
		set_timer(n->reactor, &n->outflow_timer,
		    get_outflow_wakeup(&n->outflow, now) + NSEC_PER_USEC,
		    run_outflow_timer);
}

/* Frees all answers, without a call of ended. For the end of the node. */
void
clear_long_answers(struct node *n)
{
	cancel_timer(n->reactor, &n->outflow_timer);
	while (n->long_answers != NULL)
		remove_long_answer(n, n->long_answers);
}

static void
run_outflow_timer(struct timer *t)
{
	send_long_answers(
	    (struct node *)((char *)t - offsetof(struct node, outflow_timer)));
}

/*
 * Returns the first answer in the order of get_outflow_order(), the oldest of
 * equal ones, among those whose link takes a piece; NULL when there is none.
 */
static struct long_answer *
get_sendable(const struct node *n, int64_t now)
{
	struct long_answer *best = NULL;
	int least = 0;

	for (struct long_answer *a = n->long_answers; a != NULL; a = a->next) {
		size_t left = a->bytes.len - a->body_at - a->sent;
		int order;

		if (get_hop_unsent(a->hop) > LINK_UNSENT_BYTES)
			continue;
		order = get_outflow_order(
		    &n->outflow, left, a->target_at, a->deadline, now);
		if (best != NULL && order >= least)
			continue;
		best = a;
		least = order;
	}
	return best;
}

/* Sends the next piece; the last one goes with the answer, which then ends. */
static void
send_piece(struct node *n, struct long_answer *a)
{
	size_t total = a->bytes.len - a->body_at, left = total - a->sent;
	struct hop_answer_part part = {.offset = a->sent, .total = total};
	const char *at = a->bytes.data + a->body_at + a->sent;
	void (*ended)(void *owner) = a->ended;
	void *owner = a->owner;

	if (left > HOP_BODY_CHUNK_BYTES) {
		send_hop(a->hop, HOP_ANSWER_PART, a->stream,
		    (xdrproc_t)xdr_hop_answer_part, &part,
		    make_str_n(at, HOP_BODY_CHUNK_BYTES));
		a->sent += HOP_BODY_CHUNK_BYTES;
		n->long_answer_bytes -= HOP_BODY_CHUNK_BYTES;
		add_outflow(&n->outflow, HOP_BODY_CHUNK_BYTES,
		    get_reactor_now(n->reactor));
		return;
	}
	a->message.head.head_val = a->bytes.data;
	a->message.head.head_len = (unsigned int)a->body_at;
	a->message.load = get_own_load(n);
	send_hop(a->hop, HOP_ANSWER, a->stream, (xdrproc_t)xdr_hop_answer,
	    &a->message, make_str_n(at, left));
	add_outflow(
	    &n->outflow, a->body_at + left, get_reactor_now(n->reactor));
	remove_long_answer(n, a);
	ended(owner);
}

static void
remove_long_answer(struct node *n, struct long_answer *a)
{
	struct long_answer **at = &n->long_answers;

	while (*at != a)
		at = &(*at)->next;
	*at = a->next;
	n->long_answer_bytes -= a->bytes.len - a->body_at - a->sent;
	unload_buf(&a->bytes);
	free(a);
}
