/*
 * Explores schedules of a group of cores: seeded random ones with all kinds of
 * faults, and all short ones over a small set of actions.
 */
#include <check.h>

#include "sim.h"

#define EXPLORE_SEEDS 500
#define EXPLORE_STEPS 3000
#define EXHAUSTIVE_DEPTH 4
#define IN_FLIGHT_MAX 200 /* messages; beyond it, random ones are lost */

/* The faults in a group of random schedules. */
struct explore_case {
	const char *name;
	uint64_t voters;
	int drop_pct, dup_pct, reorder_pct; /* of deliveries */
	int crash, change, compact; /* per 1000 fault steps */
	bool partition;
	bool uneven_speed; /* nodes tick at different rates */
};

static const struct explore_case cases[] = {
    {"calm", 3, 0, 0, 0, 0, 0, 50, false, false},
    {"loss", 3, 20, 0, 0, 0, 0, 50, false, true},
    {"reorder", 3, 5, 10, 50, 0, 0, 50, false, true},
    {"partition", 3, 2, 2, 10, 0, 0, 50, true, true},
    {"crash", 3, 2, 2, 10, 100, 0, 50, false, true},
    {"change", 3, 2, 2, 10, 20, 600, 50, true, true},
    {"five", 5, 2, 2, 20, 100, 0, 30, true, true},
    {"all", 3, 10, 5, 30, 100, 300, 50, true, true},
};

/* A part of a schedule with constant speeds and probabilities. */
struct phase {
	int left; /* steps until the next phase */
	uint64_t speed[SIM_NODES]; /* relative tick rates */
	uint64_t speed_sum;
	int store_pct; /* of steps */
	int propose_pct;
};

/*
 * Returns a random node that leads, or node 1 if none does.
 */
static uint64_t
draw_leader(struct sim *s)
{
	uint64_t start = draw_below(&s->rng, SIM_NODES);

	for (uint64_t i = 0; i < SIM_NODES; i++) {
		uint64_t n = (start + i) % SIM_NODES;

		if (n != 0 && s->node[n].core != NULL &&
		    get_raft_status(s->node[n].core).role == RAFT_LEADER)
			return n;
	}
	return 1;
}

/*
 * Starts a phase: draws which nodes are slow, which are partitioned and how
 * often nodes propose and store.
 */
static void
draw_phase(struct sim *s, const struct explore_case *c, struct phase *p)
{
	static const uint64_t speeds[] = {0, 1, 4, 8};
	uint64_t n = draw_below(&s->rng, 2) == 0 ?
			 draw_leader(s) :
			 1 + draw_below(&s->rng, SIM_NODES - 1);

	p->left = 20 + (int)draw_below(&s->rng, 300);
	p->store_pct = 5 + (int)draw_below(&s->rng, 25);
	p->propose_pct = (int)draw_below(&s->rng, 15);
	p->speed_sum = 0;
	for (int i = 1; i < SIM_NODES; i++) {
		p->speed[i] =
		    c->uneven_speed ? speeds[draw_below(&s->rng, 4)] : 1;
		p->speed_sum += p->speed[i];
	}
	s->append_entries = 1 + (size_t)draw_below(&s->rng, 8);
	heal_sim(s);
	if (!c->partition)
		return;
	switch (draw_below(&s->rng, 5)) {
	case 0:
		block_node(s, n, true, true);
		break;
	case 1:
		block_node(s, n, true, false);
		break;
	case 2:
		block_node(s, n, false, true);
		break;
	case 3:
		s->blocked[n][1 + draw_below(&s->rng, SIM_NODES - 1)] = true;
		break;
	default:
		break;
	}
}

/*
 * Delivers, duplicates or loses one message.
 */
static void
step_network(struct sim *s, const struct explore_case *c)
{
	size_t at = 0;
	int p;

	if (s->net_count == 0)
		return;
	if ((int)draw_below(&s->rng, 100) < c->reorder_pct)
		at = (size_t)draw_below(&s->rng, s->net_count);
	p = (int)draw_below(&s->rng, 100);
	if (p < c->drop_pct)
		drop_message(s, at);
	else
		deliver_message(s, at, p < c->drop_pct + c->dup_pct);
	while (s->net_count > IN_FLIGHT_MAX)
		drop_message(s, (size_t)draw_below(&s->rng, s->net_count));
}

/*
 * Injects one fault, or starts a crashed node again.
 */
static void
step_fault(struct sim *s, const struct explore_case *c)
{
	uint64_t n = 1 + draw_below(&s->rng, SIM_NODES - 1);
	uint64_t k = 1 + draw_below(&s->rng, SIM_NODES - 1);
	int p = (int)draw_below(&s->rng, 1000);
	bool known = s->node[n].disk.snapshot.members.count != 0 ||
		     s->node[n].disk.hard.term != 0;

	if (s->node[n].core == NULL) {
		if (draw_below(&s->rng, 8) == 0 && (known || c->change > 0))
			start_node(s, n);
	} else if (p < c->crash) {
		crash_node(s, n, (int)draw_below(&s->rng, 4));
		if (draw_below(&s->rng, 2) == 0)
			start_node(s, n);
	} else if ((p -= c->crash) < c->change) {
		change_node(s, draw_leader(s),
		    (enum raft_change_type)draw_below(&s->rng, 3), k);
	} else if ((p -= c->change) < c->compact) {
		compact_node(s, n);
	} else if (p < c->compact + 20) {
		transfer_raft_leadership(s->node[n].core, 0);
		run_node_output(s, n);
	}
}

/*
 * Ticks a random node, chosen by the relative speeds, one to four times.
 */
static void
step_ticks(struct sim *s, const struct phase *p)
{
	uint64_t at = draw_below(&s->rng, p->speed_sum);
	uint64_t n = 1;

	if (p->speed_sum == 0)
		return;
	while (at >= p->speed[n])
		at -= p->speed[n++];
	for (uint64_t i = 1 + draw_below(&s->rng, 4); i > 0; i--)
		tick_node(s, n);
}

/*
 * Runs one random step of a schedule.
 */
static void
step_explore(struct sim *s, const struct explore_case *c, struct phase *p)
{
	uint64_t n = 1 + draw_below(&s->rng, SIM_NODES - 1);
	int roll = (int)draw_below(&s->rng, 100);
	uint64_t index;

	if (p->left-- <= 0)
		draw_phase(s, c, p);
	if (roll < p->propose_pct)
		propose_node(s, draw_leader(s), &index);
	else if ((roll -= p->propose_pct) < p->store_pct)
		finish_store(s, n);
	else if ((roll -= p->store_pct) < 3)
		read_node(s, n);
	else if (roll < 6)
		step_fault(s, c);
	else if (roll < 14)
		step_ticks(s, p);
	else
		step_network(s, c);
}

/*
 * Guards against schedules that break consensus: two leaders in a term, logs
 * that differ, lost or changed commits, stale reads, and a group that does not
 * recover once the faults end.
 */
START_TEST(random_schedules_keep_invariants)
{
	const struct explore_case *c = &cases[_i];
	uint64_t reads = 0, commits = 0, loads = 0, elections = 0;

	for (uint64_t seed = 1; seed <= EXPLORE_SEEDS; seed++) {
		struct sim *s = open_sim(seed * 1000 + (uint64_t)_i, c->voters);
		struct phase p = {0};

		for (int k = 0; k < EXPLORE_STEPS && !s->failure[0]; k++) {
			step_explore(s, c, &p);
			if (k % 100 == 0)
				check_logs(s);
		}
		check_recovery(s);
		ck_assert_msg(s->failure[0] == '\0', "%s, seed %d: %s", c->name,
		    (int)seed, s->failure);
		reads += s->reads_done;
		commits += s->committed;
		loads += s->snapshots_loaded;
		elections += s->elections;
		close_sim(s);
	}
	/* Without these, schedules in which nothing happens would pass. */
	ck_assert_uint_gt(commits, EXPLORE_SEEDS * 10);
	ck_assert_uint_gt(reads, EXPLORE_SEEDS);
	if (c->uneven_speed)
		ck_assert_uint_gt(elections, EXPLORE_SEEDS * 3);
	if (c->drop_pct >= 10)
		ck_assert_uint_gt(loads, 0);
	printf("explore %s: %llu commits, %llu reads, %llu snapshots, "
	       "%llu elections\n",
	    c->name, (unsigned long long)commits, (unsigned long long)reads,
	    (unsigned long long)loads, (unsigned long long)elections);
}
END_TEST

enum action_kind {
	ACTION_DELIVER = 0, /* oldest message from one node to another */
	ACTION_DROP = 1, /* the same message is lost */
	ACTION_CAMPAIGN = 2,
	ACTION_PROPOSE = 3,
	ACTION_CRASH = 4, /* before the pending storage work, then restart */
	ACTION_READ = 5,
	ACTION_KINDS = 6,
};

/*
 * Runs the action of a code if it is possible now, and returns whether it was.
 * A code is kind * 9 + operand. The operand is 3 * (from - 1) + (to - 1) for
 * messages and (node - 1) for the other kinds.
 */
static bool
run_action(struct sim *s, int code)
{
	int kind = code / 9, operand = code % 9;
	uint64_t from = (uint64_t)operand / 3 + 1,
		 to = (uint64_t)operand % 3 + 1;
	uint64_t index;

	if (kind == ACTION_DELIVER || kind == ACTION_DROP) {
		for (size_t i = 0; i < s->net_count; i++) {
			if (s->net[i].from != from || s->net[i].to != to)
				continue;
			if (kind == ACTION_DELIVER)
				deliver_message(s, i, false);
			else
				drop_message(s, i);
			finish_store(s, to);
			return true;
		}
		return false;
	}
	if (operand >= 3)
		return false;
	from = (uint64_t)operand + 1;
	if (kind == ACTION_CAMPAIGN) {
		if (get_raft_status(s->node[from].core).role == RAFT_LEADER)
			return false;
		for (int i = 0; i < 2 * SIM_ELECTION_TICKS + 1; i++)
			tick_node(s, from);
		finish_store(s, from);
		return true;
	}
	if (kind == ACTION_READ)
		return read_node(s, from) == 0;
	if (kind == ACTION_PROPOSE) {
		if (propose_node(s, from, &index) != 0)
			return false;
		finish_store(s, from);
		return true;
	}
	crash_node(s, from, 0);
	start_node(s, from);
	return true;
}

/*
 * Runs the actions on a new group of three. *possible tells whether the last
 * one could run. The caller closes the group.
 */
static struct sim *
replay_actions(const int *codes, int count, bool *possible)
{
	struct sim *s = open_sim(7, 3);
	uint64_t index;

	/* Node 1 leads and has stored an entry that no other node has. */
	run_action(s, ACTION_CAMPAIGN * 9);
	settle_sim(s);
	propose_node(s, 1, &index);
	finish_store(s, 1);
	*possible = true;
	for (int i = 0; i < count; i++)
		*possible = run_action(s, codes[i]);
	return s;
}

/*
 * Runs all sequences that start with the first depth codes and have at most
 * limit actions. Returns how many were possible.
 */
static uint64_t
explore_all(int *codes, int depth, int limit)
{
	uint64_t runs = 0;
	bool possible;

	for (int code = 0; code < ACTION_KINDS * 9; code++) {
		struct sim *s;

		codes[depth] = code;
		if (code / 9 >= ACTION_CAMPAIGN && code % 9 >= 3)
			continue;
		if (code / 9 < ACTION_CAMPAIGN && code % 9 / 3 == code % 3)
			continue;
		s = replay_actions(codes, depth + 1, &possible);
		if (possible && depth + 1 == limit)
			settle_sim(s);
		if (possible)
			check_logs(s);
		ck_assert_msg(s->failure[0] == '\0',
		    "depth %d, last action %d: %s", depth + 1, code,
		    s->failure);
		close_sim(s);
		if (!possible)
			continue;
		runs++;
		if (depth + 1 < limit)
			runs += explore_all(codes, depth + 1, limit);
	}
	return runs;
}

/* Guards against faults that need one exact order of a few events. */
START_TEST(all_short_schedules_keep_invariants)
{
	int codes[EXHAUSTIVE_DEPTH];
	uint64_t runs = explore_all(codes, 0, EXHAUSTIVE_DEPTH);

	ck_assert_uint_gt(runs, 1000);
	printf(
	    "explore exhaustive: %llu schedules\n", (unsigned long long)runs);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("explore");
	TCase *t = tcase_create("schedules");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_loop_test(t, random_schedules_keep_invariants, 0,
	    (int)(sizeof(cases) / sizeof(cases[0])));
	tcase_add_test(t, all_short_schedules_keep_invariants);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? 0 : 1;
}
