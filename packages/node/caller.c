/*
 * Connections of callers: reads requests and writes answers. pipeline.c keeps
 * the order of both.
 */
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <netinet/in.h>
#include <unistd.h>

#include "caller_state.h"
#include "log.h"

#define ACCEPTS_PER_EVENT 64 /* then other sockets are served */
#define LINGER_NS NSEC_PER_SEC /* for the caller to read the last answer */
/* Limits until the first table arrives. */
#define DEFAULT_IDLE_NS (15 * NSEC_PER_SEC)
#define DEFAULT_HEAD_NS (5 * NSEC_PER_SEC)
#define DEFAULT_HEAD_BYTES (32 * 1024)
#define DEFAULT_BODY_BYTES (64 * 1024 * 1024)
#define SMALL_ANSWER_BYTES 4096 /* kept without drawing on the budget */
#define IDLE_OUT_BYTES (16 * 1024) /* of a buffer without output */
/* Of a request that was refused to free memory. */
#define MEMORY_RETRY_AFTER "Retry-After: 1.000\r\n"

static void start_caller(struct listener *l, int fd);
static bool draw_input(struct caller *c, size_t len);
static void refuse_unread(struct request *q);
static void serve_caller(struct watch *w, uint32_t events);
static void read_caller(struct caller *c);
static void resume_caller(struct caller *c);
static void progress_caller(struct caller *c, struct str in);
static bool advance_caller(struct caller *c, struct str *in);
static void parse_request(struct caller *c, struct str *in);
static struct request *open_request(struct caller *c);
static void refuse_input(struct request *q, enum http_event e);
static bool refuse_by_head(struct request *q);
static void continue_upload(struct request *q);
static void write_caller(struct caller *c);
static void wait_for_caller(struct caller *c);
static void linger_caller(struct caller *c);
static void discard_input(struct caller *c);
static void discard_all_input(struct caller *c);
static bool is_caller_busy(const struct caller *c);
static void close_caller(struct caller *c);
static void end_closed_callers(struct task *t);
static void time_out_caller(struct timer *t);
static void arm_reading_timer(struct caller *c, const struct request *q);
static void arm_timer(struct caller *c, int64_t timeout);
static int64_t choose_timeout(int64_t value, int64_t fallback);

void
accept_callers(struct watch *w, uint32_t events)
{
	struct listener *l =
	    (struct listener *)((char *)w - offsetof(struct listener, watch));

	(void)events;
	for (int i = 0; i < ACCEPTS_PER_EVENT; i++) {
		int fd = accept_connection(l);

		if (fd < 0)
			return;
		start_caller(l, fd);
	}
}

/*
 * Returns false when no connection can give way.
 */
bool
free_caller_descriptor(struct node *n, const struct listener *l)
{
	int64_t now = get_reactor_now(n->reactor);
	struct memory_holder first, h;
	struct caller *v = NULL;

	for (struct caller *c = n->callers; c != NULL; c = c->next) {
		if (c->busy || (l != NULL && c->listener != l))
			continue;
		h = describe_holder(c);
		if (h.waits ||
		    (v != NULL && !yields_descriptor_before(&h, &first, now)))
			continue;
		v = c;
		first = h;
	}
	count_metric(n->metrics.accept_closes_total, 1);
	if (v == NULL)
		return false;
	discard_all_input(v);
	close_caller(v);
	return true;
}

/*
 * Closes all connections, after the reactor has stopped. Unread input would
 * reset a connection, and its caller might lose the last answer.
 */
void
close_callers(struct node *n)
{
	struct caller *c, *next;

	for (c = n->callers; c != NULL; c = next) {
		next = c->next;
		discard_all_input(c);
		close_caller(c);
	}
	cancel_task(n->reactor, &n->end_callers);
	end_closed_callers(&n->end_callers);
}

/*
 * Closes the connections that have neither a request nor an answer that may not
 * have arrived. A request that has arrived by now is read and handled.
 */
void
close_idle_callers(struct node *n)
{
	struct caller *c, *next;

	for (c = n->callers; c != NULL; c = next) {
		next = c->next;
		if (is_caller_busy(c))
			continue;
		read_caller(c);
		if (!c->closed && !is_caller_busy(c))
			close_caller(c);
	}
}

bool
has_busy_callers(const struct node *n)
{
	for (const struct caller *c = n->callers; c != NULL; c = c->next) {
		if (is_caller_busy(c))
			return true;
	}
	return false;
}

struct request *
find_request(const struct node *n, bool (*match)(const struct request *q))
{
	for (const struct caller *c = n->callers; c != NULL; c = c->next) {
		for (struct request *q = c->first; q != NULL;
		     q = q->next_request) {
			if (match(q))
				return q;
		}
	}
	return NULL;
}

/*
 * Queues an answer in the order of the requests and writes what the socket
 * accepts now. An answer without a caller is dropped. The connection stays open
 * unless the caller asked to close it or the node is stopping.
 */
void
send_answer(struct request *q, int status, struct str head, struct str body)
{
	struct caller *c = q->caller;

	if (!has_caller(q)) {
		free_request(q);
		return;
	}
	if (head.len + body.len > SMALL_ANSWER_BYTES &&
	    !make_room(c, head.len + body.len, c->node->budget.limit)) {
		q->state = REQUEST_DONE; /* without its answer */
		close_caller(c);
		return;
	}
	if (keep_answer(q, status, head, body) != 0) {
		write_log(LOG_LEVEL_ERR,
		    "out of memory for an answer; a caller's connection is "
		    "closed");
		close_caller(c);
		return;
	}
	if (!c->busy)
		resume_caller(c);
}

bool
has_caller(const struct request *q)
{
	return q->caller != NULL && !q->caller->closed;
}

/*
 * Frees a request and detaches it from its caller; NULL is allowed.
 */
void
free_request(struct request *q)
{
	if (q == NULL)
		return;
	cancel_timer(q->node->reactor, &q->timer);
	return_allotment(q);
	leave_record_queue(q);
	cancel_hedge(q);
	if (q->caller != NULL)
		remove_pipeline(q->caller, q);
	q->node->body_bytes -= q->reader.body.len;
	q->node->kept_bytes -= q->answer.len;
	q->node->object_bytes -= sizeof(*q);
	if (q->counted)
		q->node->requests--;
	close_http_reader(&q->reader);
	unload_buf(&q->head);
	unload_buf(&q->parts);
	unload_buf(&q->answer);
	free(q->fallback);
	free(q);
}

/*
 * Takes over an accepted connection; closes it when out of memory, or when its
 * listener has all its connections and none can give way.
 */
static void
start_caller(struct listener *l, int fd)
{
	struct node *n = l->node;
	struct caller *c;
	int one = 1, window;

	if (l->open_max > 0 && l->open >= l->open_max &&
	    !free_caller_descriptor(n, l)) {
		close(fd);
		return;
	}
	c = calloc(1, sizeof(*c));
	if (c == NULL || start_watch(n->reactor, &c->watch, fd,
			     EPOLLIN | EPOLLRDHUP, serve_caller) != 0) {
		write_log(LOG_LEVEL_ERR,
		    "out of memory: a caller's connection is closed");
		free(c);
		close(fd);
		return;
	}
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	window = choose_receive_bytes(&n->budget, ++l->open);
	if (window > 0)
		(void)setsockopt(
		    fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	c->node = n;
	c->listener = l;
	c->handle = l->handle;
	c->progress_at = get_reactor_now(n->reactor);
	n->object_bytes += sizeof(*c);
	c->tail = &c->first;
	c->next = n->callers;
	c->prev = &n->callers;
	if (c->next != NULL)
		c->next->prev = &c->next;
	n->callers = c;
	arm_timer(c, choose_timeout(n->idle_ns, DEFAULT_IDLE_NS));
	read_caller(c);
}

/*
 * Handles events of the socket. A caller that closes its sending side while a
 * call is in flight counts as disconnected.
 */
static void
serve_caller(struct watch *w, uint32_t events)
{
	struct caller *c =
	    (struct caller *)((char *)w - offsetof(struct caller, watch));

	if (c->lingering) {
		discard_input(c);
		return;
	}
	if ((events & (EPOLLERR | EPOLLHUP)) != 0 ||
	    ((events & EPOLLRDHUP) != 0 && has_unanswered(c))) {
		close_caller(c);
		return;
	}
	if ((events & EPOLLOUT) != 0) {
		resume_caller(c);
		return;
	}
	if ((events & (EPOLLIN | EPOLLRDHUP)) != 0)
		read_caller(c);
}

static void
read_caller(struct caller *c)
{
	struct reactor *r = c->node->reactor;
	char *bytes = acquire_scratch(r);
	ssize_t n;

	if (bytes == NULL) {
		write_log(LOG_LEVEL_ERR, "out of memory for a request");
		close_caller(c);
		return;
	}
	n = recv(c->watch.fd, bytes, REACTOR_SCRATCH_BYTES, 0);
	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
		close_caller(c);
	} else if (n > 0) {
		c->input_at = c->progress_at = get_reactor_now(r);
		if (draw_input(c, (size_t)n))
			progress_caller(c, make_str_n(bytes, (size_t)n));
	}
	release_scratch(r);
}

/*
 * Draws memory for len bytes that were read. Returns false if there is none:
 * the bytes are dropped with their request, which is refused.
 */
static bool
draw_input(struct caller *c, size_t len)
{
	size_t more = get_input_growth(c, len);
	struct request *q;

	if (more == 0 || make_input_room(c, more))
		return true;
	c->busy = true;
	q = open_request(c);
	c->busy = false;
	if (q == NULL)
		close_caller(c);
	else
		refuse_unread(q);
	return false;
}

/*
 * Refuses a request that is being read and frees its memory. It has not run.
 * What follows on the connection is not read any more.
 */
static void
refuse_unread(struct request *q)
{
	struct node *n = q->node;

	count_metric(n->metrics.yields_total, 1);
	count_metric(n->metrics.refused_total, 1);
	n->body_bytes -= q->reader.body.len;
	unload_buf(&q->reader.body);
	q->reason = REFUSE_BODY_MEMORY;
	q->caller->input_ended = true;
	q->state = REQUEST_DONE;
	unload_buf(&q->caller->input);
	send_answer(q, 503, make_str(MEMORY_RETRY_AFTER), make_str(""));
}

/*
 * A request that is being read is refused. A connection whose client does not
 * read its answers is closed.
 */
void
yield_caller(struct caller *c)
{
	struct request *q = get_reading(c);

	if (q != NULL && c->out.len == c->out_sent && !c->closing) {
		refuse_unread(q);
		return;
	}
	count_metric(c->node->metrics.yields_total, 1);
	discard_all_input(c);
	close_caller(c);
	free_caller_buffers(c);
}

/*
 * Goes on with the input that was kept, and with output that was not accepted
 * by the socket.
 */
static void
resume_caller(struct caller *c)
{
	struct buf kept = c->input;

	c->input = (struct buf){0};
	progress_caller(c, view_buf(&kept));
	unload_buf(&kept);
}

/*
 * Parses input, starts requests and sends answers as far as possible; the rest
 * of the input is kept. May close the connection.
 */
static void
progress_caller(struct caller *c, struct str in)
{
	c->busy = true;
	do {
		while (advance_caller(c, &in))
			;
		if (!c->closed)
			write_caller(c);
	} while (!c->closed && in.len > 0 && may_read_request(c));
	if (!c->closed && in.len > 0 && append_buf_str(&c->input, in) != 0) {
		write_log(LOG_LEVEL_ERR, "out of memory for a request");
		close_caller(c);
	}
	if (!c->closed)
		wait_for_caller(c);
	c->busy = false;
}

/*
 * Does one step of progress_caller(); false when none is left.
 */
static bool
advance_caller(struct caller *c, struct str *in)
{
	if (c->closed)
		return false;
	if (collect_answers(c) != 0) {
		write_log(LOG_LEVEL_ERR, "out of memory for an answer");
		close_caller(c);
		return false;
	}
	if (c->closing)
		return false;
	if (start_held_request(c))
		return true;
	if (in->len == 0 || !may_read_request(c))
		return false;
	parse_request(c, in);
	return true;
}

/*
 * Parses bytes of one request; a complete one is started.
 */
static void
parse_request(struct caller *c, struct str *in)
{
	struct request *q = open_request(c);
	enum http_event e;
	size_t before;

	if (q == NULL) {
		write_log(LOG_LEVEL_ERR, "out of memory for a request");
		close_caller(c);
		return;
	}
	before = q->reader.body.len;
	do {
		e = read_http(&q->reader, in);
		if (e == READ_HEAD && refuse_by_head(q))
			return;
		if (e == READ_HEAD)
			continue_upload(q);
	} while (e == READ_HEAD);
	c->node->body_bytes += q->reader.body.len - before;
	if (e == READ_MORE) {
		if (!is_http_reading(&q->reader))
			free_request(q); /* only empty lines so far */
		else if (q->reader.head_done && c->handle == route_call &&
			 c->rank == MEMORY_RANK_UNKNOWN &&
			 c->node->budget.limit != 0)
			c->rank = get_request_rank(q);
		return;
	}
	if (e != READ_END) {
		refuse_input(q, e);
		return;
	}
	if (!q->reader.head.keep_alive)
		c->input_ended = true;
	q->complete = get_reactor_now(c->node->reactor);
	start_in_order(c, q);
}

/*
 * Returns the request being read, a new one if necessary. NULL: out of memory.
 */
static struct request *
open_request(struct caller *c)
{
	struct node *n = c->node;
	struct request *q = get_reading(c);

	if (q != NULL)
		return q;
	q = calloc(1, sizeof(*q));
	if (q == NULL)
		return NULL;
	n->object_bytes += sizeof(*q);
	c->rank = MEMORY_RANK_UNKNOWN;
	q->node = n;
	q->caller = c;
	q->arrived = c->input_at;
	open_http_reader(&q->reader, true,
	    n->head_max != 0 ? n->head_max : DEFAULT_HEAD_BYTES,
	    n->body_max != 0 ? n->body_max : DEFAULT_BODY_BYTES);
	append_pipeline(c, q);
	return q;
}

/*
 * Answers 400 to a malformed request, 431 or 413 to one whose head or body is
 * too large, after the answers to the requests before it. The connection is
 * closed then.
 */
static void
refuse_input(struct request *q, enum http_event e)
{
	int status = e == READ_HEAD_TOO_LARGE ? 431 :
		     e == READ_BODY_TOO_LARGE ? 413 :
						400;

	write_log(LOG_LEVEL_NOTICE, "request refused with status %d: %s",
	    status, status == 400 ? "not valid HTTP/1.1" : "too large");
	q->caller->input_ended = true;
	q->state = REQUEST_DONE;
	send_answer(q, status, make_str(""), make_str(""));
}

/*
 * Says whether the call was refused before its body, which is then not read:
 * the connection ends with the answer.
 */
static bool
refuse_by_head(struct request *q)
{
	struct caller *c = q->caller;

	if (c->handle != route_call)
		return false;
	q->complete = get_reactor_now(c->node->reactor);
	if (!refuse_head(c->node, q))
		return false;
	c->input_ended = true;
	return true;
}

/*
 * Sends 100 Continue to a caller that expects it before it sends the body.
 * Behind unanswered requests it would be taken for a part of their answers; the
 * caller then sends the body without it (RFC 9110, 10.1.1).
 */
static void
continue_upload(struct request *q)
{
	static const char answer[] = "HTTP/1.1 100 Continue\r\n\r\n";
	struct caller *c = q->caller;
	struct str expect = find_http_header(&q->reader.head, "expect");

	if (!is_http_name_equal(expect, "100-continue") || c->first != q ||
	    c->out.len > c->out_sent)
		return;
	if (send(c->watch.fd, answer, sizeof(answer) - 1, MSG_NOSIGNAL) < 0)
		write_log(LOG_LEVEL_NOTICE,
		    "cannot send 100 Continue to a caller: %s",
		    strerror(errno));
}

/*
 * Writes pending output as far as the socket accepts it.
 */
static void
write_caller(struct caller *c)
{
	while (c->out_sent < c->out.len) {
		ssize_t n = send(c->watch.fd, c->out.data + c->out_sent,
		    c->out.len - c->out_sent, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (n < 0) {
			close_caller(c);
			return;
		}
		c->out_sent += (size_t)n;
		c->progress_at = get_reactor_now(c->node->reactor);
	}
	c->out.len = c->out_sent = 0;
	trim_buf(&c->out, IDLE_OUT_BYTES);
}

/*
 * Sets the events and the time-out for which the connection waits, or ends it
 * after its last answer.
 */
static void
wait_for_caller(struct caller *c)
{
	struct node *n = c->node;

	if (c->out.len > c->out_sent) {
		set_caller_stopped(c, true);
		change_watch(n->reactor, &c->watch, EPOLLOUT);
		arm_timer(c, choose_timeout(n->idle_ns, DEFAULT_IDLE_NS));
		return;
	}
	if (c->closing) {
		if (c->input.len > 0 || c->first != NULL)
			count_metric(n->metrics.unread_closes_total, 1);
		linger_caller(c);
		return;
	}
	set_caller_stopped(c, !may_read_request(c));
	change_watch(n->reactor, &c->watch,
	    c->stopped ? EPOLLRDHUP : EPOLLIN | EPOLLRDHUP);
	if (get_reading(c) != NULL)
		arm_reading_timer(c, get_reading(c));
	else if (c->first == NULL)
		arm_timer(c, choose_timeout(n->idle_ns, DEFAULT_IDLE_NS));
	else
		cancel_timer(n->reactor, &c->timer);
}

/*
 * Shuts down the sending side and discards further input for LINGER_NS. A close
 * with unread bytes would reset the connection, and the caller might lose the
 * answer.
 */
static void
linger_caller(struct caller *c)
{
	c->lingering = true;
	set_caller_stopped(c, false);
	(void)shutdown(c->watch.fd, SHUT_WR);
	arm_timer(c, LINGER_NS);
	change_watch(c->node->reactor, &c->watch, EPOLLIN | EPOLLRDHUP);
	discard_input(c);
}

static void
discard_input(struct caller *c)
{
	char bytes[4096];
	ssize_t n = recv(c->watch.fd, bytes, sizeof(bytes), 0);

	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
		close_caller(c);
}

static void
discard_all_input(struct caller *c)
{
	char bytes[4096];

	while (recv(c->watch.fd, bytes, sizeof(bytes), MSG_DONTWAIT) > 0)
		;
}

/*
 * Says whether the connection has a request, from its first byte on, or an
 * answer that its caller may not have read yet.
 */
static bool
is_caller_busy(const struct caller *c)
{
	return c->first != NULL || c->out.len > c->out_sent || c->lingering;
}

/*
 * Closes the connection. Its requests are ended, and it is freed, at the end of
 * the round: a loop over calls may be running that has found the caller gone
 * while it sent the answer of one of them, and holds pointers to the others.
 */
static void
close_caller(struct caller *c)
{
	struct node *n = c->node;

	if (c->closed)
		return;
	c->closed = true;
	c->listener->open--;
	set_caller_stopped(c, false);
	*c->prev = c->next;
	if (c->next != NULL)
		c->next->prev = c->prev;
	stop_watch(n->reactor, &c->watch);
	cancel_timer(n->reactor, &c->timer);
	close(c->watch.fd);
	c->next = n->closed_callers;
	n->closed_callers = c;
	defer_task(n->reactor, &n->end_callers, end_closed_callers);
}

/*
 * Ends the calls of the connections that were closed in this round, as
 * abandoned by their callers, and frees the connections.
 */
static void
end_closed_callers(struct task *t)
{
	struct node *n =
	    (struct node *)((char *)t - offsetof(struct node, end_callers));
	struct request *q;
	struct caller *c;

	while ((c = n->closed_callers) != NULL) {
		n->closed_callers = c->next;
		while ((q = c->first) != NULL) {
			remove_pipeline(c, q);
			q->caller = NULL;
			if (q->state == REQUEST_RUNNING)
				handle_caller_hangup(q);
			else
				free_request(q);
		}
		unload_buf(&c->input);
		unload_buf(&c->out);
		n->object_bytes -= sizeof(*c);
		free(c);
	}
}

/*
 * Closes the connection, unless requests before the one that is being read are
 * unanswered: these are answered first.
 */
static void
time_out_caller(struct timer *t)
{
	struct caller *c =
	    (struct caller *)((char *)t - offsetof(struct caller, timer));

	if (!has_unanswered(c) || c->out.len > c->out_sent || c->lingering) {
		close_caller(c);
		return;
	}
	c->input_ended = true;
	free_request(get_reading(c));
	resume_caller(c);
}

/*
 * A head has to be complete within its limit; the bytes of a body have to
 * follow each other within it.
 */
static void
arm_reading_timer(struct caller *c, const struct request *q)
{
	int64_t limit = choose_timeout(c->node->head_ns, DEFAULT_HEAD_NS);
	int64_t now = get_reactor_now(c->node->reactor);

	if (!q->reader.head_done && q->arrived + limit > now)
		arm_timer(c, q->arrived + limit - now);
	else
		arm_timer(c, q->reader.head_done ? limit : 0);
}

static void
arm_timer(struct caller *c, int64_t timeout)
{
	struct reactor *r = c->node->reactor;

	set_timer(r, &c->timer, get_reactor_now(r) + timeout, time_out_caller);
}

static int64_t
choose_timeout(int64_t value, int64_t fallback)
{
	return value != 0 ? value : fallback;
}
