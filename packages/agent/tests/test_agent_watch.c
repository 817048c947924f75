/*
 * The agent with control processes that are behind, send bad replies, become
 * unresponsive or stop.
 */
#include "agent_fixture.h"

static const struct wire_endpoint node_endpoint = {
    .id = (char *)(uintptr_t) "node-1",
    .service = (char *)(uintptr_t) "svc",
    .address = (char *)(uintptr_t) "127.0.0.1:7",
    .zone = (char *)(uintptr_t) "near",
    .instance = (char *)(uintptr_t) "",
    .backend = (char *)(uintptr_t) "",
    .slots = 4,
    .state = WIRE_ENDPOINT_READY};

/* Guards against a node that misses a new version, and a table freed in use. */
START_TEST(new_version_replaces_the_old_one)
{
	const struct table *t, *old;
	struct fixture fx;

	open_fixture(&fx, 1);
	start_fixture_agent(&fx, NULL);
	WAIT_UNTIL(get_agent_version(&fx) == 5);
	old = acquire_table(fx.agent);
	WAIT_UNTIL(get_last_watch(&fx, 0).table_version == 5);
	publish_next_version(&fx, 0, 20);
	WAIT_UNTIL(get_agent_version(&fx) == 6);
	t = acquire_table(fx.agent);
	ck_assert_int_eq(t->rows[0]->values[COL_WEIGHT], 20);
	ck_assert_int_eq(old->rows[0]->values[COL_WEIGHT], 10);
	release_table(fx.agent, t);
	release_table(fx.agent, old);
	close_fixture(&fx);
}
END_TEST

struct fault_case {
	const char *name;
	enum fake_watch_mode mode; /* of control 0 after version 5 */
	bool refused; /* the node reports version 6 as refused */
	bool moves; /* to another control process */
};

static const struct fault_case fault_cases[] = {
    {"stale control", WATCH_MODE_STALE, false, true},
    {"lower version", WATCH_MODE_LOWER, false, true},
    {"unknown base", WATCH_MODE_BAD_BASE, false, true},
    {"bad row", WATCH_MODE_BAD_ROW, true, true},
    {"reply that cannot be decoded", WATCH_MODE_GARBAGE, false, true},
    {"wrong digest", WATCH_MODE_BAD_DIGEST, true, false},
};

/* Sends heartbeats of control 0 every 100 steps of the clock. */
static void
send_periodic_heartbeats(struct fixture *fx)
{
	if (atomic_load(&fx->now) / (10 * NSEC_PER_MSEC) % 100 == 0)
		send_heartbeats(fx, 0);
}

/*
 * Guards against a bad reply that changes the table in force, or that keeps the
 * node from getting the good version.
 */
START_TEST(bad_reply_changes_nothing_and_is_recovered)
{
	const struct fault_case *c = &fault_cases[_i];
	bool reported = false;
	struct fixture fx;

	open_fixture(&fx, 2);
	atomic_store(&fx.controls[1].watch_mode, WATCH_MODE_STALE);
	start_fixture_agent(&fx, NULL);
	WAIT_UNTIL(get_agent_version(&fx) == 5);
	WAIT_UNTIL(get_last_watch(&fx, 0).table_version == 5);
	atomic_store(&fx.controls[0].watch_mode, c->mode);
	if (c->mode == WATCH_MODE_LOWER || c->mode == WATCH_MODE_BAD_ROW)
		fx.weight = 20;
	stop_fake_control(&fx, 0);
	pthread_mutex_lock(&fx.lock);
	fx.version = 6;
	fx.weight = 20;
	pthread_mutex_unlock(&fx.lock);
	start_fake_control(&fx, 0);
	if (c->moves) {
		int before = count_watches(&fx, 0);
		int more = c->mode == WATCH_MODE_BAD_ROW ? 4 : 1;

		ADVANCE_UNTIL(&fx, (send_periodic_heartbeats(&fx),
				       count_watches(&fx, 0) > before + more));
		if (c->mode == WATCH_MODE_BAD_ROW) /* versions 5 and 6 */
			ck_assert_int_eq(count_sent_tables(&fx), 2);
		ck_assert_msg(get_agent_version(&fx) == 5, "%s", c->name);
		atomic_store(&fx.controls[1].watch_mode, WATCH_MODE_SERVE);
	}
	ADVANCE_UNTIL(
	    &fx, (send_periodic_heartbeats(&fx), get_agent_version(&fx) == 6));
	for (int i = 0; i < 2; i++) {
		pthread_mutex_lock(&fx.lock);
		for (int k = 0; k < fx.controls[i].watch_count; k++)
			reported |= fx.controls[i].watches[k].refused == 6;
		pthread_mutex_unlock(&fx.lock);
	}
	ck_assert_msg(reported == c->refused, "%s", c->name);
	close_fixture(&fx);
}
END_TEST

/*
 * A control process of an older build, which cannot pack its replies, is
 * replaced while the node follows it. Guards against a node that gets no table
 * or no update from it.
 */
START_TEST(older_control_sends_plain_replies)
{
	struct fixture fx;

	open_fixture(&fx, 1);
	atomic_store(&fx.controls[0].old_build, true);
	start_fixture_agent(&fx, NULL);
	WAIT_UNTIL(get_agent_version(&fx) == 5);
	publish_next_version(&fx, 0, 20);
	ADVANCE_UNTIL(
	    &fx, (send_periodic_heartbeats(&fx), get_agent_version(&fx) == 6));
	close_fixture(&fx);
}
END_TEST

/*
 * Guards against a node that fetches an invalid version repeatedly, or that
 * misses the version after it.
 */
START_TEST(invalid_version_is_fetched_once_per_control)
{
	const int want = 1 + 3; /* version 5, and three control processes */
	struct fixture fx;

	open_fixture(&fx, CONTROLS_MAX);
	start_fixture_agent(&fx, NULL);
	WAIT_UNTIL(get_agent_version(&fx) == 5);
	for (int i = 0; i < CONTROLS_MAX; i++)
		atomic_store(&fx.controls[i].watch_mode, WATCH_MODE_BAD_ROW);
	publish_next_version(&fx, 0, 20);
	ADVANCE_UNTIL(&fx, count_sent_tables(&fx) == want);
	for (int i = 0; i < 1000; i++) {
		advance_fixture(&fx, 100);
		sleep_one_ms();
	}
	ck_assert_int_eq(count_sent_tables(&fx), want);
	ck_assert_uint_eq(get_agent_version(&fx), 5);
	for (int i = 0; i < CONTROLS_MAX; i++)
		atomic_store(&fx.controls[i].watch_mode, WATCH_MODE_SERVE);
	for (int i = 0; i < CONTROLS_MAX; i++)
		publish_next_version(&fx, i, 30);
	ADVANCE_UNTIL(&fx, get_agent_version(&fx) == fx.version);
	close_fixture(&fx);
}
END_TEST

/* Guards against a restarted node that stays with a partitioned control. */
START_TEST(node_without_a_table_leaves_a_stale_control)
{
	struct fixture fx;

	open_fixture(&fx, 2);
	atomic_store(&fx.controls[0].watch_mode, WATCH_MODE_STALE);
	atomic_store(&fx.controls[1].watch_mode, WATCH_MODE_STALE);
	start_fixture_agent(&fx, NULL);
	ADVANCE_UNTIL(&fx, count_watches(&fx, 0) >= 2);
	ck_assert_ptr_null(acquire_table(fx.agent));
	atomic_store(&fx.controls[1].watch_mode, WATCH_MODE_SERVE);
	ADVANCE_UNTIL(&fx, get_agent_version(&fx) == 5);
	close_fixture(&fx);
}
END_TEST

/* Guards against leaving a busy control process or retrying without a pause. */
START_TEST(limited_node_retries_the_same_control)
{
	struct fixture fx;

	open_fixture(&fx, 2);
	atomic_store(&fx.controls[0].watch_mode, WATCH_MODE_LIMIT);
	start_fixture_agent(&fx, NULL);
	WAIT_UNTIL(count_watches(&fx, 0) == 1);
	atomic_store(&fx.controls[0].watch_mode, WATCH_MODE_SERVE);
	ADVANCE_UNTIL(&fx, get_agent_version(&fx) == 5);
	ck_assert_int_eq(count_watches(&fx, 1), 0);
	close_fixture(&fx);
}
END_TEST

/* Guards against an unresponsive connection that withholds new versions. */
START_TEST(unresponsive_control_is_left_when_overdue)
{
	struct fixture fx;

	open_fixture(&fx, 2);
	start_fixture_agent(&fx, NULL);
	WAIT_UNTIL(get_agent_version(&fx) == 5);
	WAIT_UNTIL(get_last_watch(&fx, 0).table_version == 5);
	pthread_mutex_lock(&fx.lock);
	fx.version = 6;
	pthread_mutex_unlock(&fx.lock);
	atomic_store(&fx.reply_fault, RPC_FAULT_DROP);
	advance_fixture(&fx, AGENT_OVERDUE_MS - 500);
	ck_assert_int_eq(count_watches(&fx, 1), 0);
	advance_fixture(&fx, 1000);
	atomic_store(&fx.reply_fault, RPC_FAULT_PASS);
	ADVANCE_UNTIL(&fx, get_agent_version(&fx) == 6);
	ck_assert_int_gt(count_watches(&fx, 1), 0);
	close_fixture(&fx);
}
END_TEST

/* Guards against losing the table while no control process can be reached. */
START_TEST(table_is_kept_while_all_controls_are_down)
{
	struct fixture fx;

	open_fixture(&fx, 3);
	start_fixture_agent(&fx, NULL);
	WAIT_UNTIL(get_agent_version(&fx) == 5);
	for (int i = 0; i < 3; i++)
		stop_fake_control(&fx, i);
	for (int i = 0; i < 50; i++) {
		advance_fixture(&fx, 1000);
		sleep_one_ms();
		ck_assert_uint_eq(get_agent_version(&fx), 5);
	}
	fx.version = 6;
	fx.weight = 30;
	start_fake_control(&fx, 2);
	ADVANCE_UNTIL(&fx, get_agent_version(&fx) == 6);
	close_fixture(&fx);
}
END_TEST

/* Guards against failures after duplicate replies and replaced watches. */
START_TEST(duplicate_and_reordered_replies_are_harmless)
{
	struct fixture fx;

	open_fixture(&fx, 1);
	atomic_store(&fx.reply_fault, RPC_FAULT_DUPLICATE);
	start_fixture_agent(&fx, "svc");
	WAIT_UNTIL(get_agent_version(&fx) == 5);
	WAIT_UNTIL(get_last_watch(&fx, 0).set_version == 3);
	/* two watches are pending: both get the same delta */
	ck_assert_int_eq(announce_endpoint(fx.agent, &node_endpoint), 0);
	ADVANCE_UNTIL(&fx, get_last_watch(&fx, 0).has_self);
	WAIT_UNTIL(fx.controls[0].pending_count == 2);
	publish_next_version(&fx, 0, 20);
	WAIT_UNTIL(get_agent_version(&fx) == 6);
	ADVANCE_UNTIL(&fx, get_last_watch(&fx, 0).table_version == 6);
	publish_next_version(&fx, 0, 30);
	WAIT_UNTIL(get_agent_version(&fx) == 7);
	ADVANCE_UNTIL(&fx, get_last_watch(&fx, 0).table_version == 7);
	ck_assert_uint_eq(get_last_watch(&fx, 0).refused, 0);
	close_fixture(&fx);
}
END_TEST

/* What two pending watches are answered with at the same time. */
static const struct twice_case {
	const char *name;
	bool table; /* else a set */
} twice_cases[] = {{"table", true}, {"endpoint set", false}};

/*
 * Guards against a pause before the next watch because the newest one is
 * answered with what the reply to a replaced one has just brought: a change
 * that is accepted meanwhile is late by the pause, up to a second. The clock
 * stands still, so that a pause would never end.
 */
START_TEST(news_that_came_twice_delays_no_watch)
{
	const struct twice_case *c = &twice_cases[_i];
	struct fixture fx;
	int before;

	open_fixture(&fx, 1);
	start_fixture_agent(&fx, "svc");
	WAIT_UNTIL(get_agent_version(&fx) == 5);
	WAIT_UNTIL(get_last_watch(&fx, 0).set_version == 3);
	ck_assert_int_eq(announce_endpoint(fx.agent, &node_endpoint), 0);
	ADVANCE_UNTIL(&fx, get_last_watch(&fx, 0).has_self);
	WAIT_UNTIL(fx.controls[0].pending_count == 2);
	before = count_watches(&fx, 0);
	if (c->table)
		publish_next_version(&fx, 0, 20);
	else
		publish_next_set(&fx, 0, "svc");
	WAIT_UNTIL(count_watches(&fx, 0) > before);
	if (c->table)
		ck_assert_uint_eq(get_last_watch(&fx, 0).table_version, 6);
	else
		ck_assert_uint_eq(get_last_watch(&fx, 0).set_version, 4);
	publish_next_version(&fx, 0, 30);
	WAIT_UNTIL(get_agent_version(&fx) == fx.version);
	/* It sends one more, not a loop of them. */
	WAIT_UNTIL(count_watches(&fx, 0) == before + 2);
	close_fixture(&fx);
}
END_TEST

/* Guards against an endpoint that a control process never receives. */
START_TEST(own_endpoint_is_sent_on_change_and_on_attachment)
{
	struct wire_endpoint e = node_endpoint;
	struct seen_watch w;
	uint64_t seq;
	struct fixture fx;

	open_fixture(&fx, 2);
	start_fixture_agent(&fx, NULL);
	WAIT_UNTIL(get_last_watch(&fx, 0).table_version == 5);
	ck_assert(!get_last_watch(&fx, 0).has_self);
	ck_assert_int_eq(announce_endpoint(fx.agent, &e), 0);
	ADVANCE_UNTIL(&fx, get_last_watch(&fx, 0).has_self);
	seq = get_last_watch(&fx, 0).self_seq;
	/* the reply confirmed it, so it is not sent again */
	publish_next_version(&fx, 0, 20);
	ADVANCE_UNTIL(&fx, get_last_watch(&fx, 0).table_version == 6);
	ck_assert(!get_last_watch(&fx, 0).has_self);
	e.state = WIRE_ENDPOINT_DRAINING;
	ck_assert_int_eq(announce_endpoint(fx.agent, &e), 0);
	ADVANCE_UNTIL(&fx, get_last_watch(&fx, 0).has_self);
	w = get_last_watch(&fx, 0);
	ck_assert_int_eq(w.self_state, WIRE_ENDPOINT_DRAINING);
	ck_assert_uint_gt(w.self_seq, seq);
	ck_assert_uint_gt(w.incarnation, 0);
	publish_next_version(&fx, 0, 30);
	ADVANCE_UNTIL(&fx, get_last_watch(&fx, 0).table_version == 7);
	stop_fake_control(&fx, 0);
	ADVANCE_UNTIL(&fx, get_last_watch(&fx, 1).has_self);
	ck_assert_uint_eq(get_last_watch(&fx, 1).self_seq, w.self_seq);
	stop_agent(fx.agent);
	fx.agent = NULL;
	w = get_last_watch(&fx, 1);
	ck_assert_int_eq(w.self_state, WIRE_ENDPOINT_GONE);
	ck_assert_int_eq(w.wait_ms, 0);
	close_fixture(&fx);
}
END_TEST

/*
 * Pattern: the time of day of a machine is set back, and its node is started
 * again. Guards against an endpoint that control processes refuse, as older than
 * its last run, until the time of day has caught up.
 */
START_TEST(endpoint_outdated_by_an_earlier_run_is_announced_above_it)
{
	struct fixture fx;

	open_fixture(&fx, 1);
	fx.known_incarnation =
	    (uint64_t)atomic_load(&fx.now) + 3600 * (uint64_t)NSEC_PER_SEC;
	start_fixture_agent(&fx, NULL);
	WAIT_UNTIL(get_last_watch(&fx, 0).table_version == 5);
	ck_assert_int_eq(announce_endpoint(fx.agent, &node_endpoint), 0);
	ADVANCE_UNTIL(
	    &fx, get_last_watch(&fx, 0).incarnation > fx.known_incarnation);
	/* accepted, so it is neither sent nor raised again */
	publish_next_version(&fx, 0, 20);
	ADVANCE_UNTIL(&fx, get_last_watch(&fx, 0).table_version == 6);
	ck_assert(!get_last_watch(&fx, 0).has_self);
	close_fixture(&fx);
}
END_TEST

/*
 * The same, and the control process has been started again, too, and lacks the
 * record of the last run, which others have. Guards against an endpoint that it
 * accepts and the others refuse.
 */
START_TEST(endpoint_is_announced_above_the_stamps_of_control_processes)
{
	struct fixture fx;

	open_fixture(&fx, 1);
	fx.stamp_ns = atomic_load(&fx.now) + 3600 * NSEC_PER_SEC;
	fx.events = open_event_log(get_fixture_clock(&fx), "node-1", 64);
	start_fixture_agent(&fx, NULL);
	ck_assert_int_eq(announce_endpoint(fx.agent, &node_endpoint), 0);
	ADVANCE_UNTIL(&fx, get_last_watch(&fx, 0).has_self);
	ck_assert_uint_gt(
	    get_last_watch(&fx, 0).incarnation, (uint64_t)fx.stamp_ns);
	pthread_mutex_lock(&fx.lock);
	for (int i = 0; i < fx.controls[0].watch_count; i++)
		ck_assert(!fx.controls[0].watches[i].has_self ||
			  fx.controls[0].watches[i].incarnation >
			      (uint64_t)fx.stamp_ns);
	pthread_mutex_unlock(&fx.lock);
	close_fixture(&fx);
	close_event_log(fx.events);
}
END_TEST

static bool
has_set(struct fixture *fx)
{
	const struct endpoint_set *set =
	    acquire_endpoints(fx->agent, make_str("svc"));

	release_endpoints(fx->agent, set);
	return set != NULL;
}

/* Guards against a service that is called but never subscribed to. */
START_TEST(first_use_subscribes_to_the_service)
{
	const struct endpoint_set *set = NULL;
	struct buf status = {0};
	struct fixture fx;

	open_fixture(&fx, 1);
	start_fixture_agent(&fx, NULL);
	WAIT_UNTIL(get_last_watch(&fx, 0).table_version == 5);
	ck_assert_int_eq(get_last_watch(&fx, 0).interest_count, 0);
	ck_assert_ptr_null(acquire_endpoints(fx.agent, make_str("svc")));
	ADVANCE_UNTIL(&fx, has_set(&fx));
	set = acquire_endpoints(fx.agent, make_str("svc"));
	ck_assert_uint_eq(set->count, 1);
	ck_assert_str_eq(set->endpoints[0].id, "n1");
	release_endpoints(fx.agent, set);
	ADVANCE_UNTIL(&fx, get_last_watch(&fx, 0).set_version == 3);
	ck_assert_uint_eq(get_last_watch(&fx, 0).registry, 100);
	ck_assert_int_eq(render_agent_status(fx.agent, &status), 0);
	ck_assert_ptr_nonnull(strstr(status.data, "\"service\":\"svc\""));
	ck_assert_ptr_nonnull(strstr(status.data, "\"version\":5"));
	unload_buf(&status);
	close_fixture(&fx);
}
END_TEST

/* The result of a claim request. */
struct outcome {
	atomic_int done;
	int status, http_status;
	char answer[16];
};

static void
record_claim_result(void *arg, const struct claim_result *result)
{
	struct outcome *o = arg;

	o->status = result->status;
	o->http_status = result->http_status;
	(void)copy_str(o->answer, sizeof(o->answer), result->answer);
	atomic_fetch_add(&o->done, 1);
}

static void
start_claim(struct fixture *fx, struct outcome *o, enum wire_claim_state state,
    int timeout_ms)
{
	struct claim_request req = {.kind = make_str("read"),
	    .key = make_str("key-1"),
	    .claim_id = {1, 2, 3},
	    .state = state,
	    .keep_s = 60,
	    .timeout_ms = timeout_ms};

	memset(o, 0, sizeof(*o));
	ck_assert_int_eq(
	    request_claim(fx->agent, &req, record_claim_result, o), 0);
}

struct claim_case {
	const char *name;
	enum fake_claim_mode first_mode, second_mode; /* of control 0 and 1 */
	int want;
	bool closed; /* as not run, afterwards */
};

static const struct claim_case claim_cases[] = {
    {"granted", CLAIM_MODE_GRANT, CLAIM_MODE_GRANT, 0, false},
    {"held by another", CLAIM_MODE_CONFLICT, CLAIM_MODE_CONFLICT, ERR_CONFLICT,
	false},
    {"answer lost, granted elsewhere", CLAIM_MODE_NO_REPLY, CLAIM_MODE_GRANT, 0,
	false},
    {"no quorum, granted elsewhere", CLAIM_MODE_NO_QUORUM, CLAIM_MODE_GRANT, 0,
	false},
    {"no quorum anywhere", CLAIM_MODE_NO_QUORUM, CLAIM_MODE_NO_QUORUM,
	ERR_UNAVAILABLE, true},
    {"all answers lost", CLAIM_MODE_NO_REPLY, CLAIM_MODE_NO_REPLY,
	ERR_UNAVAILABLE, true},
};

/*
 * Guards against a claim that stays open although its node got no grant, and
 * against a second claim id for the same call.
 */
START_TEST(claim_fails_over_and_is_closed_as_not_run)
{
	const struct claim_case *c = &claim_cases[_i];
	bool closed = false;
	struct outcome o;
	struct fixture fx;

	open_fixture(&fx, 2);
	atomic_store(&fx.controls[0].claim_mode, c->first_mode);
	atomic_store(&fx.controls[1].claim_mode, c->second_mode);
	start_fixture_agent(&fx, NULL);
	WAIT_UNTIL(get_last_watch(&fx, 0).table_version == 5);
	start_claim(&fx, &o, WIRE_CLAIM_OPEN, 20000);
	ADVANCE_UNTIL(&fx, atomic_load(&o.done) > 0);
	ck_assert_msg(
	    o.status == c->want, "%s: %s", c->name, get_err_name(o.status));
	if (c->want == ERR_CONFLICT) {
		ck_assert_int_eq(o.http_status, 201);
		ck_assert_str_eq(o.answer, "paid");
	}
	atomic_store(&fx.controls[0].claim_mode, CLAIM_MODE_GRANT);
	atomic_store(&fx.controls[1].claim_mode, CLAIM_MODE_GRANT);
	for (int k = 0; c->closed && !closed && k < 3000; k++) {
		advance_fixture(&fx, 20);
		sleep_one_ms();
		pthread_mutex_lock(&fx.lock);
		for (int i = 0; i < 2; i++) {
			const struct fake_control *x = &fx.controls[i];

			closed |= x->claim_count > 0 &&
				  x->claims[x->claim_count - 1].state ==
				      WIRE_CLAIM_NOT_RUN;
		}
		pthread_mutex_unlock(&fx.lock);
	}
	ck_assert_msg(closed == c->closed, "%s", c->name);
	ck_assert_int_eq(atomic_load(&o.done), 1);
	for (int i = 0; i < 2; i++) {
		for (int k = 0; k < count_claims(&fx, i); k++)
			ck_assert_mem_eq(
			    fx.controls[i].claims[k].id, "\1\2\3\0", 4);
	}
	close_fixture(&fx);
}
END_TEST

/* Guards against a caller that waits forever when the node stops. */
START_TEST(stop_reports_every_claim_once)
{
	struct outcome o[3];
	struct fixture fx;

	open_fixture(&fx, 1);
	atomic_store(&fx.controls[0].claim_mode, CLAIM_MODE_NO_REPLY);
	start_fixture_agent(&fx, NULL);
	WAIT_UNTIL(get_last_watch(&fx, 0).table_version == 5);
	for (int i = 0; i < 3; i++)
		start_claim(&fx, &o[i],
		    i == 2 ? WIRE_CLAIM_RAN : WIRE_CLAIM_OPEN, 60000);
	WAIT_UNTIL(count_claims(&fx, 0) == 3);
	stop_agent(fx.agent);
	fx.agent = NULL;
	for (int i = 0; i < 3; i++) {
		ck_assert_int_eq(atomic_load(&o[i].done), 1);
		ck_assert_int_eq(
		    o[i].status, i == 2 ? ERR_UNKNOWN : ERR_UNAVAILABLE);
	}
	close_fixture(&fx);
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

/* Guards against a claim that its message cannot carry. */
START_TEST(bad_claim_is_refused_at_once)
{
	static const char answer[WIRE_ANSWER_MAX + 1];
	const struct bad_claim_case *c = &bad_claim_cases[_i];
	struct claim_request req = {.kind = make_str(c->kind),
	    .key = make_str(c->key),
	    .timeout_ms = c->timeout_ms,
	    .answer = make_str_n(answer, c->answer_len)};
	struct outcome o = {0};
	struct fixture fx;

	open_fixture(&fx, 1);
	start_fixture_agent(&fx, NULL);
	ck_assert_int_eq(request_claim(fx.agent, &req, record_claim_result, &o),
	    ERR_INVALID);
	close_fixture(&fx);
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
	tcase_add_test(t, new_version_replaces_the_old_one);
	tcase_add_loop_test(t, bad_reply_changes_nothing_and_is_recovered, 0,
	    COUNT(fault_cases));
	tcase_add_test(t, older_control_sends_plain_replies);
	tcase_add_test(t, invalid_version_is_fetched_once_per_control);
	tcase_add_test(t, node_without_a_table_leaves_a_stale_control);
	tcase_add_test(t, limited_node_retries_the_same_control);
	tcase_add_test(t, unresponsive_control_is_left_when_overdue);
	tcase_add_test(t, table_is_kept_while_all_controls_are_down);
	tcase_add_test(t, duplicate_and_reordered_replies_are_harmless);
	tcase_add_loop_test(t, news_that_came_twice_delays_no_watch, 0,
	    (int)(sizeof(twice_cases) / sizeof(twice_cases[0])));
	tcase_add_test(t, own_endpoint_is_sent_on_change_and_on_attachment);
	tcase_add_test(
	    t, endpoint_outdated_by_an_earlier_run_is_announced_above_it);
	tcase_add_test(
	    t, endpoint_is_announced_above_the_stamps_of_control_processes);
	tcase_add_test(t, first_use_subscribes_to_the_service);
	tcase_add_loop_test(t, claim_fails_over_and_is_closed_as_not_run, 0,
	    COUNT(claim_cases));
	tcase_add_test(t, stop_reports_every_claim_once);
	tcase_add_loop_test(
	    t, bad_claim_is_refused_at_once, 0, COUNT(bad_claim_cases));
	suite_add_tcase(s, t);
	run = srunner_create(s);
	srunner_run_all(run, CK_ENV);
	failed = srunner_ntests_failed(run);
	srunner_free(run);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
