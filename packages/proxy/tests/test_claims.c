/*
 * Tests of work that must not be repeated: claims that are lost, delayed, held
 * by another run or refused, and resends. The work runs at most once, and a
 * call is reported as not run only if it has not run.
 */
#include <check.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "proxy_fixture.h"

struct claim_case {
	const char *name;
	enum fake_claim_mode mode;
	const char *more; /* request headers besides the key */
	int status;
	const char *outcome;
	const char *reason;
	int runs;
	int state; /* of the claim at the end */
};

static const struct claim_case cases[] = {
    {"granted", FAKE_CLAIM_NORMAL, NULL, 200, "ran", "", 1, WIRE_CLAIM_RAN},
    {"answer lost", FAKE_CLAIM_LOST, NULL, 503, "not-run", "no-quorum", 0,
	WIRE_CLAIM_OPEN},
    {"answer late", FAKE_CLAIM_DELAYED, "X-Ggs-Deadline-Ms: 300\n", 503,
	"not-run", "deadline", 0, WIRE_CLAIM_NOT_RUN},
    {"no quorum", FAKE_CLAIM_NO_QUORUM, NULL, 503, "not-run", "no-quorum", 0,
	-1},
    {"store full", FAKE_CLAIM_FULL, NULL, 503, "not-run", "overload", 0, -1},
};

struct key_state {
	struct proxy_fixture *fx;
	const char *key;
	int state;
};

static bool has_state(void *arg);
static void expect_state(struct proxy_fixture *fx, const char *key, int state);

/* Guards against a dispatch without a granted claim. */
START_TEST(only_a_granted_claim_runs)
{
	const struct claim_case *c = &cases[_i];
	struct proxy_fixture_config cfg = {.nodes = 1};
	char headers[256];
	struct fake_reply r;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	set_fake_claims(fx.agent, c->mode);
	snprintf(headers, sizeof(headers), "Idempotency-Key: k1\n%s",
	    c->more != NULL ? c->more : "");
	call_proxy_fixture(&fx, "pay", headers, &r);
	ck_assert_msg(r.status == c->status, "%s: status %d %s %s", c->name,
	    r.status, r.outcome, r.reason);
	ck_assert_str_eq(r.outcome, c->outcome);
	ck_assert_str_eq(r.reason, c->reason);
	release_fake_claims(fx.agent);
	expect_state(&fx, "k1", c->state);
	ck_assert_int_eq(count_fake_runs(fx.backends[0]), c->runs);
	close_proxy_fixture(&fx);
}
END_TEST

/* Guards against a resend that runs again or does not get the first answer. */
START_TEST(resend_gets_the_first_answer)
{
	struct proxy_fixture_config cfg = {.nodes = 2, .entry = true};
	struct fake_reply first, again;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	call_proxy_fixture(&fx, "pay", "Idempotency-Key: k2\n", &first);
	ck_assert_int_eq(first.status, 200);
	expect_state(&fx, "k2", WIRE_CLAIM_RAN);
	for (int i = 0; i < 5; i++) {
		call_proxy_fixture(&fx, "pay", "Idempotency-Key: k2\n", &again);
		ck_assert_int_eq(again.status, 200);
		ck_assert_str_eq(again.outcome, "ran");
		ck_assert_str_eq(again.reason, "replayed");
		ck_assert_str_eq(again.body, first.body);
	}
	ck_assert_int_eq(
	    count_fake_runs(fx.backends[0]) + count_fake_runs(fx.backends[1]),
	    1);
	close_proxy_fixture(&fx);
}
END_TEST

/* Guards against a resend that runs after a failed first run. */
START_TEST(resend_after_a_failure_does_not_run)
{
	struct proxy_fixture_config cfg = {.nodes = 1};
	struct fake_reply r;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	set_fake_mode(fx.backends[0], FAKE_FAIL, 1);
	call_proxy_fixture(&fx, "pay", "Idempotency-Key: k3\n", &r);
	ck_assert_int_eq(r.status, 500);
	expect_state(&fx, "k3", WIRE_CLAIM_FAILED);
	call_proxy_fixture(&fx, "pay", "Idempotency-Key: k3\n", &r);
	ck_assert_int_eq(r.status, 500);
	ck_assert_str_eq(r.outcome, "failed");
	ck_assert_str_eq(r.body, "bad.");
	ck_assert_int_eq(count_fake_runs(fx.backends[0]), 1);
	close_proxy_fixture(&fx);
}
END_TEST

/* Guards against a resend that runs while another run holds the key. */
START_TEST(key_held_by_another_run_is_unknown)
{
	struct proxy_fixture_config cfg = {.nodes = 1};
	struct fake_reply r;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	hold_fake_key(fx.agent, "k4");
	call_proxy_fixture(&fx, "pay", "Idempotency-Key: k4\n", &r);
	ck_assert_int_eq(r.status, 504);
	ck_assert_str_eq(r.outcome, "unknown");
	call_proxy_fixture(
	    &fx, "pay", "Idempotency-Key: k4\nX-Ggs-Deadline-Ms: 200\n", &r);
	ck_assert_int_eq(r.status, 504);
	ck_assert_str_eq(r.outcome, "unknown");
	ck_assert_int_eq(count_fake_runs(fx.backends[0]), 0);
	close_proxy_fixture(&fx);
}
END_TEST

/* Guards against closing a claim of unknown outcome: resends would run. */
START_TEST(unknown_outcome_keeps_the_claim_open)
{
	struct proxy_fixture_config cfg = {.nodes = 1};
	struct fake_reply r;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	set_fake_mode(fx.backends[0], FAKE_CLOSE_AFTER, 1);
	call_proxy_fixture(&fx, "pay", "Idempotency-Key: k5\n", &r);
	ck_assert_str_eq(r.outcome, "unknown");
	ck_assert_int_eq(get_fake_claim(fx.agent, "k5"), WIRE_CLAIM_OPEN);
	call_proxy_fixture(&fx, "pay", "Idempotency-Key: k5\n", &r);
	ck_assert_str_eq(r.outcome, "unknown");
	ck_assert_int_eq(count_fake_runs(fx.backends[0]), 1);
	close_proxy_fixture(&fx);
}
END_TEST

/* Guards against a refused call whose open claim blocks its resend. */
START_TEST(claim_is_closed_as_not_run_after_a_refusal)
{
	struct proxy_fixture_config cfg = {.nodes = 1};
	struct fake_reply r;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	set_fake_mode(fx.backends[0], FAKE_SHED, 10);
	call_proxy_fixture(&fx, "pay", "Idempotency-Key: k6\n", &r);
	ck_assert_str_eq(r.outcome, "not-run");
	expect_state(&fx, "k6", WIRE_CLAIM_NOT_RUN);
	set_fake_mode(fx.backends[0], FAKE_OK, 0);
	call_proxy_fixture(&fx, "pay", "Idempotency-Key: k6\n", &r);
	ck_assert_str_eq(r.outcome, "ran");
	ck_assert_int_eq(count_fake_runs(fx.backends[0]), 1);
	close_proxy_fixture(&fx);
}
END_TEST

/* Guards against the cost of claims for rows that may be repeated. */
START_TEST(repeatable_rows_open_no_claim)
{
	struct proxy_fixture_config cfg = {.nodes = 1};
	struct fake_reply r;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	call_proxy_fixture(&fx, "read", "Idempotency-Key: k7\n", &r);
	ck_assert_int_eq(r.status, 200);
	ck_assert_uint_eq(count_fake_opens(fx.agent), 0);
	close_proxy_fixture(&fx);
}
END_TEST

static bool
has_state(void *arg)
{
	struct key_state *s = arg;

	return get_fake_claim(s->fx->agent, s->key) == s->state;
}

static void
expect_state(struct proxy_fixture *fx, const char *key, int state)
{
	struct key_state s = {fx, key, state};

	ck_assert_msg(wait_fake(has_state, &s), "claim %s is %d, not %d", key,
	    get_fake_claim(fx->agent, key), state);
}

int
main(void)
{
	Suite *s = suite_create("claims");
	TCase *t = tcase_create("claims");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_loop_test(
	    t, only_a_granted_claim_runs, 0, sizeof(cases) / sizeof(cases[0]));
	tcase_add_test(t, resend_gets_the_first_answer);
	tcase_add_test(t, resend_after_a_failure_does_not_run);
	tcase_add_test(t, key_held_by_another_run_is_unknown);
	tcase_add_test(t, unknown_outcome_keeps_the_claim_open);
	tcase_add_test(t, claim_is_closed_as_not_run_after_a_refusal);
	tcase_add_test(t, repeatable_rows_open_no_claim);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
