/*
 * Admission: single cases on a paused clock and properties over random
 * schedules with fixed seeds.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "admission.h"

#define MS NSEC_PER_MSEC
#define HEADER                                                                \
	"kind,service,rank,weight,floor_pct,limit_pct,target_ms,deadline_ms," \
	"queue_max,retries,retry_pct,hedge_ms,repeat,keep_s,body_max_kb,"     \
	"drain_s\n"

/* Urgent calls, reads, and bulk work with long calls. */
#define BULK "bulk,svc,8,10,10,60,30000,600000,50,2,5,0,yes,86400,64,60\n"
#define PAY "pay,svc,1,1000,50,100,300,5000,200,2,10,0,no,604800,64,60\n"
#define READ "read,svc,3,40,20,80,200,2000,3,2,10,0,yes,0,16,10\n"
static const char rows_three[] = HEADER BULK PAY READ;
static const char rows_two[] = HEADER PAY READ;
static const char rows_tenth[] =
    HEADER "a,svc,1,1000,10,100,300,5000,200,2,10,0,no,604800,64,60\n"
	   "b,svc,2,40,10,100,300,5000,200,2,10,0,yes,0,16,10\n"
	   "c,svc,3,40,10,100,300,5000,200,2,10,0,yes,0,16,10\n"
	   "d,svc,4,40,10,100,300,5000,200,2,10,0,yes,0,16,10\n"
	   "e,svc,5,40,10,100,300,5000,200,2,10,0,yes,0,16,10\n";

static struct paused_clock clock_state;

/* Returns the monotonic time of the paused clock in ns. */
static int64_t
read_now(void)
{
	struct clock_source c = get_paused_clock(&clock_state);

	return read_mono(&c);
}

/* Switches the admission to the rows of a CSV table. */
static void
load_rows(struct admission *a, const char *csv, uint64_t version,
    struct admission_changes *out)
{
	struct table *t = NULL;
	struct fault f;

	ck_assert_msg(
	    load_table_csv(make_str(csv), version, &t, &f) == 0, "%s", f.text);
	ck_assert_int_eq(
	    set_admission_table(a, t, make_str("svc"), read_now(), out), 0);
	unload_table(t);
}

/* Creates an admission with rows, without slow start. */
static struct admission *
open_admission(enum admission_policy_id id, int slots, const char *csv)
{
	struct admission_config cfg = {.policy = id, .slots = slots};
	struct admission_changes out = {0};
	struct admission *a = NULL;

	clock_state.mono_ns = 1000 * NSEC_PER_SEC;
	ck_assert_int_eq(create_admission(&cfg, read_now(), &a), 0);
	load_rows(a, csv, 1, &out);
	return a;
}

/* Offers a call of a kind whose deadline is ms from now. */
static struct admit_verdict
offer_kind(struct admission *a, struct admission_call *c, const char *kind,
    int64_t ms, struct admission_changes *out)
{
	*c = (struct admission_call){
	    .token = c, .deadline = read_now() + ms * MS};
	return offer_call(
	    a, c, find_admission_row(a, make_str(kind)), read_now(), out);
}

/*
 * Runs n calls of ms each one by one on an idle server, so that the row's
 * service time estimate is known.
 */
static void
record_service_times(struct admission *a, const char *kind, int64_t ms, int n)
{
	struct admission_changes out = {0};
	struct admission_call c;

	for (int i = 0; i < n; i++) {
		ck_assert_int_eq(
		    offer_kind(a, &c, kind, 600000, &out).action, ADMIT_RUN);
		advance_clock(&clock_state, ms * MS);
		finish_call(a, &c, OUTCOME_RAN, ms * MS, read_now(), &out);
	}
}

/*
 * A waiting call must start when a slot becomes free. Guards against a call
 * that stays queued for ever.
 */
START_TEST(call_waits_for_a_slot_and_runs)
{
	struct admission *a = open_admission(_i, 1, rows_three);
	struct admission_changes out = {0};
	struct admission_call c[2];

	ck_assert_int_eq(
	    offer_kind(a, &c[0], "pay", 5000, &out).action, ADMIT_RUN);
	ck_assert_int_eq(
	    offer_kind(a, &c[1], "pay", 5000, &out).action, ADMIT_QUEUED);
	ck_assert_ptr_null(out.run);
	finish_call(a, &c[0], OUTCOME_RAN, MS, read_now(), &out);
	ck_assert_ptr_eq(out.run, &c[1]);
	ck_assert_ptr_eq(out.run->token, &c[1]);
	ck_assert_int_eq(get_admission_load(a, read_now()).in_flight, 1);
	out = (struct admission_changes){0};
	finish_call(a, &c[1], OUTCOME_RAN, MS, read_now(), &out);
	ck_assert_int_eq(get_admission_load(a, read_now()).in_flight, 0);
	ck_assert_ptr_null(out.run);
	destroy_admission(a);
}
END_TEST

/*
 * Guards against refusals with the wrong reason, since entry nodes choose their
 * next step by it.
 */
START_TEST(refusals_name_their_reason)
{
	struct admission *a = open_admission(ADMISSION_FLOORS, 1, rows_three);
	struct admission_changes out = {0};
	struct admission_call run, c[5];
	struct admit_verdict v;

	ck_assert_int_eq(
	    offer_kind(a, &run, "pay", 5000, &out).action, ADMIT_RUN);
	v = offer_kind(a, &c[0], "nothing", 5000, &out);
	ck_assert_int_eq(v.reason, REFUSE_UNKNOWN_KIND);
	v = offer_kind(a, &c[0], "read", 0, &out);
	ck_assert_int_eq(v.action, ADMIT_REFUSED);
	ck_assert_int_eq(v.reason, REFUSE_DEADLINE);
	for (int i = 0; i < 3; i++)
		ck_assert_int_eq(
		    offer_kind(a, &c[i], "read", 2000, &out).action,
		    ADMIT_QUEUED);
	v = offer_kind(a, &c[3], "read", 2000, &out); /* queue_max is 3 */
	ck_assert_int_eq(v.action, ADMIT_REFUSED);
	ck_assert_int_eq(v.reason, REFUSE_OVERLOAD);
	ck_assert_int_gt(v.retry_after_ns, 0);
	ck_assert_int_eq(cancel_call(a, &c[0], read_now(), &out), 0);
	ck_assert_int_eq(cancel_call(a, &c[0], read_now(), &out), ERR_INVALID);
	ck_assert_int_eq(cancel_call(a, &run, read_now(), &out), ERR_INVALID);
	ck_assert_ptr_null(out.refused);
	drain_admission(a, read_now(), &out);
	for (int i = 1; i < 3; i++) {
		ck_assert_int_eq(c[i].state, CALL_ENDED);
		ck_assert_int_eq(c[i].reason, REFUSE_DRAINING);
	}
	v = offer_kind(a, &c[4], "pay", 5000, &out);
	ck_assert_int_eq(v.reason, REFUSE_DRAINING);
	finish_call(a, &run, OUTCOME_RAN, MS, read_now(), &out);
	ck_assert_int_eq(get_admission_load(a, read_now()).in_flight, 0);
	destroy_admission(a);
}
END_TEST

/*
 * Guards against calls that wait for a slot although they will miss their
 * deadline by then.
 */
START_TEST(calls_that_would_miss_their_deadline_are_refused)
{
	struct admission *a = open_admission(ADMISSION_FLOORS, 1, rows_three);
	struct admission_changes out = {0};
	struct admission_call run, c[3];

	record_service_times(a, "pay", 100, 30);
	ck_assert_int_eq(
	    offer_kind(a, &c[0], "pay", 99, &out).reason, REFUSE_DEADLINE);
	ck_assert_int_eq(
	    offer_kind(a, &run, "pay", 5000, &out).action, ADMIT_RUN);
	ck_assert_int_eq(
	    offer_kind(a, &c[0], "pay", 250, &out).action, ADMIT_QUEUED);
	/* 100 ms of work are queued ahead of this one. */
	ck_assert_int_eq(
	    offer_kind(a, &c[1], "pay", 260, &out).action, ADMIT_QUEUED);
	ck_assert_int_eq(
	    offer_kind(a, &c[2], "pay", 290, &out).reason, REFUSE_DEADLINE);
	/* A wake-up that refuses nothing would make the caller spin. */
	advance_clock(
	    &clock_state, get_admission_wakeup(a, read_now()) - read_now());
	ck_assert_int_eq(read_now(), c[0].deadline - 100 * MS + 1);
	expire_calls(a, read_now(), &out);
	ck_assert_ptr_eq(out.refused, &c[0]);
	ck_assert_ptr_null(out.refused->next);
	ck_assert_int_eq(c[0].reason, REFUSE_DEADLINE);
	out = (struct admission_changes){0};
	advance_clock(&clock_state, 20 * MS);
	finish_call(a, &run, OUTCOME_RAN, 100 * MS, read_now(), &out);
	ck_assert_ptr_null(out.run);
	ck_assert_ptr_eq(out.refused, &c[1]);
	destroy_admission(a);
}
END_TEST

/*
 * Guards against calls that are lost, or that run without a row, when the table
 * changes.
 */
START_TEST(calls_survive_a_table_change)
{
	struct admission *a = open_admission(_i, 1, rows_three);
	struct admission_changes out = {0};
	struct admission_call run, wait, c;

	ck_assert_int_eq(
	    offer_kind(a, &run, "bulk", 600000, &out).action, ADMIT_RUN);
	ck_assert_int_eq(
	    offer_kind(a, &wait, "bulk", 600000, &out).action, ADMIT_QUEUED);
	load_rows(a, rows_two, 2, &out);
	ck_assert_ptr_null(out.refused);
	ck_assert_int_eq(
	    find_admission_row(a, make_str("bulk")), ERR_NOT_FOUND);
	ck_assert_int_eq(
	    offer_kind(a, &c, "bulk", 9000, &out).reason, REFUSE_UNKNOWN_KIND);
	finish_call(a, &run, OUTCOME_RAN, MS, read_now(), &out);
	ck_assert_ptr_eq(out.run, &wait);
	load_rows(a, rows_three, 3, &out);
	ck_assert_int_eq(
	    get_row_in_flight(a, find_admission_row(a, make_str("bulk"))), 1);
	load_rows(a, rows_two, 4, &out);
	finish_call(a, &wait, OUTCOME_RAN, MS, read_now(), &out);
	ck_assert_int_eq(get_admission_load(a, read_now()).in_flight, 0);
	destroy_admission(a);
}
END_TEST

/*
 * Guards against more calls in flight than a lowered number of slots or limit
 * permits.
 */
START_TEST(fewer_slots_and_sheds_limit_dispatch)
{
	struct admission *a = open_admission(ADMISSION_FLOORS, 4, rows_three);
	struct admission_changes out = {0};
	struct admission_call c[8];

	for (int i = 0; i < 8; i++)
		(void)offer_kind(a, &c[i], "pay", 5000, &out);
	ck_assert_int_eq(get_admission_load(a, read_now()).in_flight, 4);
	set_admission_slots(a, 2, read_now(), &out);
	finish_call(a, &c[0], OUTCOME_RAN, MS, read_now(), &out);
	finish_call(a, &c[1], OUTCOME_RAN, MS, read_now(), &out);
	ck_assert_ptr_null(out.run);
	finish_call(a, &c[2], OUTCOME_RAN, MS, read_now(), &out);
	ck_assert_ptr_eq(out.run, &c[4]);
	out = (struct admission_changes){0};
	finish_call(a, &c[3], OUTCOME_NOT_RUN, MS, read_now(), &out);
	ck_assert_ptr_null(out.run); /* the shed lowered the limit to one */
	set_admission_slots(a, 8, read_now(), &out);
	ck_assert_int_eq(get_admission_load(a, read_now()).in_flight, 4);
	destroy_admission(a);
}
END_TEST

/* Guards against service times that are not passed on to the adaptive limit. */
START_TEST(growing_latency_lowers_the_limit)
{
	struct admission *a = open_admission(ADMISSION_FLOORS, 10, rows_three);

	record_service_times(a, "read", 20, 100);
	ck_assert_int_eq(get_admission_load(a, read_now()).limit, 10);
	record_service_times(a, "read", 60, 40);
	ck_assert_int_lt(get_admission_load(a, read_now()).limit, 10);
	record_service_times(a, "read", 20, 400);
	ck_assert_int_eq(get_admission_load(a, read_now()).limit, 10);
	destroy_admission(a);
}
END_TEST

/* Guards against long calls that occupy every slot when urgent calls arrive. */
START_TEST(unused_floor_is_not_lent_to_long_calls)
{
	struct admission *a = open_admission(ADMISSION_FLOORS, 10, rows_three);
	struct admission_changes out = {0};
	struct admission_call c[10], urgent;

	record_service_times(a, "bulk", 3000, 10);
	record_service_times(a, "pay", 30, 10);
	record_service_times(a, "read", 20, 10);
	for (int i = 0; i < 10; i++)
		(void)offer_kind(a, &c[i], "bulk", 600000, &out);
	/* Floors of 50% and 20%, and a slot beyond each, stay free. */
	ck_assert_int_eq(get_admission_load(a, read_now()).in_flight, 1);
	ck_assert_int_eq(
	    offer_kind(a, &urgent, "pay", 5000, &out).action, ADMIT_RUN);
	destroy_admission(a);
}
END_TEST

/* Finishes a running call after its service time and starts the next one. */
static struct admission_call *
finish_first(struct admission *a, struct admission_call *run, int64_t ms)
{
	struct admission_changes out = {0};

	advance_clock(&clock_state, ms * MS);
	finish_call(a, run, OUTCOME_RAN, ms * MS, read_now(), &out);
	return out.run;
}

/*
 * Guards against an overloaded row whose answers are all late because its queue
 * stays full, and against refusals in a burst that the queue can hold.
 */
START_TEST(overflow_shortens_the_queue_until_it_empties)
{
	struct admission *a = open_admission(ADMISSION_FLOORS, 1, rows_three);
	struct admission_changes out = {0};
	struct admission_call c[80], extra, *run = &c[0];
	int i = 0, row;

	record_service_times(a, "pay", 100, 30);
	row = find_admission_row(a, make_str("pay"));
	while (offer_kind(a, &c[i], "pay", 5000, &out).action != ADMIT_REFUSED)
		ck_assert_int_lt(++i, 80);
	ck_assert_int_eq(c[i].reason, REFUSE_DEADLINE);
	ck_assert_int_gt(get_row_queued(a, row), 40);
	while (get_row_queued(a, row) > 3) { /* 300 ms: the full target */
		ck_assert_int_eq(
		    offer_kind(a, &extra, "pay", 5000, &out).action,
		    ADMIT_REFUSED);
		run = finish_first(a, run, 100);
		ck_assert_ptr_nonnull(run);
	}
	run = finish_first(a, run, 100);
	run = finish_first(a, run, 100);
	ck_assert_int_eq(get_row_queued(a, row), 1);
	ck_assert_int_eq(
	    offer_kind(a, &extra, "pay", 5000, &out).action, ADMIT_QUEUED);
	while (run != NULL)
		run = finish_first(a, run, 100);
	/* Queue has been empty: a burst may wait again. */
	for (i = 0; i < 20; i++)
		ck_assert_int_ne(offer_kind(a, &c[i], "pay", 5000, &out).action,
		    ADMIT_REFUSED);
	destroy_admission(a);
}
END_TEST

/* Guards against an unused floor that keeps short calls from free slots. */
START_TEST(unused_floor_is_lent_to_short_calls)
{
	struct admission *a = open_admission(ADMISSION_FLOORS, 10, rows_three);
	struct admission_changes out = {0};
	struct admission_call c[11];

	record_service_times(a, "pay", 30, 10);
	record_service_times(a, "read", 20, 10);
	for (int i = 0; i < 11; i++)
		(void)offer_kind(a, &c[i], "read", 2000, &out);
	ck_assert_int_eq(get_admission_load(a, read_now()).in_flight, 10);
	destroy_admission(a);
}
END_TEST

/* Guards against a row that exceeds its limit_pct while others wait. */
START_TEST(limit_caps_a_row_while_others_wait)
{
	struct admission *a = open_admission(ADMISSION_STRICT, 10, rows_three);
	struct admission_changes out = {0};
	struct admission_call r[12], b;

	for (int i = 0; i < 12; i++)
		(void)offer_kind(a, &r[i], "read", 2000, &out);
	ck_assert_int_eq(get_admission_load(a, read_now()).in_flight, 10);
	ck_assert_int_eq(
	    offer_kind(a, &b, "bulk", 600000, &out).action, ADMIT_QUEUED);
	/* Ten calls of read run; above its 80% the free slot goes to bulk. */
	finish_call(a, &r[0], OUTCOME_RAN, MS, read_now(), &out);
	ck_assert_ptr_eq(out.run, &b);
	destroy_admission(a);
}
END_TEST

/*
 * Open-loop simulation on the paused clock: arrivals, service times and shares
 * of slots.
 */
#define SIM_CALLS 4096
#define SIM_ROWS 5

struct sim {
	struct admission *a;
	struct rng rng;
	struct admission_call calls[SIM_CALLS];
	int ends[SIM_CALLS]; /* number of ends, must become 1 */
	int64_t done_at[SIM_CALLS]; /* mono ns, of running calls; else 0 */
	int64_t longest_wait[SIM_ROWS];
	double used[SIM_ROWS]; /* slot-ns */
	int slots;
	int running;
};

/*
 * Starts the listed calls with a random service time around mean ns, and counts
 * refusals.
 */
static void
apply_changes(struct sim *s, struct admission_changes *out, int64_t mean)
{
	struct admission_call *c;

	for (c = out->run; c != NULL; c = c->next) {
		size_t i = (size_t)(c - s->calls);

		ck_assert_int_eq(s->ends[i], 0);
		ck_assert_int_eq(s->done_at[i], 0);
		s->done_at[i] =
		    read_now() + mean / 2 + (int64_t)draw_below(&s->rng, mean);
		s->running++;
		ck_assert_int_le(s->running, s->slots);
	}
	for (c = out->refused; c != NULL; c = c->next) {
		size_t i = (size_t)(c - s->calls);

		ck_assert_int_eq(s->done_at[i], 0);
		ck_assert_int_eq(s->ends[i]++, 0);
	}
	*out = (struct admission_changes){0};
}

/* Offers call i and records the verdict. */
static void
offer_sim(struct sim *s, size_t i, int row, int64_t deadline, int64_t mean)
{
	struct admission_changes out = {0};
	struct admit_verdict v;

	memset(&s->calls[i], 0, sizeof(s->calls[i]));
	s->calls[i].deadline = deadline;
	s->ends[i] = 0;
	s->done_at[i] = 0;
	v = offer_call(s->a, &s->calls[i], row, read_now(), &out);
	apply_changes(s, &out, mean);
	if (v.action == ADMIT_RUN)
		out.run = &s->calls[i];
	if (v.action == ADMIT_REFUSED)
		out.refused = &s->calls[i];
	apply_changes(s, &out, mean);
}

/* Finishes the running call i with an outcome. */
static void
finish_sim(struct sim *s, size_t i, enum call_outcome o, int64_t mean)
{
	struct admission_changes out = {0};
	int64_t start = s->calls[i].started;

	s->done_at[i] = 0;
	s->running--;
	ck_assert_int_eq(s->ends[i]++, 0);
	finish_call(
	    s->a, &s->calls[i], o, read_now() - start, read_now(), &out);
	apply_changes(s, &out, mean);
}

/* Performs one random operation of a schedule. */
static void
step_schedule(struct sim *s, size_t *offered)
{
	struct admission_changes out = {0};
	size_t i = draw_below(&s->rng, *offered + 1);
	int64_t mean = 20 * MS;

	advance_clock(&clock_state, (int64_t)draw_below(&s->rng, 3 * MS));
	switch (draw_below(&s->rng, 12)) {
	case 0:
		expire_calls(s->a, read_now(), &out);
		apply_changes(s, &out, mean);
		break;
	case 1:
		load_rows(s->a, draw_below(&s->rng, 2) ? rows_two : rows_three,
		    2, &out);
		apply_changes(s, &out, mean);
		break;
	case 2:
		s->slots = 1 + (int)draw_below(&s->rng, 8);
		if (s->slots < s->running)
			s->slots = s->running;
		set_admission_slots(s->a, s->slots, read_now(), &out);
		apply_changes(s, &out, mean);
		break;
	case 3:
		if (i < *offered && s->calls[i].state == CALL_WAITING) {
			ck_assert_int_eq(
			    cancel_call(s->a, &s->calls[i], read_now(), &out),
			    0);
			ck_assert_int_eq(s->ends[i]++, 0);
			apply_changes(s, &out, mean);
		}
		break;
	case 4:
	case 5:
	case 6:
	case 7:
		if (i < *offered && s->done_at[i] != 0)
			finish_sim(s, i, (int)draw_below(&s->rng, 4), mean);
		break;
	default:
		offer_sim(s, (*offered)++, (int)draw_below(&s->rng, 4) - 1,
		    read_now() + (int64_t)draw_below(&s->rng, 200 * MS), mean);
	}
}

/*
 * Guards, for every policy, against more calls than slots, calls both
 * dispatched and refused, calls that end twice and calls that never end.
 */
START_TEST(every_call_ends_once)
{
	struct sim *s = calloc(1, sizeof(*s));
	struct admission_changes out = {0};
	size_t offered = 0;

	for (uint64_t seed = 1; seed <= 40; seed++) {
		memset(s, 0, sizeof(*s));
		s->slots = 6;
		s->a = open_admission(_i, 6, rows_three);
		seed_rng(&s->rng, seed);
		for (offered = 0; offered < 2000;)
			step_schedule(s, &offered);
		if (seed % 2 == 0) {
			drain_admission(s->a, read_now(), &out);
			apply_changes(s, &out, MS);
		}
		while (s->running > 0) {
			for (size_t i = 0; i < offered; i++) {
				if (s->done_at[i] != 0)
					finish_sim(s, i, OUTCOME_RAN, MS);
			}
		}
		advance_clock(&clock_state, NSEC_PER_SEC);
		expire_calls(s->a, read_now(), &out);
		apply_changes(s, &out, MS);
		for (size_t i = 0; i < offered; i++)
			ck_assert_msg(
			    s->ends[i] == 1, "seed %d call %zu", (int)seed, i);
		ck_assert_int_eq(
		    get_admission_load(s->a, read_now()).in_flight, 0);
		ck_assert_int_eq(
		    get_admission_load(s->a, read_now()).queued, 0);
		destroy_admission(s->a);
	}
	free(s);
}
END_TEST

/* Rows of a saturated server: mean service times and the floors to be kept. */
struct floor_case {
	const char *csv;
	int slots;
	int rows;
	const char *kind[SIM_ROWS];
	int floor_pct[SIM_ROWS];
	int64_t mean_ms[SIM_ROWS];
};

static const struct floor_case floor_cases[] = {
    {rows_three, 20, 3, {"pay", "read", "bulk"}, {50, 20, 10}, {30, 20, 900}},
    {rows_three, 6, 3, {"pay", "read", "bulk"}, {50, 20, 10}, {30, 20, 900}},
    {rows_three, 6, 3, {"pay", "read", "bulk"}, {50, 20, 10}, {30, 30, 30}},
    {rows_tenth, 6, 5, {"a", "b", "c", "d", "e"}, {10, 10, 10, 10, 10},
	{40, 40, 40, 40, 40}},
    {rows_tenth, 6, 5, {"a", "b", "c", "d", "e"}, {10, 10, 10, 10, 10},
	{20, 300, 20, 300, 20}},
    {rows_tenth, 3, 5, {"a", "b", "c", "d", "e"}, {10, 10, 10, 10, 10},
	{20, 40, 20, 40, 20}},
};

/* Keeps two calls of each row queued until the given time. */
static void
run_saturated(struct sim *s, const struct floor_case *fc, int64_t until)
{
	int row_of[SIM_CALLS] = {0};
	size_t call_count = (size_t)(fc->slots + 2) * SIM_ROWS;
	int64_t last_start[SIM_ROWS] = {0};

	while (read_now() < until) {
		for (size_t i = 0; i < call_count; i++) {
			int r = (int)(i % (size_t)fc->rows);
			int row =
			    find_admission_row(s->a, make_str(fc->kind[r]));

			row_of[i] = r;
			if (s->done_at[i] != 0 && s->done_at[i] <= read_now()) {
				s->used[r] +=
				    (double)(read_now() - s->calls[i].started);
				finish_sim(
				    s, i, OUTCOME_RAN, fc->mean_ms[r] * MS);
			}
			if (s->calls[i].state != CALL_WAITING &&
			    s->calls[i].state != CALL_RUNNING &&
			    get_row_queued(s->a, row) < 2)
				offer_sim(s, i, row, INT64_MAX / 2,
				    fc->mean_ms[r] * MS);
		}
		for (size_t i = 0; i < call_count; i++) {
			int r = row_of[i];
			int64_t w;

			if (s->calls[i].state == CALL_RUNNING &&
			    s->calls[i].started > last_start[r])
				last_start[r] = s->calls[i].started;
			w = read_now() - last_start[r];
			if (last_start[r] != 0 && w > s->longest_wait[r])
				s->longest_wait[r] = w;
		}
		advance_clock(&clock_state, MS);
	}
}

/*
 * Adds the slot time of calls that still run, which is counted at their end
 * otherwise.
 */
static void
count_running(struct sim *s, const struct floor_case *fc)
{
	for (size_t i = 0; i < SIM_CALLS; i++) {
		if (s->done_at[i] != 0)
			s->used[i % (size_t)fc->rows] +=
			    (double)(read_now() - s->calls[i].started);
	}
}

/*
 * Guards against a floor that is not kept on average over time beside saturated
 * urgent rows, also when it is a fraction of a slot, and against starvation of
 * a row with a floor.
 */
START_TEST(floors_are_kept_in_time_average)
{
	const struct floor_case *fc = &floor_cases[_i];
	struct sim *s = calloc(1, sizeof(*s));
	int64_t span = 120 * NSEC_PER_SEC;
	double total = (double)fc->slots * (double)span;

	seed_rng(&s->rng, 7);
	s->slots = fc->slots;
	s->a = open_admission(ADMISSION_FLOORS, fc->slots, fc->csv);
	run_saturated(s, fc, read_now() + span);
	count_running(s, fc);
	for (int r = 0; r < fc->rows; r++) {
		double share = 100 * s->used[r] / total;

		ck_assert_msg(share >= fc->floor_pct[r],
		    "%s: %.4f%% of the slots, floor %d%%", fc->kind[r], share,
		    fc->floor_pct[r]);
		ck_assert_msg(s->longest_wait[r] < 10 * NSEC_PER_SEC,
		    "%s: nothing started for %lld ms", fc->kind[r],
		    (long long)(s->longest_wait[r] / MS));
	}
	destroy_admission(s->a);
	free(s);
}
END_TEST

/* Offers a call with a target and a body to a row that was opened on demand. */
static struct admit_verdict
offer_body(struct admission *a, struct admission_call *c, int row,
    int64_t target_ms, int64_t body_bytes, struct admission_changes *out)
{
	*c = (struct admission_call){.token = c,
	    .deadline = read_now() + 4000 * MS,
	    .target = read_now() + target_ms * MS,
	    .body_bytes = body_bytes};
	return offer_call(a, c, row, read_now(), out);
}

/*
 * Calls that wait only for the link must not count as work ahead. Guards
 * against a late call that is refused although slots are free.
 */
START_TEST(calls_waiting_for_the_link_use_no_slot)
{
	struct admission_config cfg = {.policy = ADMISSION_FLOORS,
	    .slots = 10,
	    .fixed_limit = true,
	    .link_rate = 600000};
	struct admission_changes out = {0};
	struct admission_call sample, big[8], late;
	struct admission *a = NULL;
	struct table *t = NULL;
	struct fault f;
	int bulk, read;

	clock_state.mono_ns = 1000 * NSEC_PER_SEC;
	ck_assert_int_eq(load_table_csv(make_str(rows_three), 1, &t, &f), 0);
	ck_assert_int_eq(create_admission(&cfg, read_now(), &a), 0);
	bulk = open_admission_row(a, find_row(t, make_str("bulk")), false);
	read = open_admission_row(a, find_row(t, make_str("read")), false);
	ck_assert_int_eq(
	    offer_body(a, &sample, bulk, 3000, 0, &out).action, ADMIT_RUN);
	finish_call(a, &sample, OUTCOME_RAN, 250 * MS, read_now(), &out);
	ck_assert_int_eq(
	    offer_body(a, &sample, read, 3000, 0, &out).action, ADMIT_RUN);
	finish_call(a, &sample, OUTCOME_RAN, 100 * MS, read_now(), &out);
	for (int i = 0; i < 8; i++)
		(void)offer_body(a, &big[i], bulk, 3000, 30000, &out);
	ck_assert_int_gt(get_admission_load(a, read_now()).queued, 2);
	ck_assert_int_eq(
	    offer_body(a, &late, read, 50, 0, &out).action, ADMIT_RUN);
	destroy_admission(a);
	unload_table(t);
}
END_TEST

/*
 * Guards against a link that the longest bodies fill while many short ones are
 * refused.
 */
START_TEST(long_bodies_are_refused_first)
{
	struct admission_config cfg = {.policy = ADMISSION_FLOORS,
	    .slots = 10,
	    .fixed_limit = true,
	    .link_rate = 600000};
	struct admission_changes out = {0};
	struct admission_call calls[8];
	struct admission *a = NULL;
	struct table *t = NULL;
	struct fault f;
	int bulk, kept[2] = {0, 0};

	clock_state.mono_ns = 1000 * NSEC_PER_SEC;
	ck_assert_int_eq(load_table_csv(make_str(rows_three), 1, &t, &f), 0);
	ck_assert_int_eq(create_admission(&cfg, read_now(), &a), 0);
	bulk = open_admission_row(a, find_row(t, make_str("bulk")), false);
	/* Alternately 30 and 180 KB: 1.4 s of the link, targets of 1 s. */
	for (int i = 0; i < 8; i++) {
		struct admit_verdict v = offer_body(a, &calls[i], bulk, 1000,
		    i % 2 == 0 ? 30000 : 180000, &out);

		/* Calls in the late queue do not count. */
		if (v.action != ADMIT_REFUSED && calls[i].late_since == 0)
			kept[i % 2]++;
	}
	ck_assert_int_eq(kept[0], 4);
	ck_assert_int_eq(kept[1], 0);
	destroy_admission(a);
	unload_table(t);
}
END_TEST

/*
 * An immediate offer is refused as busy when no slot is free. Guards against
 * one that waits or occupies a place in the queue.
 */
START_TEST(immediate_offer_is_refused_as_busy)
{
	struct admission *a = open_admission(ADMISSION_FCFS, 1, rows_two);
	struct admission_changes out = {0};
	struct admission_call first, immediate = {.token = &immediate,
					 .deadline = read_now() + 1000 * MS,
					 .no_wait = true};
	struct admit_verdict v;

	ck_assert_int_eq(
	    offer_kind(a, &first, "read", 1000, &out).action, ADMIT_RUN);
	v = offer_call(a, &immediate, find_admission_row(a, make_str("read")),
	    read_now(), &out);
	ck_assert_int_eq(v.action, ADMIT_REFUSED);
	ck_assert_int_eq(v.reason, REFUSE_BUSY);
	ck_assert_ptr_null(out.refused);
	ck_assert_int_eq(get_admission_load(a, read_now()).queued, 0);
	finish_call(a, &first, OUTCOME_RAN, 10 * MS, read_now(), &out);
	immediate = (struct admission_call){.token = &immediate,
	    .deadline = read_now() + 1000 * MS,
	    .no_wait = true};
	v = offer_call(a, &immediate, find_admission_row(a, make_str("read")),
	    read_now(), &out);
	ck_assert_int_eq(v.action, ADMIT_RUN);
	finish_call(a, &immediate, OUTCOME_RAN, 10 * MS, read_now(), &out);
	destroy_admission(a);
}
END_TEST

/*
 * Guards against bodies that fill the machine's link, so that small calls queue
 * behind them, and against bodies that wait for ever behind a sender that
 * stalls.
 */
START_TEST(bodies_share_the_link)
{
	struct admission_config cfg = {.policy = ADMISSION_FLOORS,
	    .slots = 10,
	    .fixed_limit = true,
	    .link_rate = 600000};
	struct admission_changes out = {0};
	struct admission_call big[3], small, too_late;
	struct admission *a = NULL;
	struct table *t = NULL;
	struct fault f;
	int bulk, read;

	clock_state.mono_ns = 1000 * NSEC_PER_SEC;
	ck_assert_int_eq(load_table_csv(make_str(rows_three), 1, &t, &f), 0);
	ck_assert_int_eq(create_admission(&cfg, read_now(), &a), 0);
	bulk = open_admission_row(a, find_row(t, make_str("bulk")), false);
	read = open_admission_row(a, find_row(t, make_str("read")), false);
	/* 60 KB take 100 ms of the link. */
	ck_assert_int_eq(
	    offer_body(a, &big[0], bulk, 3000, 60000, &out).action, ADMIT_RUN);
	ck_assert_int_eq(offer_body(a, &big[1], bulk, 3000, 60000, &out).action,
	    ADMIT_QUEUED);
	ck_assert_int_eq(offer_body(a, &big[2], bulk, 3000, 60000, &out).action,
	    ADMIT_QUEUED);
	ck_assert_int_eq(
	    get_admission_load(a, read_now()).body_wait_ns, 300 * MS);
	ck_assert_int_eq(
	    offer_body(a, &small, read, 200, 0, &out).action, ADMIT_RUN);
	ck_assert_int_eq(
	    offer_body(a, &too_late, bulk, 300, 60000, &out).action,
	    ADMIT_QUEUED);
	ck_assert_int_eq(cancel_call(a, &too_late, read_now(), &out), 0);
	ck_assert_ptr_null(out.run);
	/* Most of the first has arrived: the second is requested. */
	record_body_bytes(a, &big[0], 40000, read_now(), &out);
	ck_assert_ptr_eq(out.run, &big[1]);
	ck_assert_ptr_null(out.run->next);
	out = (struct admission_changes){0};
	/* The first fails before the rest of its body has arrived. */
	finish_call(a, &big[0], OUTCOME_FAILED, 0, read_now(), &out);
	ck_assert_ptr_null(out.run);
	/* A sender that stalls does not stop the others. */
	clock_state.mono_ns += 101 * MS;
	expire_calls(a, read_now(), &out);
	ck_assert_ptr_eq(out.run, &big[2]);
	out = (struct admission_changes){0};
	finish_call(a, &big[1], OUTCOME_RAN, 0, read_now(), &out);
	finish_call(a, &big[2], OUTCOME_RAN, 0, read_now(), &out);
	finish_call(a, &small, OUTCOME_RAN, 0, read_now(), &out);
	ck_assert_int_eq(get_admission_load(a, read_now()).body_wait_ns, 0);
	destroy_admission(a);
	unload_table(t);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("admission");
	TCase *tc = tcase_create("all");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(
	    tc, call_waits_for_a_slot_and_runs, 0, ADMISSION_POLICY_COUNT);
	tcase_add_test(tc, bodies_share_the_link);
	tcase_add_test(tc, calls_waiting_for_the_link_use_no_slot);
	tcase_add_test(tc, long_bodies_are_refused_first);
	tcase_add_test(tc, immediate_offer_is_refused_as_busy);
	tcase_add_test(tc, refusals_name_their_reason);
	tcase_add_test(tc, calls_that_would_miss_their_deadline_are_refused);
	tcase_add_loop_test(
	    tc, calls_survive_a_table_change, 0, ADMISSION_POLICY_COUNT);
	tcase_add_test(tc, fewer_slots_and_sheds_limit_dispatch);
	tcase_add_test(tc, growing_latency_lowers_the_limit);
	tcase_add_test(tc, unused_floor_is_not_lent_to_long_calls);
	tcase_add_test(tc, overflow_shortens_the_queue_until_it_empties);
	tcase_add_test(tc, unused_floor_is_lent_to_short_calls);
	tcase_add_test(tc, limit_caps_a_row_while_others_wait);
	tcase_add_loop_test(
	    tc, every_call_ends_once, 0, ADMISSION_POLICY_COUNT);
	tcase_add_loop_test(tc, floors_are_kept_in_time_average, 0,
	    sizeof(floor_cases) / sizeof(floor_cases[0]));
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed == 0 ? 0 : 1;
}
