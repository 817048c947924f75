/*
 * Fault cases of the consensus core, each as one scripted schedule.
 */
#include <check.h>

#include "sim.h"

struct fault_case {
	const char *name;
	void (*run)(struct sim *s); /* gets open_sim_with_leader(3) */
	/* Forged replies leave an inconsistent group: no check_recovery(). */
	bool forged_replies;
};

static struct raft_status
get_status(struct sim *s, uint64_t n)
{
	return get_raft_status(s->node[n].core);
}

/*
 * Opens a group that node 1 leads and whose members have all applied its first
 * entry and one value.
 */
static struct sim *
open_sim_with_leader(uint64_t voters)
{
	struct sim *s = open_sim(3, voters);
	uint64_t index;

	for (int i = 0; i < 2 * SIM_ELECTION_TICKS; i++)
		tick_node(s, 1);
	settle_sim(s);
	ck_assert_int_eq(get_status(s, 1).role, RAFT_LEADER);
	ck_assert_int_eq(propose_node(s, 1, &index), 0);
	settle_sim(s);
	run_sim(s, SIM_HEARTBEAT_TICKS);
	ck_assert_uint_eq(s->node[3].applied, 2);
	return s;
}

/*
 * Proposes values at node n, each of which is stored and delivered at once.
 */
static void
commit_values(struct sim *s, uint64_t n, int count)
{
	uint64_t index;

	for (int i = 0; i < count; i++) {
		ck_assert_int_eq(propose_node(s, n, &index), 0);
		settle_sim(s);
	}
}

/*
 * Runs the group until node n leads. If another node that n can reach wins, it
 * transfers the leadership to n.
 */
static void
elect_node(struct sim *s, uint64_t n)
{
	for (int i = 0; i < 200 && find_leader(s) != n; i++) {
		uint64_t lead;

		for (uint64_t k = 1; k < SIM_NODES; k++)
			tick_node(s, k);
		settle_sim(s);
		lead = find_leader(s);
		if (lead != 0 && lead != n &&
		    get_status(s, lead).term == get_status(s, n).term) {
			transfer_raft_leadership(s->node[lead].core, n);
			run_node_output(s, lead);
			settle_sim(s);
		}
	}
	ck_assert_uint_eq(find_leader(s), n);
}

static struct raft_message
build_message(
    enum raft_message_type type, uint64_t from, uint64_t to, uint64_t term)
{
	struct raft_message m = {0};

	m.type = type;
	m.from = from;
	m.to = to;
	m.term = term;
	return m;
}

/* One member gets no messages for a while and catches up afterwards. */
static void
drop_messages_to_member(struct sim *s)
{
	block_node(s, 3, true, false);
	commit_values(s, 1, 20);
	ck_assert_uint_eq(get_status(s, 1).commit, 22);
	heal_sim(s);
	run_sim(s, 3 * SIM_ELECTION_TICKS);
	ck_assert_uint_eq(s->node[3].applied, get_status(s, 1).last);
}

/* Messages that arrive twice commit nothing twice. */
static void
duplicate_messages(struct sim *s)
{
	uint64_t index;

	for (int i = 0; i < 20; i++) {
		propose_node(s, 1, &index);
		for (int k = 0; k < 3 && s->net_count > 0; k++)
			deliver_message(s, 0, true);
		settle_sim(s);
	}
	ck_assert_uint_eq(get_status(s, 1).commit, 22);
}

/* Messages arrive in reverse order. */
static void
reverse_messages(struct sim *s)
{
	uint64_t index;

	for (int i = 0; i < 10; i++)
		propose_node(s, 1, &index);
	for (int i = 0; i < 2000 && s->net_count > 0; i++) {
		deliver_message(s, s->net_count - 1, false);
		for (uint64_t n = 1; n <= 3; n++)
			finish_store(s, n);
	}
	run_sim(s, 2 * SIM_ELECTION_TICKS);
	ck_assert_uint_eq(s->node[2].applied, 12);
}

/* An APPEND of an old leader arrives after the next leader has committed. */
static void
delay_append(struct sim *s)
{
	struct raft_message delayed;
	uint64_t index;

	propose_node(s, 1, &index);
	delayed = dup_message(&s->net[0]);
	ck_assert_int_eq(delayed.type, RAFT_APPEND);
	while (s->net_count > 0)
		drop_message(s, 0);
	block_node(s, 1, true, true);
	elect_node(s, 2);
	commit_values(s, 2, 3);
	heal_sim(s);
	ck_assert_int_eq(step_raft(s->node[delayed.to].core, &delayed), 0);
	run_node_output(s, delayed.to);
	free_message(&delayed);
	run_sim(s, 3 * SIM_ELECTION_TICKS);
	ck_assert_uint_eq(s->node[1].applied, get_status(s, 2).last);
}

/* A partitioned leader must step down and must not serve stale reads. */
static void
partition_leader(struct sim *s)
{
	uint64_t index, done = s->reads_done;

	block_node(s, 1, true, true);
	ck_assert_int_eq(propose_node(s, 1, &index), 0);
	elect_node(s, 2);
	commit_values(s, 2, 3);
	read_node(s, 1);
	settle_sim(s);
	ck_assert_uint_eq(s->reads_done, done);
	for (int i = 0; i <= SIM_ELECTION_TICKS; i++)
		tick_node(s, 1);
	ck_assert_int_ne(get_status(s, 1).role, RAFT_LEADER);
	heal_sim(s);
	run_sim(s, 3 * SIM_ELECTION_TICKS);
	ck_assert_uint_eq(
	    s->node[1].applied, get_status(s, find_leader(s)).last);
}

/*
 * The leader receives from all members but reaches none: another must take
 * over.
 */
static void
block_leader_sends(struct sim *s)
{
	block_node(s, 1, false, true);
	run_sim(s, 6 * SIM_ELECTION_TICKS);
	ck_assert_int_ne(get_status(s, 1).role, RAFT_LEADER);
	ck_assert_uint_ne(find_leader(s), 0);
}

/*
 * As before, with one of the three members down: no member can win an election,
 * and the old leader must not stay leader either, although it receives
 * messages.
 */
static void
block_leader_of_two(struct sim *s)
{
	struct raft_message m = build_message(RAFT_PREVOTE, 2, 1, 0);

	crash_node(s, 3, 3);
	block_node(s, 1, false, true);
	m.term = get_status(s, 1).term + 1;
	for (int i = 0; i < 2 * SIM_ELECTION_TICKS; i++) {
		tick_node(s, 1);
		ck_assert_int_eq(step_raft(s->node[1].core, &m), 0);
		run_node_output(s, 1);
	}
	ck_assert_uint_eq(find_leader(s), 0);
}

/* The leader reaches all members but receives from none: it steps down. */
static void
block_leader_receives(struct sim *s)
{
	block_node(s, 1, true, false);
	run_sim(s, 6 * SIM_ELECTION_TICKS);
	ck_assert_int_ne(get_status(s, 1).role, RAFT_LEADER);
	ck_assert_uint_ne(find_leader(s), 0);
}

/* One member receives nothing: its elections must not disturb the leader. */
static void
isolate_member(struct sim *s)
{
	uint64_t term = get_status(s, 1).term;

	block_node(s, 3, true, false);
	run_sim(s, 10 * SIM_ELECTION_TICKS);
	ck_assert_int_eq(get_status(s, 1).role, RAFT_LEADER);
	heal_sim(s);
	run_sim(s, 4 * SIM_ELECTION_TICKS);
	ck_assert_int_eq(get_status(s, 1).role, RAFT_LEADER);
	ck_assert_uint_eq(get_status(s, 1).term, term);
}

/* A follower requests votes while the others have contact with the leader. */
static void
vote_in_lease(struct sim *s)
{
	struct raft_message m = build_message(RAFT_VOTE, 3, 2, 99);

	m.log_index = 99;
	m.log_term = 99;
	ck_assert_int_eq(step_raft(s->node[2].core, &m), 0);
	run_node_output(s, 2);
	ck_assert_uint_ne(get_status(s, 2).term, 99);
	m.to = 1;
	ck_assert_int_eq(step_raft(s->node[1].core, &m), 0);
	run_node_output(s, 1);
	ck_assert_int_eq(get_status(s, 1).role, RAFT_LEADER);
}

/* The leader crashes in each stage of storing an entry; no commit is lost. */
static void
crash_leader_in_store(struct sim *s)
{
	uint64_t index;

	for (int stage = 0; stage <= 3; stage++) {
		uint64_t lead = find_leader(s), commit = s->committed;

		ck_assert_int_eq(propose_node(s, lead, &index), 0);
		crash_node(s, lead, stage);
		run_sim(s, 6 * SIM_ELECTION_TICKS);
		ck_assert_uint_ne(find_leader(s), 0);
		start_node(s, lead);
		run_sim(s, 4 * SIM_ELECTION_TICKS);
		ck_assert_uint_ge(s->node[lead].applied, commit);
	}
}

/* A follower crashes in each stage of storing an entry, and catches up. */
static void
crash_follower_in_store(struct sim *s)
{
	uint64_t index;

	for (int stage = 0; stage <= 3; stage++) {
		ck_assert_int_eq(propose_node(s, 1, &index), 0);
		while (s->net_count > 0)
			deliver_message(s, 0, false);
		ck_assert(s->node[2].pending.used);
		crash_node(s, 2, stage);
		start_node(s, 2);
		run_sim(s, 4 * SIM_ELECTION_TICKS);
		ck_assert_uint_ge(s->node[2].applied, index);
	}
}

/* A disk loses acknowledged entries; the leader sends them again. */
static void
lose_acknowledged_tail(struct sim *s)
{
	commit_values(s, 1, 5);
	crash_node(s, 2, 3);
	truncate_disk(&s->node[2].disk, 4);
	start_node(s, 2);
	for (int i = 0; i < 2 * SIM_ELECTION_TICKS; i++) {
		tick_node(s, 1);
		settle_sim(s);
	}
	ck_assert_int_eq(get_status(s, 1).role, RAFT_LEADER);
	ck_assert_uint_eq(s->node[2].applied, get_status(s, 1).last);
}

/* A granted vote leaves only after it is stored. */
static void
reply_after_store(struct sim *s)
{
	struct raft_message m = build_message(RAFT_VOTE, 3, 2, 9);

	m.log_index = 99;
	m.log_term = 9;
	m.context = 1; /* as in a leadership transfer */
	ck_assert_int_eq(step_raft(s->node[2].core, &m), 0);
	run_node_output(s, 2);
	ck_assert_uint_eq(s->net_count, 0);
	finish_store(s, 2);
	ck_assert_uint_eq(s->net_count, 1);
	ck_assert_int_eq(s->net[0].type, RAFT_VOTE_REPLY);
	ck_assert(!s->net[0].reject);
}

/* A member that has voted must not vote for another in the same term. */
static void
vote_once(struct sim *s)
{
	struct raft_message m = build_message(RAFT_VOTE, 3, 2, 9);

	reply_after_store(s);
	drop_message(s, 0);
	crash_node(s, 2, 0);
	start_node(s, 2);
	m.from = 1;
	m.log_index = 99;
	m.log_term = 9;
	ck_assert_int_eq(step_raft(s->node[2].core, &m), 0);
	run_node_output(s, 2);
	finish_store(s, 2);
	ck_assert_uint_eq(s->net_count, 1);
	ck_assert(s->net[0].reject);
}

/* A majority that has an entry of an earlier term does not commit it. */
static void
commit_old_term(struct sim *s)
{
	struct raft_message m;
	struct raft_status st;
	uint64_t index;

	propose_node(s, 1, &index);
	finish_store(s, 1);
	while (s->net_count > 0)
		drop_message(s, 0);
	block_node(s, 1, false, true);
	crash_node(s, 1, 3);
	start_node(s, 1);
	for (int i = 0; i < 2 * SIM_ELECTION_TICKS + 1; i++)
		tick_node(s, 1);
	m = build_message(RAFT_PREVOTE_REPLY, 2, 1, get_status(s, 1).term + 1);
	step_raft(s->node[1].core, &m);
	run_node_output(s, 1);
	finish_store(s, 1);
	m.type = RAFT_VOTE_REPLY;
	step_raft(s->node[1].core, &m);
	run_node_output(s, 1);
	finish_store(s, 1);
	st = get_status(s, 1);
	ck_assert_int_eq(st.role, RAFT_LEADER);
	m = build_message(RAFT_APPEND_REPLY, 2, 1, st.term);
	m.log_index = index; /* of the term before */
	ck_assert_int_eq(step_raft(s->node[1].core, &m), 0);
	ck_assert_uint_lt(get_status(s, 1).commit, index);
	m.log_index = st.last;
	ck_assert_int_eq(step_raft(s->node[1].core, &m), 0);
	ck_assert_uint_eq(get_status(s, 1).commit, st.last);
	heal_sim(s);
}

/*
 * A follower does not commit entries beyond those that match the leader's log.
 */
static void
keep_tail_uncommitted(struct sim *s)
{
	struct raft_message m = build_message(RAFT_APPEND, 1, 2, 0);
	struct raft_entry e[3] = {{1, RAFT_ENTRY_COMMAND, {"a", 1}},
	    {1, RAFT_ENTRY_COMMAND, {"b", 1}},
	    {1, RAFT_ENTRY_COMMAND, {"c", 1}}};

	m.term = get_status(s, 2).term;
	m.log_index = 2;
	m.log_term = m.term;
	for (int i = 0; i < 3; i++)
		e[i].term = m.term;
	m.entries = e;
	m.entry_count = 3;
	m.commit = 2;
	ck_assert_int_eq(step_raft(s->node[2].core, &m), 0);
	m.from = 3;
	m.term++;
	m.entry_count = 0;
	m.commit = 5;
	ck_assert_int_eq(step_raft(s->node[2].core, &m), 0);
	ck_assert_uint_eq(get_status(s, 2).commit, 2);
}

/* A long conflicting tail of an old leader is replaced after few messages. */
static void
skip_conflicting_terms(struct sim *s)
{
	uint64_t index, rejects = 0;

	block_node(s, 1, true, true);
	for (int i = 0; i < 500; i++)
		propose_node(s, 1, &index);
	finish_store(s, 1);
	elect_node(s, 2);
	commit_values(s, 2, 100);
	elect_node(s, 3);
	heal_sim(s);
	for (int t = 0; t < 3 * SIM_ELECTION_TICKS; t++) {
		for (uint64_t n = 1; n <= 3; n++)
			tick_node(s, n);
		while (s->net_count > 0) {
			rejects += s->net[0].type == RAFT_APPEND_REPLY &&
				   s->net[0].reject;
			deliver_message(s, 0, false);
			for (uint64_t n = 1; n <= 3; n++)
				finish_store(s, n);
		}
	}
	ck_assert_uint_eq(s->node[1].applied, get_status(s, 3).last);
	ck_assert_uint_ge(rejects, 1);
	ck_assert_uint_le(rejects, 5);
}

/*
 * Makes the leader send heartbeats, loses them all and returns their round.
 */
static uint64_t
drop_heartbeats(struct sim *s)
{
	uint64_t round = 0;

	for (int i = 0; i < SIM_HEARTBEAT_TICKS; i++)
		tick_node(s, 1);
	while (s->net_count > 0) {
		if (s->net[0].type == RAFT_HEARTBEAT)
			round = s->net[0].context;
		drop_message(s, 0);
	}
	return round;
}

/* A heartbeat round that was sent before the read does not confirm it. */
static void
read_needs_later_round(struct sim *s)
{
	struct raft_message m;
	uint64_t done = s->reads_done, before, own;

	before = drop_heartbeats(s);
	ck_assert_int_eq(read_node(s, 1), 0);
	own = drop_heartbeats(s);
	ck_assert_uint_gt(own, before);
	m = build_message(RAFT_HEARTBEAT_REPLY, 2, 1, get_status(s, 1).term);
	m.context = before;
	ck_assert_int_eq(step_raft(s->node[1].core, &m), 0);
	run_node_output(s, 1);
	ck_assert_uint_eq(s->reads_done, done);
	m.context = own;
	ck_assert_int_eq(step_raft(s->node[1].core, &m), 0);
	run_node_output(s, 1);
	ck_assert_uint_eq(s->reads_done, done + 1);
}

/*
 * A follower's read is confirmed by the leader, and fails without contact to
 * it.
 */
static void
read_on_follower(struct sim *s)
{
	uint64_t done = s->reads_done;
	struct raft_read rd;

	ck_assert_int_eq(read_node(s, 2), 0);
	settle_sim(s);
	ck_assert_uint_eq(s->reads_done, done + 1);
	block_node(s, 2, true, true);
	ck_assert_int_eq(read_node(s, 2), 0);
	settle_sim(s);
	heal_sim(s);
	for (int i = 0; i < 2 * SIM_ELECTION_TICKS; i++)
		tick_raft(s->node[2].core);
	ck_assert(pop_raft_read(s->node[2].core, &rd));
	ck_assert_int_eq(rd.status, ERR_UNAVAILABLE);
}

/*
 * A member that needs compacted entries gets the snapshot, even if chunks are
 * lost.
 */
static void
drop_snapshot_chunks(struct sim *s)
{
	uint64_t loaded = s->snapshots_loaded;

	block_node(s, 3, true, true);
	commit_values(s, 1, 30);
	compact_node(s, 1);
	heal_sim(s);
	for (int t = 0; t < 6 * SIM_ELECTION_TICKS; t++) {
		for (uint64_t n = 1; n <= 3; n++)
			tick_node(s, n);
		while (s->net_count > 0) {
			if (s->net[0].type == RAFT_SNAPSHOT && t % 3 == 0)
				drop_message(s, 0);
			else
				deliver_message(s, 0, false);
			for (uint64_t n = 1; n <= 3; n++)
				finish_store(s, n);
		}
	}
	ck_assert_uint_eq(s->snapshots_loaded, loaded + 1);
	ck_assert_uint_eq(s->node[3].applied, get_status(s, 1).last);
}

/* The receiver of a snapshot crashes between chunks and while storing it. */
static void
crash_in_snapshot(struct sim *s)
{
	for (int stage = 0; stage <= 3; stage++) {
		block_node(s, 3, true, true);
		commit_values(s, 1, 30);
		compact_node(s, 1);
		heal_sim(s);
		for (int t = 0;
		     t < 100 && !(s->node[3].pending.used &&
				    s->node[3].pending.s.snapshot != NULL);
		     t++) {
			for (uint64_t n = 1; n <= 3; n++)
				tick_node(s, n);
			while (s->net_count > 0)
				deliver_message(s, 0, false);
			finish_store(s, 1);
			finish_store(s, 2);
			if (s->node[3].pending.s.snapshot == NULL)
				finish_store(s, 3);
			if (t == 2) {
				crash_node(s, 3, 0);
				start_node(s, 3);
			}
		}
		ck_assert(s->node[3].pending.used);
		crash_node(s, 3, stage);
		start_node(s, 3);
		run_sim(s, 4 * SIM_ELECTION_TICKS);
		ck_assert_uint_eq(s->node[3].applied, get_status(s, 1).last);
	}
}

/* A snapshot that is being sent is not replaced by a newer one. */
static void
keep_snapshot_in_transfer(struct sim *s)
{
	uint64_t index;

	block_node(s, 3, true, true);
	commit_values(s, 1, 30);
	compact_node(s, 1);
	heal_sim(s);
	for (int i = 0; i < SIM_HEARTBEAT_TICKS; i++)
		tick_node(s, 1);
	for (int i = 0; i < 4; i++) {
		/* Node 3 replies to the heartbeat and gets the first chunk. */
		for (size_t n = s->net_count; n > 0; n--)
			deliver_message(s, 0, false);
		finish_store(s, 3);
	}
	block_node(s, 3, true, true);
	commit_values(s, 1, 1);
	index = get_status(s, 1).snapshot;
	ck_assert_uint_gt(s->node[1].applied, index);
	compact_node(s, 1);
	ck_assert_uint_eq(get_status(s, 1).snapshot, index);
	/* An unresponsive member does not block compaction. */
	for (int i = 0; i < SIM_ELECTION_TICKS; i++) {
		tick_node(s, 1);
		settle_sim(s);
	}
	compact_node(s, 1);
	ck_assert_uint_gt(get_status(s, 1).snapshot, index);
}

/* A follower slightly behind a new snapshot gets entries, not the snapshot. */
static void
keep_trailing_entries(struct sim *s)
{
	uint64_t loaded = s->snapshots_loaded;

	commit_values(s, 1, 20);
	block_node(s, 3, true, true);
	commit_values(s, 1, 1);
	compact_node(s, 1);
	ck_assert_uint_eq(get_status(s, 1).snapshot, get_status(s, 1).last);
	heal_sim(s);
	run_sim(s, 3 * SIM_ELECTION_TICKS);
	ck_assert_uint_eq(s->node[3].applied, get_status(s, 1).last);
	ck_assert_uint_eq(s->snapshots_loaded, loaded);
}

/* A snapshot arrives while a longer, conflicting tail is being stored. */
static void
install_during_store(struct sim *s)
{
	struct raft_message m = build_message(RAFT_SNAPSHOT, 2, 1, 0);
	char data[16] = {0};
	uint64_t index;

	for (int i = 0; i < 20; i++)
		propose_node(s, 1, &index);
	finish_store(s, 1); /* stores one entry; the others follow */
	ck_assert_uint_eq(s->node[1].pending.s.entry_count, 19);
	m.term = get_status(s, 1).term + 1;
	m.log_index = 10;
	m.log_term = m.term;
	m.members = *get_raft_members(s->node[1].core);
	m.snapshot_size = sizeof(data);
	m.snapshot = make_str_n(data, sizeof(data));
	ck_assert_int_eq(step_raft(s->node[1].core, &m), 0);
	while (s->node[1].pending.used)
		finish_store(s, 1);
	ck_assert_uint_eq(get_status(s, 1).last, 10);
	ck_assert_uint_eq(s->node[1].disk.count, 0);
	m.type = RAFT_APPEND;
	m.entry_count = 1;
	m.entries = &(struct raft_entry){m.term, RAFT_ENTRY_COMMAND, {"x", 1}};
	m.commit = 11;
	ck_assert_int_eq(step_raft(s->node[1].core, &m), 0);
	/* The new entry is not durable, so it is not applied. */
	run_node_output(s, 1);
	ck_assert_uint_eq(s->node[1].applied, 10);
	finish_store(s, 1);
	ck_assert_uint_eq(s->node[1].disk.count, 1);
	ck_assert_uint_eq(s->node[1].applied, 11);
}

/* A learner neither votes nor counts, and is promoted only once caught up. */
static void
promote_caught_up(struct sim *s)
{
	block_node(s, 4, true, true);
	ck_assert_int_eq(change_node(s, 1, RAFT_ADD_LEARNER, 4), 0);
	settle_sim(s);
	ck_assert_int_eq(change_node(s, 1, RAFT_PROMOTE, 4), ERR_CONFLICT);
	heal_sim(s);
	start_node(s, 4);
	run_sim(s, 2 * SIM_ELECTION_TICKS);
	ck_assert(!get_status(s, 4).voter);
	ck_assert_uint_eq(s->node[4].applied, get_status(s, 1).last);
	ck_assert_int_eq(campaign_raft(s->node[4].core), ERR_DENIED);
	ck_assert_int_eq(change_node(s, 1, RAFT_PROMOTE, 4), 0);
	run_sim(s, SIM_ELECTION_TICKS);
	ck_assert(get_status(s, 4).voter);
}

/* A second membership change is refused until the first is committed. */
static void
change_one_at_a_time(struct sim *s)
{
	block_node(s, 1, true, true);
	ck_assert_int_eq(change_node(s, 1, RAFT_ADD_LEARNER, 4), 0);
	ck_assert_int_eq(change_node(s, 1, RAFT_ADD_LEARNER, 5), ERR_CONFLICT);
	heal_sim(s);
	run_sim(s, 2 * SIM_ELECTION_TICKS);
	ck_assert_int_eq(change_node(s, 1, RAFT_ADD_LEARNER, 5), 0);
}

/* A leader refuses changes until it has committed an entry of its own term. */
static void
change_after_own_commit(struct sim *s)
{
	struct raft_message m;

	block_node(s, 2, false, true);
	block_node(s, 1, true, true);
	for (int i = 0; i < 2 * SIM_ELECTION_TICKS + 1; i++)
		tick_node(s, 2);
	m = build_message(RAFT_PREVOTE_REPLY, 3, 2, get_status(s, 2).term + 1);
	step_raft(s->node[2].core, &m);
	run_node_output(s, 2);
	finish_store(s, 2);
	m.type = RAFT_VOTE_REPLY;
	step_raft(s->node[2].core, &m);
	run_node_output(s, 2);
	ck_assert_int_eq(get_status(s, 2).role, RAFT_LEADER);
	ck_assert_int_eq(
	    change_node(s, 2, RAFT_ADD_LEARNER, 4), ERR_UNAVAILABLE);
}

/* A membership that is truncated from the log is no longer in effect. */
static void
truncate_membership(struct sim *s)
{
	block_node(s, 1, true, true);
	ck_assert_int_eq(change_node(s, 1, RAFT_ADD_LEARNER, 4), 0);
	finish_store(s, 1);
	ck_assert_uint_eq(get_raft_members(s->node[1].core)->count, 4);
	elect_node(s, 2);
	commit_values(s, 2, 2);
	heal_sim(s);
	run_sim(s, 3 * SIM_ELECTION_TICKS);
	ck_assert_uint_eq(get_raft_members(s->node[1].core)->count, 3);
}

/*
 * A removal that leaves no live majority is refused, so is that of the leader.
 */
static void
refuse_unsafe_removal(struct sim *s)
{
	crash_node(s, 3, 3);
	run_sim(s, 2 * SIM_ELECTION_TICKS);
	ck_assert_int_eq(change_node(s, 1, RAFT_REMOVE, 2), ERR_CONFLICT);
	ck_assert_int_eq(change_node(s, 1, RAFT_REMOVE, 1), ERR_CONFLICT);
	ck_assert_int_eq(change_node(s, 1, RAFT_REMOVE, 9), ERR_NOT_FOUND);
	ck_assert_int_eq(change_node(s, 1, RAFT_REMOVE, 3), 0);
}

/* Member 3 is replaced by 4; then member 2 is lost. */
static void
lose_second_after_replacement(struct sim *s)
{
	crash_node(s, 3, 0);
	run_sim(s, 2 * SIM_ELECTION_TICKS);
	ck_assert_int_eq(change_node(s, 1, RAFT_REMOVE, 3), 0);
	run_sim(s, SIM_ELECTION_TICKS);
	ck_assert_int_eq(change_node(s, 1, RAFT_ADD_LEARNER, 4), 0);
	start_node(s, 4);
	run_sim(s, 2 * SIM_ELECTION_TICKS);
	ck_assert_int_eq(change_node(s, 1, RAFT_PROMOTE, 4), 0);
	run_sim(s, SIM_ELECTION_TICKS);
	crash_node(s, 2, 0);
	commit_values(s, 1, 5);
	run_sim(s, 4 * SIM_ELECTION_TICKS);
	ck_assert_int_eq(get_status(s, 1).role, RAFT_LEADER);
	ck_assert_uint_eq(s->node[4].applied, get_status(s, 1).last);
	crash_node(s, 4, 3);
	start_node(s, 4);
	run_sim(s, 6 * SIM_ELECTION_TICKS);
	ck_assert_uint_eq(
	    s->node[4].applied, get_status(s, find_leader(s)).last);
}

/* Leadership moves at once, although the others have a live leader. */
static void
transfer_leadership(struct sim *s)
{
	uint64_t index;

	ck_assert_int_eq(transfer_raft_leadership(s->node[1].core, 0), 0);
	ck_assert_int_eq(propose_node(s, 1, &index), ERR_UNAVAILABLE);
	run_node_output(s, 1);
	settle_sim(s);
	ck_assert_int_ne(get_status(s, 1).role, RAFT_LEADER);
	ck_assert_uint_ne(find_leader(s), 0);
}

/* A transfer to an unreachable member times out, and proposals work again. */
static void
transfer_to_dead(struct sim *s)
{
	uint64_t index;

	block_node(s, 3, true, true);
	ck_assert_int_eq(transfer_raft_leadership(s->node[1].core, 3), 0);
	run_node_output(s, 1);
	run_sim(s, 2 * SIM_ELECTION_TICKS);
	ck_assert_int_eq(propose_node(s, 1, &index), 0);
}

/* Proposals beyond the limit of uncommitted bytes are refused. */
static void
limit_uncommitted(struct sim *s)
{
	static char big[600 * 1024];
	uint64_t index;

	block_node(s, 1, true, true);
	ck_assert_int_eq(
	    propose_raft(s->node[1].core, make_str_n(big, sizeof(big)), &index),
	    0);
	ck_assert_int_eq(
	    propose_raft(s->node[1].core, make_str_n(big, sizeof(big)), &index),
	    ERR_LIMIT);
}

static const struct fault_case cases[] = {
    {"lose messages", drop_messages_to_member, false},
    {"duplicate messages", duplicate_messages, false},
    {"reverse messages", reverse_messages, false},
    {"delay an append", delay_append, false},
    {"partition the leader", partition_leader, false},
    {"leader cannot send", block_leader_sends, false},
    {"leader of two cannot send", block_leader_of_two, false},
    {"leader cannot receive", block_leader_receives, false},
    {"member cannot receive", isolate_member, false},
    {"vote while a leader is live", vote_in_lease, false},
    {"crash the leader in each storage stage", crash_leader_in_store, false},
    {"crash a follower in each storage stage", crash_follower_in_store, false},
    {"lose an acknowledged tail", lose_acknowledged_tail, false},
    {"reply after storing", reply_after_store, false},
    {"vote once a term", vote_once, false},
    {"no commit of an old term by counting", commit_old_term, true},
    {"unmatched tail stays uncommitted", keep_tail_uncommitted, true},
    {"skip conflicting terms", skip_conflicting_terms, false},
    {"read needs a later round", read_needs_later_round, false},
    {"read on a follower", read_on_follower, false},
    {"lose snapshot chunks", drop_snapshot_chunks, false},
    {"crash while receiving a snapshot", crash_in_snapshot, false},
    {"keep the snapshot in transfer", keep_snapshot_in_transfer, false},
    {"keep trailing entries", keep_trailing_entries, false},
    {"install during a store", install_during_store, true},
    {"promote only caught up", promote_caught_up, false},
    {"one change at a time", change_one_at_a_time, false},
    {"change after own commit", change_after_own_commit, true},
    {"truncate a membership", truncate_membership, false},
    {"refuse unsafe removal", refuse_unsafe_removal, false},
    {"second loss after a replacement", lose_second_after_replacement, false},
    {"transfer leadership", transfer_leadership, false},
    {"transfer to a dead member", transfer_to_dead, false},
    {"limit uncommitted bytes", limit_uncommitted, false},
};

static void
drop_all_messages(struct sim *s)
{
	while (s->net_count > 0)
		drop_message(s, 0);
}

/* Guards against the failure that each case names. */
START_TEST(group_recovers_from_fault)
{
	struct sim *s = open_sim_with_leader(3);

	cases[_i].run(s);
	if (!cases[_i].forged_replies)
		check_recovery(s);
	ck_assert_msg(
	    s->failure[0] == '\0', "%s: %s", cases[_i].name, s->failure);
	close_sim(s);
}
END_TEST

/* Guards against a leader whose own vote a crash could undo. */
START_TEST(own_vote_counts_once_stored)
{
	struct sim *s = open_sim(1, 1);

	for (int i = 0; i < 2 * SIM_ELECTION_TICKS + 1 &&
			get_status(s, 1).role != RAFT_CANDIDATE;
	     i++)
		tick_node(s, 1);
	ck_assert_int_eq(get_status(s, 1).role, RAFT_CANDIDATE);
	finish_store(s, 1);
	ck_assert_int_eq(get_status(s, 1).role, RAFT_LEADER);
	settle_sim(s);
	ck_assert_uint_eq(s->node[1].applied, 1);
	ck_assert_int_eq(read_node(s, 1), 0);
	ck_assert_uint_eq(s->reads_done, 1);
	close_sim(s);
}
END_TEST

static bool
has_vote_request(const struct sim *s, uint64_t from)
{
	for (size_t i = 0; i < s->net_count; i++) {
		if (s->net[i].type == RAFT_VOTE && s->net[i].from == from)
			return true;
	}
	return false;
}

/*
 * Ticks the nodes n and other (0: none) until n is a candidate and the others have
 * answered its pre-vote. Their storage work stays pending.
 */
static void
make_candidate(struct sim *s, uint64_t n, uint64_t other)
{
	for (int i = 0; i < 8 * SIM_ELECTION_TICKS &&
			get_status(s, n).role != RAFT_CANDIDATE;
	     i++) {
		tick_node(s, n);
		if (i < SIM_ELECTION_TICKS) /* so that its lease ends */
			tick_node(s, other);
		for (size_t at = 0; at < s->net_count;) {
			if (s->net[at].type == RAFT_PREVOTE ||
			    s->net[at].type == RAFT_PREVOTE_REPLY)
				deliver_message(s, at, false);
			else
				at++;
		}
	}
	ck_assert_int_eq(get_status(s, n).role, RAFT_CANDIDATE);
}

/*
 * Guards against votes for entries that a restart loses: a candidate whose log
 * is not durable asks for votes only once it is.
 */
START_TEST(votes_are_asked_for_with_a_durable_log)
{
	struct sim *s = open_sim_with_leader(3);
	uint64_t index;

	if (_i == 1) { /* an entry that node 2 has not stored */
		ck_assert_int_eq(propose_node(s, 1, &index), 0);
		for (size_t at = 0; at < s->net_count;) {
			if (s->net[at].to == 2)
				deliver_message(s, at, false);
			else
				at++;
		}
		ck_assert(s->node[2].pending.used);
	}
	crash_node(s, 1, 3);
	while (s->net_count > 0)
		drop_message(s, 0);
	make_candidate(s, 2, 3);
	ck_assert_int_eq(has_vote_request(s, 2), _i == 0);
	for (int i = 0; i < 3 && !has_vote_request(s, 2); i++)
		finish_store(s, 2);
	ck_assert(has_vote_request(s, 2));
	ck_assert_msg(s->failure[0] == '\0', "%s", s->failure);
	close_sim(s);
}
END_TEST

/*
 * Guards against a leader whose term a restart would forget, so that it could
 * lead the same term again with other entries: with the votes of the others, a
 * candidate leads only once its own vote is durable.
 */
START_TEST(leader_has_stored_its_own_vote)
{
	struct sim *s = open_sim(5, 3);

	make_candidate(s, 1, 0);
	ck_assert(s->node[1].pending.used);
	for (int i = 0; i < 20; i++) {
		finish_store(s, 2);
		finish_store(s, 3);
		if (s->net_count > 0)
			deliver_message(s, 0, false);
	}
	ck_assert_int_eq(get_status(s, 1).role, RAFT_CANDIDATE);
	finish_store(s, 1);
	ck_assert_int_eq(get_status(s, 1).role, RAFT_LEADER);
	ck_assert_msg(s->failure[0] == '\0', "%s", s->failure);
	close_sim(s);
}
END_TEST

/* Guards against a read that fewer than a majority confirm. */
START_TEST(read_needs_a_majority)
{
	struct sim *s = open_sim_with_leader(5);
	struct raft_message m;

	block_node(s, 1, false, true);
	ck_assert_int_eq(read_node(s, 1), 0);
	m = build_message(RAFT_HEARTBEAT_REPLY, 2, 1, get_status(s, 1).term);
	for (m.context = 1; m.context < 20; m.context++)
		step_raft(s->node[1].core, &m);
	run_node_output(s, 1);
	ck_assert_uint_eq(s->reads_done, 0);
	m.from = 3;
	for (m.context = 1; m.context < 20; m.context++)
		step_raft(s->node[1].core, &m);
	run_node_output(s, 1);
	ck_assert_uint_eq(s->reads_done, 1);
	close_sim(s);
}
END_TEST

/*
 * Guards against a group that stays without a leader for an election timeout
 * after all its members restart at once.
 */
START_TEST(restarted_group_elects_soon)
{
	struct sim *s = open_sim_with_leader(5);
	int ticks = 0;

	for (int round = 0; round < 50; round++) {
		for (uint64_t n = 1; n <= 5; n++)
			crash_node(s, n, 3);
		drop_all_messages(s);
		for (uint64_t n = 1; n <= 5; n++)
			start_node(s, n);
		for (; find_leader(s) == 0; ticks++)
			run_sim(s, 1);
	}
	/* Equal random timeouts sometimes cost a second election. */
	ck_assert_int_lt(ticks, 50 * SIM_ELECTION_TICKS);
	ck_assert_msg(s->failure[0] == '\0', "%s", s->failure);
	close_sim(s);
}
END_TEST

/* Disks whose storage work takes longer than an election timeout. */
struct slow_case {
	const char *name;
	int slow; /* nodes 1 to slow */
	int store_ticks; /* that their storage work takes */
};

static const struct slow_case slow_cases[] = {
    {"all disks, an election timeout", 5, SIM_ELECTION_TICKS},
    {"all disks, three election timeouts", 5, 3 * SIM_ELECTION_TICKS},
    {"three disks, an election timeout", 3, SIM_ELECTION_TICKS},
    {"three disks, three election timeouts", 3, 3 * SIM_ELECTION_TICKS},
};

/*
 * Runs all nodes for a tick. One whose storage work is pending neither ticks nor
 * gets messages, like a replica whose thread waits for its disk; done counts
 * the ticks of that work.
 */
static void
run_slow_tick(struct sim *s, const struct slow_case *c, int done[SIM_NODES])
{
	for (uint64_t n = 1; n < SIM_NODES; n++) {
		struct sim_node *x = &s->node[n];
		int ticks = (int)n <= c->slow ? c->store_ticks : 0;

		if (x->core == NULL)
			continue;
		if (!x->pending.used)
			tick_node(s, n);
		else if (++done[n] < ticks)
			continue;
		if (x->pending.used && done[n] >= ticks) {
			set_raft_storage_ticks(x->core, (unsigned int)ticks);
			done[n] = 0;
			finish_store(s, n);
		}
	}
	for (size_t at = 0; at < s->net_count;) {
		struct sim_node *to = &s->node[s->net[at].to];

		if (to->core != NULL && to->pending.used)
			at++;
		else
			deliver_message(s, at, false);
	}
}

/*
 * Guards against a group without a leader for as long as disks are slow: votes
 * arrive after the candidate has begun the next election, or the leader gives
 * up while its followers store. The bound is contact-s and ack-s, 3 s and 4 s,
 * for election timeouts of 300 ms.
 */
START_TEST(slow_disks_do_not_prevent_a_leader)
{
	const struct slow_case *c = &slow_cases[_i];
	const int ticks_max = 7000 * SIM_ELECTION_TICKS / 300;

	for (uint64_t seed = 1; seed <= 40; seed++) {
		struct sim *s = open_sim(seed, 5);
		int done[SIM_NODES] = {0}, ticks = 0;
		uint64_t lead, commit;

		for (int i = 0; i < 1000 && find_leader(s) == 0; i++)
			run_sim(s, 1);
		run_sim(s, SIM_HEARTBEAT_TICKS);
		lead = find_leader(s);
		ck_assert_uint_ne(lead, 0);
		commit = get_status(s, lead).commit;
		crash_node(s, lead, 3);
		do {
			run_slow_tick(s, c, done);
			lead = find_leader(s);
			ticks++;
		} while (ticks < 10000 &&
			 (lead == 0 || get_status(s, lead).commit <= commit));
		ck_assert_msg(ticks <= ticks_max,
		    "%s, seed %d: no entry committed for %d ticks", c->name,
		    (int)seed, ticks);
		ck_assert_msg(s->failure[0] == '\0', "%s", s->failure);
		close_sim(s);
	}
}
END_TEST

/* Guards against a membership decoder that reads out of bounds. */
START_TEST(damaged_membership_is_refused)
{
	struct raft_members m = {2, {{1, true, "127.0.0.1:1"}, {2, false, ""}}};
	struct raft_members out;
	struct buf b = {0};
	struct rng r;

	ck_assert_int_eq(encode_raft_members(&m, &b), 0);
	ck_assert_int_eq(decode_raft_members(view_buf(&b), &out), 0);
	ck_assert_uint_eq(out.count, 2);
	ck_assert_str_eq(out.member[0].address, "127.0.0.1:1");
	for (size_t n = 0; n < b.len; n++)
		ck_assert_int_eq(
		    decode_raft_members(make_str_n(b.data, n), &out),
		    ERR_CORRUPT);
	seed_rng(&r, 11);
	for (int i = 0; i < 20000; i++) {
		char copy[64];

		memcpy(copy, b.data, b.len);
		copy[draw_below(&r, b.len)] = (char)draw_u64(&r);
		copy[draw_below(&r, b.len)] = (char)draw_u64(&r);
		decode_raft_members(make_str_n(copy, b.len), &out);
		ck_assert_uint_le(out.count, RAFT_MEMBERS_MAX);
	}
	unload_buf(&b);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("raft");
	TCase *t = tcase_create("faults");
	SRunner *r;
	int failed;

	tcase_add_loop_test(t, group_recovers_from_fault, 0,
	    (int)(sizeof(cases) / sizeof(cases[0])));
	tcase_add_test(t, own_vote_counts_once_stored);
	tcase_add_test(t, read_needs_a_majority);
	tcase_add_test(t, restarted_group_elects_soon);
	tcase_add_loop_test(t, votes_are_asked_for_with_a_durable_log, 0, 2);
	tcase_add_test(t, leader_has_stored_its_own_vote);
	tcase_add_loop_test(t, slow_disks_do_not_prevent_a_leader, 0,
	    sizeof(slow_cases) / sizeof(slow_cases[0]));
	tcase_add_test(t, damaged_membership_is_refused);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? 0 : 1;
}
