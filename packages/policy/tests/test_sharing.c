/*
 * Order of waiting calls within a row and between rows, for every policy.
 */
#include <check.h>
#include <stdlib.h>

#include "sharing.h"

#define MS NSEC_PER_MSEC
#define HEAP_CALLS 300

/* Guards against a heap that loses its order after removals from the middle. */
START_TEST(waiting_calls_leave_in_order)
{
	struct admission_call calls[HEAP_CALLS] = {0};
	struct row_queue q = {.used = true, .by_deadline = _i % 2 == 0};
	struct rng r;
	int64_t last = -1;
	size_t kept = 0;

	seed_rng(&r, (uint64_t)_i);
	for (size_t i = 0; i < HEAP_CALLS; i++) {
		calls[i].deadline = (int64_t)draw_below(&r, 1000);
		calls[i].seq = i;
		ck_assert_int_eq(push_call(&q, &calls[i]), 0);
	}
	for (size_t i = 0; i < HEAP_CALLS; i += 3)
		remove_call(&q, &calls[i]);
	/* Remove more directly from the array, as an expiry does. */
	if (_i >= 4) {
		for (size_t i = 0; i < q.waiting; i++) {
			if (q.heap[i]->seq % 3 != 1)
				q.heap[kept++] = q.heap[i];
		}
		q.waiting = kept;
		rebuild_heap(&q);
	}
	while (q.waiting != 0) {
		struct admission_call *c = get_first_call(&q);
		int64_t key = q.by_deadline ? c->deadline : (int64_t)c->seq;

		ck_assert_ptr_eq(q.heap[c->heap_index], c);
		ck_assert_int_ge(key, last);
		last = key;
		remove_call(&q, c);
	}
	clear_queue(&q);
}
END_TEST

/*
 * Two rows with a waiting call each, and the row that the policy must choose.
 */
struct choice_case {
	enum admission_policy_id policy;
	int rank[2];
	int weight[2];
	int in_flight[2];
	double service_ms[2];
	int64_t deadline[2];
	double vtime[2];
	int want;
};

static const struct choice_case choice_cases[] = {
    /* policy, rank, weight, in flight, service, deadline, vtime, want */
    {ADMISSION_FCFS, {9, 1}, {1, 9}, {5, 0}, {9, 1}, {9, 1}, {0, 0}, 0},
    {ADMISSION_STRICT, {2, 1}, {9, 1}, {0, 5}, {1, 9}, {1, 9}, {0, 0}, 1},
    {ADMISSION_STRICT, {2, 2}, {9, 1}, {0, 5}, {1, 9}, {9, 1}, {0, 0}, 1},
    {ADMISSION_STRICT, {2, 2}, {1, 9}, {0, 5}, {1, 9}, {5, 5}, {0, 0}, 1},
    {ADMISSION_FAIR, {1, 2}, {1, 9}, {0, 0}, {1, 1}, {1, 9}, {5, 2}, 1},
    {ADMISSION_FLOORS, {2, 1}, {9, 1}, {0, 5}, {1, 9}, {1, 9}, {0, 0}, 1},
    {ADMISSION_GAIN, {1, 9}, {100, 100}, {0, 0}, {10, 1}, {1, 9}, {0, 0}, 1},
    {ADMISSION_GAIN, {9, 1}, {100, 100}, {4, 0}, {1, 1}, {1, 9}, {0, 0}, 1},
    {ADMISSION_GAIN, {9, 1}, {10, 100}, {0, 0}, {1, 1}, {1, 9}, {0, 0}, 1},
};

/* Guards against a policy that decides by a column other than its own. */
START_TEST(each_policy_uses_its_own_order)
{
	const struct choice_case *cc = &choice_cases[_i];
	struct admission_call calls[2] = {0};
	struct row_queue queues[2] = {0};
	struct scheduler_view v = {
	    .queues = queues, .queue_count = 2, .limit = 20, .waiting = 2};

	for (int i = 0; i < 2; i++) {
		queues[i] = (struct row_queue){.used = true,
		    .rank = cc->rank[i],
		    .weight = cc->weight[i],
		    .limit_pct = 100,
		    .target_ns = 1000 * MS,
		    .in_flight = cc->in_flight[i],
		    .service_ns = cc->service_ms[i] * 1e6,
		    .sample_count = 1,
		    .vtime = cc->vtime[i]};
		calls[i].deadline = cc->deadline[i];
		calls[i].seq = (uint64_t)i;
		v.in_flight += cc->in_flight[i];
		ck_assert_int_eq(push_call(&queues[i], &calls[i]), 0);
	}
	ck_assert_int_eq(
	    get_slot_scheduler(cc->policy)->choose_queue(&v), cc->want);
	for (int i = 0; i < 2; i++)
		clear_queue(&queues[i]);
}
END_TEST

/*
 * Guards against weights without effect, and against an idle row that earns
 * credit.
 */
START_TEST(fair_shares_follow_weights)
{
	const struct slot_scheduler *p = get_slot_scheduler(ADMISSION_FAIR);
	struct admission_call calls[2] = {0};
	struct row_queue queues[2] = {
	    {.used = true, .weight = 30, .limit_pct = 100},
	    {.used = true, .weight = 10, .limit_pct = 100}};
	struct scheduler_view v = {
	    .queues = queues, .queue_count = 2, .limit = 20, .waiting = 2};
	int got[2] = {0};

	v.vtime = 1e9; /* both were idle while other rows ran */
	queues[1].vtime = 1e9;
	for (int i = 0; i < 2; i++)
		ck_assert_int_eq(push_call(&queues[i], &calls[i]), 0);
	for (int i = 0; i < 400; i++) {
		int k = p->choose_queue(&v);

		got[k]++;
		p->charge_queue(&v, &queues[k]);
	}
	ck_assert_int_ge(got[0], 298);
	ck_assert_int_le(got[0], 302);
	for (int i = 0; i < 2; i++)
		clear_queue(&queues[i]);
}
END_TEST

struct owed_case {
	int floor_pct, limit, in_flight;
	double floor_credit;
	bool want;
};

static const struct owed_case owed_cases[] = {
    {50, 20, 9, -1e9, true}, /* whole slots at once, despite any debt */
    /* Slots that became free late. */
    {50, 20, 10, 0, false}, {50, 20, 10, 1, true}, {50, 20, 11, 1e9, false},
    {10, 6, 0, 0, true}, /* 0.6 of a slot */
    {10, 6, 0, -1, false}, {10, 6, 1, 1e9, false},
    {0, 20, 0, 1e9, false}, /* the floor cell was set to zero */
};

/*
 * Guards against whole slots of a floor that wait for credit, and against a
 * floor that exceeds its slots.
 */
START_TEST(floor_is_owed_by_slots_and_credit)
{
	const struct owed_case *c = &owed_cases[_i];
	struct row_queue q = {.used = true,
	    .floor_pct = c->floor_pct,
	    .in_flight = c->in_flight,
	    .floor_credit = c->floor_credit};

	ck_assert_int_eq(is_owed_floor(&q, c->limit), c->want);
}
END_TEST

/*
 * Guards against a row that has borrowed and gets no floor for long, and
 * against a row that earns credit while idle.
 */
START_TEST(credit_and_debt_are_bounded)
{
	struct admission_call call = {0};
	struct row_queue q = {.used = true, .floor_pct = 10, .in_flight = 6};

	for (int i = 0; i < 50; i++)
		add_service_sample(&q, 100e6);
	accrue_queue(&q, 6, 60e9);
	ck_assert(q.floor_credit >= -0.41 * get_slow_service_ns(&q));
	q.in_flight = 0;
	accrue_queue(&q, 6, 60e9);
	ck_assert(q.floor_credit <= 0); /* idle */
	ck_assert_int_eq(push_call(&q, &call), 0);
	accrue_queue(&q, 6, 60e9);
	ck_assert(q.floor_credit > 0);
	ck_assert(q.floor_credit <= 4.01 * get_slow_service_ns(&q));
	clear_queue(&q);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("sharing");
	TCase *tc = tcase_create("all");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_loop_test(tc, waiting_calls_leave_in_order, 0, 8);
	tcase_add_loop_test(tc, each_policy_uses_its_own_order, 0,
	    sizeof(choice_cases) / sizeof(choice_cases[0]));
	tcase_add_test(tc, fair_shares_follow_weights);
	tcase_add_loop_test(tc, floor_is_owed_by_slots_and_credit, 0,
	    sizeof(owed_cases) / sizeof(owed_cases[0]));
	tcase_add_test(tc, credit_and_debt_are_bounded);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed == 0 ? 0 : 1;
}
