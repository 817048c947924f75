/*
 * A small backend server for tests and measurements: slots, seeded service
 * times, cold start, drain, shedding, cancellation, deadlines, untrue health
 * reports, faults, and calls to further services through its local node.
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
#define STANDIN_COLD_FACTOR 5.0
#define STANDIN_DRAIN_MS 60000 /* longest wait for running calls at the end */

struct work {
	struct loop_task task;
	struct loop_timer timer;
	struct loop_watch watch;
	struct MHD_Connection *conn;
	struct work *next, **prev; /* calls that the loop holds */
	char kind[STANDIN_NAME_BYTES];
	char key[STANDIN_KEY_BYTES];
	char call_id[STANDIN_KEY_BYTES];
	char chain_budget[16]; /* of the answer; empty: absent */
	int64_t deadline; /* mono ns */
	int depth;
	int budget; /* X-Ggs-Retry-Budget; -1 absent */
	enum standin_fault fault;
	bool begun, watching, holds_slot, answered, drop;
	int status;
	const char *outcome;
	const char *reason;
	CURL *easy; /* the next call of a chain */
	struct curl_slist *headers;
	char next_outcome[16];
};

/* A past report, for late ones. */
struct report {
	int64_t at;
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
static int64_t started;
static struct work *works;
static int running; /* calls in slots */
static volatile sig_atomic_t draining;
static struct report reports[1024];
static unsigned int report_count;

static enum MHD_Result handle(void *cls, struct MHD_Connection *conn,
    const char *url, const char *method, const char *version, const char *data,
    size_t *size, void **state);
static void end_request(void *cls, struct MHD_Connection *conn, void **state,
    enum MHD_RequestTerminationCode code);
static void read_work(struct work *w, const char *url);
static enum MHD_Result answer_control(
    struct MHD_Connection *conn, const char *url, const char *method);
static enum MHD_Result apply_option(
    void *cls, enum MHD_ValueKind kind, const char *name, const char *value);
static void render_report(bool load, struct buf *out, int *status);
static enum MHD_Result send_work(struct work *w);
static struct MHD_Response *make_cut_response(size_t len);
static ssize_t read_cut(void *cls, uint64_t pos, char *buf, size_t max);
static enum MHD_Result send_text(
    struct MHD_Connection *conn, int status, struct buf *out);
static void begin_work(struct loop_task *t);
static enum standin_fault draw_fault(void);
static void run_work(struct work *w);
static int64_t draw_service_ns(void);
static void finish_work(struct loop_timer *t);
static bool start_chain(struct work *w);
static void end_chain(CURL *easy, CURLcode code);
static size_t take_header(char *data, size_t size, size_t n, void *arg);
static size_t drop_body(char *data, size_t size, size_t n, void *arg);
static void note_gone(struct loop_watch *w, uint32_t events);
static void answer(
    struct work *w, int status, const char *outcome, const char *reason);
static void give_back(struct work *w);
static bool settle(void *arg);
static int bind_port(const char *address);
static void take_signal(int sig);
static void wait_for_end(void);
static int64_t now_ns(void);

int
main(int argc, char **argv)
{
	struct loop_hooks hooks = {end_chain, settle, NULL};
	struct MHD_Daemon *d;
	int fd;

	read_standin_flags(argc, argv, &opts);
	clk = get_real_clock();
	started = now_ns();
	seed_rng(&rng, opts.seed);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, take_signal);
	signal(SIGINT, take_signal);
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
	    0, NULL, NULL, handle, NULL, MHD_OPTION_LISTEN_SOCKET, fd,
	    MHD_OPTION_CONNECTION_LIMIT, (unsigned int)STANDIN_CONNECTIONS,
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)STANDIN_IDLE_S,
	    MHD_OPTION_NOTIFY_COMPLETED, end_request, NULL, MHD_OPTION_END);
	if (d == NULL)
		return EXIT_FAILURE;
	wait_for_end();
	_exit(EXIT_SUCCESS); /* connections may still be suspended */
}

static enum MHD_Result
handle(void *cls, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **state)
{
	struct work *w = *state;

	(void)cls;
	(void)version;
	(void)data;
	if (w == NULL) {
		w = calloc(1, sizeof(*w));
		if (w == NULL)
			return MHD_NO;
		w->conn = conn;
		read_work(w, url);
		*state = w;
		return MHD_YES;
	}
	if (*size > 0) {
		*size = 0;
		return MHD_YES;
	}
	if (w->answered)
		return send_work(w);
	if (w->kind[0] == '\0')
		return answer_control(conn, url, method);
	w->task.run = begin_work;
	MHD_suspend_connection(conn);
	post_loop_task(loop, &w->task);
	return MHD_YES;
}

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
 * Reads the headers of a call. Requests for the stand-in itself have no kind.
 */
static void
read_work(struct work *w, const char *url)
{
	static const char *const names[] = {"X-Ggs-Kind", "Idempotency-Key",
	    "X-Ggs-Call-Id", "X-Ggs-Deadline-Ms", "X-Ggs-Depth",
	    "X-Ggs-Retry-Budget"};
	const char *v[6];
	int64_t n;

	for (int i = 0; i < 6; i++) {
		v[i] = MHD_lookup_connection_value(
		    w->conn, MHD_HEADER_KIND, names[i]);
		if (v[i] == NULL)
			v[i] = "";
	}
	(void)copy_str(w->kind, sizeof(w->kind), make_str(v[0]));
	if (w->kind[0] == '\0' && strncmp(url, "/call/", 6) == 0)
		(void)copy_str(w->kind, sizeof(w->kind),
		    make_str_n(url + 6, strcspn(url + 6, "/")));
	(void)copy_str(w->key, sizeof(w->key), make_str(v[1]));
	(void)copy_str(w->call_id, sizeof(w->call_id), make_str(v[2]));
	w->deadline = INT64_MAX;
	if (parse_i64(make_str(v[3]), 0, INT32_MAX, &n) == 0)
		w->deadline = now_ns() + n * NSEC_PER_MSEC;
	w->depth = parse_i64(make_str(v[4]), 0, 1000, &n) == 0 ? (int)n : 0;
	w->budget = parse_i64(make_str(v[5]), 0, 1000, &n) == 0 ? (int)n : -1;
}

/*
 * GET /health, /load and /runs, POST /control?option=value and POST /drain.
 */
static enum MHD_Result
answer_control(struct MHD_Connection *conn, const char *url, const char *method)
{
	struct buf out = {0};
	int status = 200, rc = 0;

	if (strcmp(url, "/health") == 0 || strcmp(url, "/load") == 0) {
		render_report(strcmp(url, "/load") == 0, &out, &status);
		if (status == 0) {
			MHD_suspend_connection(conn); /* for good */
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
 * Status 0 means no answer at all.
 */
static void
render_report(bool load, struct buf *out, int *status)
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
		    __atomic_load_n(&report_count, __ATOMIC_SEQ_CST);
		int64_t at = now - opts.lag_ms * NSEC_PER_MSEC;

		state = "ready";
		busy = 0;
		for (unsigned int i = n > 1024 ? n - 1024 : 0; i < n; i++) {
			if (reports[i % 1024].at <= at)
				busy = reports[i % 1024].running;
		}
	}
	*status = load || strcmp(state, "ready") == 0 ? 200 : 503;
	(void)append_buf_fmt(out,
	    "{\"state\":\"%s\",\"in_flight\":%d,\"slots\":%d}\n", state, busy,
	    opts.slots);
}

static enum MHD_Result
send_work(struct work *w)
{
	struct MHD_Response *r;
	size_t len = opts.answer_bytes > 0 ? (size_t)opts.answer_bytes : 1;
	char *body;
	enum MHD_Result rc;

	if (w->drop)
		return MHD_NO; /* closes the connection */
	if (w->fault == STANDIN_FAULT_TRUNCATE) {
		r = make_cut_response(len);
	} else {
		body = malloc(len + 1);
		if (body == NULL)
			return MHD_NO;
		memset(body, '.', len);
		snprintf(body, len + 1, "%s %s\n", w->kind, w->call_id);
		if (strlen(body) < len)
			body[strlen(body)] = '.';
		r = MHD_create_response_from_buffer(
		    len, body, MHD_RESPMEM_MUST_FREE);
	}
	if (r == NULL)
		return MHD_NO;
	MHD_add_response_header(r, "Content-Type", "text/plain");
	MHD_add_response_header(r, "X-Ggs-Call-Id",
	    w->fault == STANDIN_FAULT_WRONG_ID ? "another-call" : w->call_id);
	MHD_add_response_header(r, "X-Ggs-Outcome", w->outcome);
	if (w->reason != NULL)
		MHD_add_response_header(r, "X-Ggs-Reason", w->reason);
	if (w->chain_budget[0] != '\0')
		MHD_add_response_header(
		    r, "X-Ggs-Retry-Budget", w->chain_budget);
	rc = MHD_queue_response(w->conn, (unsigned int)w->status, r);
	MHD_destroy_response(r);
	return rc;
}

/*
 * A response that declares len bytes and breaks off in the middle.
 */
static struct MHD_Response *
make_cut_response(size_t len)
{
	static size_t half;

	half = len / 2;
	return MHD_create_response_from_callback(
	    len, 1024, read_cut, &half, NULL);
}

static ssize_t
read_cut(void *cls, uint64_t pos, char *buf, size_t max)
{
	size_t half = *(size_t *)cls;
	size_t n;

	if (pos >= half)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	n = half - (size_t)pos < max ? half - (size_t)pos : max;
	memset(buf, '.', n);
	return (ssize_t)n;
}

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
 * Takes a call over on the loop: refuses it, lets it meet a fault, or runs it.
 */
static void
begin_work(struct loop_task *t)
{
	struct work *w =
	    (struct work *)((char *)t - offsetof(struct work, task));
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(w->conn, MHD_CONNECTION_INFO_CONNECTION_FD);

	w->next = works;
	w->prev = &works;
	if (works != NULL)
		works->prev = &w->next;
	works = w;
	w->watch = (struct loop_watch){info->connect_fd, note_gone};
	w->watching = watch_fd(loop, &w->watch, EPOLLRDHUP) == 0;
	w->fault = draw_fault();
	if (draining) {
		count_standin("drained");
		answer(w, 503, "not-run", "draining");
	} else if (running >= opts.slots || w->fault == STANDIN_FAULT_SHED) {
		count_standin("shed");
		answer(w, 503, "not-run", "overload");
	} else if (w->deadline <= now_ns()) {
		count_standin("late");
		answer(w, 503, "not-run", "deadline");
	} else if (w->fault == STANDIN_FAULT_CLOSE) {
		w->drop = true;
		answer(w, 0, "not-run", NULL);
	} else if (w->fault != STANDIN_FAULT_SILENT) {
		run_work(w);
	}
}

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
		count_standin("faults");
	return f;
}

/*
 * Occupies a slot for the service time. From here on the call counts as run.
 */
static void
run_work(struct work *w)
{
	int64_t now = now_ns();
	int64_t end = now + draw_service_ns();

	note_run(w->kind, w->key, w->call_id);
	w->holds_slot = true;
	__atomic_add_fetch(&running, 1, __ATOMIC_SEQ_CST);
	reports[report_count % 1024] = (struct report){now, running};
	__atomic_add_fetch(&report_count, 1, __ATOMIC_SEQ_CST);
	if (w->fault == STANDIN_FAULT_LATE)
		end += opts.late_ms * NSEC_PER_MSEC;
	w->timer.fire = finish_work;
	/* A late answer ignores the deadline on purpose. */
	if (w->fault != STANDIN_FAULT_LATE && end > w->deadline)
		end = w->deadline;
	(void)set_loop_timer(loop, &w->timer, end);
}

/*
 * Draws a service time with the mean service_ms. The long tail is a Pareto
 * distribution of shape 2; a cold server is slower at first.
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
		ns *= 1 + (STANDIN_COLD_FACTOR - 1) *
			      (1 - age / (double)opts.cold_ms);
	return (int64_t)ns;
}

static void
finish_work(struct loop_timer *t)
{
	struct work *w =
	    (struct work *)((char *)t - offsetof(struct work, timer));

	if (w->easy != NULL ||
	    (w->fault != STANDIN_FAULT_LATE && now_ns() >= w->deadline)) {
		count_standin("deadline");
		answer(w, 504, "unknown", "deadline");
	} else if (w->fault == STANDIN_FAULT_CLOSE_RAN) {
		w->drop = true;
		answer(w, 0, "unknown", NULL);
	} else if (w->fault == STANDIN_FAULT_FAIL) {
		answer(w, 500, "failed", NULL);
	} else if (!start_chain(w)) {
		answer(w, 200, "ran", NULL);
	}
}

/*
 * Calls the next kind of a chain through the local node. Returns false when
 * the chain ends here.
 */
static bool
start_chain(struct work *w)
{
	char line[160], url[160];
	const char *next = NULL;
	int64_t left;

	for (int i = 0; i < opts.chain_count && next == NULL; i++) {
		if (strcmp(opts.chains[i].kind, "*") == 0 ||
		    strcmp(opts.chains[i].kind, w->kind) == 0)
			next = opts.chains[i].next;
	}
	if (next == NULL || opts.node[0] == '\0' || w->depth >= opts.depth)
		return false;
	w->easy = curl_easy_init();
	if (w->easy == NULL)
		return false;
	snprintf(url, sizeof(url), "http://%s/call/%s", opts.node, next);
	snprintf(line, sizeof(line), "X-Ggs-Depth: %d", w->depth);
	w->headers = curl_slist_append(NULL, line);
	left = w->deadline == INT64_MAX ?
		   INT32_MAX :
		   (w->deadline - now_ns()) / NSEC_PER_MSEC;
	snprintf(line, sizeof(line), "X-Ggs-Deadline-Ms: %lld",
	    (long long)(left > 0 ? left : 0));
	w->headers = curl_slist_append(w->headers, line);
	if (w->budget >= 0) {
		snprintf(
		    line, sizeof(line), "X-Ggs-Retry-Budget: %d", w->budget);
		w->headers = curl_slist_append(w->headers, line);
	}
	if (w->key[0] != '\0') {
		snprintf(line, sizeof(line), "Idempotency-Key: %s", w->key);
		w->headers = curl_slist_append(w->headers, line);
	}
	curl_easy_setopt(w->easy, CURLOPT_URL, url);
	curl_easy_setopt(w->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(w->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(w->easy, CURLOPT_HTTPHEADER, w->headers);
	curl_easy_setopt(w->easy, CURLOPT_PRIVATE, w);
	curl_easy_setopt(w->easy, CURLOPT_HEADERFUNCTION, take_header);
	curl_easy_setopt(w->easy, CURLOPT_HEADERDATA, w);
	curl_easy_setopt(w->easy, CURLOPT_WRITEFUNCTION, drop_body);
	curl_multi_add_handle(get_loop_curl(loop), w->easy);
	(void)set_loop_timer(loop, &w->timer, w->deadline);
	return true;
}

/*
 * The next call of a chain has ended; this one fails when that one did.
 */
static void
end_chain(CURL *easy, CURLcode code)
{
	struct work *w = NULL;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&w);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	if (code == CURLE_OK && status == 200) {
		answer(w, 200, "ran", NULL);
	} else {
		count_standin("chain-failed");
		answer(w, 502, "failed", NULL);
	}
}

static size_t
take_header(char *data, size_t size, size_t n, void *arg)
{
	struct work *w = arg;
	static const char budget[] = "X-Ggs-Retry-Budget: ";

	if (size * n > strlen(budget) &&
	    strncasecmp(data, budget, strlen(budget)) == 0)
		(void)copy_str(w->chain_budget, sizeof(w->chain_budget),
		    make_str_n(data + strlen(budget),
			strcspn(data + strlen(budget), "\r\n")));
	return size * n;
}

static size_t
drop_body(char *data, size_t size, size_t n, void *arg)
{
	(void)data;
	(void)arg;
	return size * n;
}

/*
 * The caller closed its connection: the call is cancelled.
 */
static void
note_gone(struct loop_watch *watch, uint32_t events)
{
	struct work *w =
	    (struct work *)((char *)watch - offsetof(struct work, watch));

	(void)events;
	count_standin("cancelled");
	w->drop = true;
	answer(w, 0, "unknown", NULL);
}

/*
 * Ends a call and gives it back to the listener's thread.
 */
static void
answer(struct work *w, int status, const char *outcome, const char *reason)
{
	w->status = status;
	w->outcome = outcome;
	w->reason = reason;
	give_back(w);
}

static void
give_back(struct work *w)
{
	struct MHD_Connection *conn = w->conn;

	clear_loop_timer(loop, &w->timer);
	if (w->watching)
		unwatch_fd(loop, &w->watch);
	if (w->easy != NULL) {
		curl_multi_remove_handle(get_loop_curl(loop), w->easy);
		curl_easy_cleanup(w->easy);
		curl_slist_free_all(w->headers);
		w->easy = NULL;
	}
	if (w->holds_slot) {
		__atomic_sub_fetch(&running, 1, __ATOMIC_SEQ_CST);
		reports[report_count % 1024] =
		    (struct report){now_ns(), running};
		__atomic_add_fetch(&report_count, 1, __ATOMIC_SEQ_CST);
	}
	*w->prev = w->next;
	if (w->next != NULL)
		w->next->prev = w->prev;
	w->answered = true;
	MHD_resume_connection(conn);
}

static bool
settle(void *arg)
{
	(void)arg;
	return false;
}

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
take_signal(int sig)
{
	(void)sig;
	draining = 2;
}

/*
 * Waits for SIGTERM or SIGINT, then for the running calls.
 */
static void
wait_for_end(void)
{
	int waited = 0;

	while (draining != 2)
		usleep(50000);
	while (__atomic_load_n(&running, __ATOMIC_SEQ_CST) > 0 &&
	       waited < STANDIN_DRAIN_MS) {
		usleep(20000);
		waited += 20;
	}
	usleep(100000); /* the last answers leave */
}

static int64_t
now_ns(void)
{
	return read_mono(&clk);
}
