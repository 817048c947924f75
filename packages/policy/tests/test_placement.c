/*
 * Choice of the serving node for a call, case by case.
 */
#include <check.h>
#include <stdlib.h>

#include "placement.h"

#define MS NSEC_PER_MSEC
#define OPTIONS 3

struct placement_case {
	const char *what;
	struct placement_option options[OPTIONS];
	struct placement_call call;
	int want; /* ERR_NOT_FOUND: none */
};

#define CALL                                        \
	{                                           \
		400 * MS, 1000 * MS, 100 * MS, 0, 0 \
	}
/* usable, tried, avoided, same_zone, slots, own, reported, age, in_flight,
 * queued, own_at_report, service_ns, failed, body_wait_ns */
#define SAME_ZONE_IDLE                                                       \
	{                                                                    \
		true, false, false, true, 10, 0, true, 0, 0, 0, 0, 100 * MS, \
		    0, 0                                                     \
	}
#define CROSS_ZONE_IDLE                                                       \
	{                                                                     \
		true, false, false, false, 10, 0, true, 0, 0, 0, 0, 100 * MS, \
		    0, 0                                                      \
	}

static const struct placement_case cases[] = {
    {"the same zone is preferred",
	{CROSS_ZONE_IDLE, SAME_ZONE_IDLE, CROSS_ZONE_IDLE}, CALL, 1},
    {"an idle server elsewhere beats a full one in the zone",
	{CROSS_ZONE_IDLE, {true, false, false, true, 10, 0, true, 0, 10, 30, 0,
			      100 * MS, 0, 0}},
	CALL, 0},
    {"a long body stays in the zone behind a queue",
	{CROSS_ZONE_IDLE, {true, false, false, true, 10, 0, true, 0, 10, 10, 0,
			      100 * MS, 0, 0}},
	{400 * MS, 1000 * MS, 100 * MS, 60000, 0}, 1},
    {"a long body leaves the zone when no server is there", {CROSS_ZONE_IDLE},
	{400 * MS, 1000 * MS, 100 * MS, 60000, 0}, 0},
    {"a fast server elsewhere beats a slow one in the zone",
	{CROSS_ZONE_IDLE, {true, false, false, true, 10, 0, true, 0, 0, 0, 0,
			      900 * MS, 0, 0}},
	CALL, 0},
    {"a server that fails is avoided",
	{CROSS_ZONE_IDLE, {true, false, false, true, 10, 0, true, 0, 0, 0, 0,
			      100 * MS, 0.4, 0}},
	CALL, 0},
    {"a server that was tried is not tried again",
	{CROSS_ZONE_IDLE,
	    {true, true, false, true, 10, 0, true, 0, 0, 0, 0, 100 * MS, 0, 0}},
	CALL, 0},
    {"an avoided server is the last resort",
	{CROSS_ZONE_IDLE,
	    {true, false, true, true, 10, 0, true, 0, 0, 0, 0, 100 * MS, 0, 0}},
	CALL, 0},
    {"an avoided server is chosen when no other is left",
	{{true, true, false, false, 10, 0, true, 0, 0, 0, 0, 100 * MS, 0, 0},
	    {true, false, true, true, 10, 0, true, 0, 0, 0, 0, 100 * MS, 0, 0}},
	CALL, 1},
    {"no server is usable",
	{{false, false, false, true, 10, 0, true, 0, 0, 0, 0, 100 * MS, 0, 0}},
	CALL, ERR_NOT_FOUND},
    {"an old report does not keep calls away",
	{CROSS_ZONE_IDLE, {true, false, false, true, 10, 0, true, 2000 * MS, 10,
			      30, 0, 100 * MS, 0, 0}},
	CALL, 1},
    {"calls of this node count despite an old report",
	{CROSS_ZONE_IDLE, {true, false, false, true, 10, 40, true, 2000 * MS, 0,
			      0, 0, 100 * MS, 0, 0}},
	CALL, 0},
    {"a body leaves the zone when the server's link is busy",
	{CROSS_ZONE_IDLE, {true, false, false, true, 10, 0, true, 0, 0, 0, 0,
			      100 * MS, 0, 900 * MS}},
	{400 * MS, 1000 * MS, 100 * MS, 1000, 0}, 0},
    {"a call without a body stays despite a busy link",
	{CROSS_ZONE_IDLE, {true, false, false, true, 10, 0, true, 0, 0, 0, 0,
			      100 * MS, 0, 900 * MS}},
	CALL, 1},
    {"a long answer leaves the zone when the server's link is busy",
	{CROSS_ZONE_IDLE, {true, false, false, true, 10, 0, true, 0, 0, 0, 0,
			      100 * MS, 0, 900 * MS}},
	{400 * MS, 1000 * MS, 100 * MS, 0, 1000}, 0},
    {"a long answer stays in the zone behind a queue",
	{CROSS_ZONE_IDLE, {true, false, false, true, 10, 0, true, 0, 10, 10, 0,
			      100 * MS, 0, 0}},
	{400 * MS, 1000 * MS, 100 * MS, 0, 60000}, 1},
    {"once late, the shorter wait decides",
	{{true, false, false, true, 10, 0, true, 0, 10, 40, 0, 100 * MS, 0, 0},
	    {true, false, false, true, 10, 0, true, 0, 10, 5, 0, 100 * MS, 0,
		0}},
	{-10 * MS, 500 * MS, 100 * MS, 0, 0}, 1},
};

/*
 * Guards against a choice with an avoidable late answer or cross-zone transfer.
 */
START_TEST(best_option_is_chosen)
{
	const struct placement_case *c = &cases[_i];
	struct rng r;

	for (uint64_t seed = 0; seed < 50; seed++) {
		int got;

		seed_rng(&r, seed);
		got = choose_placement(c->options, OPTIONS, &c->call, &r);
		ck_assert_msg(got == c->want, "%s: %d", c->what, got);
	}
}
END_TEST

/*
 * Guards against all nodes sending all calls to the same one of several equal
 * servers.
 */
START_TEST(equal_options_share_the_calls)
{
	static const struct placement_option equal[OPTIONS] = {
	    SAME_ZONE_IDLE, SAME_ZONE_IDLE, SAME_ZONE_IDLE};
	static const struct placement_call call = CALL;
	int counts[OPTIONS] = {0};
	struct rng r;

	seed_rng(&r, 1);
	for (int i = 0; i < 3000; i++)
		counts[choose_placement(equal, OPTIONS, &call, &r)]++;
	/* binomial: 1,000 of 3,000, 5 standard deviations are 129 */
	for (int i = 0; i < OPTIONS; i++)
		ck_assert_int_ge(counts[i], 871);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("placement");
	TCase *t = tcase_create("placement");
	SRunner *r;
	int failed;

	tcase_add_loop_test(
	    t, best_option_is_chosen, 0, sizeof(cases) / sizeof(cases[0]));
	tcase_add_test(t, equal_options_share_the_calls);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
