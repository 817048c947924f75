/*
 * The agent behind a link that is slow for the size of a table.
 */
#include "agent_fixture.h"
#include "tests/thin_link.h"

#define TEST_OVERDUE_MS 2000
#define STEP_MS 40 /* of the paused clock */
#define STEP_REAL_US 25000 /* the agent reads what a step brought */

struct link_case {
	const char *name;
	int bytes_per_step;
	int steps_max; /* until the version is in force */
};

static const struct link_case link_cases[] = {
    {"fast link", 400, 60},
    {"reply takes more than twice the overdue time", 1, 300},
};

/*
 * Guards against issue 24, CONFIG: a table that takes longer than the overdue
 * time over its link was given up while it arrived and requested anew, so that
 * the node kept serving the version before it.
 */
START_TEST(table_slower_than_the_overdue_time_comes_into_force)
{
	const struct link_case *c = &link_cases[_i];
	int connections, steps = 0;
	struct thin_link link;
	struct fixture fx;

	open_fixture(&fx, 1);
	open_thin_link(&link, fx.controls[0].address);
	snprintf(fx.controls[0].address, sizeof(fx.controls[0].address), "%s",
	    link.address);
	fx.overdue_ms = TEST_OVERDUE_MS;
	start_fixture_agent(&fx, NULL);
	WAIT_UNTIL(get_agent_version(&fx) == 5);
	WAIT_UNTIL(get_last_watch(&fx, 0).table_version == 5);
	connections = atomic_load(&link.connections);
	atomic_store(&link.limited, true);
	publish_next_version(&fx, 0, 20);
	while (get_agent_version(&fx) != 6 && steps++ < c->steps_max) {
		atomic_fetch_add(&link.allowed, c->bytes_per_step);
		usleep(STEP_REAL_US);
		advance_fixture(&fx, STEP_MS);
	}
	ck_assert_msg(get_agent_version(&fx) == 6,
	    "%s: not in force after %d ms", c->name, c->steps_max * STEP_MS);
	ck_assert_msg(atomic_load(&link.connections) == connections,
	    "%s: the transfer began anew", c->name);
	stop_agent(fx.agent);
	close_thin_link(&link);
	stop_fake_control(&fx, 0);
	pthread_mutex_destroy(&fx.lock);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("thin link");
	TCase *t = tcase_create("watch");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_loop_test(t,
	    table_slower_than_the_overdue_time_comes_into_force, 0,
	    sizeof(link_cases) / sizeof(link_cases[0]));
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed != 0;
}
