/*
 * Asks for allotments to control processes that are not the leader, are the
 * leader, or do not answer.
 */
#include <check.h>
#include <sched.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "agent.h"
#include "rpc.h"

#define CONTROLS 2
#define POLLS_MAX 500 /* of 10 ms */
#define TIMEOUT_MS 400

static const char fleet_key[] = "fleet key one, 32 bytes of text";

struct control {
	struct rpc_server *server;
	char address[64];
	atomic_int asks;
	struct rpc_reply *held; /* without an answer; freed at the end */
};

static struct control controls[CONTROLS];
static atomic_int leader; /* index; -1: none answers */
static struct agent *agent;
static atomic_int answers, last_status, last_tokens;

static void
handle_call(void *arg, const struct rpc_request *req, struct rpc_reply *reply)
{
	struct wire_allotment_reply out = {.leader = (char *)(uintptr_t) ""};
	wire_allotment_grant grant = {7, 0};
	struct control *c = arg;
	struct buf body = {0};
	int first = atomic_load(&leader);

	if (req->proc != GGS_ALLOTMENT) {
		complete_rpc(reply, ERR_NOT_FOUND, make_str(""));
		return;
	}
	atomic_fetch_add(&c->asks, 1);
	if (first < 0 && c->held == NULL) {
		c->held = reply;
		return;
	}
	if (first >= 0 && c == &controls[first]) {
		out.grants.grants_len = 1;
		out.grants.grants_val = &grant;
	} else {
		out.status = WIRE_UNAVAILABLE;
		if (first >= 0)
			out.leader = controls[first].address;
	}
	ck_assert_int_eq(
	    encode_wire((xdrproc_t)xdr_wire_allotment_reply, &out, &body), 0);
	complete_rpc(reply, 0, view_buf(&body));
	unload_buf(&body);
}

static void
take_answer(void *arg, int status, const struct wire_allotment_reply *reply)
{
	(void)arg;
	atomic_store(&last_status, status);
	atomic_store(
	    &last_tokens, reply != NULL && reply->grants.grants_len == 1 ?
			      (int)reply->grants.grants_val[0].tokens :
			      -1);
	atomic_fetch_add(&answers, 1);
}

static void
ask(void)
{
	struct wire_allotment_args args = {.run = 1, .seq = 1};
	int before = atomic_load(&answers);

	ck_assert_int_eq(
	    request_allotment(agent, &args, TIMEOUT_MS, take_answer, NULL), 0);
	for (int i = 0; i < POLLS_MAX && atomic_load(&answers) == before; i++)
		usleep(10000);
	ck_assert_int_eq(atomic_load(&answers), before + 1);
}

static void
open_agent(void)
{
	struct agent_config cfg = {.clock = get_real_clock(),
	    .node = "node-1",
	    .zone = "z",
	    .control_count = CONTROLS,
	    .key = make_str(fleet_key)};
	struct fault f = {0};

	memset(controls, 0, sizeof(controls));
	for (int i = 0; i < CONTROLS; i++) {
		struct rpc_server_config s = {.clock = get_real_clock(),
		    .address = "127.0.0.1:0",
		    .key = make_str(fleet_key),
		    .procs = get_ggs_procs(),
		    .handler = handle_call,
		    .arg = &controls[i]};

		ck_assert_int_eq(
		    start_rpc_server(&s, &controls[i].server, &f), 0);
		(void)copy_str(controls[i].address, sizeof(controls[i].address),
		    make_str(get_rpc_server_address(controls[i].server)));
		cfg.controls[i] = controls[i].address;
	}
	ck_assert_msg(start_agent(&cfg, &agent, &f) == 0, "%s", f.text);
}

static void
close_agent(void)
{
	stop_agent(agent);
	for (int i = 0; i < CONTROLS; i++) {
		stop_rpc_server(controls[i].server);
		if (controls[i].held != NULL)
			complete_rpc(controls[i].held, 0, make_str(""));
	}
}

/* An ask follows the name of the leader, later ones go there at once. */
START_TEST(asks_go_to_leader)
{
	for (int first = 0; first < CONTROLS; first++) {
		int others;

		atomic_store(&leader, first);
		ask();
		ck_assert_int_eq(atomic_load(&last_status), 0);
		ck_assert_int_eq(atomic_load(&last_tokens), 7);
		others = atomic_load(&controls[1 - first].asks);
		ask();
		ck_assert_int_eq(atomic_load(&last_status), 0);
		ck_assert_int_eq(
		    atomic_load(&controls[1 - first].asks), others);
	}
}
END_TEST

/* Without an answer the node is told in time, and may ask again. */
START_TEST(unanswered_ask_ends)
{
	atomic_store(&leader, -1);
	ask();
	ck_assert_int_eq(atomic_load(&last_status), ERR_UNAVAILABLE);
	atomic_store(&leader, 1);
	ask();
	ck_assert_int_eq(atomic_load(&last_status), 0);
}
END_TEST

/* A node that ends must not be called, and only one ask is under way. */
START_TEST(cancelled_ask_is_silent)
{
	struct wire_allotment_args args = {.run = 1, .seq = 1};

	atomic_store(&leader, -1);
	ck_assert_int_eq(
	    request_allotment(agent, &args, TIMEOUT_MS, take_answer, NULL), 0);
	ck_assert_int_eq(
	    request_allotment(agent, &args, TIMEOUT_MS, take_answer, NULL),
	    ERR_LIMIT);
	cancel_allotment(agent);
	usleep(2 * TIMEOUT_MS * 1000);
	ck_assert_int_eq(atomic_load(&answers), 0);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("agent allotments");
	TCase *t = tcase_create("agent allotments");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 30);
	tcase_add_checked_fixture(t, open_agent, close_agent);
	tcase_add_test(t, asks_go_to_leader);
	tcase_add_test(t, unanswered_ask_ends);
	tcase_add_test(t, cancelled_ask_is_silent);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
