/*
 * Roll-outs: orders and phases in the replicated state and its snapshots, and
 * the leader's decisions from the reports of nodes.
 */
#include "fleet_fixture.h"
#include "state.h"

#define TEXT(s) ((char *)(uintptr_t)(s))
#define T0 (1700000000 * NSEC_PER_SEC)
#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

struct list_step {
	int64_t at_s; /* log time */
	const char *service; /* NULL: a decision */
	const char *target;
	unsigned int duration_ms;
	uint64_t number; /* of a decision */
	int phase; /* that it begins */
	int want; /* status */
	int want_phase; /* of service "svc" afterwards */
};

static const struct list_step list_steps[] = {
    {0, "svc", "v2", 5999, 0, 0, ERR_INVALID, -1},
    {0, "svc", "", 12000, 0, 0, ERR_INVALID, -1},
    {0, "nobody", "v2", 12000, 0, 0, ERR_NOT_FOUND, -1},
    {0, "svc", "v2", 12000, 0, 0, 0, ROLLOUT_TRIAL},
    /* a resent order is the same one; another one has to wait */
    {1, "svc", "v2", 12000, 0, 0, 0, ROLLOUT_TRIAL},
    {1, "svc", "v3", 12000, 0, 0, ERR_CONFLICT, ROLLOUT_TRIAL},
    {2, NULL, NULL, 0, 1, ROLLOUT_MOVED, 0, ROLLOUT_MOVED},
    /* a decision of an earlier leader comes late */
    {2, NULL, NULL, 0, 1, ROLLOUT_TRIAL, 0, ROLLOUT_MOVED},
    {2, NULL, NULL, 0, 7, ROLLOUT_COMPLETED, 0, ROLLOUT_MOVED},
    {3, NULL, NULL, 0, 1, ROLLOUT_ROLLED_BACK, 0, ROLLOUT_ROLLED_BACK},
    {3, NULL, NULL, 0, 1, ROLLOUT_COMPLETED, 0, ROLLOUT_ROLLED_BACK},
    {4, "svc", "v2", 12000, 0, 0, 0, ROLLOUT_ROLLED_BACK},
    {13, "svc", "v2", 12000, 0, 0, 0, ROLLOUT_TRIAL}, /* a new order */
};

static int
apply_step(struct state *s, const struct list_step *p)
{
	struct command c = {.author = TEXT(""), .key = TEXT("")};
	struct buf bytes = {0}, result = {0};
	struct command_result r;
	int status;

	if (p->service != NULL) {
		c.body.type = COMMAND_ROLLOUT;
		c.body.command_body_u.rollout = (struct command_rollout){
		    TEXT(p->service), TEXT(p->target), p->duration_ms};
	} else {
		c.body.type = COMMAND_ROLLOUT_STEP;
		c.body.command_body_u.rollout_step =
		    (struct command_rollout_step){
			p->number, p->phase, TEXT("because")};
	}
	ck_assert_int_eq(encode_command(&c, &bytes), 0);
	apply_state(
	    s, T0 + p->at_s * NSEC_PER_SEC, 0, view_buf(&bytes), &result);
	ck_assert_int_eq(decode_command_result(view_buf(&result), &r), 0);
	status = r.status;
	ck_assert(status == 0 || r.text[0] != '\0');
	unload_command_result(&r);
	unload_buf(&bytes);
	unload_buf(&result);
	return status;
}

static struct state *
open_table_state(void)
{
	struct command c = {.author = TEXT("anna"), .key = TEXT("k")};
	struct buf bytes = {0}, result = {0};
	struct state *s = NULL;

	ck_assert_int_eq(open_state(CLAIMS_MAX, &s), 0);
	c.body.type = COMMAND_IMPORT;
	c.body.command_body_u.import.csv.csv_val = TEXT(FLEET_TABLE);
	c.body.command_body_u.import.csv.csv_len = strlen(FLEET_TABLE);
	ck_assert_int_eq(encode_command(&c, &bytes), 0);
	apply_state(s, T0, 0, view_buf(&bytes), &result);
	ck_assert_uint_eq(s->table->version, 1);
	unload_buf(&bytes);
	unload_buf(&result);
	return s;
}

/*
 * Guards against a resent order that is refused or begins again, a second
 * roll-out beside the first, a phase that goes back, and one that a snapshot
 * loses.
 */
START_TEST(orders_and_phases_keep_their_order)
{
	struct state *s = open_table_state(), *copy = NULL;
	struct buf before = {0}, after = {0};
	struct fault f;

	for (size_t i = 0; i < COUNT(list_steps); i++) {
		const struct list_step *p = &list_steps[i];
		const struct rollout *r;

		ck_assert_msg(apply_step(s, p) == p->want, "step %zu", i);
		r = find_rollout(&s->rollouts, "svc");
		ck_assert_msg((r != NULL ? (int)r->phase : -1) == p->want_phase,
		    "step %zu: phase", i);
	}
	ck_assert_int_eq(save_state(s, &before), 0);
	ck_assert_int_eq(open_state(CLAIMS_MAX, &copy), 0);
	ck_assert_int_eq(load_state(copy, view_buf(&before), &f), 0);
	ck_assert_uint_eq(copy->rollouts.change, s->rollouts.change);
	ck_assert_int_eq(save_state(copy, &after), 0);
	ck_assert(is_str_equal(view_buf(&before), view_buf(&after)));
	unload_buf(&before);
	unload_buf(&after);
	close_state(copy);
	close_state(s);
}
END_TEST

/* A state without roll-outs has the bytes that it had before them. */
START_TEST(no_rollout_leaves_snapshots_alone)
{
	struct state *s = open_table_state();
	struct buf b = {0};
	enum stored_type type = STORED_HEAD;
	struct str data, body;

	ck_assert_int_eq(save_state(s, &b), 0);
	data = view_buf(&b);
	while (data.len > 0) {
		ck_assert_int_eq(read_stored(&data, &type, &body), 0);
		ck_assert_int_ne((int)type, STORED_ROLLOUT);
	}
	ck_assert_int_eq((int)type, STORED_END);
	unload_buf(&b);
	close_state(s);
}
END_TEST

/* What the servers of a fleet answer, as its nodes report it. */
struct verdict_case {
	const char *name;
	unsigned int failed; /* of 10 answers of the new version a report */
	int bucket; /* latency of the others */
	unsigned int old_running; /* calls that never end at the old version */
	const char *want;
};

static const struct verdict_case verdict_cases[] = {
    {"good", 0, 12, 0, "completed"},
    {"good, a call hangs at the old version", 0, 12, 1, "completed"},
    {"fails", 4, 12, 0, "rolled_back"},
    {"slow", 0, 17, 0, "rolled_back"},
};

/*
 * Sends a report to a control process and returns the phase in its answer, -1
 * without one.
 */
static int
send_report(struct rpc_peer *p, const struct verdict_case *c, uint64_t seq,
    uint64_t held)
{
	unsigned int fast[ROLLOUT_BUCKETS] = {0}, tried[ROLLOUT_BUCKETS] = {0};
	unsigned int n = (unsigned int)seq;
	struct wire_rollout_counts counts[] = {
	    {.number = 1,
		.row = TEXT("a"),
		.answers = 40 * n,
		.latency = {ROLLOUT_BUCKETS, fast}},
	    {.number = 1,
		.row = TEXT("a"),
		.target = true,
		.answers = 10 * n,
		.failed = c->failed * n,
		.latency = {ROLLOUT_BUCKETS, tried}},
	};
	struct wire_rollouts_args a = {.node = TEXT("node-1"),
	    .incarnation = 1,
	    .seq = seq,
	    .held = held,
	    .service = TEXT("svc"),
	    .server_version = TEXT("v1"),
	    .running = c->old_running,
	    .counts = {COUNT(counts), counts}};
	struct buf args = {0}, body = {0};
	struct wire_rollouts_reply r = {0};
	int phase = -1;

	fast[12] = 40 * n;
	tried[c->bucket] = (10 - c->failed) * n;
	ck_assert_int_eq(
	    encode_wire((xdrproc_t)xdr_wire_rollouts_args, &a, &args), 0);
	if (call_rpc_wait(p, GGS_ROLLOUTS, view_buf(&args), 1000, &body) == 0 &&
	    decode_wire(
		(xdrproc_t)xdr_wire_rollouts_reply, view_buf(&body), &r) == 0) {
		if (r.status == WIRE_OK && r.rollouts.rollouts_len == 1)
			phase = r.rollouts.rollouts_val[0].phase;
		unload_wire((xdrproc_t)xdr_wire_rollouts_reply, &r);
	}
	unload_buf(&args);
	unload_buf(&body);
	return phase;
}

/*
 * A follower gets the reports, the leader decides, and every process tells the
 * same end. Guards against evidence that is lost on the way or counted twice,
 * and a verdict that is not replicated.
 */
START_TEST(reports_decide_the_end)
{
	const struct verdict_case *c = &verdict_cases[_i];
	struct control_rollout r;
	struct table *t = NULL;
	struct rpc_peer *p;
	struct fault f;
	size_t leader, follower;
	int phase = ROLLOUT_TRIAL;

	open_fleet(3, 0, NULL);
	leader = wait_leader();
	follower = (leader + 1) % 3;
	ck_assert_int_eq(load_table_csv(make_str(FLEET_TABLE), 1, &t, NULL), 0);
	ck_assert_int_eq(replace_control_table(fleet.members[leader].control, 0,
			     t, make_str("text"), &f),
	    0);
	unload_table(t);
	ck_assert_int_eq(start_control_rollout(fleet.members[follower].control,
			     "svc", "v2", 6, &f),
	    0);
	p = open_node(follower);
	for (uint64_t seq = 1;
	     seq < 200 && (phase == ROLLOUT_TRIAL || phase == ROLLOUT_MOVED);
	     seq++) {
		int told =
		    send_report(p, c, seq, phase == ROLLOUT_MOVED ? 2 : 1);

		if (told >= 0)
			phase = told;
		/* An earlier report that arrives again counts nothing. */
		(void)send_report(p, c, 1, 1);
		sleep_ms(50);
	}
	for (size_t i = 0; i < 3; i++) {
		int rc = ERR_UNAVAILABLE;

		for (int k = 0; k < 20 && rc != 0; k++)
			rc = read_control_rollout(
			    fleet.members[i].control, "svc", &r);
		ck_assert_msg(rc == 0, "%s: process %zu: %s", c->name, i,
		    get_err_name(rc));
		ck_assert_msg(strcmp(r.state, c->want) == 0, "%s: %s, %s",
		    c->name, r.state, r.reason);
		ck_assert_str_eq(r.target, "v2");
		ck_assert_str_ne(r.reason, "");
	}
	close_fleet();
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("rollouts");
	TCase *t = tcase_create("rollouts");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_test(t, orders_and_phases_keep_their_order);
	tcase_add_test(t, no_rollout_leaves_snapshots_alone);
	tcase_add_loop_test(t, reports_decide_the_end, 0, COUNT(verdict_cases));
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
