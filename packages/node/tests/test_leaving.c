/*
 * A backend server whose leaving was acknowledged gets no call any more, in each
 * order in which its reports may arrive and with restarts of its node; one that
 * has been started since is used at once.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "node_fixture.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define STEPS_MAX 8
#define REFUSED_CALLS 40
#define CALLS_AFTER 200
#define BORN_NOW 1 /* at this step; 0: the report does not say */

enum step_kind {
	STEPS_END,
	READY,
	DRAINING,
	GONE,
	RESTART, /* of the node beside the server */
	RESTART_ALL, /* nodes, none of which runs meanwhile */
	CALLS, /* from each node; it does not matter how it ends */
};

struct step {
	enum step_kind kind;
	const char *id;
	int born_ms; /* relative to the begin of the case */
	int seq;
};

#define RESTARTED                 \
	{                         \
		RESTART, "", 0, 0 \
	}

#define CALLED                  \
	{                       \
		CALLS, "", 0, 0 \
	}

/* The server is "i-0"; every report is acknowledged. */
struct leaving_case {
	const char *what;
	struct step steps[STEPS_MAX];
	const char *want; /* instance that calls are sent to; NULL: none */
};

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

static const struct leaving_case cases[] = {
    {"no leaving", {{READY, "i-0", -9000, 7}}, "i-0"},
    {"draining, late ping",
	{{READY, "i-0", -9000, 7}, {DRAINING, "i-0", -9000, 9},
	    {READY, "i-0", -9000, 8}},
	NULL},
    {"exit, late pings",
	{{READY, "i-0", -9000, 7}, {GONE, "i-0", 0, 0},
	    {READY, "i-0", -9000, 8}, {READY, "i-0", -9000, 9}},
	NULL},
    {"restart, draining, late ping",
	{RESTARTED, {DRAINING, "i-0", -9000, 9}, {READY, "i-0", -9000, 8}},
	NULL},
    {"restart, exit, late pings",
	{RESTARTED, {GONE, "i-0", 0, 0}, {READY, "i-0", -9000, 8},
	    {READY, "i-0", -9000, 9}},
	NULL},
    {"restart, exit, late pings in any order",
	{RESTARTED, {GONE, "i-0", 0, 0}, {DRAINING, "i-0", -9000, 10},
	    {READY, "i-0", -9000, 9}, {READY, "i-0", -9000, 8}},
	NULL},
    {"restart, exit, late ping without a birth",
	{RESTARTED, {GONE, "i-0", 0, 0}, {READY, "i-0", 0, 8}}, NULL},
    {"late ping of an earlier server, exit, late ping",
	{RESTARTED, {READY, "i-9", -20000, 30}, {GONE, "i-0", 0, 0},
	    {READY, "i-0", -9000, 8}},
	"i-9"}, /* which answers as another instance */
    {"exit, late pings of it and of an earlier run with its id",
	{{READY, "i-0", -9000, 7}, {GONE, "i-0", 0, 0},
	    {READY, "i-0", -20000, 40}, {READY, "i-0", -9000, 8}},
	NULL},
    {"exit before the first ping of a run, late ping",
	{{READY, "i-0", -20000, 40}, {GONE, "i-0", 0, 0},
	    {READY, "i-0", -9000, 1}},
	NULL},
    {"two exits, late pings of both",
	{RESTARTED, {GONE, "i-0", 0, 0}, {READY, "i-1", BORN_NOW, 1},
	    {GONE, "i-1", 0, 0}, {READY, "i-0", -9000, 8},
	    {READY, "i-0", 0, 8}},
	NULL},
    {"exit, new instance",
	{{READY, "i-0", -9000, 7}, {GONE, "i-0", 0, 0},
	    {READY, "i-1", BORN_NOW, 1}},
	"i-1"},
    {"exit, new run with its id",
	{{READY, "i-0", -9000, 7}, {GONE, "i-0", 0, 0},
	    {READY, "i-0", BORN_NOW, 1}},
	"i-0"},
    {"draining, new run with its id",
	{{READY, "i-0", -9000, 7}, {DRAINING, "i-0", -9000, 8},
	    {READY, "i-0", BORN_NOW, 1}},
	"i-0"},
    {"restart, exit, new run with its id",
	{RESTARTED, {GONE, "i-0", 0, 0}, {READY, "i-0", BORN_NOW, 1}}, "i-0"},
    {"restart, exit, new instance, late ping",
	{RESTARTED, {GONE, "i-0", 0, 0}, {READY, "i-1", BORN_NOW, 1},
	    {READY, "i-0", -9000, 8}},
	"i-1"},
    {"exit, restart, late ping",
	{{READY, "i-0", -9000, 7}, CALLED, {GONE, "i-0", 0, 0}, RESTARTED,
	    {READY, "i-0", -9000, 8}},
	NULL},
    {"draining, restart, late ping",
	{{READY, "i-0", -9000, 7}, CALLED, {DRAINING, "i-0", -9000, 9},
	    RESTARTED, {READY, "i-0", -9000, 8}},
	NULL},
    {"exit, two restarts, late ping",
	{{READY, "i-0", -9000, 7}, CALLED, {GONE, "i-0", 0, 0}, RESTARTED,
	    RESTARTED, {READY, "i-0", -9000, 8}},
	NULL},
    {"restart, exit, restart, late pings",
	{CALLED, RESTARTED, {READY, "i-9", -20000, 30}, CALLED,
	    {GONE, "i-0", 0, 0}, RESTARTED, {READY, "i-0", -9000, 8},
	    {READY, "i-0", -9000, 9}},
	NULL},
    {"exit, restart, new instance",
	{{READY, "i-0", -9000, 7}, CALLED, {GONE, "i-0", 0, 0}, RESTARTED,
	    {READY, "i-1", BORN_NOW, 1}},
	"i-1"},
    {"exit, restart, new run with its id",
	{{READY, "i-0", -9000, 7}, CALLED, {GONE, "i-0", 0, 0}, RESTARTED,
	    {READY, "i-0", BORN_NOW, 1}},
	"i-0"},
    {"restart, ping", {CALLED, RESTARTED, {READY, "i-0", -9000, 8}}, "i-0"},
    {"exit, restart, late ping, without a link to the node",
	{RESTARTED, {READY, "i-0", -9000, 7}, {GONE, "i-0", 0, 0}, RESTARTED,
	    {READY, "i-0", -9000, 8}},
	NULL},
    {"draining, restart, late ping, without a link to the node",
	{RESTARTED, {READY, "i-0", -9000, 7}, {DRAINING, "i-0", -9000, 9},
	    RESTARTED, {READY, "i-0", -9000, 8}},
	NULL},
    {"exit, two restarts, late pings, without a link to the node",
	{RESTARTED, {READY, "i-0", -9000, 7}, {GONE, "i-0", 0, 0}, RESTARTED,
	    RESTARTED, {READY, "i-0", 0, 8}, {READY, "i-0", -9000, 9}},
	NULL},
    {"exit of two, restart, late pings of both, without a link to the node",
	{RESTARTED, {READY, "i-0", -9000, 7}, {GONE, "i-0", 0, 0},
	    {READY, "i-1", BORN_NOW, 1}, {GONE, "i-1", 0, 0}, RESTARTED,
	    {READY, "i-0", -9000, 8}, {READY, "i-1", -1000, 2}},
	NULL},
    {"exit, restart of all nodes, late ping",
	{{READY, "i-0", -9000, 7}, CALLED, {GONE, "i-0", 0, 0},
	    {RESTART_ALL, "", 0, 0}, {READY, "i-0", -9000, 8}},
	NULL},
    {"exit, restart of all nodes, new run with its id",
	{{READY, "i-0", -9000, 7}, CALLED, {GONE, "i-0", 0, 0},
	    {RESTART_ALL, "", 0, 0}, {READY, "i-0", BORN_NOW, 1}},
	"i-0"},
    {"restart of all nodes, ping",
	{CALLED, {RESTART_ALL, "", 0, 0}, {READY, "i-0", -9000, 8}}, "i-0"},
    {"late exit of an earlier instance",
	{{READY, "i-0", -9000, 7}, {READY, "i-1", BORN_NOW, 1},
	    {GONE, "i-0", 0, 0}},
	"i-1"},
};

static int64_t
read_wall_ms(void)
{
	struct clock_source c = get_real_clock();

	return read_wall(&c) / NSEC_PER_MSEC;
}

/* Nodes 0 to count-1. */
static void
restart_nodes(int count)
{
	for (int i = 0; i < count; i++)
		stop_fixture_node(&fixture, i);
	for (int i = 0; i < count; i++) {
		struct test_reply reply = {0};

		start_fixture_node(&fixture, i);
		for (int k = 0; k < 200 && reply.status != 200; k++) {
			send_test_call(fixture.ready[i], "GET", "/ready", "q",
			    "", make_str(""), &reply);
			unload_reply(&reply);
			usleep(1000);
		}
		ck_assert_int_eq(reply.status, 200);
	}
}

static void
run_step(const struct step *s, int64_t begin_ms)
{
	static const char *const states[] = {
	    [READY] = "ready", [DRAINING] = "leaving", [GONE] = "gone"};
	int64_t born = s->born_ms == 0 ? 0 : begin_ms + s->born_ms;

	if (s->kind == RESTART || s->kind == RESTART_ALL) {
		restart_nodes(s->kind == RESTART_ALL ? 3 : 1);
		return;
	}
	if (s->kind == CALLS) {
		for (int i = 0; i < 3; i++)
			(void)send_read_call(&fixture, i);
		return;
	}
	if (s->born_ms == BORN_NOW) {
		usleep(2000);
		born = read_wall_ms();
	}
	ck_assert_int_eq(
	    send_report(&fixture, 0, s->id, states[s->kind], s->seq, born),
	    200);
}

/* Sends calls by all nodes and checks which instance they are sent to. */
static void
check_use(const struct leaving_case *c)
{
	char instance[NODE_ID_BYTES];

	for (int i = 0; i < 3; i++) {
		int before = count_fake_requests(fixture.servers[0]);
		int status = send_read_call(&fixture, i), sent;

		/* Entry nodes look for a restarted node every 0.5 s. */
		for (int k = 0; k < 100 && c->want != NULL && status != 200;
		     k++) {
			usleep(10000);
			status = send_read_call(&fixture, i);
		}
		sent = count_fake_requests(fixture.servers[0]) - before;

		ck_assert_msg(sent == (c->want != NULL ? 1 : 0) &&
				  status == (c->want != NULL ? 200 : 503),
		    "%s: %d calls sent by node %d, status %d", c->what, sent, i,
		    status);
		get_fake_header(
		    fixture.servers[0], "Expect", instance, sizeof(instance));
		if (c->want != NULL)
			ck_assert_str_eq(instance, c->want);
	}
}

/*
 * Guards against review 9, DRAIN: a late ping of a server whose leaving was
 * acknowledged made the node use it again; and against a server that is not used
 * because an earlier one has left.
 */
START_TEST(acknowledged_leaving_is_final)
{
	const struct leaving_case *c = &cases[_i];
	int64_t begin = read_wall_ms();

	for (size_t i = 0; i < STEPS_MAX && c->steps[i].kind != STEPS_END; i++)
		run_step(&c->steps[i], begin);
	usleep(20000); /* entry nodes learn of the state */
	check_use(c);
}
END_TEST

/*
 * The server crashes and is started again between two calls; until its first
 * report the node sends calls to the one before. Guards against a server that
 * other nodes leave out for good since the calls before its report have failed.
 */
START_TEST(restarted_server_is_used_by_other_nodes)
{
	struct test_reply reply;
	int before, sent = 0;

	for (int i = 0; i < REFUSED_CALLS; i++) {
		send_test_call(fixture.calls[2], "GET", "/read/other", "call",
		    "", make_str(""), &reply);
		unload_reply(&reply);
	}
	add_fake_endpoint(fixture.agent, "svc", "node-1", fixture.links[1], 4,
	    WIRE_ENDPOINT_READY);
	for (int i = 0; i < 3; i++)
		refresh_node(fixture.nodes[i]);
	ck_assert_int_eq(
	    send_report(&fixture, 0, "i-9", "ready", 1, read_wall_ms()), 200);
	usleep(20000);
	before = count_fake_requests(fixture.servers[0]);
	for (int i = 0; i < CALLS_AFTER && sent == 0; i++) {
		ck_assert_int_eq(send_read_call(&fixture, 2), 200);
		sent = count_fake_requests(fixture.servers[0]) - before;
	}
	ck_assert_int_gt(sent, 0);
}
END_TEST

/* Waits until calls of node 0 end with a status. */
static void
wait_for_status(int status)
{
	int got = 0;

	for (int i = 0; i < 300 && got != status; i++) {
		usleep(10000);
		got = send_read_call(&fixture, 0);
	}
	ck_assert_int_eq(got, status);
}

/*
 * Guards against reviews 13 and 14: a leaving was acknowledged that one process
 * knew. Without a quorum it is not acknowledged, but no call goes to the server;
 * once there is one again, the next report is acknowledged.
 */
START_TEST(leaving_is_acknowledged_when_it_is_recorded)
{
	int64_t born = read_wall_ms() - 9000;

	set_fake_leavings(fixture.agent, FAKE_LEAVINGS_NO_QUORUM);
	ck_assert_int_eq(
	    send_report(&fixture, 0, "i-0", "ready", 7, born), 200);
	ck_assert_int_eq(
	    send_report(&fixture, 0, "i-0", "leaving", 8, born), 503);
	wait_for_status(503);
	ck_assert_int_eq(send_report(&fixture, 0, "i-0", "gone", 9, born), 503);
	set_fake_leavings(fixture.agent, FAKE_LEAVINGS_KEPT);
	ck_assert_int_eq(send_report(&fixture, 0, "i-0", "gone", 9, born), 200);
	restart_nodes(1);
	ck_assert_int_eq(
	    send_report(&fixture, 0, "i-0", "ready", 8, born), 200);
	usleep(20000);
	ck_assert_int_eq(send_read_call(&fixture, 0), 503);
}
END_TEST

/*
 * Guards against a sender that hangs up while its report waits, and against a
 * stop of the node meanwhile.
 */
START_TEST(sender_of_a_waiting_report_may_leave)
{
	static const char report[] =
	    "POST /report/i-0/leaving/8/1000 HTTP/1.1\r\nHost: a\r\n"
	    "Content-Length: 0\r\n\r\n";

	set_fake_leavings(fixture.agent, FAKE_LEAVINGS_NO_QUORUM);
	for (int i = 0; i < 3; i++) {
		int fd = connect_test_client(fixture.reports[0]);

		ck_assert_int_eq(
		    write(fd, report, sizeof(report) - 1), sizeof(report) - 1);
		usleep(20000);
		close(fd);
	}
	set_fake_leavings(fixture.agent, FAKE_LEAVINGS_KEPT);
	ck_assert_int_eq(
	    send_report(&fixture, 0, "i-0", "leaving", 9, 1000), 200);
	set_fake_leavings(fixture.agent, FAKE_LEAVINGS_NO_QUORUM);
	ck_assert_int_ge(
	    send_report(&fixture, 0, "i-1", "leaving", 1, 2000), 503);
	restart_nodes(1);
}
END_TEST

/*
 * Guards against reviews 13 and 14: a node that nobody answered at its start
 * used a server that had left. It uses one that has been started since at once,
 * and an older one as soon as the control group answers.
 */
START_TEST(started_node_waits_for_the_control_group)
{
	set_fake_leavings(fixture.agent, FAKE_LEAVINGS_NO_QUORUM);
	restart_nodes(1);
	ck_assert_int_eq(
	    send_report(&fixture, 0, "i-0", "ready", 8, 1000), 200);
	usleep(500000);
	ck_assert_int_eq(send_read_call(&fixture, 0), 503);
	usleep(2000);
	ck_assert_int_eq(
	    send_report(&fixture, 0, "i-1", "ready", 1, read_wall_ms()), 200);
	ck_assert_int_eq(send_read_call(&fixture, 0), 200);
	restart_nodes(1);
	ck_assert_int_eq(
	    send_report(&fixture, 0, "i-1", "ready", 2, 1000), 200);
	ck_assert_int_eq(send_read_call(&fixture, 0), 503);
	set_fake_leavings(fixture.agent, FAKE_LEAVINGS_KEPT);
	wait_for_status(200);
}
END_TEST

/*
 * Guards against servers that are not used, or not acknowledged, beside control
 * processes of an earlier build, which keep no leavings.
 */
START_TEST(earlier_build_of_control_processes_keeps_none)
{
	set_fake_leavings(fixture.agent, FAKE_LEAVINGS_OLD);
	restart_nodes(1);
	ck_assert_int_eq(
	    send_report(&fixture, 0, "i-0", "ready", 8, 1000), 200);
	wait_for_status(200);
	ck_assert_int_eq(
	    send_report(&fixture, 0, "i-0", "leaving", 9, 1000), 200);
	wait_for_status(503);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("leaving");
	TCase *t = tcase_create("leaving");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_checked_fixture(t, open_nodes, close_nodes);
	tcase_add_loop_test(t, acknowledged_leaving_is_final, 0, COUNT(cases));
	tcase_add_test(t, restarted_server_is_used_by_other_nodes);
	tcase_add_test(t, leaving_is_acknowledged_when_it_is_recorded);
	tcase_add_test(t, sender_of_a_waiting_report_may_leave);
	tcase_add_test(t, started_node_waits_for_the_control_group);
	tcase_add_test(t, earlier_build_of_control_processes_keeps_none);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
