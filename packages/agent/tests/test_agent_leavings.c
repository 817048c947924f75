/*
 * Requests of leavings to control processes that keep them, have no quorum, do
 * not answer, or are of an earlier build.
 */
#include <check.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "agent.h"
#include "rpc.h"

#define CONTROLS 2
#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define POLLS_MAX 500 /* of 10 ms */
#define TIMEOUT_MS 700

static const char fleet_key[] = "fleet key one, 32 bytes of text";

enum behaviour {
	KEEPS,
	NO_QUORUM,
	SILENT,
	UNKNOWN_CALL, /* of an earlier build */
	EARLIER_LEADER, /* the leader does not know the command */
};

struct control {
	struct rpc_server *server;
	char address[64];
	atomic_int behaviour;
	struct rpc_reply *held[8]; /* without an answer; freed at the end */
	atomic_int held_count;
};

struct request_case {
	const char *what;
	enum behaviour behaviour[CONTROLS];
	int want;
};

static const struct request_case cases[] = {
    {"both keep them", {KEEPS, KEEPS}, 0},
    {"the first is silent", {SILENT, KEEPS}, 0},
    {"the second is silent", {KEEPS, SILENT}, 0},
    {"one has no quorum", {NO_QUORUM, KEEPS}, 0},
    {"one is of an earlier build", {UNKNOWN_CALL, KEEPS}, 0},
    {"none has a quorum", {NO_QUORUM, NO_QUORUM}, ERR_UNAVAILABLE},
    {"none answers", {SILENT, SILENT}, ERR_UNAVAILABLE},
    {"all of an earlier build", {UNKNOWN_CALL, UNKNOWN_CALL}, ERR_NOT_FOUND},
    {"the leader is of an earlier build", {EARLIER_LEADER, UNKNOWN_CALL},
	ERR_NOT_FOUND},
    {"one of an earlier build, one without a quorum", {UNKNOWN_CALL, NO_QUORUM},
	ERR_UNAVAILABLE},
};

static struct control controls[CONTROLS];
static struct agent *agent;
static atomic_int answers, last_status, last_count;

static void
handle_call(void *arg, const struct rpc_request *req, struct rpc_reply *reply)
{
	struct wire_leaving kept[2] = {
	    {(char *)(uintptr_t) "i-0", 5}, {(char *)(uintptr_t) "i-1", 6}};
	struct wire_leavings_reply out = {0};
	struct control *c = arg;
	struct buf body = {0};
	int behaviour = atomic_load(&c->behaviour);

	if (req->proc != GGS_LEAVINGS || behaviour == UNKNOWN_CALL) {
		complete_rpc(reply, ERR_NOT_FOUND, make_str(""));
		return;
	}
	if (behaviour == SILENT) {
		c->held[atomic_fetch_add(&c->held_count, 1)] = reply;
		return;
	}
	out.status = behaviour == KEEPS	    ? WIRE_OK :
		     behaviour == NO_QUORUM ? WIRE_UNAVAILABLE :
					      WIRE_INVALID;
	out.leavings.leavings_len = behaviour == KEEPS ? 2 : 0;
	out.leavings.leavings_val = kept;
	ck_assert_int_eq(
	    encode_wire((xdrproc_t)xdr_wire_leavings_reply, &out, &body), 0);
	complete_rpc(reply, 0, view_buf(&body));
	unload_buf(&body);
}

static void
take_answer(
    void *arg, int status, const struct wire_leaving *items, size_t count)
{
	(void)arg;
	if (count == 2)
		ck_assert_str_eq(items[1].instance, "i-1");
	atomic_store(&last_status, status);
	atomic_store(&last_count, (int)count);
	atomic_fetch_add(&answers, 1);
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
		for (int k = 0; k < atomic_load(&controls[i].held_count); k++)
			complete_rpc(controls[i].held[k], 0, make_str(""));
	}
}

/*
 * Guards against a leaving that counts as recorded where nobody has it, and
 * against one control process that keeps all from being recorded.
 */
START_TEST(request_ends_by_what_the_control_processes_say)
{
	const struct request_case *c = &cases[_i];
	struct wire_leaving item = {(char *)(uintptr_t) "i-0", 5};

	for (int i = 0; i < CONTROLS; i++)
		atomic_store(&controls[i].behaviour, (int)c->behaviour[i]);
	for (int round = 0; round < 2; round++) {
		atomic_store(&answers, 0);
		ck_assert_int_eq(request_leavings(agent, &item, (size_t)round,
				     TIMEOUT_MS, take_answer, NULL),
		    0);
		for (int i = 0; i < POLLS_MAX && atomic_load(&answers) == 0;
		     i++)
			usleep(10000);
		ck_assert_int_eq(atomic_load(&answers), 1);
		ck_assert_msg(atomic_load(&last_status) == c->want, "%s: %d",
		    c->what, atomic_load(&last_status));
		ck_assert_int_eq(
		    atomic_load(&last_count), c->want == 0 ? 2 : 0);
	}
}
END_TEST

/* A node that ends must not be called, and only one request is under way. */
START_TEST(cancelled_request_is_silent)
{
	for (int i = 0; i < CONTROLS; i++)
		atomic_store(&controls[i].behaviour, SILENT);
	ck_assert_int_eq(
	    request_leavings(agent, NULL, 0, TIMEOUT_MS, take_answer, NULL), 0);
	ck_assert_int_eq(
	    request_leavings(agent, NULL, 0, TIMEOUT_MS, take_answer, NULL),
	    ERR_LIMIT);
	cancel_leavings(agent);
	usleep(2 * TIMEOUT_MS * 1000);
	ck_assert_int_eq(atomic_load(&answers), 0);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("agent leavings");
	TCase *t = tcase_create("agent leavings");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 30);
	tcase_add_checked_fixture(t, open_agent, close_agent);
	tcase_add_loop_test(
	    t, request_ends_by_what_the_control_processes_say, 0, COUNT(cases));
	tcase_add_test(t, cancelled_request_is_silent);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
