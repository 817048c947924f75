/*
 * The agent against control processes that lag, lie, fall silent or vanish.
 */
#include "agent_rig.h"

static const struct wire_endpoint own = {.id = (char *)(uintptr_t) "node-1",
    .service = (char *)(uintptr_t) "svc",
    .address = (char *)(uintptr_t) "127.0.0.1:7",
    .zone = (char *)(uintptr_t) "near",
    .instance = (char *)(uintptr_t) "",
    .backend = (char *)(uintptr_t) "",
    .slots = 4,
    .state = WIRE_ENDPOINT_READY};

/* Guards against a node that does not follow, or goes back. */
START_TEST(table_is_followed_upward)
{
	const struct table *t, *old;
	struct rig r;

	open_rig(&r, 1);
	start_rig_agent(&r, NULL);
	RIG_UNTIL(get_rig_version(&r) == 5);
	old = acquire_table(r.agent);
	RIG_UNTIL(get_rig_seen(&r, 0).held == 5);
	change_rig(&r, 0, 20);
	RIG_UNTIL(get_rig_version(&r) == 6);
	t = acquire_table(r.agent);
	ck_assert_int_eq(t->rows[0]->values[COL_WEIGHT], 20);
	ck_assert_int_eq(old->rows[0]->values[COL_WEIGHT], 10);
	release_table(r.agent, t);
	release_table(r.agent, old);
	close_rig(&r);
}
END_TEST

struct fault_case {
	const char *name;
	enum rig_mode first; /* control 0 after the node holds version 5 */
	bool refused; /* the node reports version 6 */
	bool moves; /* to another control process */
};

static const struct fault_case fault_cases[] = {
    {"stale control", RIG_STALE, false, true},
    {"lower version", RIG_LOWER, false, true},
    {"unknown base", RIG_BAD_BASE, false, true},
    {"bad row", RIG_BAD_ROW, true, true},
    {"reply that is none", RIG_GARBAGE, false, true},
    {"wrong digest", RIG_BAD_DIGEST, true, false},
};

/* Answers what control 0 holds every 100 steps of the clock. */
static void
beat_at_intervals(struct rig *r)
{
	if (atomic_load(&r->now) / (10 * NSEC_PER_MSEC) % 100 == 0)
		beat_rig(r, 0);
}

/*
 * Guards against a bad answer that changes the table in force, or that stops
 * the node from getting the good version.
 */
START_TEST(bad_answer_changes_nothing_and_is_survived)
{
	const struct fault_case *c = &fault_cases[_i];
	bool reported = false;
	struct rig r;

	open_rig(&r, 2);
	atomic_store(&r.controls[1].mode, RIG_STALE);
	start_rig_agent(&r, NULL);
	RIG_UNTIL(get_rig_version(&r) == 5);
	RIG_UNTIL(get_rig_seen(&r, 0).held == 5);
	atomic_store(&r.controls[0].mode, c->first);
	if (c->first == RIG_LOWER || c->first == RIG_BAD_ROW)
		r.weight = 20;
	stop_rig_control(&r, 0);
	pthread_mutex_lock(&r.lock);
	r.version = 6;
	r.weight = 20;
	pthread_mutex_unlock(&r.lock);
	start_rig_control(&r, 0);
	if (c->moves) {
		int before = count_rig_seen(&r, 0);
		int more = c->first == RIG_BAD_ROW ? 4 : 1;

		RIG_ADVANCE_UNTIL(
		    &r, (beat_at_intervals(&r),
			    count_rig_seen(&r, 0) > before + more));
		if (c->first == RIG_BAD_ROW) /* version 5, and once more */
			ck_assert_int_eq(count_rig_tables(&r), 2);
		ck_assert_msg(get_rig_version(&r) == 5, "%s", c->name);
		atomic_store(&r.controls[1].mode, RIG_SERVE);
	}
	RIG_ADVANCE_UNTIL(
	    &r, (beat_at_intervals(&r), get_rig_version(&r) == 6));
	for (int i = 0; i < 2; i++) {
		pthread_mutex_lock(&r.lock);
		for (int k = 0; k < r.controls[i].seen_count; k++)
			reported |= r.controls[i].seen[k].refused == 6;
		pthread_mutex_unlock(&r.lock);
	}
	ck_assert_msg(reported == c->refused, "%s", c->name);
	close_rig(&r);
}
END_TEST

/*
 * Guards against nodes that fetch an invalid version again and again, and
 * against one that misses the version after it.
 */
START_TEST(invalid_version_is_fetched_once_a_control)
{
	const int want = 1 + 3; /* version 5, and three control processes */
	struct rig r;

	open_rig(&r, RIG_CONTROLS);
	start_rig_agent(&r, NULL);
	RIG_UNTIL(get_rig_version(&r) == 5);
	for (int i = 0; i < RIG_CONTROLS; i++)
		atomic_store(&r.controls[i].mode, RIG_BAD_ROW);
	change_rig(&r, 0, 20);
	RIG_ADVANCE_UNTIL(&r, count_rig_tables(&r) == want);
	for (int i = 0; i < 1000; i++) {
		advance_rig(&r, 100);
		pause_rig();
	}
	ck_assert_int_eq(count_rig_tables(&r), want);
	ck_assert_uint_eq(get_rig_version(&r), 5);
	for (int i = 0; i < RIG_CONTROLS; i++)
		atomic_store(&r.controls[i].mode, RIG_SERVE);
	for (int i = 0; i < RIG_CONTROLS; i++)
		change_rig(&r, i, 30);
	RIG_ADVANCE_UNTIL(&r, get_rig_version(&r) == r.version);
	close_rig(&r);
}
END_TEST

/* Guards against a restarted node that a partitioned control process serves. */
START_TEST(node_without_a_table_leaves_a_stale_control)
{
	struct rig r;

	open_rig(&r, 2);
	atomic_store(&r.controls[0].mode, RIG_STALE);
	atomic_store(&r.controls[1].mode, RIG_STALE);
	start_rig_agent(&r, NULL);
	RIG_ADVANCE_UNTIL(&r, count_rig_seen(&r, 0) >= 2);
	ck_assert_ptr_null(acquire_table(r.agent));
	atomic_store(&r.controls[1].mode, RIG_SERVE);
	RIG_ADVANCE_UNTIL(&r, get_rig_version(&r) == 5);
	close_rig(&r);
}
END_TEST

/* Guards against a busy control process that is left or asked without pause. */
START_TEST(limited_node_asks_again)
{
	struct rig r;

	open_rig(&r, 2);
	atomic_store(&r.controls[0].mode, RIG_LIMIT);
	start_rig_agent(&r, NULL);
	RIG_UNTIL(count_rig_seen(&r, 0) == 1);
	atomic_store(&r.controls[0].mode, RIG_SERVE);
	RIG_ADVANCE_UNTIL(&r, get_rig_version(&r) == 5);
	ck_assert_int_eq(count_rig_seen(&r, 1), 0);
	close_rig(&r);
}
END_TEST

/* Guards against a silent connection that holds the node on an old version. */
START_TEST(silent_control_is_left_after_the_overdue_time)
{
	struct rig r;

	open_rig(&r, 2);
	start_rig_agent(&r, NULL);
	RIG_UNTIL(get_rig_version(&r) == 5);
	RIG_UNTIL(get_rig_seen(&r, 0).held == 5);
	pthread_mutex_lock(&r.lock);
	r.version = 6;
	pthread_mutex_unlock(&r.lock);
	atomic_store(&r.reply_fault, RPC_FAULT_DROP);
	advance_rig(&r, AGENT_OVERDUE_MS - 500);
	ck_assert_int_eq(count_rig_seen(&r, 1), 0);
	advance_rig(&r, 1000);
	atomic_store(&r.reply_fault, RPC_FAULT_PASS);
	RIG_ADVANCE_UNTIL(&r, get_rig_version(&r) == 6);
	ck_assert_int_gt(count_rig_seen(&r, 1), 0);
	close_rig(&r);
}
END_TEST

/* Guards against losing the table while no control process can be reached. */
START_TEST(table_is_kept_while_all_controls_are_away)
{
	struct rig r;

	open_rig(&r, 3);
	start_rig_agent(&r, NULL);
	RIG_UNTIL(get_rig_version(&r) == 5);
	for (int i = 0; i < 3; i++)
		stop_rig_control(&r, i);
	for (int i = 0; i < 50; i++) {
		advance_rig(&r, 1000);
		pause_rig();
		ck_assert_uint_eq(get_rig_version(&r), 5);
	}
	r.version = 6;
	r.weight = 30;
	start_rig_control(&r, 2);
	RIG_ADVANCE_UNTIL(&r, get_rig_version(&r) == 6);
	close_rig(&r);
}
END_TEST

/* Guards against replies that arrive twice or for a replaced watch. */
START_TEST(crossed_and_doubled_replies_are_harmless)
{
	struct rig r;

	open_rig(&r, 1);
	atomic_store(&r.reply_fault, RPC_FAULT_DUPLICATE);
	start_rig_agent(&r, "svc");
	RIG_UNTIL(get_rig_version(&r) == 5);
	RIG_UNTIL(get_rig_seen(&r, 0).set_version == 3);
	/* two watches unanswered: both get the same delta */
	ck_assert_int_eq(announce_endpoint(r.agent, &own), 0);
	RIG_ADVANCE_UNTIL(&r, get_rig_seen(&r, 0).has_self);
	RIG_UNTIL(r.controls[0].held_count == 2);
	change_rig(&r, 0, 20);
	RIG_UNTIL(get_rig_version(&r) == 6);
	RIG_ADVANCE_UNTIL(&r, get_rig_seen(&r, 0).held == 6);
	change_rig(&r, 0, 30);
	RIG_UNTIL(get_rig_version(&r) == 7);
	RIG_ADVANCE_UNTIL(&r, get_rig_seen(&r, 0).held == 7);
	ck_assert_uint_eq(get_rig_seen(&r, 0).refused, 0);
	close_rig(&r);
}
END_TEST

/* Guards against an endpoint that a control process never learns of. */
START_TEST(own_endpoint_is_told_on_change_and_on_attachment)
{
	struct wire_endpoint e = own;
	struct rig_watch w;
	uint64_t seq;
	struct rig r;

	open_rig(&r, 2);
	start_rig_agent(&r, NULL);
	RIG_UNTIL(get_rig_seen(&r, 0).held == 5);
	ck_assert(!get_rig_seen(&r, 0).has_self);
	ck_assert_int_eq(announce_endpoint(r.agent, &e), 0);
	RIG_ADVANCE_UNTIL(&r, get_rig_seen(&r, 0).has_self);
	seq = get_rig_seen(&r, 0).self_seq;
	/* confirmed by the reply, so not sent again */
	change_rig(&r, 0, 20);
	RIG_ADVANCE_UNTIL(&r, get_rig_seen(&r, 0).held == 6);
	ck_assert(!get_rig_seen(&r, 0).has_self);
	e.state = WIRE_ENDPOINT_DRAINING;
	ck_assert_int_eq(announce_endpoint(r.agent, &e), 0);
	RIG_ADVANCE_UNTIL(&r, get_rig_seen(&r, 0).has_self);
	w = get_rig_seen(&r, 0);
	ck_assert_int_eq(w.self_state, WIRE_ENDPOINT_DRAINING);
	ck_assert_uint_gt(w.self_seq, seq);
	ck_assert_uint_gt(w.incarnation, 0);
	change_rig(&r, 0, 30);
	RIG_ADVANCE_UNTIL(&r, get_rig_seen(&r, 0).held == 7);
	stop_rig_control(&r, 0);
	RIG_ADVANCE_UNTIL(&r, get_rig_seen(&r, 1).has_self);
	ck_assert_uint_eq(get_rig_seen(&r, 1).self_seq, w.self_seq);
	stop_agent(r.agent);
	r.agent = NULL;
	w = get_rig_seen(&r, 1);
	ck_assert_int_eq(w.self_state, WIRE_ENDPOINT_GONE);
	ck_assert_int_eq(w.wait_ms, 0);
	close_rig(&r);
}
END_TEST

static bool
has_set(struct rig *r)
{
	const struct endpoint_set *set =
	    acquire_endpoints(r->agent, make_str("svc"));

	release_endpoints(r->agent, set);
	return set != NULL;
}

/* Guards against a route that is used without its endpoints. */
START_TEST(first_use_subscribes_to_the_service)
{
	const struct endpoint_set *set = NULL;
	struct buf status = {0};
	struct rig r;

	open_rig(&r, 1);
	start_rig_agent(&r, NULL);
	RIG_UNTIL(get_rig_seen(&r, 0).held == 5);
	ck_assert_int_eq(get_rig_seen(&r, 0).interest_count, 0);
	ck_assert_ptr_null(acquire_endpoints(r.agent, make_str("svc")));
	RIG_ADVANCE_UNTIL(&r, has_set(&r));
	set = acquire_endpoints(r.agent, make_str("svc"));
	ck_assert_uint_eq(set->count, 1);
	ck_assert_str_eq(set->endpoints[0].id, "n1");
	release_endpoints(r.agent, set);
	RIG_ADVANCE_UNTIL(&r, get_rig_seen(&r, 0).set_version == 3);
	ck_assert_uint_eq(get_rig_seen(&r, 0).registry, 100);
	ck_assert_int_eq(render_agent_status(r.agent, &status), 0);
	ck_assert_ptr_nonnull(strstr(status.data, "\"service\":\"svc\""));
	ck_assert_ptr_nonnull(strstr(status.data, "\"version\":5"));
	unload_buf(&status);
	close_rig(&r);
}
END_TEST

/* A claim request whose outcome the test reads. */
struct outcome {
	atomic_int done;
	int status, http_status;
	char answer[16];
};

static void
end_claim(void *arg, const struct claim_result *result)
{
	struct outcome *o = arg;

	o->status = result->status;
	o->http_status = result->http_status;
	(void)copy_str(o->answer, sizeof(o->answer), result->answer);
	atomic_fetch_add(&o->done, 1);
}

static void
start_claim(struct rig *r, struct outcome *o, enum wire_claim_state state,
    int timeout_ms)
{
	struct claim_request req = {.kind = make_str("read"),
	    .key = make_str("key-1"),
	    .claim_id = {1, 2, 3},
	    .state = state,
	    .keep_s = 60,
	    .timeout_ms = timeout_ms};

	memset(o, 0, sizeof(*o));
	ck_assert_int_eq(request_claim(r->agent, &req, end_claim, o), 0);
}

struct claim_case {
	const char *name;
	enum rig_claims first, second; /* of control 0 and 1 */
	int want;
	bool closed; /* as not run, afterwards */
};

static const struct claim_case claim_cases[] = {
    {"granted", RIG_GRANT, RIG_GRANT, 0, false},
    {"held", RIG_HELD, RIG_HELD, ERR_CONFLICT, false},
    {"answer lost, granted elsewhere", RIG_LOSE, RIG_GRANT, 0, false},
    {"no quorum, granted elsewhere", RIG_NO_QUORUM, RIG_GRANT, 0, false},
    {"no quorum anywhere", RIG_NO_QUORUM, RIG_NO_QUORUM, ERR_UNAVAILABLE, true},
    {"all answers lost", RIG_LOSE, RIG_LOSE, ERR_UNAVAILABLE, true},
};

/*
 * Guards against a claim that stays open unknown to its node, and against a
 * second claim id for the same call.
 */
START_TEST(claim_is_asked_elsewhere_and_taken_back)
{
	const struct claim_case *c = &claim_cases[_i];
	bool closed = false;
	struct outcome o;
	struct rig r;

	open_rig(&r, 2);
	atomic_store(&r.controls[0].claims, c->first);
	atomic_store(&r.controls[1].claims, c->second);
	start_rig_agent(&r, NULL);
	RIG_UNTIL(get_rig_seen(&r, 0).held == 5);
	start_claim(&r, &o, WIRE_CLAIM_OPEN, 20000);
	RIG_ADVANCE_UNTIL(&r, atomic_load(&o.done) > 0);
	ck_assert_msg(
	    o.status == c->want, "%s: %s", c->name, get_err_name(o.status));
	if (c->want == ERR_CONFLICT) {
		ck_assert_int_eq(o.http_status, 201);
		ck_assert_str_eq(o.answer, "paid");
	}
	atomic_store(&r.controls[0].claims, RIG_GRANT);
	atomic_store(&r.controls[1].claims, RIG_GRANT);
	for (int k = 0; c->closed && !closed && k < 3000; k++) {
		advance_rig(&r, 20);
		pause_rig();
		pthread_mutex_lock(&r.lock);
		for (int i = 0; i < 2; i++) {
			const struct rig_control *x = &r.controls[i];

			closed |= x->claim_count > 0 &&
				  x->claimed[x->claim_count - 1].state ==
				      WIRE_CLAIM_NOT_RUN;
		}
		pthread_mutex_unlock(&r.lock);
	}
	ck_assert_msg(closed == c->closed, "%s", c->name);
	ck_assert_int_eq(atomic_load(&o.done), 1);
	for (int i = 0; i < 2; i++) {
		for (int k = 0; k < count_rig_claims(&r, i); k++)
			ck_assert_mem_eq(
			    r.controls[i].claimed[k].id, "\1\2\3\0", 4);
	}
	close_rig(&r);
}
END_TEST

/* Guards against a caller that waits for ever when the node stops. */
START_TEST(stop_ends_every_claim_once)
{
	struct outcome o[3];
	struct rig r;

	open_rig(&r, 1);
	atomic_store(&r.controls[0].claims, RIG_LOSE);
	start_rig_agent(&r, NULL);
	RIG_UNTIL(get_rig_seen(&r, 0).held == 5);
	for (int i = 0; i < 3; i++)
		start_claim(&r, &o[i],
		    i == 2 ? WIRE_CLAIM_RAN : WIRE_CLAIM_OPEN, 60000);
	RIG_UNTIL(count_rig_claims(&r, 0) == 3);
	stop_agent(r.agent);
	r.agent = NULL;
	for (int i = 0; i < 3; i++) {
		ck_assert_int_eq(atomic_load(&o[i].done), 1);
		ck_assert_int_eq(
		    o[i].status, i == 2 ? ERR_UNKNOWN : ERR_UNAVAILABLE);
	}
	close_rig(&r);
}
END_TEST

struct bad_claim_case {
	const char *kind, *key;
	int timeout_ms;
	size_t answer_len;
};

static const struct bad_claim_case bad_claim_cases[] = {
    {"", "k", 100, 0},
    {"read", "", 100, 0},
    {"read", "k", 0, 0},
    {"read", "k", 100, WIRE_ANSWER_MAX + 1},
};

/* Guards against a claim that the wire would cut or refuse. */
START_TEST(bad_claim_is_refused_at_once)
{
	static const char answer[WIRE_ANSWER_MAX + 1];
	const struct bad_claim_case *c = &bad_claim_cases[_i];
	struct claim_request req = {.kind = make_str(c->kind),
	    .key = make_str(c->key),
	    .timeout_ms = c->timeout_ms,
	    .answer = make_str_n(answer, c->answer_len)};
	struct outcome o = {0};
	struct rig r;

	open_rig(&r, 1);
	start_rig_agent(&r, NULL);
	ck_assert_int_eq(
	    request_claim(r.agent, &req, end_claim, &o), ERR_INVALID);
	close_rig(&r);
	ck_assert_int_eq(atomic_load(&o.done), 0);
}
END_TEST

#define COUNT(a) (int)(sizeof(a) / sizeof((a)[0]))

int
main(void)
{
	Suite *s = suite_create("agent_watch");
	TCase *t = tcase_create("watch");
	SRunner *run;
	int failed;

	tcase_set_timeout(t, 90);
	tcase_add_test(t, table_is_followed_upward);
	tcase_add_loop_test(t, bad_answer_changes_nothing_and_is_survived, 0,
	    COUNT(fault_cases));
	tcase_add_test(t, invalid_version_is_fetched_once_a_control);
	tcase_add_test(t, node_without_a_table_leaves_a_stale_control);
	tcase_add_test(t, limited_node_asks_again);
	tcase_add_test(t, silent_control_is_left_after_the_overdue_time);
	tcase_add_test(t, table_is_kept_while_all_controls_are_away);
	tcase_add_test(t, crossed_and_doubled_replies_are_harmless);
	tcase_add_test(t, own_endpoint_is_told_on_change_and_on_attachment);
	tcase_add_test(t, first_use_subscribes_to_the_service);
	tcase_add_loop_test(
	    t, claim_is_asked_elsewhere_and_taken_back, 0, COUNT(claim_cases));
	tcase_add_test(t, stop_ends_every_claim_once);
	tcase_add_loop_test(
	    t, bad_claim_is_refused_at_once, 0, COUNT(bad_claim_cases));
	suite_add_tcase(s, t);
	run = srunner_create(s);
	srunner_run_all(run, CK_ENV);
	failed = srunner_ntests_failed(run);
	srunner_free(run);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
