/*
 * Connections to the backend server: calls run on them, one at a time on each.
 */
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "log.h"
#include "backend_state.h"

#define ANSWER_HEAD_MAX (64 * 1024) /* bytes of an answer's head */
#define ANSWER_BODY_MAX (64 * 1024 * 1024) /* bytes of an answer's body */
#define CONNECT_NS (500 * NSEC_PER_MSEC) /* longest opening of a connection */
#define STRAY_MAX 3 /* answers to other calls that are skipped */
/*
 * A call that may not repeat takes a connection that was used this recently, or
 * a new one: a connection that the server has forgotten loses what is sent.
 */
#define FRESH_NS (1 * NSEC_PER_SEC)
#define IDLE_NS (8 * NSEC_PER_SEC) /* an idle connection is closed after */
#define SILENT_MS 1000 /* unacknowledged bytes end a connection after */

static struct backend_conn *take_idle(struct node *n, bool fresh_only);
static struct backend_conn *open_conn(struct node *n);
static int write_call(struct backend_conn *c, const struct job *j);
static int append_call_head(struct backend_conn *c, const struct job *j);
static void serve_conn(struct watch *w, uint32_t events);
static bool finish_opening(struct backend_conn *c);
static void send_call(struct backend_conn *c);
static void read_conn(struct backend_conn *c);
static void take_bytes(struct backend_conn *c, struct str in);
static bool is_stray(const struct backend_conn *c);
static void take_answer(struct backend_conn *c, bool more);
static void judge_answer(struct backend_conn *c, struct job *j);
static int copy_answer_head(struct backend_conn *c, struct str *out);
static void take_eof(struct backend_conn *c, bool reset);
static void fail_conn(struct backend_conn *c, enum attempt_end cause);
static int resend_call(struct node *n, struct job *j);
static void release_conn(struct backend_conn *c);
static void close_conn(struct backend_conn *c);
static void time_out_conn(struct timer *t);
static void unlink_conn(struct backend_conn **list, struct backend_conn *c);

/*
 * Sends a call, on an open connection if one fits. Returns ERR_UNAVAILABLE when
 * no connection can be opened now.
 */
int
run_at_backend(struct node *n, struct job *j)
{
	struct backend_conn *c = take_idle(n, !j->spec.repeatable);

	if (c == NULL)
		c = open_conn(n);
	if (c == NULL)
		return ERR_UNAVAILABLE;
	c->job = j;
	j->conn = c;
	if (write_call(c, j) != 0) {
		c->job = NULL;
		j->conn = NULL;
		close_conn(c);
		return ERR_MEMORY;
	}
	if (c->state == CONN_BUSY)
		send_call(c);
	return 0;
}

/*
 * Closes the connection of a call, which tells the backend server to stop.
 */
void
abort_at_backend(struct node *n, struct job *j)
{
	struct backend_conn *c = j->conn;

	(void)n;
	if (c == NULL)
		return;
	j->conn = NULL;
	c->job = NULL;
	close_conn(c);
}

static struct backend_conn *
take_idle(struct node *n, bool fresh_only)
{
	struct backend_conn *c = n->backend->idle;
	int64_t now = get_reactor_now(n->reactor);

	if (c == NULL || (fresh_only && now - c->idle_since > FRESH_NS))
		return NULL;
	unlink_conn(&n->backend->idle, c);
	cancel_timer(n->reactor, &c->timer);
	c->state = CONN_BUSY;
	c->reused = true;
	c->next = n->backend->busy;
	n->backend->busy = c;
	return c;
}

static struct backend_conn *
open_conn(struct node *n)
{
	struct backend *b = n->backend;
	struct backend_conn *c;
	unsigned int silent = SILENT_MS;
	int fd;

	if (b->conn_count >= n->cfg.connections && b->idle != NULL)
		close_conn(b->idle);
	if (b->conn_count >= n->cfg.connections ||
	    start_connect(b->address, &fd) != 0) {
		note_connect_failure(n);
		return NULL;
	}
	c = calloc(1, sizeof(*c));
	if (c == NULL ||
	    start_watch(n->reactor, &c->watch, fd, EPOLLOUT, serve_conn) != 0) {
		free(c);
		close(fd);
		return NULL;
	}
	(void)setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silent, sizeof(silent));
	count_metric(n->metrics.backend_connects_total, 1);
	c->node = n;
	c->state = CONN_OPENING;
	open_http_reader(&c->reader, false, ANSWER_HEAD_MAX, ANSWER_BODY_MAX);
	c->next = b->busy;
	b->busy = c;
	b->conn_count++;
	set_timer(n->reactor, &c->timer,
	    get_reactor_now(n->reactor) + CONNECT_NS, time_out_conn);
	return c;
}

/*
 * Writes the whole call into the connection's buffer.
 */
static int
write_call(struct backend_conn *c, const struct job *j)
{
	int rc;

	c->out.len = c->out_at = 0;
	c->started = 0;
	c->strays = 0;
	c->spoilt = false;
	reset_http_reader(&c->reader);
	c->reader.headless_body = is_http_name(j->spec.method, "HEAD");
	(void)copy_str(c->id, sizeof(c->id), j->spec.id);
	rc = append_call_head(c, j);
	if (rc == 0)
		rc = append_buf_str(&c->out, j->spec.body);
	return rc;
}

static int
append_call_head(struct backend_conn *c, const struct job *j)
{
	const struct call_names *names = &c->node->cfg.names;
	int64_t left = j->spec.deadline - get_reactor_now(c->node->reactor);
	const char *instance = c->node->backend->instance;
	struct buf *b = &c->out;
	int rc = append_buf_str(b, j->spec.method);

	if (rc == 0)
		rc = append_buf(b, " ", 1);
	if (rc == 0)
		rc = append_buf_str(b, j->spec.target);
	if (rc == 0)
		rc = append_buf_str(b, make_str(" HTTP/1.1\r\n"));
	if (rc == 0)
		rc = append_buf_str(b, j->spec.head);
	if (rc == 0 && names->deadline_ms != NULL)
		rc = append_buf_fmt(b, "%s: %lld\r\n", names->deadline_ms,
		    (long long)(left / NSEC_PER_MSEC));
	if (rc == 0 && names->expect_instance != NULL && instance[0] != '\0')
		rc = append_http_header(
		    b, names->expect_instance, make_str(instance));
	if (rc == 0 && names->caller_service != NULL &&
	    j->spec.caller_service.len > 0)
		rc = append_http_header(
		    b, names->caller_service, j->spec.caller_service);
	if (rc == 0 &&
	    (j->spec.body_len > 0 || is_http_name(j->spec.method, "POST") ||
		is_http_name(j->spec.method, "PUT") ||
		is_http_name(j->spec.method, "PATCH")))
		rc = append_buf_fmt(
		    b, "Content-Length: %zu\r\n", j->spec.body_len);
	return rc == 0 ? append_buf(b, "\r\n", 2) : rc;
}

static void
serve_conn(struct watch *w, uint32_t events)
{
	struct backend_conn *c =
	    (struct backend_conn *)((char *)w -
				    offsetof(struct backend_conn, watch));

	if (c->state == CONN_OPENING && !finish_opening(c))
		return;
	if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
		read_conn(c);
		return;
	}
	if ((events & EPOLLOUT) != 0)
		send_call(c);
}

static bool
finish_opening(struct backend_conn *c)
{
	struct node *n = c->node;
	socklen_t len = sizeof(int);
	int error = 0;

	if (getsockopt(c->watch.fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0 ||
	    error != 0) {
		note_connect_failure(n);
		fail_conn(c, ATTEMPT_NOT_CONNECTED);
		return false;
	}
	cancel_timer(n->reactor, &c->timer);
	n->backend->connect_failures = 0;
	c->state = CONN_BUSY;
	return true;
}

/*
 * Writes the call on. From its first byte on it may be running.
 */
static void
send_call(struct backend_conn *c)
{
	struct reactor *r = c->node->reactor;

	if (c->job != NULL)
		c->job->sent = true;
	if (c->started == 0)
		c->started = get_reactor_now(r);
	while (c->out_at < c->out.len) {
		ssize_t n = send(c->watch.fd, c->out.data + c->out_at,
		    c->out.len - c->out_at, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
			change_watch(r, &c->watch, EPOLLIN | EPOLLOUT);
			return;
		}
		if (n < 0) {
			/* An early answer may still be there to be read. */
			c->out_at = c->out.len;
			c->spoilt = true;
			break;
		}
		c->out_at += (size_t)n;
	}
	change_watch(r, &c->watch, EPOLLIN);
}

static void
read_conn(struct backend_conn *c)
{
	struct reactor *r = c->node->reactor;
	char *bytes = take_scratch(r);
	ssize_t n;

	if (bytes == NULL) {
		write_log(LOG_LEVEL_ERR, "out of memory for an answer");
		fail_conn(c, ATTEMPT_BROKEN);
		return;
	}
	n = recv(c->watch.fd, bytes, REACTOR_SCRATCH_BYTES, 0);
	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
		take_eof(c, n < 0);
	else if (n > 0 && c->state == CONN_IDLE)
		close_conn(c); /* bytes that belong to no call */
	else if (n > 0)
		take_bytes(c, make_str_n(bytes, (size_t)n));
	give_scratch(r);
}

static void
take_bytes(struct backend_conn *c, struct str in)
{
	for (;;) {
		enum http_event e = read_http(&c->reader, &in);

		if (e == READ_HEAD)
			continue;
		if (e == READ_MORE)
			return;
		if (e != READ_END) {
			fail_conn(c, ATTEMPT_BROKEN);
			return;
		}
		if (c->reader.head.status < 200 || is_stray(c)) {
			if (c->reader.head.status >= 200 &&
			    ++c->strays > STRAY_MAX) {
				fail_conn(c, ATTEMPT_BROKEN);
				return;
			}
			c->spoilt = c->spoilt || c->reader.head.status >= 200;
			reset_http_reader(&c->reader);
			continue;
		}
		take_answer(c, in.len > 0);
		return;
	}
}

/*
 * Says whether the answer belongs to an earlier call on the connection.
 */
static bool
is_stray(const struct backend_conn *c)
{
	const char *name = c->node->cfg.names.call_id;
	struct str id;

	if (name == NULL || c->id[0] == '\0')
		return false;
	id = find_http_header(&c->reader.head, name);
	return id.data != NULL && !is_str_equal(id, make_str(c->id));
}

/*
 * A whole answer is here; more says that bytes follow it, which belong to no
 * call.
 */
static void
take_answer(struct backend_conn *c, bool more)
{
	struct job *j = c->job;

	if (more || !c->reader.head.keep_alive || c->out_at < c->out.len)
		c->spoilt = true;
	c->job = NULL;
	if (j != NULL) {
		j->conn = NULL;
		judge_answer(c, j);
	}
	release_conn(c);
}

/*
 * Only an answer that is certainly the backend server's, to this call and
 * whole, is passed on.
 */
static void
judge_answer(struct backend_conn *c, struct job *j)
{
	const struct call_names *names = &c->node->cfg.names;
	const struct http_head *h = &c->reader.head;
	struct job_answer a = {.status = h->status,
	    .body = view_buf(&c->reader.body),
	    .service_ns = get_reactor_now(c->node->reactor) - c->started};
	struct str id = names->call_id != NULL ?
			    find_http_header(h, names->call_id) :
			    make_str("");

	a.sealed = names->seal == NULL ||
		   find_http_header(h, names->seal).data != NULL;
	if (names->not_executed != NULL &&
	    find_http_header(h, names->not_executed).data != NULL) {
		reject_job(j);
		return;
	}
	if (h->status == 421 && !a.sealed) {
		reject_job(j);
		return;
	}
	if (!a.sealed || (c->id[0] != '\0' && id.data == NULL) ||
	    (h->status < 300 &&
		find_http_header(h, "content-encoding").data != NULL) ||
	    copy_answer_head(c, &a.head) != 0) {
		c->spoilt = true;
		fail_job(j, ATTEMPT_BROKEN, false);
		return;
	}
	finish_job(j, &a);
}

static int
copy_answer_head(struct backend_conn *c, struct str *out)
{
	const struct http_head *h = &c->reader.head;
	int rc = 0;

	c->head.len = 0;
	for (size_t i = 0; i < h->header_count && rc == 0; i++) {
		if (is_http_hop_header(h, h->headers[i].name) ||
		    is_http_name(h->headers[i].name, "content-length"))
			continue;
		rc = append_buf_str(&c->head, h->headers[i].name);
		if (rc == 0)
			rc = append_buf(&c->head, ": ", 2);
		if (rc == 0)
			rc = append_buf_str(&c->head, h->headers[i].value);
		if (rc == 0)
			rc = append_buf(&c->head, "\r\n", 2);
	}
	*out = view_buf(&c->head);
	return rc;
}

/*
 * The server closed. That may be the end of an answer without a length, but a
 * reset never is.
 */
static void
take_eof(struct backend_conn *c, bool reset)
{
	if (c->state == CONN_IDLE) {
		close_conn(c);
		return;
	}
	c->spoilt = true;
	if (!reset && end_http(&c->reader) == READ_END && !is_stray(c))
		take_answer(c, false);
	else
		fail_conn(c, ATTEMPT_BROKEN);
}

/*
 * Ends a connection without an answer.
 */
static void
fail_conn(struct backend_conn *c, enum attempt_end cause)
{
	struct node *n = c->node;
	struct job *j = c->job;
	bool not_sent = c->state == CONN_OPENING;
	bool forgotten =
	    c->reused && c->strays == 0 && !is_http_reading(&c->reader);

	c->job = NULL;
	close_conn(c);
	if (j == NULL)
		return;
	j->conn = NULL;
	if (forgotten && j->spec.repeatable && !j->resent &&
	    resend_call(n, j) == 0)
		return;
	fail_job(j, cause, not_sent);
}

/*
 * The server had forgotten an idle connection: the call goes out once more, on
 * a new one.
 */
static int
resend_call(struct node *n, struct job *j)
{
	struct backend_conn *c = open_conn(n);

	j->resent = true;
	if (c == NULL)
		return ERR_UNAVAILABLE;
	c->job = j;
	j->conn = c;
	if (write_call(c, j) == 0)
		return 0;
	c->job = NULL;
	j->conn = NULL;
	close_conn(c);
	return ERR_MEMORY;
}

/*
 * Keeps a connection for the next call, or closes one that must not be reused.
 */
static void
release_conn(struct backend_conn *c)
{
	struct node *n = c->node;
	int64_t now = get_reactor_now(n->reactor);

	if (c->spoilt || n->backend->state != REPORT_READY) {
		close_conn(c);
		return;
	}
	unlink_conn(&n->backend->busy, c);
	c->state = CONN_IDLE;
	c->idle_since = now;
	c->next = n->backend->idle;
	n->backend->idle = c;
	change_watch(n->reactor, &c->watch, EPOLLIN);
	set_timer(n->reactor, &c->timer, now + IDLE_NS, time_out_conn);
}

void
close_conns(struct backend_conn *list)
{
	struct backend_conn *next;

	for (; list != NULL; list = next) {
		next = list->next;
		close_conn(list);
	}
}

static void
close_conn(struct backend_conn *c)
{
	struct backend *b = c->node->backend;

	unlink_conn(c->state == CONN_IDLE ? &b->idle : &b->busy, c);
	b->conn_count--;
	stop_watch(c->node->reactor, &c->watch);
	cancel_timer(c->node->reactor, &c->timer);
	close(c->watch.fd);
	close_http_reader(&c->reader);
	unload_buf(&c->out);
	unload_buf(&c->head);
	if (c->job != NULL)
		c->job->conn = NULL;
	free(c);
}

static void
time_out_conn(struct timer *t)
{
	struct backend_conn *c =
	    (struct backend_conn *)((char *)t -
				    offsetof(struct backend_conn, timer));

	if (c->state == CONN_OPENING) {
		note_connect_failure(c->node);
		fail_conn(c, ATTEMPT_NOT_CONNECTED);
	} else {
		close_conn(c);
	}
}

static void
unlink_conn(struct backend_conn **list, struct backend_conn *c)
{
	while (*list != c)
		list = &(*list)->next;
	*list = c->next;
}
