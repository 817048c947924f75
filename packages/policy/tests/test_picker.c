/*
 * Choice of endpoints: single cases, and random schedules with fixed seeds.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "picker.h"

#define MS NSEC_PER_MSEC
#define SEC NSEC_PER_SEC
#define SET_MAX 12
#define FLIGHT_MAX 64

static const struct pick_result ran_10ms = {
    .outcome = OUTCOME_RAN, .latency_ns = 10 * MS};
static const struct pick_result failed = {
    .outcome = OUTCOME_FAILED, .status = 500};

static const struct pick_result cancelled = {
    .outcome = OUTCOME_UNKNOWN, .cancelled = true};

static char ids[SET_MAX][16];

/* Returns an endpoint "e<i>" with ten slots in a zone, "a" or "b". */
static struct picker_endpoint
make_endpoint(int i, const char *zone, enum picker_state state)
{
	(void)snprintf(ids[i], sizeof(ids[i]), "e%d", i);
	return (struct picker_endpoint){.id = make_str(ids[i]),
	    .incarnation = 1,
	    .address = make_str("127.0.0.1:80"),
	    .zone = make_str(zone),
	    .slots = 10,
	    .state = state};
}

/* Creates a picker in zone "a" with a set of endpoints. */
static struct picker *
open_picker(const struct picker_endpoint *eps, size_t count)
{
	struct picker_config cfg = {.zone = make_str("a"), .seed = 11};
	struct picker *p = NULL;

	ck_assert_int_eq(create_picker(&cfg, &p), 0);
	ck_assert_int_eq(set_picker_endpoints(p, eps, count, 0), 0);
	return p;
}

/* Picks an endpoint and ends the pick at once; returns the number in its id. */
static int
call_once(struct picker *p, const struct pick_result *r, int64_t now)
{
	struct pick k;
	int i;

	ck_assert_int_eq(pick_endpoint(p, NULL, 0, now, &k), 0);
	i = atoi(k.id + 1);
	ck_assert_int_eq(end_pick(p, k.ref, r, now), 0);
	return i;
}

/* Fails calls of one endpoint, picked by listing the others as tried. */
static void
fail_endpoint(struct picker *p, int bad, int calls, int64_t now)
{
	struct pick_ref tried[SET_MAX];
	size_t n = 0;

	while (calls > 0) {
		struct pick k;

		ck_assert_int_eq(pick_endpoint(p, tried, n, now, &k), 0);
		if (atoi(k.id + 1) == bad) {
			ck_assert_int_eq(end_pick(p, k.ref, &failed, now), 0);
			calls--;
		} else {
			ck_assert_int_eq(end_pick(p, k.ref, &ran_10ms, now), 0);
			tried[n++] = k.ref;
		}
	}
}

struct state_case {
	enum picker_state state[3];
	int want; /* the only endpoint picked; -1: none */
};

static const struct state_case state_cases[] = {
    {{PICKER_READY, PICKER_DRAINING, PICKER_GONE}, 0},
    {{PICKER_STARTING, PICKER_SUSPECT, PICKER_READY}, 2},
    {{PICKER_STARTING, PICKER_SUSPECT, PICKER_DRAINING}, 1},
    {{PICKER_STARTING, PICKER_GONE, PICKER_DRAINING}, -1},
};

/*
 * Guards against calls to an endpoint that is leaving, or to a suspect one
 * while another is ready.
 */
START_TEST(state_decides_which_endpoint_is_picked)
{
	const struct state_case *c = &state_cases[_i];
	struct picker_endpoint eps[3];
	struct picker *p;
	struct pick k;

	for (int i = 0; i < 3; i++)
		eps[i] = make_endpoint(i, "a", c->state[i]);
	p = open_picker(eps, 3);
	for (int i = 0; i < 100; i++) {
		if (c->want < 0)
			ck_assert_int_eq(
			    pick_endpoint(p, NULL, 0, 0, &k), ERR_NOT_FOUND);
		else
			ck_assert_int_eq(call_once(p, &ran_10ms, 0), c->want);
	}
	destroy_picker(p);
}
END_TEST

/* Guards against more calls to an endpoint that has refused one as draining. */
START_TEST(draining_refusal_takes_effect_before_the_announcement)
{
	struct picker_endpoint eps[2] = {make_endpoint(0, "a", PICKER_READY),
	    make_endpoint(1, "b", PICKER_READY)};
	struct pick_result r = {
	    .outcome = OUTCOME_NOT_RUN, .reason = REFUSE_DRAINING};
	struct picker *p = open_picker(eps, 2);

	ck_assert_int_eq(call_once(p, &r, 0), 0);
	for (int i = 0; i < 50; i++)
		ck_assert_int_eq(call_once(p, &ran_10ms, 0), 1);
	destroy_picker(p);
}
END_TEST

/*
 * Guards against needless cross-zone calls, and against filling the own zone
 * until calls queue while another zone has spare capacity.
 */
START_TEST(same_zone_is_used_until_it_is_full)
{
	struct picker_endpoint eps[4];
	struct picker *p;
	struct pick k;
	int own = 0;

	for (int i = 0; i < 4; i++)
		eps[i] = make_endpoint(i, i < 2 ? "a" : "b", PICKER_READY);
	p = open_picker(eps, 4);
	for (int i = 0; i < 14; i++) {
		ck_assert_int_eq(pick_endpoint(p, NULL, 0, 0, &k), 0);
		ck_assert(k.same_zone);
	}
	own = 14;
	for (int i = 0; i < 20; i++) { /* 85% of all slots */
		ck_assert_int_eq(pick_endpoint(p, NULL, 0, 0, &k), 0);
		own += k.same_zone ? 1 : 0;
	}
	ck_assert_int_le(own, 20); /* the slots of zone "a" */
	destroy_picker(p);
}
END_TEST

/* Guards against a choice that ignores the measured latency. */
START_TEST(slow_endpoint_gets_fewer_calls)
{
	struct picker_endpoint eps[3];
	int64_t done[30] = {0};
	struct pick k[30];
	struct picker *p;
	int got[3] = {0};

	for (int i = 0; i < 3; i++)
		eps[i] = make_endpoint(i, "a", PICKER_READY);
	p = open_picker(eps, 3);
	for (int64_t now = 0; now < 20 * SEC; now += 2 * MS) {
		size_t at = 30;

		for (size_t i = 0; i < 30; i++) {
			struct pick_result r = ran_10ms;

			if (done[i] != 0 && done[i] <= now) {
				r.latency_ns =
				    atoi(k[i].id + 1) == 0 ? 50 * MS : 10 * MS;
				ck_assert_int_eq(
				    end_pick(p, k[i].ref, &r, now), 0);
				done[i] = 0;
			}
			if (done[i] == 0)
				at = i;
		}
		if (at == 30 || pick_endpoint(p, NULL, 0, now, &k[at]) != 0)
			continue;
		got[atoi(k[at].id + 1)]++;
		done[at] = now + (atoi(k[at].id + 1) == 0 ? 50 : 10) * MS;
	}
	ck_assert_int_lt(got[0] * 3, got[1]);
	ck_assert_int_lt(got[0] * 3, got[2]);
	ck_assert_int_lt(abs(got[1] - got[2]) * 5, got[1]);
	destroy_picker(p);
	/* Without calls in flight, latency alone decides. */
	p = open_picker(eps, 2);
	for (int i = 0; i < 2; i++)
		ck_assert_int_eq(pick_endpoint(p, NULL, 0, 0, &k[i]), 0);
	for (int i = 0; i < 2; i++) {
		struct pick_result r = ran_10ms;

		r.latency_ns *= atoi(k[i].id + 1) == 0 ? 5 : 1;
		ck_assert_int_eq(end_pick(p, k[i].ref, &r, 0), 0);
	}
	for (int i = 0; i < 50; i++)
		ck_assert_int_eq(call_once(p, &ran_10ms, 0), 1);
	destroy_picker(p);
}
END_TEST

/*
 * Guards against ignoring queues caused by other nodes, against outdated
 * reports, and against a report that attracts calls.
 */
START_TEST(returned_load_only_raises_the_estimate)
{
	struct picker_endpoint eps[2] = {make_endpoint(0, "a", PICKER_READY),
	    make_endpoint(1, "a", PICKER_READY)};
	struct pick_result busy = ran_10ms;
	struct picker *p = open_picker(eps, 2);
	int64_t now = SEC;
	struct pick k;
	int got[2] = {0};

	busy.load =
	    (struct returned_load){true, .in_flight = 9, .queued = 5, 10};
	ck_assert_int_eq(pick_endpoint(p, NULL, 0, now, &k), 0);
	ck_assert_int_eq(end_pick(p, k.ref, &busy, now), 0);
	for (int i = 0; i < 50; i++)
		ck_assert_int_ne(call_once(p, &ran_10ms, now), atoi(k.id + 1));
	now += 3 * SEC;
	for (int i = 0; i < 200; i++)
		got[call_once(p, &ran_10ms, now)]++;
	ck_assert_int_gt(got[atoi(k.id + 1)], 50);
	/* Both have calls of this node in flight; one reports no load. */
	for (int i = 0; i < 12; i++)
		ck_assert_int_eq(pick_endpoint(p, NULL, 0, now, &k), 0);
	busy.load = (struct returned_load){true, 0, 0, 1000};
	ck_assert_int_eq(end_pick(p, k.ref, &busy, now), 0);
	got[0] = got[1] = 0;
	for (int i = 0; i < 6; i++) {
		ck_assert_int_eq(pick_endpoint(p, NULL, 0, now, &k), 0);
		got[atoi(k.id + 1)]++;
	}
	ck_assert_int_lt(abs(got[0] - got[1]), 4);
	destroy_picker(p);
}
END_TEST

/* Guards against full load on an endpoint that has just started. */
START_TEST(new_endpoint_starts_slowly)
{
	struct picker_endpoint eps[3];
	int64_t now = 60 * SEC;
	struct picker *p;
	struct pick k;
	int got[2] = {0};

	for (int i = 0; i < 3; i++)
		eps[i] = make_endpoint(i, "a", PICKER_READY);
	p = open_picker(eps, 2);
	ck_assert_int_eq(set_picker_endpoints(p, eps, 3, now), 0);
	for (int round = 0; round < 2; round++) {
		struct pick_ref refs[12];

		for (int i = 0; i < 12; i++) {
			ck_assert_int_eq(pick_endpoint(p, NULL, 0, now, &k), 0);
			refs[i] = k.ref;
			got[round] += atoi(k.id + 1) == 2 ? 1 : 0;
		}
		for (int i = 0; i < 12; i++)
			ck_assert_int_eq(
			    end_pick(p, refs[i], &ran_10ms, now), 0);
		now += 10 * SEC;
	}
	ck_assert_int_le(got[0], 1);
	ck_assert_int_ge(got[1], 3);
	destroy_picker(p);
}
END_TEST

/* Guards against a retry at the same endpoint while there is another. */
START_TEST(tried_endpoint_is_last_resort)
{
	struct picker_endpoint eps[2] = {make_endpoint(0, "a", PICKER_READY),
	    make_endpoint(1, "b", PICKER_SUSPECT)};
	struct picker *p = open_picker(eps, 2);
	struct pick first, k;

	ck_assert_int_eq(pick_endpoint(p, NULL, 0, 0, &first), 0);
	ck_assert(has_other_endpoint(p, &first.ref, 1, 0));
	for (int i = 0; i < 20; i++) {
		ck_assert_int_eq(pick_endpoint(p, &first.ref, 1, 0, &k), 0);
		ck_assert_str_eq(k.id, "e1");
		ck_assert(!k.tried_before);
	}
	eps[1].state = PICKER_DRAINING;
	ck_assert_int_eq(set_picker_endpoints(p, eps, 2, 0), 0);
	ck_assert(!has_other_endpoint(p, &first.ref, 1, 0));
	ck_assert_int_eq(pick_endpoint(p, &first.ref, 1, 0, &k), 0);
	ck_assert_str_eq(k.id, "e0");
	ck_assert(k.tried_before);
	destroy_picker(p);
}
END_TEST

/*
 * Guards against an outlier that still gets calls, that returns with full load,
 * or that never returns.
 */
START_TEST(outlier_is_ejected_and_returns_by_probation)
{
	struct picker_endpoint eps[4];
	struct picker *p;
	struct pick probe, k;
	int got = 0;

	for (int i = 0; i < 4; i++)
		eps[i] = make_endpoint(i, "a", PICKER_READY);
	p = open_picker(eps, 4);
	fail_endpoint(p, 2, 5, 0);
	for (int i = 0; i < 100; i++)
		ck_assert_int_ne(call_once(p, &ran_10ms, 4 * SEC), 2);
	ck_assert_int_eq(get_picker_counts(p, 4 * SEC).ejected, 1);
	/* Probation: one call at a time. */
	ck_assert_int_eq(pick_endpoint(p, NULL, 0, 6 * SEC, &probe), 0);
	ck_assert_str_eq(probe.id, "e2");
	for (int i = 0; i < 50; i++)
		ck_assert_int_ne(call_once(p, &ran_10ms, 6 * SEC), 2);
	ck_assert_int_eq(end_pick(p, probe.ref, &failed, 6 * SEC), 0);
	/* The failed probe doubles the backoff. */
	for (int i = 0; i < 50; i++)
		ck_assert_int_ne(call_once(p, &ran_10ms, 15 * SEC), 2);
	/* A cancelled probe decides nothing. */
	ck_assert_int_eq(pick_endpoint(p, NULL, 0, 17 * SEC, &probe), 0);
	ck_assert_str_eq(probe.id, "e2");
	ck_assert_int_eq(end_pick(p, probe.ref, &cancelled, 17 * SEC), 0);
	ck_assert_int_eq(pick_endpoint(p, NULL, 0, 17 * SEC, &k), 0);
	ck_assert_str_eq(k.id, "e2");
	ck_assert_int_eq(end_pick(p, k.ref, &ran_10ms, 17 * SEC), 0);
	for (int i = 0; i < 200; i++)
		got += call_once(p, &ran_10ms, 17 * SEC) == 2 ? 1 : 0;
	ck_assert_int_gt(got, 20);
	destroy_picker(p);
}
END_TEST

/*
 * Guards against an endpoint that was slow or failed once and is never picked
 * again, because under light load the other one of two always has the better
 * score.
 */
START_TEST(old_measurements_expire)
{
	struct picker_endpoint eps[2] = {make_endpoint(0, "a", PICKER_READY),
	    make_endpoint(1, "a", PICKER_READY)};
	struct pick_result slow = ran_10ms;
	struct picker *p = open_picker(eps, 2);
	int64_t now = 0;
	int got = 0;

	slow.latency_ns = 900 * MS;
	fail_endpoint(p, 1, 1, now);
	while (call_once(p, &slow, now += 100 * MS) != 1)
		;
	for (int i = 0; i < 600; i++)
		got += call_once(p, &ran_10ms, now += 100 * MS);
	ck_assert_int_gt(got, 100);
	destroy_picker(p);
}
END_TEST

struct ejection_case {
	struct pick_result result;
	bool ejects;
};

static const struct ejection_case ejection_cases[] = {
    {{.outcome = OUTCOME_FAILED, .status = 500}, true},
    {{.outcome = OUTCOME_FAILED, .status = 404}, false},
    {{.outcome = OUTCOME_UNKNOWN}, true},
    {{.outcome = OUTCOME_UNKNOWN, .cancelled = true}, false},
    {{.outcome = OUTCOME_NOT_RUN, .reason = REFUSE_NONE}, true},
    {{.outcome = OUTCOME_NOT_RUN, .reason = REFUSE_OVERLOAD}, false},
    {{.outcome = OUTCOME_NOT_RUN, .reason = REFUSE_DEADLINE}, false},
};

/*
 * Guards against ejection of an endpoint for refusals under load or for errors
 * of the caller.
 */
START_TEST(only_endpoint_failures_eject)
{
	const struct ejection_case *c = &ejection_cases[_i];
	struct picker_endpoint eps[4];
	struct picker *p;
	struct pick k;

	for (int i = 0; i < 4; i++)
		eps[i] = make_endpoint(i, "a", PICKER_READY);
	p = open_picker(eps, 4);
	for (int i = 0; i < 100; i++)
		(void)call_once(p, &c->result, 0);
	ck_assert_int_eq(pick_endpoint(p, NULL, 0, 0, &k), 0);
	ck_assert_int_eq(get_picker_counts(p, 0).ejected, c->ejects ? 2 : 0);
	ck_assert_int_ge(get_picker_counts(p, 0).selectable, 2);
	destroy_picker(p);
}
END_TEST

/*
 * Guards against a restarted endpoint that is still ejected for failures of its
 * previous incarnation.
 */
START_TEST(new_incarnation_starts_clean)
{
	struct picker_endpoint eps[2] = {make_endpoint(0, "a", PICKER_READY),
	    make_endpoint(1, "a", PICKER_READY)};
	struct picker *p = open_picker(eps, 2);

	fail_endpoint(p, 1, 5, 0);
	ck_assert_int_eq(get_picker_counts(p, 0).ejected, 1);
	ck_assert_int_eq(set_picker_endpoints(p, eps, 2, 0), 0);
	ck_assert_int_eq(get_picker_counts(p, 0).ejected, 1);
	eps[1].incarnation = 2;
	ck_assert_int_eq(set_picker_endpoints(p, eps, 2, 0), 0);
	ck_assert_int_eq(get_picker_counts(p, 0).ejected, 0);
	destroy_picker(p);
}
END_TEST

/* Guards against an outdated reference that ends a call of another endpoint. */
START_TEST(reference_does_not_outlive_its_endpoint)
{
	struct picker_endpoint eps[2] = {make_endpoint(0, "a", PICKER_READY),
	    make_endpoint(1, "a", PICKER_READY)};
	struct picker *p = open_picker(eps, 1);
	struct pick old, k;

	ck_assert_int_eq(pick_endpoint(p, NULL, 0, 0, &old), 0);
	ck_assert_int_eq(end_pick(p, old.ref, &ran_10ms, 0), 0);
	ck_assert_int_eq(set_picker_endpoints(p, &eps[1], 1, 0), 0);
	eps[0].incarnation = 2; /* reuses the free entry */
	ck_assert_int_eq(set_picker_endpoints(p, eps, 1, 0), 0);
	ck_assert_int_eq(pick_endpoint(p, NULL, 0, 0, &k), 0);
	ck_assert_int_eq(end_pick(p, old.ref, &ran_10ms, 0), ERR_NOT_FOUND);
	ck_assert_int_eq(get_picker_counts(p, 0).in_flight, 1);
	ck_assert_int_eq(
	    end_pick(p, (struct pick_ref){0}, &ran_10ms, 0), ERR_NOT_FOUND);
	destroy_picker(p);
}
END_TEST

/*
 * Draws a random set of endpoints; states receives the state of each, GONE for
 * those not in the set.
 */
static size_t
draw_set(struct rng *r, struct picker_endpoint *eps, enum picker_state *states)
{
	size_t n = 0;

	for (int i = 0; i < SET_MAX; i++) {
		states[i] = PICKER_GONE;
		if (draw_below(r, 4) == 0)
			continue;
		states[i] = (enum picker_state)draw_below(r, 6);
		if (states[i] > PICKER_SUSPECT)
			states[i] = PICKER_READY;
		eps[n] = make_endpoint(i, i % 2 ? "a" : "b", states[i]);
		eps[n].incarnation = 1 + draw_below(r, 2);
		n++;
	}
	return n;
}

/*
 * Guards, while the set changes with calls in flight, against calls to
 * endpoints that leave, against ejection of a whole service, and against wrong
 * counts of calls.
 */
START_TEST(set_changes_with_calls_in_flight)
{
	struct picker_endpoint eps[SET_MAX];
	enum picker_state states[SET_MAX];
	struct pick flight[FLIGHT_MAX] = {0};
	struct pick_result r = ran_10ms;
	int count = 0, pickable = 0;
	int64_t now = 0;
	struct rng rng;
	struct picker *p;

	seed_rng(&rng, (uint64_t)_i + 100);
	p = open_picker(eps, draw_set(&rng, eps, states));
	for (int step = 0; step < 20000; step++) {
		struct pick_ref tried[2] = {flight[0].ref, flight[1].ref};
		struct picker_counts n;
		struct pick k;
		int at, rc;

		now += (int64_t)draw_below(&rng, 100 * MS);
		if (draw_below(&rng, 50) == 0) {
			size_t sz = draw_set(&rng, eps, states);

			ck_assert_int_eq(
			    set_picker_endpoints(p, eps, sz, now), 0);
		}
		pickable = 0;
		for (int i = 0; i < SET_MAX; i++)
			pickable += states[i] == PICKER_READY ||
					    states[i] == PICKER_SUSPECT ?
					1 :
					0;
		rc = count < FLIGHT_MAX ?
			 pick_endpoint(p, tried, (size_t)count % 3, now, &k) :
			 ERR_LIMIT;
		if (rc == 0) {
			int i = atoi(k.id + 1);

			ck_assert(states[i] == PICKER_READY ||
				  states[i] == PICKER_SUSPECT);
			flight[count++] = k;
		} else if (rc == ERR_NOT_FOUND) {
			ck_assert_int_eq(pickable, 0);
		}
		n = get_picker_counts(p, now);
		ck_assert_int_eq(n.in_flight, count);
		if (rc == 0) {
			ck_assert_int_eq(n.listed, pickable);
			ck_assert_int_ge(n.selectable * 2, n.listed);
		}
		if (count == 0 || (count < FLIGHT_MAX && draw_below(&rng, 2)))
			continue;
		at = (int)draw_below(&rng, (uint64_t)count);
		r.outcome =
		    draw_below(&rng, 10) < 8 ? OUTCOME_FAILED : OUTCOME_RAN;
		r.cancelled = draw_below(&rng, 20) == 0;
		k = flight[at];
		ck_assert_int_eq(end_pick(p, k.ref, &r, now), 0);
		flight[at] = flight[--count];
		ck_assert_int_eq(get_picker_counts(p, now).in_flight, count);
	}
	while (count > 0)
		ck_assert_int_eq(end_pick(p, flight[--count].ref, &r, now), 0);
	ck_assert_int_eq(end_pick(p, flight[0].ref, &r, now), ERR_NOT_FOUND);
	destroy_picker(p);
}
END_TEST

struct load_case {
	const char *text;
	int rc;
};

static const struct load_case load_cases[] = {
    {"in_flight=3 queued=0 slots=20", 0},
    {"in_flight=-3 queued=0 slots=20", ERR_INVALID},
    {"in_flight=3 queued=0 slots=0", ERR_INVALID},
    {"in_flight=3 queued=0", ERR_INVALID},
    {"in_flight=3 queued=0 slots=20 x", ERR_INVALID},
    {"in_flight=99999999999 queued=0 slots=20", ERR_INVALID},
    {"", ERR_INVALID},
};

/* Guards against a malformed load header that is accepted. */
START_TEST(load_header_is_checked)
{
	const struct load_case *c = &load_cases[_i];
	struct returned_load l = {0};
	char text[64];

	ck_assert_int_eq(parse_load(make_str(c->text), &l), c->rc);
	ck_assert_int_eq(l.known, c->rc == 0);
	if (c->rc != 0)
		return;
	ck_assert_int_eq(render_load(&l, text, sizeof(text)), 0);
	ck_assert_str_eq(text, c->text);
	ck_assert_int_eq(render_load(&l, text, 10), ERR_LIMIT);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("picker");
	TCase *tc = tcase_create("all");
	SRunner *sr = srunner_create(s);
	int bad;

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, state_decides_which_endpoint_is_picked, 0,
	    sizeof(state_cases) / sizeof(state_cases[0]));
	tcase_add_test(
	    tc, draining_refusal_takes_effect_before_the_announcement);
	tcase_add_test(tc, same_zone_is_used_until_it_is_full);
	tcase_add_test(tc, slow_endpoint_gets_fewer_calls);
	tcase_add_test(tc, returned_load_only_raises_the_estimate);
	tcase_add_test(tc, new_endpoint_starts_slowly);
	tcase_add_test(tc, tried_endpoint_is_last_resort);
	tcase_add_test(tc, outlier_is_ejected_and_returns_by_probation);
	tcase_add_test(tc, new_incarnation_starts_clean);
	tcase_add_test(tc, reference_does_not_outlive_its_endpoint);
	tcase_add_test(tc, old_measurements_expire);
	tcase_add_loop_test(tc, only_endpoint_failures_eject, 0,
	    sizeof(ejection_cases) / sizeof(ejection_cases[0]));
	tcase_add_loop_test(tc, set_changes_with_calls_in_flight, 0, 10);
	tcase_add_loop_test(tc, load_header_is_checked, 0,
	    sizeof(load_cases) / sizeof(load_cases[0]));
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	bad = srunner_ntests_failed(sr);
	srunner_free(sr);
	return bad == 0 ? 0 : 1;
}
