/*
 * Roll-outs at nodes: which server gets the calls, and what is reported.
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "node_fixture.h"
#include "rollout.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define CALLS 200
#define SHARE 0.4
#define NO_CONTACT (-3 * NSEC_PER_SEC) /* after the present */

static struct fixture fixture;

/*
 * Node 0 has a server of version v1, node 1 one of v2, both of "svc"; node 2 is
 * an entry node. Node 0 started first.
 */
static void
open_nodes(void)
{
	open_fixture_with_trial(&fixture, 3, SHARE);
	set_fake_instance(fixture.agent, "svc", "node-0", "i-0.v1 v1");
	set_fake_instance(fixture.agent, "svc", "node-1", "i-1.v2 v2");
	ck_assert_int_eq(
	    send_report(&fixture, 0, "i-0.v1", "ready", 2, 2000), 200);
	ck_assert_int_eq(
	    send_report(&fixture, 1, "i-1.v2", "ready", 2, 2000), 200);
	for (int i = 0; i < 3; i++)
		refresh_node(fixture.nodes[i]);
	usleep(50000);
}

static void
close_nodes(void)
{
	close_fixture(&fixture);
}

/* Sends calls to an entry node; returns how many were answered with 200. */
static int
send_calls(int entry, int count)
{
	int ok = 0;

	for (int i = 0; i < count; i++) {
		struct test_reply reply;

		send_test_call(fixture.calls[entry], "GET", "/read/ok", "call",
		    "", make_str(""), &reply);
		ok += reply.status == 200;
		unload_reply(&reply);
	}
	return ok;
}

struct choice_case {
	const char *name;
	uint64_t number; /* 0: no roll-out */
	int phase;
	int64_t contact; /* with control processes, ns from now */
	int want_ok;
	int new_least, new_most; /* calls at the new version */
};

/* The share of a trial's begin is a tenth of the operators' one. */
static const struct choice_case choice_cases[] = {
    {"trial", 1, ROLLOUT_TRIAL, 0, CALLS, 4, CALLS / 10},
    {"trial, out of touch", 1, ROLLOUT_TRIAL, NO_CONTACT, CALLS, 0, 0},
    {"moved", 1, ROLLOUT_MOVED, 0, CALLS, CALLS, CALLS},
    {"moved, out of touch", 1, ROLLOUT_MOVED, NO_CONTACT, CALLS, CALLS, CALLS},
    {"completed", 1, ROLLOUT_COMPLETED, 0, CALLS, CALLS, CALLS},
    {"rolled back", 1, ROLLOUT_ROLLED_BACK, 0, CALLS, 0, 0},
    {"no roll-out", 0, 0, NSEC_PER_SEC, CALLS, 1, CALLS - 1},
    {"no list since the new server came", 0, 0, NO_CONTACT, CALLS, 0, 0},
};

/*
 * Guards against a new version that gets more than its share, and calls to one
 * whose state the node cannot know.
 */
START_TEST(calls_go_to_the_permitted_version)
{
	const struct choice_case *c = &choice_cases[_i];
	int before, new_calls, ok;

	set_fake_contact(fixture.agent, read_test_clock() + c->contact);
	set_fake_rollout(fixture.agent, "svc", "v2", c->number, c->phase);
	for (int i = 0; i < 3; i++)
		refresh_node(fixture.nodes[i]);
	usleep(50000);
	before = count_fake_requests(fixture.servers[1]);
	ok = send_calls(2, CALLS);
	new_calls = count_fake_requests(fixture.servers[1]) - before;
	ck_assert_msg(ok == c->want_ok, "%s: %d answered", c->name, ok);
	ck_assert_msg(new_calls >= c->new_least && new_calls <= c->new_most,
	    "%s: %d calls at the new version", c->name, new_calls);
}
END_TEST

struct gate_case {
	const char *name;
	int phase;
	int server; /* whose node has heard of it, unlike the entry node */
	int wait_ms;
	int want_ok;
};

static const struct gate_case gate_cases[] = {
    {"just moved", ROLLOUT_MOVED, 0, 50, 1},
    {"moved", ROLLOUT_MOVED, 0, 400, 0},
    {"rolled back", ROLLOUT_ROLLED_BACK, 1, 50, 1},
};

/*
 * Guards against calls of entry nodes that have not heard of the phase: the old
 * version would never become idle, and a bad one would go on.
 */
START_TEST(serving_node_refuses_a_closed_version)
{
	const struct gate_case *c = &gate_cases[_i];
	int before;

	set_fake_contact(fixture.agent, read_test_clock() + NSEC_PER_SEC);
	set_fake_rollout(fixture.agent, "svc", "v2", 1, ROLLOUT_TRIAL);
	refresh_node(fixture.nodes[2]);
	usleep(50000);
	set_fake_rollout(fixture.agent, "svc", "v2", 1, c->phase);
	refresh_node(fixture.nodes[c->server]);
	usleep((useconds_t)c->wait_ms * 1000);
	before = count_fake_requests(fixture.servers[c->server]);
	if (c->phase == ROLLOUT_ROLLED_BACK) {
		ck_assert_int_eq(send_calls(2, 60), 60);
		ck_assert_int_eq(
		    count_fake_requests(fixture.servers[c->server]), before);
	} else {
		ck_assert_msg(send_calls(2, 1) == c->want_ok, "%s", c->name);
	}
}
END_TEST

/*
 * Guards against evidence that is not sent, or is sent without the failures.
 */
START_TEST(report_has_what_was_seen)
{
	struct wire_rollouts_args a = {0};
	struct buf report = {0};
	unsigned int old_answers = 0, failed = 0;

	set_fake_contact(fixture.agent, read_test_clock() + NSEC_PER_SEC);
	set_fake_rollout(fixture.agent, "svc", "v2", 7, ROLLOUT_TRIAL);
	refresh_node(fixture.nodes[2]);
	usleep(50000);
	ck_assert_int_eq(send_calls(2, 20), 20);
	for (int i = 0; i < 5; i++) {
		struct test_reply reply;

		send_test_call(fixture.calls[2], "GET", "/once/failed", "call",
		    "", make_str(""), &reply);
		ck_assert_int_ge(reply.status, 500);
		unload_reply(&reply);
	}
	for (int i = 0; i < 10 && failed < 5; i++) {
		usleep(150000);
		take_fake_report(fixture.agent, &report);
		if (report.len == 0)
			continue;
		ck_assert_int_eq(decode_wire((xdrproc_t)xdr_wire_rollouts_args,
				     view_buf(&report), &a),
		    0);
		ck_assert_str_eq(a.node, "node-2");
		ck_assert_uint_eq(a.ages.ages_len, 1);
		ck_assert_uint_eq(a.ages.ages_val[0].number, 7);
		old_answers = failed = 0;
		for (unsigned int k = 0; k < a.counts.counts_len; k++) {
			const struct wire_rollout_counts *c =
			    &a.counts.counts_val[k];

			ck_assert_uint_eq(c->number, 7);
			old_answers += c->target ? 0 : c->answers;
			failed += c->failed;
		}
		unload_wire((xdrproc_t)xdr_wire_rollouts_args, &a);
		unload_buf(&report);
	}
	ck_assert_uint_ge(old_answers, 20);
	ck_assert_uint_eq(failed, 5);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("rollouts");
	TCase *t = tcase_create("rollouts");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_checked_fixture(t, open_nodes, close_nodes);
	tcase_add_loop_test(
	    t, calls_go_to_the_permitted_version, 0, COUNT(choice_cases));
	tcase_add_loop_test(
	    t, serving_node_refuses_a_closed_version, 0, COUNT(gate_cases));
	tcase_add_test(t, report_has_what_was_seen);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
