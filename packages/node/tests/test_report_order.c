/*
 * The order of reports: which of two incarnations of a backend server runs.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "backend_state.h"

#define REPORTS_MAX 8

/* Reports after "i-0", born at 100,000 ms, has reported sequence 7 at 0 ms. */
struct order_case {
	const char *what;
	struct {
		int at_ms;
		const char *id;
		int64_t start_ms;
		uint64_t seq;
		enum report_state state;
		bool stale;
	} reports[REPORTS_MAX];
};

static const struct order_case order_cases[] = {
    {"set back, then started again",
	{{500, "i-1", 40000, 1, REPORT_READY, true},
	    {1500, "i-1", 40000, 2, REPORT_READY, true},
	    {2900, "i-1", 40000, 3, REPORT_READY, true},
	    {3500, "i-1", 40000, 4, REPORT_READY, false}}},
    {"the same id", {{500, "i-0", 40000, 1, REPORT_READY, true},
			{3500, "i-0", 40000, 4, REPORT_READY, false}}},
    {"delayed reports while the known one reports",
	{{500, "i-1", 40000, 1, REPORT_READY, true},
	    {2000, "i-0", 100000, 8, REPORT_READY, false},
	    {3500, "i-1", 40000, 2, REPORT_READY, true},
	    {4000, "i-0", 100000, 9, REPORT_READY, false},
	    {6000, "i-1", 40000, 3, REPORT_READY, true}}},
    {"delayed reports that come at once after the known one has gone silent",
	{{9000, "i-1", 40000, 5, REPORT_READY, true},
	    {9001, "i-1", 40000, 6, REPORT_READY, true},
	    {9300, "i-1", 40000, 7, REPORT_READY, true}}},
    {"one report again and again",
	{{500, "i-1", 40000, 5, REPORT_READY, true},
	    {9000, "i-1", 40000, 5, REPORT_READY, true}}},
    {"the exit of an earlier incarnation",
	{{500, "i-1", 40000, 5, REPORT_READY, true},
	    {9000, "i-1", 40000, 6, REPORT_GONE, true}}},
    {"two earlier incarnations",
	{{500, "i-1", 40000, 5, REPORT_READY, true},
	    {9000, "i-2", 50000, 6, REPORT_READY, true},
	    {9100, "i-2", 50000, 7, REPORT_READY, true}}},
    {"a later birth", {{1, "i-1", 100001, 1, REPORT_READY, false}}},
};

/*
 * Pattern: the time of day of a machine is set back, and its backend server is
 * started again while its node goes on. Guards against a server that is never
 * used since it seems to be an earlier one, and against delayed reports that are
 * taken for such a server.
 */
START_TEST(earlier_birth_is_accepted_only_from_the_server_that_runs)
{
	const struct order_case *c = &order_cases[_i];
	struct backend b = {
	    .reported = true, .instance = "i-0", .start_ms = 100000, .seq = 7};

	for (int i = 0; i < REPORTS_MAX && c->reports[i].id != NULL; i++) {
		struct backend_report r = {.start_ms = c->reports[i].start_ms,
		    .seq = c->reports[i].seq,
		    .state = c->reports[i].state};
		int64_t now = c->reports[i].at_ms * NSEC_PER_MSEC;

		snprintf(r.id, sizeof(r.id), "%s", c->reports[i].id);
		ck_assert_msg(
		    is_stale_report(&b, &r, now) == c->reports[i].stale,
		    "%s: report %d", c->what, i);
		if (c->reports[i].stale)
			continue;
		b.reported_at = now;
		b.seq = r.seq;
		b.earlier = (struct earlier_birth){0};
	}
}
END_TEST

/*
 * "i-0", the known instance or not, was born at 100,000 ms and exits without
 * saying so again when the time of day is exit_ms.
 */
static const struct {
	const char *what;
	bool known;
	int64_t exit_ms;
	int after_ms; /* a report that it is ready comes so much later */
	int64_t start_ms;
	bool stale;
} exit_cases[] = {
    {"late report", false, 130000, 9000, 100000, true},
    {"late report of the last moment", false, 130000, 9000, 130000, true},
    {"later start", false, 130000, 9000, 130001, false},
    {"start by a clock that was set back", false, 130000, 29999, 40000, true},
    {"the same, after all reports of the exited one", false, 130000, 30000,
	40000, false},
    {"exit by a clock that was set back", true, 60000, 9000, 99000, true},
    {"the same, later start", true, 60000, 9000, 100001, false},
};

/*
 * Guards against a late report that undoes an exit, against a later start that
 * is taken for the one that has exited, and against one that is never used since
 * the time of day was set back before it.
 */
START_TEST(exit_holds_for_all_starts_before_it)
{
	struct backend b = {.reported = exit_cases[_i].known,
	    .start_ms = exit_cases[_i].known ? 100000 : 0};
	struct backend_report exit = {.id = "i-0", .state = REPORT_GONE};
	struct backend_report ready = {.id = "i-0",
	    .start_ms = exit_cases[_i].start_ms,
	    .seq = 8,
	    .state = REPORT_READY};

	if (b.reported)
		snprintf(b.instance, sizeof(b.instance), "i-0");
	record_reported_leaving(
	    &b, &exit, NSEC_PER_SEC, exit_cases[_i].exit_ms);
	ck_assert_msg(
	    is_stale_report(&b, &ready,
		NSEC_PER_SEC + exit_cases[_i].after_ms * NSEC_PER_MSEC) ==
		exit_cases[_i].stale,
	    "%s", exit_cases[_i].what);
}
END_TEST

/* Guards against an exit that is forgotten for those of further instances. */
START_TEST(latest_exits_are_remembered)
{
	struct backend b = {0};
	struct backend_report r = {.start_ms = 5, .seq = 1};

	for (int i = 0; i <= LEAVINGS_MAX; i++) {
		snprintf(r.id, sizeof(r.id), "i-%d", i);
		record_leaving(&b, r.id, 5, i);
	}
	for (int i = 1; i <= LEAVINGS_MAX; i++) {
		snprintf(r.id, sizeof(r.id), "i-%d", i);
		ck_assert(is_stale_report(&b, &r, LEAVINGS_MAX));
	}
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("report_order");
	TCase *t = tcase_create("report_order");
	SRunner *r;
	int failed;

	tcase_add_loop_test(t,
	    earlier_birth_is_accepted_only_from_the_server_that_runs, 0,
	    sizeof(order_cases) / sizeof(order_cases[0]));
	tcase_add_loop_test(t, exit_holds_for_all_starts_before_it, 0,
	    sizeof(exit_cases) / sizeof(exit_cases[0]));
	tcase_add_test(t, latest_exits_are_remembered);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
