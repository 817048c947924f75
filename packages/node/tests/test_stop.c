/*
 * Planned stops of a node: what callers receive whose requests run, wait or
 * arrive meanwhile.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node_fixture.h"
#include "relay.h"

#define SLOTS 8 /* of both servers of "svc" */
#define WAITING_MAX 4
#define POLLS_MAX 300 /* of 10 ms */

/* Calls that outlast every stop; /order/ must not repeat, /report/ may. */
static const char long_rows[] =
    "order,svc,1,10,0,100,10000,20000,100,1,10,0,no,0,64,30,test.example,"
    "/order/,,4,1000,20000\n"
    "report,svc,1,10,0,100,10000,20000,100,1,10,0,yes,0,64,30,test.example,"
    "/report/,,4,1000,20000\n";

static struct fixture fixture;

/* Longer than a slow machine takes for a large answer. */
#define LONG_STOP_NS (30 * NSEC_PER_SEC)

static void
open_nodes_with_long_stop(void)
{
	open_fixture_with_stop(&fixture, 3, LONG_STOP_NS);
	set_fixture_table(&fixture, 2, long_rows);
	usleep(50000);
}

static void
open_nodes(void)
{
	open_fixture(&fixture, 3);
	set_fixture_table(&fixture, 2, long_rows);
	usleep(50000);
}

static void
close_nodes(void)
{
	close_fixture(&fixture);
}

static int
count_requests(void)
{
	return count_fake_requests(fixture.servers[0]) +
	       count_fake_requests(fixture.servers[1]);
}

/* Drains and stops the node at index *arg, as a process does on SIGTERM. */
static void *
stop_entry(void *arg)
{
	int i = *(int *)arg;

	drain_node(fixture.nodes[i]);
	stop_fixture_node(&fixture, i);
	return NULL;
}

static int
start_call(int node, const char *path, const char *id, size_t body)
{
	int fd = connect_test_client(fixture.calls[node]);
	struct buf b = {0};

	ck_assert_int_ge(fd, 0);
	append_buf_fmt(&b,
	    "POST %s HTTP/1.1\r\nHost: test.example\r\nCall-Id: %s\r\n"
	    "Content-Length: %zu\r\n\r\n%.*s",
	    path, id, body, (int)body,
	    "a body that is sent with the call or after a slot was granted");
	ck_assert_int_eq(send(fd, b.data, b.len, 0), (ssize_t)b.len);
	unload_buf(&b);
	return fd;
}

struct stop_case {
	const char *what;
	int entry; /* the node that stops */
	const char *running; /* path of the calls that take all slots */
	const char *waiting; /* path of those that wait for one */
	bool may_run; /* one that waits may have run, for all the node knows */
};

static const struct stop_case stop_cases[] = {
    {"queued at other nodes", 2, "/order/silent", "/order/ok", false},
    {"queued at its own server", 0, "/order/silent", "/order/ok", false},
    {"queued with their bodies", 2, "/order/silent", "/report/ok", true},
    {"may repeat, queued here", 0, "/report/silent", "/report/ok", true},
};

/*
 * Guards against a stop that closes the connections of requests that it has
 * read and not passed on, as review/5 showed.
 */
START_TEST(stop_answers_requests_that_wait_for_a_slot)
{
	const struct stop_case *c = &stop_cases[_i];
	int running[SLOTS], waiting[WAITING_MAX], entry = c->entry;
	struct test_reply reply;
	pthread_t t;
	char id[24];

	for (int i = 0; i < SLOTS; i++) {
		snprintf(id, sizeof(id), "running-%d", i);
		running[i] = start_call(c->entry, c->running, id, 20);
	}
	for (int k = 0; k < POLLS_MAX && count_requests() < SLOTS; k++)
		usleep(10000);
	ck_assert_int_eq(count_requests(), SLOTS);
	for (int i = 0; i < WAITING_MAX; i++) {
		snprintf(id, sizeof(id), "waiting-%d", i);
		waiting[i] = start_call(c->entry, c->waiting, id, 20);
	}
	usleep(100000);
	ck_assert_int_eq(pthread_create(&t, NULL, stop_entry, &entry), 0);
	for (int i = 0; i < WAITING_MAX; i++) {
		read_test_reply(waiting[i], &reply);
		ck_assert_msg(!reply.closed, "%s: call %d", c->what, i);
		if (!c->may_run)
			ck_assert_int_eq(reply.status, 503);
		ck_assert(has_header(&reply, "Connection: close"));
		unload_reply(&reply);
		close(waiting[i]);
	}
	for (int i = 0; i < SLOTS; i++) {
		/* It may have run, so 503 would be wrong. */
		read_test_reply(running[i], &reply);
		ck_assert_msg(reply.status == 502 || reply.status == 504,
		    "%s: running call %d got %d", c->what, i, reply.status);
		unload_reply(&reply);
		close(running[i]);
	}
	pthread_join(t, NULL);
	for (int i = 0; i < WAITING_MAX; i++) {
		snprintf(id, sizeof(id), "waiting-%d", i);
		ck_assert_int_eq(count_fixture_runs(&fixture, id), 0);
	}
}
END_TEST

/*
 * Guards against losing requests that are read behind one that runs and that
 * must not run before it is answered.
 */
START_TEST(stop_answers_requests_held_behind_others)
{
	struct buf b = {0}, in = {0};
	int fd, entry = 2;
	pthread_t t;

	append_buf_fmt(&b,
	    "GET /order/silent HTTP/1.1\r\nHost: test.example\r\n"
	    "Call-Id: first\r\n\r\n"
	    "POST /order/ok HTTP/1.1\r\nHost: test.example\r\n"
	    "Call-Id: held\r\nContent-Length: 0\r\n\r\n");
	fd = connect_test_client(fixture.calls[2]);
	ck_assert_int_eq(send(fd, b.data, b.len, 0), (ssize_t)b.len);
	usleep(100000);
	ck_assert_int_eq(pthread_create(&t, NULL, stop_entry, &entry), 0);
	for (;;) {
		char bytes[4096];
		ssize_t n = recv(fd, bytes, sizeof(bytes), 0);

		if (n <= 0)
			break;
		append_buf(&in, bytes, (size_t)n);
	}
	pthread_join(t, NULL);
	ck_assert_uint_gt(in.len, 0);
	ck_assert_ptr_nonnull(strstr(in.data, "Call-Id: first\r\n"));
	ck_assert_ptr_nonnull(strstr(in.data, "HTTP/1.1 503"));
	ck_assert_ptr_nonnull(strstr(in.data, "Call-Id: held\r\n"));
	ck_assert_int_eq(count_fixture_runs(&fixture, "held"), 0);
	unload_buf(&b);
	unload_buf(&in);
	close(fd);
}
END_TEST

/*
 * Guards against a stop that takes longer than it may while callers go on to
 * open connections and send calls, and against cutting one of these calls.
 */
START_TEST(stop_ends_in_time_under_steady_calls)
{
	int64_t start = read_test_clock(), end;
	struct test_reply reply;
	int entry = 0, sent = 0;
	pthread_t t;

	ck_assert_int_eq(pthread_create(&t, NULL, stop_entry, &entry), 0);
	end = start + fixture.stop_ns + 2 * NSEC_PER_SEC;
	while (read_test_clock() < end) {
		int fd = connect_test_client(fixture.calls[0]);
		char text[128];
		int len;

		if (fd < 0)
			break;
		len = snprintf(text, sizeof(text),
		    "GET /read/ok HTTP/1.1\r\nHost: test.example\r\n"
		    "Call-Id: steady-%d\r\n\r\n",
		    sent);
		if (send(fd, text, (size_t)len, MSG_NOSIGNAL) == len) {
			read_test_reply(fd, &reply);
			snprintf(text, sizeof(text), "steady-%d", sent);
			ck_assert_msg(!reply.closed || count_fixture_runs(
							   &fixture, text) == 0,
			    "%s ran and got no answer", text);
			unload_reply(&reply);
			sent++;
		}
		close(fd);
	}
	ck_assert_int_gt(sent, 10);
	ck_assert_int_lt(read_test_clock(), end);
	pthread_join(t, NULL);
}
END_TEST

struct slow_case {
	const char *what;
	int stops; /* node that stops */
	bool link; /* the link between the nodes is slow, else the caller */
};

static const struct slow_case slow_cases[] = {
    {"caller of its own server", 0, false},
    {"caller, server at another node", 2, false},
    {"link to the entry node", 1, true},
};

/*
 * Guards against a stop that cuts an answer that is still being sent, as
 * review/4 showed, to a caller or to the entry node.
 */
START_TEST(stop_sends_answers_to_their_end)
{
	const struct slow_case *c = &slow_cases[_i];
	struct relay *relay = open_relay(fixture.links[1]);
	static char bytes[1 << 20];
	int fd, stops = c->stops;
	struct buf head = {0};
	size_t got = 0;
	pthread_t t;
	ssize_t n;

	if (c->link) {
		clear_fake_endpoints(fixture.agent, "svc");
		add_fake_endpoint(fixture.agent, "svc", "node-1",
		    get_relay_address(relay), 4, WIRE_ENDPOINT_READY);
		refresh_node(fixture.nodes[2]);
		usleep(50000);
	}
	fd = start_call(c->link ? 2 : c->stops, "/order/large", "large", 20);
	for (int k = 0;
	     k < POLLS_MAX && count_fixture_runs(&fixture, "large") == 0; k++)
		usleep(1000);
	set_relay_paused(relay, c->link);
	ck_assert_int_eq(pthread_create(&t, NULL, stop_entry, &stops), 0);
	usleep(1200000);
	set_relay_paused(relay, false);
	while ((n = recv(fd, bytes, sizeof(bytes), 0)) > 0) {
		if (head.len < 512)
			append_buf(&head, bytes, n < 512 ? (size_t)n : 512);
		got += (size_t)n;
		if (got > FAKE_LARGE_BYTES + 100)
			break;
	}
	ck_assert_msg(got > FAKE_LARGE_BYTES, "%s: %zu bytes, %.40s", c->what,
	    got, head.len > 0 ? head.data : "");
	ck_assert(strncmp(head.data, "HTTP/1.1 200", 12) == 0);
	close(fd);
	pthread_join(t, NULL);
	close_relay(relay);
	unload_buf(&head);
}
END_TEST

/*
 * Guards against a reset that takes the last answer from a caller that has sent
 * more than the stopping node will read.
 */
START_TEST(stop_does_not_reset_callers_that_sent_more)
{
	static const char more[] = "GET /read/ok HTTP/1.1\r\nHost: "
				   "test.example\r\nCall-Id: unread\r\n\r\n";
	struct test_reply reply;
	int entry = 2, fd;
	pthread_t t;

	fd = start_call(2, "/order/silent", "running", 20);
	usleep(100000);
	ck_assert_int_eq(pthread_create(&t, NULL, stop_entry, &entry), 0);
	usleep(100000);
	for (int i = 0; i < 20; i++)
		ck_assert_int_eq(send(fd, more, sizeof(more) - 1, MSG_NOSIGNAL),
		    (ssize_t)sizeof(more) - 1);
	pthread_join(t, NULL);
	read_test_reply(fd, &reply);
	ck_assert(!reply.closed);
	ck_assert_int_eq(reply.status, 502);
	ck_assert_int_eq(count_fixture_runs(&fixture, "unread"), 0);
	unload_reply(&reply);
	close(fd);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("stop");
	TCase *t = tcase_create("stop"), *slow = tcase_create("slow reader");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_checked_fixture(t, open_nodes, close_nodes);
	tcase_add_loop_test(t, stop_answers_requests_that_wait_for_a_slot, 0,
	    sizeof(stop_cases) / sizeof(stop_cases[0]));
	tcase_add_test(t, stop_answers_requests_held_behind_others);
	tcase_add_test(t, stop_ends_in_time_under_steady_calls);
	tcase_add_test(t, stop_does_not_reset_callers_that_sent_more);
	suite_add_tcase(s, t);
	tcase_set_timeout(slow, 60);
	tcase_add_checked_fixture(slow, open_nodes_with_long_stop, close_nodes);
	tcase_add_loop_test(slow, stop_sends_answers_to_their_end, 0,
	    sizeof(slow_cases) / sizeof(slow_cases[0]));
	suite_add_tcase(s, slow);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
