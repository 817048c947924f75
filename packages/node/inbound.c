/*
 * Links from entry nodes: each call offered on them becomes a job of this node.
 */
#include <limits.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "log.h"
#include "node_state.h"

#define REMOTE_SLOTS 64 /* buckets of a link's hash table of calls */
#define LONG_ANSWER_BYTES 4096 /* given up when memory is short */

/* A call that an entry node has offered. */
struct remote_call {
	struct inbound_link *link;
	struct remote_call *next; /* in the link's hash table */
	uint32_t stream;
	struct job *job; /* NULL: answered */
	struct long_answer *answer; /* that is being sent; NULL: none */
	struct hop_offer offer; /* owns the strings of the job */
	struct hop_terms terms; /* likewise */
	struct buf body; /* received so far */
};

/* A link from an entry node. */
struct inbound_link {
	struct node *node;
	struct inbound_link *next;
	struct hop_link *hop;
	struct remote_call *calls[REMOTE_SLOTS];
	bool handshake_done; /* HELLO has arrived: load may be sent */
	struct hop_terms terms; /* of the next offer */
	uint32_t terms_stream; /* of that offer; 0: none */
};

static void limit_new_links(const struct listener *l);
static void open_inbound(struct node *n, int fd);
static void handle_frame(void *arg, const struct hop_frame *f);
static void handle_hello(struct inbound_link *l, struct str payload);
static void handle_terms(
    struct inbound_link *l, uint32_t stream, struct str payload);
static void clear_terms(struct inbound_link *l);
static void handle_offer(
    struct inbound_link *l, uint32_t stream, struct str payload);
static int start_remote_job(struct remote_call *c, struct str body);
static void handle_body(
    struct inbound_link *l, uint32_t stream, struct str bytes);
static void handle_cancel(struct inbound_link *l, uint32_t stream);
static void handle_inbound_lost(void *arg, const char *why);
static void ignore_unresponsive(void *arg);
static void continue_long_answers(void *arg);
static void send_refusal(struct inbound_link *l, uint32_t stream,
    enum refuse_reason reason, int64_t retry_after, bool arrived);
static struct remote_call *find_remote(struct inbound_link *l, uint32_t stream);
static void free_remote(struct remote_call *c);
static void send_remote_grant(void *owner);
static void send_remote_answer(void *owner, const struct job_answer *a);
static void free_answered_remote(void *owner);
static void send_remote_refusal(
    void *owner, enum refuse_reason reason, int64_t retry_after, bool arrived);
static void send_remote_failure(
    void *owner, enum attempt_end cause, bool not_sent);

static const struct hop_events link_events = {handle_frame, handle_inbound_lost,
    ignore_unresponsive, continue_long_answers};
static const struct job_events remote_events = {send_remote_grant,
    send_remote_answer, send_remote_refusal, send_remote_failure};

void
accept_links(struct watch *w, uint32_t events)
{
	struct listener *l =
	    (struct listener *)((char *)w - offsetof(struct listener, watch));
	/* Between two events the first messages of new links are read. */
	int fd, left = l->open_max > 1 ? l->open_max / 2 : INT_MAX;

	(void)events;
	while (left-- > 0 && (fd = accept_connection(l)) >= 0) {
		limit_new_links(l);
		open_inbound(l->node, fd);
	}
}

/*
 * Closes the oldest link without a handshake when there are too many of them:
 * a node sends its own at once.
 */
static void
limit_new_links(const struct listener *l)
{
	struct inbound_link *oldest = NULL;
	int count = 0;

	for (struct inbound_link *i = l->node->inbound; i != NULL;
	     i = i->next) {
		if (i->handshake_done)
			continue;
		oldest = i;
		count++;
	}
	if (l->open_max > 0 && count >= l->open_max)
		handle_inbound_lost(oldest, "no handshake");
}

/*
 * Sends this node's state and load to every connected entry node.
 */
void
broadcast_load(struct node *n)
{
	struct hop_load load = get_own_load(n);

	for (struct inbound_link *l = n->inbound; l != NULL; l = l->next) {
		if (l->handshake_done)
			send_hop(l->hop, HOP_LOAD, 0, (xdrproc_t)xdr_hop_load,
			    &load, get_own_notice(n));
	}
}

/*
 * Says whether bytes to an entry node, such as an answer, are still queued.
 */
bool
has_unsent_inbound(const struct node *n)
{
	if (n->long_answers != NULL)
		return true;
	for (const struct inbound_link *l = n->inbound; l != NULL;
	     l = l->next) {
		if (get_hop_unsent(l->hop) > 0)
			return true;
	}
	return false;
}

void
close_inbound(struct node *n)
{
	while (n->inbound != NULL)
		handle_inbound_lost(n->inbound, "the node stops");
}

/*
 * Takes over an accepted connection as a link.
 */
static void
open_inbound(struct node *n, int fd)
{
	struct inbound_link *l = calloc(1, sizeof(*l));
	int one = 1;

	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (l == NULL ||
	    accept_hop(n->reactor, fd, &link_events, l, &l->hop) != 0) {
		write_log(LOG_LEVEL_ERR,
		    "out of memory: closing a link from another node");
		free(l);
		return;
	}
	l->node = n;
	l->next = n->inbound;
	n->inbound = l;
}

static void
handle_frame(void *arg, const struct hop_frame *f)
{
	struct inbound_link *l = arg;

	switch (f->type) {
	case HOP_HELLO:
		handle_hello(l, f->payload);
		break;
	case HOP_TERMS:
		handle_terms(l, f->stream, f->payload);
		break;
	case HOP_OFFER:
		handle_offer(l, f->stream, f->payload);
		break;
	case HOP_BODY:
		handle_body(l, f->stream, f->payload);
		break;
	case HOP_CANCEL:
		handle_cancel(l, f->stream);
		break;
	default:
		break;
	}
}

/*
 * Completes the handshake: answers with WELCOME, which carries the name, the
 * service and the load of this node, the notices of its server, and those that it
 * knows of the other node's.
 */
static void
handle_hello(struct inbound_link *l, struct str payload)
{
	const struct node_config *cfg = &l->node->cfg;
	struct hop_welcome w = {
	    .node = (char *)(uintptr_t)cfg->name,
	    .service =
		(char *)(uintptr_t)(cfg->service != NULL ? cfg->service : ""),
	};
	struct hop_hello h = {0};
	struct buf notices = {0};
	struct str rest;

	if (decode_hop_message(payload, (xdrproc_t)xdr_hop_hello, &h, &rest) !=
	    0)
		return;
	adopt_notice(l->node, rest);
	w.load = get_own_load(l->node);
	l->handshake_done = true;
	if (append_buf_str(&notices, get_own_notice(l->node)) != 0 ||
	    append_buf_str(&notices, get_known_notice(l->node, h.node)) != 0)
		notices.len = 0;
	send_hop(l->hop, HOP_WELCOME, 0, (xdrproc_t)xdr_hop_welcome, &w,
	    view_buf(&notices));
	unload_buf(&notices);
	unload_hop_message((xdrproc_t)xdr_hop_hello, &h);
}

/*
 * Keeps the terms of the offer that follows.
 */
static void
handle_terms(struct inbound_link *l, uint32_t stream, struct str payload)
{
	struct str rest;

	if (stream == 0)
		return; /* the number of no call */
	clear_terms(l);
	if (decode_hop_message(
		payload, (xdrproc_t)xdr_hop_terms, &l->terms, &rest) == 0)
		l->terms_stream = stream;
	else
		write_log(LOG_LEVEL_WARNING,
		    "the terms of a call cannot be read; it is served without "
		    "them");
}

/*
 * Drops the terms of an offer that did not follow.
 */
static void
clear_terms(struct inbound_link *l)
{
	if (l->terms_stream != 0)
		unload_hop_message((xdrproc_t)xdr_hop_terms, &l->terms);
	l->terms = (struct hop_terms){0};
	l->terms_stream = 0;
}

/*
 * Starts a job for an offered call. A call for another service than this node's
 * is refused, since the entry node's endpoint set is outdated.
 */
static void
handle_offer(struct inbound_link *l, uint32_t stream, struct str payload)
{
	struct node *n = l->node;
	struct remote_call *c = calloc(1, sizeof(*c));
	struct str body;
	int rc = ERR_MEMORY;

	if (c == NULL || decode_hop_message(payload, (xdrproc_t)xdr_hop_offer,
			     &c->offer, &body) != 0) {
		free(c);
		send_refusal(l, stream, REFUSE_OVERLOAD, 0, false);
		return;
	}
	c->link = l;
	c->stream = stream;
	if (l->terms_stream == stream) {
		c->terms = l->terms;
		l->terms_stream = 0;
	}
	if (n->cfg.service != NULL &&
	    strcmp(c->offer.service, n->cfg.service) == 0)
		rc = start_remote_job(c, body);
	if (rc != 0) {
		unload_hop_message((xdrproc_t)xdr_hop_offer, &c->offer);
		unload_hop_message((xdrproc_t)xdr_hop_terms, &c->terms);
		unload_buf(&c->body);
		free(c);
		send_refusal(l, stream,
		    n->serving_ended ? REFUSE_DRAINING : REFUSE_NO_ENDPOINT, 0,
		    false);
		return;
	}
	c->next = l->calls[stream % REMOTE_SLOTS];
	l->calls[stream % REMOTE_SLOTS] = c;
}

/*
 * Starts the job of an offered call; body is the one that came with the offer.
 * Returns ERR_UNAVAILABLE when serving has ended or the body's size is invalid,
 * or ERR_MEMORY.
 */
static int
start_remote_job(struct remote_call *c, struct str body)
{
	struct node *n = c->link->node;
	const struct hop_offer *o = &c->offer;
	int64_t now = get_reactor_now(n->reactor);
	struct job_spec spec = {
	    .kind = make_str(o->kind),
	    .id = make_str_n(o->id.id_val, o->id.id_len),
	    .method = make_str(o->method),
	    .target = make_str_n(o->target.target_val, o->target.target_len),
	    .head = make_str_n(o->head.head_val, o->head.head_len),
	    .caller_service = make_str(o->caller_service),
	    .account =
		make_str(c->terms.account != NULL ? c->terms.account : ""),
	    .share = (int)c->terms.share,
	    .rank = o->rank,
	    .repeatable = o->repeatable,
	    .may_wait = o->may_wait,
	    .target_at = now + o->target_us * NSEC_PER_USEC,
	    .deadline = now + o->deadline_us * NSEC_PER_USEC,
	    .body_len = o->body_len,
	};

	if (n->serving_ended || o->body_len > HOP_PAYLOAD_MAX ||
	    (o->body_here && body.len != o->body_len))
		return ERR_UNAVAILABLE;
	if (o->body_here) {
		if (append_buf_str(&c->body, body) != 0)
			return ERR_MEMORY;
		spec.body = view_buf(&c->body);
	}
	return start_job(n, &spec, &remote_events, c, &c->job);
}

/*
 * Appends a piece of a body, and passes the complete body to the job. A body
 * that is longer than announced cancels the job and refuses the call.
 */
static void
handle_body(struct inbound_link *l, uint32_t stream, struct str bytes)
{
	struct remote_call *c = find_remote(l, stream);
	struct job *j;

	if (c == NULL || c->job == NULL)
		return;
	j = c->job;
	if (c->body.len + bytes.len > c->offer.body_len ||
	    !has_memory(l->node, bytes.len, l->node->budget.limit) ||
	    reserve_buf_within(&c->body, bytes.len, c->offer.body_len) != 0 ||
	    append_buf_str(&c->body, bytes) != 0) {
		handle_cancel(l, stream);
		send_refusal(l, stream, REFUSE_BODY_MEMORY, 0, false);
		return;
	}
	record_job_body(j, bytes.len);
	if (c->body.len == c->offer.body_len)
		provide_job_body(j, view_buf(&c->body));
}

/*
 * The entry node no longer wants the answer.
 */
static void
handle_cancel(struct inbound_link *l, uint32_t stream)
{
	struct remote_call *c = find_remote(l, stream);

	if (c == NULL)
		return;
	if (c->answer != NULL)
		cancel_long_answer(c->answer);
	else
		cancel_job(c->job); /* before its strings are freed with c */
	free_remote(c);
}

/*
 * The link has closed: cancels its calls and frees it.
 */
static void
handle_inbound_lost(void *arg, const char *why)
{
	struct inbound_link *l = arg, **at = &l->node->inbound;

	(void)why;
	while (*at != l)
		at = &(*at)->next;
	*at = l->next;
	for (size_t i = 0; i < REMOTE_SLOTS; i++) {
		while (l->calls[i] != NULL)
			handle_cancel(l, l->calls[i]->stream);
	}
	clear_terms(l);
	close_hop(l->hop);
	free(l);
}

static void
ignore_unresponsive(void *arg)
{
	(void)arg; /* only entry nodes check the links that they opened */
}

/* The link has sent its backlog and takes further pieces. */
static void
continue_long_answers(void *arg)
{
	struct inbound_link *l = arg;

	send_long_answers(l->node);
}

/*
 * Refuses a call that has not run. retry_after: ns; arrived: the backend server
 * itself refused it.
 */
static void
send_refusal(struct inbound_link *l, uint32_t stream, enum refuse_reason reason,
    int64_t retry_after, bool arrived)
{
	struct hop_refuse m = {.reason = (int)reason,
	    .retry_ms = (unsigned int)(retry_after / NSEC_PER_MSEC),
	    .arrived = arrived,
	    .load = get_own_load(l->node)};

	send_hop(l->hop, HOP_REFUSE, stream, (xdrproc_t)xdr_hop_refuse, &m,
	    make_str_n(NULL, 0));
}

static struct remote_call *
find_remote(struct inbound_link *l, uint32_t stream)
{
	struct remote_call *c = l->calls[stream % REMOTE_SLOTS];

	while (c != NULL && c->stream != stream)
		c = c->next;
	return c;
}

/*
 * Frees the call with the strings of its job. A cancelled job that is still
 * running does not read them any more.
 */
static void
free_remote(struct remote_call *c)
{
	struct remote_call **at = &c->link->calls[c->stream % REMOTE_SLOTS];

	while (*at != c)
		at = &(*at)->next;
	*at = c->next;
	unload_hop_message((xdrproc_t)xdr_hop_offer, &c->offer);
	unload_hop_message((xdrproc_t)xdr_hop_terms, &c->terms);
	unload_buf(&c->body);
	free(c);
}

static void
send_remote_grant(void *owner)
{
	struct remote_call *c = owner;
	struct hop_grant m = {.load = get_own_load(c->link->node)};

	send_hop(c->link->hop, HOP_GRANT, c->stream, (xdrproc_t)xdr_hop_grant,
	    &m, make_str_n(NULL, 0));
}

static void
send_remote_answer(void *owner, const struct job_answer *a)
{
	struct remote_call *c = owner;
	struct node *n = c->link->node;
	struct hop_answer m = {.status = a->status,
	    .sealed = a->sealed,
	    .service_us = (unsigned int)(a->service_ns / NSEC_PER_USEC),
	    .load = get_own_load(c->link->node)};

	if (a->body.len > LONG_ANSWER_BYTES &&
	    !has_memory(
		c->link->node, a->body.len, c->link->node->budget.limit)) {
		send_remote_failure(c, ATTEMPT_BROKEN, false);
		return;
	}
	if (is_paced(&n->outflow, a->body.len) &&
	    start_long_answer(n, c->link->hop, c->stream, a, &c->job->spec,
		free_answered_remote, c, &c->answer) == 0) {
		c->job = NULL;
		return;
	}
	m.head.head_val = (char *)(uintptr_t)a->head.data;
	m.head.head_len = (unsigned int)a->head.len;
	if (m.load.in_flight > 0)
		m.load.in_flight--; /* this call still occupies its slot */
	send_hop(c->link->hop, HOP_ANSWER, c->stream, (xdrproc_t)xdr_hop_answer,
	    &m, a->body);
	add_outflow(&n->outflow, a->head.len + a->body.len,
	    get_reactor_now(n->reactor));
	free_remote(c);
}

/* The last piece of a long answer has been sent. */
static void
free_answered_remote(void *owner)
{
	free_remote(owner);
}

static void
send_remote_refusal(
    void *owner, enum refuse_reason reason, int64_t retry_after, bool arrived)
{
	struct remote_call *c = owner;

	send_refusal(c->link, c->stream, reason, retry_after, arrived);
	free_remote(c);
}

static void
send_remote_failure(void *owner, enum attempt_end cause, bool not_sent)
{
	struct remote_call *c = owner;
	struct hop_fail m = {.cause = (int)cause,
	    .not_sent = not_sent,
	    .load = get_own_load(c->link->node)};

	send_hop(c->link->hop, HOP_FAIL, c->stream, (xdrproc_t)xdr_hop_fail, &m,
	    make_str_n(NULL, 0));
	free_remote(c);
}
