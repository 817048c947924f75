/*
 * How long a node's table has been outdated.
 */
#include <check.h>
#include <stdlib.h>

#include "lag.h"

#define S NSEC_PER_SEC
#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

struct lag_case {
	const char *name;
	uint64_t held;
	int64_t now;
	int64_t lag;
};

/* Versions 5, 7 and 9 came into force at 10 s, 12 s and 14 s. */
static const struct lag_case lag_cases[] = {
    {"newest version", 9, 20 * S, 0},
    {"newer than this process", 10, 20 * S, 0},
    {"one version behind", 7, 20 * S, 6 * S},
    {"version between two", 8, 20 * S, 6 * S},
    {"first missing version counts, not the newest", 5, 20 * S, 8 * S},
    {"older than all known", 1, 20 * S, 10 * S},
    /* A thread reads the clock, then waits for the lock meanwhile. */
    {"version that came after the clock was read", 7, 14 * S - 1, 0},
};

/*
 * Guards against a lag that starts anew with every version, and against a
 * negative one, which a histogram takes for centuries.
 */
START_TEST(lag_counts_from_the_first_missing_version)
{
	const struct lag_case *c = &lag_cases[_i];
	struct version_times t = {0};

	ck_assert_int_eq(get_version_lag(&t, c->held, 20 * S), 0);
	record_version_time(&t, 5, 10 * S);
	record_version_time(&t, 7, 12 * S);
	record_version_time(&t, 9, 14 * S);
	record_version_time(&t, 7, 15 * S); /* a snapshot that is older */
	ck_assert_msg(
	    get_version_lag(&t, c->held, c->now) == c->lag, "%s", c->name);
}
END_TEST

/* Guards against a ring that mixes up old and new versions when it is full. */
START_TEST(full_ring_forgets_the_oldest_versions)
{
	struct version_times t = {0};

	for (int i = 1; i <= 3 * LAG_VERSIONS_MAX + 7; i++)
		record_version_time(&t, (uint64_t)i, i * S);
	ck_assert_int_eq(get_version_lag(&t, 3 * LAG_VERSIONS_MAX + 5,
			     (3 * LAG_VERSIONS_MAX + 7) * S),
	    S);
	ck_assert_int_eq(get_version_lag(&t, 1, (3 * LAG_VERSIONS_MAX + 7) * S),
	    (LAG_VERSIONS_MAX - 1) * S);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("lag");
	TCase *t = tcase_create("lag");
	SRunner *run;
	int failed;

	tcase_add_loop_test(
	    t, lag_counts_from_the_first_missing_version, 0, COUNT(lag_cases));
	tcase_add_test(t, full_ring_forgets_the_oldest_versions);
	suite_add_tcase(s, t);
	run = srunner_create(s);
	srunner_run_all(run, CK_ENV);
	failed = srunner_ntests_failed(run);
	srunner_free(run);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
