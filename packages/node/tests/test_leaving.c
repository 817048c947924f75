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

static void
restart_node(void)
{
	struct test_reply reply = {0};

	stop_fixture_node(&fixture, 0);
	start_fixture_node(&fixture, 0);
	for (int i = 0; i < 200 && reply.status != 200; i++) {
		send_test_call(fixture.ready[0], "GET", "/ready", "q", "",
		    make_str(""), &reply);
		unload_reply(&reply);
		usleep(1000);
	}
	ck_assert_int_eq(reply.status, 200);
}

static void
run_step(const struct step *s, int64_t begin_ms)
{
	static const char *const states[] = {
	    [READY] = "ready", [DRAINING] = "leaving", [GONE] = "gone"};
	int64_t born = s->born_ms == 0 ? 0 : begin_ms + s->born_ms;

	if (s->kind == RESTART) {
		restart_node();
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
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
