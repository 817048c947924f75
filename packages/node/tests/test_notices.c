/*
 * What a backend server says of itself in its answers.
 */
#include <arpa/inet.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "hop.h"
#include "node_fixture.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define CALLERS 12
#define FLOOD_NS (3 * NSEC_PER_SEC) /* less than the users' window of 4 s */

static struct fixture fixture;

static void
open_nodes(void)
{
	open_fixture_with_one_server(&fixture);
}

static void
close_nodes(void)
{
	close_fixture(&fixture);
}

/* Returns a gauge of node 0 from its metrics page. */
static long long
get_gauge(const char *name)
{
	struct test_reply reply;
	char line[96];
	const char *at;
	long long value;

	send_test_call(fixture.metrics[0], "GET", "/metrics", "q", "",
	    make_str(""), &reply);
	ck_assert_int_eq(append_buf(&reply.body, "", 1), 0);
	snprintf(line, sizeof(line), "\n%s ", name);
	at = strstr(reply.body.data, line);
	ck_assert_ptr_nonnull(at);
	value = atoll(at + strlen(line));
	unload_reply(&reply);
	return value;
}

/*
 * Keeps CALLERS calls under way at all entry nodes for FLOOD_NS; returns how
 * many were answered with a status.
 */
static int
flood(int status)
{
	int64_t end = read_test_clock() + FLOOD_NS;
	int count = 0;

	while (read_test_clock() < end) {
		int fd[CALLERS];

		for (int i = 0; i < CALLERS; i++) {
			static const char text[] =
			    "GET /read/ok HTTP/1.1\r\nHost: test.example\r\n"
			    "Call-Id: call\r\nConnection: close\r\n\r\n";

			fd[i] = connect_test_client(fixture.calls[i % 3]);
			ck_assert_int_eq(
			    send(fd[i], text, strlen(text), MSG_NOSIGNAL),
			    (ssize_t)strlen(text));
		}
		for (int i = 0; i < CALLERS; i++) {
			struct test_reply reply;

			read_test_reply(fd[i], &reply);
			ck_assert(reply.status == 200 || reply.status == 503);
			ck_assert(reply.status == 200 ||
				  has_header(&reply, "Retry-After: "));
			count += reply.status == status ? 1 : 0;
			unload_reply(&reply);
			close(fd[i]);
		}
	}
	return count;
}

static void
check_expected_instance(const char *want)
{
	char got[NODE_ID_BYTES];

	get_fake_header(fixture.servers[0], "Expect", got, sizeof(got));
	ck_assert_str_eq(got, want);
}

/*
 * Guards against issue 24, LIMIT: a backend server that names 20 calls a second
 * got as many as each entry node had, some hundred a second.
 */
START_TEST(named_limit_holds_for_all_entry_nodes_together)
{
	int before, sent, refused;

	set_fake_notices(fixture.servers[0], "Rate: 20\r\n");
	ck_assert_int_eq(send_read_call(&fixture, 1), 200);
	before = count_fake_requests(fixture.servers[0]);
	refused = flood(503);
	sent = count_fake_requests(fixture.servers[0]) - before;
	ck_assert_int_le(sent, 20 * 4 * 3 / 2 + 5);
	ck_assert_int_ge(sent, 20); /* it is not starved either */
	ck_assert_int_gt(refused, 0);
}
END_TEST

struct notice_case {
	const char *lines;
	long long want_milli; /* limit after an answer with them */
};

static const struct notice_case notice_cases[] = {
    {"Rate: 12\r\n", 12000},
    {"Rate: 12.5\r\n", 12500},
    {"rate: 0.4\r\n", 400},
    {"Rate: 0\r\n", 0},
    {"Rate: 7.\r\n", 7000},
    {"Rate: 99999999999999999999\r\n", 1000000000},
    {"", -1},
    {"Rate: \r\n", 5000},
    {"Rate: -3\r\n", 5000},
    {"Rate: 1e3\r\n", 5000},
    {"Rate: nan\r\n", 5000},
    {"Rate: 0x10\r\n", 5000},
    {"Rate: 1.2.3\r\n", 5000},
    {"Rate: .5\r\n", 5000},
    {"Rate: 3 4\r\n", 5000},
    {"Rate: 000000000000000000000000000000000001\r\n", 5000},
};

/*
 * Guards against a limit that outlasts the answers that name it, and against
 * text that is taken for another limit: then the former one, 5, stays.
 */
START_TEST(limit_is_what_the_last_answer_names)
{
	const struct notice_case *c = &notice_cases[_i];

	ck_assert_int_eq(get_gauge("ggs_node_rate_limit_milli"), -1);
	set_fake_notices(fixture.servers[0], "Rate: 5\r\n");
	ck_assert_int_eq(send_read_call(&fixture, 2), 200);
	ck_assert_int_eq(get_gauge("ggs_node_rate_limit_milli"), 5000);
	set_fake_notices(fixture.servers[0], c->lines);
	ck_assert_int_eq(send_read_call(&fixture, 2), 200);
	ck_assert_msg(get_gauge("ggs_node_rate_limit_milli") == c->want_milli,
	    "\"%s\": %lld", c->lines, get_gauge("ggs_node_rate_limit_milli"));
}
END_TEST

/* Guards against a limit that a server inherits from the run before it. */
START_TEST(limit_ends_with_the_run_of_the_server)
{
	set_fake_notices(fixture.servers[0], "Rate: 5\r\n");
	ck_assert_int_eq(send_read_call(&fixture, 1), 200);
	ck_assert_int_eq(get_gauge("ggs_node_rate_limit_milli"), 5000);
	send_report(&fixture, 0, "i-0", "ready", 9, 1000);
	ck_assert_int_eq(get_gauge("ggs_node_rate_limit_milli"), 5000);
	send_report(&fixture, 0, "i-0", "ready", 1, 2000);
	ck_assert_int_eq(get_gauge("ggs_node_rate_limit_milli"), -1);
}
END_TEST

struct leaving_case {
	const char *lines;
	bool want_leaving;
};

static const struct leaving_case leaving_cases[] = {
    {"Leaving: 1\r\n", true},
    {"leaving:1\r\n", true},
    {"Rate: 50\r\nLeaving: 1\r\n", true},
    {"", false},
    {"Leaving: 0\r\n", false},
    {"Leaving: \r\n", false},
    {"Leaving: 11\r\n", false},
};

/*
 * Guards against issue 24, DRAIN: a server that says in an answer that it is
 * leaving, and has not reported it or cannot, gets further calls. It does not
 * come back with a later report of the same run, but with a new run.
 */
START_TEST(server_that_answers_as_leaving_gets_no_call)
{
	const struct leaving_case *c = &leaving_cases[_i];
	int requests, want = c->want_leaving ? 503 : 200;

	set_fake_notices(fixture.servers[0], c->lines);
	ck_assert_int_eq(send_read_call(&fixture, 1), 200);
	requests = count_fake_requests(fixture.servers[0]);
	for (int i = 0; i < 9; i++)
		ck_assert_int_eq(send_read_call(&fixture, i % 3), want);
	send_report(&fixture, 0, "i-0", "ready", 9, 1000);
	ck_assert_int_eq(send_read_call(&fixture, 2), want);
	ck_assert_int_eq(count_fake_requests(fixture.servers[0]),
	    c->want_leaving ? requests : requests + 10);
	set_fake_notices(fixture.servers[0], "");
	send_report(&fixture, 0, "i-0", "ready", 1, 2000);
	/* The other nodes learn of the new run a moment later. */
	ck_assert_int_eq(send_read_call(&fixture, 0), 200);
}
END_TEST

/*
 * A server restarts while a call runs, and the answer of its last run names a
 * limit and says that it is leaving. Guards against a new run that is taken for
 * the old one.
 */
START_TEST(answer_of_an_earlier_run_says_nothing_of_the_new_one)
{
	static const char text[] =
	    "GET /read/slow HTTP/1.1\r\nHost: test.example\r\n"
	    "Call-Id: slow\r\nConnection: close\r\n\r\n";
	int fd = connect_test_client(fixture.calls[1]);
	struct test_reply reply;

	set_fake_notices(fixture.servers[0], "Rate: 5\r\nLeaving: 1\r\n");
	ck_assert_int_eq(
	    send(fd, text, strlen(text), MSG_NOSIGNAL), (ssize_t)strlen(text));
	while (count_fake_requests(fixture.servers[0]) == 0)
		usleep(1000);
	send_report(&fixture, 0, "i-0", "ready", 1, 2000);
	read_test_reply(fd, &reply);
	ck_assert_int_eq(reply.status, 200);
	unload_reply(&reply);
	close(fd);
	ck_assert_int_eq(get_gauge("ggs_node_rate_limit_milli"), -1);
	set_fake_notices(fixture.servers[0], "");
	ck_assert_int_eq(send_read_call(&fixture, 2), 200);
}
END_TEST

struct restart_case {
	const char *lines;
	const char *instance; /* reported after the restart */
	int start_ms;
	int want_min, want_max; /* calls that reach the server at once */
};

static const struct restart_case restart_cases[] = {
    {"Rate: 0.1\r\n", "i-0", 1000, 1, 1},
    {"Leaving: 1\r\n", "i-0", 1000, 0, 0},
    {"Rate: 0.1\r\nLeaving: 1\r\n", "i-0", 1000, 0, 0},
    {"Rate: 0.1\r\nLeaving: 1\r\n", "i-0", 2000, 4, CALLERS}, /* new run */
    {"Rate: 0.1\r\nLeaving: 1\r\n", "i-9", 1000, 4, CALLERS}, /* another */
    {"", "i-0", 1000, 4, CALLERS},
};

/*
 * An earlier server with an id of its own seems to have replaced the one that
 * said in an answer that it leaves, as its delayed reports go on for seconds.
 * Guards against using the leaving one again when it reports itself once more.
 */
START_TEST(leaving_told_in_an_answer_outlasts_other_reports)
{
	set_fake_notices(fixture.servers[0], "Leaving: 1\r\n");
	ck_assert_int_eq(send_read_call(&fixture, 1), 200);
	set_fake_notices(fixture.servers[0], "");
	ck_assert_int_eq(send_report(&fixture, 0, "i-9", "ready", 1, 500), 200);
	usleep(3100000);
	ck_assert_int_eq(send_report(&fixture, 0, "i-9", "ready", 2, 500), 200);
	ck_assert_int_eq(
	    send_report(&fixture, 0, "i-0", "ready", 9, 1000), 200);
	(void)send_read_call(&fixture, 0);
	check_expected_instance("i-9");
}
END_TEST

/*
 * The node beside the server restarts, and the server reports as ready, late.
 * Guards against issue 24, LIMIT and DRAIN: a node that has forgotten the limit
 * gives out all slots until the first answer, and one that has forgotten that
 * the server is leaving uses it again.
 */
START_TEST(restarted_node_learns_notices_from_entry_nodes)
{
	const struct restart_case *c = &restart_cases[_i];
	int fd[CALLERS], before, sent;

	set_fake_notices(fixture.servers[0], c->lines);
	ck_assert_int_eq(send_read_call(&fixture, 1), 200);
	stop_fixture_node(&fixture, 0);
	before = count_fake_requests(fixture.servers[0]);
	start_fixture_node(&fixture, 0);
	send_report(&fixture, 0, c->instance, "ready", 5, c->start_ms);
	usleep(700000); /* entry nodes find the node again */
	for (int i = 0; i < CALLERS; i++) {
		static const char text[] =
		    "GET /read/slow HTTP/1.1\r\nHost: test.example\r\n"
		    "Call-Id: slow\r\nConnection: close\r\n\r\n";

		fd[i] = connect_test_client(fixture.calls[1]);
		ck_assert_int_eq(send(fd[i], text, strlen(text), MSG_NOSIGNAL),
		    (ssize_t)strlen(text));
	}
	for (int i = 0; i < 5000 && count_fake_requests(fixture.servers[0]) <
					before + c->want_min;
	     i++)
		usleep(1000);
	usleep(60000); /* further calls would arrive now */
	sent = count_fake_requests(fixture.servers[0]) - before;
	ck_assert_msg(sent >= c->want_min && sent <= c->want_max,
	    "\"%s\": %d calls", c->lines, sent);
	for (int i = 0; i < CALLERS; i++)
		close(fd[i]);
}
END_TEST

struct hello_case {
	const char *name;
	const char *raw; /* appended to HELLO instead of a notice */
	struct hop_notice notice;
	long long want_milli; /* limit in force afterwards */
	int want_status; /* of a call afterwards */
};

#define NOTICE(n, i, start, rate, leaves)                                    \
	{                                                                    \
		(char *)(uintptr_t)(n), (char *)(uintptr_t)(i), start, rate, \
		    leaves                                                   \
	}

static const struct hello_case hello_cases[] = {
    {"older build", "", {0}, -1, 200},
    {"bytes that are no notice", "\xff\xff\xff\xff", {0}, -1, 200},
    {"cut notice", "node", {0}, -1, 200},
    {"limit", NULL, NOTICE("node-0", "i-0", 1000, 7, false), 7000, 200},
    {"limit of 0", NULL, NOTICE("node-0", "i-0", 1000, 0, false), 0, 200},
    {"huge limit", NULL, NOTICE("node-0", "i-0", 1000, 1e300, false),
	1000000000, 200},
    {"no number", NULL, NOTICE("node-0", "i-0", 1000, (double)NAN, false), -1,
	200},
    {"leaving", NULL, NOTICE("node-0", "i-0", 1000, -1, true), -1, 503},
    {"other node", NULL, NOTICE("node-1", "i-0", 1000, 7, true), -1, 200},
    {"other server", NULL, NOTICE("node-0", "i-7", 1000, 7, true), -1, 200},
    {"earlier run", NULL, NOTICE("node-0", "i-0", 999, 7, true), -1, 200},
};

/* Appends a 32-bit number in network byte order. */
static void
append_number(struct buf *b, size_t number)
{
	uint32_t bytes = htonl((uint32_t)number);

	ck_assert_int_eq(append_buf(b, &bytes, sizeof(bytes)), 0);
}

/*
 * Opens a link to node 0 as another node, whose first message has notices behind
 * it; returns the descriptor after the answer to it.
 */
static int
send_hello(struct str notices)
{
	struct hop_hello hello = {
	    (char *)(uintptr_t) "node-5", (char *)(uintptr_t) "z1"};
	struct buf message = {0}, frame = {0};
	int fd = connect_test_client(fixture.links[0]);
	unsigned char head[12] = {0};

	ck_assert_int_eq(
	    append_hop_message(&message, (xdrproc_t)xdr_hop_hello, &hello), 0);
	ck_assert_int_eq(append_buf_str(&message, notices), 0);
	append_number(&frame, message.len);
	append_number(&frame, HOP_HELLO);
	append_number(&frame, 0);
	ck_assert_int_eq(append_buf_str(&frame, view_buf(&message)), 0);
	ck_assert_int_eq(
	    send(fd, frame.data, frame.len, MSG_NOSIGNAL), (ssize_t)frame.len);
	ck_assert_int_eq(recv(fd, head, sizeof(head), MSG_WAITALL), 12);
	ck_assert_int_eq(head[7], HOP_WELCOME);
	unload_buf(&message);
	unload_buf(&frame);
	return fd;
}

/*
 * Guards against a returned notice that is believed for another node, server or
 * run, or that is no notice, and against a handshake that fails without one.
 */
START_TEST(returned_notices_are_checked)
{
	const struct hello_case *c = &hello_cases[_i];
	struct buf notice = {0};
	int fd;

	if (c->raw != NULL)
		ck_assert_int_eq(append_buf_str(&notice, make_str(c->raw)), 0);
	else
		ck_assert_int_eq(append_hop_message(&notice,
				     (xdrproc_t)xdr_hop_notice, &c->notice),
		    0);
	fd = send_hello(view_buf(&notice));
	ck_assert_msg(get_gauge("ggs_node_rate_limit_milli") == c->want_milli,
	    "%s: %lld", c->name, get_gauge("ggs_node_rate_limit_milli"));
	ck_assert_msg(
	    send_read_call(&fixture, 0) == c->want_status, "%s", c->name);
	close(fd);
	unload_buf(&notice);
}
END_TEST

/*
 * Guards against a limit that is lost, or a leaving that is not heard, since the
 * notices of two servers are returned together before the first report.
 */
START_TEST(notices_of_several_servers_are_returned)
{
	static const struct hop_notice notices[] = {
	    NOTICE("node-0", "i-0", 1000, 7, false),
	    NOTICE("node-0", "i-9", 900, -1, true),
	    NOTICE("node-5", "i-0", 1000, 3, true),
	};
	struct buf message = {0};
	int fd;

	for (size_t i = 0; i < COUNT(notices); i++)
		ck_assert_int_eq(append_hop_message(&message,
				     (xdrproc_t)xdr_hop_notice, &notices[i]),
		    0);
	stop_fixture_node(&fixture, 0);
	start_fixture_node(&fixture, 0);
	fd = send_hello(view_buf(&message));
	send_report(&fixture, 0, "i-9", "ready", 5, 900);
	ck_assert_int_eq(get_gauge("ggs_node_rate_limit_milli"), -1);
	send_report(&fixture, 0, "i-0", "ready", 5, 1000);
	ck_assert_int_eq(get_gauge("ggs_node_rate_limit_milli"), 7000);
	usleep(400000); /* the node has asked the other nodes */
	ck_assert_int_eq(send_read_call(&fixture, 0), 200);
	check_expected_instance("i-0");
	close(fd);
	unload_buf(&message);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("notices");
	TCase *t = tcase_create("answers");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_checked_fixture(t, open_nodes, close_nodes);
	tcase_add_test(t, named_limit_holds_for_all_entry_nodes_together);
	tcase_add_loop_test(
	    t, limit_is_what_the_last_answer_names, 0, COUNT(notice_cases));
	tcase_add_test(t, limit_ends_with_the_run_of_the_server);
	tcase_add_loop_test(t, server_that_answers_as_leaving_gets_no_call, 0,
	    COUNT(leaving_cases));
	tcase_add_test(t, answer_of_an_earlier_run_says_nothing_of_the_new_one);
	tcase_add_test(t, leaving_told_in_an_answer_outlasts_other_reports);
	tcase_add_loop_test(t, restarted_node_learns_notices_from_entry_nodes,
	    0, COUNT(restart_cases));
	tcase_add_loop_test(
	    t, returned_notices_are_checked, 0, COUNT(hello_cases));
	tcase_add_test(t, notices_of_several_servers_are_returned);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
