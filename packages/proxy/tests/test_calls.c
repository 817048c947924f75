/*
 * Tests of the stages of a call: callers that disconnect, deadlines in each
 * stage, a table switch, drain, the body memory budget and refusals by the
 * listener.
 */
#include <check.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy_fixture.h"

#define BIG_BYTES (900 * 1024) /* within row "big", above a small budget */

/* A call made by another thread. */
struct caller {
	pthread_t thread;
	struct proxy_fixture *fx;
	const char *kind;
	const char *more;
	struct fake_reply reply;
};

struct expected_count {
	struct proxy_fixture *fx;
	int (*count)(struct fake_backend *b);
	int want;
};

static void start_caller(struct caller *c, struct proxy_fixture *fx,
    const char *kind, const char *more);
static void join_caller(struct caller *c);
static void *run_caller(void *arg);
static bool has_count(void *arg);
static void expect_count(
    struct proxy_fixture *fx, int (*count)(struct fake_backend *b), int want);
static bool has_queued(void *arg);
static void expect_queued(struct proxy_fixture *fx, int want);
static int open_call(
    struct proxy_fixture *fx, const char *kind, size_t body_len);
static void *drain_node(void *arg);
static bool is_draining(void *arg);
static bool has_no_table_refs(void *arg);
static bool has_disconnect_event(void *arg);
static bool has_body_wait_event(void *arg);
static void get_status(struct proxy_fixture *fx, char *out, size_t size);
static int count_events(struct proxy_fixture *fx, const char *kind);
static bool is_idle(void *arg);
static bool has_buffered_body(void *arg);

/* Guards against work that continues after its caller has disconnected. */
START_TEST(caller_disconnect_while_running_cancels_downstream)
{
	struct proxy_fixture_config cfg = {.nodes = 1, .entry = _i == 1};
	struct proxy_fixture fx;
	int fd;

	open_proxy_fixture(&fx, &cfg);
	set_fake_mode(fx.backends[0], FAKE_BLOCKED, 1);
	fd = open_call(&fx, "read", 0);
	expect_count(&fx, count_fake_arrivals, 1);
	close(fd);
	expect_count(&fx, count_fake_disconnects, 1);
	ck_assert_int_eq(count_fake_runs(fx.backends[0]), 0);
	ck_assert(wait_fake(is_idle, &fx));
	close_proxy_fixture(&fx);
}
END_TEST

/* Guards against a queued call that runs after its caller has disconnected. */
START_TEST(caller_disconnect_while_queued_does_not_run)
{
	struct proxy_fixture_config cfg = {.nodes = 1, .slots = 1};
	struct caller busy;
	struct proxy_fixture fx;
	int fd;

	open_proxy_fixture(&fx, &cfg);
	set_fake_mode(fx.backends[0], FAKE_BLOCKED, 1);
	start_caller(&busy, &fx, "read", NULL);
	expect_count(&fx, count_fake_arrivals, 1);
	fd = open_call(&fx, "read", 0);
	expect_queued(&fx, 1);
	close(fd);
	ck_assert(wait_fake(has_disconnect_event, &fx));
	release_fake_blocked(fx.backends[0]);
	join_caller(&busy);
	ck_assert_int_eq(busy.reply.status, 200);
	ck_assert(wait_fake(is_idle, &fx));
	ck_assert_int_eq(count_fake_arrivals(fx.backends[0]), 1);
	close_proxy_fixture(&fx);
}
END_TEST

/*
 * Guards against a call whose deadline passes in the queue and that still runs
 * or is reported with a wrong outcome.
 */
START_TEST(deadline_in_the_queue_is_not_run)
{
	struct proxy_fixture_config cfg = {
	    .nodes = 1, .slots = 1, .entry = _i == 1};
	struct caller busy;
	struct fake_reply r;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	set_fake_mode(fx.backends[0], FAKE_BLOCKED, 1);
	start_caller(&busy, &fx, "read", NULL);
	expect_count(&fx, count_fake_arrivals, 1);
	call_proxy_fixture(&fx, "read", "X-Ggs-Deadline-Ms: 300\n", &r);
	/*
	 * The serving node's refusal and the entry node's own deadline fall
	 * within a few ms of each other. Without the refusal the entry node
	 * must report the outcome as unknown.
	 */
	if (_i == 0 || r.status != 504) {
		ck_assert_int_eq(r.status, 503);
		ck_assert_str_eq(r.outcome, "not-run");
	} else {
		ck_assert_str_eq(r.outcome, "unknown");
	}
	release_fake_blocked(fx.backends[0]);
	join_caller(&busy);
	ck_assert_int_eq(busy.reply.status, 200);
	ck_assert_int_eq(count_fake_arrivals(fx.backends[0]), 1);
	close_proxy_fixture(&fx);
}
END_TEST

/*
 * Guards against a table whose accounts this data path ignores: it reads no
 * keys, so no call of the table may run.
 */
START_TEST(table_with_accounts_is_refused)
{
	struct proxy_fixture_config cfg = {.nodes = 1,
	    .table = "kind,service,rank,weight,floor_pct,limit_pct,target_ms,"
		     "deadline_ms,queue_max,retries,retry_pct,hedge_ms,repeat,"
		     "keep_s,body_max_kb,drain_s\n"
		     "read,svc,1,10,0,100,500,2000,100,1,10,0,yes,0,16,10\n"
		     "account.name\nacme\n"};
	struct fake_reply r;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	call_proxy_fixture(&fx, "read", "", &r);
	ck_assert_int_eq(r.status, 503);
	ck_assert_str_eq(r.outcome, "not-run");
	ck_assert_str_eq(r.reason, "accounts");
	ck_assert_int_eq(count_fake_arrivals(fx.backends[0]), 0);
	close_proxy_fixture(&fx);
}
END_TEST

/* Guards against a call that runs although its upload passed the deadline. */
START_TEST(deadline_in_the_upload_is_not_run)
{
	struct proxy_fixture_config cfg = {.nodes = 1};
	struct fake_reply r;
	struct proxy_fixture fx;
	const char head[] =
	    "POST /x HTTP/1.1\r\nHost: t\r\nX-Ggs-Kind: read\r\n"
	    "X-Ggs-Deadline-Ms: 100\r\nContent-Length: 4\r\n"
	    "\r\nab";
	int fd;

	open_proxy_fixture(&fx, &cfg);
	fd = connect_fake(fx.port);
	send_fake(fd, head, strlen(head));
	usleep(200000); /* past the request's deadline */
	send_fake(fd, "cd", 2);
	read_fake_reply(fd, &r);
	close(fd);
	ck_assert_int_eq(r.status, 503);
	ck_assert_str_eq(r.outcome, "not-run");
	ck_assert_str_eq(r.reason, "deadline");
	ck_assert_int_eq(count_fake_arrivals(fx.backends[0]), 0);
	close_proxy_fixture(&fx);
}
END_TEST

/* Guards against a call that switches to another table version in flight. */
START_TEST(table_switch_keeps_the_version_of_a_call)
{
	struct proxy_fixture_config cfg = {.nodes = 1, .entry = true};
	struct caller c;
	struct fake_reply r;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	set_fake_mode(fx.backends[0], FAKE_BLOCKED, 1);
	start_caller(&c, &fx, "read", NULL);
	expect_count(&fx, count_fake_arrivals, 1);
	set_fake_table(fx.agent,
	    TABLE_HEAD "other,svc,3,10,0,100,500,20000,100,0,50,0,yes,0,64,5\n",
	    2);
	call_proxy_fixture(&fx, "other", NULL, &r);
	ck_assert_int_eq(r.status, 200);
	call_proxy_fixture(&fx, "read", NULL, &r);
	ck_assert_int_eq(r.status, 404);
	release_fake_blocked(fx.backends[0]);
	join_caller(&c);
	ck_assert_int_eq(c.reply.status, 200);
	ck_assert(wait_fake(has_no_table_refs, &fx));
	close_proxy_fixture(&fx);
}
END_TEST

/* Guards against a drain that ends accepted calls or accepts new ones. */
START_TEST(drain_interrupts_no_call)
{
	struct proxy_fixture_config cfg = {.nodes = 1, .slots = 1};
	struct caller running, queued;
	struct fake_reply r;
	struct proxy_fixture fx;
	pthread_t t;
	void *rc;

	open_proxy_fixture(&fx, &cfg);
	set_fake_mode(fx.backends[0], FAKE_BLOCKED, 2);
	start_caller(&running, &fx, "read", NULL);
	expect_count(&fx, count_fake_arrivals, 1);
	start_caller(&queued, &fx, "read", NULL);
	expect_queued(&fx, 1);
	pthread_create(&t, NULL, drain_node, fx.nodes[0]);
	ck_assert(wait_fake(is_draining, &fx));
	call_proxy_fixture(&fx, "read", NULL, &r);
	ck_assert_int_eq(r.status, 503);
	ck_assert_str_eq(r.outcome, "not-run");
	ck_assert_str_eq(r.reason, "draining");
	release_fake_blocked(fx.backends[0]);
	join_caller(&running);
	join_caller(&queued);
	ck_assert_int_eq(running.reply.status, 200);
	ck_assert_int_eq(queued.reply.status, 200);
	pthread_join(t, &rc);
	ck_assert(rc == NULL);
	ck_assert_int_eq(get_fake_state(fx.agent), WIRE_ENDPOINT_DRAINING);
	close_proxy_fixture(&fx);
}
END_TEST

/* Guards against a drain that waits for a call beyond its row's drain_s. */
START_TEST(drain_ends_calls_at_their_rows_limit)
{
	struct proxy_fixture_config cfg = {.nodes = 1};
	struct caller c;
	struct proxy_fixture fx;
	pthread_t t;
	void *rc;

	open_proxy_fixture(&fx, &cfg);
	set_fake_mode(fx.backends[0], FAKE_BLOCKED, 1);
	start_caller(&c, &fx, "slow", NULL);
	expect_count(&fx, count_fake_arrivals, 1);
	pthread_create(&t, NULL, drain_node, fx.nodes[0]);
	join_caller(&c);
	ck_assert_int_eq(c.reply.status, 504);
	ck_assert_str_eq(c.reply.outcome, "unknown");
	pthread_join(t, &rc);
	ck_assert(rc == NULL); /* the drain did not time out */
	close_proxy_fixture(&fx);
}
END_TEST

/* Guards against a stop that hangs or leaves a caller waiting. */
START_TEST(stop_answers_every_call)
{
	struct proxy_fixture_config cfg = {.nodes = 1, .slots = 1};
	struct caller c[4];
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	set_fake_mode(fx.backends[0], FAKE_BLOCKED, 4);
	for (int i = 0; i < 4; i++)
		start_caller(&c[i], &fx, "read", NULL);
	expect_queued(&fx, 3);
	stop_proxy(fx.nodes[0]);
	fx.nodes[0] = NULL;
	for (int i = 0; i < 4; i++) {
		join_caller(&c[i]);
		ck_assert(c[i].reply.status == 503 ||
			  c[i].reply.status == 504 || c[i].reply.status == 0);
	}
	close_proxy_fixture(&fx);
}
END_TEST

/*
 * Guards against an exhausted body budget that fails uploads or delays short
 * calls behind slow large ones.
 */
START_TEST(body_budget_suspends_uploads)
{
	struct proxy_fixture_config cfg = {
	    .nodes = 1, .body_memory = 1024 * 1024};
	char *body = calloc(1, BIG_BYTES);
	struct fake_reply r;
	struct proxy_fixture fx;
	int slow, next;

	open_proxy_fixture(&fx, &cfg);
	slow = open_call(&fx, "big", BIG_BYTES);
	send_fake(slow, body, 1000);
	ck_assert(wait_fake(has_buffered_body, &fx));
	next = open_call(&fx, "big", BIG_BYTES);
	send_fake(next, body, 1000);
	ck_assert(wait_fake(has_body_wait_event, &fx));
	call_proxy_fixture(&fx, "read", NULL, &r);
	ck_assert_int_eq(r.status, 200); /* short bodies use the reserve */
	send_fake(slow, body, BIG_BYTES - 1000);
	read_fake_reply(slow, &r);
	ck_assert_int_eq(r.status, 200);
	send_fake(next, body, BIG_BYTES - 1000);
	read_fake_reply(next, &r);
	ck_assert_int_eq(r.status, 200);
	close(slow);
	close(next);
	free(body);
	close_proxy_fixture(&fx);
}
END_TEST

/* Guards against a body above the row's limit that is truncated and run. */
START_TEST(long_body_is_refused)
{
	struct proxy_fixture_config cfg = {.nodes = 1};
	char *body = calloc(1, BIG_BYTES);
	struct fake_request req = {.body = body,
	    .body_len = BIG_BYTES,
	    .headers = "X-Ggs-Kind: read\n"};
	struct fake_reply r;
	struct proxy_fixture fx;
	const char chunked[] = "POST /x HTTP/1.1\r\nHost: t\r\n"
			       "X-Ggs-Kind: read\r\n"
			       "Transfer-Encoding: chunked\r\n\r\n20000\r\n";
	int fd;

	open_proxy_fixture(&fx, &cfg);
	req.port = fx.port;
	call_fake(&req, &r);
	ck_assert_int_eq(r.status, 413);
	ck_assert_str_eq(r.outcome, "not-run");
	fd = connect_fake(fx.port);
	send_fake(fd, chunked, strlen(chunked));
	send_fake(fd, body, 0x20000);
	send_fake(fd, "\r\n0\r\n\r\n", 7);
	read_fake_reply(fd, &r);
	close(fd);
	ck_assert_int_eq(r.status, 413);
	ck_assert_int_eq(count_fake_arrivals(fx.backends[0]), 0);
	free(body);
	close_proxy_fixture(&fx);
}
END_TEST

/*
 * Guards against a node with too little memory that refuses a body within its
 * row's limit with status 413, and against one event for each such call.
 */
START_TEST(body_above_the_memory_is_not_run)
{
	struct proxy_fixture_config cfg = {
	    .nodes = 1, .body_memory = BIG_BYTES / 2};
	char *body = calloc(1, BIG_BYTES);
	struct fake_request req = {.body = body,
	    .body_len = BIG_BYTES,
	    .headers = "X-Ggs-Kind: big\n"};
	const char chunked[] = "POST /x HTTP/1.1\r\nHost: t\r\n"
			       "X-Ggs-Kind: big\r\n"
			       "Transfer-Encoding: chunked\r\n\r\n80000\r\n";
	struct fake_reply r;
	struct proxy_fixture fx;
	int fd;

	open_proxy_fixture(&fx, &cfg);
	req.port = fx.port;
	for (int i = 0; i < 3; i++) {
		call_fake(&req, &r);
		ck_assert_int_eq(r.status, 503);
		ck_assert_str_eq(r.outcome, "not-run");
		ck_assert_str_eq(r.reason, "body-memory");
	}
	fd = connect_fake(fx.port);
	send_fake(fd, chunked, strlen(chunked));
	send_fake(fd, body, 0x80000);
	send_fake(fd, "\r\n0\r\n\r\n", 7);
	read_fake_reply(fd, &r);
	close(fd);
	ck_assert_int_eq(r.status, 503);
	ck_assert_str_eq(r.reason, "body-memory");
	ck_assert_int_eq(count_fake_arrivals(fx.backends[0]), 0);
	ck_assert_int_eq(
	    wait_count(
		"ggs_refused_total{kind=\"big\",reason=\"body-memory\"}", 4),
	    4);
	ck_assert_int_eq(count_events(&fx, "body-memory"), 1);
	call_proxy_fixture(&fx, "big", NULL, &r);
	ck_assert_int_eq(r.status, 200);
	set_fake_table(fx.agent,
	    TABLE_HEAD "read,svc,3,10,0,100,500,60000,100,0,50,0,yes,0,64,5\n",
	    2);
	call_proxy_fixture(&fx, "read", NULL, &r);
	ck_assert_int_eq(r.status, 200);
	ck_assert_int_eq(count_events(&fx, "body-memory"), 2);
	free(body);
	close_proxy_fixture(&fx);
}
END_TEST

/* Guards against a refusal without its reason when the queue is full. */
START_TEST(full_queue_is_refused_as_overload)
{
	struct proxy_fixture_config cfg = {.nodes = 1, .slots = 1};
	struct caller busy, queued;
	struct fake_reply r;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	set_fake_mode(fx.backends[0], FAKE_BLOCKED, 2);
	start_caller(&busy, &fx, "slow", NULL);
	expect_count(&fx, count_fake_arrivals, 1);
	start_caller(&queued, &fx, "slow", NULL);
	expect_queued(&fx, 1);
	call_proxy_fixture(&fx, "slow", NULL, &r);
	ck_assert_int_eq(r.status, 503);
	ck_assert_str_eq(r.outcome, "not-run");
	ck_assert_str_eq(r.reason, "overload");
	release_fake_blocked(fx.backends[0]);
	join_caller(&busy);
	join_caller(&queued);
	ck_assert_int_eq(queued.reply.status, 200);
	ck_assert_int_eq(
	    wait_count(
		"ggs_refused_total{kind=\"slow\",reason=\"overload\"}", 1),
	    1);
	close_proxy_fixture(&fx);
}
END_TEST

/*
 * Guards against a row without a queue that is refused although slots are free,
 * because calls of another row wait. "bulk" is slower than the target of
 * "urgent", so that only one of the four slots is lent to it.
 */
START_TEST(queue_of_another_row_does_not_block_a_free_slot)
{
	struct proxy_fixture_config cfg = {.nodes = 1,
	    .slots = 4,
	    .table = TABLE_HEAD
	    "urgent,svc,1,10,50,100,50,60000,0,0,50,0,no,60,64,5\n"
	    "bulk,svc,5,10,0,100,500,60000,100,0,50,0,yes,0,64,5\n"};
	struct caller running, queued;
	struct fake_reply r;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	set_fake_mode(fx.backends[0], FAKE_BLOCKED, 1);
	start_caller(&running, &fx, "bulk", NULL);
	expect_count(&fx, count_fake_arrivals, 1);
	usleep(200000); /* becomes the service time that admission estimates */
	release_fake_blocked(fx.backends[0]);
	join_caller(&running);
	set_fake_mode(fx.backends[0], FAKE_BLOCKED, 1);
	start_caller(&running, &fx, "bulk", NULL);
	expect_count(&fx, count_fake_arrivals, 2);
	start_caller(&queued, &fx, "bulk", NULL);
	expect_queued(&fx, 1);
	call_proxy_fixture(&fx, "urgent", "Idempotency-Key: k\n", &r);
	ck_assert_msg(r.status == 200, "status %d, %s", r.status, r.reason);
	ck_assert_str_eq(r.outcome, "ran");
	release_fake_blocked(fx.backends[0]);
	join_caller(&running);
	join_caller(&queued);
	ck_assert_int_eq(queued.reply.status, 200);
	close_proxy_fixture(&fx);
}
END_TEST

/* Guards against a claim, which costs a commit, for a call without a slot. */
START_TEST(full_row_without_a_queue_opens_no_claim)
{
	struct proxy_fixture_config cfg = {.nodes = 1,
	    .slots = 1,
	    .table = TABLE_HEAD
	    "urgent,svc,1,10,0,100,500,60000,0,0,50,0,no,60,64,5\n"
	    "bulk,svc,5,10,0,100,500,60000,100,0,50,0,yes,0,64,5\n"};
	struct caller running;
	struct fake_reply r;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	set_fake_mode(fx.backends[0], FAKE_BLOCKED, 1);
	start_caller(&running, &fx, "bulk", NULL);
	expect_count(&fx, count_fake_arrivals, 1);
	call_proxy_fixture(&fx, "urgent", "Idempotency-Key: k\n", &r);
	ck_assert_int_eq(r.status, 503);
	ck_assert_str_eq(r.reason, "overload");
	ck_assert_uint_eq(count_fake_opens(fx.agent), 0);
	release_fake_blocked(fx.backends[0]);
	join_caller(&running);
	close_proxy_fixture(&fx);
}
END_TEST

/* Guards against a node that accepts calls without a table. */
START_TEST(no_table_is_not_run)
{
	struct proxy_fixture_config cfg = {.nodes = 1};
	struct fake_reply r;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	clear_fake_table(fx.agent);
	call_proxy_fixture(&fx, "read", NULL, &r);
	ck_assert_int_eq(r.status, 503);
	ck_assert_str_eq(r.reason, "no-table");
	close_proxy_fixture(&fx);
}
END_TEST

/* Guards against a call whose depth is lost or counted twice over a hop. */
START_TEST(depth_grows_by_one_over_a_hop)
{
	struct proxy_fixture_config cfg = {.nodes = 1, .entry = true};
	struct fake_reply r;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	call_proxy_fixture(
	    &fx, "read", "X-Ggs-Depth: 5\nX-Ggs-Call-Id: abc.1\n", &r);
	ck_assert_int_eq(r.status, 200);
	ck_assert_str_eq(r.call_id, "abc.1");
	ck_assert_int_eq(get_fake_depth(fx.backends[0]), 6);
	close_proxy_fixture(&fx);
}
END_TEST

static const struct {
	const char *id; /* repeated up to len bytes; empty: no header */
	size_t len;
	bool kept; /* else the node gives the call an id of its own */
} call_ids[] = {
    {"", 0, false},
    {"a", 1, true},
    {"a", 64, true},
    {"a", 65, false},
    {"a", 129, false},
    {"a", 2000, false},
    {"a b", 3, false},
};

/*
 * Guards against an id that is shortened or empty, so that calls could not be
 * told apart: two of the same length have different ones, at the node and over a
 * hop.
 */
START_TEST(calls_have_ids_of_their_own)
{
	size_t len = call_ids[_i / 2].len;
	struct proxy_fixture_config cfg = {.nodes = 1, .entry = _i % 2 != 0};
	struct proxy_fixture fx;
	struct fake_reply r[2];
	char head[2048];

	open_proxy_fixture(&fx, &cfg);
	for (int i = 0; i < 2; i++) {
		int n = snprintf(head, sizeof(head), "X-Ggs-Call-Id: ");

		for (size_t k = 0; k < len; k++)
			head[n + (int)k] =
			    call_ids[_i / 2]
				.id[k % strlen(call_ids[_i / 2].id)];
		if (len > 0)
			head[n + (int)len - 1] = (char)('0' + i);
		snprintf(head + n + len, sizeof(head) - (size_t)n - len, "\n");
		call_proxy_fixture(&fx, "read", len > 0 ? head : NULL, &r[i]);
		ck_assert_int_eq(r[i].status, 200);
		ck_assert_str_ne(r[i].call_id, "");
		ck_assert(
		    call_ids[_i / 2].kept ==
		    (len > 0 && strncmp(r[i].call_id, head + n, len) == 0));
	}
	ck_assert_str_ne(r[0].call_id, r[1].call_id);
	close_proxy_fixture(&fx);
}
END_TEST

/* Guards against failing health checks that take out a working server. */
START_TEST(bad_health_report_does_not_override_answers)
{
	struct proxy_fixture_config cfg = {.nodes = 1};
	struct fake_reply r;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	set_fake_health(fx.backends[0], "{\"state\":\"starting\"}", 503);
	for (int i = 0; i < 30; i++) {
		call_proxy_fixture(&fx, "read", NULL, &r);
		ck_assert_int_eq(r.status, 200);
		ck_assert_int_eq(get_fake_state(fx.agent), WIRE_ENDPOINT_READY);
		usleep(100000); /* covers several health checks */
	}
	set_fake_health(fx.backends[0], "{\"state\":\"draining\"}", 503);
	ck_assert(wait_fake(is_draining, &fx));
	close_proxy_fixture(&fx);
}
END_TEST

static void
start_caller(struct caller *c, struct proxy_fixture *fx, const char *kind,
    const char *more)
{
	*c = (struct caller){.fx = fx, .kind = kind, .more = more};
	pthread_create(&c->thread, NULL, run_caller, c);
}

static void
join_caller(struct caller *c)
{
	pthread_join(c->thread, NULL);
}

static void *
run_caller(void *arg)
{
	struct caller *c = arg;

	call_proxy_fixture(c->fx, c->kind, c->more, &c->reply);
	return NULL;
}

static bool
has_count(void *arg)
{
	struct expected_count *n = arg;

	return n->count(n->fx->backends[0]) >= n->want;
}

static void
expect_count(
    struct proxy_fixture *fx, int (*count)(struct fake_backend *b), int want)
{
	struct expected_count n = {fx, count, want};

	ck_assert(wait_fake(has_count, &n));
}

static bool
has_queued(void *arg)
{
	struct expected_count *n = arg;
	char status[4096], want[32];

	get_status(n->fx, status, sizeof(status));
	snprintf(want, sizeof(want), "\"queued\":%d,", n->want);
	return strstr(status, want) != NULL;
}

static void
expect_queued(struct proxy_fixture *fx, int want)
{
	struct expected_count n = {fx, NULL, want};

	ck_assert(wait_fake(has_queued, &n));
}

/*
 * Sends the headers of a call and leaves the connection open.
 */
static int
open_call(struct proxy_fixture *fx, const char *kind, size_t body_len)
{
	char head[256];
	int fd = connect_fake(fx->port);
	int n = snprintf(head, sizeof(head),
	    "POST /x HTTP/1.1\r\nHost: t\r\nX-Ggs-Kind: %s\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    kind, body_len);

	send_fake(fd, head, (size_t)n);
	return fd;
}

static void *
drain_node(void *arg)
{
	return drain_proxy(arg) == 0 ? NULL : arg;
}

static bool
is_draining(void *arg)
{
	struct proxy_fixture *fx = arg;

	return get_fake_state(fx->agent) == WIRE_ENDPOINT_DRAINING;
}

static bool
has_no_table_refs(void *arg)
{
	struct proxy_fixture *fx = arg;

	return count_fake_table_refs(fx->agent) == 0;
}

static bool
has_disconnect_event(void *arg)
{
	return has_event(arg, "caller-gone");
}

static bool
has_body_wait_event(void *arg)
{
	return has_event(arg, "body-wait");
}

static void
get_status(struct proxy_fixture *fx, char *out, size_t size)
{
	struct buf b = {0};

	ck_assert_int_eq(render_proxy_status(fx->nodes[0], &b), 0);
	snprintf(out, size, "%s", b.data);
	unload_buf(&b);
}

static int
count_events(struct proxy_fixture *fx, const char *kind)
{
	struct buf b = {0};
	char want[64];
	int n = 0;

	snprintf(want, sizeof(want), "\"kind\":\"%s\"", kind);
	(void)render_events(fx->events, &b);
	for (const char *at = b.data; at != NULL && (at = strstr(at, want));
	     at++)
		n++;
	unload_buf(&b);
	return n;
}

static bool
is_idle(void *arg)
{
	struct proxy_fixture *fx = arg;
	char status[4096];

	get_status(fx, status, sizeof(status));
	return strstr(status, "\"active\":0") != NULL &&
	       strstr(status, "\"in_flight\":0,\"queued\":0") != NULL;
}

static bool
has_buffered_body(void *arg)
{
	char status[4096];

	get_status(arg, status, sizeof(status));
	return strstr(status, "\"body_used\":0,") == NULL;
}

int
main(void)
{
	Suite *s = suite_create("calls");
	TCase *t = tcase_create("calls");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_loop_test(
	    t, caller_disconnect_while_running_cancels_downstream, 0, 2);
	tcase_add_test(t, caller_disconnect_while_queued_does_not_run);
	tcase_add_loop_test(t, deadline_in_the_queue_is_not_run, 0, 2);
	tcase_add_test(t, deadline_in_the_upload_is_not_run);
	tcase_add_test(t, table_with_accounts_is_refused);
	tcase_add_test(t, table_switch_keeps_the_version_of_a_call);
	tcase_add_test(t, drain_interrupts_no_call);
	tcase_add_test(t, drain_ends_calls_at_their_rows_limit);
	tcase_add_test(t, stop_answers_every_call);
	tcase_add_test(t, body_budget_suspends_uploads);
	tcase_add_test(t, long_body_is_refused);
	tcase_add_test(t, body_above_the_memory_is_not_run);
	tcase_add_test(t, full_queue_is_refused_as_overload);
	tcase_add_test(t, queue_of_another_row_does_not_block_a_free_slot);
	tcase_add_test(t, full_row_without_a_queue_opens_no_claim);
	tcase_add_test(t, no_table_is_not_run);
	tcase_add_test(t, depth_grows_by_one_over_a_hop);
	tcase_add_loop_test(t, calls_have_ids_of_their_own, 0,
	    2 * sizeof(call_ids) / sizeof(call_ids[0]));
	tcase_add_test(t, bad_health_report_does_not_override_answers);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
