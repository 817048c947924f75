/*
 * The life of calls: callers that leave, deadlines in each stage, a table
 * switch, drain, the body budget and what the listeners refuse.
 */
#include <check.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "world.h"

#define BIG_BYTES (900 * 1024) /* within row "big", above a small budget */

/* A call made by another thread. */
struct caller {
	pthread_t thread;
	struct world *w;
	const char *kind;
	const char *more;
	struct fake_reply reply;
};

struct wait_count {
	struct world *w;
	int (*count)(struct fake_backend *b);
	int want;
};

static void start_caller(
    struct caller *c, struct world *w, const char *kind, const char *more);
static void join_caller(struct caller *c);
static void *run_caller(void *arg);
static bool has_count(void *arg);
static void expect_count(
    struct world *w, int (*count)(struct fake_backend *b), int want);
static bool has_queued(void *arg);
static void expect_queued(struct world *w, int want);
static int open_call(struct world *w, const char *kind, size_t body_len);
static void *drain_node(void *arg);
static bool is_draining(void *arg);
static bool has_no_table_refs(void *arg);
static bool has_gone_event(void *arg);
static bool has_wait_event(void *arg);
static void get_status(struct world *w, char *out, size_t size);
static int count_events(struct world *w, const char *kind);
static bool is_idle(void *arg);
static bool has_body(void *arg);

/* Guards against work that goes on after its caller has gone. */
START_TEST(caller_gone_while_running_cancels_downstream)
{
	struct world_config wc = {.nodes = 1, .entry = _i == 1};
	struct world w;
	int fd;

	open_world(&w, &wc);
	set_fake_mode(w.backends[0], FAKE_HELD, 1);
	fd = open_call(&w, "read", 0);
	expect_count(&w, count_fake_arrivals, 1);
	close(fd);
	expect_count(&w, count_fake_gone, 1);
	ck_assert_int_eq(count_fake_runs(w.backends[0]), 0);
	ck_assert(wait_fake(is_idle, &w));
	close_world(&w);
}
END_TEST

/* Guards against a queued call that runs although its caller has gone. */
START_TEST(caller_gone_while_queued_does_not_run)
{
	struct world_config wc = {.nodes = 1, .slots = 1};
	struct caller busy;
	struct world w;
	int fd;

	open_world(&w, &wc);
	set_fake_mode(w.backends[0], FAKE_HELD, 1);
	start_caller(&busy, &w, "read", NULL);
	expect_count(&w, count_fake_arrivals, 1);
	fd = open_call(&w, "read", 0);
	expect_queued(&w, 1);
	close(fd);
	ck_assert(wait_fake(has_gone_event, &w));
	release_fake_held(w.backends[0]);
	join_caller(&busy);
	ck_assert_int_eq(busy.reply.status, 200);
	ck_assert(wait_fake(is_idle, &w));
	ck_assert_int_eq(count_fake_arrivals(w.backends[0]), 1);
	close_world(&w);
}
END_TEST

/* Guards P5 for a deadline that passes in the queue: nothing ran. */
START_TEST(deadline_in_the_queue_is_not_run)
{
	struct world_config wc = {.nodes = 1, .slots = 1, .entry = _i == 1};
	struct caller busy;
	struct fake_reply r;
	struct world w;

	open_world(&w, &wc);
	set_fake_mode(w.backends[0], FAKE_HELD, 1);
	start_caller(&busy, &w, "read", NULL);
	expect_count(&w, count_fake_arrivals, 1);
	call_world(&w, "read", "X-Ggs-Deadline-Ms: 300\n", &r);
	/*
	 * The serving node's refusal and the entry node's own deadline are due
	 * within a few ms of each other; without the refusal the entry node
	 * can only say unknown.
	 */
	if (_i == 0 || r.status != 504) {
		ck_assert_int_eq(r.status, 503);
		ck_assert_str_eq(r.outcome, "not-run");
	} else {
		ck_assert_str_eq(r.outcome, "unknown");
	}
	release_fake_held(w.backends[0]);
	join_caller(&busy);
	ck_assert_int_eq(busy.reply.status, 200);
	ck_assert_int_eq(count_fake_arrivals(w.backends[0]), 1);
	close_world(&w);
}
END_TEST

/* Guards against an upload that outlives its deadline and still runs. */
START_TEST(deadline_in_the_upload_is_not_run)
{
	struct world_config wc = {.nodes = 1};
	struct fake_reply r;
	struct world w;
	const char head[] =
	    "POST /x HTTP/1.1\r\nHost: t\r\nX-Ggs-Kind: read\r\n"
	    "X-Ggs-Deadline-Ms: 100\r\nContent-Length: 4\r\n"
	    "\r\nab";
	int fd;

	open_world(&w, &wc);
	fd = connect_fake(w.port);
	send_fake(fd, head, strlen(head));
	usleep(200000); /* past the deadline that the request names */
	send_fake(fd, "cd", 2);
	read_fake_reply(fd, &r);
	close(fd);
	ck_assert_int_eq(r.status, 503);
	ck_assert_str_eq(r.outcome, "not-run");
	ck_assert_str_eq(r.reason, "deadline");
	ck_assert_int_eq(count_fake_arrivals(w.backends[0]), 0);
	close_world(&w);
}
END_TEST

/* Guards against a call that changes its rules in the middle. */
START_TEST(table_switch_keeps_the_version_of_a_call)
{
	struct world_config wc = {.nodes = 1, .entry = true};
	struct caller c;
	struct fake_reply r;
	struct world w;

	open_world(&w, &wc);
	set_fake_mode(w.backends[0], FAKE_HELD, 1);
	start_caller(&c, &w, "read", NULL);
	expect_count(&w, count_fake_arrivals, 1);
	set_fake_table(w.agent,
	    TABLE_HEAD "other,svc,3,10,0,100,500,20000,100,0,50,0,yes,0,64,5\n",
	    2);
	call_world(&w, "other", NULL, &r);
	ck_assert_int_eq(r.status, 200);
	call_world(&w, "read", NULL, &r);
	ck_assert_int_eq(r.status, 404);
	release_fake_held(w.backends[0]);
	join_caller(&c);
	ck_assert_int_eq(c.reply.status, 200);
	ck_assert(wait_fake(has_no_table_refs, &w));
	close_world(&w);
}
END_TEST

/* Guards P8: drain lets running and queued calls end and refuses new ones. */
START_TEST(drain_interrupts_no_call)
{
	struct world_config wc = {.nodes = 1, .slots = 1};
	struct caller running, queued;
	struct fake_reply r;
	struct world w;
	pthread_t t;
	void *rc;

	open_world(&w, &wc);
	set_fake_mode(w.backends[0], FAKE_HELD, 2);
	start_caller(&running, &w, "read", NULL);
	expect_count(&w, count_fake_arrivals, 1);
	start_caller(&queued, &w, "read", NULL);
	expect_queued(&w, 1);
	pthread_create(&t, NULL, drain_node, w.nodes[0]);
	ck_assert(wait_fake(is_draining, &w));
	call_world(&w, "read", NULL, &r);
	ck_assert_int_eq(r.status, 503);
	ck_assert_str_eq(r.outcome, "not-run");
	ck_assert_str_eq(r.reason, "draining");
	release_fake_held(w.backends[0]);
	join_caller(&running);
	join_caller(&queued);
	ck_assert_int_eq(running.reply.status, 200);
	ck_assert_int_eq(queued.reply.status, 200);
	pthread_join(t, &rc);
	ck_assert(rc == NULL);
	ck_assert_int_eq(get_fake_state(w.agent), WIRE_ENDPOINT_DRAINING);
	close_world(&w);
}
END_TEST

/* Guards against a drain that waits for a call beyond its row's drain_s. */
START_TEST(drain_ends_calls_at_their_rows_limit)
{
	struct world_config wc = {.nodes = 1};
	struct caller c;
	struct world w;
	pthread_t t;
	void *rc;

	open_world(&w, &wc);
	set_fake_mode(w.backends[0], FAKE_HELD, 1);
	start_caller(&c, &w, "slow", NULL);
	expect_count(&w, count_fake_arrivals, 1);
	pthread_create(&t, NULL, drain_node, w.nodes[0]);
	join_caller(&c);
	ck_assert_int_eq(c.reply.status, 504);
	ck_assert_str_eq(c.reply.outcome, "unknown");
	pthread_join(t, &rc);
	ck_assert(rc == NULL); /* the call ended before the drain gave up */
	close_world(&w);
}
END_TEST

/* Guards against a stop that leaves a call without an answer. */
START_TEST(stop_answers_every_call)
{
	struct world_config wc = {.nodes = 1, .slots = 1};
	struct caller c[4];
	struct world w;

	open_world(&w, &wc);
	set_fake_mode(w.backends[0], FAKE_HELD, 4);
	for (int i = 0; i < 4; i++)
		start_caller(&c[i], &w, "read", NULL);
	expect_queued(&w, 3);
	stop_proxy(w.nodes[0]);
	w.nodes[0] = NULL;
	for (int i = 0; i < 4; i++) {
		join_caller(&c[i]);
		ck_assert(c[i].reply.status == 503 ||
			  c[i].reply.status == 504 || c[i].reply.status == 0);
	}
	close_world(&w);
}
END_TEST

/*
 * Guards against a used-up body budget that cuts uploads, or holds up short
 * calls behind slow large ones.
 */
START_TEST(body_budget_holds_back_uploads)
{
	struct world_config wc = {.nodes = 1, .body_memory = 1024 * 1024};
	char *body = calloc(1, BIG_BYTES);
	struct fake_reply r;
	struct world w;
	int slow, next;

	open_world(&w, &wc);
	slow = open_call(&w, "big", BIG_BYTES);
	send_fake(slow, body, 1000);
	ck_assert(wait_fake(has_body, &w));
	next = open_call(&w, "big", BIG_BYTES);
	send_fake(next, body, 1000);
	ck_assert(wait_fake(has_wait_event, &w));
	call_world(&w, "read", NULL, &r);
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
	close_world(&w);
}
END_TEST

/* Guards against a body above the row's limit that is cut and run. */
START_TEST(long_body_is_refused)
{
	struct world_config wc = {.nodes = 1};
	char *body = calloc(1, BIG_BYTES);
	struct fake_request req = {.body = body,
	    .body_len = BIG_BYTES,
	    .headers = "X-Ggs-Kind: read\n"};
	struct fake_reply r;
	struct world w;
	const char chunked[] = "POST /x HTTP/1.1\r\nHost: t\r\n"
			       "X-Ggs-Kind: read\r\n"
			       "Transfer-Encoding: chunked\r\n\r\n20000\r\n";
	int fd;

	open_world(&w, &wc);
	req.port = w.port;
	call_fake(&req, &r);
	ck_assert_int_eq(r.status, 413);
	ck_assert_str_eq(r.outcome, "not-run");
	fd = connect_fake(w.port);
	send_fake(fd, chunked, strlen(chunked));
	send_fake(fd, body, 0x20000);
	send_fake(fd, "\r\n0\r\n\r\n", 7);
	read_fake_reply(fd, &r);
	close(fd);
	ck_assert_int_eq(r.status, 413);
	ck_assert_int_eq(count_fake_arrivals(w.backends[0]), 0);
	free(body);
	close_world(&w);
}
END_TEST

/*
 * Guards against a body within its row's limit that a node with less memory
 * refuses as if the row forbade it, and against a log line for each call.
 */
START_TEST(body_above_the_memory_is_not_run)
{
	struct world_config wc = {.nodes = 1, .body_memory = BIG_BYTES / 2};
	char *body = calloc(1, BIG_BYTES);
	struct fake_request req = {.body = body,
	    .body_len = BIG_BYTES,
	    .headers = "X-Ggs-Kind: big\n"};
	const char chunked[] = "POST /x HTTP/1.1\r\nHost: t\r\n"
			       "X-Ggs-Kind: big\r\n"
			       "Transfer-Encoding: chunked\r\n\r\n80000\r\n";
	struct fake_reply r;
	struct world w;
	int fd;

	open_world(&w, &wc);
	req.port = w.port;
	for (int i = 0; i < 3; i++) {
		call_fake(&req, &r);
		ck_assert_int_eq(r.status, 503);
		ck_assert_str_eq(r.outcome, "not-run");
		ck_assert_str_eq(r.reason, "body-memory");
	}
	fd = connect_fake(w.port);
	send_fake(fd, chunked, strlen(chunked));
	send_fake(fd, body, 0x80000);
	send_fake(fd, "\r\n0\r\n\r\n", 7);
	read_fake_reply(fd, &r);
	close(fd);
	ck_assert_int_eq(r.status, 503);
	ck_assert_str_eq(r.reason, "body-memory");
	ck_assert_int_eq(count_fake_arrivals(w.backends[0]), 0);
	ck_assert_int_eq(
	    wait_count(
		"ggs_refused_total{kind=\"big\",reason=\"body-memory\"}", 4),
	    4);
	ck_assert_int_eq(count_events(&w, "body-memory"), 1);
	call_world(&w, "big", NULL, &r);
	ck_assert_int_eq(r.status, 200);
	set_fake_table(w.agent,
	    TABLE_HEAD "read,svc,3,10,0,100,500,60000,100,0,50,0,yes,0,64,5\n",
	    2);
	call_world(&w, "read", NULL, &r);
	ck_assert_int_eq(r.status, 200);
	ck_assert_int_eq(count_events(&w, "body-memory"), 2);
	free(body);
	close_world(&w);
}
END_TEST

/* Guards against refusals that do not say why. */
START_TEST(full_queue_is_refused_as_overload)
{
	struct world_config wc = {.nodes = 1, .slots = 1};
	struct caller busy, queued;
	struct fake_reply r;
	struct world w;

	open_world(&w, &wc);
	set_fake_mode(w.backends[0], FAKE_HELD, 2);
	start_caller(&busy, &w, "slow", NULL);
	expect_count(&w, count_fake_arrivals, 1);
	start_caller(&queued, &w, "slow", NULL);
	expect_queued(&w, 1);
	call_world(&w, "slow", NULL, &r);
	ck_assert_int_eq(r.status, 503);
	ck_assert_str_eq(r.outcome, "not-run");
	ck_assert_str_eq(r.reason, "overload");
	release_fake_held(w.backends[0]);
	join_caller(&busy);
	join_caller(&queued);
	ck_assert_int_eq(queued.reply.status, 200);
	ck_assert_int_eq(
	    wait_count(
		"ggs_refused_total{kind=\"slow\",reason=\"overload\"}", 1),
	    1);
	close_world(&w);
}
END_TEST

/*
 * Guards against a row without a queue that is refused beside free slots
 * because calls of another row wait: "bulk" is slower than the target of
 * "urgent", so only one of the four slots is lent to it.
 */
START_TEST(other_rows_queue_does_not_refuse_a_free_slot)
{
	struct world_config wc = {.nodes = 1,
	    .slots = 4,
	    .table = TABLE_HEAD
	    "urgent,svc,1,10,50,100,50,60000,0,0,50,0,no,60,64,5\n"
	    "bulk,svc,5,10,0,100,500,60000,100,0,50,0,yes,0,64,5\n"};
	struct caller running, queued;
	struct fake_reply r;
	struct world w;

	open_world(&w, &wc);
	set_fake_mode(w.backends[0], FAKE_HELD, 1);
	start_caller(&running, &w, "bulk", NULL);
	expect_count(&w, count_fake_arrivals, 1);
	usleep(200000); /* the service time that admission learns */
	release_fake_held(w.backends[0]);
	join_caller(&running);
	set_fake_mode(w.backends[0], FAKE_HELD, 1);
	start_caller(&running, &w, "bulk", NULL);
	expect_count(&w, count_fake_arrivals, 2);
	start_caller(&queued, &w, "bulk", NULL);
	expect_queued(&w, 1);
	call_world(&w, "urgent", "Idempotency-Key: k\n", &r);
	ck_assert_msg(r.status == 200, "status %d, %s", r.status, r.reason);
	ck_assert_str_eq(r.outcome, "ran");
	release_fake_held(w.backends[0]);
	join_caller(&running);
	join_caller(&queued);
	ck_assert_int_eq(queued.reply.status, 200);
	close_world(&w);
}
END_TEST

/* Guards against a claim, which costs a commit, for a call without a slot. */
START_TEST(full_row_without_a_queue_opens_no_claim)
{
	struct world_config wc = {.nodes = 1,
	    .slots = 1,
	    .table = TABLE_HEAD
	    "urgent,svc,1,10,0,100,500,60000,0,0,50,0,no,60,64,5\n"
	    "bulk,svc,5,10,0,100,500,60000,100,0,50,0,yes,0,64,5\n"};
	struct caller running;
	struct fake_reply r;
	struct world w;

	open_world(&w, &wc);
	set_fake_mode(w.backends[0], FAKE_HELD, 1);
	start_caller(&running, &w, "bulk", NULL);
	expect_count(&w, count_fake_arrivals, 1);
	call_world(&w, "urgent", "Idempotency-Key: k\n", &r);
	ck_assert_int_eq(r.status, 503);
	ck_assert_str_eq(r.reason, "overload");
	ck_assert_uint_eq(count_fake_opens(w.agent), 0);
	release_fake_held(w.backends[0]);
	join_caller(&running);
	close_world(&w);
}
END_TEST

/* Guards against a node without a table that lets calls through. */
START_TEST(no_table_is_not_run)
{
	struct world_config wc = {.nodes = 1};
	struct fake_reply r;
	struct world w;

	open_world(&w, &wc);
	clear_fake_table(w.agent);
	call_world(&w, "read", NULL, &r);
	ck_assert_int_eq(r.status, 503);
	ck_assert_str_eq(r.reason, "no-table");
	close_world(&w);
}
END_TEST

/* Guards against a chain that loses its depth on the way. */
START_TEST(depth_grows_by_one_over_a_hop)
{
	struct world_config wc = {.nodes = 1, .entry = true};
	struct fake_reply r;
	struct world w;

	open_world(&w, &wc);
	call_world(&w, "read", "X-Ggs-Depth: 5\nX-Ggs-Call-Id: abc.1\n", &r);
	ck_assert_int_eq(r.status, 200);
	ck_assert_str_eq(r.call_id, "abc.1");
	ck_assert_int_eq(get_fake_depth(w.backends[0]), 6);
	close_world(&w);
}
END_TEST

/* Guards against a health report that takes a working server out. */
START_TEST(bad_report_does_not_outweigh_answers)
{
	struct world_config wc = {.nodes = 1};
	struct fake_reply r;
	struct world w;

	open_world(&w, &wc);
	set_fake_health(w.backends[0], "{\"state\":\"starting\"}", 503);
	for (int i = 0; i < 30; i++) {
		call_world(&w, "read", NULL, &r);
		ck_assert_int_eq(r.status, 200);
		ck_assert_int_eq(get_fake_state(w.agent), WIRE_ENDPOINT_READY);
		usleep(100000); /* several checks pass meanwhile */
	}
	set_fake_health(w.backends[0], "{\"state\":\"draining\"}", 503);
	ck_assert(wait_fake(is_draining, &w));
	close_world(&w);
}
END_TEST

static void
start_caller(
    struct caller *c, struct world *w, const char *kind, const char *more)
{
	*c = (struct caller){.w = w, .kind = kind, .more = more};
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

	call_world(c->w, c->kind, c->more, &c->reply);
	return NULL;
}

static bool
has_count(void *arg)
{
	struct wait_count *n = arg;

	return n->count(n->w->backends[0]) >= n->want;
}

static void
expect_count(struct world *w, int (*count)(struct fake_backend *b), int want)
{
	struct wait_count n = {w, count, want};

	ck_assert(wait_fake(has_count, &n));
}

static bool
has_queued(void *arg)
{
	struct wait_count *n = arg;
	char status[4096], want[32];

	get_status(n->w, status, sizeof(status));
	snprintf(want, sizeof(want), "\"queued\":%d,", n->want);
	return strstr(status, want) != NULL;
}

static void
expect_queued(struct world *w, int want)
{
	struct wait_count n = {w, NULL, want};

	ck_assert(wait_fake(has_queued, &n));
}

/*
 * Sends the headers of a call and leaves the connection open.
 */
static int
open_call(struct world *w, const char *kind, size_t body_len)
{
	char head[256];
	int fd = connect_fake(w->port);
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
	struct world *w = arg;

	return get_fake_state(w->agent) == WIRE_ENDPOINT_DRAINING;
}

static bool
has_no_table_refs(void *arg)
{
	struct world *w = arg;

	return count_fake_tables(w->agent) == 0;
}

static bool
has_gone_event(void *arg)
{
	return has_event(arg, "caller-gone");
}

static bool
has_wait_event(void *arg)
{
	return has_event(arg, "body-wait");
}

static void
get_status(struct world *w, char *out, size_t size)
{
	struct buf b = {0};

	ck_assert_int_eq(render_proxy_status(w->nodes[0], &b), 0);
	snprintf(out, size, "%s", b.data);
	unload_buf(&b);
}

static int
count_events(struct world *w, const char *kind)
{
	struct buf b = {0};
	char want[64];
	int n = 0;

	snprintf(want, sizeof(want), "\"kind\":\"%s\"", kind);
	(void)render_events(w->events, &b);
	for (const char *at = b.data; at != NULL && (at = strstr(at, want));
	     at++)
		n++;
	unload_buf(&b);
	return n;
}

static bool
is_idle(void *arg)
{
	struct world *w = arg;
	char status[4096];

	get_status(w, status, sizeof(status));
	return strstr(status, "\"active\":0") != NULL &&
	       strstr(status, "\"in_flight\":0,\"queued\":0") != NULL;
}

static bool
has_body(void *arg)
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
	    t, caller_gone_while_running_cancels_downstream, 0, 2);
	tcase_add_test(t, caller_gone_while_queued_does_not_run);
	tcase_add_loop_test(t, deadline_in_the_queue_is_not_run, 0, 2);
	tcase_add_test(t, deadline_in_the_upload_is_not_run);
	tcase_add_test(t, table_switch_keeps_the_version_of_a_call);
	tcase_add_test(t, drain_interrupts_no_call);
	tcase_add_test(t, drain_ends_calls_at_their_rows_limit);
	tcase_add_test(t, stop_answers_every_call);
	tcase_add_test(t, body_budget_holds_back_uploads);
	tcase_add_test(t, long_body_is_refused);
	tcase_add_test(t, body_above_the_memory_is_not_run);
	tcase_add_test(t, full_queue_is_refused_as_overload);
	tcase_add_test(t, other_rows_queue_does_not_refuse_a_free_slot);
	tcase_add_test(t, full_row_without_a_queue_opens_no_claim);
	tcase_add_test(t, no_table_is_not_run);
	tcase_add_test(t, depth_grows_by_one_over_a_hop);
	tcase_add_test(t, bad_report_does_not_outweigh_answers);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
