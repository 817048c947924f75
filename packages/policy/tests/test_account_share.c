/*
 * Order between client accounts: one backend server under the load of several
 * accounts, played on a paused clock with fixed seeds.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "account_share.h"
#include "admission.h"

#define MS NSEC_PER_MSEC
#define TABLE ROWS_OF("1")
#define ROWS_OF(rank)                                              \
	"kind,service,rank,weight,floor_pct,limit_pct,target_ms,"  \
	"deadline_ms,queue_max,retries,retry_pct,hedge_ms,repeat," \
	"keep_s,body_max_kb,drain_s\n"                             \
	"read,svc," rank ",10,0,100,500,2000,100,1,10,0,yes,0,16,10\n"
#define ACCOUNTS_MAX 40
#define SLOTS 9
#define WORK_MS 150 /* 60 calls per second in all slots */
#define CALLS_MAX 4000
#define STEP_MS 5

/*
 * Each account sends calls at random by its usual rate; the first `loud` ones
 * send more by a factor in the middle of the time.
 */
struct load_case {
	const char *name;
	int accounts;
	double usual; /* calls per second of all accounts */
	int large_share; /* weight of the first account; the others have 1 */
	int loud;
	double factor;
	/* Least share of the others' calls that start in time, in the flood. */
	double quiet_min;
	/* Served loud calls, of what their shares of 60 per second allow. */
	double loud_min;
};

static const struct load_case cases[] = {
    {"no flood", 20, 35, 1, 0, 1, 0.99, 0},
    {"one loud account of twenty, 10 times", 20, 35, 1, 1, 10, 0.98, 0.9},
    {"a large account, 7 times", 20, 35, 6, 1, 7, 0.97, 0.9},
    {"three loud accounts, 12 times", 20, 35, 1, 3, 12, 0.95, 0.9},
    {"two loud accounts of forty, 12 times", 40, 40, 1, 2, 12, 0.95, 0.9},
    {"all accounts at twice the room", 20, 120, 1, 0, 1, 0, 0},
};

struct played_call {
	struct admission_call c;
	int account;
	int64_t ends; /* mono ns; 0: does not run */
};

struct played {
	int sent[ACCOUNTS_MAX], started[ACCOUNTS_MAX];
};

static struct played_call calls[CALLS_MAX];

static void
start_calls(const struct admission_changes *out, struct played *p, int64_t now)
{
	for (struct admission_call *c = out->run; c != NULL; c = c->next) {
		struct played_call *k = c->token;

		k->ends = now + WORK_MS * MS;
		p->started[k->account]++;
	}
}

/* Plays 12 s; the flood lasts from 4 s to 10 s, in which calls are counted. */
static void
play(const struct load_case *l, bool with_accounts, struct played *p)
{
	struct admission_config cfg = {
	    .policy = ADMISSION_FLOORS, .slots = SLOTS, .fixed_limit = true};
	struct admission_changes out;
	struct admission *a = NULL;
	struct table *t = NULL;
	struct fault f = {0};
	struct rng rng;
	struct played ignored = {{0}, {0}};
	int64_t start = 1000 * NSEC_PER_SEC;
	double shares = l->accounts - 1 + l->large_share;
	int used = 0, row;

	memset(p, 0, sizeof(*p));
	memset(calls, 0, sizeof(calls));
	seed_rng(&rng, 7);
	ck_assert_int_eq(load_table_csv(make_str(TABLE), 1, &t, &f), 0);
	ck_assert_int_eq(create_admission(&cfg, start, &a), 0);
	row = open_admission_row(a, t->rows[0], false);
	for (int64_t now = start; now < start + 12 * NSEC_PER_SEC;
	     now += STEP_MS * MS) {
		bool flood = now >= start + 4 * NSEC_PER_SEC &&
			     now < start + 10 * NSEC_PER_SEC;
		struct played *into = flood ? p : &ignored;

		for (int k = 0; k < used; k++) {
			if (calls[k].ends == 0 || calls[k].ends > now)
				continue;
			out = (struct admission_changes){0};
			calls[k].ends = 0;
			finish_call(a, &calls[k].c, OUTCOME_RAN, WORK_MS * MS,
			    now, &out);
			start_calls(&out, into, now);
		}
		out = (struct admission_changes){0};
		expire_calls(a, now, &out);
		start_calls(&out, into, now);
		for (int n = 0; n < l->accounts; n++) {
			double share = n == 0 ? l->large_share : 1;
			double rate = l->usual * share / shares;
			struct played_call *k = &calls[used];

			if (flood && n < l->loud)
				rate *= l->factor;
			if (draw_unit(&rng) >= rate * STEP_MS / 1000 ||
			    used == CALLS_MAX)
				continue;
			used++;
			k->account = n;
			k->c = (struct admission_call){.token = k,
			    .deadline = now + 1200 * MS,
			    .target = now + 500 * MS,
			    .account = with_accounts ? (uint64_t)n + 1 : 0,
			    .share = (int)share};
			into->sent[n]++;
			out = (struct admission_changes){0};
			if (offer_call(a, &k->c, row, now, &out).action ==
			    ADMIT_RUN) {
				k->ends = now + WORK_MS * MS;
				into->started[n]++;
			}
			start_calls(&out, into, now);
		}
	}
	ck_assert_int_lt(used, CALLS_MAX);
	destroy_admission(a);
	unload_table(t);
}

/*
 * Guards against a flood of one to three accounts in which the calls of the
 * others are refused, against a loud account that gets less than its share, and
 * against an account that is served less than a quarter as often as all.
 */
START_TEST(quiet_accounts_keep_their_share_in_a_flood)
{
	const struct load_case *l = &cases[_i];
	double shares = l->accounts - 1 + l->large_share;
	struct played before, p;
	double quiet[2], room = 60.0 * 6;
	int sent = 0, started = 0, without = 0;
	int all_sent = 0, all_started = 0;

	play(l, false, &before);
	play(l, true, &p);
	for (int n = 0; n < l->accounts; n++) {
		all_sent += p.sent[n];
		all_started += p.started[n];
	}
	for (int n = l->loud; n < l->accounts; n++) {
		ck_assert_msg(4.0 * p.started[n] * all_sent >=
				  (double)p.sent[n] * all_started,
		    "%s: account %d: %d of %d started, of all %d of %d",
		    l->name, n, p.started[n], p.sent[n], all_started, all_sent);
		sent += p.sent[n];
		started += p.started[n];
		without += before.started[n];
	}
	quiet[0] = sent > 0 ? (double)without / sent : 1;
	quiet[1] = sent > 0 ? (double)started / sent : 1;
	printf("%s: others' calls that started %.3f, without accounts %.3f\n",
	    l->name, quiet[1], quiet[0]);
	ck_assert_msg(quiet[1] >= l->quiet_min, "%s: %.3f", l->name, quiet[1]);
	for (int n = 0; n < l->loud; n++) {
		double fair = room * (n == 0 ? l->large_share : 1) / shares;

		ck_assert_msg(p.started[n] >= l->loud_min * fair ||
				  p.started[n] >= 0.9 * p.sent[n],
		    "%s: account %d: %d of %d started, share %.0f", l->name, n,
		    p.started[n], p.sent[n], fair);
	}
}
END_TEST

struct delay_case {
	const char *name;
	int own_started, others_started; /* others: ten accounts, together */
	int64_t after_ms;
	bool want_delay;
};

static const struct delay_case delay_cases[] = {
    {"first call", 0, 0, 0, false},
    {"alone", 50, 0, 0, false},
    {"few calls in a row beside others", 2, 100, 0, false},
    {"within its share", 10, 100, 0, false},
    {"beyond its share", 30, 100, 0, true},
    {"beyond its share, long ago", 30, 100, 20000, false},
};

/* Guards against a delay that outlasts the flood or meets small accounts. */
START_TEST(only_use_beyond_the_share_is_delayed)
{
	const struct delay_case *c = &delay_cases[_i];
	struct account_shares s = {0};
	int64_t now = 1000 * NSEC_PER_SEC, delay;

	for (int i = 0; i < c->others_started; i++) {
		add_waiting_use(&s, 2 + i % 10, 1, now);
		remove_waiting_use(&s, 2 + i % 10);
		add_started_use(&s, 2 + i % 10, now);
	}
	for (int i = 0; i < c->own_started; i++) {
		add_waiting_use(&s, 1, 1, now);
		remove_waiting_use(&s, 1);
		add_started_use(&s, 1, now);
	}
	delay = get_share_delay(&s, 1, 1, now + c->after_ms * MS);
	ck_assert_msg((delay > 0) == c->want_delay, "%s: %lld ns", c->name,
	    (long long)delay);
	ck_assert_int_eq(get_share_delay(&s, 0, 0, now), 0);
	unload_account_shares(&s);
}
END_TEST

/*
 * Guards against an account's rank that changes nothing, and against a full
 * queue that refuses a quiet account for a loud one: one slot, a queue of 100.
 */
START_TEST(ranks_and_full_queues_follow_the_account)
{
	struct admission_config cfg = {
	    .policy = ADMISSION_FLOORS, .slots = 1, .fixed_limit = true};
	struct admission_changes out = {0};
	struct admission *a = NULL;
	struct table *t = NULL;
	struct admission_call *quiet = &calls[200].c, *urgent = &calls[201].c;
	int64_t now = 1000 * NSEC_PER_SEC;
	int row, urgent_row;

	memset(calls, 0, sizeof(calls));
	ck_assert_int_eq(
	    load_table_csv(make_str(ROWS_OF("2")), 1, &t, NULL), 0);
	ck_assert_int_eq(create_admission(&cfg, now, &a), 0);
	row = open_account_row(a, t->rows[0], 0, false);
	urgent_row = open_account_row(a, t->rows[0], 1, false);
	ck_assert_int_ne(row, urgent_row);
	ck_assert_int_eq(open_account_row(a, t->rows[0], 0, false), row);
	for (int i = 0; i < 101; i++) {
		calls[i].c =
		    (struct admission_call){.deadline = now + 60 * NSEC_PER_SEC,
			.target = now + 50 * NSEC_PER_SEC,
			.account = i == 0 ? 2 : 1,
			.share = 1};
		ck_assert_int_ne(
		    offer_call(a, &calls[i].c, row, now, &out).action,
		    ADMIT_REFUSED);
	}
	*quiet = (struct admission_call){.deadline = now + 60 * NSEC_PER_SEC,
	    .target = now + 50 * NSEC_PER_SEC,
	    .account = 2,
	    .share = 1};
	ck_assert_int_eq(
	    offer_call(a, quiet, row, now, &out).action, ADMIT_QUEUED);
	ck_assert_ptr_eq(out.refused, &calls[100].c);
	*urgent = (struct admission_call){.deadline = now + 60 * NSEC_PER_SEC,
	    .target = now + 50 * NSEC_PER_SEC,
	    .account = 3,
	    .share = 1};
	ck_assert_int_eq(
	    offer_call(a, urgent, urgent_row, now, &out).action, ADMIT_QUEUED);
	out = (struct admission_changes){0};
	finish_call(a, &calls[0].c, OUTCOME_RAN, MS, now + MS, &out);
	ck_assert_ptr_eq(out.run, urgent);
	destroy_admission(a);
	unload_table(t);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("account share");
	TCase *t = tcase_create("account share");
	SRunner *r;
	int failed;

	tcase_add_loop_test(t, quiet_accounts_keep_their_share_in_a_flood, 0,
	    sizeof(cases) / sizeof(cases[0]));
	tcase_add_loop_test(t, only_use_beyond_the_share_is_delayed, 0,
	    sizeof(delay_cases) / sizeof(delay_cases[0]));
	tcase_add_test(t, ranks_and_full_queues_follow_the_account);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
