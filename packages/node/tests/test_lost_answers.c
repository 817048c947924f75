/*
 * A backend server that runs calls and loses their answers: how often the calls
 * are repeated.
 */
#include <stdio.h>
#include <stdlib.h>

#include "node_fixture.h"

#define CALLS 20
#define RATIO 0.001 /* retries per call */
#define WINDOW_S 10.0 /* in which the budget is refilled */
#define TOKENS 2.0 /* retries of a service without calls and slack */

static struct fixture fixture;

static void
open_nodes(void)
{
	open_fixture_with_budget(&fixture, 1, RATIO);
}

static void
close_nodes(void)
{
	close_fixture(&fixture);
}

/*
 * Guards against review 15: a call on a connection that had carried others was
 * sent again by the node beside the server when its answer was lost, as if the
 * server had closed the connection while it was idle, without a retry token.
 */
START_TEST(repeats_at_the_same_server_draw_on_the_budget)
{
	int64_t start = read_test_clock();
	struct test_reply reply;
	double allowed, seconds;
	int repeats = 0, calls = 0;

	for (int i = 0; i < CALLS; i++) {
		char id[24];

		calls += send_read_call(&fixture, 0) == 200;
		snprintf(id, sizeof(id), "lost-%d", i);
		send_test_call(fixture.calls[0], "GET", "/read/reset", id, "",
		    make_str(""), &reply);
		ck_assert_int_ne(reply.status, 200);
		unload_reply(&reply);
		repeats += count_fixture_runs(&fixture, id) - 1;
	}
	seconds = (double)(read_test_clock() - start) / NSEC_PER_SEC;
	allowed = TOKENS + RATIO * 2 * CALLS + seconds * TOKENS / WINDOW_S;
	ck_assert_int_eq(calls, CALLS);
	ck_assert_msg(
	    repeats <= allowed, "%d repeats, %.2f allowed", repeats, allowed);
}
END_TEST

/*
 * Guards against a budget that keeps a call from being sent again after the
 * server closed its idle connection, while there is a token.
 */
START_TEST(call_is_sent_again_while_there_is_a_token)
{
	ck_assert_int_eq(send_read_call(&fixture, 0), 200);
	reset_fake_connections_on_use(fixture.servers[0]);
	ck_assert_int_eq(send_read_call(&fixture, 0), 200);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("lost answers");
	TCase *t = tcase_create("lost answers");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 30);
	tcase_add_checked_fixture(t, open_nodes, close_nodes);
	tcase_add_test(t, repeats_at_the_same_server_draw_on_the_budget);
	tcase_add_test(t, call_is_sent_again_while_there_is_a_token);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
