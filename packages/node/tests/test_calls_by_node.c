/*
 * Calls through one and two nodes: what callers receive and how often backend
 * servers run a call, for each behaviour of a backend server.
 */
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "metric.h"
#include "relay.h"
#include "relay.h"
#include "node_fixture.h"

static struct fixture fixture;

static void
open_nodes(void)
{
	open_fixture(&fixture, 3);
}

static void
close_nodes(void)
{
	close_fixture(&fixture);
}

/* Returns how often a call ran on all servers together. */
static int
count_requests(void)
{
	int n = 0;

	for (int i = 0; i < fixture.count; i++)
		n += count_fake_requests(fixture.servers[i]);
	return n;
}

struct call_case {
	const char *path;
	int want; /* status */
	int want_runs;
	bool want_seal; /* the answer has the server's signature */
	const char *want_body;
};

/*
 * The service has two servers with the same behaviour. A call of /read/ is
 * tried at both, one of /pay/ is retried only if it has certainly not run.
 */
static const struct call_case call_cases[] = {
    {"/read/ok", 200, 1, true, "ok"},
    {"/read/ok?q=%20a", 200, 1, true, "ok"},
    {"/read/slow", 200, 1, true, "ok"},
    {"/read/failed", 500, 2, true, "fail"},
    {"/read/full", 503, 0, false, ""},
    {"/read/other", 503, 0, false, ""},
    {"/read/unsealed", 502, 2, false, ""},
    {"/read/unnamed", 502, 2, false, ""},
    {"/read/cut", 502, 2, false, ""},
    {"/read/reset", 502, 2, false, ""},
    {"/read/doubled", 200, 1, true, "ok"},
    {"/read/unframed", 200, 1, true, "ok"},
    {"/read/unframed-reset", 502, 2, false, ""},
    {"/read/garbage", 502, 2, false, ""},
    {"/read/encoded", 502, 2, false, ""},
    {"/read/closing", 200, 1, true, "ok"},
    {"/read/endless-head", 502, 2, false, ""},
    {"/read/endless-interim", 502, 2, false, ""},
    {"/pay/endless-interim", 502, 1, false, ""},
    {"/once/failed", 500, 1, true, "fail"},
    {"/once/reset", 502, 1, false, ""},
    {"/pay/ok", 200, 1, true, "ok"},
    {"/pay/failed", 500, 1, true, "fail"},
    {"/pay/full", 503, 0, false, ""},
    {"/pay/other", 503, 0, false, ""},
    {"/pay/unsealed", 502, 1, false, ""},
    {"/pay/cut", 502, 1, false, ""},
    {"/pay/reset", 502, 1, false, ""},
    {"/pay/unframed-reset", 502, 1, false, ""},
    {"/pay/garbage", 502, 1, false, ""},
    {"/pay/silent", 504, 1, false, ""},
    {"/none/ok", 404, 0, false, ""},
    {"/", 404, 0, false, ""},
};

/*
 * Guards against passing on an answer that is not the backend server's, running
 * a call more often than allowed, and refusing a call as not run that did run.
 */
START_TEST(callers_get_the_expected_outcome)
{
	const struct call_case *c = &call_cases[_i];
	bool pay = strncmp(c->path, "/pay/", 5) == 0;
	struct test_reply reply;
	char id[24];

	for (int entry = 0; entry < 3; entry++) {
		snprintf(id, sizeof(id), "call-%d", entry);
		send_test_call(fixture.calls[entry], pay ? "POST" : "GET",
		    c->path, id, "Deadline-Ms: 700\r\n",
		    make_str(pay ? "12345" : ""), &reply);
		ck_assert_msg(!reply.closed && reply.status == c->want,
		    "%s by node %d: %d", c->path, entry, reply.status);
		ck_assert_msg(count_fixture_runs(&fixture, id) == c->want_runs,
		    "%s by node %d ran %d times", c->path, entry,
		    count_fixture_runs(&fixture, id));
		ck_assert(has_header(&reply, "Seal: ") == c->want_seal);
		ck_assert(is_str_equal(
		    view_buf(&reply.body), make_str(c->want_body)));
		ck_assert(
		    has_header(&reply, "Retry-After: ") == (c->want == 503));
		ck_assert(strstr(reply.head, "Call-Id: ") != NULL);
		unload_reply(&reply);
	}
}
END_TEST

static const char *const endless_paths[] = {
    "/pay/endless-head", "/pay/endless-body", "/pay/endless-chunks"};

/*
 * A server in trouble sends until the connection is closed. Guards against an
 * answer that takes the memory of the node (160 MB on small machines), and
 * against a refusal as not run.
 */
START_TEST(endless_answers_are_given_up)
{
	const size_t limit = 40 * 1024 * 1024; /* with socket buffers */
	struct test_reply reply;

	send_test_call(fixture.calls[2], "POST", endless_paths[_i], "endless",
	    "Deadline-Ms: 5000\r\n", make_str("x"), &reply);
	ck_assert_int_eq(reply.status, 502);
	ck_assert_int_eq(count_fixture_runs(&fixture, "endless"), 1);
	unload_reply(&reply);
	for (int i = 0; i < 2; i++)
		ck_assert_uint_lt(
		    get_fake_endless_bytes(fixture.servers[i]), limit);
	/* The node goes on serving. */
	send_test_call(fixture.calls[2], "GET", "/read/ok", "after", "",
	    make_str(""), &reply);
	ck_assert_int_eq(reply.status, 200);
	unload_reply(&reply);
}
END_TEST

/*
 * A server answers a call twice, the second time just before the next answer on
 * the connection. Guards against passing that answer on to the next call, and
 * against failing the next call because of it.
 */
START_TEST(late_answers_are_discarded)
{
	struct test_reply reply;
	char id[24];

	for (int i = 0; i < 20; i++) {
		snprintf(id, sizeof(id), "call-%d", i);
		send_test_call(fixture.calls[2], "GET",
		    i % 2 == 0 ? "/read/late" : "/read/ok", id, "",
		    make_str(""), &reply);
		ck_assert_int_eq(reply.status, 200);
		ck_assert_msg(has_header(&reply, id), "%s", reply.head);
		ck_assert_int_eq(count_fixture_runs(&fixture, id), 1);
		unload_reply(&reply);
	}
}
END_TEST

/* Guards against changing the target, a header or the body in transit. */
START_TEST(requests_arrive_unchanged)
{
	static const char path[] = "/pay/ok?a=%2F&b=c%20d;e";
	struct buf body = {0};
	struct test_reply reply;
	char text[256];

	for (int i = 0; i < 50000; i++)
		append_buf_fmt(&body, "%c", 'a' + i % 26);
	send_test_call(fixture.calls[2], "POST", path, "call",
	    "X-One: 1\r\nConnection: X-Hop\r\nX-Hop: 2\r\nCaller: forged\r\n"
	    "Expect: forged\r\nDeadline-Ms: 900\r\n",
	    view_buf(&body), &reply);
	ck_assert_int_eq(reply.status, 200);
	for (int i = 0; i < 2; i++) {
		if (count_fake_runs(fixture.servers[i], "call") == 0)
			continue;
		get_fake_line(fixture.servers[i], text, sizeof(text));
		ck_assert_str_eq(text, "POST /pay/ok?a=%2F&b=c%20d;e HTTP/1.1");
		get_fake_header(
		    fixture.servers[i], "X-One", text, sizeof(text));
		ck_assert_str_eq(text, "1");
		get_fake_header(
		    fixture.servers[i], "X-Hop", text, sizeof(text));
		ck_assert_str_eq(text, "");
		get_fake_header(
		    fixture.servers[i], "Caller", text, sizeof(text));
		ck_assert_str_eq(text, "other");
		get_fake_header(
		    fixture.servers[i], "Expect", text, sizeof(text));
		ck_assert_str_eq(text, i == 0 ? "i-0" : "i-1");
		get_fake_header(
		    fixture.servers[i], "Deadline-Ms", text, sizeof(text));
		ck_assert_int_le(atoi(text), 900);
		ck_assert_int_ge(atoi(text), 500);
		ck_assert_uint_eq(
		    get_fake_body_len(fixture.servers[i]), body.len);
	}
	unload_reply(&reply);
	unload_buf(&body);
}
END_TEST

/*
 * Guards against a service of which only the first nodes of a long list are
 * chosen: here all but the last ones are unusable.
 */
START_TEST(nodes_at_the_end_of_a_long_list_are_chosen)
{
	struct test_reply reply;

	clear_fake_endpoints(fixture.agent, "svc");
	for (int i = 0; i < 600; i++) {
		char name[24];

		snprintf(name, sizeof(name), "node-left-%d", i);
		add_fake_endpoint(fixture.agent, "svc", name, fixture.links[0],
		    4, WIRE_ENDPOINT_DRAINING);
	}
	add_fake_endpoint(fixture.agent, "svc", "node-1", fixture.links[1], 4,
	    WIRE_ENDPOINT_READY);
	refresh_node(fixture.nodes[2]);
	usleep(50000);
	for (int i = 0; i < 10; i++) {
		send_test_call(fixture.calls[2], "GET", "/read/ok", "call", "",
		    make_str(""), &reply);
		ck_assert_int_eq(reply.status, 200);
		unload_reply(&reply);
	}
}
END_TEST

/*
 * Guards against refusing a call because its target or its head is longer than
 * the frame between nodes allows, although the table allows it.
 */
START_TEST(heads_as_long_as_the_table_allows_arrive)
{
	static const size_t targets[] = {60000, 70000, 1000000};
	struct test_reply reply;
	struct buf path = {0};

	set_fixture_table(&fixture, 2,
	    "wide,svc,1,10,0,100,500,2000,100,1,10,0,yes,0,64,30,test.example,"
	    "/wide/,,1024,1000,2000\n");
	usleep(50000);
	append_buf_fmt(&path, "/read/ok?");
	while (path.len < targets[_i])
		append_buf_fmt(&path, "%64d", 0);
	for (size_t i = 0; i < path.len; i++) {
		if (path.data[i] == ' ')
			path.data[i] = 'x';
	}
	send_test_call(fixture.calls[2], "GET", path.data, "call", "",
	    make_str(""), &reply);
	ck_assert_int_eq(reply.status, 200);
	unload_reply(&reply);
	unload_buf(&path);
}
END_TEST

/* Guards against a split of calls that differs from the configured shares. */
START_TEST(split_rows_keep_their_shares)
{
	int before = count_fake_requests(fixture.servers[2]);
	struct test_reply reply;

	for (int i = 0; i < 40; i++) {
		send_test_call(fixture.calls[0], "GET", "/split/ok", "call", "",
		    make_str(""), &reply);
		ck_assert_int_eq(reply.status, 200);
		unload_reply(&reply);
	}
	ck_assert_int_eq(count_fake_requests(fixture.servers[2]) - before, 10);
}
END_TEST

/* Guards against calls that keep running after their caller disconnected. */
START_TEST(calls_of_disconnected_callers_are_cancelled)
{
	static const char read[] = "GET /read/silent HTTP/1.1\r\nHost: "
				   "test.example\r\nCall-Id: gone\r\n\r\n";

	for (int entry = 0; entry < 3; entry += 2) {
		int fd = connect_test_client(fixture.calls[entry]), open = 1;

		ck_assert_int_eq(
		    send(fd, read, strlen(read), 0), (ssize_t)strlen(read));
		usleep(200000);
		close(fd);
		for (int k = 0; k < 50 && open > 0; k++) {
			usleep(10000);
			open = count_fake_open(fixture.servers[0]) +
			       count_fake_open(fixture.servers[1]);
		}
		ck_assert_int_eq(open, 0);
	}
}
END_TEST

/*
 * The servers close their idle connections between calls. Guards against losing
 * a call that is sent on such a connection, and against running it twice.
 */
START_TEST(calls_survive_closed_idle_connections)
{
	struct test_reply reply;
	char id[24];

	for (int i = 0; i < 6; i++) {
		bool pay = i % 2 == 1;

		snprintf(id, sizeof(id), "call-%d", i);
		send_test_call(fixture.calls[0], pay ? "POST" : "GET",
		    pay ? "/pay/ok" : "/read/ok", id, "", make_str(""), &reply);
		ck_assert_int_eq(reply.status, 200);
		ck_assert_int_eq(count_fixture_runs(&fixture, id), 1);
		unload_reply(&reply);
		reset_fake_connections(fixture.servers[0]);
		reset_fake_connections(fixture.servers[1]);
	}
}
END_TEST

/*
 * The servers reset an idle connection when the next call arrives on it. Guards
 * against losing that call, and against a service time that is measured from
 * the clock's zero because the start of the resent call was not set.
 */
START_TEST(calls_on_reset_connections_are_resent)
{
	struct histogram_summary runs;
	struct test_reply reply;
	char id[24];

	for (int i = 0; i < 6; i++) {
		snprintf(id, sizeof(id), "call-%d", i);
		send_test_call(fixture.calls[0], "GET", "/read/ok", id, "",
		    make_str(""), &reply);
		ck_assert_int_eq(reply.status, 200);
		ck_assert_int_eq(count_fixture_runs(&fixture, id), 1);
		unload_reply(&reply);
		reset_fake_connections_on_use(fixture.servers[0]);
		reset_fake_connections_on_use(fixture.servers[1]);
	}
	runs = get_histogram(
	    register_metric(METRIC_HISTOGRAM, "ggs_node_run_us", ""));
	ck_assert_uint_eq(runs.count, 6);
	ck_assert_uint_lt(runs.max, 5000000);
}
END_TEST

/* Guards against sending new calls to a server that reported it is leaving. */
START_TEST(leaving_servers_get_no_new_calls)
{
	struct test_reply reply;
	int before;

	ck_assert_int_eq(
	    send_report(&fixture, 0, "i-0", "leaving", 2, 1000), 200);
	before = count_fake_requests(fixture.servers[0]);
	for (int i = 0; i < 30; i++) {
		send_test_call(fixture.calls[i % 3], "GET", "/read/ok", "call",
		    "", make_str(""), &reply);
		ck_assert_int_eq(reply.status, 200);
		unload_reply(&reply);
	}
	ck_assert_int_eq(count_fake_requests(fixture.servers[0]), before);
	/* Neither an old nor a new report makes it ready again. */
	ck_assert_int_eq(
	    send_report(&fixture, 0, "i-0", "ready", 1, 1000), 200);
	ck_assert_int_eq(
	    send_report(&fixture, 0, "i-0", "ready", 3, 1000), 200);
	send_test_call(fixture.calls[0], "GET", "/read/ok", "call", "",
	    make_str(""), &reply);
	unload_reply(&reply);
	ck_assert_int_eq(count_fake_requests(fixture.servers[0]), before);
}
END_TEST

struct report_case {
	const char *what;
	const char *instance, *state;
	int seq, start_ms; /* i-0, started at 1000, has reported "ready" 1 */
	bool want_served;
};

static const struct report_case report_cases[] = {
    {"the next report", "i-0", "ready", 2, 1000, true},
    {"a new incarnation is accepted", "i-9", "ready", 1, 2000, true},
    {"an earlier incarnation is ignored", "i-8", "leaving", 9, 500, true},
    {"the exit of an earlier incarnation is ignored", "i-8", "gone", 0, 500,
	true},
    {"the exit of an unknown incarnation is ignored", "i-8", "gone", 0, 0,
	true},
    {"the exit of this incarnation is applied", "i-0", "gone", 0, 1000, false},
    {"the exit of this incarnation is applied without start time", "i-0",
	"gone", 0, 0, false},
    {"leaving is applied although it was overtaken", "i-0", "leaving", 1, 1000,
	false},
};

/* Guards against applying delayed reports of a server that has exited. */
START_TEST(reports_apply_to_their_own_incarnation)
{
	const struct report_case *c = &report_cases[_i];
	int before, served;
	struct test_reply reply;

	send_report(&fixture, 0, c->instance, c->state, c->seq, c->start_ms);
	ck_assert_int_eq(send_report(&fixture, 1, "i-1", "gone", 0, 1000), 200);
	before = count_requests();
	send_test_call(fixture.calls[2], "GET", "/read/ok", "call", "",
	    make_str(""), &reply);
	served = count_requests() - before;
	ck_assert_msg((reply.status == 200) == c->want_served, "%s", c->what);
	ck_assert_msg(served == (c->want_served ? 1 : 0), "%s", c->what);
	unload_reply(&reply);
}
END_TEST

/*
 * The serving node stops while calls that must not repeat are running. Guards
 * against sending them again.
 */
START_TEST(serving_node_loss_causes_no_second_run)
{
	struct test_reply reply;
	int fd[4];
	char text[256];

	/* Only node 0 can serve, then only node 1. */
	send_report(&fixture, 1, "i-1", "leaving", 2, 1000);
	for (int i = 0; i < 4; i++) {
		snprintf(text, sizeof(text),
		    "POST /pay/slow HTTP/1.1\r\nHost: test.example\r\n"
		    "Call-Id: pay-%d\r\nContent-Length: 0\r\n\r\n",
		    i);
		fd[i] = connect_test_client(fixture.calls[2]);
		ck_assert_int_eq(
		    send(fd[i], text, strlen(text), 0), (ssize_t)strlen(text));
	}
	usleep(60000);
	send_report(&fixture, 1, "i-2", "ready", 1, 3000);
	stop_fixture_node(&fixture, 0);
	for (int i = 0; i < 4; i++) {
		char id[16];

		read_test_reply(fd[i], &reply);
		snprintf(id, sizeof(id), "pay-%d", i);
		ck_assert_int_eq(count_fixture_runs(&fixture, id), 1);
		ck_assert_int_eq(reply.status, 502);
		unload_reply(&reply);
		close(fd[i]);
	}
	start_fixture_node(&fixture, 0);
}
END_TEST

/*
 * A listed node is unresponsive, like one on a stalled VM whose kernel still
 * accepts connections. Guards against delaying a call each time that the node
 * is tried again.
 */
START_TEST(unresponsive_node_delays_one_call)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0), slow = 0;
	struct test_reply reply;
	char address[32];

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	ck_assert_int_eq(listen(fd, 64), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&sin, &len), 0);
	snprintf(address, sizeof(address), "127.0.0.1:%d", ntohs(sin.sin_port));
	add_fake_endpoint(
	    fixture.agent, "svc", "node-9", address, 100, WIRE_ENDPOINT_READY);
	refresh_node(fixture.nodes[2]);
	for (int i = 0; i < 40; i++) {
		int64_t began = read_test_clock();

		send_test_call(fixture.calls[2], "GET", "/read/ok", "call", "",
		    make_str(""), &reply);
		ck_assert_int_eq(reply.status, 200);
		unload_reply(&reply);
		slow += read_test_clock() - began > 150 * NSEC_PER_MSEC ? 1 : 0;
		usleep(50000);
	}
	ck_assert_int_le(slow, 1);
	/* Calls with one attempt do not fail: they were never offered there. */
	add_fake_endpoint(
	    fixture.agent, "svc", "node-8", address, 100, WIRE_ENDPOINT_READY);
	refresh_node(fixture.nodes[2]);
	for (int i = 0; i < 10; i++) {
		send_test_call(fixture.calls[2], "GET", "/once/ok", "call", "",
		    make_str(""), &reply);
		ck_assert_int_eq(reply.status, 200);
		unload_reply(&reply);
	}
	close(fd);
}
END_TEST

/*
 * The serving node is unresponsive for a second while a call is running that no
 * other node may run. Guards against cancelling that call.
 */
START_TEST(call_without_a_retry_survives_a_stall)
{
	static const char *const calls[] = {
	    "GET /once/slow HTTP/1.1\r\nHost: test.example\r\n"
	    "Call-Id: stalled-0\r\n\r\n",
	    "GET /read/slow HTTP/1.1\r\nHost: test.example\r\n"
	    "Call-Id: stalled-1\r\n\r\n",
	};
	struct relay *relay = open_relay(fixture.links[1]);
	struct test_reply reply;

	clear_fake_endpoints(fixture.agent, "svc");
	add_fake_endpoint(fixture.agent, "svc", "node-1",
	    get_relay_address(relay), 4, WIRE_ENDPOINT_READY);
	refresh_node(fixture.nodes[2]);
	for (int i = 0; i < 2; i++) {
		char id[16];
		int fd = connect_test_client(fixture.calls[2]);

		snprintf(id, sizeof(id), "stalled-%d", i);
		ck_assert_int_eq(send(fd, calls[i], strlen(calls[i]), 0),
		    (ssize_t)strlen(calls[i]));
		usleep(30000);
		set_relay_paused(relay, true);
		usleep(1000000);
		set_relay_paused(relay, false);
		read_test_reply(fd, &reply);
		ck_assert_msg(reply.status == 200, "%s: %d", id, reply.status);
		ck_assert_int_eq(count_fixture_runs(&fixture, id), 1);
		unload_reply(&reply);
		close(fd);
	}
	clear_fake_endpoints(fixture.agent, "svc");
	for (int i = 0; i < 2; i++) {
		char name[16];

		snprintf(name, sizeof(name), "node-%d", i);
		add_fake_endpoint(fixture.agent, "svc", name, fixture.links[i],
		    4, WIRE_ENDPOINT_READY);
	}
	for (int i = 0; i < 3; i++)
		refresh_node(fixture.nodes[i]);
	close_relay(relay);
}
END_TEST

/*
 * Two entry nodes send calls at once and do not know of each other's. Guards
 * against queueing a call at a full server while another server has free slots.
 */
START_TEST(free_slot_is_found_without_a_report)
{
	struct test_reply reply;
	int fd[8];

	for (int round = 0; round < 5; round++) {
		int64_t began = read_test_clock();

		/* As many calls as slots, through two nodes at once. */
		for (int i = 0; i < 8; i++) {
			char text[128];

			snprintf(text, sizeof(text),
			    "GET /read/slow HTTP/1.1\r\nHost: test.example\r\n"
			    "Call-Id: spread-%d-%d\r\n\r\n",
			    round, i);
			fd[i] = connect_test_client(fixture.calls[i % 2 * 2]);
			ck_assert_int_eq(send(fd[i], text, strlen(text), 0),
			    (ssize_t)strlen(text));
		}
		for (int i = 0; i < 8; i++) {
			read_test_reply(fd[i], &reply);
			ck_assert_int_eq(reply.status, 200);
			unload_reply(&reply);
			close(fd[i]);
		}
		/* A call takes 150 ms, a queued one 300. */
		ck_assert_int_lt(
		    read_test_clock() - began, 290 * NSEC_PER_MSEC);
	}
}
END_TEST

/*
 * Guards against sending queued calls to a backend server long after it
 * reported that it is leaving.
 */
START_TEST(leaving_server_gets_no_queued_call)
{
	static const char slow[] = "GET /read/slow HTTP/1.1\r\nHost: "
				   "test.example\r\nCall-Id: wait\r\n\r\n";
	struct test_reply reply;
	int fd[32], sent, served = 0;

	/* With four slots and 150 ms the last one would start after 1 s. */
	send_report(&fixture, 1, "i-1", "leaving", 2, 1000);
	for (size_t i = 0; i < sizeof(fd) / sizeof(fd[0]); i++) {
		fd[i] = connect_test_client(fixture.calls[0]);
		ck_assert_int_eq(
		    send(fd[i], slow, strlen(slow), 0), (ssize_t)strlen(slow));
	}
	usleep(50000);
	send_report(&fixture, 0, "i-0", "leaving", 2, 1000);
	usleep(200000);
	sent = count_fake_requests(fixture.servers[0]);
	for (size_t i = 0; i < sizeof(fd) / sizeof(fd[0]); i++) {
		read_test_reply(fd[i], &reply);
		ck_assert(reply.status == 200 || reply.status == 503);
		served += reply.status == 200 ? 1 : 0;
		unload_reply(&reply);
		close(fd[i]);
	}
	ck_assert_int_eq(count_fake_requests(fixture.servers[0]), sent);
	ck_assert_int_ge(served, 4);
}
END_TEST

/*
 * Another node has taken over the address of nodes that have exited but are
 * still listed. Guards against calls that fail because they are offered to it.
 */
START_TEST(reused_address_fails_no_call)
{
	struct test_reply reply;
	int failed = 0;

	/* The node of "other" answers where five of "svc" are listed. */
	for (int i = 0; i < 5; i++) {
		char name[16];

		snprintf(name, sizeof(name), "node-gone-%d", i);
		add_fake_endpoint(fixture.agent, "svc", name, fixture.links[2],
		    100, WIRE_ENDPOINT_READY);
	}
	refresh_node(fixture.nodes[0]);
	send_report(&fixture, 0, "i-0", "leaving", 2, 1000);
	for (int i = 0; i < 40; i++) {
		send_test_call(fixture.calls[0], "GET", "/read/ok", "call", "",
		    make_str(""), &reply);
		failed += reply.status == 200 ? 0 : 1;
		unload_reply(&reply);
	}
	ck_assert_int_eq(failed, 0);
}
END_TEST

/* Guards against a stop that cuts off calls, or that callers cannot notice. */
START_TEST(stop_answers_every_call)
{
	static const char slow[] = "GET /read/slow HTTP/1.1\r\nHost: "
				   "test.example\r\nCall-Id: last\r\n\r\n";
	struct test_reply reply;
	int fd = connect_test_client(fixture.calls[0]);

	ck_assert_int_eq(
	    send(fd, slow, strlen(slow), 0), (ssize_t)strlen(slow));
	usleep(20000);
	drain_node(fixture.nodes[0]);
	read_test_reply(fd, &reply);
	ck_assert_int_eq(reply.status, 200);
	ck_assert(has_header(&reply, "Connection: close"));
	unload_reply(&reply);
	close(fd);
	send_test_call(
	    fixture.ready[0], "GET", "/ready", "q", "", make_str(""), &reply);
	ck_assert_int_ne(reply.status, 200);
	unload_reply(&reply);
}
END_TEST

struct raw_case {
	const char *bytes;
	int want;
};

static const struct raw_case raw_cases[] = {
    {"GET /read/ok HTTP/1.1\r\nHost: TEST.example:80\r\nCall-Id: a\r\n\r\n",
	200},
    {"POST /pay/ok HTTP/1.1\r\nHost: test.example\r\nCall-Id: a\r\n"
     "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	200},
    {"GET /read/ok HTTP/1.1\r\nHost: other.example\r\nCall-Id: a\r\n\r\n", 404},
    {"nonsense\r\n\r\n", 400},
    {"POST /pay/ok HTTP/1.1\r\nHost: test.example\r\nContent-Length: 3\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	400},
    {"POST /pay/ok HTTP/1.1\r\nHost: test.example\r\nContent-Length: "
     "999999999\r\n\r\n",
	413},
};

/* Guards against misreading requests, and against accepting malformed ones. */
START_TEST(raw_requests_get_the_right_status)
{
	const struct raw_case *c = &raw_cases[_i];
	struct test_reply reply;
	int fd = connect_test_client(fixture.calls[0]);

	ck_assert_int_eq(
	    send(fd, c->bytes, strlen(c->bytes), 0), (ssize_t)strlen(c->bytes));
	read_test_reply(fd, &reply);
	ck_assert_int_eq(reply.status, c->want);
	unload_reply(&reply);
	close(fd);
}
END_TEST

/* Guards against mixing up consecutive calls on one connection. */
START_TEST(one_connection_carries_several_calls)
{
	int fd = connect_test_client(fixture.calls[2]);

	for (int i = 0; i < 5; i++) {
		struct test_reply reply;
		char text[256], id[16];

		snprintf(id, sizeof(id), "call-%d", i);
		snprintf(text, sizeof(text),
		    "POST /pay/ok HTTP/1.1\r\nHost: test.example\r\n"
		    "Call-Id: %s\r\nContent-Length: 4\r\n\r\nbody",
		    id);
		ck_assert_int_eq(
		    send(fd, text, strlen(text), 0), (ssize_t)strlen(text));
		read_test_reply(fd, &reply);
		ck_assert_int_eq(reply.status, 200);
		ck_assert(has_header(&reply, id));
		unload_reply(&reply);
	}
	close(fd);
}
END_TEST

/* Guards against a node that reports ready before it has a table. */
START_TEST(node_without_a_table_refuses)
{
	struct test_reply reply;

	stop_fixture_node(&fixture, 0);
	clear_fake_table(fixture.agent);
	start_fixture_node(&fixture, 0);
	send_test_call(
	    fixture.ready[0], "GET", "/ready", "q", "", make_str(""), &reply);
	ck_assert_int_eq(reply.status, 503);
	unload_reply(&reply);
	send_test_call(fixture.calls[0], "GET", "/read/ok", "call", "",
	    make_str(""), &reply);
	ck_assert_int_eq(reply.status, 503);
	ck_assert(has_header(&reply, "Retry-After: "));
	unload_reply(&reply);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("node");
	TCase *t = tcase_create("calls");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_checked_fixture(t, open_nodes, close_nodes);
	tcase_add_loop_test(t, callers_get_the_expected_outcome, 0,
	    sizeof(call_cases) / sizeof(call_cases[0]));
	tcase_add_loop_test(t, endless_answers_are_given_up, 0,
	    sizeof(endless_paths) / sizeof(endless_paths[0]));
	tcase_add_test(t, late_answers_are_discarded);
	tcase_add_test(t, requests_arrive_unchanged);
	tcase_add_test(t, nodes_at_the_end_of_a_long_list_are_chosen);
	tcase_add_loop_test(t, heads_as_long_as_the_table_allows_arrive, 0, 3);
	tcase_add_test(t, split_rows_keep_their_shares);
	tcase_add_test(t, calls_of_disconnected_callers_are_cancelled);
	tcase_add_test(t, calls_survive_closed_idle_connections);
	tcase_add_test(t, calls_on_reset_connections_are_resent);
	tcase_add_test(t, leaving_servers_get_no_new_calls);
	tcase_add_loop_test(t, reports_apply_to_their_own_incarnation, 0,
	    sizeof(report_cases) / sizeof(report_cases[0]));
	tcase_add_test(t, serving_node_loss_causes_no_second_run);
	tcase_add_test(t, unresponsive_node_delays_one_call);
	tcase_add_test(t, free_slot_is_found_without_a_report);
	tcase_add_test(t, leaving_server_gets_no_queued_call);
	tcase_add_test(t, reused_address_fails_no_call);
	tcase_add_test(t, call_without_a_retry_survives_a_stall);
	tcase_add_test(t, stop_answers_every_call);
	tcase_add_loop_test(t, raw_requests_get_the_right_status, 0,
	    sizeof(raw_cases) / sizeof(raw_cases[0]));
	tcase_add_test(t, one_connection_carries_several_calls);
	tcase_add_test(t, node_without_a_table_refuses);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
