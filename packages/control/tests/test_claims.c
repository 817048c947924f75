/*
 * Claims of calls that run at most once: grants, conflicts and retention.
 */
#include "state_fixture.h"

#define OPEN WIRE_CLAIM_OPEN
#define RAN WIRE_CLAIM_RAN
#define FAILED WIRE_CLAIM_FAILED
#define NOT_RUN WIRE_CLAIM_NOT_RUN

static struct command_result
send_claim(struct state *s, int64_t stamp, const char *key, char id, int state,
    unsigned int keep_s, const char *answer)
{
	struct command c = make_command("", key, 0);
	struct command_claim *q = &c.body.command_body_u.claim;
	char node[3] = {'n', id, '\0'};

	c.body.type = COMMAND_CLAIM;
	q->kind = (char *)(uintptr_t) "pay";
	q->node = node;
	memset(q->claim_id, id, sizeof(q->claim_id));
	q->incarnation = 7;
	q->state = state;
	q->keep_s = keep_s;
	q->http_status = state == RAN ? 201 : 0;
	q->answer.answer_val = (char *)(uintptr_t)answer;
	q->answer.answer_len = (unsigned int)strlen(answer);
	q->answer_whole = TRUE;
	return apply_at(s, stamp, &c);
}

struct claim_step {
	char id; /* '\0' ends the case */
	int state;
	int status; /* expected result */
	int want_state; /* expected state of the key's claim */
	char holder; /* expected id of the key's claim */
};

#define CLAIM_STEPS 7

/* Each case is one sequence of requests for a key. */
static const struct claim_step claim_cases[][CLAIM_STEPS] = {
    /* the reply was lost: the same id opens again */
    {{'a', OPEN, 0, OPEN, 'a'}, {'a', OPEN, 0, OPEN, 'a'}},
    /* a resend, which has another id, in every state of the claim */
    {{'a', OPEN, 0, OPEN, 'a'}, {'b', OPEN, ERR_CONFLICT, OPEN, 'a'},
	{'a', RAN, 0, RAN, 'a'}, {'b', OPEN, ERR_CONFLICT, RAN, 'a'},
	{'a', OPEN, ERR_CONFLICT, RAN, 'a'}},
    {{'a', OPEN, 0, OPEN, 'a'}, {'a', FAILED, 0, FAILED, 'a'},
	{'b', OPEN, ERR_CONFLICT, FAILED, 'a'},
	{'a', OPEN, ERR_CONFLICT, FAILED, 'a'}},
    {{'a', OPEN, 0, OPEN, 'a'}, {'a', NOT_RUN, 0, NOT_RUN, 'a'},
	{'b', OPEN, 0, OPEN, 'b'}, {'b', RAN, 0, RAN, 'b'},
	{'c', OPEN, ERR_CONFLICT, RAN, 'b'}},
    /* closes that repeat or contradict the first one */
    {{'a', OPEN, 0, OPEN, 'a'}, {'a', RAN, 0, RAN, 'a'},
	{'a', RAN, 0, RAN, 'a'}, {'a', NOT_RUN, ERR_CONFLICT, RAN, 'a'},
	{'a', FAILED, ERR_CONFLICT, RAN, 'a'}},
    {{'a', OPEN, 0, OPEN, 'a'}, {'a', NOT_RUN, 0, NOT_RUN, 'a'},
	{'a', NOT_RUN, 0, NOT_RUN, 'a'},
	{'a', RAN, ERR_CONFLICT, NOT_RUN, 'a'}},
    /* the close overtook the open, whose call has ended */
    {{'a', NOT_RUN, 0, NOT_RUN, 'a'}, {'a', OPEN, ERR_CONFLICT, NOT_RUN, 'a'},
	{'b', OPEN, 0, OPEN, 'b'}},
    /* the same, while or after another id owns the claim */
    {{'b', OPEN, 0, OPEN, 'b'}, {'a', NOT_RUN, 0, OPEN, 'b'},
	{'b', NOT_RUN, 0, NOT_RUN, 'b'},
	{'a', OPEN, ERR_CONFLICT, NOT_RUN, 'b'}, {'c', OPEN, 0, OPEN, 'c'}},
    {{'a', OPEN, 0, OPEN, 'a'}, {'a', NOT_RUN, 0, NOT_RUN, 'a'},
	{'b', OPEN, 0, OPEN, 'b'}, {'b', NOT_RUN, 0, NOT_RUN, 'b'},
	{'a', OPEN, ERR_CONFLICT, NOT_RUN, 'b'}, {'c', OPEN, 0, OPEN, 'c'}},
    /* closes by an id that does not own the claim */
    {{'a', OPEN, 0, OPEN, 'a'}, {'b', RAN, ERR_CONFLICT, OPEN, 'a'},
	{'b', FAILED, ERR_CONFLICT, OPEN, 'a'}, {'a', RAN, 0, RAN, 'a'}},
    /* a close whose claim was removed before still blocks the key */
    {{'a', RAN, 0, RAN, 'a'}, {'b', OPEN, ERR_CONFLICT, RAN, 'a'}},
};

/*
 * Guards against a call that runs twice, and against a key that stays blocked
 * although its call did not run.
 */
START_TEST(claims_grant_one_id)
{
	struct state *s = open_sample();

	for (int i = 0; i < CLAIM_STEPS && claim_cases[_i][i].id != 0; i++) {
		const struct claim_step *p = &claim_cases[_i][i];
		struct command_result r =
		    send_claim(s, T0, "k", p->id, p->state, 60, "");

		ck_assert_msg(
		    r.status == p->status, "step %d: %d", i, r.status);
		ck_assert_msg(r.claim_state == p->want_state,
		    "step %d: state %d", i, r.claim_state);
		ck_assert_msg(
		    r.holder[1] == p->holder, "step %d: %s", i, r.holder);
		unload_command_result(&r);
	}
	close_state(s);
}
END_TEST

/* Guards against a resend that does not get the response of the first run. */
START_TEST(resend_gets_stored_response)
{
	struct state *s = open_sample();
	struct command_result r = send_claim(s, T0, "k", 'a', OPEN, 60, "");

	unload_command_result(&r);
	r = send_claim(s, T0, "k", 'a', RAN, 60, "paid 12");
	unload_command_result(&r);
	r = send_claim(s, T0, "k", 'b', OPEN, 60, "");
	ck_assert_int_eq(r.status, ERR_CONFLICT);
	ck_assert_int_eq(r.http_status, 201);
	ck_assert_uint_eq(r.answer.answer_len, 7);
	ck_assert_mem_eq(r.answer.answer_val, "paid 12", 7);
	ck_assert(r.answer_whole);
	unload_command_result(&r);
	close_state(s);
}
END_TEST

struct retention_case {
	unsigned int keep_s;
	int state; /* closed as; OPEN: not closed */
	int64_t after_s; /* since the last change */
	int want; /* expected status of another id's open */
};

static const struct retention_case retention_cases[] = {
    {60, OPEN, 59, ERR_CONFLICT},
    {60, OPEN, 60, 0},
    {60, RAN, 59, ERR_CONFLICT},
    {60, RAN, 60, 0},
    {600, RAN, 599, ERR_CONFLICT},
    {600, RAN, 600, 0},
    {0, RAN, 59, ERR_CONFLICT}, /* below the minimum retention */
    {UINT32_MAX, RAN, CLAIM_KEEP_MAX_S - 1, ERR_CONFLICT},
    {UINT32_MAX, RAN, CLAIM_KEEP_MAX_S, 0},
};

/* Guards against a claim that is removed before its retention ends. */
START_TEST(claims_are_kept_for_their_retention)
{
	const struct retention_case *c = &retention_cases[_i];
	struct state *s = open_sample();
	int64_t closed = T0 + 30 * NSEC_PER_SEC, at;
	struct command_result r =
	    send_claim(s, T0, "k", 'a', OPEN, c->keep_s, "");

	unload_command_result(&r);
	if (c->state != OPEN) {
		r = send_claim(s, closed, "k", 'a', c->state, c->keep_s, "");
		unload_command_result(&r);
	}
	at = (c->state != OPEN ? closed : T0) + c->after_s * NSEC_PER_SEC;
	r = send_claim(s, at, "k", 'b', OPEN, c->keep_s, "");
	ck_assert_int_eq(r.status, c->want);
	unload_command_result(&r);
	close_state(s);
}
END_TEST

/* Guards against evicting a claim for space: its call could run again. */
START_TEST(full_store_refuses_new_claims)
{
	enum {
		MAX = 50
	};
	struct state *s = NULL;
	struct command_result r;
	char key[16];

	ck_assert_int_eq(open_state(MAX, &s), 0);
	for (int i = 0; i < MAX + 10; i++) {
		snprintf(key, sizeof(key), "k%d", i);
		r = send_claim(s, T0, key, 'a', OPEN, 60, "");
		ck_assert_int_eq(r.status, i < MAX ? 0 : ERR_LIMIT);
		unload_command_result(&r);
	}
	for (int i = 0; i < MAX; i++) {
		snprintf(key, sizeof(key), "k%d", i);
		r = send_claim(s, T0, key, 'b', OPEN, 60, "");
		ck_assert_int_eq(r.status, ERR_CONFLICT);
		unload_command_result(&r);
	}
	/* Claims whose retention has ended make room. */
	r = send_claim(s, T0 + 60 * NSEC_PER_SEC, "new", 'a', OPEN, 60, "");
	ck_assert_int_eq(r.status, 0);
	ck_assert_uint_eq(s->claims.index.count, 1);
	unload_command_result(&r);
	close_state(s);
}
END_TEST

/*
 * Guards against two grants for one key in random sequences of opens, closes
 * and resends: an id may be granted only while no other id ran or may run.
 */
START_TEST(random_orders_never_grant_two_ids)
{
	struct state *s = open_sample();
	struct rng r;
	char granted = 0; /* id that ran or may run; 0: none */

	seed_rng(&r, 23);
	for (int i = 0; i < 20000; i++) {
		char id = (char)('a' + draw_below(&r, 5));
		int state = (int)draw_below(&r, 4);
		struct command_result x;

		if (i % 50 == 0) {
			close_state(s);
			s = open_sample();
			granted = 0;
		}
		x = send_claim(s, T0, "k", id, state, 60, "");
		if (state == OPEN && x.status == 0) {
			ck_assert(granted == 0 || granted == id);
			granted = id;
		} else if (state == NOT_RUN && x.status == 0 && granted == id) {
			granted = 0;
		} else if ((state == RAN || state == FAILED) && x.status == 0) {
			ck_assert(granted == 0 || granted == id);
			granted = id;
		}
		unload_command_result(&x);
	}
	close_state(s);
}
END_TEST

/* Log and wall time of a resend, in seconds after the original at T0. */
struct clock_case {
	int64_t log_s;
	int64_t wall_s;
	bool claim_kept; /* expected */
	bool answer_kept;
};

static const struct clock_case clock_cases[] = {
    {0, 0, true, true}, {59, 59, true, true}, {60, 60, false, true},
    {59, 1000000, true, true}, /* wall clock jumped ahead */
    {59, -1000000, true, true}, /* wall clock jumped back */
    {60, -1000000, false, true}, {86399, 86400, false, true},
    {86399, 1000000, false, true}, {86400, 86400, false, false},
    {86400, -1000000, false, false},
    {-1000000, 1000000, true, true}, /* earlier stamp: log time stays */
};

/*
 * Guards against a call that runs twice, or a change applied twice, because the
 * leader's wall clock jumped past the end of the retention.
 */
START_TEST(retention_counts_log_time_only)
{
	const struct clock_case *k = &clock_cases[_i];
	int64_t log = T0 + k->log_s * NSEC_PER_SEC;
	int64_t wall = T0 + k->wall_s * NSEC_PER_SEC;
	struct state *s = open_sample();
	struct command c = make_command("anna", "key", 0);
	struct command_result r;

	r = apply_import(s, "anna", "key", 0, SAMPLE);
	unload_command_result(&r);
	r = send_claim(s, T0, "k", 'a', RAN, 60, "done");
	unload_command_result(&r);
	c.body.type = COMMAND_IMPORT;
	c.body.command_body_u.import.csv.csv_val = (char *)(uintptr_t)SAMPLE;
	c.body.command_body_u.import.csv.csv_len = sizeof(SAMPLE) - 1;
	r = apply_with_wall(s, log, wall, &c);
	unload_command_result(&r);
	ck_assert_int_eq(
	    find_answer(&s->answers, make_str("anna"), make_str("key"))
		    ->time_ns == T0,
	    k->answer_kept);
	r = send_claim(s, log, "k", 'b', OPEN, 60, "");
	ck_assert_int_eq(r.status, k->claim_kept ? ERR_CONFLICT : 0);
	unload_command_result(&r);
	close_state(s);
}
END_TEST

/* Guards against a history that shows log time instead of wall time. */
START_TEST(history_shows_wall_time)
{
	struct state *s = open_sample();
	struct command c = make_command("anna", "", 0);
	struct command_result r;

	c.body.type = COMMAND_IMPORT;
	c.body.command_body_u.import.csv.csv_val = (char *)(uintptr_t)SAMPLE;
	c.body.command_body_u.import.csv.csv_len = sizeof(SAMPLE) - 1;
	r = apply_with_wall(s, 5, T0, &c);
	unload_command_result(&r);
	ck_assert_int_eq(get_version(&s->history, 0)->time_ns, T0);
	ck_assert_int_eq(s->log_ns, 5);
	close_state(s);
}
END_TEST

int
main(void)
{
	TCase *t = tcase_create("claims");

	tcase_set_timeout(t, 60);
	tcase_add_loop_test(t, claims_grant_one_id, 0,
	    sizeof(claim_cases) / sizeof(claim_cases[0]));
	tcase_add_loop_test(t, retention_counts_log_time_only, 0,
	    (int)(sizeof(clock_cases) / sizeof(clock_cases[0])));
	tcase_add_test(t, history_shows_wall_time);
	tcase_add_test(t, resend_gets_stored_response);
	tcase_add_loop_test(t, claims_are_kept_for_their_retention, 0,
	    sizeof(retention_cases) / sizeof(retention_cases[0]));
	tcase_add_test(t, full_store_refuses_new_claims);
	tcase_add_test(t, random_orders_never_grant_two_ids);
	return run_suite("claims", t);
}
