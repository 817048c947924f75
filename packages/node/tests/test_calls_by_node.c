/*
 * Calls through one and two nodes: what callers get and what backend servers
 * run, for each thing that a backend server may do.
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
#include "rig.h"

static struct rig rig;

static void
open_three(void)
{
	open_rig(&rig, 3);
}

static void
close_three(void)
{
	close_rig(&rig);
}

/* How often a call ran, on all servers together. */
static int
count_runs(const char *id)
{
	int n = 0;

	for (int i = 0; i < rig.count; i++)
		n += count_fake_runs(rig.servers[i], id);
	return n;
}

static int
count_requests(void)
{
	int n = 0;

	for (int i = 0; i < rig.count; i++)
		n += count_fake_requests(rig.servers[i]);
	return n;
}

struct call_case {
	const char *path;
	int want; /* status */
	int want_runs;
	bool want_seal; /* the server's signature is passed on */
	const char *want_body;
};

/*
 * With two servers of the service that do the same: a call of /read/ is tried
 * at both, one of /pay/ only while it has certainly not run.
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
 * Guards against an answer that is not the backend server's, a call that runs
 * more often than it may, and a refusal of a call that ran.
 */
START_TEST(outcome_of_each_call_is_true)
{
	const struct call_case *c = &call_cases[_i];
	bool pay = strncmp(c->path, "/pay/", 5) == 0;
	struct rig_reply reply;
	char id[24];

	for (int entry = 0; entry < 3; entry++) {
		snprintf(id, sizeof(id), "call-%d", entry);
		call_rig(rig.calls[entry], pay ? "POST" : "GET", c->path, id,
		    "Deadline-Ms: 700\r\n", make_str(pay ? "12345" : ""),
		    &reply);
		ck_assert_msg(!reply.closed && reply.status == c->want,
		    "%s by node %d: %d", c->path, entry, reply.status);
		ck_assert_msg(count_runs(id) == c->want_runs,
		    "%s by node %d ran %d times", c->path, entry,
		    count_runs(id));
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

/*
 * Guards against a late answer that is given to the next call on the
 * connection, and against a call that is lost because of it.
 */
START_TEST(late_answers_are_skipped)
{
	struct rig_reply reply;
	char id[24];

	for (int i = 0; i < 20; i++) {
		snprintf(id, sizeof(id), "call-%d", i);
		call_rig(rig.calls[2], "GET",
		    i % 2 == 0 ? "/read/late" : "/read/ok", id, "",
		    make_str(""), &reply);
		ck_assert_int_eq(reply.status, 200);
		ck_assert_msg(has_header(&reply, id), "%s", reply.head);
		ck_assert_int_eq(count_runs(id), 1);
		unload_reply(&reply);
	}
}
END_TEST

/* Guards against a target, header or body that is changed on its way. */
START_TEST(requests_arrive_as_they_were_sent)
{
	static const char path[] = "/pay/ok?a=%2F&b=c%20d;e";
	struct buf body = {0};
	struct rig_reply reply;
	char text[256];

	for (int i = 0; i < 50000; i++)
		append_buf_fmt(&body, "%c", 'a' + i % 26);
	call_rig(rig.calls[2], "POST", path, "call",
	    "X-One: 1\r\nConnection: X-Hop\r\nX-Hop: 2\r\nCaller: forged\r\n"
	    "Expect: forged\r\nDeadline-Ms: 900\r\n",
	    view_buf(&body), &reply);
	ck_assert_int_eq(reply.status, 200);
	for (int i = 0; i < 2; i++) {
		if (count_fake_runs(rig.servers[i], "call") == 0)
			continue;
		get_fake_line(rig.servers[i], text, sizeof(text));
		ck_assert_str_eq(text, "POST /pay/ok?a=%2F&b=c%20d;e HTTP/1.1");
		get_fake_header(rig.servers[i], "X-One", text, sizeof(text));
		ck_assert_str_eq(text, "1");
		get_fake_header(rig.servers[i], "X-Hop", text, sizeof(text));
		ck_assert_str_eq(text, "");
		get_fake_header(rig.servers[i], "Caller", text, sizeof(text));
		ck_assert_str_eq(text, "other");
		get_fake_header(rig.servers[i], "Expect", text, sizeof(text));
		ck_assert_str_eq(text, i == 0 ? "i-0" : "i-1");
		get_fake_header(
		    rig.servers[i], "Deadline-Ms", text, sizeof(text));
		ck_assert_int_le(atoi(text), 900);
		ck_assert_int_ge(atoi(text), 500);
		ck_assert_uint_eq(get_fake_body_len(rig.servers[i]), body.len);
	}
	unload_reply(&reply);
	unload_buf(&body);
}
END_TEST

/* Guards against a split that does not keep its shares. */
START_TEST(split_rows_keep_their_shares)
{
	int before = count_fake_requests(rig.servers[2]);
	struct rig_reply reply;

	for (int i = 0; i < 40; i++) {
		call_rig(rig.calls[0], "GET", "/split/ok", "call", "",
		    make_str(""), &reply);
		ck_assert_int_eq(reply.status, 200);
		unload_reply(&reply);
	}
	ck_assert_int_eq(count_fake_requests(rig.servers[2]) - before, 10);
}
END_TEST

/* Guards against work that goes on after its caller has left. */
START_TEST(calls_of_callers_that_left_are_stopped)
{
	static const char read[] = "GET /read/silent HTTP/1.1\r\nHost: "
				   "test.example\r\nCall-Id: gone\r\n\r\n";

	for (int entry = 0; entry < 3; entry += 2) {
		int fd = connect_rig(rig.calls[entry]), open = 1;

		ck_assert_int_eq(
		    send(fd, read, strlen(read), 0), (ssize_t)strlen(read));
		usleep(200000);
		close(fd);
		for (int k = 0; k < 50 && open > 0; k++) {
			usleep(10000);
			open = count_fake_open(rig.servers[0]) +
			       count_fake_open(rig.servers[1]);
		}
		ck_assert_int_eq(open, 0);
	}
}
END_TEST

/*
 * Guards against a call that runs twice because a connection that the server
 * had forgotten looks like one that was never opened.
 */
START_TEST(forgotten_connections_cost_no_call)
{
	struct rig_reply reply;
	char id[24];

	for (int i = 0; i < 6; i++) {
		bool pay = i % 2 == 1;

		snprintf(id, sizeof(id), "call-%d", i);
		call_rig(rig.calls[0], pay ? "POST" : "GET",
		    pay ? "/pay/ok" : "/read/ok", id, "", make_str(""), &reply);
		ck_assert_int_eq(reply.status, 200);
		ck_assert_int_eq(count_runs(id), 1);
		unload_reply(&reply);
		forget_fake_connections(rig.servers[0]);
		forget_fake_connections(rig.servers[1]);
	}
}
END_TEST

/*
 * Guards against a call that is lost with a connection that its server resets
 * on use, and against a run time that counts from the clock's start.
 */
START_TEST(calls_on_reset_connections_are_sent_again)
{
	struct histogram_summary runs;
	struct rig_reply reply;
	char id[24];

	for (int i = 0; i < 6; i++) {
		snprintf(id, sizeof(id), "call-%d", i);
		call_rig(rig.calls[0], "GET", "/read/ok", id, "", make_str(""),
		    &reply);
		ck_assert_int_eq(reply.status, 200);
		ck_assert_int_eq(count_runs(id), 1);
		unload_reply(&reply);
		reset_fake_connections_on_use(rig.servers[0]);
		reset_fake_connections_on_use(rig.servers[1]);
	}
	runs = get_histogram(
	    register_metric(METRIC_HISTOGRAM, "ggs_node_run_us", ""));
	ck_assert_uint_eq(runs.count, 6);
	ck_assert_uint_lt(runs.max, 5000000);
}
END_TEST

/* Guards against new calls at a server that said that it leaves. */
START_TEST(leaving_servers_get_no_new_calls)
{
	struct rig_reply reply;
	int before;

	ck_assert_int_eq(report_rig(&rig, 0, "i-0", "leaving", 2, 1000), 200);
	before = count_fake_requests(rig.servers[0]);
	for (int i = 0; i < 30; i++) {
		call_rig(rig.calls[i % 3], "GET", "/read/ok", "call", "",
		    make_str(""), &reply);
		ck_assert_int_eq(reply.status, 200);
		unload_reply(&reply);
	}
	ck_assert_int_eq(count_fake_requests(rig.servers[0]), before);
	/* It does not come back, not even by a late report. */
	ck_assert_int_eq(report_rig(&rig, 0, "i-0", "ready", 1, 1000), 200);
	ck_assert_int_eq(report_rig(&rig, 0, "i-0", "ready", 3, 1000), 200);
	call_rig(
	    rig.calls[0], "GET", "/read/ok", "call", "", make_str(""), &reply);
	unload_reply(&reply);
	ck_assert_int_eq(count_fake_requests(rig.servers[0]), before);
}
END_TEST

struct report_case {
	const char *what;
	const char *instance, *state;
	int seq, born; /* after "ready" 1 of i-0, born at 1000 */
	bool want_served;
};

static const struct report_case report_cases[] = {
    {"the next report", "i-0", "ready", 2, 1000, true},
    {"another run is taken up", "i-9", "ready", 1, 2000, true},
    {"an earlier run is ignored", "i-8", "leaving", 9, 500, true},
    {"the end of an earlier run is ignored", "i-8", "gone", 0, 500, true},
    {"the end of an unknown run is ignored", "i-8", "gone", 0, 0, true},
    {"the end of this run counts", "i-0", "gone", 0, 1000, false},
    {"the end of this run without its birth counts", "i-0", "gone", 0, 0,
	false},
    {"leaving counts although it was overtaken", "i-0", "leaving", 1, 1000,
	false},
};

/* Guards against reports that come late, from a server that is gone. */
START_TEST(reports_count_for_their_own_run)
{
	const struct report_case *c = &report_cases[_i];
	int before, served;
	struct rig_reply reply;

	report_rig(&rig, 0, c->instance, c->state, c->seq, c->born);
	ck_assert_int_eq(report_rig(&rig, 1, "i-1", "gone", 0, 1000), 200);
	before = count_requests();
	call_rig(
	    rig.calls[2], "GET", "/read/ok", "call", "", make_str(""), &reply);
	served = count_requests() - before;
	ck_assert_msg((reply.status == 200) == c->want_served, "%s", c->what);
	ck_assert_msg(served == (c->want_served ? 1 : 0), "%s", c->what);
	unload_reply(&reply);
}
END_TEST

/*
 * Guards against a call that is sent again although it may be running, when the
 * serving node dies.
 */
START_TEST(serving_node_that_dies_costs_no_second_run)
{
	struct rig_reply reply;
	int fd[4];
	char text[256];

	/* Only node 0 can serve, then only node 1. */
	report_rig(&rig, 1, "i-1", "leaving", 2, 1000);
	for (int i = 0; i < 4; i++) {
		snprintf(text, sizeof(text),
		    "POST /pay/slow HTTP/1.1\r\nHost: test.example\r\n"
		    "Call-Id: pay-%d\r\nContent-Length: 0\r\n\r\n",
		    i);
		fd[i] = connect_rig(rig.calls[2]);
		ck_assert_int_eq(
		    send(fd[i], text, strlen(text), 0), (ssize_t)strlen(text));
	}
	usleep(60000);
	report_rig(&rig, 1, "i-2", "ready", 1, 3000);
	stop_rig_node(&rig, 0);
	for (int i = 0; i < 4; i++) {
		char id[16];

		read_rig_reply(fd[i], &reply);
		snprintf(id, sizeof(id), "pay-%d", i);
		ck_assert_int_eq(count_runs(id), 1);
		ck_assert_int_eq(reply.status, 502);
		unload_reply(&reply);
		close(fd[i]);
	}
	start_rig_node(&rig, 0);
}
END_TEST

/*
 * Guards against a node that is silent, like one whose machine stands still,
 * and costs a call each time that it is tried again. Its system still takes
 * connections.
 */
START_TEST(silent_node_costs_one_call)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0), slow = 0;
	struct rig_reply reply;
	char address[32];

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	ck_assert_int_eq(listen(fd, 64), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&sin, &len), 0);
	snprintf(address, sizeof(address), "127.0.0.1:%d", ntohs(sin.sin_port));
	add_fake_endpoint(
	    rig.agent, "svc", "node-9", address, 100, WIRE_ENDPOINT_READY);
	refresh_node(rig.nodes[2]);
	for (int i = 0; i < 40; i++) {
		int64_t began = read_rig_now();

		call_rig(rig.calls[2], "GET", "/read/ok", "call", "",
		    make_str(""), &reply);
		ck_assert_int_eq(reply.status, 200);
		unload_reply(&reply);
		slow += read_rig_now() - began > 150 * NSEC_PER_MSEC ? 1 : 0;
		usleep(50000);
	}
	ck_assert_int_le(slow, 1);
	/* A call of one attempt is not lost there: it was never offered. */
	add_fake_endpoint(
	    rig.agent, "svc", "node-8", address, 100, WIRE_ENDPOINT_READY);
	refresh_node(rig.nodes[2]);
	for (int i = 0; i < 10; i++) {
		call_rig(rig.calls[2], "GET", "/once/ok", "call", "",
		    make_str(""), &reply);
		ck_assert_int_eq(reply.status, 200);
		unload_reply(&reply);
	}
	close(fd);
}
END_TEST

/*
 * Guards against a run that is cut off and a call that is given up because its
 * node is silent for a moment, when no other node could take the call.
 */
START_TEST(call_without_a_retry_outlives_a_silence)
{
	static const char *const calls[] = {
	    "GET /once/slow HTTP/1.1\r\nHost: test.example\r\n"
	    "Call-Id: hushed-0\r\n\r\n",
	    "GET /read/slow HTTP/1.1\r\nHost: test.example\r\n"
	    "Call-Id: hushed-1\r\n\r\n",
	};
	struct relay *relay = open_relay(rig.links[1]);
	struct rig_reply reply;

	clear_fake_endpoints(rig.agent, "svc");
	add_fake_endpoint(rig.agent, "svc", "node-1", get_relay_address(relay),
	    4, WIRE_ENDPOINT_READY);
	refresh_node(rig.nodes[2]);
	for (int i = 0; i < 2; i++) {
		char id[16];
		int fd = connect_rig(rig.calls[2]);

		snprintf(id, sizeof(id), "hushed-%d", i);
		ck_assert_int_eq(send(fd, calls[i], strlen(calls[i]), 0),
		    (ssize_t)strlen(calls[i]));
		usleep(30000);
		set_relay_silent(relay, true);
		usleep(1000000);
		set_relay_silent(relay, false);
		read_rig_reply(fd, &reply);
		ck_assert_msg(reply.status == 200, "%s: %d", id, reply.status);
		ck_assert_int_eq(count_runs(id), 1);
		unload_reply(&reply);
		close(fd);
	}
	clear_fake_endpoints(rig.agent, "svc");
	for (int i = 0; i < 2; i++) {
		char name[16];

		snprintf(name, sizeof(name), "node-%d", i);
		add_fake_endpoint(rig.agent, "svc", name, rig.links[i], 4,
		    WIRE_ENDPOINT_READY);
	}
	for (int i = 0; i < 3; i++)
		refresh_node(rig.nodes[i]);
	close_relay(relay);
}
END_TEST

/*
 * Guards against calls that wait at a full server while another one is free,
 * because the entry nodes do not know of each other's calls.
 */
START_TEST(free_slot_is_found_without_a_report)
{
	struct rig_reply reply;
	int fd[8];

	for (int round = 0; round < 5; round++) {
		int64_t began = read_rig_now();

		/* As many as there are slots, by way of two nodes at once. */
		for (int i = 0; i < 8; i++) {
			char text[128];

			snprintf(text, sizeof(text),
			    "GET /read/slow HTTP/1.1\r\nHost: test.example\r\n"
			    "Call-Id: spread-%d-%d\r\n\r\n",
			    round, i);
			fd[i] = connect_rig(rig.calls[i % 2 * 2]);
			ck_assert_int_eq(send(fd[i], text, strlen(text), 0),
			    (ssize_t)strlen(text));
		}
		for (int i = 0; i < 8; i++) {
			read_rig_reply(fd[i], &reply);
			ck_assert_int_eq(reply.status, 200);
			unload_reply(&reply);
			close(fd[i]);
		}
		/* A call takes 150 ms, one that waits takes 300. */
		ck_assert_int_lt(read_rig_now() - began, 290 * NSEC_PER_MSEC);
	}
}
END_TEST

/*
 * Guards against calls that wait at a node and are sent to its backend server
 * long after that said that it leaves.
 */
START_TEST(leaving_server_gets_no_call_that_waited)
{
	static const char slow[] = "GET /read/slow HTTP/1.1\r\nHost: "
				   "test.example\r\nCall-Id: wait\r\n\r\n";
	struct rig_reply reply;
	int fd[32], sent, served = 0;

	/* Four slots and 150 ms: the last of them would start after a second. */
	report_rig(&rig, 1, "i-1", "leaving", 2, 1000);
	for (size_t i = 0; i < sizeof(fd) / sizeof(fd[0]); i++) {
		fd[i] = connect_rig(rig.calls[0]);
		ck_assert_int_eq(
		    send(fd[i], slow, strlen(slow), 0), (ssize_t)strlen(slow));
	}
	usleep(50000);
	report_rig(&rig, 0, "i-0", "leaving", 2, 1000);
	usleep(200000);
	sent = count_fake_requests(rig.servers[0]);
	for (size_t i = 0; i < sizeof(fd) / sizeof(fd[0]); i++) {
		read_rig_reply(fd[i], &reply);
		ck_assert(reply.status == 200 || reply.status == 503);
		served += reply.status == 200 ? 1 : 0;
		unload_reply(&reply);
		close(fd[i]);
	}
	ck_assert_int_eq(count_fake_requests(rig.servers[0]), sent);
	ck_assert_int_ge(served, 4);
}
END_TEST

/*
 * Guards against calls that are offered to the node that has taken over the
 * address of one that is gone but still listed.
 */
START_TEST(reused_address_costs_one_offer)
{
	struct rig_reply reply;
	int failed = 0;

	/* The node of "other" answers where five of "svc" are listed. */
	for (int i = 0; i < 5; i++) {
		char name[16];

		snprintf(name, sizeof(name), "node-gone-%d", i);
		add_fake_endpoint(rig.agent, "svc", name, rig.links[2], 100,
		    WIRE_ENDPOINT_READY);
	}
	refresh_node(rig.nodes[0]);
	report_rig(&rig, 0, "i-0", "leaving", 2, 1000);
	for (int i = 0; i < 40; i++) {
		call_rig(rig.calls[0], "GET", "/read/ok", "call", "",
		    make_str(""), &reply);
		failed += reply.status == 200 ? 0 : 1;
		unload_reply(&reply);
	}
	ck_assert_int_eq(failed, 0);
}
END_TEST

/* Guards against a stop that cuts off calls, or that callers do not notice. */
START_TEST(stop_answers_every_call)
{
	static const char slow[] = "GET /read/slow HTTP/1.1\r\nHost: "
				   "test.example\r\nCall-Id: last\r\n\r\n";
	struct rig_reply reply;
	int fd = connect_rig(rig.calls[0]);

	ck_assert_int_eq(
	    send(fd, slow, strlen(slow), 0), (ssize_t)strlen(slow));
	usleep(20000);
	drain_node(rig.nodes[0]);
	read_rig_reply(fd, &reply);
	ck_assert_int_eq(reply.status, 200);
	ck_assert(has_header(&reply, "Connection: close"));
	unload_reply(&reply);
	close(fd);
	call_rig(rig.ready[0], "GET", "/ready", "q", "", make_str(""), &reply);
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

/* Guards against requests that are read differently than their sender meant. */
START_TEST(requests_by_hand)
{
	const struct raw_case *c = &raw_cases[_i];
	struct rig_reply reply;
	int fd = connect_rig(rig.calls[0]);

	ck_assert_int_eq(
	    send(fd, c->bytes, strlen(c->bytes), 0), (ssize_t)strlen(c->bytes));
	read_rig_reply(fd, &reply);
	ck_assert_int_eq(reply.status, c->want);
	unload_reply(&reply);
	close(fd);
}
END_TEST

/* Guards against a connection that mixes up several calls. */
START_TEST(calls_follow_on_one_connection)
{
	int fd = connect_rig(rig.calls[2]);

	for (int i = 0; i < 5; i++) {
		struct rig_reply reply;
		char text[256], id[16];

		snprintf(id, sizeof(id), "call-%d", i);
		snprintf(text, sizeof(text),
		    "POST /pay/ok HTTP/1.1\r\nHost: test.example\r\n"
		    "Call-Id: %s\r\nContent-Length: 4\r\n\r\nbody",
		    id);
		ck_assert_int_eq(
		    send(fd, text, strlen(text), 0), (ssize_t)strlen(text));
		read_rig_reply(fd, &reply);
		ck_assert_int_eq(reply.status, 200);
		ck_assert(has_header(&reply, id));
		unload_reply(&reply);
	}
	close(fd);
}
END_TEST

/* Guards against a node that is ready before it knows what to do. */
START_TEST(node_without_a_table_refuses)
{
	struct rig_reply reply;

	stop_rig_node(&rig, 0);
	clear_fake_table(rig.agent);
	start_rig_node(&rig, 0);
	call_rig(rig.ready[0], "GET", "/ready", "q", "", make_str(""), &reply);
	ck_assert_int_eq(reply.status, 503);
	unload_reply(&reply);
	call_rig(
	    rig.calls[0], "GET", "/read/ok", "call", "", make_str(""), &reply);
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
	tcase_add_checked_fixture(t, open_three, close_three);
	tcase_add_loop_test(t, outcome_of_each_call_is_true, 0,
	    sizeof(call_cases) / sizeof(call_cases[0]));
	tcase_add_test(t, late_answers_are_skipped);
	tcase_add_test(t, requests_arrive_as_they_were_sent);
	tcase_add_test(t, split_rows_keep_their_shares);
	tcase_add_test(t, calls_of_callers_that_left_are_stopped);
	tcase_add_test(t, forgotten_connections_cost_no_call);
	tcase_add_test(t, calls_on_reset_connections_are_sent_again);
	tcase_add_test(t, leaving_servers_get_no_new_calls);
	tcase_add_loop_test(t, reports_count_for_their_own_run, 0,
	    sizeof(report_cases) / sizeof(report_cases[0]));
	tcase_add_test(t, serving_node_that_dies_costs_no_second_run);
	tcase_add_test(t, silent_node_costs_one_call);
	tcase_add_test(t, free_slot_is_found_without_a_report);
	tcase_add_test(t, leaving_server_gets_no_call_that_waited);
	tcase_add_test(t, reused_address_costs_one_offer);
	tcase_add_test(t, call_without_a_retry_outlives_a_silence);
	tcase_add_test(t, stop_answers_every_call);
	tcase_add_loop_test(
	    t, requests_by_hand, 0, sizeof(raw_cases) / sizeof(raw_cases[0]));
	tcase_add_test(t, calls_follow_on_one_connection);
	tcase_add_test(t, node_without_a_table_refuses);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
