/*
 * Callers' connections: requests in, answers out, one request at a time.
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

#define ACCEPTS_AT_ONCE 64 /* before other sockets get their turn */
#define LINGER_NS NSEC_PER_SEC /* a refused sender may read its answer */
#define DEFAULT_IDLE_NS (15 * NSEC_PER_SEC) /* before a table is known */
#define DEFAULT_HEAD_NS (5 * NSEC_PER_SEC)
#define DEFAULT_HEAD_BYTES (32 * 1024)
#define DEFAULT_BODY_BYTES (64 * 1024 * 1024)

/* A connection of a caller. */
struct caller {
	struct node *node;
	struct caller *next, **prev; /* in the node's list */
	request_fn handle;
	struct watch watch;
	struct timer timer; /* the longest wait for the next bytes */
	struct request *request; /* being read, or waiting for its answer */
	struct buf input; /* bytes read beyond the present request */
	struct buf out;
	size_t out_at;
	bool closing; /* after the answer that is being sent */
	bool lingering; /* answered; reads and drops until the caller closes */
};

static void start_caller(struct node *n, int fd, request_fn handle);
static void serve_caller(struct watch *w, uint32_t events);
static void read_caller(struct caller *c);
static void take_input(struct caller *c, struct str in);
static bool open_request(struct caller *c);
static void take_whole(struct caller *c, struct str rest);
static void refuse_input(struct caller *c, enum http_event e);
static void continue_upload(struct caller *c);
static void write_caller(struct caller *c);
static void finish_answer(struct caller *c);
static void linger_caller(struct caller *c);
static void drop_input(struct caller *c);
static void close_caller(struct caller *c);
static void time_out_caller(struct timer *t);
static void arm_timer(struct caller *c, int64_t wait);
static int64_t choose_wait(int64_t value, int64_t otherwise);

void
accept_callers(struct watch *w, uint32_t events)
{
	struct listener *l =
	    (struct listener *)((char *)w - offsetof(struct listener, watch));

	(void)events;
	for (int i = 0; i < ACCEPTS_AT_ONCE; i++) {
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
 * Writes the answer at once as far as the socket takes it. The connection stays
 * open unless the caller or the node wants it closed.
 */
void
send_answer(struct request *q, int status, struct str head, struct str body)
{
	struct caller *c = q->caller;
	bool bare = is_http_name(q->reader.head.method, "HEAD");
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

void
free_request(struct request *q)
{
	if (q == NULL)
		return;
	cancel_timer(q->node->reactor, &q->timer);
	if (q->caller != NULL)
		q->caller->request = NULL;
	q->node->body_bytes -= q->reader.body.len;
	if (q->placed) {
		q->node->requests--;
		note_idle(q->node);
	}
	close_http_reader(&q->reader);
	unload_buf(&q->head);
	free(q->fallback);
	free(q);
}

static void
start_caller(struct node *n, int fd, request_fn handle)
{
	struct caller *c = calloc(1, sizeof(*c));
	int one = 1;

	if (c == NULL || start_watch(n->reactor, &c->watch, fd,
			     EPOLLIN | EPOLLRDHUP, serve_caller) != 0) {
		write_log(LOG_LEVEL_ERR,
		    "a caller's connection is closed: out of memory");
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
	arm_timer(c, choose_wait(n->idle_ns, DEFAULT_IDLE_NS));
	read_caller(c);
}

static void
serve_caller(struct watch *w, uint32_t events)
{
	struct caller *c =
	    (struct caller *)((char *)w - offsetof(struct caller, watch));

	if (c->lingering) {
		drop_input(c);
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
	char *bytes = take_scratch(r);
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
		take_input(c, make_str_n(bytes, (size_t)n));
	give_scratch(r);
}

/*
 * Reads a request on. Once it is whole, further bytes wait for its answer.
 */
static void
take_input(struct caller *c, struct str in)
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
		arm_timer(c, choose_wait(c->node->head_ns, DEFAULT_HEAD_NS));
	} else if (e == READ_END) {
		take_whole(c, in);
	} else if (e != READ_MORE) {
		refuse_input(c, e);
	}
}

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
 * Hands a whole request over. From now on only the caller's hang-up counts.
 */
static void
take_whole(struct caller *c, struct str rest)
{
	struct request *q = c->request;

	c->input.len = 0;
	if (append_buf_str(&c->input, rest) != 0) {
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
 * Answers bytes that are no request, or too many.
 */
static void
refuse_input(struct caller *c, enum http_event e)
{
	int status = e == READ_HEAD_TOO_LARGE ? 431 :
		     e == READ_BODY_TOO_LARGE ? 413 :
						400;
	struct request *q = c->request;

	write_log(LOG_LEVEL_NOTICE, "a request is refused with %d: %s", status,
	    status == 400 ? "it is not HTTP/1.1" : "it is too large");
	c->closing = true;
	q->state = REQUEST_DONE;
	send_answer(q, status, make_str(""), make_str(""));
}

/*
 * A caller that asks before it sends its body is told to go on.
 */
static void
continue_upload(struct caller *c)
{
	static const char answer[] = "HTTP/1.1 100 Continue\r\n\r\n";
	struct str expect =
	    find_http_header(&c->request->reader.head, "expect");

	if (!is_http_name(expect, "100-continue"))
		return;
	if (send(c->watch.fd, answer, sizeof(answer) - 1, MSG_NOSIGNAL) < 0)
		write_log(LOG_LEVEL_NOTICE,
		    "a caller that waits for 100 Continue did not take it: %s",
		    strerror(errno));
}

static void
write_caller(struct caller *c)
{
	struct reactor *r = c->node->reactor;

	while (c->out_at < c->out.len) {
		ssize_t n = send(c->watch.fd, c->out.data + c->out_at,
		    c->out.len - c->out_at, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
			change_watch(r, &c->watch, EPOLLOUT);
			arm_timer(
			    c, choose_wait(c->node->idle_ns, DEFAULT_IDLE_NS));
			return;
		}
		if (n < 0) {
			close_caller(c);
			return;
		}
		c->out_at += (size_t)n;
	}
	c->out.len = c->out_at = 0;
	finish_answer(c);
}

/*
 * The answer is sent: reads the next request or closes.
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
	arm_timer(c, choose_wait(n->idle_ns, DEFAULT_IDLE_NS));
	change_watch(n->reactor, &c->watch, EPOLLIN | EPOLLRDHUP);
	if (c->input.len == 0)
		return;
	in = view_buf(&c->input);
	c->input = (struct buf){0};
	take_input(c, in);
	free((char *)(uintptr_t)in.data);
}

/*
 * Ends the sending side. A close with unread bytes would reset the connection
 * and might destroy the answer, so what still comes is read and dropped.
 */
static void
linger_caller(struct caller *c)
{
	c->lingering = true;
	(void)shutdown(c->watch.fd, SHUT_WR);
	arm_timer(c, LINGER_NS);
	change_watch(c->node->reactor, &c->watch, EPOLLIN | EPOLLRDHUP);
	drop_input(c);
}

static void
drop_input(struct caller *c)
{
	char bytes[4096];
	ssize_t n = recv(c->watch.fd, bytes, sizeof(bytes), 0);

	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
		close_caller(c);
}

/*
 * Forgets the caller. Its request, if any, is told.
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
		abandon_request(q);
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
arm_timer(struct caller *c, int64_t wait)
{
	struct reactor *r = c->node->reactor;

	set_timer(r, &c->timer, get_reactor_now(r) + wait, time_out_caller);
}

static int64_t
choose_wait(int64_t value, int64_t otherwise)
{
	return value != 0 ? value : otherwise;
}
