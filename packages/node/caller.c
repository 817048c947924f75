/*
 * Connections of callers: reads requests and writes answers, one request at a
 * time on each connection.
 */
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <netinet/in.h>
#include <unistd.h>

#include "log.h"
#include "node_state.h"

#define ACCEPTS_PER_EVENT 64 /* then other sockets are served */
#define LINGER_NS NSEC_PER_SEC /* for the caller to read the last answer */
/* Limits until the first table arrives. */
#define DEFAULT_IDLE_NS (15 * NSEC_PER_SEC)
#define DEFAULT_HEAD_NS (5 * NSEC_PER_SEC)
#define DEFAULT_HEAD_BYTES (32 * 1024)
#define DEFAULT_BODY_BYTES (64 * 1024 * 1024)

/* A connection of a caller. */
struct caller {
	struct node *node;
	struct caller *next, **prev; /* in the node's list */
	request_fn handle;
	struct watch watch;
	struct timer timer; /* read, write, idle or linger time-out */
	struct request *request; /* being read or answered; NULL: none */
	struct buf input; /* bytes read beyond the current request */
	struct buf out;
	size_t out_sent;
	bool closing; /* close after the answer that is being sent */
	bool lingering; /* answered; discards input until the caller closes */
};

static void start_caller(struct node *n, int fd, request_fn handle);
static void serve_caller(struct watch *w, uint32_t events);
static void read_caller(struct caller *c);
static void parse_input(struct caller *c, struct str in);
static bool open_request(struct caller *c);
static void dispatch_request(struct caller *c, struct str surplus);
static void refuse_input(struct caller *c, enum http_event e);
static void continue_upload(struct caller *c);
static void write_caller(struct caller *c);
static void finish_answer(struct caller *c);
static void linger_caller(struct caller *c);
static void discard_input(struct caller *c);
static void close_caller(struct caller *c);
static void time_out_caller(struct timer *t);
static void arm_timer(struct caller *c, int64_t timeout);
static int64_t choose_timeout(int64_t value, int64_t fallback);

void
accept_callers(struct watch *w, uint32_t events)
{
	struct listener *l =
	    (struct listener *)((char *)w - offsetof(struct listener, watch));

	(void)events;
	for (int i = 0; i < ACCEPTS_PER_EVENT; i++) {
		int fd =
		    accept4(w->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0)
			return;
		start_caller(l->node, fd, l->handle);
	}
}

void
close_callers(struct node *n)
{
	struct caller *c, *next;

	for (c = n->callers; c != NULL; c = next) {
		next = c->next;
		close_caller(c);
	}
}

/*
 * Closes the connections that have neither a request nor an unsent answer.
 */
void
close_idle_callers(struct node *n)
{
	struct caller *c, *next;

	for (c = n->callers; c != NULL; c = next) {
		next = c->next;
		if (c->request == NULL && c->out.len == 0)
			close_caller(c);
	}
}

/*
 * Queues an answer, writes what the socket accepts now and frees the request.
 * An answer without a caller is dropped. The connection stays open unless the
 * caller asked to close it or the node is stopping.
 */
void
send_answer(struct request *q, int status, struct str head, struct str body)
{
	struct caller *c = q->caller;
	bool bare = is_http_name_equal(q->reader.head.method, "HEAD");
	int rc;

	if (c == NULL) {
		free_request(q);
		return;
	}
	c->closing = c->closing || !q->reader.head.keep_alive ||
		     c->node->leaving_at != 0;
	rc = append_buf_fmt(
	    &c->out, "HTTP/1.1 %d %s\r\n", status, get_http_reason(status));
	if (rc == 0)
		rc = append_buf_str(&c->out, head);
	if (rc == 0 && (status >= 200 && status != 204 && status != 304))
		rc = append_buf_fmt(
		    &c->out, "Content-Length: %zu\r\n", body.len);
	if (rc == 0 && c->closing)
		rc = append_buf_str(&c->out, make_str("Connection: close\r\n"));
	if (rc == 0)
		rc = append_buf(&c->out, "\r\n", 2);
	if (rc == 0 && !bare)
		rc = append_buf_str(&c->out, body);
	free_request(q);
	if (rc != 0) {
		write_log(LOG_LEVEL_ERR,
		    "out of memory for an answer; a caller's connection is "
		    "closed");
		close_caller(c);
		return;
	}
	write_caller(c);
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
	if (q->caller != NULL)
		q->caller->request = NULL;
	q->node->body_bytes -= q->reader.body.len;
	if (q->counted) {
		q->node->requests--;
		schedule_drain_check(q->node);
	}
	close_http_reader(&q->reader);
	unload_buf(&q->head);
	free(q->fallback);
	free(q);
}

/*
 * Takes over an accepted connection; closes it when out of memory.
 */
static void
start_caller(struct node *n, int fd, request_fn handle)
{
	struct caller *c = calloc(1, sizeof(*c));
	int one = 1;

	if (c == NULL || start_watch(n->reactor, &c->watch, fd,
			     EPOLLIN | EPOLLRDHUP, serve_caller) != 0) {
		write_log(LOG_LEVEL_ERR,
		    "out of memory: a caller's connection is closed");
		free(c);
		close(fd);
		return;
	}
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	c->node = n;
	c->handle = handle;
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
	    ((events & EPOLLRDHUP) != 0 && c->request != NULL &&
		c->request->state != REQUEST_READING)) {
		close_caller(c);
		return;
	}
	if ((events & EPOLLOUT) != 0) {
		write_caller(c);
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
	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
		close_caller(c);
	else if (n > 0)
		parse_input(c, make_str_n(bytes, (size_t)n));
	release_scratch(r);
}

/*
 * Parses more bytes of the request. Bytes after a complete request are kept
 * until it has been answered.
 */
static void
parse_input(struct caller *c, struct str in)
{
	struct request *q;
	enum http_event e;
	size_t before;

	if (!open_request(c)) {
		close_caller(c);
		return;
	}
	q = c->request;
	before = q->reader.body.len;
	do {
		e = read_http(&q->reader, &in);
		if (e == READ_HEAD)
			continue_upload(c);
	} while (e == READ_HEAD);
	c->node->body_bytes += q->reader.body.len - before;
	if (e == READ_MORE && is_http_reading(&q->reader)) {
		arm_timer(c, choose_timeout(c->node->head_ns, DEFAULT_HEAD_NS));
	} else if (e == READ_END) {
		dispatch_request(c, in);
	} else if (e != READ_MORE) {
		refuse_input(c, e);
	}
}

/*
 * Begins a request unless one is being read. False when out of memory.
 */
static bool
open_request(struct caller *c)
{
	struct node *n = c->node;
	struct request *q = c->request;

	if (q != NULL)
		return true;
	q = calloc(1, sizeof(*q));
	if (q == NULL)
		return false;
	q->node = n;
	q->caller = c;
	q->arrived = get_reactor_now(n->reactor);
	open_http_reader(&q->reader, true,
	    n->head_max != 0 ? n->head_max : DEFAULT_HEAD_BYTES,
	    n->body_max != 0 ? n->body_max : DEFAULT_BODY_BYTES);
	c->request = q;
	return true;
}

/*
 * Passes a complete request to the listener's handler. surplus: bytes of later
 * requests. Until the answer the socket is watched only for a disconnect.
 */
static void
dispatch_request(struct caller *c, struct str surplus)
{
	struct request *q = c->request;

	c->input.len = 0;
	if (append_buf_str(&c->input, surplus) != 0) {
		close_caller(c);
		return;
	}
	q->state = REQUEST_RUNNING;
	q->complete = get_reactor_now(c->node->reactor);
	cancel_timer(c->node->reactor, &c->timer);
	change_watch(c->node->reactor, &c->watch, EPOLLRDHUP);
	c->handle(c->node, q);
}

/*
 * Answers 400 to a malformed request, 431 or 413 to one whose head or body is
 * too large, and closes the connection.
 */
static void
refuse_input(struct caller *c, enum http_event e)
{
	int status = e == READ_HEAD_TOO_LARGE ? 431 :
		     e == READ_BODY_TOO_LARGE ? 413 :
						400;
	struct request *q = c->request;

	write_log(LOG_LEVEL_NOTICE, "request refused with status %d: %s",
	    status, status == 400 ? "not valid HTTP/1.1" : "too large");
	c->closing = true;
	q->state = REQUEST_DONE;
	send_answer(q, status, make_str(""), make_str(""));
}

/*
 * Sends 100 Continue to a caller that expects it before it sends the body.
 */
static void
continue_upload(struct caller *c)
{
	static const char answer[] = "HTTP/1.1 100 Continue\r\n\r\n";
	struct str expect =
	    find_http_header(&c->request->reader.head, "expect");

	if (!is_http_name_equal(expect, "100-continue"))
		return;
	if (send(c->watch.fd, answer, sizeof(answer) - 1, MSG_NOSIGNAL) < 0)
		write_log(LOG_LEVEL_NOTICE,
		    "cannot send 100 Continue to a caller: %s",
		    strerror(errno));
}

/*
 * Writes pending output; the rest follows when the socket becomes writable.
 */
static void
write_caller(struct caller *c)
{
	struct reactor *r = c->node->reactor;

	while (c->out_sent < c->out.len) {
		ssize_t n = send(c->watch.fd, c->out.data + c->out_sent,
		    c->out.len - c->out_sent, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
			change_watch(r, &c->watch, EPOLLOUT);
			arm_timer(c,
			    choose_timeout(c->node->idle_ns, DEFAULT_IDLE_NS));
			return;
		}
		if (n < 0) {
			close_caller(c);
			return;
		}
		c->out_sent += (size_t)n;
	}
	c->out.len = c->out_sent = 0;
	finish_answer(c);
}

/*
 * The answer has been written: goes on with the next request, or closes.
 */
static void
finish_answer(struct caller *c)
{
	struct node *n = c->node;
	struct str in;

	if (c->closing) {
		linger_caller(c);
		return;
	}
	arm_timer(c, choose_timeout(n->idle_ns, DEFAULT_IDLE_NS));
	change_watch(n->reactor, &c->watch, EPOLLIN | EPOLLRDHUP);
	if (c->input.len == 0)
		return;
	in = view_buf(&c->input);
	c->input = (struct buf){0};
	parse_input(c, in);
	free((char *)(uintptr_t)in.data);
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

/*
 * Closes and frees the connection. A call in flight is handled as abandoned by
 * its caller.
 */
static void
close_caller(struct caller *c)
{
	struct request *q = c->request;

	*c->prev = c->next;
	if (c->next != NULL)
		c->next->prev = c->prev;
	stop_watch(c->node->reactor, &c->watch);
	cancel_timer(c->node->reactor, &c->timer);
	close(c->watch.fd);
	unload_buf(&c->input);
	unload_buf(&c->out);
	free(c);
	if (q == NULL)
		return;
	q->caller = NULL;
	if (q->state == REQUEST_RUNNING)
		handle_caller_hangup(q);
	else
		free_request(q);
}

static void
time_out_caller(struct timer *t)
{
	close_caller(
	    (struct caller *)((char *)t - offsetof(struct caller, timer)));
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
