/*
 * Pace of long answers: guards against a link that is filled with long answers,
 * so that small ones wait behind them, and against one that idles.
 */
#include <check.h>
#include <stdlib.h>

#include "outflow.h"

#define MS NSEC_PER_MSEC
#define RATE 2250000 /* 18 Mbit/s */

struct outflow_case {
	const char *what;
	int64_t rate;
	size_t sent; /* bytes at time 0 */
	int64_t now;
	bool room;
	int64_t wakeup;
};

static const struct outflow_case cases[] = {
    {"an idle link has room", RATE, 0, 0, true, 0},
    {"a piece that was just sent keeps the next one back", RATE, 16384, 0,
	false, 6090864},
    {"the next piece goes once the link has carried the first", RATE, 16384,
	7 * MS, true, 7 * MS},
    {"a small answer does not keep a piece back", RATE, 4000, 0, true, 0},
    {"without a known speed nothing is paced", 0, 1 << 20, 0, true, 0},
    {"an idle time is not saved for later", RATE, 0, 60000 * MS, true,
	60000 * MS},
};

START_TEST(piece_follows_in_time)
{
	const struct outflow_case *c = &cases[_i];
	struct outflow f = {.rate = c->rate};

	add_outflow(&f, c->sent, 0);
	ck_assert_msg(has_outflow_room(&f, c->now) == c->room, "%s", c->what);
	ck_assert_msg(llabs(get_outflow_wakeup(&f, c->now) - c->wakeup) < 1000,
	    "%s: %lld", c->what, (long long)get_outflow_wakeup(&f, c->now));
}
END_TEST

START_TEST(link_carries_nine_tenths_of_its_speed_in_a_second)
{
	struct outflow f = {.rate = RATE};
	int64_t now = 0;
	size_t sent = 0;

	while (now < NSEC_PER_SEC) {
		ck_assert(has_outflow_room(&f, now));
		add_outflow(&f, 16384, now);
		sent += 16384;
		now = get_outflow_wakeup(&f, now) + 1;
	}
	ck_assert_uint_ge(sent, RATE * 85 / 100);
	ck_assert_uint_le(sent, RATE * 93 / 100);
}
END_TEST

/*
 * Guards against answers that are all late in turn on a link that is too small,
 * and against late ones that wait until their callers have left.
 */
START_TEST(answers_in_time_go_before_late_ones)
{
	struct outflow f = {.rate = RATE};
	int64_t took;

	add_outflow(&f, 16384, 0);
	took = get_outflow_wait_ns(&f, 90000, 0);
	ck_assert_int_gt(took, 50 * MS);
	ck_assert_int_eq(get_outflow_order(&f, 90000, took, 900 * MS, 0), 1);
	ck_assert_int_eq(
	    get_outflow_order(&f, 90000, took - 1, 900 * MS, 0), 2);
	ck_assert_int_eq(get_outflow_order(&f, 1, -100 * MS, 101 * MS, 0), 2);
	ck_assert_int_eq(get_outflow_order(&f, 1, -100 * MS, 100 * MS, 0), 0);
}
END_TEST

START_TEST(only_long_bodies_on_known_links_are_paced)
{
	struct outflow known = {.rate = RATE}, unknown = {0};

	ck_assert(!is_paced(&known, OUTFLOW_LONG_BYTES));
	ck_assert(is_paced(&known, OUTFLOW_LONG_BYTES + 1));
	ck_assert(!is_paced(&unknown, 1 << 20));
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("outflow");
	TCase *t = tcase_create("outflow");
	SRunner *sr;
	int failed;

	tcase_add_loop_test(t, piece_follows_in_time, 0,
	    (int)(sizeof(cases) / sizeof(cases[0])));
	tcase_add_test(t, link_carries_nine_tenths_of_its_speed_in_a_second);
	tcase_add_test(t, answers_in_time_go_before_late_ones);
	tcase_add_test(t, only_long_bodies_on_known_links_are_paced);
	suite_add_tcase(s, t);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
