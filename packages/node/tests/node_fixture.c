/*
 * Sets up nodes, servers and the table, and implements the client.
 */
#include <arpa/inet.h>
#include <semaphore.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node_fixture.h"

#define REPORT_PREFIX "/report/"
#define REPLY_TIMEOUT_S 10
#define HOLD_INSTANCE "hold" /* whose reports hold the reactor */
#define HEADER                                                            \
	"kind,service,rank,weight,floor_pct,limit_pct,target_ms,"         \
	"deadline_ms,queue_max,retries,retry_pct,hedge_ms,repeat,keep_s," \
	"body_max_kb,drain_s,host,path,split,head_max_kb,head_ms,idle_ms\n"
#define ROW(kind, retries, repeat, split)                            \
	kind ",svc,1,10,0,100,500,2000,100," retries ",10,0," repeat \
	     ",0,64,30,test.example,/" kind "/," split ",4,1000,2000\n"

static const char rows[] =
    HEADER ROW("read", "1", "yes", "") ROW("once", "0", "yes", "")
	ROW("pay", "1", "no", "") ROW("split", "1", "yes", "svc:3 other:1");

static sem_t held, released; /* by a report of HOLD_INSTANCE */

static int read_report(const struct http_head *head, struct str body,
    struct backend_report *out, struct fault *f);
static bool is_readiness_check(const struct http_head *head);
static void start_fixture(struct fixture *r, int nodes);
static void wait_ready(struct fixture *r, int i);
static void wait_in_use(struct fixture *r, int i);
static void split_reply(const struct buf *in, struct test_reply *out);
static bool is_reply_complete(const struct test_reply *r);
static void send_all(int fd, const void *data, size_t len);

/*
 * Starts nodes and servers, and reports every server as ready. The loopback
 * addresses depend on the process id, so that test programs can run at once.
 */
void
open_fixture(struct fixture *r, int nodes)
{
	open_fixture_with_stop(r, nodes, 3 * NSEC_PER_SEC);
}

void
open_fixture_with_stop(struct fixture *r, int nodes, int64_t stop_ns)
{
	memset(r, 0, sizeof(*r));
	r->stop_ns = stop_ns;
	start_fixture(r, nodes);
}

void
open_fixture_with_trial(struct fixture *r, int nodes, double share)
{
	memset(r, 0, sizeof(*r));
	r->stop_ns = 3 * NSEC_PER_SEC;
	r->trial_share = share;
	start_fixture(r, nodes);
}

void
open_fixture_with_hedges(struct fixture *r, int nodes, double share)
{
	memset(r, 0, sizeof(*r));
	r->stop_ns = 3 * NSEC_PER_SEC;
	r->hedge_share = share;
	start_fixture(r, nodes);
}

void
open_fixture_with_budget(struct fixture *r, int nodes, double ratio)
{
	memset(r, 0, sizeof(*r));
	r->stop_ns = 3 * NSEC_PER_SEC;
	r->retry_ratio = ratio;
	start_fixture(r, nodes);
}

void
open_fixture_with_link(struct fixture *r, int nodes, int64_t link_rate)
{
	memset(r, 0, sizeof(*r));
	r->stop_ns = 3 * NSEC_PER_SEC;
	r->link_rate = link_rate;
	start_fixture(r, nodes);
}

void
open_fixture_with_one_server(struct fixture *r)
{
	open_fixture(r, 3);
	clear_fake_endpoints(r->agent, "svc");
	add_fake_endpoint(
	    r->agent, "svc", "node-0", r->links[0], 4, WIRE_ENDPOINT_READY);
	for (int i = 0; i < 3; i++)
		refresh_node(r->nodes[i]);
}

static void
start_fixture(struct fixture *r, int nodes)
{
	unsigned int net = (unsigned int)getpid();

	sem_init(&held, 0, 0);
	sem_init(&released, 0, 0);
	r->agent = open_fake_agent();
	r->count = nodes;
	set_fixture_table(r, 1, "");
	clear_fake_endpoints(r->agent, "svc");
	clear_fake_endpoints(r->agent, "other");
	for (int i = 0; i < nodes; i++) {
		char host[24], instance[16], name[16];

		snprintf(host, sizeof(host), "127.%u.%u.%d",
		    180 + net / 250 % 60, 1 + net % 250, i + 1);
		snprintf(r->calls[i], sizeof(r->calls[i]), "%s:7500", host);
		snprintf(r->links[i], sizeof(r->links[i]), "%s:7501", host);
		snprintf(r->ready[i], sizeof(r->ready[i]), "%s:7502", host);
		snprintf(r->reports[i], sizeof(r->reports[i]), "%s:7503", host);
		snprintf(r->metrics[i], sizeof(r->metrics[i]), "%s:7504", host);
		snprintf(instance, sizeof(instance), "i-%d", i);
		snprintf(name, sizeof(name), "node-%d", i);
		r->servers[i] = open_fake_server(instance);
		add_fake_endpoint(r->agent, i == 2 ? "other" : "svc", name,
		    r->links[i], 4, WIRE_ENDPOINT_READY);
	}
	for (int i = 0; i < nodes; i++)
		start_fixture_node(r, i);
	for (int i = 0; i < nodes; i++) {
		char instance[16];

		snprintf(instance, sizeof(instance), "i-%d", i);
		wait_ready(r, i);
		ck_assert_int_eq(
		    send_report(r, i, instance, "ready", 1, 1000), 200);
		wait_in_use(r, i);
	}
}

void
close_fixture(struct fixture *r)
{
	for (int i = 0; i < r->count; i++)
		stop_node(r->nodes[i]);
	for (int i = 0; i < r->count; i++)
		close_fake_server(r->servers[i]);
	close_fake_agent(r->agent);
}

void
start_fixture_node(struct fixture *r, int i)
{
	char name[16];
	struct node_config c = {
	    .clock = get_real_clock(),
	    .agent = r->agent,
	    .name = name,
	    .zone = "z1",
	    .calls_listen = r->calls[i],
	    .links_listen = r->links[i],
	    .ready_listen = r->ready[i],
	    .reports_listen = r->reports[i],
	    .metrics_listen = r->metrics[i],
	    .service = i == 2 ? "other" : "svc",
	    .backend = get_fake_address(r->servers[i]),
	    .retry_ratio = r->retry_ratio > 0 ? r->retry_ratio : 10,
	    .retry_slack = r->retry_ratio > 0 ? 0 : 1000,
	    .hedge_share = r->hedge_share,
	    .drain_ns = 200 * NSEC_PER_MSEC,
	    .leave_ns = 300 * NSEC_PER_MSEC,
	    .stop_ns = r->stop_ns,
	    .trial_share = r->trial_share,
	    .link_rate = r->link_rate,
	    .names = {.call_id = "Call-Id",
		.deadline_ms = "Deadline-Ms",
		.expect_instance = "Expect",
		.instance = "Instance",
		.not_executed = "Not-Run",
		.seal = "Seal",
		.caller_service = "Caller",
		.key = "Key",
		.key_scheme = "Test",
		.account = "Account",
		.rate_limit = "Rate",
		.leaving = "Leaving"},
	    .reports = {read_report, is_readiness_check},
	    .seed = (uint64_t)i + 1,
	};
	struct fault f = {0};

	snprintf(name, sizeof(name), "node-%d", i);
	ck_assert_msg(start_node(&c, &r->nodes[i], &f) == 0, "%s", f.text);
}

void
stop_fixture_node(struct fixture *r, int i)
{
	stop_node(r->nodes[i]);
	r->nodes[i] = NULL;
}

void
set_fixture_table(struct fixture *r, uint64_t version, const char *more_rows)
{
	struct buf csv = {0};

	ck_assert_int_eq(append_buf_fmt(&csv, "%s%s", rows, more_rows), 0);
	set_fake_table(r->agent, csv.data, version);
	unload_buf(&csv);
	for (int i = 0; i < r->count; i++) {
		if (r->nodes[i] != NULL)
			refresh_node(r->nodes[i]);
	}
}

int
send_read_call(struct fixture *r, int entry)
{
	struct test_reply reply;

	send_test_call(r->calls[entry], "GET", "/read/ok", "call", "",
	    make_str(""), &reply);
	unload_reply(&reply);
	return reply.status;
}

int
count_fixture_runs(struct fixture *r, const char *id)
{
	int n = 0;

	for (int i = 0; i < r->count; i++)
		n += count_fake_runs(r->servers[i], id);
	return n;
}

int
hold_fixture_node(struct fixture *r, int i)
{
	static const char report[] =
	    "POST " REPORT_PREFIX HOLD_INSTANCE
	    "/ready/1/1 HTTP/1.1\r\nHost: test.example\r\n"
	    "Content-Length: 0\r\n\r\n";
	int fd = connect_test_client(r->reports[i]);

	ck_assert_int_ge(fd, 0);
	send_all(fd, report, sizeof(report) - 1);
	sem_wait(&held);
	return fd;
}

void
release_fixture_node(int hold)
{
	sem_post(&released);
	close(hold);
}

int
send_report(struct fixture *r, int i, const char *instance, const char *state,
    int seq, int64_t start_ms)
{
	struct test_reply reply;
	char path[128];
	int status;

	snprintf(path, sizeof(path), REPORT_PREFIX "%s/%s/%d/%lld", instance,
	    state, seq, (long long)start_ms);
	send_test_call(
	    r->reports[i], "POST", path, "report", "", make_str(""), &reply);
	status = reply.status;
	unload_reply(&reply);
	return status;
}

void
send_test_call(const char *address, const char *method, const char *path,
    const char *id, const char *more, struct str body, struct test_reply *out)
{
	int fd = connect_test_client(address);
	struct buf b = {0};

	memset(out, 0, sizeof(*out));
	if (fd < 0) {
		out->closed = true;
		return;
	}
	ck_assert_int_eq(
	    append_buf_fmt(&b,
		"%s %s HTTP/1.1\r\nHost: test.example\r\nCall-Id: %s\r\n"
		"%sContent-Length: %zu\r\n\r\n",
		method, path, id, more, body.len),
	    0);
	ck_assert_int_eq(append_buf_str(&b, body), 0);
	send_all(fd, b.data, b.len);
	unload_buf(&b);
	read_test_reply(fd, out);
	close(fd);
}

void
unload_reply(struct test_reply *r)
{
	unload_buf(&r->body);
}

int
connect_test_client(const char *address)
{
	struct timeval wait = {REPLY_TIMEOUT_S, 0};
	struct sockaddr_in sa = {.sin_family = AF_INET};
	const char *colon = strrchr(address, ':');
	char host[32];
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	snprintf(host, sizeof(host), "%.*s", (int)(colon - address), address);
	sa.sin_port = htons((uint16_t)atoi(colon + 1));
	inet_pton(AF_INET, host, &sa.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0)
		return fd;
	close(fd);
	return -1;
}

/*
 * Reads until the answer is complete, or sets closed when the connection ends
 * before. Each byte is copied once, whatever the length of the body: a reader
 * that falls behind a node is closed as idle.
 */
void
read_test_reply(int fd, struct test_reply *out)
{
	struct buf in = {0}; /* until the head is complete */
	char bytes[4096];
	ssize_t n;

	memset(out, 0, sizeof(*out));
	while ((n = recv(fd, bytes, sizeof(bytes), 0)) > 0) {
		struct buf *to = out->head[0] == '\0' ? &in : &out->body;

		ck_assert_int_eq(append_buf(to, bytes, (size_t)n), 0);
		if (to == &in)
			split_reply(&in, out);
		if (out->head[0] != '\0' && is_reply_complete(out))
			break;
	}
	out->closed = n <= 0;
	if (out->head[0] != '\0')
		out->status = atoi(out->head + 9);
	unload_buf(&in);
}

bool
has_header(const struct test_reply *r, const char *line)
{
	return strstr(r->head, line) != NULL;
}

/* Takes the head, once it is complete, and the begin of the body out of in. */
static void
split_reply(const struct buf *in, struct test_reply *out)
{
	const char *end = strstr(in->data, "\r\n\r\n");
	size_t head;

	if (end == NULL)
		return;
	head = (size_t)(end - in->data) + 4;
	snprintf(out->head, sizeof(out->head), "%.*s", (int)head, in->data);
	ck_assert_int_eq(
	    append_buf(&out->body, in->data + head, in->len - head), 0);
}

static bool
is_reply_complete(const struct test_reply *r)
{
	const char *p = strstr(r->head, "Content-Length: ");
	int status = atoi(r->head + 9);

	if (status == 204 || status == 304)
		return true;
	return p != NULL && r->body.len >= strtoul(p + 16, NULL, 10);
}

static void
send_all(int fd, const void *data, size_t len)
{
	size_t at = 0;

	while (at < len) {
		ssize_t n =
		    send(fd, (const char *)data + at, len - at, MSG_NOSIGNAL);

		if (n <= 0)
			return; /* the caller checks the answer */
		at += (size_t)n;
	}
}

static void
wait_ready(struct fixture *r, int i)
{
	struct test_reply reply;

	for (int k = 0; k < 200; k++) {
		send_test_call(r->ready[i], "GET", "/ready", "q", "",
		    make_str(""), &reply);
		unload_reply(&reply);
		if (reply.status == 200)
			return;
		usleep(10000);
	}
	ck_abort_msg("node %d is not ready", i);
}

/* Waits until the node, which has started before its server's report, uses it. */
static void
wait_in_use(struct fixture *r, int i)
{
	struct test_reply reply;
	bool used = false;

	for (int k = 0; k < 200 && !used; k++) {
		send_test_call(r->metrics[i], "GET", "/metrics", "q", "",
		    make_str(""), &reply);
		ck_assert_int_eq(append_buf(&reply.body, "", 1), 0);
		used = strstr(reply.body.data, "\nggs_node_backend_state 1") !=
		       NULL;
		unload_reply(&reply);
		if (!used)
			usleep(10000);
	}
	ck_assert_msg(used, "node %d does not use its server", i);
}

/* Parses "/report/INSTANCE/STATE/SEQ/START_MS"; reports 4 slots. */
static int
read_report(const struct http_head *head, struct str body,
    struct backend_report *out, struct fault *f)
{
	char path[128], state[16];
	unsigned long long seq;
	long long start_ms;

	(void)body;
	if (copy_str(path, sizeof(path), head->target) != 0 ||
	    strncmp(path, REPORT_PREFIX, strlen(REPORT_PREFIX)) != 0)
		return ERR_NOT_FOUND;
	if (sscanf(path + strlen(REPORT_PREFIX), "%64[^/]/%15[^/]/%llu/%lld",
		out->id, state, &seq, &start_ms) != 4)
		return set_fault(f, ERR_INVALID, "bad report");
	if (strcmp(out->id, HOLD_INSTANCE) == 0) {
		sem_post(&held);
		sem_wait(&released);
		return set_fault(f, ERR_INVALID, "held");
	}
	/* An instance such as "i-1.v2" has a version. */
	if (strchr(out->id, '.') != NULL)
		(void)copy_str(out->version, sizeof(out->version),
		    make_str(strchr(out->id, '.') + 1));
	out->slots = 4;
	out->seq = seq;
	out->start_ms = start_ms;
	out->state = strcmp(state, "ready") == 0   ? REPORT_READY :
		     strcmp(state, "leaving") == 0 ? REPORT_DRAINING :
						     REPORT_GONE;
	return 0;
}

static bool
is_readiness_check(const struct http_head *head)
{
	return is_str_equal(head->target, make_str("/ready"));
}

int64_t
read_test_clock(void)
{
	struct clock_source c = get_real_clock();

	return read_mono(&c);
}
