/*
 * Retries, hedges and their budgets.
 */
#include <check.h>
#include <stdlib.h>

#include "retry.h"

#define MS NSEC_PER_MSEC
#define DEPTH_MAX 17
#define CHAIN_CALLS 20000
#define AMPLIFICATION_MAX 1.2 /* docs/design.md 1.8 */

static struct row
make_row(bool repeatable, int retries, int retry_pct, int hedge_ms)
{
	struct row r = {.kind = "read", .repeatable = repeatable};

	r.values[COL_RETRIES] = retries;
	r.values[COL_RETRY_PCT] = retry_pct;
	r.values[COL_HEDGE_MS] = hedge_ms;
	return r;
}

struct retry_case {
	bool repeatable;
	int retries, retry_pct;
	enum call_outcome outcome;
	bool may_retry;
	int attempts, chain;
	double tokens;
	bool other;
	int64_t retry_after_ms, mean_latency_ms, left_ms;
	enum retry_refusal want;
};

static const struct retry_case retry_cases[] = {
    {true, 2, 10, OUTCOME_NOT_RUN, true, 1, 2, 1, true, 0, 5, 100,
	RETRY_ALLOWED},
    {false, 2, 10, OUTCOME_NOT_RUN, true, 1, 2, 1, true, 0, 5, 100,
	RETRY_ALLOWED},
    {true, 2, 10, OUTCOME_FAILED, true, 1, 2, 1, true, 0, 5, 100,
	RETRY_ALLOWED},
    {true, 2, 10, OUTCOME_FAILED, false, 1, 2, 1, true, 0, 5, 100,
	RETRY_NOT_SAFE},
    /* The row forbids it even if the verdict allows it. */
    {false, 2, 10, OUTCOME_UNKNOWN, true, 1, 2, 1, true, 0, 5, 100,
	RETRY_NOT_SAFE},
    {false, 2, 10, OUTCOME_FAILED, true, 1, 2, 1, true, 0, 5, 100,
	RETRY_NOT_SAFE},
    {true, 2, 10, OUTCOME_UNKNOWN, true, 3, 2, 1, true, 0, 5, 100, RETRY_COUNT},
    {true, 0, 10, OUTCOME_UNKNOWN, true, 1, 2, 1, true, 0, 5, 100, RETRY_COUNT},
    {true, 2, 10, OUTCOME_UNKNOWN, true, 2, 0, 1, true, 0, 5, 100, RETRY_CHAIN},
    {true, 2, 10, OUTCOME_UNKNOWN, true, 1, 2, 0.9, true, 0, 5, 100,
	RETRY_BUDGET},
    {true, 2, 0, OUTCOME_UNKNOWN, true, 1, 2, 3, true, 0, 5, 100, RETRY_BUDGET},
    {true, 2, 10, OUTCOME_UNKNOWN, true, 1, 2, 1, true, 0, 100, 100,
	RETRY_DEADLINE},
    {true, 2, 10, OUTCOME_UNKNOWN, true, 1, 2, 1, true, 0, 0, 0,
	RETRY_DEADLINE},
    /* The delay leaves time for the attempt itself. */
    {true, 2, 10, OUTCOME_UNKNOWN, true, 1, 2, 1, true, 0, 5, 8, RETRY_ALLOWED},
    /* Retry-After applies only when the same endpoint is tried again. */
    {true, 2, 10, OUTCOME_NOT_RUN, true, 1, 2, 1, true, 500, 5, 100,
	RETRY_ALLOWED},
    {true, 2, 10, OUTCOME_NOT_RUN, true, 1, 2, 1, false, 500, 5, 100,
	RETRY_DEADLINE},
    {true, 2, 10, OUTCOME_NOT_RUN, true, 1, 2, 1, false, 50, 5, 100,
	RETRY_ALLOWED},
};

/*
 * Guards against retries that run a call twice, exceed a budget or come too
 * late, and against a delay beyond the time left.
 */
START_TEST(retry_follows_every_rule)
{
	const struct retry_case *c = &retry_cases[_i];
	struct row row = make_row(c->repeatable, c->retries, c->retry_pct, 0);
	struct retry_input in = {.row = &row,
	    .verdict = {.outcome = c->outcome, .may_retry = c->may_retry},
	    .attempts = c->attempts,
	    .chain_budget = c->chain,
	    .has_other_endpoint = c->other,
	    .retry_after_ns = c->retry_after_ms * MS,
	    .mean_latency_ns = c->mean_latency_ms * MS};
	int64_t now = 9 * NSEC_PER_SEC;
	struct rng r;

	in.deadline = now + c->left_ms * MS;
	seed_rng(&r, 3);
	for (int i = 0; i < 1000; i++) {
		struct retry_budget b = {.tokens = c->tokens};
		struct retry_decision d = decide_retry(&in, &b, &r, now);
		int64_t least = c->other ? 0 : in.retry_after_ns;

		ck_assert_int_eq(d.refusal, c->want);
		ck_assert_int_eq(d.retry, c->want == RETRY_ALLOWED);
		if (!d.retry) {
			ck_assert(b.tokens >= c->tokens);
			ck_assert_int_eq(d.chain_budget, 0);
			continue;
		}
		ck_assert(b.tokens <= c->tokens - 1);
		ck_assert_int_eq(d.chain_budget, c->chain - 1);
		ck_assert_int_ge(d.delay_ns, least);
		ck_assert_int_lt(d.delay_ns, least + 10 * MS);
		ck_assert_int_le(
		    now + d.delay_ns + in.mean_latency_ns, in.deadline);
	}
}
END_TEST

/*
 * Guards against callers that all retry at the same time after a common
 * failure.
 */
START_TEST(jitter_covers_the_whole_range)
{
	struct row row = make_row(true, 5, 50, 0);
	struct retry_input in = {.row = &row,
	    .verdict = {.outcome = OUTCOME_NOT_RUN, .may_retry = true},
	    .attempts = 3,
	    .chain_budget = 5,
	    .has_other_endpoint = true,
	    .deadline = NSEC_PER_SEC};
	int quarter[4] = {0};
	struct rng r;

	seed_rng(&r, 4);
	for (int i = 0; i < 4000; i++) {
		struct retry_budget b = {.tokens = 1};
		struct retry_decision d = decide_retry(&in, &b, &r, 0);

		quarter[d.delay_ns / (10 * MS)]++; /* third attempt: 40 ms */
	}
	for (int i = 0; i < 4; i++)
		ck_assert_int_gt(quarter[i], 800);
}
END_TEST

/*
 * Guards against a budget that exceeds its maximum or its share of the calls.
 */
START_TEST(budget_is_a_share_of_calls)
{
	struct row row = make_row(true, 2, 10, 0);
	struct retry_budget b;

	start_retry_budget(&b);
	b.tokens = 0;
	for (int i = 0; i < 50; i++)
		credit_retry_budget(&b, &row);
	ck_assert(b.tokens > 4.99 && b.tokens < 5.01);
	for (int i = 0; i < 5000; i++)
		credit_retry_budget(&b, &row);
	ck_assert(b.tokens <= 10);
}
END_TEST

/*
 * Guards against an invalid, hostile or missing header that increases the chain
 * budget.
 */
START_TEST(chain_budget_never_grows)
{
	struct row row = make_row(true, 2, 10, 0);

	ck_assert_int_eq(start_chain_budget(&row, RETRY_BUDGET_ABSENT), 2);
	ck_assert_int_eq(start_chain_budget(&row, 1), 1);
	ck_assert_int_eq(start_chain_budget(&row, 0), 0);
	ck_assert_int_eq(start_chain_budget(&row, 99), 2);
	ck_assert_int_eq(start_chain_budget(&row, -5), 0);
	ck_assert_int_eq(get_chain_budget_after(2, true, 1), 1);
	ck_assert_int_eq(get_chain_budget_after(2, true, 9), 2);
	ck_assert_int_eq(
	    get_chain_budget_after(2, true, RETRY_BUDGET_ABSENT), 0);
	ck_assert_int_eq(
	    get_chain_budget_after(2, false, RETRY_BUDGET_ABSENT), 2);
}
END_TEST

struct hedge_case {
	bool repeatable;
	int hedge_ms, retry_pct;
	bool first_level;
	int chain, attempts;
	bool other;
	double tokens;
	int64_t elapsed_ms, mean_latency_ms;
	bool want;
};

static const struct hedge_case hedge_cases[] = {
    {true, 60, 10, true, 2, 1, true, 2, 60, 10, true},
    {true, 60, 10, true, 2, 1, true, 2, 59, 10, false},
    {true, 0, 10, true, 2, 1, true, 2, 60, 10, false},
    {false, 60, 10, true, 2, 1, true, 2, 60, 10, false},
    {true, 60, 10, false, 2, 1, true, 2, 60, 10, false},
    {true, 60, 10, true, 0, 1, true, 2, 60, 10, false},
    {true, 60, 10, true, 2, 2, true, 2, 60, 10, false},
    {true, 60, 10, true, 2, 1, false, 2, 60, 10, false},
    {true, 60, 10, true, 2, 1, true, 1.9, 60, 10, false},
    {true, 60, 0, true, 2, 1, true, 2, 60, 10, false},
    {true, 60, 10, true, 2, 1, true, 2, 60, 200, false},
};

/*
 * Guards against hedges of calls that are not repeatable, and beyond the
 * budget.
 */
START_TEST(hedge_follows_every_rule)
{
	const struct hedge_case *c = &hedge_cases[_i];
	struct row row = make_row(c->repeatable, 2, c->retry_pct, c->hedge_ms);
	struct retry_budget b = {.tokens = c->tokens};
	struct retry_input in = {.row = &row,
	    .first_level = c->first_level,
	    .chain_budget = c->chain,
	    .attempts = c->attempts,
	    .has_other_endpoint = c->other,
	    .mean_latency_ns = c->mean_latency_ms * MS,
	    .deadline = 200 * MS};

	ck_assert_int_eq(
	    decide_hedge(&in, &b, c->elapsed_ms * MS, 60 * MS), c->want);
	ck_assert(c->want ? b.tokens <= 0 : b.tokens >= c->tokens);
}
END_TEST

/* How the leaf of a chain fails. */
enum leaf_failure {
	LEAF_REFUSES, /* answers not-run, with the budget it received */
	LEAF_FAILS, /* 500 */
	LEAF_NO_ANSWER, /* no answer */
	LEAF_SLOW, /* slow enough for hedges, then 500 */
	LEAF_FAILURES
};

/* A chain of entry nodes, each with its own retry budget for its row. */
struct chain {
	int depth;
	enum leaf_failure leaf;
	struct row row;
	struct retry_budget budgets[DEPTH_MAX];
	long calls[DEPTH_MAX + 1]; /* attempts that reach each level */
	struct rng rng;
};

struct chain_answer {
	struct attempt_verdict verdict;
	bool answered;
	int header; /* chain budget of the answer */
};

static struct chain_answer call_level(struct chain *c, int level, int header);

/*
 * The entry node of a level calls the level below, with retries and hedges, and
 * returns its answer upwards.
 */
static struct chain_answer
call_below(struct chain *c, int level, int header)
{
	struct retry_budget *b = &c->budgets[level];
	struct retry_input in = {.row = &c->row,
	    .first_level = header == RETRY_BUDGET_ABSENT,
	    .has_other_endpoint = true,
	    .deadline = NSEC_PER_SEC};
	struct chain_answer a;
	int sent = start_chain_budget(&c->row, header);

	credit_retry_budget(b, &c->row);
	for (;;) {
		struct retry_decision d;

		a = call_level(c, level + 1, sent);
		in.attempts++;
		in.chain_budget = sent;
		if (c->leaf == LEAF_SLOW &&
		    decide_hedge(&in, b, 100 * MS, 100 * MS)) {
			in.attempts++;
			(void)call_level(c, level + 1, 0);
		}
		in.verdict = a.verdict;
		in.chain_budget =
		    get_chain_budget_after(sent, a.answered, a.header);
		d = decide_retry(&in, b, &c->rng, 0);
		if (!d.retry)
			break;
		sent = d.chain_budget;
	}
	a.answered = true;
	a.header = 0;
	a.verdict = (struct attempt_verdict){
	    .outcome = OUTCOME_FAILED, .may_retry = true};
	return a;
}

/*
 * A call arrives at the serving node and backend server of a level, which calls
 * the level below or, at the leaf, fails.
 */
static struct chain_answer
call_level(struct chain *c, int level, int header)
{
	struct chain_answer a = {.answered = true, .header = header};

	c->calls[level]++;
	if (level < c->depth)
		return call_below(c, level, header);
	a.verdict.may_retry = true;
	switch (c->leaf) {
	case LEAF_REFUSES:
		a.verdict.outcome = OUTCOME_NOT_RUN;
		break;
	case LEAF_NO_ANSWER:
		a.verdict.outcome = OUTCOME_UNKNOWN;
		a.answered = false;
		break;
	case LEAF_FAILS:
	case LEAF_SLOW:
	case LEAF_FAILURES:
		a.verdict.outcome = OUTCOME_FAILED;
		break;
	}
	return a;
}

/*
 * Guards against load that multiplies with depth when the leaf fails: no level
 * may see more than 1.2 attempts for each call of the first level.
 */
START_TEST(chain_amplification_is_bounded)
{
	for (int depth = 1; depth <= DEPTH_MAX; depth++) {
		struct chain c = {.depth = depth, .leaf = _i};

		c.row = make_row(true, 2, 10, 60);
		seed_rng(&c.rng, (uint64_t)depth);
		for (int i = 0; i < DEPTH_MAX; i++)
			start_retry_budget(&c.budgets[i]);
		for (int i = 0; i < CHAIN_CALLS; i++)
			(void)call_below(&c, 0, RETRY_BUDGET_ABSENT);
		for (int i = 1; i <= depth; i++) {
			double x = (double)c.calls[i] / CHAIN_CALLS;

			ck_assert_msg(x <= AMPLIFICATION_MAX,
			    "depth %d level %d: %.3f", depth, i, x);
		}
		/* The budget is used, so retries are not simply disabled. */
		ck_assert_int_gt(c.calls[depth], CHAIN_CALLS * 105L / 100);
	}
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("retry");
	TCase *tc = tcase_create("all");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, retry_follows_every_rule, 0,
	    sizeof(retry_cases) / sizeof(retry_cases[0]));
	tcase_add_test(tc, jitter_covers_the_whole_range);
	tcase_add_test(tc, budget_is_a_share_of_calls);
	tcase_add_test(tc, chain_budget_never_grows);
	tcase_add_loop_test(tc, hedge_follows_every_rule, 0,
	    sizeof(hedge_cases) / sizeof(hedge_cases[0]));
	tcase_add_loop_test(
	    tc, chain_amplification_is_bounded, 0, LEAF_FAILURES);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed == 0 ? 0 : 1;
}
