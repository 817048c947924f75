/*
 * Log time compared with real time. Retention periods are counted in log time,
 * so it must never run faster than real time, whatever the members' clocks do.
 */
#include <check.h>

#include "group.h"
#include "log.h"

#define SECOND_MS 1000LL
#define HOUR_MS (3600 * SECOND_MS)
#define STEPS_MAX 14 /* of a case */
#define MOVE_TRIES_MAX 50 /* to move the leadership */

enum step_kind {
	STEP_END = 0,
	STEP_RUN, /* real time passes */
	STEP_COMMIT, /* commits a value and checks the log time */
	STEP_COMMIT_EXACT, /* also: log time is not slower than real time */
	STEP_SET_WALL, /* the leader's wall clock jumps by ms */
	STEP_SET_OTHERS, /* the wall clocks of the followers jump by ms */
	STEP_MOVE_LEADER, /* another member becomes the leader */
	STEP_RESTART_LEADER, /* down for ms */
	STEP_RESTART_OTHERS, /* both at once, down for ms; leader stalled */
	STEP_RESTART_ALL, /* down for ms; monotonic clocks restart */
	STEP_STALL_LEADER, /* process stopped for ms, the others run */
	STEP_SUSPEND_LEADER, /* the same; its monotonic clock stops too */
	STEP_LEAD_AGAIN, /* the first leader becomes the leader again */
};

struct step {
	enum step_kind kind;
	int64_t ms;
};

struct log_time_case {
	const char *name;
	struct step steps[STEPS_MAX];
};

/* State of a running case. */
struct case_state {
	struct group *g;
	uint64_t first_leader;
	bool has_commit;
	int64_t real_ns, log_ns; /* at the last commit */
};

static const struct log_time_case cases[] = {
    {"no fault",
	{{STEP_COMMIT, 0}, {STEP_RUN, SECOND_MS}, {STEP_COMMIT_EXACT, 0},
	    {STEP_RUN, HOUR_MS / 60}, {STEP_COMMIT_EXACT, 0}}},
    {"leader's clock jumps ahead",
	{{STEP_COMMIT, 0}, {STEP_SET_WALL, 48 * HOUR_MS},
	    {STEP_COMMIT_EXACT, 0}, {STEP_RUN, SECOND_MS},
	    {STEP_COMMIT_EXACT, 0}}},
    {"leader's clock jumps back",
	{{STEP_COMMIT, 0}, {STEP_SET_WALL, -48 * HOUR_MS},
	    {STEP_COMMIT_EXACT, 0}, {STEP_RUN, SECOND_MS},
	    {STEP_COMMIT_EXACT, 0}}},
    {"ahead and back again",
	{{STEP_COMMIT, 0}, {STEP_SET_WALL, HOUR_MS}, {STEP_COMMIT_EXACT, 0},
	    {STEP_SET_WALL, -HOUR_MS}, {STEP_RUN, SECOND_MS},
	    {STEP_COMMIT_EXACT, 0}}},
    {"new leader with a clock ahead",
	{{STEP_COMMIT, 0}, {STEP_SET_OTHERS, 48 * HOUR_MS},
	    {STEP_MOVE_LEADER, 0}, {STEP_COMMIT, 0}, {STEP_RUN, SECOND_MS},
	    {STEP_COMMIT_EXACT, 0}}},
    {"new leader with a clock behind",
	{{STEP_COMMIT, 0}, {STEP_SET_OTHERS, -48 * HOUR_MS},
	    {STEP_MOVE_LEADER, 0}, {STEP_COMMIT, 0}, {STEP_RUN, SECOND_MS},
	    {STEP_COMMIT_EXACT, 0}}},
    {"restart of the leader with a clock ahead",
	{{STEP_COMMIT, 0}, {STEP_SET_WALL, HOUR_MS},
	    {STEP_RESTART_LEADER, 5 * SECOND_MS}, {STEP_COMMIT, 0},
	    {STEP_RUN, SECOND_MS}, {STEP_COMMIT_EXACT, 0}}},
    {"restart of all after a long time",
	{{STEP_COMMIT, 0}, {STEP_RESTART_ALL, 100 * HOUR_MS}, {STEP_COMMIT, 0},
	    {STEP_RUN, SECOND_MS}, {STEP_COMMIT_EXACT, 0},
	    {STEP_RESTART_ALL, HOUR_MS}, {STEP_COMMIT, 0}}},
    {"restart of all with a clock ahead",
	{{STEP_COMMIT, 0}, {STEP_RESTART_ALL, SECOND_MS},
	    {STEP_SET_WALL, 48 * HOUR_MS}, {STEP_COMMIT, 0},
	    {STEP_RUN, SECOND_MS}, {STEP_COMMIT_EXACT, 0}}},
    {"leader's process stopped",
	{{STEP_COMMIT, 0}, {STEP_STALL_LEADER, 100 * SECOND_MS},
	    {STEP_COMMIT, 0}, {STEP_LEAD_AGAIN, 0}, {STEP_COMMIT, 0},
	    {STEP_RUN, SECOND_MS}, {STEP_COMMIT_EXACT, 0}}},
    {"leader's machine suspended",
	{{STEP_COMMIT, 0}, {STEP_SUSPEND_LEADER, 100 * SECOND_MS},
	    {STEP_COMMIT, 0}, {STEP_LEAD_AGAIN, 0}, {STEP_COMMIT, 0},
	    {STEP_RUN, SECOND_MS}, {STEP_COMMIT_EXACT, 0}}},
    /* Time without a leader does not count, even if the old leader ran on. */
    {"old leader leads again after a gap",
	{{STEP_COMMIT, 0}, {STEP_RESTART_OTHERS, HOUR_MS}, {STEP_COMMIT, 0},
	    {STEP_LEAD_AGAIN, 0}, {STEP_COMMIT, 0}, {STEP_RUN, SECOND_MS},
	    {STEP_COMMIT_EXACT, 0}}},
};

#define CASE_COUNT (int)(sizeof(cases) / sizeof(cases[0]))

/*
 * Commits one value and checks that log time has not advanced more than real
 * time since the last commit; with exact, that it has not advanced less either,
 * since a log time that never advances would pass otherwise. All members must
 * have the same log time.
 */
static void
check_commit(struct case_state *x, bool exact)
{
	struct group *g = x->g;
	uint64_t lead = find_group_leader(g);
	int64_t real = g->pc.mono_ns, log;
	struct outcome o;

	ck_assert_uint_ne(lead, 0);
	ck_assert_int_eq(propose_value(g, lead, &o), 0);
	settle_group(g);
	ck_assert(o.done);
	ck_assert_int_eq(o.status, 0);
	log = g->member[lead].log_ns;
	if (x->has_commit) {
		ck_assert_int_ge(log, x->log_ns);
		ck_assert_int_le(log - x->log_ns, real - x->real_ns);
	}
	if (x->has_commit && exact)
		ck_assert_int_eq(log - x->log_ns, real - x->real_ns);
	x->has_commit = true;
	x->real_ns = real;
	x->log_ns = log;
	run_group(g, 2 * REPLICA_HEARTBEAT_MS);
	for (uint64_t id = 1; id <= 3; id++)
		ck_assert_int_eq(g->member[id].log_ns, log);
}

/*
 * Moves the leadership to another member or, if wanted is not 0, to that one.
 */
static void
move_leader(struct group *g, uint64_t wanted)
{
	uint64_t old_leader = find_group_leader(g), now = old_leader;

	for (int i = 0; i < MOVE_TRIES_MAX; i++) {
		if (wanted != 0 ? now == wanted : now != old_leader)
			return;
		/* Transfers may go back and forth between two members. */
		if (now != 0 && wanted == 0)
			(void)transfer_replica_leadership(g->member[now].r);
		else if (now != 0)
			block_member(g, now, true, true);
		run_group(g, 1500);
		memset(g->blocked, 0, sizeof(g->blocked));
		run_group(g, 1500);
		now = find_group_leader(g);
	}
	ck_abort_msg("the leadership does not move");
}

/*
 * Crashes the members in mask (bit id), lets ms pass and starts them again;
 * with boot, their monotonic clocks restart.
 */
static void
restart_members(struct group *g, uint64_t mask, int64_t ms, bool boot)
{
	for (uint64_t id = 1; id <= 3; id++) {
		if ((mask >> id & 1) != 0)
			stop_member(g, id, true);
	}
	if (ms <= 10 * SECOND_MS && mask != 0xe)
		run_group(g, (int)ms);
	else
		advance_clock(&g->pc, ms * NSEC_PER_MSEC);
	for (uint64_t id = 1; id <= 3; id++) {
		if ((mask >> id & 1) == 0)
			continue;
		if (boot)
			g->member[id].mono_offset =
			    (int64_t)id * NSEC_PER_SEC - g->pc.mono_ns;
		ck_assert_int_eq(start_member(g, id, NULL), 0);
	}
}

/*
 * Stops the leader's thread for ms while the others elect a new leader.
 */
static void
stall_leader(struct group *g, int64_t ms, bool suspend)
{
	struct member *m = &g->member[find_group_leader(g)];

	m->stalled = true;
	block_member(g, m->id, true, true);
	run_group(g, (int)ms);
	memset(g->blocked, 0, sizeof(g->blocked));
	if (suspend)
		m->mono_offset -= ms * NSEC_PER_MSEC;
	m->stalled = false;
	run_group(g, 1500);
}

/*
 * Stalls the leader, restarts the others after ms and lets them elect a new
 * one.
 */
static void
restart_others(struct group *g, int64_t ms)
{
	uint64_t lead = find_group_leader(g);

	g->member[lead].stalled = true;
	block_member(g, lead, true, true);
	restart_members(g, 0xeu & ~(1u << lead), ms, false);
	run_group(g, 3000);
	memset(g->blocked, 0, sizeof(g->blocked));
	g->member[lead].stalled = false;
	run_group(g, 1500);
	ck_assert_uint_ne(find_group_leader(g), lead);
}

/*
 * Runs one step of a case.
 */
static void
run_step(struct case_state *x, const struct step *s)
{
	struct group *g = x->g;
	uint64_t lead = find_group_leader(g);

	switch (s->kind) {
	case STEP_END:
		break;
	case STEP_RUN:
		run_group(g, (int)s->ms);
		break;
	case STEP_COMMIT:
	case STEP_COMMIT_EXACT:
		check_commit(x, s->kind == STEP_COMMIT_EXACT);
		break;
	case STEP_SET_WALL:
	case STEP_SET_OTHERS:
		for (uint64_t id = 1; id <= 3; id++) {
			if ((id == lead) == (s->kind == STEP_SET_WALL))
				g->member[id].wall_offset +=
				    s->ms * NSEC_PER_MSEC;
		}
		break;
	case STEP_MOVE_LEADER:
	case STEP_LEAD_AGAIN:
		move_leader(
		    g, s->kind == STEP_MOVE_LEADER ? 0 : x->first_leader);
		break;
	case STEP_RESTART_LEADER:
		restart_members(g, 1u << lead, s->ms, false);
		run_group(g, 3000);
		break;
	case STEP_RESTART_OTHERS:
		restart_others(g, s->ms);
		break;
	case STEP_RESTART_ALL:
		restart_members(g, 0xe, s->ms, true);
		run_group(g, 3000);
		break;
	case STEP_STALL_LEADER:
	case STEP_SUSPEND_LEADER:
		stall_leader(g, s->ms, s->kind == STEP_SUSPEND_LEADER);
		break;
	}
}

/*
 * Guards against a retention period that ends early, after which a resent call
 * would run a second time. Each case runs with a long log and with snapshots
 * only.
 */
START_TEST(log_time_is_never_faster_than_real_time)
{
	const struct log_time_case *c = &cases[_i % CASE_COUNT];
	struct case_state x = {.g = open_group(23, 3)};

	set_log_level(LOG_LEVEL_ERR - 1);
	if (_i >= CASE_COUNT)
		x.g->snapshot_bytes = 1;
	for (uint64_t id = 1; id <= 3; id++) {
		stop_member(x.g, id, false);
		ck_assert_int_eq(start_member(x.g, id, NULL), 0);
	}
	run_group(x.g, 1500);
	x.first_leader = find_group_leader(x.g);
	for (int i = 0; i < STEPS_MAX && c->steps[i].kind != STEP_END; i++)
		run_step(&x, &c->steps[i]);
	ck_assert_msg(x.g->failure[0] == '\0', "%s: %s", c->name, x.g->failure);
	close_group(x.g);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("log time");
	TCase *t = tcase_create("group");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_loop_test(
	    t, log_time_is_never_faster_than_real_time, 0, 2 * CASE_COUNT);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? 0 : 1;
}
