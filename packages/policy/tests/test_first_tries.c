/*
 * First tries and calls that come back: guards against a first try that is taken
 * for a late call because its caller waits a little less than others, and
 * against a returning call that waits as long as a new one.
 */
#include <check.h>
#include <stdlib.h>

#include "first_tries.h"

#define MS NSEC_PER_MSEC
#define SEEN 4

struct tries_case {
	const char *what;
	int seen[SEEN]; /* time-outs in ms, one a second; 0: none */
	int failed_at; /* ms; a call fails then; -1: none */
	int timeout; /* ms; of the call that is looked at */
	int want; /* ms */
};

static const struct tries_case cases[] = {
    {"the longest time-out is a first try", {4000}, -1, 4000, 0},
    {"equal time-outs: any shorter one has come back", {4000, 4000}, -1, 3700,
	300},
    {"time-outs that differ without failures are first tries",
	{4000, 3400, 3700}, -1, 3500, 0},
    {"a call that came back counts from the middle of first tries",
	{4000, 3400, 3700}, -1, 2000, 1700},
    {"what arrives after a failure tells nothing", {4000, 3400}, 500, 3400,
	600},
    {"long after a failure all are first tries again", {4000, 4000, 4000, 3600},
	-2000, 3600, 0},
    {"a caller about to leave widens no range", {4000, 500}, -1, 500, 3500},
    {"nothing is known of the first call", {0}, -1, 4000, 0},
};

START_TEST(elapsed_time_is_estimated)
{
	const struct tries_case *c = &cases[_i];
	struct first_tries f = {0};
	int64_t got;

	for (int i = 0; i < SEEN && c->seen[i] != 0; i++) {
		int64_t now = i * 1000 * MS;

		if (c->failed_at != -1 && c->failed_at * MS <= now && !f.failed)
			record_failed_try(&f, c->failed_at * MS);
		add_caller_timeout(&f, c->seen[i] * MS, now);
	}
	got = estimate_elapsed(&f, c->timeout * MS);
	ck_assert_msg(
	    got == c->want * MS, "%s: %lld", c->what, (long long)(got / MS));
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("first_tries");
	TCase *t = tcase_create("first_tries");
	SRunner *r;
	int failed;

	tcase_add_loop_test(t, elapsed_time_is_estimated, 0,
	    (int)(sizeof(cases) / sizeof(cases[0])));
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
