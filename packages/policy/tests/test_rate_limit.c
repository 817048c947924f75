/*
 * The rate of calls that a backend server names, under more calls than it
 * admits.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "admission.h"
#include "rate_limit.h"

#define MS NSEC_PER_MSEC
#define START (1000 * MS)
#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define WINDOW_MS 4000 /* the users' rule on limits counts in any 4 s */
#define DAY_MS 24000
#define CALLS 512
#define SERVICE_MS 20
#define TARGET_MS 400

/* What the server names from a time on; negative: nothing. */
struct limit_step {
	int at_ms;
	double per_s;
};

struct flood_case {
	const char *name;
	struct limit_step steps[5];
	int gap_ms; /* between two offers */
};

static const struct flood_case flood_cases[] = {
    {"76 a second", {{0, 76}}, 3},
    {"13 a second", {{0, 13}}, 3},
    {"1.1 a second, below the number of nodes", {{0, 1.1}}, 3},
    {"a tenth a second", {{0, 0.1}}, 3},
    {"none at all", {{0, 0}}, 3},
    {"lowered", {{0, 80}, {9000, 10}}, 3},
    {"raised", {{0, 5}, {9000, 60}}, 3},
    {"ends and comes back", {{0, 20}, {8000, -1}, {12000, 20}}, 5},
    {"named again by every answer, in turns",
	{{0, 20}, {6000, 25}, {6100, 20}, {6200, 25}, {6300, 20}}, 3},
};

struct flood {
	struct admission *admission;
	struct row rows[2]; /* "urgent" and "other" */
	struct admission_call calls[CALLS];
	int ends_ms[CALLS]; /* -1: not running */
	int started[DAY_MS]; /* calls started in each ms */
	int urgent, other; /* started */
	int64_t wakeup; /* of the admission, mono ns */
	int refusals, late_refusals; /* late: the call had waited for long */
};

static void
open_flood(struct flood *f)
{
	struct admission_config cfg = {
	    .policy = ADMISSION_FLOORS, .slots = 16, .fixed_limit = true};

	memset(f, 0, sizeof(*f));
	for (int i = 0; i < 2; i++) {
		f->rows[i] = (struct row){.repeatable = true};
		strcpy(f->rows[i].kind, i == 0 ? "urgent" : "other");
		f->rows[i].values[COL_RANK] = i + 1;
		f->rows[i].values[COL_WEIGHT] = 1;
		f->rows[i].values[COL_LIMIT_PCT] = 100;
		f->rows[i].values[COL_QUEUE_MAX] = 100;
		f->rows[i].values[COL_TARGET_MS] = TARGET_MS;
	}
	for (int i = 0; i < CALLS; i++)
		f->ends_ms[i] = -1;
	ck_assert_int_eq(create_admission(&cfg, START, &f->admission), 0);
}

static void
start_flood_call(struct flood *f, struct admission_call *c, int ms)
{
	f->ends_ms[c - f->calls] = ms + SERVICE_MS;
	f->started[ms]++;
	if (strcmp(c->token, "urgent") == 0)
		f->urgent++;
	else
		f->other++;
}

static void
apply_flood_changes(
    struct flood *f, const struct admission_changes *out, int ms)
{
	for (struct admission_call *c = out->run; c != NULL; c = c->next)
		start_flood_call(f, c, ms);
	for (struct admission_call *c = out->refused; c != NULL; c = c->next) {
		int64_t waited = START + ms * MS - c->arrived;

		f->late_refusals += waited > TARGET_MS * MS / 4 ? 1 : 0;
		f->refusals++;
		memset(c, 0, sizeof(*c));
	}
	f->wakeup = get_admission_wakeup(f->admission, START + ms * MS);
}

/* Offers a call of a row in an unused entry. */
static void
offer_flood_call(struct flood *f, int row, int ms)
{
	struct admission_changes out = {0};
	struct admission_call *c = f->calls;
	int64_t now = START + ms * MS;
	struct admit_verdict v;

	while (c->state != CALL_NEW && c->state != CALL_ENDED)
		c++;
	ck_assert(c < f->calls + CALLS);
	*c = (struct admission_call){.token = f->rows[row].kind,
	    .target = now + TARGET_MS * MS,
	    .deadline = now + 3 * TARGET_MS * MS};
	v = offer_call(f->admission, c,
	    open_admission_row(f->admission, &f->rows[row], false), now, &out);
	f->refusals += v.action == ADMIT_REFUSED ? 1 : 0;
	if (v.action == ADMIT_RUN)
		start_flood_call(f, c, ms);
	apply_flood_changes(f, &out, ms);
}

static void
step_flood(struct flood *f, int ms)
{
	int64_t now = START + ms * MS;
	struct admission_changes out = {0};

	for (int i = 0; i < CALLS; i++) {
		struct admission_changes ended = {0};

		if (f->ends_ms[i] != ms)
			continue;
		f->ends_ms[i] = -1;
		finish_call(f->admission, &f->calls[i], OUTCOME_RAN,
		    SERVICE_MS * MS, now, &ended);
		apply_flood_changes(f, &ended, ms);
	}
	if (f->wakeup <= now) {
		expire_calls(f->admission, now, &out);
		apply_flood_changes(f, &out, ms);
	}
}

/* Returns the calls that the limits allow in [ms, ms + 1); -1: unlimited. */
static double
get_allowed(const struct flood_case *c, int ms)
{
	double per_s = -1;

	for (size_t i = 0; i < COUNT(c->steps); i++) {
		if (c->steps[i].at_ms <= ms &&
		    (i == 0 || c->steps[i].at_ms > 0))
			per_s = c->steps[i].per_s;
	}
	return per_s < 0 ? -1 : per_s / 1000;
}

/*
 * Fails when some window has more than one and a half times what the server
 * named, and 5 calls; ends of limits are left out.
 */
static void
check_windows(const struct flood_case *c, const struct flood *f)
{
	for (int from = 0; from + WINDOW_MS <= DAY_MS; from += 50) {
		double allowed = 0;
		int count = 0;
		bool limited = true;

		for (int ms = from; ms < from + WINDOW_MS; ms++) {
			limited = limited && get_allowed(c, ms) >= 0;
			allowed += get_allowed(c, ms);
			count += f->started[ms];
		}
		ck_assert_msg(!limited || count <= 1.5 * allowed + 5,
		    "%s: %d calls in the 4 s after %d ms", c->name, count,
		    from);
		ck_assert_msg(count >= 0.9 * allowed - 2,
		    "%s: only %d calls in the 4 s after %d ms", c->name, count,
		    from);
	}
}

/*
 * Guards against issue 24, LIMIT: a backend server that named a limit got as
 * many calls as had a free slot. Also against a server that gets less than it
 * takes, and against calls that are refused only after a long wait.
 */
START_TEST(flood_stays_within_the_named_limit)
{
	const struct flood_case *c = &flood_cases[_i];
	struct flood f;

	open_flood(&f);
	for (int ms = 0; ms < DAY_MS; ms++) {
		for (size_t i = 0; i < COUNT(c->steps); i++) {
			struct admission_changes out = {0};

			if (c->steps[i].at_ms != ms || (i > 0 && ms == 0))
				continue;
			set_admission_rate(f.admission, c->steps[i].per_s,
			    START + ms * MS, &out);
			apply_flood_changes(&f, &out, ms);
		}
		step_flood(&f, ms);
		if (ms % c->gap_ms == 0)
			offer_flood_call(&f, ms / c->gap_ms % 2, ms);
	}
	check_windows(c, &f);
	ck_assert_msg(f.late_refusals <= f.refusals / 50,
	    "%s: %d of %d refusals came late", c->name, f.late_refusals,
	    f.refusals);
	destroy_admission(f.admission);
}
END_TEST

/*
 * Guards against a limit that is spent on calls of low rank while more urgent
 * ones wait.
 */
START_TEST(most_urgent_calls_get_the_limit)
{
	struct admission_changes out = {0};
	struct flood f;

	open_flood(&f);
	set_admission_rate(f.admission, 30, START, &out);
	for (int ms = 0; ms < DAY_MS; ms++) {
		step_flood(&f, ms);
		if (ms % 30 == 0) /* 33 a second of each */
			offer_flood_call(&f, 0, ms);
		if (ms % 30 == 15)
			offer_flood_call(&f, 1, ms);
	}
	ck_assert_int_ge(f.urgent, 9 * f.other);
	destroy_admission(f.admission);
}
END_TEST

struct wait_case {
	double per_s;
	double ahead, urgent_per_s;
	int64_t after_ms; /* since the limit began, with one call sent */
	int64_t want_ms;
};

static const struct wait_case wait_cases[] = {
    {10, 0, 0, 0, 100},
    {10, 0, 0, 60, 40},
    {10, 3, 0, 0, 400},
    {10, 0, 0, 5000, 0},
    {10, 4, 0, 5000, 150}, /* the bucket holds 3.5 calls */
    {0, 0, 0, 0, 2000},
    {10, 0, 8, 0, 500},
    {10, 0, 12, 0, 10000},
};

/* Guards against a Retry-After at which the call is refused again. */
START_TEST(wait_is_known_in_advance)
{
	const struct wait_case *c = &wait_cases[_i];
	struct rate_limit l = {0};

	ck_assert(get_rate_wait_ns(&l, 100, 0) == 0);
	set_rate_limit(&l, c->per_s, START);
	consume_rate_limit(&l);
	refill_rate_limit(&l, START + c->after_ms * MS);
	ck_assert_int_eq(
	    (int64_t)(get_rate_wait_ns(&l, c->ahead, c->urgent_per_s) / MS +
		      0.5),
	    c->want_ms);
	ck_assert(has_rate_room(&l) == (get_rate_wait_ns(&l, 0, 0) == 0));
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("rate limit");
	TCase *t = tcase_create("rate limit");
	SRunner *run;
	int failed;

	tcase_add_loop_test(
	    t, flood_stays_within_the_named_limit, 0, COUNT(flood_cases));
	tcase_add_test(t, most_urgent_calls_get_the_limit);
	tcase_add_loop_test(t, wait_is_known_in_advance, 0, COUNT(wait_cases));
	suite_add_tcase(s, t);
	run = srunner_create(s);
	srunner_run_all(run, CK_ENV);
	failed = srunner_ntests_failed(run);
	srunner_free(run);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
