/*
 * Connections to the backend server, each of which carries one call at a time.
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

#define ANSWER_HEAD_MAX \
	(64 * 1024) /* bytes of an answer's head without the id */
#define ANSWER_BODY_MAX (64 * 1024 * 1024) /* bytes of an answer's body */
/* A longer frame would close the link, with all calls on it. */
_Static_assert(
    ANSWER_HEAD_MAX + HOP_HEAD_MAX + ANSWER_BODY_MAX < HOP_PAYLOAD_MAX,
    "every answer fits into a frame");
#define STATUS_SWITCHING_PROTOCOLS 101
#define SHORT_BODY_BYTES (64 * 1024) /* of a call, sent with its head */
#define IDLE_OUT_BYTES (16 * 1024) /* kept by an idle connection */
#define CONNECT_NS (500 * NSEC_PER_MSEC) /* connect time-out */
#define UNEXPECTED_ANSWERS_MAX 3 /* discarded while a call is running */
#define INTERIM_ANSWERS_MAX 16 /* discarded while a call is running */
/*
 * A server in trouble may send bytes until the connection is closed. Above this
 * sum of all answers being read, one of at least ANSWER_LONG_BYTES is given up.
 */
#define ANSWERS_MEMORY_MAX (32 * 1024 * 1024) /* bytes of bodies */
#define ANSWER_LONG_BYTES (1024 * 1024)
/*
 * A call that may not repeat uses a connection that was used this recently, or
 * a new one. If the server has closed an idle connection unnoticed, a call sent
 * on it is lost and its outcome unknown.
 */
#define RECENT_USE_NS (1 * NSEC_PER_SEC)
#define CONN_IDLE_MAX_NS (8 * NSEC_PER_SEC)
#define UNACKED_MAX_MS 1000 /* TCP_USER_TIMEOUT of a connection */

static bool is_unnamed_call(const struct node *n, const struct job *j);
static struct backend_conn *reuse_idle_conn(struct node *n, bool recent_only);
static struct backend_conn *open_conn(struct node *n);
static int encode_call(struct backend_conn *c, const struct job *j);
static int encode_call_head(struct backend_conn *c, const struct job *j);
static int encode_call_body(struct backend_conn *c, const struct job *j);
static bool has_unsent_call(const struct backend_conn *c);
static void serve_conn(struct watch *w, uint32_t events);
static bool finish_opening(struct backend_conn *c);
static void send_call(struct backend_conn *c);
static void read_conn(struct backend_conn *c);
static void parse_answers(struct backend_conn *c, struct str in);
static bool discard_answer(struct backend_conn *c);
static bool exceeds_memory(const struct backend_conn *c);
static bool is_unexpected_answer(const struct backend_conn *c);
static void complete_answer(struct backend_conn *c, bool surplus);
static void check_answer(struct backend_conn *c, struct job *j);
static int copy_answer_head(struct backend_conn *c, struct str *out);
static void handle_eof(struct backend_conn *c, bool reset);
static void fail_conn(struct backend_conn *c, enum attempt_end cause);
static int resend_call(struct node *n, struct job *j);
static void release_conn(struct backend_conn *c);
static void close_conn(struct backend_conn *c);
static void time_out_conn(struct timer *t);
static void unlink_conn(struct backend_conn **list, struct backend_conn *c);

/*
 * Sends a call on an idle connection if one is suitable, else on a new one. A
 * call without an id gets a connection of its own, since nothing tells its
 * answer from one to an earlier call. Returns ERR_UNAVAILABLE when no connection
 * can be opened now, ERR_MEMORY.
 */
int
start_backend_call(struct node *n, struct job *j)
{
	struct backend_conn *c = NULL;

	if (!is_unnamed_call(n, j))
		c = reuse_idle_conn(n, !j->spec.repeatable);
	if (c == NULL)
		c = open_conn(n);
	if (c == NULL)
		return ERR_UNAVAILABLE;
	c->job = j;
	j->conn = c;
	if (encode_call(c, j) != 0) {
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
 * Closes the connection of a call, so that the backend server can stop working
 * on it.
 */
void
abort_backend_call(struct node *n, struct job *j)
{
	struct backend_conn *c = j->conn;

	(void)n;
	if (c == NULL)
		return;
	j->conn = NULL;
	c->job = NULL;
	close_conn(c);
}

/*
 * Says whether the caller sent no id with the call, or an empty one, although
 * calls have ids here.
 */
static bool
is_unnamed_call(const struct node *n, const struct job *j)
{
	return n->cfg.names.call_id != NULL && j->spec.id.len == 0;
}

/*
 * Returns the most recently used idle connection; NULL when there is none, or
 * when recent_only and it was not used within RECENT_USE_NS.
 */
static struct backend_conn *
reuse_idle_conn(struct node *n, bool recent_only)
{
	struct backend_conn *c = n->backend->idle;
	int64_t now = get_reactor_now(n->reactor);

	if (c == NULL || (recent_only && now - c->idle_since > RECENT_USE_NS))
		return NULL;
	unlink_conn(&n->backend->idle, c);
	cancel_timer(n->reactor, &c->timer);
	c->state = CONN_BUSY;
	c->reused = true;
	c->next = n->backend->busy;
	n->backend->busy = c;
	return c;
}

/*
 * Starts to connect; NULL when out of memory or the server refuses. At the
 * limit of connections an idle one is closed for it.
 */
static struct backend_conn *
open_conn(struct node *n)
{
	struct backend *b = n->backend;
	struct backend_conn *c;
	unsigned int unacked_ms = UNACKED_MAX_MS;
	int fd;

	if (b->conn_count >= n->cfg.connections && b->idle != NULL)
		close_conn(b->idle);
	if (b->conn_count >= n->cfg.connections ||
	    start_connect(b->address, &fd) != 0) {
		record_backend_connect_failure(n);
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
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms, sizeof(unacked_ms));
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
 * Writes the complete call into the connection's buffer and resets the state of
 * the previous call.
 */
static int
encode_call(struct backend_conn *c, const struct job *j)
{
	int rc;

	c->out.len = c->out_sent = 0;
	c->sent_at = 0;
	c->unexpected_answers = c->interim_answers = 0;
	c->reset = false;
	c->close_after_use = is_unnamed_call(c->node, j);
	c->run = c->node->backend->run;
	reset_http_reader(&c->reader);
	c->reader.is_head_response = is_http_name_equal(j->spec.method, "HEAD");
	c->reader.head_max = ANSWER_HEAD_MAX + j->spec.id.len;
	c->id.len = 0;
	rc = append_buf_str(&c->id, j->spec.id);
	if (rc == 0)
		rc = encode_call_head(c, j);
	if (rc == 0)
		rc = encode_call_body(c, j);
	return rc;
}

/*
 * A short body leaves with the head. A long one is sent from the job's memory,
 * so that it is not held twice.
 */
static int
encode_call_body(struct backend_conn *c, const struct job *j)
{
	c->body = make_str_n(NULL, 0);
	if (j->spec.body.len <= SHORT_BODY_BYTES)
		return append_buf_str(&c->out, j->spec.body);
	c->body = j->spec.body;
	return 0;
}

/*
 * Copies what is left of a call's body, whose owner frees it. Returns
 * ERR_MEMORY.
 */
int
keep_call_body(struct job *j)
{
	struct backend_conn *c = j->conn;
	int rc = c != NULL ? append_buf_str(&c->out, c->body) : 0;

	if (rc == 0 && c != NULL)
		c->body = make_str_n(NULL, 0);
	return rc;
}

static bool
has_unsent_call(const struct backend_conn *c)
{
	return c->out_sent < c->out.len || c->body.len > 0;
}

/*
 * Appends the request line and the headers. The deadline header has the time
 * that is left now.
 */
static int
encode_call_head(struct backend_conn *c, const struct job *j)
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
	if (rc == 0 && (j->spec.body_len > 0 ||
			   is_http_name_equal(j->spec.method, "POST") ||
			   is_http_name_equal(j->spec.method, "PUT") ||
			   is_http_name_equal(j->spec.method, "PATCH")))
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

/*
 * Ends the connect phase. Returns false if the connect failed; c is freed then.
 */
static bool
finish_opening(struct backend_conn *c)
{
	struct node *n = c->node;
	socklen_t len = sizeof(int);
	int error = 0;

	if (getsockopt(c->watch.fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0 ||
	    error != 0) {
		record_backend_connect_failure(n);
		fail_conn(c, ATTEMPT_NOT_CONNECTED);
		return false;
	}
	cancel_timer(n->reactor, &c->timer);
	n->backend->connect_failures = 0;
	c->state = CONN_BUSY;
	return true;
}

/*
 * Writes pending bytes of the call. Once the first byte is sent it may be
 * running.
 */
static void
send_call(struct backend_conn *c)
{
	struct reactor *r = c->node->reactor;

	if (c->job != NULL)
		c->job->sent = true;
	if (c->sent_at == 0)
		c->sent_at = get_reactor_now(r);
	while (has_unsent_call(c)) {
		bool head = c->out_sent < c->out.len;
		ssize_t n = send(c->watch.fd,
		    head ? c->out.data + c->out_sent : c->body.data,
		    head ? c->out.len - c->out_sent : c->body.len,
		    MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
			change_watch(r, &c->watch, EPOLLIN | EPOLLOUT);
			return;
		}
		if (n < 0) {
			/*
			 * The server may have answered before it closed. The
			 * error is reported once only: after it, recv() returns
			 * the rest of the answer and then 0, as after an
			 * orderly close. EPIPE says that the close came first.
			 */
			c->reset = errno != EPIPE;
			c->out_sent = c->out.len;
			c->body = make_str_n(NULL, 0);
			c->close_after_use = true;
			break;
		}
		if (head) {
			c->out_sent += (size_t)n;
			continue;
		}
		c->body.data += n;
		c->body.len -= (size_t)n;
	}
	change_watch(r, &c->watch, EPOLLIN);
}

/*
 * Reads once from the connection; c may have been freed afterwards.
 */
static void
read_conn(struct backend_conn *c)
{
	struct reactor *r = c->node->reactor;
	char *bytes = acquire_scratch(r);
	ssize_t n;

	if (bytes == NULL) {
		write_log(LOG_LEVEL_ERR, "out of memory for an answer");
		fail_conn(c, ATTEMPT_BROKEN);
		return;
	}
	n = recv(c->watch.fd, bytes, REACTOR_SCRATCH_BYTES, 0);
	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
		handle_eof(c, n < 0 || c->reset);
	else if (n > 0 && c->state == CONN_IDLE)
		close_conn(c); /* unexpected bytes without a call */
	else if (n > 0)
		parse_answers(c, make_str_n(bytes, (size_t)n));
	release_scratch(r);
}

/*
 * Parses answers. Discards interim answers (status below 200) and answers to
 * earlier calls until the one to the current call is complete.
 */
static void
parse_answers(struct backend_conn *c, struct str in)
{
	for (;;) {
		enum http_event e = read_http(&c->reader, &in);

		if (e == READ_HEAD)
			continue;
		if (e == READ_MORE && !exceeds_memory(c))
			return;
		if (e != READ_END) {
			write_log(LOG_LEVEL_NOTICE,
			    "an answer of the backend server is given up after "
			    "%zu bytes of its body: not valid, or too long",
			    c->reader.body.len);
			fail_conn(c, ATTEMPT_BROKEN);
			return;
		}
		if (c->reader.head.status < 200 || is_unexpected_answer(c)) {
			if (!discard_answer(c)) {
				fail_conn(c, ATTEMPT_BROKEN);
				return;
			}
			continue;
		}
		complete_answer(c, in.len > 0);
		return;
	}
}

/*
 * Discards an interim answer, or one to an earlier call. False when there are
 * too many of them, or after a change of the protocol: what follows it is not
 * HTTP, and no call asks for one.
 */
static bool
discard_answer(struct backend_conn *c)
{
	if (c->reader.head.status < 200) {
		if (++c->interim_answers > INTERIM_ANSWERS_MAX ||
		    c->reader.head.status == STATUS_SWITCHING_PROTOCOLS)
			return false;
	} else {
		if (++c->unexpected_answers > UNEXPECTED_ANSWERS_MAX)
			return false;
		c->close_after_use = true;
	}
	reset_http_reader(&c->reader);
	return true;
}

/*
 * Says whether the answer being read is long and all of them together take more
 * memory than allowed.
 */
static bool
exceeds_memory(const struct backend_conn *c)
{
	size_t sum = 0;

	if (c->reader.body.len < ANSWER_LONG_BYTES)
		return false;
	for (const struct backend_conn *b = c->node->backend->busy; b != NULL;
	     b = b->next)
		sum += b->reader.body.len;
	return sum > (c->node->budget.limit != 0 ? c->node->budget.answers :
						   ANSWERS_MEMORY_MAX) ||
	       !has_memory(c->node, 0, c->node->budget.urgent);
}

/*
 * Says whether the answer belongs to an earlier call on the connection.
 */
static bool
is_unexpected_answer(const struct backend_conn *c)
{
	const char *name = c->node->cfg.names.call_id;
	struct str id;

	if (name == NULL || c->id.len == 0)
		return false;
	id = find_http_header(&c->reader.head, name);
	return id.data != NULL && !is_str_equal(id, view_buf(&c->id));
}

/*
 * Handles a complete answer. surplus: bytes follow that belong to no call, so
 * that the connection is not reused.
 */
static void
complete_answer(struct backend_conn *c, bool surplus)
{
	struct job *j = c->job;

	if (surplus || !c->reader.head.keep_alive || has_unsent_call(c))
		c->close_after_use = true;
	c->body = make_str_n(NULL, 0); /* its owner frees it */
	c->job = NULL;
	if (j != NULL) {
		j->conn = NULL;
		check_answer(c, j);
	}
	release_conn(c);
}

/*
 * Passes a complete answer on if it is certainly the backend server's answer to
 * this call: with a signature that is passed on, with the call id and, below
 * status 300, without Content-Encoding; else fails the job. A failure marked as
 * not executed, or a 421 without a signature, rejects the call. A success with
 * that mark contradicts itself, and its call may have run.
 */
static void
check_answer(struct backend_conn *c, struct job *j)
{
	const struct call_names *names = &c->node->cfg.names;
	const struct http_head *h = &c->reader.head;
	struct job_answer a = {.status = h->status,
	    .body = view_buf(&c->reader.body),
	    .service_ns = get_reactor_now(c->node->reactor) - c->sent_at};
	struct str id = names->call_id != NULL ?
			    find_http_header(h, names->call_id) :
			    make_str("");
	bool marked, rejected;

	a.sealed = names->seal == NULL ||
		   (find_http_header(h, names->seal).data != NULL &&
		       !is_hop_by_hop_header(h, make_str(names->seal)));
	marked = names->not_executed != NULL &&
		 find_http_header(h, names->not_executed).data != NULL;
	rejected = marked && h->status >= 400;
	if (c->run == c->node->backend->run && h->status != 421 &&
	    (a.sealed || rejected))
		apply_answer_notices(c->node, h, a.sealed);
	if (rejected) {
		reject_job(j);
		return;
	}
	if (h->status == 421 && !a.sealed) {
		reject_job(j);
		return;
	}
	if (!a.sealed || marked || (c->id.len > 0 && id.data == NULL) ||
	    (h->status < 300 &&
		find_http_header(h, "content-encoding").data != NULL) ||
	    copy_answer_head(c, &a.head) != 0) {
		c->close_after_use = true;
		fail_job(j, ATTEMPT_BROKEN, false);
		return;
	}
	finish_job(j, &a);
}

/*
 * Collects the header lines to pass on in c->head, without hop-by-hop headers
 * and Content-Length; *out refers to them. Returns ERR_MEMORY.
 */
static int
copy_answer_head(struct backend_conn *c, struct str *out)
{
	const struct http_head *h = &c->reader.head;
	int rc = 0;

	c->head.len = 0;
	for (size_t i = 0; i < h->header_count && rc == 0; i++) {
		if (is_hop_by_hop_header(h, h->headers[i].name) ||
		    is_http_name_equal(h->headers[i].name, "content-length"))
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
 * Handles a closed connection. A close ends an answer without Content-Length; a
 * reset never does.
 */
static void
handle_eof(struct backend_conn *c, bool reset)
{
	if (c->state == CONN_IDLE) {
		close_conn(c);
		return;
	}
	c->close_after_use = true;
	if (!reset && end_http(&c->reader) == READ_END &&
	    !is_unexpected_answer(c))
		complete_answer(c, false);
	else
		fail_conn(c, ATTEMPT_BROKEN);
}

/*
 * Closes a connection without an answer. If the server had probably closed it
 * while it was idle, a call that may repeat is sent again on a new connection;
 * otherwise the job fails.
 */
static void
fail_conn(struct backend_conn *c, enum attempt_end cause)
{
	struct node *n = c->node;
	struct job *j = c->job;
	bool not_sent = c->state == CONN_OPENING;
	bool idle_closed = c->reused && c->unexpected_answers == 0 &&
			   c->interim_answers == 0 &&
			   !is_http_reading(&c->reader);

	c->job = NULL;
	close_conn(c);
	if (j == NULL)
		return;
	j->conn = NULL;
	if (idle_closed && j->spec.repeatable && !j->resent &&
	    resend_call(n, j) == 0)
		return;
	fail_job(j, cause, not_sent);
}

/*
 * Sends a call once more, on a new connection. The server may have run it and
 * lost its answer, so this is a retry and draws on the same budget. Returns
 * ERR_LIMIT without a token, ERR_UNAVAILABLE, ERR_MEMORY.
 */
static int
resend_call(struct node *n, struct job *j)
{
	struct service *s = find_node_service(n, n->cfg.service);
	struct backend_conn *c;

	if (s == NULL || !spend_retry_token(n, s))
		return ERR_LIMIT;
	c = open_conn(n);
	record_resent_call(n->admission, get_reactor_now(n->reactor));
	j->resent = true;
	if (c == NULL)
		return ERR_UNAVAILABLE;
	c->job = j;
	j->conn = c;
	if (encode_call(c, j) == 0)
		return 0;
	c->job = NULL;
	j->conn = NULL;
	close_conn(c);
	return ERR_MEMORY;
}

/*
 * Makes a connection idle, or closes one that must not be reused.
 */
static void
release_conn(struct backend_conn *c)
{
	struct node *n = c->node;
	int64_t now = get_reactor_now(n->reactor);

	if (c->close_after_use || n->backend->state != REPORT_READY) {
		close_conn(c);
		return;
	}
	unlink_conn(&n->backend->busy, c);
	c->out.len = c->out_sent = c->id.len = 0;
	trim_buf(&c->out, IDLE_OUT_BYTES);
	trim_buf(&c->id, IDLE_OUT_BYTES);
	reset_http_reader(&c->reader);
	c->state = CONN_IDLE;
	c->idle_since = now;
	c->next = n->backend->idle;
	n->backend->idle = c;
	change_watch(n->reactor, &c->watch, EPOLLIN);
	set_timer(n->reactor, &c->timer, now + CONN_IDLE_MAX_NS, time_out_conn);
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

/*
 * Closes and frees a connection; a job on it gets no event.
 */
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
	unload_buf(&c->id);
	unload_buf(&c->out);
	unload_buf(&c->head);
	if (c->job != NULL)
		c->job->conn = NULL;
	free(c);
}

/*
 * Time-out of the connect, which fails the call, or of an idle connection.
 */
static void
time_out_conn(struct timer *t)
{
	struct backend_conn *c =
	    (struct backend_conn *)((char *)t -
				    offsetof(struct backend_conn, timer));

	if (c->state == CONN_OPENING) {
		record_backend_connect_failure(c->node);
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
