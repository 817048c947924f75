/*
 * The metrics of a node and their table in the operations page.
 */
#include <stdlib.h>

#include "rig.h"
#include "tests/metric_page.h"

static struct rig rig;

/* Guards against a metric that nobody can look up, and one that is gone. */
START_TEST(served_metrics_are_on_the_page)
{
	static const char *const prefixes[] = {"ggs_node_", NULL};
	struct rig_reply reply;

	open_rig(&rig, 3);
	for (int i = 0; i < 120; i++) {
		call_rig(rig.calls[0], "GET",
		    i % 2 == 0 ? "/read/ok" : "/read/full", "call", "",
		    make_str(""), &reply);
		unload_reply(&reply);
	}
	call_rig(
	    rig.metrics[0], "GET", "/metrics", "q", "", make_str(""), &reply);
	ck_assert_int_eq(reply.status, 200);
	check_metric_page(reply.body.data, prefixes);
	unload_reply(&reply);
	close_rig(&rig);
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
	tcase_add_test(t, served_metrics_are_on_the_page);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
