/*
 * Endpoint sets: order of records, changes, registries and interest.
 */
#include <check.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "agent_sets.h"

#define NOW (100 * NSEC_PER_SEC)

enum {
	S = WIRE_ENDPOINT_STARTING,
	R = WIRE_ENDPOINT_READY,
	D = WIRE_ENDPOINT_DRAINING,
	G = WIRE_ENDPOINT_GONE,
	U = WIRE_ENDPOINT_SUSPECT
};

/* An endpoint record of a test case. */
struct record {
	const char *id;
	uint64_t incarnation, seq;
	int state;
};

#define RECORDS_MAX 4

struct change {
	uint64_t set_version;
	bool whole;
	struct record records[RECORDS_MAX];
	int want; /* result of apply_set() */
	bool new_registry; /* the registry changes before the change */
};

struct set_case {
	const char *name;
	struct change changes[4];
	struct record want[RECORDS_MAX]; /* the set at the end */
};

static const struct set_case set_cases[] = {
    {"full set", {{3, true, {{"b", 1, 1, R}, {"a", 1, 1, R}}, 1, false}},
	{{"a", 1, 1, R}, {"b", 1, 1, R}}},
    {"empty full set", {{3, true, {{0}}, 1, false}}, {{0}}},
    {"change adds, replaces and removes",
	{{3, true, {{"a", 1, 1, R}, {"b", 1, 1, R}}, 1, false},
	    {4, false, {{"a", 1, 2, D}, {"b", 1, 2, G}, {"c", 1, 1, S}}, 1,
		false}},
	{{"a", 1, 2, D}, {"c", 1, 1, S}}},
    {"changes without a base",
	{{3, false, {{"a", 1, 1, R}}, ERR_CONFLICT, false},
	    {4, true, {{"b", 1, 1, R}}, 1, false}},
	{{"b", 1, 1, R}}},
    {"duplicate change",
	{{3, true, {{"a", 1, 1, R}}, 1, false},
	    {4, false, {{"a", 1, 2, D}}, 1, false},
	    {4, false, {{"a", 1, 3, R}}, 0, false}},
	{{"a", 1, 2, D}}},
    {"full set after a newer one",
	{{5, true, {{"a", 1, 2, D}}, 1, false},
	    {4, true, {{"a", 1, 1, R}, {"b", 1, 1, R}}, 0, false}},
	{{"a", 1, 2, D}}},
    {"older seq in a change",
	{{3, true, {{"a", 1, 5, D}}, 1, false},
	    {4, false, {{"a", 1, 4, R}}, 1, false}},
	{{"a", 1, 5, D}}},
    {"older incarnation with a higher seq",
	{{3, true, {{"a", 2, 1, R}}, 1, false},
	    {4, false, {{"a", 1, 9, D}}, 1, false}},
	{{"a", 2, 1, R}}},
    {"newer incarnation with a lower seq",
	{{3, true, {{"a", 1, 9, D}}, 1, false},
	    {4, false, {{"a", 2, 1, R}}, 1, false}},
	{{"a", 2, 1, R}}},
    {"older record in a full set",
	{{3, true, {{"a", 1, 5, D}, {"b", 1, 1, R}}, 1, false},
	    {4, true, {{"a", 1, 4, R}}, 1, false}},
	{{"a", 1, 5, D}}},
    {"GONE of an earlier incarnation",
	{{3, true, {{"a", 2, 1, R}}, 1, false},
	    {4, false, {{"a", 1, 7, G}}, 1, false}},
	{{"a", 2, 1, R}}},
    {"removed record does not come back",
	{{3, true, {{"a", 1, 1, R}}, 1, false},
	    {4, false, {{"a", 1, 2, G}}, 1, false},
	    {9, true, {{"a", 1, 1, R}}, 1, true}},
	{{0}}},
    {"removed record returns when it is announced again",
	{{3, true, {{"a", 1, 2, R}}, 1, false},
	    {4, false, {{"a", 1, 2, G}}, 1, false},
	    {5, false, {{"a", 1, 2, R}}, 1, false}},
	{{"a", 1, 2, R}}},
    {"suspect mark keeps the seq",
	{{3, true, {{"a", 1, 2, R}}, 1, false},
	    {4, false, {{"a", 1, 2, U}}, 1, false}},
	{{"a", 1, 2, U}}},
    {"another registry with lower versions",
	{{30, true, {{"a", 1, 1, R}}, 1, false},
	    {2, true, {{"a", 1, 1, R}, {"b", 1, 1, R}}, 1, true},
	    {3, false, {{"b", 1, 2, D}}, 1, false}},
	{{"a", 1, 1, R}, {"b", 1, 2, D}}},
    {"changes of another registry",
	{{30, true, {{"a", 1, 1, R}}, 1, false},
	    {31, false, {{"b", 1, 1, R}}, ERR_CONFLICT, true}},
	{{"a", 1, 1, R}}},
    {"record listed twice",
	{{3, true, {{"a", 1, 4, D}, {"a", 1, 3, R}, {"b", 1, 1, R}}, 1, false}},
	{{"a", 1, 4, D}, {"b", 1, 1, R}}},
};

static int
apply_change(struct set_store *s, const struct change *c, int64_t now)
{
	struct wire_endpoint records[RECORDS_MAX];
	struct wire_endpoint_set u = {.service = (char *)(uintptr_t) "svc",
	    .set_version = c->set_version,
	    .whole = c->whole};

	if (c->new_registry)
		reset_set_versions(s);
	for (int i = 0; i < RECORDS_MAX && c->records[i].id != NULL; i++) {
		records[i] = (struct wire_endpoint){
		    .id = (char *)(uintptr_t)c->records[i].id,
		    .incarnation = c->records[i].incarnation,
		    .seq = c->records[i].seq,
		    .service = u.service,
		    .address = (char *)(uintptr_t) "127.0.0.1:1",
		    .zone = (char *)(uintptr_t) "zone",
		    .instance = (char *)(uintptr_t) "",
		    .backend = (char *)(uintptr_t) "",
		    .slots = 4,
		    .state = (enum wire_endpoint_state)c->records[i].state};
		u.endpoints.endpoints_len++;
	}
	u.endpoints.endpoints_val = records;
	return apply_set(s, &u, now);
}

/*
 * Guards against an old record that replaces a newer one, a lost change, and
 * version numbers of two registries that are compared.
 */
START_TEST(newest_records_win)
{
	const struct set_case *c = &set_cases[_i];
	struct set_store *s = open_set_store();
	const struct endpoint_set *set;
	size_t n = 0;

	ck_assert_int_eq(add_interest(s, make_str("svc"), true, NOW), 1);
	for (int i = 0; i < 4 && c->changes[i].set_version != 0; i++)
		ck_assert_msg(
		    apply_change(s, &c->changes[i], NOW) == c->changes[i].want,
		    "%s: change %d", c->name, i);
	set = acquire_set(s, make_str("svc"), NOW);
	ck_assert_ptr_nonnull(set);
	for (; n < RECORDS_MAX && c->want[n].id != NULL; n++) {
		const struct wire_endpoint *e = &set->endpoints[n];

		ck_assert_msg(n < set->count, "%s: too few", c->name);
		ck_assert_str_eq(e->id, c->want[n].id);
		ck_assert_str_eq(e->address, "127.0.0.1:1");
		ck_assert_uint_eq(e->incarnation, c->want[n].incarnation);
		ck_assert_uint_eq(e->seq, c->want[n].seq);
		ck_assert_int_eq(e->state, c->want[n].state);
	}
	ck_assert_msg(set->count == n, "%s: too many", c->name);
	release_set(s, set);
	close_set_store(s);
}
END_TEST

/* Guards against memory that grows with every removed endpoint. */
START_TEST(tombstones_expire_after_a_minute)
{
	static const struct change first = {
	    3, true, {{"a", 1, 1, R}}, 1, false};
	static const struct change gone = {
	    4, false, {{"a", 1, 2, G}}, 1, false};
	static const struct change old = {5, false, {{"a", 1, 1, R}}, 1, false};
	static const struct change late = {
	    6, false, {{"a", 1, 1, R}}, 1, false};
	struct set_store *s = open_set_store();
	const struct endpoint_set *set;

	add_interest(s, make_str("svc"), true, NOW);
	apply_change(s, &first, NOW);
	apply_change(s, &gone, NOW);
	apply_change(s, &old, NOW + SETS_TOMBSTONE_NS - 1);
	set = acquire_set(s, make_str("svc"), NOW);
	ck_assert_uint_eq(set->count, 0);
	release_set(s, set);
	apply_change(s, &late, NOW + SETS_TOMBSTONE_NS);
	set = acquire_set(s, make_str("svc"), NOW);
	ck_assert_uint_eq(set->count, 1);
	release_set(s, set);
	close_set_store(s);
}
END_TEST

/* Guards against a set that is freed while a call uses it. */
START_TEST(referenced_set_survives_replacement_and_expiry)
{
	static const struct change one = {3, true, {{"a", 1, 1, R}}, 1, false};
	static const struct change two = {4, true, {{"b", 1, 1, R}}, 1, false};
	struct set_store *s = open_set_store();
	const struct endpoint_set *old, *new;

	add_interest(s, make_str("svc"), false, NOW);
	apply_change(s, &one, NOW);
	old = acquire_set(s, make_str("svc"), NOW);
	apply_change(s, &two, NOW);
	new = acquire_set(s, make_str("svc"), NOW);
	ck_assert_ptr_ne(old, new);
	ck_assert_str_eq(old->endpoints[0].id, "a");
	ck_assert_str_eq(new->endpoints[0].id, "b");
	ck_assert_int_eq(expire_interest(s, NOW + SETS_INTEREST_NS), 1);
	ck_assert_str_eq(new->endpoints[0].id, "b");
	release_set(s, old);
	release_set(s, new);
	close_set_store(s);
}
END_TEST

/* Guards against interest that expires too early, too late or never. */
START_TEST(interest_lasts_ten_minutes_after_use)
{
	struct set_store *s = open_set_store();
	struct wire_interest list[WIRE_INTEREST_MAX];

	ck_assert_int_eq(add_interest(s, make_str("pinned"), true, NOW), 1);
	ck_assert_int_eq(add_interest(s, make_str("used"), false, NOW), 1);
	ck_assert_int_eq(add_interest(s, make_str("idle"), false, NOW), 1);
	ck_assert_int_eq(add_interest(s, make_str("used"), false, NOW), 0);
	ck_assert_int_eq(list_interest(s, list, WIRE_INTEREST_MAX), 3);
	ck_assert_ptr_null(
	    acquire_set(s, make_str("used"), NOW + 300 * NSEC_PER_SEC));
	ck_assert_int_eq(expire_interest(s, NOW + SETS_INTEREST_NS - 1), 0);
	ck_assert_int_eq(expire_interest(s, NOW + SETS_INTEREST_NS), 1);
	ck_assert_int_eq(list_interest(s, list, WIRE_INTEREST_MAX), 2);
	ck_assert_int_eq(
	    expire_interest(s, NOW + 300 * NSEC_PER_SEC + SETS_INTEREST_NS), 1);
	ck_assert_int_eq(list_interest(s, list, WIRE_INTEREST_MAX), 1);
	ck_assert_str_eq(list[0].service, "pinned");
	close_set_store(s);
}
END_TEST

/* Guards against more interest than a watch can carry, and bad names. */
START_TEST(interest_is_bounded_and_checked)
{
	struct set_store *s = open_set_store();
	char name[16];

	for (int i = 0; i < WIRE_INTEREST_MAX; i++) {
		snprintf(name, sizeof(name), "svc-%d", i);
		ck_assert_int_eq(
		    add_interest(s, make_str(name), false, NOW), 1);
	}
	ck_assert_int_eq(
	    add_interest(s, make_str("more"), false, NOW), ERR_LIMIT);
	ck_assert_int_eq(
	    add_interest(s, make_str("a\"b"), false, NOW), ERR_INVALID);
	ck_assert_int_eq(
	    add_interest(s, make_str(""), false, NOW), ERR_INVALID);
	close_set_store(s);
}
END_TEST

/* Guards against requesting changes since a version of another registry. */
START_TEST(versions_of_another_registry_are_not_sent)
{
	static const struct change one = {7, true, {{"a", 1, 1, R}}, 1, false};
	struct wire_interest list[WIRE_INTEREST_MAX];
	struct set_store *s = open_set_store();

	add_interest(s, make_str("svc"), true, NOW);
	apply_change(s, &one, NOW);
	list_interest(s, list, WIRE_INTEREST_MAX);
	ck_assert_uint_eq(list[0].set_version, 7);
	reset_set_versions(s);
	list_interest(s, list, WIRE_INTEREST_MAX);
	ck_assert_uint_eq(list[0].set_version, 0);
	close_set_store(s);
}
END_TEST

struct retain_case {
	struct change later; /* from the new registry; set_version 0: none */
	size_t want; /* number of endpoints after SETS_RETAIN_NS */
};

static const struct retain_case retain_cases[] = {
    {{0, false, {{0}}, 0, false}, 1},
    {{3, false, {{"a", 1, 1, R}}, 1, false}, 2}, /* listed in time */
    {{3, false, {{"a", 1, 2, G}}, 1, false}, 1},
    {{3, true, {{"b", 1, 1, R}}, 1, false}, 1},
};

/*
 * Guards against the incomplete registry of a restarted control process that
 * removes endpoints from a node's set, and against retained endpoints that
 * never expire.
 */
START_TEST(incomplete_set_of_another_registry_retains_endpoints)
{
	static const struct change first = {
	    7, true, {{"a", 1, 1, R}, {"b", 1, 1, R}}, 1, false};
	static const struct change small = {2, true, {{"b", 1, 1, R}}, 1, true};
	const struct retain_case *c = &retain_cases[_i];
	struct set_store *s = open_set_store();
	const struct endpoint_set *set;

	add_interest(s, make_str("svc"), true, NOW);
	apply_change(s, &first, NOW);
	apply_change(s, &small, NOW);
	set = acquire_set(s, make_str("svc"), NOW);
	ck_assert_uint_eq(set->count, 2);
	release_set(s, set);
	if (c->later.set_version != 0)
		ck_assert_int_eq(
		    apply_change(s, &c->later, NOW + 1), c->later.want);
	(void)expire_retained(s, NOW + SETS_RETAIN_NS - 1);
	(void)expire_retained(s, NOW + SETS_RETAIN_NS);
	set = acquire_set(s, make_str("svc"), NOW);
	ck_assert_uint_eq(set->count, c->want);
	ck_assert_str_eq(set->endpoints[set->count - 1].id, "b");
	release_set(s, set);
	close_set_store(s);
}
END_TEST

#define RACE_ROUNDS 40

/* What the agent's thread does while another one adds interest. */
struct race_case {
	const char *name;
	void (*step)(struct set_store *s);
};

struct race {
	struct set_store *store;
	atomic_bool started, done;
	atomic_int added; /* services */
};

static void
step_expire_retained(struct set_store *s)
{
	(void)expire_retained(s, NOW);
}

static void
step_expire_interest(struct set_store *s)
{
	(void)expire_interest(s, NOW);
}

static void
step_list(struct set_store *s)
{
	struct wire_interest list[WIRE_INTEREST_MAX];

	(void)list_interest(s, list, WIRE_INTEREST_MAX);
}

static void
step_render(struct set_store *s)
{
	struct buf out = {0};

	ck_assert_int_eq(render_sets(s, &out), 0);
	unload_buf(&out);
}

static void
step_reset(struct set_store *s)
{
	reset_set_versions(s);
}

/* Applies the next full set, of another registry each time. */
static void
step_apply(struct set_store *s)
{
	static const struct change both = {
	    7, true, {{"a", 1, 1, R}, {"b", 1, 1, R}}, 1, true};
	static const struct change one = {3, true, {{"b", 1, 1, R}}, 1, true};

	(void)apply_change(s, &both, NOW);
	(void)apply_change(s, &one, NOW);
	(void)expire_retained(s, NOW + SETS_RETAIN_NS);
}

static const struct race_case race_cases[] = {
    {"expire_retained", step_expire_retained},
    {"expire_interest", step_expire_interest},
    {"list_interest", step_list},
    {"render_sets", step_render},
    {"reset_set_versions", step_reset},
    {"apply_set and expire_retained", step_apply},
};

/*
 * Adds interest as the node's thread does for new routes, and acquires and
 * releases the sets.
 */
static void *
add_services(void *arg)
{
	struct race *r = arg;
	char name[16];

	atomic_store_explicit(&r->started, true, memory_order_relaxed);
	for (int i = 1; i < WIRE_INTEREST_MAX; i++) {
		snprintf(name, sizeof(name), "svc-%d", i);
		(void)add_interest(r->store, make_str(name), false, NOW);
		release_set(
		    r->store, acquire_set(r->store, make_str("svc"), NOW));
		release_set(
		    r->store, acquire_set(r->store, make_str(name), NOW));
		atomic_store_explicit(&r->added, i, memory_order_relaxed);
	}
	/* All relaxed, so that they order nothing for the sanitizer. */
	atomic_store_explicit(&r->done, true, memory_order_relaxed);
	return NULL;
}

/*
 * Lets the other thread add a service. A mutex promises no fairness: without a
 * pause this thread may take it again before the other one, which has been woken,
 * gets it.
 */
static void
wait_for_service(struct race *r, int added)
{
	while (!atomic_load_explicit(&r->done, memory_order_relaxed) &&
	       atomic_load_explicit(&r->added, memory_order_relaxed) == added)
		sched_yield();
}

/*
 * Guards against entries that the agent's thread reads without the lock while
 * the node's thread adds a service: on a weakly ordered processor the count can
 * be seen before the entry. The thread sanitizer reports such a read; the issue
 * is 36.
 */
START_TEST(interest_is_added_while_sets_change)
{
	const struct race_case *c = &race_cases[_i];

	for (int round = 0; round < RACE_ROUNDS; round++) {
		struct race r = {.store = open_set_store()};
		pthread_t thread;

		add_interest(r.store, make_str("svc"), true, NOW);
		ck_assert_msg(
		    pthread_create(&thread, NULL, add_services, &r) == 0,
		    "%s: no thread", c->name);
		while (!atomic_load_explicit(&r.started, memory_order_relaxed))
			sched_yield();
		do {
			int added = atomic_load_explicit(
			    &r.added, memory_order_relaxed);

			c->step(r.store);
			wait_for_service(&r, added);
		} while (!atomic_load_explicit(&r.done, memory_order_relaxed));
		pthread_join(thread, NULL);
		close_set_store(r.store);
	}
}
END_TEST

#define COUNT(a) (int)(sizeof(a) / sizeof((a)[0]))

int
main(void)
{
	Suite *s = suite_create("agent_sets");
	TCase *t = tcase_create("sets");
	SRunner *run;
	int failed;

	tcase_add_loop_test(t, newest_records_win, 0, COUNT(set_cases));
	tcase_add_test(t, tombstones_expire_after_a_minute);
	tcase_add_test(t, referenced_set_survives_replacement_and_expiry);
	tcase_add_test(t, interest_lasts_ten_minutes_after_use);
	tcase_add_test(t, interest_is_bounded_and_checked);
	tcase_add_test(t, versions_of_another_registry_are_not_sent);
	tcase_add_loop_test(t,
	    incomplete_set_of_another_registry_retains_endpoints, 0,
	    COUNT(retain_cases));
	tcase_add_loop_test(
	    t, interest_is_added_while_sets_change, 0, COUNT(race_cases));
	suite_add_tcase(s, t);
	run = srunner_create(s);
	srunner_run_all(run, CK_ENV);
	failed = srunner_ntests_failed(run);
	srunner_free(run);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
