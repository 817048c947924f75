/*
 * The watch plan's decisions; the tests pass the time in.
 */
#include <check.h>
#include <stdlib.h>

#include "agent_follow.h"

#define MS(n) ((int64_t)(n)*NSEC_PER_MSEC)
#define START MS(5000)

static struct watch_step
step_at(struct watch_plan *p, int64_t now)
{
	struct watch_step s = get_watch_step(p, now);

	if (s.action == WATCH_SEND)
		record_watch_sent(p, now);
	return s;
}

/* Moves *now to the plan's next step and returns that step. */
static struct watch_step
step_next(struct watch_plan *p, int64_t *now)
{
	struct watch_step s = step_at(p, *now);

	if (s.action == WATCH_WAIT) {
		*now = s.until;
		s = step_at(p, *now);
	}
	return s;
}

/* Guards against nodes that all watch the same control process first. */
START_TEST(order_prefers_the_same_zone_and_is_spread)
{
	const bool same_zone[6] = {false, true, false, true, false, false};
	int first[6] = {0}, third[6] = {0};
	struct watch_plan p, again;

	for (uint64_t seed = 0; seed < 600; seed++) {
		start_watch_plan(&p, 6, same_zone, seed, START);
		start_watch_plan(&again, 6, same_zone, seed, START);
		for (int i = 0; i < 6; i++) {
			ck_assert_int_eq(p.order[i], again.order[i]);
			ck_assert_int_eq(same_zone[p.order[i]], i < 2);
		}
		first[p.order[0]]++;
		third[p.order[2]]++;
	}
	/* binomial: mean 300 of 600, 5 standard deviations are 61 */
	ck_assert_int_ge(first[1], 239);
	ck_assert_int_ge(first[3], 239);
	/* mean 150 of 600, 5 standard deviations are 53 */
	for (int i = 0; i < 6; i++)
		ck_assert_int_ge(third[i], same_zone[i] ? 0 : 97);
}
END_TEST

/* Guards against a watch that waits forever on an unresponsive connection. */
START_TEST(overdue_watch_is_abandoned)
{
	const bool same_zone[2] = {false, false};
	struct watch_step s;
	struct watch_plan p;

	start_watch_plan(&p, 2, same_zone, 1, START);
	s = step_at(&p, START);
	ck_assert_int_eq(s.action, WATCH_SEND);
	ck_assert_int_eq(s.control, p.order[0]);
	s = step_at(&p, START + 1);
	ck_assert_int_eq(s.action, WATCH_WAIT);
	ck_assert_int_eq(s.until, START + MS(AGENT_OVERDUE_MS));
	s = step_at(&p, START + MS(AGENT_OVERDUE_MS) - 1);
	ck_assert_int_eq(s.action, WATCH_WAIT);
	s = step_at(&p, START + MS(AGENT_OVERDUE_MS));
	ck_assert_int_eq(s.action, WATCH_ABANDON);
	handle_watch_failure(&p, START + MS(AGENT_OVERDUE_MS));
	ck_assert_int_eq(get_watch_control(&p), p.order[1]);
}
END_TEST

/*
 * A large table takes longer than the overdue time over a thin link (hunted day
 * hunt-cd0c-7). Guards against giving it up while its bytes arrive, and against
 * waiting on when they stop.
 */
START_TEST(arriving_reply_is_not_overdue)
{
	const bool same_zone[1] = {false};
	int64_t now = START;
	struct watch_plan p;

	start_watch_plan(&p, 1, same_zone, 1, now);
	step_at(&p, now);
	for (int i = 0; i < 10; i++) {
		now += MS(AGENT_OVERDUE_MS - 1);
		ck_assert_int_eq(step_at(&p, now).action, WATCH_WAIT);
		record_watch_input(&p, now);
	}
	record_watch_input(&p, 0); /* no reply is arriving */
	record_watch_input(&p, START);
	now += MS(AGENT_OVERDUE_MS);
	ck_assert_int_eq(step_at(&p, now).action, WATCH_ABANDON);
}
END_TEST

/* Guards against changes that hide an unresponsive connection. */
START_TEST(changes_do_not_postpone_the_overdue_time)
{
	const bool same_zone[1] = {false};
	int64_t now = START;
	struct watch_step s;
	struct watch_plan p;

	start_watch_plan(&p, 1, same_zone, 1, now);
	s = step_at(&p, now);
	while (now < START + MS(AGENT_OVERDUE_MS)) {
		now += MS(500);
		record_node_change(&p, now);
		s = step_at(&p, now + MS(WATCH_BATCH_MS));
	}
	ck_assert_int_eq(s.action, WATCH_ABANDON);
}
END_TEST

/* Guards against a drain that is announced only with the next heartbeat. */
START_TEST(change_is_sent_at_once)
{
	const bool same_zone[1] = {false};
	struct watch_step s;
	struct watch_plan p;

	start_watch_plan(&p, 1, same_zone, 1, START);
	step_at(&p, START);
	record_node_change(&p, START + MS(3000));
	s = step_at(&p, START + MS(3000));
	ck_assert_int_eq(s.action, WATCH_WAIT);
	ck_assert_int_eq(s.until, START + MS(3000 + WATCH_BATCH_MS));
	s = step_at(&p, s.until);
	ck_assert_int_eq(s.action, WATCH_SEND);
	/* a leaving node does not wait for more changes */
	record_node_leaving(&p);
	s = get_watch_step(&p, START + MS(3020));
	ck_assert_int_eq(s.action, WATCH_SEND);
	p.leaving = false;
	p.changed = false;
	/* many changes: at most one watch every WATCH_SPACING_MS */
	record_node_change(&p, START + MS(3021));
	s = step_at(&p, START + MS(3050));
	ck_assert_int_eq(s.action, WATCH_WAIT);
	ck_assert_int_eq(
	    s.until, START + MS(3000 + WATCH_BATCH_MS + WATCH_SPACING_MS));
}
END_TEST

struct backoff_case {
	unsigned int failures; /* before this one */
	int bound_ms;
};

static const struct backoff_case backoff_cases[] = {
    {0, 2000}, {1, 4000}, {2, 8000}, {3, 15000}, {4, 15000}, {60, 15000}};

/* Guards against reconnect storms: delays are spread from 0 to the bound. */
START_TEST(reconnect_has_full_jitter)
{
	const struct backoff_case *c = &backoff_cases[_i];
	const bool same_zone[3] = {false, false, false};
	int low = 0, high = 0;
	struct watch_plan p;

	for (uint64_t seed = 0; seed < 400; seed++) {
		int64_t wait;

		start_watch_plan(&p, 3, same_zone, seed, START);
		for (unsigned int i = 0; i < c->failures; i++)
			handle_watch_failure(&p, START);
		handle_watch_failure(&p, START);
		wait = get_watch_step(&p, START).until - START;
		ck_assert_int_ge(wait, 0);
		ck_assert_int_le(wait, MS(c->bound_ms));
		low += wait < MS(c->bound_ms) / 2;
		high += wait > MS(c->bound_ms) * 3 / 4;
	}
	/* means 200 and 100 of 400, 5 standard deviations are 50 and 43 */
	ck_assert_int_ge(low, 150);
	ck_assert_int_ge(high, 57);
}
END_TEST

/* Guards against a fast loop of watches when every control process fails. */
START_TEST(watches_are_bounded_when_all_controls_fail)
{
	const bool same_zone[3] = {false, false, false};
	int seen[3] = {0}, watches = 0;
	int64_t now = START;
	struct watch_plan p;

	start_watch_plan(&p, 3, same_zone, 9, now);
	while (now < START + MS(600000)) {
		struct watch_step s = step_next(&p, &now);

		ck_assert_int_eq(s.action, WATCH_SEND);
		seen[s.control]++;
		watches++;
		handle_watch_failure(&p, now);
	}
	/* the mean delay at the bound is 7.5 s; at most 1 watch a second */
	ck_assert_int_le(watches, 600);
	for (int i = 0; i < 3; i++)
		ck_assert_int_ge(seen[i], watches / 3 - 1);
}
END_TEST

/* Guards against a long backoff after the fleet has recovered. */
START_TEST(good_reply_resets_the_backoff)
{
	const bool same_zone[2] = {false, false};
	int64_t now = START;
	struct watch_plan p;

	start_watch_plan(&p, 2, same_zone, 3, now);
	for (int i = 0; i < 10; i++)
		handle_watch_failure(&p, now);
	ck_assert(!is_watch_attached(&p));
	step_next(&p, &now);
	handle_watch_reply(&p, true, true, now);
	ck_assert(is_watch_attached(&p));
	handle_watch_failure(&p, now);
	ck_assert_int_le(get_watch_step(&p, now).until, now + MS(2000));
}
END_TEST

/* Guards against a fast loop of watches that are answered at once. */
START_TEST(early_reply_without_news_is_paced)
{
	const bool same_zone[1] = {false};
	int64_t now = START;
	int watches = 0;
	struct watch_plan p;

	start_watch_plan(&p, 1, same_zone, 3, now);
	while (now < START + MS(10000)) {
		ck_assert_int_eq(step_next(&p, &now).action, WATCH_SEND);
		handle_watch_reply(&p, true, false, now);
		watches++;
	}
	ck_assert_int_le(watches, 11);
	/* with news the next watch follows at once */
	step_next(&p, &now);
	handle_watch_reply(&p, true, true, now);
	ck_assert_int_eq(get_watch_step(&p, now).action, WATCH_SEND);
}
END_TEST

/* Guards against moving away from a control process that is only busy. */
START_TEST(limit_retries_the_same_control)
{
	const bool same_zone[2] = {false, false};
	int64_t now = START;
	struct watch_step s;
	struct watch_plan p;
	int first;

	start_watch_plan(&p, 2, same_zone, 3, now);
	first = get_watch_control(&p);
	for (int i = 1; i < WATCH_LIMIT_ANSWERS_MAX; i++) {
		int64_t before;

		step_next(&p, &now);
		before = now;
		handle_watch_limit(&p, 1000, now);
		s = get_watch_step(&p, now);
		ck_assert_int_eq(s.action, WATCH_WAIT);
		ck_assert_int_eq(s.control, first);
		ck_assert_int_ge(s.until, before + MS(1000));
		ck_assert_int_le(s.until, before + MS(2000));
	}
	step_next(&p, &now);
	handle_watch_limit(&p, 1000, now);
	ck_assert_int_ne(get_watch_control(&p), first);
}
END_TEST

/* Guards against a second watch after the reply to a replaced one. */
START_TEST(reply_to_a_replaced_watch_sends_no_watch)
{
	const bool same_zone[1] = {false};
	struct watch_step s;
	struct watch_plan p;

	start_watch_plan(&p, 1, same_zone, 3, START);
	step_at(&p, START);
	record_node_change(&p, START + MS(1000));
	s = step_at(&p, START + MS(1020));
	ck_assert_int_eq(s.action, WATCH_SEND);
	handle_watch_reply(&p, false, true, START + MS(1030));
	s = step_at(&p, START + MS(1031));
	ck_assert_int_eq(s.action, WATCH_WAIT);
	ck_assert_int_eq(s.until, START + MS(1030 + AGENT_OVERDUE_MS));
}
END_TEST

#define COUNT(a) (int)(sizeof(a) / sizeof((a)[0]))

int
main(void)
{
	Suite *s = suite_create("agent_follow");
	TCase *t = tcase_create("follow");
	SRunner *run;
	int failed;

	tcase_add_test(t, order_prefers_the_same_zone_and_is_spread);
	tcase_add_test(t, overdue_watch_is_abandoned);
	tcase_add_test(t, arriving_reply_is_not_overdue);
	tcase_add_test(t, changes_do_not_postpone_the_overdue_time);
	tcase_add_test(t, change_is_sent_at_once);
	tcase_add_loop_test(
	    t, reconnect_has_full_jitter, 0, COUNT(backoff_cases));
	tcase_add_test(t, watches_are_bounded_when_all_controls_fail);
	tcase_add_test(t, good_reply_resets_the_backoff);
	tcase_add_test(t, early_reply_without_news_is_paced);
	tcase_add_test(t, limit_retries_the_same_control);
	tcase_add_test(t, reply_to_a_replaced_watch_sends_no_watch);
	suite_add_tcase(s, t);
	run = srunner_create(s);
	srunner_run_all(run, CK_ENV);
	failed = srunner_ntests_failed(run);
	srunner_free(run);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
