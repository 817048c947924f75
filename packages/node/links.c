/*
 * Links to serving nodes: sends offers and bodies, receives outcomes and load
 * reports, and avoids nodes that fail.
 */
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "node_state.h"

#define CONNECT_NS (200 * NSEC_PER_MSEC) /* time-out of connect and handshake */
#define PROBE_FIRST_NS (100 * NSEC_PER_MSEC) /* after a failure; doubles */
#define PROBE_MAX_NS (500 * NSEC_PER_MSEC)
/* Pieces of bodies wait while a link has this many unsent bytes. */
#define UPLOAD_UNSENT_BYTES (32 * 1024)

static void send_offer(struct request *q);
static void send_terms(struct request *q);
static struct peer_link *get_link(struct peer *p);
static struct peer_link *open_peer_link(struct peer *p);
static void time_out_connect(struct timer *t);
static void handle_frame(void *arg, const struct hop_frame *f);
static void handle_welcome(struct peer_link *l, struct str payload);
static void mark_address_reused(struct peer *p, const char *by);
static void handle_load_frame(struct peer_link *l, struct str payload);
static void handle_answer_frame(struct request *q, struct str payload);
static void handle_part_frame(struct request *q, struct str payload);
static int complete_parts(struct request *q, struct str last, struct str *body);
static void handle_refuse_frame(struct request *q, struct str payload);
static void handle_fail_frame(struct request *q, struct str payload);
static void handle_grant_frame(struct request *q, struct str payload);
static void handle_link_lost(void *arg, const char *why);
static void handle_unresponsive_link(void *arg);
static struct request *take_movable_calls(struct peer_link *l);
static void send_uploads(void *arg);
static void retire_link(struct peer_link *l);
static void free_link_if_idle(struct peer_link *l);
static void add_stream(struct peer_link *l, struct request *q);
static void remove_stream(struct request *q);
static struct request *find_stream(struct peer_link *l, uint32_t stream);
static void remove_upload(struct request *q);
static void record_peer_failure(struct peer *p);
static void probe_peer(struct timer *t);
static void end_remote(struct request *q);

static const struct hop_events events = {
    handle_frame, handle_link_lost, handle_unresponsive_link, send_uploads};

/*
 * Offers a call to a serving node. On a new link the offer is sent after the
 * handshake; if the link fails before, the call has certainly not run. Returns
 * ERR_UNAVAILABLE when no link can be opened.
 */
int
offer_remote(struct request *q, struct peer *p)
{
	struct attempt *a = &q->attempt;
	struct peer_link *l = get_link(p);

	if (l == NULL)
		return ERR_UNAVAILABLE;
	a->link = l;
	a->peer = p;
	a->stream = ++l->last_stream;
	a->body_sent = false;
	a->body_queued = 0;
	a->granted = false;
	p->in_flight++;
	add_stream(l, q);
	if (l->handshake_done)
		send_offer(q);
	return 0;
}

void
open_peer(struct peer *p)
{
	(void)get_link(p);
}

/*
 * Sends the offer, with the body if the call may repeat and the body fits one
 * piece. Any other body follows when the call has been granted a slot; until
 * then the call has certainly not run.
 */
static void
send_offer(struct request *q)
{
	struct attempt *a = &q->attempt;
	int64_t now = get_reactor_now(q->node->reactor);
	struct str body = view_buf(&q->reader.body);
	struct hop_offer o = {
	    .service = q->service->name,
	    .kind = q->policy.kind,
	    .rank = q->policy.rank,
	    .repeatable = q->policy.repeatable,
	    .target_us = (q->target_at - now) / NSEC_PER_USEC,
	    .deadline_us = (q->deadline - now) / NSEC_PER_USEC,
	    .body_len = body.len,
	};
	char method[16], caller[TABLE_NAME_BYTES] = "";

	(void)copy_str(method, sizeof(method), q->reader.head.method);
	if (q->node->cfg.service != NULL)
		(void)copy_str(
		    caller, sizeof(caller), make_str(q->node->cfg.service));
	o.method = method;
	o.caller_service = caller;
	o.id.id_val = (char *)(uintptr_t)q->id.data;
	o.id.id_len = (unsigned int)q->id.len;
	o.target.target_val = (char *)(uintptr_t)q->reader.head.target.data;
	o.target.target_len = (unsigned int)q->reader.head.target.len;
	o.head.head_val = q->head.data;
	o.head.head_len = (unsigned int)q->head.len;
	o.may_wait = !q->attempt.immediate;
	o.body_here = q->policy.repeatable && body.len <= HOP_BODY_CHUNK_BYTES;
	a->body_sent = o.body_here;
	send_terms(q);
	send_hop(a->link->hop, HOP_OFFER, a->stream, (xdrproc_t)xdr_hop_offer,
	    &o, o.body_here ? body : make_str_n(NULL, 0));
}

/*
 * Sends what the offer does not hold, if there is any of it.
 */
static void
send_terms(struct request *q)
{
	struct hop_terms t = {
	    .account = q->policy.account,
	    .share = (unsigned int)q->policy.share,
	};

	if (q->policy.account[0] == '\0')
		return;
	send_hop(q->attempt.link->hop, HOP_TERMS, q->attempt.stream,
	    (xdrproc_t)xdr_hop_terms, &t, make_str_n(NULL, 0));
}

/*
 * Notifies the serving node that the answer is no longer wanted.
 */
void
cancel_remote(struct request *q)
{
	struct attempt *a = &q->attempt;

	send_hop(a->link->hop, HOP_CANCEL, a->stream, NULL, NULL,
	    make_str_n(NULL, 0));
	end_remote(q);
}

/*
 * Stores a load report and ends the avoidance of the peer; p may be NULL.
 */
void
update_peer_load(struct peer *p, const struct hop_load *load)
{
	if (p == NULL)
		return;
	p->has_load = true;
	p->load = *load;
	p->load_at = get_reactor_now(p->node->reactor);
	p->in_flight_at_load = p->in_flight;
	p->failures = 0;
	cancel_timer(p->node->reactor, &p->probe);
}

/*
 * Retires all links to a peer that is removed or has moved.
 */
void
retire_peer_links(struct peer *p)
{
	struct peer_link *l, *next;

	p->link = NULL;
	for (l = p->node->links; l != NULL; l = next) {
		next = l->next;
		if (l->peer != p)
			continue;
		if (!l->retired)
			retire_link(l);
	}
}

void
close_links(struct node *n)
{
	struct peer_link *l;

	while ((l = n->links) != NULL) {
		n->links = l->next;
		cancel_timer(n->reactor, &l->timer);
		close_hop(l->hop);
		free(l);
	}
}

/*
 * Returns the peer's link, which is opened if there is none; NULL on failure.
 */
static struct peer_link *
get_link(struct peer *p)
{
	if (p->link == NULL)
		p->link = open_peer_link(p);
	return p->link;
}

/*
 * Connects to a peer and sends HELLO; NULL when out of memory or refused.
 */
static struct peer_link *
open_peer_link(struct peer *p)
{
	struct node *n = p->node;
	struct peer_link *l = calloc(1, sizeof(*l));
	struct hop_hello hello = {
	    (char *)(uintptr_t)n->cfg.name, (char *)(uintptr_t)n->cfg.zone};

	if (l == NULL)
		return NULL;
	l->peer = p;
	l->node = n;
	l->uploads_tail = &l->uploads;
	if (connect_hop(n->reactor, p->address, &events, l, &l->hop) != 0) {
		record_peer_failure(p);
		free(l);
		return NULL;
	}
	count_metric(n->metrics.links_total, 1);
	l->next = n->links;
	n->links = l;
	set_timer(n->reactor, &l->timer,
	    get_reactor_now(n->reactor) + CONNECT_NS, time_out_connect);
	send_hop(l->hop, HOP_HELLO, 0, (xdrproc_t)xdr_hop_hello, &hello,
	    get_known_notice(n, p->id));
	return l;
}

/*
 * The handshake has timed out. An overloaded node may accept a link later, so
 * only this link is dropped, not the peer.
 */
static void
time_out_connect(struct timer *t)
{
	handle_link_lost(
	    (struct peer_link *)((char *)t - offsetof(struct peer_link, timer)),
	    "no welcome in time");
}

static void
handle_frame(void *arg, const struct hop_frame *f)
{
	struct peer_link *l = arg;
	struct request *q;

	if (f->type == HOP_WELCOME || f->type == HOP_LOAD) {
		if (f->type == HOP_WELCOME)
			handle_welcome(l, f->payload);
		else
			handle_load_frame(l, f->payload);
		return;
	}
	q = find_stream(l, f->stream);
	if (q == NULL)
		return; /* cancelled while the outcome was in transit */
	switch (f->type) {
	case HOP_ANSWER:
		handle_answer_frame(q, f->payload);
		break;
	case HOP_ANSWER_PART:
		handle_part_frame(q, f->payload);
		break;
	case HOP_REFUSE:
		handle_refuse_frame(q, f->payload);
		break;
	case HOP_FAIL:
		handle_fail_frame(q, f->payload);
		break;
	case HOP_GRANT:
		handle_grant_frame(q, f->payload);
		break;
	default:
		break;
	}
}

/*
 * Completes the handshake and sends the offers that waited for it.
 */
static void
handle_welcome(struct peer_link *l, struct str payload)
{
	struct hop_welcome w = {0};
	struct str rest;

	cancel_timer(l->node->reactor, &l->timer);
	if (decode_hop_message(
		payload, (xdrproc_t)xdr_hop_welcome, &w, &rest) != 0)
		return;
	WRITE_EVENT(LOG_LEVEL_INFO, "link.opened", LOG_TEXT("node", w.node),
	    LOG_INT("in_flight", w.load.in_flight),
	    LOG_INT("queued", w.load.queued));
	if (l->peer != NULL && strcmp(l->peer->id, w.node) != 0)
		mark_address_reused(l->peer, w.node);
	else
		update_peer_load(l->peer, &w.load);
	remember_notice(l->node, w.node, rest);
	adopt_notice(l->node, rest);
	unload_hop_message((xdrproc_t)xdr_hop_welcome, &w);
	if (l->handshake_done)
		return;
	l->handshake_done = true;
	for (size_t i = 0; i < NODE_STREAM_SLOTS; i++) {
		struct request *q = l->streams[i];

		for (; q != NULL; q = q->attempt.next_stream)
			send_offer(q);
	}
}

/*
 * Another node answers at the peer's address, while the endpoint set still
 * lists the previous one. No new calls are offered there until the set changes.
 */
static void
mark_address_reused(struct peer *p, const char *by)
{
	WRITE_EVENT(LOG_LEVEL_NOTICE, "peer.replaced", LOG_TEXT("node", p->id),
	    LOG_TEXT("address", p->address), LOG_TEXT("by", by));
	p->address_reused = true;
	cancel_timer(p->node->reactor, &p->probe);
}

static void
handle_load_frame(struct peer_link *l, struct str payload)
{
	struct hop_load load;
	struct str rest;

	if (decode_hop_message(
		payload, (xdrproc_t)xdr_hop_load, &load, &rest) != 0)
		return;
	update_peer_load(l->peer, &load);
	if (l->peer != NULL)
		remember_notice(l->node, l->peer->id, rest);
}

/*
 * An answer that cannot be decoded counts as a failure that may have run.
 */
static void
handle_answer_frame(struct request *q, struct str payload)
{
	struct peer *p = q->attempt.peer;
	struct hop_answer m = {0};
	struct job_answer a;
	struct buf parts;
	struct str rest, body;

	if (decode_hop_message(payload, (xdrproc_t)xdr_hop_answer, &m, &rest) !=
	    0) {
		end_remote(q);
		handle_attempt_failure(q, ATTEMPT_BROKEN, false);
		return;
	}
	if (complete_parts(q, rest, &body) != 0) {
		unload_hop_message((xdrproc_t)xdr_hop_answer, &m);
		end_remote(q);
		handle_attempt_failure(q, ATTEMPT_BROKEN, false);
		return;
	}
	parts = q->parts;
	q->parts = (struct buf){0};
	a = (struct job_answer){.status = m.status,
	    .head = make_str_n(m.head.head_val, m.head.head_len),
	    .body = body,
	    .sealed = m.sealed,
	    .service_ns = m.service_us * NSEC_PER_USEC};
	end_remote(q);
	update_peer_load(p, &m.load);
	handle_attempt_answer(q, &a);
	unload_hop_message((xdrproc_t)xdr_hop_answer, &m);
	unload_buf(&parts);
}

/*
 * Appends a piece of a long answer. A piece that does not follow the last one
 * ends the attempt, since the answer can no longer become complete.
 */
static void
handle_part_frame(struct request *q, struct str payload)
{
	struct hop_answer_part m = {0};
	struct str piece;

	if (decode_hop_message(
		payload, (xdrproc_t)xdr_hop_answer_part, &m, &piece) == 0 &&
	    m.offset == q->parts.len && m.total <= HOP_PAYLOAD_MAX &&
	    q->parts.len + piece.len <= m.total &&
	    has_memory(q->node, piece.len, q->node->budget.limit) &&
	    reserve_buf_within(&q->parts, piece.len, m.total) == 0 &&
	    append_buf_str(&q->parts, piece) == 0) {
		q->parts_total = m.total;
		return;
	}
	cancel_remote(q);
	handle_attempt_failure(q, ATTEMPT_BROKEN, false);
}

/*
 * Sets the body of an answer: the pieces that came before and the last one.
 * Returns ERR_CORRUPT when bytes are missing, ERR_MEMORY.
 */
static int
complete_parts(struct request *q, struct str last, struct str *body)
{
	if (q->parts_total == 0) {
		*body = last;
		return 0;
	}
	if (q->parts.len + last.len != q->parts_total)
		return ERR_CORRUPT;
	if (append_buf_str(&q->parts, last) != 0)
		return ERR_MEMORY;
	*body = view_buf(&q->parts);
	return 0;
}

static void
handle_refuse_frame(struct request *q, struct str payload)
{
	struct peer *p = q->attempt.peer;
	struct hop_refuse m = {0};
	struct str rest;

	if (decode_hop_message(payload, (xdrproc_t)xdr_hop_refuse, &m, &rest) !=
	    0) {
		end_remote(q);
		handle_attempt_failure(
		    q, ATTEMPT_BROKEN, !q->attempt.body_sent);
		return;
	}
	end_remote(q);
	update_peer_load(p, &m.load);
	handle_attempt_refusal(q, (enum refuse_reason)m.reason,
	    m.retry_ms * NSEC_PER_MSEC, m.arrived);
}

static void
handle_fail_frame(struct request *q, struct str payload)
{
	struct peer *p = q->attempt.peer;
	struct hop_fail m = {0};
	struct str rest;
	int rc =
	    decode_hop_message(payload, (xdrproc_t)xdr_hop_fail, &m, &rest);

	end_remote(q);
	if (rc == 0)
		update_peer_load(p, &m.load);
	handle_attempt_failure(q,
	    rc == 0 ? (enum attempt_end)m.cause : ATTEMPT_BROKEN,
	    rc == 0 && m.not_sent);
}

/*
 * The call has been granted a slot: queues its body, which is sent round robin
 * with other bodies on the link.
 */
static void
handle_grant_frame(struct request *q, struct str payload)
{
	struct attempt *a = &q->attempt;
	struct hop_grant m = {0};
	struct str rest;

	if (decode_hop_message(payload, (xdrproc_t)xdr_hop_grant, &m, &rest) !=
		0 ||
	    a->granted || a->body_sent)
		return;
	update_peer_load(a->peer, &m.load);
	a->granted = true;
	a->body_sent = true;
	add_trace(q, TRACE_GRANTED, a->peer->id,
	    (int)((get_reactor_now(q->node->reactor) - a->started_at) /
		  NSEC_PER_MSEC),
	    0, 0);
	a->uploading = true;
	a->next_upload = NULL;
	*a->link->uploads_tail = q;
	a->link->uploads_tail = &a->next_upload;
	send_uploads(a->link);
}

/*
 * The link has closed or never opened: ends its attempts and frees it. Calls
 * whose body was not sent have not run.
 */
static void
handle_link_lost(void *arg, const char *why)
{
	struct peer_link *l = arg, **at = &l->node->links;
	bool connected = was_hop_connected(l->hop);

	while (*at != l)
		at = &(*at)->next;
	*at = l->next;
	WRITE_EVENT(LOG_LEVEL_NOTICE, "link.lost",
	    LOG_TEXT("node", l->peer != NULL ? l->peer->id : ""),
	    LOG_TEXT("why", why), LOG_BOOL("was_open", connected),
	    LOG_INT("calls", l->stream_count));
	if (l->peer != NULL) {
		if (l->peer->link == l)
			l->peer->link = NULL;
		record_peer_failure(l->peer);
	}
	cancel_timer(l->node->reactor, &l->timer);
	for (size_t i = 0; i < NODE_STREAM_SLOTS; i++) {
		struct request *q;

		while ((q = l->streams[i]) != NULL) {
			bool not_sent = !q->attempt.body_sent || !connected;

			l->streams[i] = q->attempt.next_stream;
			l->stream_count--;
			if (q->attempt.uploading)
				remove_upload(q);
			q->attempt.peer->in_flight--;
			q->attempt.link = NULL;
			handle_attempt_failure(q,
			    connected ? ATTEMPT_BROKEN : ATTEMPT_NOT_CONNECTED,
			    not_sent);
		}
	}
	close_hop(l->hop);
	free(l);
}

/*
 * The link has had no traffic for a while although calls are in flight. New
 * calls go to other nodes. Calls whose body was not sent, and those that get a
 * retry, are offered to other nodes; the others keep waiting, since they may be
 * running.
 */
static void
handle_unresponsive_link(void *arg)
{
	struct peer_link *l = arg;
	struct request *list, *next;

	WRITE_EVENT(LOG_LEVEL_NOTICE, "link.silent",
	    LOG_TEXT("node", l->peer != NULL ? l->peer->id : ""),
	    LOG_INT("calls", l->stream_count));
	if (l->peer != NULL)
		record_peer_failure(l->peer);
	if (!l->retired) {
		if (l->peer != NULL && l->peer->link == l)
			l->peer->link = NULL;
		l->retired = true;
	}
	for (list = take_movable_calls(l); list != NULL; list = next) {
		next = list->attempt.next_stream;
		if (list->attempt.body_sent)
			move_request(list);
		else
			handle_attempt_failure(list, ATTEMPT_TIMEOUT, true);
	}
	free_link_if_idle(l);
}

/*
 * Takes the calls off a silent link that need not wait for it: those that have
 * certainly not run, and those that get a retry. Returns them linked by
 * attempt.next_stream.
 */
static struct request *
take_movable_calls(struct peer_link *l)
{
	struct request *list = NULL, *q, *next;

	for (size_t i = 0; i < NODE_STREAM_SLOTS; i++) {
		for (q = l->streams[i]; q != NULL; q = next) {
			struct attempt *a = &q->attempt;

			next = a->next_stream;
			if (a->body_sent &&
			    !(has_caller(q) && reserve_request_move(q)))
				continue;
			add_trace(q, TRACE_UNRESPONSIVE, a->peer->id, 0, 0, 0);
			send_hop(l->hop, HOP_CANCEL, a->stream, NULL, NULL,
			    make_str_n(NULL, 0));
			remove_stream(q);
			a->peer->in_flight--;
			a->next_stream = list;
			list = q;
		}
	}
	return list;
}

/*
 * Sends pieces of the queued bodies round robin while less than
 * UPLOAD_UNSENT_BYTES are unsent, so that frames of other calls do not wait
 * behind a complete body.
 */
static void
send_uploads(void *arg)
{
	struct peer_link *l = arg;

	while (l->uploads != NULL &&
	       get_hop_unsent(l->hop) < UPLOAD_UNSENT_BYTES) {
		struct request *q = l->uploads;
		struct attempt *a = &q->attempt;
		struct buf *body = &q->reader.body;
		size_t left = body->len - a->body_queued;
		size_t len =
		    left < HOP_BODY_CHUNK_BYTES ? left : HOP_BODY_CHUNK_BYTES;

		send_hop(l->hop, HOP_BODY, a->stream, NULL, NULL,
		    make_str_n(body->data + a->body_queued, len));
		a->body_queued += len;
		remove_upload(q);
		if (a->body_queued == body->len)
			continue;
		a->uploading = true;
		a->next_upload = NULL;
		*l->uploads_tail = q;
		l->uploads_tail = &a->next_upload;
	}
}

/*
 * Stops using a link for new calls; it is closed after its last call.
 */
static void
retire_link(struct peer_link *l)
{
	l->retired = true;
	if (l->peer != NULL && l->peer->link == l)
		l->peer->link = NULL;
	if (l->peer != NULL && l->stream_count == 0)
		l->peer = NULL;
	free_link_if_idle(l);
}

/*
 * Closes and frees a retired link without calls.
 */
static void
free_link_if_idle(struct peer_link *l)
{
	struct peer_link **at = &l->node->links;

	if (!l->retired || l->stream_count > 0)
		return;
	while (*at != l)
		at = &(*at)->next;
	*at = l->next;
	cancel_timer(l->node->reactor, &l->timer);
	close_hop(l->hop);
	free(l);
}

/*
 * Adds a call to the link, which is checked for traffic while it has calls.
 */
static void
add_stream(struct peer_link *l, struct request *q)
{
	struct request **slot =
	    &l->streams[q->attempt.stream % NODE_STREAM_SLOTS];

	q->attempt.next_stream = *slot;
	*slot = q;
	if (l->stream_count++ == 0)
		set_hop_busy(l->hop, true);
}

/*
 * Takes a call off its link, which is not checked for traffic without calls.
 */
static void
remove_stream(struct request *q)
{
	struct peer_link *l = q->attempt.link;
	struct request **at =
	    &l->streams[q->attempt.stream % NODE_STREAM_SLOTS];

	while (*at != q)
		at = &(*at)->attempt.next_stream;
	*at = q->attempt.next_stream;
	if (q->attempt.uploading)
		remove_upload(q);
	q->attempt.link = NULL;
	if (--l->stream_count == 0)
		set_hop_busy(l->hop, false);
}

static struct request *
find_stream(struct peer_link *l, uint32_t stream)
{
	struct request *q = l->streams[stream % NODE_STREAM_SLOTS];

	while (q != NULL && q->attempt.stream != stream)
		q = q->attempt.next_stream;
	return q;
}

/*
 * Takes a call out of the link's queue of uploads.
 */
static void
remove_upload(struct request *q)
{
	struct peer_link *l = q->attempt.link;
	struct request **at = &l->uploads;

	while (*at != q)
		at = &(*at)->attempt.next_upload;
	*at = q->attempt.next_upload;
	if (*at == NULL) {
		l->uploads_tail = &l->uploads;
		for (struct request *r = l->uploads; r != NULL;
		     r = r->attempt.next_upload)
			l->uploads_tail = &r->attempt.next_upload;
	}
	q->attempt.uploading = false;
}

/*
 * Marks the peer as avoided until its next load report and schedules a probe,
 * after a delay that doubles with each failure in a row up to PROBE_MAX_NS.
 */
static void
record_peer_failure(struct peer *p)
{
	int64_t wait = PROBE_FIRST_NS;

	for (int i = 0; i < p->failures && wait < PROBE_MAX_NS; i++)
		wait *= 2;
	if (wait > PROBE_MAX_NS)
		wait = PROBE_MAX_NS;
	p->failures++;
	set_timer(p->node->reactor, &p->probe,
	    get_reactor_now(p->node->reactor) + wait, probe_peer);
	count_metric(p->node->metrics.avoided_total, 1);
}

/*
 * Opens a link to a peer that failed, without risking a call. WELCOME ends the
 * avoidance.
 */
static void
probe_peer(struct timer *t)
{
	struct peer *p =
	    (struct peer *)((char *)t - offsetof(struct peer, probe));

	if (p->listed && p->usable && !p->address_reused && p->link == NULL)
		p->link = open_peer_link(p);
}

/*
 * Releases a remote attempt from its link and its peer.
 */
static void
end_remote(struct request *q)
{
	struct peer_link *l = q->attempt.link;

	remove_stream(q);
	q->attempt.peer->in_flight--;
	free_link_if_idle(l);
}
