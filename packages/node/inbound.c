/*
 * Connections from entry nodes: their calls become jobs here.
 */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "log.h"
#include "node_state.h"

#define REMOTE_SLOTS 64 /* of a link's table of calls */

/* A call of an entry node. */
struct remote_call {
	struct inbound_link *link; /* NULL: the link is gone */
	struct remote_call *next; /* in the link's table */
	uint32_t stream;
	struct job *job;
	struct hop_offer offer; /* owns the strings of the job */
	struct buf body;
};

/* A connection of an entry node. */
struct inbound_link {
	struct node *node;
	struct inbound_link *next;
	struct hop_link *hop;
	struct remote_call *calls[REMOTE_SLOTS];
	bool greeted;
};

static void open_inbound(struct node *n, int fd);
static void take_frame(void *arg, const struct hop_frame *f);
static void take_hello(struct inbound_link *l, struct str payload);
static void take_offer(
    struct inbound_link *l, uint32_t stream, struct str payload);
static int start_remote(struct remote_call *c, struct str body);
static void take_body(
    struct inbound_link *l, uint32_t stream, struct str bytes);
static void take_cancel(struct inbound_link *l, uint32_t stream);
static void lose_inbound(void *arg, const char *why);
static void ignore_silence(void *arg);
static void ignore_drained(void *arg);
static void send_refusal(struct inbound_link *l, uint32_t stream,
    enum refuse_reason reason, int64_t retry_after, bool arrived);
static struct remote_call *find_remote(struct inbound_link *l, uint32_t stream);
static void free_remote(struct remote_call *c);
static void remote_granted(void *owner);
static void remote_answered(void *owner, const struct job_answer *a);
static void remote_refused(
    void *owner, enum refuse_reason reason, int64_t retry_after, bool arrived);
static void remote_failed(void *owner, enum attempt_end cause, bool not_sent);

static const struct hop_events link_events = {
    take_frame, lose_inbound, ignore_silence, ignore_drained};
static const struct job_events remote_events = {
    remote_granted, remote_answered, remote_refused, remote_failed};

void
accept_links(struct watch *w, uint32_t events)
{
	struct listener *l =
	    (struct listener *)((char *)w - offsetof(struct listener, watch));
	int fd;

	(void)events;
	while ((fd = accept4(
		    w->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		open_inbound(l->node, fd);
}

/*
 * Tells every entry node what this one can serve now.
 */
void
tell_load(struct node *n)
{
	struct hop_load load = get_own_load(n);

	for (struct inbound_link *l = n->inbound; l != NULL; l = l->next) {
		if (l->greeted)
			send_hop(l->hop, HOP_LOAD, 0, (xdrproc_t)xdr_hop_load,
			    &load, make_str_n(NULL, 0));
	}
}

void
close_inbound(struct node *n)
{
	while (n->inbound != NULL)
		lose_inbound(n->inbound, "the node stops");
}

static void
open_inbound(struct node *n, int fd)
{
	struct inbound_link *l = calloc(1, sizeof(*l));
	int one = 1;

	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (l == NULL ||
	    accept_hop(n->reactor, fd, &link_events, l, &l->hop) != 0) {
		write_log(LOG_LEVEL_ERR,
		    "out of memory: a node's connection is closed");
		free(l);
		return;
	}
	l->node = n;
	l->next = n->inbound;
	n->inbound = l;
}

static void
take_frame(void *arg, const struct hop_frame *f)
{
	struct inbound_link *l = arg;

	switch (f->type) {
	case HOP_HELLO:
		take_hello(l, f->payload);
		break;
	case HOP_OFFER:
		take_offer(l, f->stream, f->payload);
		break;
	case HOP_BODY:
		take_body(l, f->stream, f->payload);
		break;
	case HOP_CANCEL:
		take_cancel(l, f->stream);
		break;
	default:
		break;
	}
}

static void
take_hello(struct inbound_link *l, struct str payload)
{
	const struct node_config *cfg = &l->node->cfg;
	struct hop_welcome w = {
	    .node = (char *)(uintptr_t)cfg->name,
	    .service =
		(char *)(uintptr_t)(cfg->service != NULL ? cfg->service : ""),
	    .load = get_own_load(l->node),
	};
	struct hop_hello h = {0};
	struct str rest;

	if (decode_hop(payload, (xdrproc_t)xdr_hop_hello, &h, &rest) != 0)
		return;
	unload_hop((xdrproc_t)xdr_hop_hello, &h);
	l->greeted = true;
	send_hop(l->hop, HOP_WELCOME, 0, (xdrproc_t)xdr_hop_welcome, &w,
	    make_str_n(NULL, 0));
}

/*
 * A call for another service than the one beside this node is refused: the
 * entry node's list is old.
 */
static void
take_offer(struct inbound_link *l, uint32_t stream, struct str payload)
{
	struct node *n = l->node;
	struct remote_call *c = calloc(1, sizeof(*c));
	struct str body;
	int rc = ERR_MEMORY;

	if (c == NULL || decode_hop(payload, (xdrproc_t)xdr_hop_offer,
			     &c->offer, &body) != 0) {
		free(c);
		send_refusal(l, stream, REFUSE_OVERLOAD, 0, false);
		return;
	}
	c->link = l;
	c->stream = stream;
	if (n->cfg.service != NULL &&
	    strcmp(c->offer.service, n->cfg.service) == 0)
		rc = start_remote(c, body);
	if (rc != 0) {
		unload_hop((xdrproc_t)xdr_hop_offer, &c->offer);
		unload_buf(&c->body);
		free(c);
		send_refusal(l, stream,
		    n->serve_ended ? REFUSE_DRAINING : REFUSE_NO_ENDPOINT, 0,
		    false);
		return;
	}
	c->next = l->calls[stream % REMOTE_SLOTS];
	l->calls[stream % REMOTE_SLOTS] = c;
}

static int
start_remote(struct remote_call *c, struct str body)
{
	struct node *n = c->link->node;
	const struct hop_offer *o = &c->offer;
	int64_t now = get_reactor_now(n->reactor);
	struct job_spec spec = {
	    .kind = make_str(o->kind),
	    .id = make_str(o->id),
	    .method = make_str(o->method),
	    .target = make_str_n(o->target.target_val, o->target.target_len),
	    .head = make_str_n(o->head.head_val, o->head.head_len),
	    .caller_service = make_str(o->caller_service),
	    .rank = o->rank,
	    .repeatable = o->repeatable,
	    .may_wait = o->may_wait,
	    .target_at = now + o->target_us * NSEC_PER_USEC,
	    .deadline = now + o->deadline_us * NSEC_PER_USEC,
	    .body_len = o->body_len,
	};

	if (n->serve_ended || o->body_len > HOP_PAYLOAD_MAX ||
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
 * Collects a body; a call whose body is whole goes to the backend server.
 */
static void
take_body(struct inbound_link *l, uint32_t stream, struct str bytes)
{
	struct remote_call *c = find_remote(l, stream);
	struct job *j;

	if (c == NULL)
		return;
	j = c->job;
	if (c->body.len + bytes.len > c->offer.body_len ||
	    append_buf_str(&c->body, bytes) != 0) {
		take_cancel(l, stream);
		send_refusal(l, stream, REFUSE_BODY_MEMORY, 0, false);
		return;
	}
	note_body(j, bytes.len);
	if (c->body.len == c->offer.body_len)
		give_body(j, view_buf(&c->body));
}

static void
take_cancel(struct inbound_link *l, uint32_t stream)
{
	struct remote_call *c = find_remote(l, stream);
	struct job *j;

	if (c == NULL)
		return;
	j = c->job;
	cancel_job(j); /* its strings belong to c */
	free_remote(c);
}

/*
 * The entry node is gone: nobody waits for its calls.
 */
static void
lose_inbound(void *arg, const char *why)
{
	struct inbound_link *l = arg, **at = &l->node->inbound;

	(void)why;
	while (*at != l)
		at = &(*at)->next;
	*at = l->next;
	for (size_t i = 0; i < REMOTE_SLOTS; i++) {
		while (l->calls[i] != NULL)
			take_cancel(l, l->calls[i]->stream);
	}
	close_hop(l->hop);
	free(l);
}

static void
ignore_silence(void *arg)
{
	(void)arg; /* only entry nodes watch for it */
}

static void
ignore_drained(void *arg)
{
	(void)arg; /* answers are not sent in pieces */
}

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
 * The job's strings live here, and a job that runs on does not read them.
 */
static void
free_remote(struct remote_call *c)
{
	struct remote_call **at = &c->link->calls[c->stream % REMOTE_SLOTS];

	while (*at != c)
		at = &(*at)->next;
	*at = c->next;
	unload_hop((xdrproc_t)xdr_hop_offer, &c->offer);
	unload_buf(&c->body);
	free(c);
}

static void
remote_granted(void *owner)
{
	struct remote_call *c = owner;
	struct hop_grant m = {.load = get_own_load(c->link->node)};

	send_hop(c->link->hop, HOP_GRANT, c->stream, (xdrproc_t)xdr_hop_grant,
	    &m, make_str_n(NULL, 0));
}

static void
remote_answered(void *owner, const struct job_answer *a)
{
	struct remote_call *c = owner;
	struct hop_answer m = {.status = a->status,
	    .sealed = a->sealed,
	    .service_us = (unsigned int)(a->service_ns / NSEC_PER_USEC),
	    .load = get_own_load(c->link->node)};

	m.head.head_val = (char *)(uintptr_t)a->head.data;
	m.head.head_len = (unsigned int)a->head.len;
	if (m.load.in_flight > 0)
		m.load.in_flight--; /* this call, which still holds its slot */
	send_hop(c->link->hop, HOP_ANSWER, c->stream, (xdrproc_t)xdr_hop_answer,
	    &m, a->body);
	free_remote(c);
}

static void
remote_refused(
    void *owner, enum refuse_reason reason, int64_t retry_after, bool arrived)
{
	struct remote_call *c = owner;

	send_refusal(c->link, c->stream, reason, retry_after, arrived);
	free_remote(c);
}

static void
remote_failed(void *owner, enum attempt_end cause, bool not_sent)
{
	struct remote_call *c = owner;
	struct hop_fail m = {.cause = (int)cause,
	    .not_sent = not_sent,
	    .load = get_own_load(c->link->node)};

	send_hop(c->link->hop, HOP_FAIL, c->stream, (xdrproc_t)xdr_hop_fail, &m,
	    make_str_n(NULL, 0));
	free_remote(c);
}
