/*
 * A small backend server for tests and measurements: a number of slots, seeded
 * service times, cold start, drain, load shedding, cancellation, deadlines,
 * configurable health reports, injected faults, and calls to further services
 * through its local node.
 *
 * libmicrohttpd parses requests in its own thread and suspends the connection
 * of a call; the loop thread runs the call and resumes the connection when the
 * answer is ready.
 */
#include <arpa/inet.h>
#include <math.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <jansson.h>

#include "log.h"
#include "standin.h"

#define STANDIN_THREADS 1
#define STANDIN_CONNECTIONS 4096
#define STANDIN_IDLE_S 60
#define COLD_START_FACTOR 5.0
#define DRAIN_TIMEOUT_MS 60000 /* wait for running calls on shutdown */

/* One call, from its headers to its answer. */
struct standin_call {
	struct loop_task task;
	struct loop_timer timer;
	struct loop_watch watch;
	struct MHD_Connection *conn;
	struct standin_call *next, **prev; /* list of active calls */
	char kind[STANDIN_NAME_BYTES];
	char key[STANDIN_KEY_BYTES];
	char call_id[STANDIN_KEY_BYTES];
	char chain_budget[16]; /* from the chained call; empty: absent */
	int64_t deadline; /* mono ns */
	int depth;
	int budget; /* X-Ggs-Retry-Budget; -1: absent */
	enum standin_fault fault;
	bool begun, watching, holds_slot, answered, close_conn;
	int status;
	const char *outcome;
	const char *reason;
	CURL *chain_easy; /* the next call of a chain */
	struct curl_slist *chain_headers;
	char next_outcome[16];
};

/* The load at a past time, for STANDIN_REPORT_LATE. */
struct load_sample {
	int64_t at; /* mono ns */
	int running;
};

static struct standin_options opts = {.slots = 20,
    .service_ms = 5,
    .shape = 1,
    .late_ms = 2000,
    .lag_ms = 5000,
    .answer_bytes = 64,
    .depth = 17,
    .seed = 1,
    .fault_pct = 100,
    .fault_left = -1};
static pthread_mutex_t opts_lock = PTHREAD_MUTEX_INITIALIZER;
static struct clock_source clk;
static struct loop *loop;
static struct rng rng;
static int64_t started; /* mono ns */
static struct standin_call *active_calls;
static int running; /* calls that occupy a slot */
static volatile sig_atomic_t draining; /* 1: POST /drain, 2: shutdown */
static struct load_sample load_samples[1024]; /* ring */
static unsigned int load_sample_count;

static enum MHD_Result handle_request(void *cls, struct MHD_Connection *conn,
    const char *url, const char *method, const char *version, const char *data,
    size_t *size, void **state);
static void end_request(void *cls, struct MHD_Connection *conn, void **state,
    enum MHD_RequestTerminationCode code);
static void parse_call_headers(struct standin_call *c, const char *url);
static enum MHD_Result handle_control(
    struct MHD_Connection *conn, const char *url, const char *method);
static enum MHD_Result apply_option(
    void *cls, enum MHD_ValueKind kind, const char *name, const char *value);
static void render_health(bool load, struct buf *out, int *status);
static enum MHD_Result queue_answer(struct standin_call *c);
static struct MHD_Response *make_truncated_response(size_t len);
static ssize_t read_truncated(void *cls, uint64_t pos, char *buf, size_t max);
static enum MHD_Result send_text(
    struct MHD_Connection *conn, int status, struct buf *out);
static void begin_call(struct loop_task *t);
static enum standin_fault draw_fault(void);
static void run_call(struct standin_call *c);
static int64_t draw_service_ns(void);
static void finish_run(struct loop_timer *t);
static bool start_chain(struct standin_call *c);
static void end_chain(CURL *easy, CURLcode code);
static size_t parse_header(char *data, size_t size, size_t n, void *arg);
static size_t discard_body(char *data, size_t size, size_t n, void *arg);
static void handle_disconnect(struct loop_watch *c, uint32_t events);
static void complete_call(struct standin_call *c, int status,
    const char *outcome, const char *reason);
static void release_call(struct standin_call *c);
static bool skip_deferred(void *arg);
static int bind_port(const char *address);
static void handle_signal(int sig);
static void wait_for_end(void);
static int64_t now_ns(void);

int
main(int argc, char **argv)
{
	struct loop_hooks hooks = {end_chain, skip_deferred, NULL};
	struct MHD_Daemon *d;
	int fd;

	read_standin_flags(argc, argv, &opts);
	clk = get_real_clock();
	started = now_ns();
	seed_rng(&rng, opts.seed);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, handle_signal);
	signal(SIGINT, handle_signal);
	set_log_name("standin");
	curl_global_init(CURL_GLOBAL_NOTHING);
	fd = bind_port(opts.listen);
	if (fd < 0 || open_loop(clk, &hooks, &loop) != 0 ||
	    start_loop(loop) != 0) {
		write_log(LOG_LEVEL_ERR,
		    "cannot listen on %s: give a free IP:port with --listen",
		    opts.listen);
		return EXIT_FAILURE;
	}
	d = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD |
				 MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
	    0, NULL, NULL, handle_request, NULL, MHD_OPTION_LISTEN_SOCKET, fd,
	    MHD_OPTION_CONNECTION_LIMIT, (unsigned int)STANDIN_CONNECTIONS,
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)STANDIN_IDLE_S,
	    MHD_OPTION_NOTIFY_COMPLETED, end_request, NULL, MHD_OPTION_END);
	if (d == NULL)
		return EXIT_FAILURE;
	wait_for_end();
	_exit(EXIT_SUCCESS); /* connections may still be suspended */
}

/*
 * Handles an HTTP request. A call is passed to the loop with its connection
 * suspended; when the loop has completed it, this function is called again to
 * send the answer.
 */
static enum MHD_Result
handle_request(void *cls, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **state)
{
	struct standin_call *c = *state;

	(void)cls;
	(void)version;
	(void)data;
	if (c == NULL) {
		c = calloc(1, sizeof(*c));
		if (c == NULL)
			return MHD_NO;
		c->conn = conn;
		parse_call_headers(c, url);
		*state = c;
		return MHD_YES;
	}
	if (*size > 0) {
		*size = 0;
		return MHD_YES;
	}
	if (c->answered)
		return queue_answer(c);
	if (c->kind[0] == '\0')
		return handle_control(conn, url, method);
	c->task.run = begin_call;
	MHD_suspend_connection(conn);
	post_loop_task(loop, &c->task);
	return MHD_YES;
}

/*
 * Frees the call of a request after its answer was sent or its connection
 * closed.
 */
static void
end_request(void *cls, struct MHD_Connection *conn, void **state,
    enum MHD_RequestTerminationCode code)
{
	(void)cls;
	(void)conn;
	(void)code;
	free(*state);
	*state = NULL;
}

/*
 * Parses the headers of a call. Without X-Ggs-Kind the kind is taken from a
 * path of the form /call/KIND. Requests for the stand-in itself get no kind.
 */
static void
parse_call_headers(struct standin_call *c, const char *url)
{
	static const char *const names[] = {"X-Ggs-Kind", "Idempotency-Key",
	    "X-Ggs-Call-Id", "X-Ggs-Deadline-Ms", "X-Ggs-Depth",
	    "X-Ggs-Retry-Budget"};
	const char *v[6];
	int64_t n;

	for (int i = 0; i < 6; i++) {
		v[i] = MHD_lookup_connection_value(
		    c->conn, MHD_HEADER_KIND, names[i]);
		if (v[i] == NULL)
			v[i] = "";
	}
	(void)copy_str(c->kind, sizeof(c->kind), make_str(v[0]));
	if (c->kind[0] == '\0' && strncmp(url, "/call/", 6) == 0)
		(void)copy_str(c->kind, sizeof(c->kind),
		    make_str_n(url + 6, strcspn(url + 6, "/")));
	(void)copy_str(c->key, sizeof(c->key), make_str(v[1]));
	(void)copy_str(c->call_id, sizeof(c->call_id), make_str(v[2]));
	c->deadline = INT64_MAX;
	if (parse_i64(make_str(v[3]), 0, INT32_MAX, &n) == 0)
		c->deadline = now_ns() + n * NSEC_PER_MSEC;
	c->depth = parse_i64(make_str(v[4]), 0, 1000, &n) == 0 ? (int)n : 0;
	c->budget = parse_i64(make_str(v[5]), 0, 1000, &n) == 0 ? (int)n : -1;
}

/*
 * Handles requests for the stand-in itself: GET /health, /load and /runs, POST
 * /control?option=value and POST /drain.
 */
static enum MHD_Result
handle_control(struct MHD_Connection *conn, const char *url, const char *method)
{
	struct buf out = {0};
	int status = 200, rc = 0;

	if (strcmp(url, "/health") == 0 || strcmp(url, "/load") == 0) {
		render_health(strcmp(url, "/load") == 0, &out, &status);
		if (status == 0) {
			MHD_suspend_connection(conn); /* never resumed */
			return MHD_YES;
		}
	} else if (strcmp(url, "/runs") == 0) {
		(void)render_runs(MHD_lookup_connection_value(conn,
				      MHD_GET_ARGUMENT_KIND, "all") != NULL,
		    &out);
	} else if (strcmp(url, "/control") == 0 &&
		   strcmp(method, "POST") == 0) {
		pthread_mutex_lock(&opts_lock);
		MHD_get_connection_values(
		    conn, MHD_GET_ARGUMENT_KIND, apply_option, &rc);
		pthread_mutex_unlock(&opts_lock);
		status = rc == 0 ? 200 : 400;
	} else if (strcmp(url, "/drain") == 0 && strcmp(method, "POST") == 0) {
		draining = 1;
	} else {
		status = 404;
	}
	return send_text(conn, status, &out);
}

/*
 * Sets one option of POST /control; sets *cls to ERR_INVALID if it is invalid.
 */
static enum MHD_Result
apply_option(
    void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
	(void)kind;
	if (value == NULL || set_standin_option(&opts, name, value) != 0)
		*(int *)cls = ERR_INVALID;
	return MHD_YES;
}

/*
 * Renders the body of GET /health, or of GET /load if load is set. A status of
 * 0 means that no answer is sent.
 */
static void
render_health(bool load, struct buf *out, int *status)
{
	int64_t now = now_ns();
	int busy = __atomic_load_n(&running, __ATOMIC_SEQ_CST);
	bool ready = now - started >= opts.start_ms * NSEC_PER_MSEC;
	const char *state = draining ? "draining" :
			    ready    ? "ready" :
				       "starting";

	if (opts.report == STANDIN_REPORT_SILENT) {
		*status = 0;
		return;
	}
	if (opts.report == STANDIN_REPORT_READY) {
		busy = 0;
		state = "ready";
	} else if (opts.report == STANDIN_REPORT_BAD) {
		busy = opts.slots;
		state = "starting";
	} else if (opts.report == STANDIN_REPORT_LATE) {
		unsigned int n =
		    __atomic_load_n(&load_sample_count, __ATOMIC_SEQ_CST);
		int64_t at = now - opts.lag_ms * NSEC_PER_MSEC;

		state = "ready";
		busy = 0;
		for (unsigned int i = n > 1024 ? n - 1024 : 0; i < n; i++) {
			if (load_samples[i % 1024].at <= at)
				busy = load_samples[i % 1024].running;
		}
	}
	*status = load || strcmp(state, "ready") == 0 ? 200 : 503;
	(void)append_buf_fmt(out,
	    "{\"state\":\"%s\",\"in_flight\":%d,\"slots\":%d}\n", state, busy,
	    opts.slots);
}

/*
 * Queues the answer of a completed call, or closes the connection if the call
 * ends without one.
 */
static enum MHD_Result
queue_answer(struct standin_call *c)
{
	struct MHD_Response *r;
	size_t len = opts.answer_bytes > 0 ? (size_t)opts.answer_bytes : 1;
	char *body;
	enum MHD_Result rc;

	if (c->close_conn)
		return MHD_NO; /* closes the connection */
	if (c->fault == STANDIN_FAULT_TRUNCATE) {
		r = make_truncated_response(len);
	} else {
		body = malloc(len + 1);
		if (body == NULL)
			return MHD_NO;
		memset(body, '.', len);
		snprintf(body, len + 1, "%s %s\n", c->kind, c->call_id);
		if (strlen(body) < len)
			body[strlen(body)] = '.';
		r = MHD_create_response_from_buffer(
		    len, body, MHD_RESPMEM_MUST_FREE);
	}
	if (r == NULL)
		return MHD_NO;
	MHD_add_response_header(r, "Content-Type", "text/plain");
	MHD_add_response_header(r, "X-Ggs-Call-Id",
	    c->fault == STANDIN_FAULT_WRONG_ID ? "another-call" : c->call_id);
	MHD_add_response_header(r, "X-Ggs-Outcome", c->outcome);
	if (c->reason != NULL)
		MHD_add_response_header(r, "X-Ggs-Reason", c->reason);
	if (c->chain_budget[0] != '\0')
		MHD_add_response_header(
		    r, "X-Ggs-Retry-Budget", c->chain_budget);
	rc = MHD_queue_response(c->conn, (unsigned int)c->status, r);
	MHD_destroy_response(r);
	return rc;
}

/*
 * Makes a response that declares len bytes and breaks off in the middle.
 */
static struct MHD_Response *
make_truncated_response(size_t len)
{
	static size_t half;

	half = len / 2;
	return MHD_create_response_from_callback(
	    len, 1024, read_truncated, &half, NULL);
}

/*
 * Provides the first half of a truncated body, then an error that closes the
 * connection.
 */
static ssize_t
read_truncated(void *cls, uint64_t pos, char *buf, size_t max)
{
	size_t half = *(size_t *)cls;
	size_t n;

	if (pos >= half)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	n = half - (size_t)pos < max ? half - (size_t)pos : max;
	memset(buf, '.', n);
	return (ssize_t)n;
}

/*
 * Sends a JSON body and frees it.
 */
static enum MHD_Result
send_text(struct MHD_Connection *conn, int status, struct buf *out)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(out->len,
	    out->len > 0 ? out->data : (void *)"", MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;

	unload_buf(out);
	if (r == NULL)
		return MHD_NO;
	MHD_add_response_header(r, "Content-Type", "application/json");
	rc = MHD_queue_response(conn, (unsigned int)status, r);
	MHD_destroy_response(r);
	return rc;
}

/*
 * Takes over a call on the loop thread: refuses it, injects a fault or runs it.
 */
static void
begin_call(struct loop_task *t)
{
	struct standin_call *c =
	    (struct standin_call *)((char *)t -
				    offsetof(struct standin_call, task));
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(c->conn, MHD_CONNECTION_INFO_CONNECTION_FD);

	c->next = active_calls;
	c->prev = &active_calls;
	if (active_calls != NULL)
		active_calls->prev = &c->next;
	active_calls = c;
	c->watch = (struct loop_watch){info->connect_fd, handle_disconnect};
	c->watching = watch_fd(loop, &c->watch, EPOLLRDHUP) == 0;
	c->fault = draw_fault();
	if (draining) {
		count_event("drained");
		complete_call(c, 503, "not-run", "draining");
	} else if (running >= opts.slots || c->fault == STANDIN_FAULT_SHED) {
		count_event("shed");
		complete_call(c, 503, "not-run", "overload");
	} else if (c->deadline <= now_ns()) {
		count_event("late");
		complete_call(c, 503, "not-run", "deadline");
	} else if (c->fault == STANDIN_FAULT_CLOSE) {
		c->close_conn = true;
		complete_call(c, 0, "not-run", NULL);
	} else if (c->fault != STANDIN_FAULT_SILENT) {
		run_call(c);
	}
}

/*
 * Decides whether a call gets the configured fault, and counts it.
 */
static enum standin_fault
draw_fault(void)
{
	enum standin_fault f = STANDIN_FAULT_NONE;

	pthread_mutex_lock(&opts_lock);
	if (opts.fault != STANDIN_FAULT_NONE && opts.fault_left != 0 &&
	    (int)draw_below(&rng, 100) < opts.fault_pct) {
		f = opts.fault;
		if (opts.fault_left > 0)
			opts.fault_left--;
	}
	pthread_mutex_unlock(&opts_lock);
	if (f != STANDIN_FAULT_NONE)
		count_event("faults");
	return f;
}

/*
 * Occupies a slot for the service time. From here on the call is recorded as
 * run.
 */
static void
run_call(struct standin_call *c)
{
	int64_t now = now_ns();
	int64_t end = now + draw_service_ns();

	record_run(c->kind, c->key, c->call_id);
	c->holds_slot = true;
	__atomic_add_fetch(&running, 1, __ATOMIC_SEQ_CST);
	load_samples[load_sample_count % 1024] =
	    (struct load_sample){now, running};
	__atomic_add_fetch(&load_sample_count, 1, __ATOMIC_SEQ_CST);
	if (c->fault == STANDIN_FAULT_LATE)
		end += opts.late_ms * NSEC_PER_MSEC;
	c->timer.fire = finish_run;
	/* A late answer ignores the deadline on purpose. */
	if (c->fault != STANDIN_FAULT_LATE && end > c->deadline)
		end = c->deadline;
	(void)set_loop_timer(loop, &c->timer, end);
}

/*
 * Draws a service time with the mean service_ms. The long tail is a Pareto
 * distribution of shape 2. During a cold start times are longer by a factor
 * that falls linearly from COLD_START_FACTOR to 1.
 */
static int64_t
draw_service_ns(void)
{
	double mean = opts.service_ms * (double)NSEC_PER_MSEC, u, ns = mean;
	int64_t age_ns = now_ns() - started - opts.start_ms * NSEC_PER_MSEC;
	double age = (double)age_ns / (double)NSEC_PER_MSEC;

	u = 1.0 - draw_unit(&rng);
	if (opts.shape == 1)
		ns = -mean * log(u);
	else if (opts.shape == 2)
		ns = mean / 2 / sqrt(u);
	if (opts.cold_ms > 0 && age < (double)opts.cold_ms)
		ns *= 1 + (COLD_START_FACTOR - 1) *
			      (1 - age / (double)opts.cold_ms);
	return (int64_t)ns;
}

/*
 * Ends the service time of a call: answers it, injects its fault or makes the
 * next call of its chain. Also fires when a chained call reaches the deadline.
 */
static void
finish_run(struct loop_timer *t)
{
	struct standin_call *c =
	    (struct standin_call *)((char *)t -
				    offsetof(struct standin_call, timer));

	if (c->chain_easy != NULL ||
	    (c->fault != STANDIN_FAULT_LATE && now_ns() >= c->deadline)) {
		count_event("deadline");
		complete_call(c, 504, "unknown", "deadline");
	} else if (c->fault == STANDIN_FAULT_CLOSE_RAN) {
		c->close_conn = true;
		complete_call(c, 0, "unknown", NULL);
	} else if (c->fault == STANDIN_FAULT_FAIL) {
		complete_call(c, 500, "failed", NULL);
	} else if (!start_chain(c)) {
		complete_call(c, 200, "ran", NULL);
	}
}

/*
 * Calls the next kind of a chain through the local node, with the remaining
 * deadline, retry budget and idempotency key. Returns false when the chain ends
 * here.
 */
static bool
start_chain(struct standin_call *c)
{
	char line[160], url[160];
	const char *next = NULL;
	int64_t left;

	for (int i = 0; i < opts.chain_count && next == NULL; i++) {
		if (strcmp(opts.chains[i].kind, "*") == 0 ||
		    strcmp(opts.chains[i].kind, c->kind) == 0)
			next = opts.chains[i].next;
	}
	if (next == NULL || opts.node[0] == '\0' || c->depth >= opts.depth)
		return false;
	c->chain_easy = curl_easy_init();
	if (c->chain_easy == NULL)
		return false;
	snprintf(url, sizeof(url), "http://%s/call/%s", opts.node, next);
	snprintf(line, sizeof(line), "X-Ggs-Depth: %d", c->depth);
	c->chain_headers = curl_slist_append(NULL, line);
	left = c->deadline == INT64_MAX ?
		   INT32_MAX :
		   (c->deadline - now_ns()) / NSEC_PER_MSEC;
	snprintf(line, sizeof(line), "X-Ggs-Deadline-Ms: %lld",
	    (long long)(left > 0 ? left : 0));
	c->chain_headers = curl_slist_append(c->chain_headers, line);
	if (c->budget >= 0) {
		snprintf(
		    line, sizeof(line), "X-Ggs-Retry-Budget: %d", c->budget);
		c->chain_headers = curl_slist_append(c->chain_headers, line);
	}
	if (c->key[0] != '\0') {
		snprintf(line, sizeof(line), "Idempotency-Key: %s", c->key);
		c->chain_headers = curl_slist_append(c->chain_headers, line);
	}
	curl_easy_setopt(c->chain_easy, CURLOPT_URL, url);
	curl_easy_setopt(c->chain_easy, CURLOPT_PROXY, "");
	curl_easy_setopt(c->chain_easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->chain_easy, CURLOPT_HTTPHEADER, c->chain_headers);
	curl_easy_setopt(c->chain_easy, CURLOPT_PRIVATE, c);
	curl_easy_setopt(c->chain_easy, CURLOPT_HEADERFUNCTION, parse_header);
	curl_easy_setopt(c->chain_easy, CURLOPT_HEADERDATA, c);
	curl_easy_setopt(c->chain_easy, CURLOPT_WRITEFUNCTION, discard_body);
	curl_multi_add_handle(get_loop_curl(loop), c->chain_easy);
	(void)set_loop_timer(loop, &c->timer, c->deadline);
	return true;
}

/*
 * Completes a call when the next call of its chain has ended. It fails if that
 * call failed.
 */
static void
end_chain(CURL *easy, CURLcode code)
{
	struct standin_call *c = NULL;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&c);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	if (code == CURLE_OK && status == 200) {
		complete_call(c, 200, "ran", NULL);
	} else {
		count_event("chain-failed");
		complete_call(c, 502, "failed", NULL);
	}
}

/*
 * Keeps the retry budget of the next call's answer, to return it to the caller.
 */
static size_t
parse_header(char *data, size_t size, size_t n, void *arg)
{
	struct standin_call *c = arg;
	static const char budget[] = "X-Ggs-Retry-Budget: ";

	if (size * n > strlen(budget) &&
	    strncasecmp(data, budget, strlen(budget)) == 0)
		(void)copy_str(c->chain_budget, sizeof(c->chain_budget),
		    make_str_n(data + strlen(budget),
			strcspn(data + strlen(budget), "\r\n")));
	return size * n;
}

static size_t
discard_body(char *data, size_t size, size_t n, void *arg)
{
	(void)data;
	(void)arg;
	return size * n;
}

/*
 * The caller closed its connection: the call is cancelled.
 */
static void
handle_disconnect(struct loop_watch *watch, uint32_t events)
{
	struct standin_call *c =
	    (struct standin_call *)((char *)watch -
				    offsetof(struct standin_call, watch));

	(void)events;
	count_event("cancelled");
	c->close_conn = true;
	complete_call(c, 0, "unknown", NULL);
}

/*
 * Completes a call with a status, outcome and reason, all static strings.
 * Status 0 goes with close_conn, which sends no answer.
 */
static void
complete_call(
    struct standin_call *c, int status, const char *outcome, const char *reason)
{
	c->status = status;
	c->outcome = outcome;
	c->reason = reason;
	release_call(c);
}

/*
 * Releases the slot, timer and chained transfer of a call, removes it from the
 * list and resumes its connection in the libmicrohttpd thread.
 */
static void
release_call(struct standin_call *c)
{
	struct MHD_Connection *conn = c->conn;

	clear_loop_timer(loop, &c->timer);
	if (c->watching)
		unwatch_fd(loop, &c->watch);
	if (c->chain_easy != NULL) {
		curl_multi_remove_handle(get_loop_curl(loop), c->chain_easy);
		curl_easy_cleanup(c->chain_easy);
		curl_slist_free_all(c->chain_headers);
		c->chain_easy = NULL;
	}
	if (c->holds_slot) {
		__atomic_sub_fetch(&running, 1, __ATOMIC_SEQ_CST);
		load_samples[load_sample_count % 1024] =
		    (struct load_sample){now_ns(), running};
		__atomic_add_fetch(&load_sample_count, 1, __ATOMIC_SEQ_CST);
	}
	*c->prev = c->next;
	if (c->next != NULL)
		c->next->prev = c->prev;
	c->answered = true;
	MHD_resume_connection(conn);
}

/*
 * The loop hook for deferred work, of which the stand-in has none.
 */
static bool
skip_deferred(void *arg)
{
	(void)arg;
	return false;
}

/*
 * Opens a listening socket at IP:port. Returns the descriptor, or -1 if the
 * address is invalid or in use.
 */
static int
bind_port(const char *address)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	const char *colon = strrchr(address, ':');
	char host[STANDIN_NAME_BYTES];
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	int64_t port = 0;

	if (fd < 0 || colon == NULL ||
	    copy_str(host, sizeof(host),
		make_str_n(address, (size_t)(colon - address))) != 0 ||
	    inet_pton(AF_INET, host, &sa.sin_addr) != 1 ||
	    parse_i64(make_str(colon + 1), 0, 65535, &port) != 0)
		return -1;
	sa.sin_port = htons((uint16_t)port);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
	    listen(fd, 1024) != 0)
		return -1;
	return fd;
}

static void
handle_signal(int sig)
{
	(void)sig;
	draining = 2;
}

/*
 * Waits for SIGTERM or SIGINT, then up to DRAIN_TIMEOUT_MS for running calls.
 */
static void
wait_for_end(void)
{
	int waited = 0;

	while (draining != 2)
		usleep(50000);
	while (__atomic_load_n(&running, __ATOMIC_SEQ_CST) > 0 &&
	       waited < DRAIN_TIMEOUT_MS) {
		usleep(20000);
		waited += 20;
	}
	usleep(100000); /* until the last answers are sent */
}

static int64_t
now_ns(void)
{
	return read_mono(&clk);
}
