/*
 * The backend server beside the node: its reports, and the connections on which
 * calls run, one at a time on each.
 */
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "log.h"
#include "node_state.h"

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
/* A report that its instance sent later than this does not count as alive. */
#define CONNECT_FAILURES_MAX 3 /* in a row: the server counts as down */
#define DOWN_NS (1 * NSEC_PER_SEC) /* then it is tried again */

enum conn_state {
	CONN_OPENING,
	CONN_BUSY,
	CONN_IDLE,
};

/* A connection to the backend server. */
struct backend_conn {
	struct node *node;
	struct backend_conn *next; /* in the list of idle or busy ones */
	enum conn_state state;
	struct watch watch;
	struct timer timer; /* opening, or idle for too long */
	struct http_reader reader;
	struct job *job; /* of the call that runs */
	char id[CALL_ID_BYTES]; /* of the call */
	struct buf out;
	size_t out_at;
	size_t sent_body_at; /* bytes of out that are head */
	bool reused; /* it carried calls before this one */
	bool spoilt; /* closes after the present call */
	int strays;
	int64_t idle_since;
	int64_t started; /* mono ns; the call was sent; 0: not yet */
	struct buf head; /* header lines of the answer */
};

/* What is known of the backend server. */
struct backend {
	struct node *node;
	bool reported;
	char instance[NODE_ID_BYTES];
	char address[NODE_ADDRESS_BYTES];
	int64_t born_ms;
	uint64_t seq;
	enum report_state state;
	int slots;
	bool announced;
	enum wire_endpoint_state announced_state;
	struct backend_conn *idle; /* last used first */
	struct backend_conn *busy;
	int conn_count;
	int connect_failures; /* in a row */
	struct timer down_timer;
	bool down; /* it does not take connections */
};

static bool is_stale_report(
    const struct backend *b, const struct backend_report *r);
static void take_instance(struct node *n, const struct backend_report *r);
static void update_state(struct node *n);
static void announce(struct node *n);
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
static void close_conns(struct backend_conn *list);
static void close_conn(struct backend_conn *c);
static void time_out_conn(struct timer *t);
static void note_connect_failure(struct node *n);
static void end_down(struct timer *t);
static void unlink_conn(struct backend_conn **list, struct backend_conn *c);

int
open_backend(struct node *n)
{
	struct admission_config a = {.policy = ADMISSION_FLOORS,
	    .slots = 1,
	    .fixed_limit = true,
	    .link_rate = n->cfg.link_rate};
	int rc;

	n->state = HOP_STATE_DOWN;
	if (n->cfg.service == NULL || n->cfg.backend == NULL)
		return 0;
	n->backend = calloc(1, sizeof(*n->backend));
	if (n->backend == NULL)
		return ERR_MEMORY;
	rc = create_admission(&a, get_reactor_now(n->reactor), &n->admission);
	n->backend->node = n;
	(void)copy_str(n->backend->address, sizeof(n->backend->address),
	    make_str(n->cfg.backend));
	return rc;
}

void
close_backend(struct node *n)
{
	struct backend *b = n->backend;

	if (b == NULL)
		return;
	close_conns(b->idle);
	close_conns(b->busy);
	cancel_timer(n->reactor, &b->down_timer);
	free(b);
	n->backend = NULL;
}

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

/*
 * Takes up what the backend server says. Reports of an earlier run, and those
 * that were overtaken, have no effect.
 */
void
take_report(struct node *n, const struct backend_report *r)
{
	struct admission_changes changes = {0};
	struct backend *b = n->backend;

	if (b == NULL)
		return;
	if (is_stale_report(b, r)) {
		WRITE_EVENT(LOG_LEVEL_NOTICE, "report.stale",
		    LOG_TEXT("instance", r->id), LOG_INT("seq", r->seq),
		    LOG_INT("born_ms", r->born_ms),
		    LOG_TEXT("known_instance", b->instance),
		    LOG_INT("known_seq", b->seq),
		    LOG_INT("known_born_ms", b->born_ms));
		return;
	}
	if (!b->reported || strcmp(b->instance, r->id) != 0 ||
	    (r->born_ms != 0 && r->born_ms != b->born_ms))
		take_instance(n, r);
	b->seq = r->seq != 0 ? r->seq : b->seq;
	if (r->slots > 0 && r->slots != b->slots) {
		b->slots = r->slots;
		set_admission_slots(n->admission, r->slots,
		    get_reactor_now(n->reactor), &changes);
	}
	/* A server that leaves does not come back in the same run. */
	if (r->state > b->state)
		b->state = r->state;
	b->down = false;
	b->connect_failures = 0;
	update_state(n);
}

int
get_backend_slots(const struct node *n)
{
	return n->backend != NULL ? n->backend->slots : 0;
}

int
count_backend_connections(const struct node *n)
{
	return n->backend != NULL ? n->backend->conn_count : 0;
}

const char *
get_backend_instance(const struct node *n)
{
	return n->backend != NULL ? n->backend->instance : "";
}

static bool
is_stale_report(const struct backend *b, const struct backend_report *r)
{
	if (!b->reported)
		return false;
	if (r->born_ms != 0 && b->born_ms != 0 && r->born_ms != b->born_ms)
		return r->born_ms < b->born_ms;
	/* A server starts with a report that it is ready or leaves. */
	if (strcmp(b->instance, r->id) != 0)
		return r->state == REPORT_GONE;
	return r->seq != 0 && r->seq <= b->seq && r->state <= b->state;
}

/*
 * Another run of the backend server: what was known of the last one is void.
 */
static void
take_instance(struct node *n, const struct backend_report *r)
{
	struct backend *b = n->backend;

	WRITE_EVENT(LOG_LEVEL_NOTICE, "backend.started",
	    LOG_TEXT("instance", r->id), LOG_TEXT("before", b->instance),
	    LOG_INT("born_ms", r->born_ms), LOG_INT("slots", r->slots));
	close_conns(b->idle);
	for (struct backend_conn *c = b->busy; c != NULL; c = c->next)
		c->spoilt = true;
	b->reported = true;
	(void)copy_str(b->instance, sizeof(b->instance), make_str(r->id));
	if (r->address[0] != '\0')
		(void)copy_str(
		    b->address, sizeof(b->address), make_str(r->address));
	b->born_ms = r->born_ms;
	b->seq = 0;
	b->state = REPORT_READY;
	b->announced = false;
	n->service_ns = 0;
	n->failed_share = 0;
}

/*
 * Works out what this node serves, and tells the others when that changed.
 */
static void
update_state(struct node *n)
{
	struct backend *b = n->backend;
	enum hop_state state = HOP_STATE_READY;

	if (b->state != REPORT_READY)
		state = HOP_STATE_LEAVING;
	else if (!b->reported || b->down)
		state = HOP_STATE_DOWN;
	if (state != n->state) {
		WRITE_EVENT(LOG_LEVEL_NOTICE, "backend.state",
		    LOG_TEXT("instance", b->instance),
		    LOG_TEXT("state", state == HOP_STATE_READY	 ? "ready" :
				      state == HOP_STATE_LEAVING ? "leaving" :
								   "down"),
		    LOG_INT("seq", b->seq),
		    LOG_INT("connect_failures", b->connect_failures));
		n->state = state;
		if (state == HOP_STATE_LEAVING)
			limit_leaving(n);
		tell_load(n);
	}
	announce(n);
}

/*
 * Tells the control processes. A server that is down for a moment stays listed,
 * since entry nodes learn that from the links.
 */
static void
announce(struct node *n)
{
	struct backend *b = n->backend;
	enum wire_endpoint_state state = b->state == REPORT_READY ?
					     WIRE_ENDPOINT_READY :
					     WIRE_ENDPOINT_DRAINING;
	struct wire_endpoint self = {
	    .id = (char *)(uintptr_t)n->cfg.name,
	    .service = (char *)(uintptr_t)n->cfg.service,
	    .address = (char *)(uintptr_t)n->cfg.links_listen,
	    .zone = (char *)(uintptr_t)n->cfg.zone,
	    .instance = b->instance,
	    .backend = b->address,
	    .slots = b->slots,
	    .state = state,
	};

	if (!b->reported || (b->announced && b->announced_state == state))
		return;
	if (announce_endpoint(n->cfg.agent, &self) != 0) {
		write_log(LOG_LEVEL_WARNING,
		    "instance %s cannot be announced; it is tried again with "
		    "its next report",
		    b->instance);
		return;
	}
	b->announced = true;
	b->announced_state = state;
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

static void
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

/*
 * After several failures in a row the server counts as down for a while, and
 * entry nodes send their calls elsewhere.
 */
static void
note_connect_failure(struct node *n)
{
	struct backend *b = n->backend;

	if (++b->connect_failures < CONNECT_FAILURES_MAX)
		return;
	b->down = true;
	set_timer(n->reactor, &b->down_timer,
	    get_reactor_now(n->reactor) + DOWN_NS, end_down);
	update_state(n);
}

static void
end_down(struct timer *t)
{
	struct backend *b =
	    (struct backend *)((char *)t -
			       offsetof(struct backend, down_timer));
	struct node *n = b->node;

	b->down = false;
	b->connect_failures = CONNECT_FAILURES_MAX - 1;
	update_state(n);
}

static void
unlink_conn(struct backend_conn **list, struct backend_conn *c)
{
	while (*list != c)
		list = &(*list)->next;
	*list = c->next;
}
