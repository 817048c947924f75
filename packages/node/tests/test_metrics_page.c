/*
 * Compares the metrics of a node with their table in the operations page.
 */
#include <stdlib.h>

#include "node_fixture.h"
#include "tests/metric_page.h"

static struct fixture fixture;

/*
 * Guards against a metric that is missing from the operations page, and against
 * a documented metric that no longer exists.
 */
START_TEST(rendered_metrics_are_documented)
{
	static const char *const prefixes[] = {"ggs_node_", NULL};
	struct test_reply reply;

	open_fixture(&fixture, 3);
	for (int i = 0; i < 120; i++) {
		send_test_call(fixture.calls[0], "GET",
		    i % 2 == 0 ? "/read/ok" : "/read/full", "call", "",
		    make_str(""), &reply);
		unload_reply(&reply);
	}
	send_test_call(fixture.metrics[0], "GET", "/metrics", "q", "",
	    make_str(""), &reply);
	ck_assert_int_eq(reply.status, 200);
	check_metric_page(reply.body.data, prefixes);
	unload_reply(&reply);
	close_fixture(&fixture);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("metrics");
	TCase *t = tcase_create("page");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_test(t, rendered_metrics_are_documented);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
