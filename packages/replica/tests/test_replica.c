/*
 * Replicas under faults of network, disk and process, and the conversion of
 * their messages.
 */
#include <check.h>
#include <pthread.h>
#include <stdatomic.h>
#include <unistd.h>

#include "group.h"
#include "log.h"

#define CHAOS_SEEDS 60
#define CHAOS_STEPS 1500
#define CHAOS_VALUES 512
#define THREAD_VALUES 200

struct group_case {
	const char *name;
	void (*run)(struct group *g, uint64_t lead); /* 3 voters, lead leads */
};

static struct replica_status
get_status(struct group *g, uint64_t id)
{
	return get_replica_status(g->member[id].r);
}

/*
 * Returns the lowest id that is neither a nor b.
 */
static uint64_t
find_other_member(uint64_t a, uint64_t b)
{
	uint64_t id = 1;

	while (id == a || id == b)
		id++;
	return id;
}

/*
 * Proposes values at the leader and requires success.
 */
static void
commit_values(struct group *g, int count)
{
	struct outcome o;

	for (int i = 0; i < count; i++) {
		ck_assert_int_eq(propose_value(g, find_group_leader(g), &o), 0);
		settle_group(g);
		ck_assert(o.done);
		ck_assert_int_eq(o.status, 0);
		ck_assert_uint_eq(o.result, o.value);
	}
}

/*
 * Only the leader accepts proposals; all members serve reads and apply a
 * command with the leader's times.
 */
static void
propose_and_read(struct group *g, uint64_t lead)
{
	uint64_t other = find_other_member(lead, 0);
	struct outcome o;
	int64_t wall;

	commit_values(g, 3);
	ck_assert_int_eq(propose_value(g, other, &o), 0);
	settle_group(g);
	ck_assert_int_eq(o.status, ERR_UNAVAILABLE);
	ck_assert_int_eq(o.callbacks, 1);
	ck_assert_uint_eq(get_status(g, other).leader, lead);
	for (uint64_t id = 1; id <= 3; id++) {
		ck_assert_int_eq(read_value(g, id, &o), 0);
		settle_group(g);
		run_group(g, REPLICA_HEARTBEAT_MS);
		ck_assert(o.done);
		ck_assert_int_eq(o.status, 0);
		ck_assert_uint_ge(g->member[id].state.len / 8 + 1, o.index);
	}
	/* All members apply with the leader's time of the proposal. */
	wall = g->pc.wall_ns;
	block_member(g, lead, true, true);
	ck_assert_int_eq(propose_value(g, lead, &o), 0);
	run_replica_work(g->member[lead].r);
	advance_clock(&g->pc, 2 * REPLICA_TICK_MS * NSEC_PER_MSEC);
	memset(g->blocked, 0, sizeof(g->blocked));
	run_group(g, 3 * REPLICA_HEARTBEAT_MS);
	for (uint64_t id = 1; id <= 3; id++) {
		ck_assert(has_value(&g->member[id], o.value));
		ck_assert_int_eq(g->member[id].last_wall, wall);
	}
}

/*
 * A snapshot replaces the entry of a proposal: whether it took effect is
 * unknown.
 */
static void
skip_proposal_by_snapshot(struct group *g, uint64_t lead)
{
	static char big[700 * 1024];
	struct outcome o;

	block_member(g, lead, true, true);
	ck_assert_int_eq(propose_value(g, lead, &o), 0);
	run_group(g, 1000);
	for (int k = 0; k < 3; k++) {
		struct replica *r = g->member[find_group_leader(g)].r;
		struct outcome x = {.g = g};

		ck_assert_int_eq(
		    propose_replica(r, make_str_n(big, sizeof(big)), 2000,
			record_proposal_outcome, &x),
		    0);
		settle_group(g);
		ck_assert_int_eq(x.status, 0);
	}
	memset(g->blocked, 0, sizeof(g->blocked));
	run_group(g, 300);
	ck_assert_uint_gt(get_status(g, lead).snapshot, 0);
	ck_assert(o.done);
	ck_assert_int_eq(o.status, ERR_UNKNOWN);
}

/*
 * A partitioned leader's proposals are replaced, and it leads again. Where the
 * replacing entry is not committed in between, the result is unknown.
 */
static void
replace_proposals_of_old_leader(struct group *g, uint64_t lead)
{
	struct outcome o[3], next;

	block_member(g, lead, true, true);
	for (int i = 0; i < 3; i++)
		ck_assert_int_eq(propose_value(g, lead, &o[i]), 0);
	run_group(g, 1000);
	memset(g->blocked, 0, sizeof(g->blocked));
	run_group(g, 2 * REPLICA_HEARTBEAT_MS);
	ck_assert(o[0].done);
	ck_assert_int_eq(o[0].status, ERR_UNAVAILABLE);
	ck_assert(!o[2].done);
	ck_assert_int_eq(
	    transfer_replica_leadership(g->member[find_group_leader(g)].r), 0);
	settle_group(g);
	ck_assert_uint_eq(find_group_leader(g), lead);
	ck_assert_int_eq(propose_value(g, lead, &next), 0);
	settle_group(g);
	ck_assert_int_eq(next.status, 0);
	ck_assert(o[2].done);
	ck_assert_int_eq(o[2].callbacks, 1);
	ck_assert_int_eq(o[2].status, ERR_UNKNOWN);
}

/* A proposal of a partitioned leader ends as unknown and is then replaced. */
static void
partition_with_proposal(struct group *g, uint64_t lead)
{
	struct outcome first, second, rd;
	uint64_t value;

	block_member(g, lead, true, true);
	ck_assert_int_eq(propose_value(g, lead, &first), 0);
	run_group(g, 1000);
	ck_assert_int_ne(get_status(g, lead).role, RAFT_LEADER);
	ck_assert(!first.done);
	ck_assert_int_eq(read_value(g, lead, &rd), 0);
	run_group(g, 1500);
	ck_assert(first.done);
	ck_assert_int_eq(first.status, ERR_UNKNOWN);
	ck_assert_int_eq(rd.status, ERR_UNAVAILABLE);
	ck_assert_int_ge(get_status(g, lead).contact_ns, 2 * NSEC_PER_SEC);
	ck_assert_uint_ne(find_group_leader(g), lead);
	commit_values(g, 2);
	memset(g->blocked, 0, sizeof(g->blocked));
	run_group(g, 1000);
	ck_assert(!has_value(&g->member[lead], first.value));
	/* Reconnected before the timeout, it is known not to take effect. */
	lead = find_group_leader(g);
	block_member(g, lead, true, true);
	ck_assert_int_eq(propose_value(g, lead, &second), 0);
	value = second.value;
	run_group(g, 1500);
	memset(g->blocked, 0, sizeof(g->blocked));
	run_group(g, 300);
	ck_assert(second.done);
	ck_assert_int_eq(second.status, ERR_UNAVAILABLE);
	ck_assert(!has_value(&g->member[lead], value));
}

/* The replica's thread works while another thread asks for the status. */
static void
work_meanwhile(struct member *m)
{
	advance_clock(&m->g->pc, NSEC_PER_MSEC);
	run_replica_work(m->r);
}

/*
 * A thread that has read the clock waits for the processor while the replica
 * gets replies of a quorum. The contact is not older than never: a negative age
 * would refuse reads and end commands as without a quorum.
 */
static void
ask_status_during_contact(struct group *g, uint64_t lead)
{
	struct member *m = &g->member[lead];

	run_group(g, 3 * REPLICA_HEARTBEAT_MS);
	for (int i = 0; i < 3; i++) {
		advance_clock(&g->pc, REPLICA_HEARTBEAT_MS * NSEC_PER_MSEC);
		run_replica_work(m->r);
		m->stalled = true;
		settle_group(g);
		m->stalled = false;
		m->on_clock = work_meanwhile;
		ck_assert_int_ge(get_status(g, lead).contact_ns, 0);
		ck_assert_int_eq(get_status(g, lead).contact_ns, 0);
		settle_group(g);
	}
}

static void
set_disk_fault(struct group *g, uint64_t id, enum mem_fault fault)
{
	g->member[id].disk.fault = fault;
	g->member[id].disk.fault_at = g->member[id].disk.ops + 1;
}

/*
 * The disk of a member fails: the member fails, the others continue. With the
 * disk repaired, a restart brings the member back.
 */
static void
fail_disk(struct group *g, uint64_t id, enum mem_fault fault)
{
	uint64_t lead = find_group_leader(g);
	struct outcome o, later;

	set_disk_fault(g, id, fault);
	ck_assert_int_eq(propose_value(g, lead, &o), 0);
	settle_group(g);
	ck_assert(is_replica_failed(g->member[id].r));
	ck_assert(!get_status(g, id).voter);
	ck_assert_int_eq(get_status(g, id).role, RAFT_FOLLOWER);
	ck_assert_int_eq(o.status, id == lead ? ERR_UNKNOWN : 0);
	ck_assert_int_eq(propose_value(g, id, &later), ERR_UNAVAILABLE);
	ck_assert_int_eq(read_value(g, id, &later), ERR_UNAVAILABLE);
	run_group(g, 2000);
	ck_assert_uint_ne(find_group_leader(g), id);
	commit_values(g, 5);
	ck_assert_uint_eq(g->member[id].disk.syncs_after_failure, 0);
	/* A power cut and a restart with a repaired disk. */
	stop_member(g, id, true);
	ck_assert_int_eq(start_member(g, id, NULL), 0);
	run_group(g, 1000);
	commit_values(g, 1);
	run_group(g, 200);
	ck_assert_uint_eq(get_status(g, id).applied,
	    get_status(g, find_group_leader(g)).applied);
}

static void
fill_leader_disk(struct group *g, uint64_t lead)
{
	fail_disk(g, lead, MEM_FAULT_FULL);
}

static void
fill_follower_disk(struct group *g, uint64_t lead)
{
	fail_disk(g, find_other_member(lead, 0), MEM_FAULT_FULL);
}

static void
fail_leader_sync(struct group *g, uint64_t lead)
{
	fail_disk(g, lead, MEM_FAULT_SYNC);
}

static void
fail_follower_sync(struct group *g, uint64_t lead)
{
	fail_disk(g, find_other_member(lead, 0), MEM_FAULT_SYNC);
}

/*
 * Guards against a group that ends for good because its disks refused an
 * operation for a while, one after the other, as review/2 showed for writes:
 * each member comes back without a restart, with all that was acknowledged.
 */
static void
refuse_in_turn(struct group *g, enum mem_fault fault)
{
	for (int round = 0; round < 2; round++) {
		for (uint64_t id = 1; id <= 3; id++) {
			struct outcome o;

			set_disk_fault(g, id, fault);
			(void)propose_value(g, find_group_leader(g), &o);
			run_group(g, 4500);
			ck_assert(is_replica_failed(g->member[id].r));
			commit_values(g, 3);
			g->member[id].disk.fault = MEM_FAULT_NONE;
			run_group(g, 2500);
			ck_assert(!is_replica_failed(g->member[id].r));
			ck_assert(get_status(g, id).voter);
			commit_values(g, 3);
			run_group(g, 200);
		}
	}
	for (uint64_t id = 2; id <= 3; id++) {
		ck_assert_uint_eq(
		    g->member[id].state.len, g->member[1].state.len);
		ck_assert_int_eq(
		    memcmp(g->member[id].state.data, g->member[1].state.data,
			g->member[1].state.len),
		    0);
	}
}

static void
refuse_writes_in_turn(struct group *g, uint64_t lead)
{
	(void)lead;
	refuse_in_turn(g, MEM_FAULT_FULL);
}

static void
refuse_syncs_in_turn(struct group *g, uint64_t lead)
{
	(void)lead;
	refuse_in_turn(g, MEM_FAULT_SYNC);
}

/*
 * Guards against depending on what a failed sync left in the page cache: the
 * syncs of all disks fail, the members come back, commit values and lose power
 * right after.
 */
static void
cut_power_after_failed_syncs(struct group *g, uint64_t lead)
{
	struct outcome o;

	(void)lead;
	for (int round = 0; round < 4; round++) {
		for (uint64_t id = 1; id <= 3; id++)
			set_disk_fault(g, id, MEM_FAULT_SYNC);
		(void)propose_value(g, find_group_leader(g), &o);
		run_group(g, 1000);
		for (uint64_t id = 1; id <= 3; id++)
			g->member[id].disk.fault = MEM_FAULT_NONE;
		for (int ms = 0; find_group_leader(g) == 0 && ms < 4000; ms++)
			run_group(g, REPLICA_TICK_MS);
		commit_values(g, 1);
		for (uint64_t id = 1; id <= 3; id++)
			stop_member(g, id, true);
		for (uint64_t id = 1; id <= 3; id++)
			ck_assert_int_eq(start_member(g, id, NULL), 0);
		run_group(g, 2000);
		commit_values(g, 1);
		run_group(g, 200);
		for (uint64_t id = 1; id <= 3; id++)
			ck_assert(has_value(&g->member[id], g->next_value - 1));
	}
}

/*
 * Lets a snapshot not load at a member for some ms; it comes back after that.
 */
static void
recover_from_load_error(struct group *g, uint64_t lead, enum err error, int ms)
{
	static char big[700 * 1024];
	uint64_t id = find_other_member(lead, 0);
	struct outcome o = {.g = g};
	struct fault f = {0};

	stop_member(g, id, false);
	for (int k = 0; k < 3; k++) {
		ck_assert_int_eq(propose_replica(g->member[lead].r,
				     make_str_n(big, sizeof(big)), 2000,
				     record_proposal_outcome, &o),
		    0);
		settle_group(g);
	}
	ck_assert_uint_gt(get_status(g, lead).snapshot, 0);
	ck_assert_int_eq(start_member(g, id, NULL), 0);
	g->member[id].load_error = error;
	run_group(g, ms);
	ck_assert(is_replica_failed(g->member[id].r));
	ck_assert(!is_replica_unrecoverable(g->member[id].r, &f));
	g->member[id].load_error = 0;
	run_group(g, 3000);
	ck_assert(!is_replica_failed(g->member[id].r));
	commit_values(g, 1);
	run_group(g, 200);
	ck_assert_uint_eq(
	    get_status(g, id).applied, get_status(g, lead).applied);
}

/*
 * Guards against a member that stays away after its snapshot did not load once.
 */
static void
recover_from_failed_load(struct group *g, uint64_t lead)
{
	recover_from_load_error(g, lead, ERR_CORRUPT, 500);
}

/*
 * Guards against sound data that counts as damaged because memory was short
 * while the snapshot was loaded: the member would be given up.
 */
static void
recover_from_lack_of_memory(struct group *g, uint64_t lead)
{
	recover_from_load_error(g, lead, ERR_MEMORY, 8000);
}

/*
 * Guards against a member that goes on under its id although its disk was
 * replaced by an empty one while writes were refused: it may have voted.
 */
static void
lose_disk_while_refused(struct group *g, uint64_t lead)
{
	uint64_t id = find_other_member(lead, 0);
	struct fault f = {0};

	set_disk_fault(g, id, MEM_FAULT_FULL);
	commit_values(g, 1);
	run_group(g, 500);
	ck_assert(is_replica_failed(g->member[id].r));
	ck_assert(!is_replica_unrecoverable(g->member[id].r, &f));
	unload_mem_disk(&g->member[id].disk);
	g->member[id].disk = (struct mem_disk){0};
	run_group(g, 3000);
	ck_assert(is_replica_failed(g->member[id].r));
	ck_assert(is_replica_unrecoverable(g->member[id].r, &f));
	ck_assert_ptr_nonnull(strstr(f.text, "is empty"));
	commit_values(g, 1);
}

/*
 * Guards against a member that stays away for good, and reads and writes its
 * files four times a second, because its data is damaged when its disk works
 * again: it tries some times, at growing intervals, and then ends.
 */
static void
damage_log_while_refused(struct group *g, uint64_t lead)
{
	uint64_t id = find_other_member(lead, 0);
	struct fault f = {0};

	run_group(g, 11000);
	commit_values(g, 5);
	set_disk_fault(g, id, MEM_FAULT_FULL);
	commit_values(g, 1);
	run_group(g, 500);
	ck_assert(is_replica_failed(g->member[id].r));
	for (int i = 0; i < MEM_FILES; i++) {
		struct mem_file *x = &g->member[id].disk.file[i];

		if (x->used && strncmp(x->name, "log-", 4) == 0)
			x->now.data[x->now.len / 4] ^= 1;
	}
	set_disk_fault(g, id, MEM_FAULT_NONE);
	run_group(g, 2000);
	ck_assert(!is_replica_unrecoverable(g->member[id].r, &f));
	run_group(g, 4000);
	ck_assert(is_replica_unrecoverable(g->member[id].r, &f));
	ck_assert_ptr_nonnull(strstr(f.text, "damaged"));
	commit_values(g, 1);
}

/* All members lose power at once; what was acknowledged must survive. */
static void
cut_power_of_all(struct group *g, uint64_t lead)
{
	(void)lead;
	commit_values(g, 20);
	for (uint64_t id = 1; id <= 3; id++)
		stop_member(g, id, true);
	for (uint64_t id = 1; id <= 3; id++)
		ck_assert_int_eq(start_member(g, id, NULL), 0);
	run_group(g, 2000);
	commit_values(g, 1);
	run_group(g, 200);
	for (uint64_t id = 1; id <= 3; id++) {
		for (uint64_t v = 1; v <= 21; v++)
			ck_assert(has_value(&g->member[id], v));
	}
}

/*
 * A member loses its last log record, which it may have acknowledged: it starts
 * and gets the record again.
 */
static void
truncate_last_record(struct group *g, uint64_t lead)
{
	uint64_t id = find_other_member(lead, 0);
	struct mem_file *f = NULL;

	commit_values(g, 5);
	stop_member(g, id, false);
	for (int i = 0; i < MEM_FILES; i++) {
		if (g->member[id].disk.file[i].used &&
		    strncmp(g->member[id].disk.file[i].name, "log-", 4) == 0)
			f = &g->member[id].disk.file[i];
	}
	ck_assert_ptr_nonnull(f);
	f->now.len -= 3;
	ck_assert_int_eq(start_member(g, id, NULL), 0);
	ck_assert_uint_eq(get_status(g, id).wal.torn_records, 1);
	run_group(g, 500);
	ck_assert(has_value(&g->member[id], g->next_value));
}

/* A damaged log keeps the member from starting. */
static void
damage_log(struct group *g, uint64_t lead)
{
	uint64_t id = find_other_member(lead, 0);
	struct fault f = {0};

	commit_values(g, 5);
	stop_member(g, id, false);
	for (int i = 0; i < MEM_FILES; i++) {
		struct mem_file *x = &g->member[id].disk.file[i];

		if (x->used && strncmp(x->name, "log-", 4) == 0)
			x->now.data[x->now.len / 2] ^= 1;
	}
	ck_assert_int_eq(start_member(g, id, &f), ERR_CORRUPT);
	ck_assert_ptr_nonnull(strstr(f.text, "rejoin as a new member"));
	commit_values(g, 2);
}

/* A member that needs compacted entries gets a snapshot of several chunks. */
static void
catch_up_by_snapshot(struct group *g, uint64_t lead)
{
	uint64_t id = find_other_member(lead, 0);

	g->snapshot_padding = 3 * WIRE_SNAPSHOT_CHUNK;
	stop_member(g, id, false);
	for (int i = 0; i < 3; i++) {
		static char big[300 * 1024];
		struct outcome o = {.g = g};

		for (int k = 0; k < 5; k++) {
			ck_assert_int_eq(propose_replica(g->member[lead].r,
					     make_str_n(big, sizeof(big)), 2000,
					     record_proposal_outcome, &o),
			    0);
			settle_group(g);
		}
	}
	ck_assert_uint_gt(get_status(g, lead).snapshot, 0);
	ck_assert_int_eq(start_member(g, id, NULL), 0);
	run_group(g, 3000);
	ck_assert_uint_eq(
	    get_status(g, id).applied, get_status(g, lead).applied);
	ck_assert_uint_gt(get_status(g, id).snapshot, 0);
	ck_assert_uint_eq(g->member[id].state.len, g->member[lead].state.len);
	/* It starts from that snapshot. */
	stop_member(g, id, true);
	ck_assert_int_eq(start_member(g, id, NULL), 0);
	run_group(g, 500);
	ck_assert_uint_eq(g->member[id].state.len, g->member[lead].state.len);
}

/*
 * Guards against dropping the log when no snapshot can be made: members that
 * start again keep every command, and the next try is made later.
 */
static void
keep_log_without_snapshot(struct group *g, uint64_t lead)
{
	struct outcome o = {.g = g};
	static char big[700 * 1024];
	size_t applied;

	for (uint64_t id = 1; id <= 3; id++)
		g->member[id].save_fails = true;
	for (int k = 0; k < 3; k++) {
		ck_assert_int_eq(propose_replica(g->member[lead].r,
				     make_str_n(big, sizeof(big)), 2000,
				     record_proposal_outcome, &o),
		    0);
		settle_group(g);
	}
	run_group(g, 1000);
	ck_assert_uint_eq(get_status(g, lead).snapshot, 0);
	ck_assert_uint_eq(get_status(g, lead).snapshot_errors, 1);
	applied = g->member[lead].state.len;
	for (uint64_t id = 1; id <= 3; id++)
		stop_member(g, id, true);
	for (uint64_t id = 1; id <= 3; id++)
		ck_assert_int_eq(start_member(g, id, NULL), 0);
	run_group(g, 1000);
	commit_values(g, 1);
	for (uint64_t id = 1; id <= 3; id++) {
		ck_assert_uint_eq(g->member[id].state.len, applied + 8);
		g->member[id].save_fails = false;
	}
	run_group(g, 6000);
	for (uint64_t id = 1; id <= 3; id++)
		ck_assert_uint_gt(get_status(g, id).snapshot, 0);
}

/*
 * A snapshot that the state machine cannot load keeps the member from starting.
 */
static void
refuse_bad_snapshot(struct group *g, uint64_t lead)
{
	struct outcome o = {.g = g};
	static char big[700 * 1024];

	for (int k = 0; k < 3; k++) {
		ck_assert_int_eq(propose_replica(g->member[lead].r,
				     make_str_n(big, sizeof(big)), 2000,
				     record_proposal_outcome, &o),
		    0);
		settle_group(g);
	}
	ck_assert_uint_gt(get_status(g, lead).snapshot, 0);
	stop_member(g, lead, false);
	g->member[lead].load_error = ERR_CORRUPT;
	ck_assert_int_eq(start_member(g, lead, NULL), ERR_CORRUPT);
	run_group(g, 1000);
	commit_values(g, 1);
}

static void
request_change(struct group *g, enum raft_change_type type, uint64_t id)
{
	struct outcome o;

	ck_assert_int_eq(
	    change_group(g, find_group_leader(g), type, id, &o), 0);
	settle_group(g);
	ck_assert(o.done);
	ck_assert_int_eq(o.status, 0);
}

/* One member is replaced, and right after that a second one is lost. */
static void
lose_second_after_replacement(struct group *g, uint64_t lead)
{
	uint64_t lost = find_other_member(lead, 0),
		 second = find_other_member(lead, lost);

	commit_values(g, 5);
	stop_member(g, lost, false);
	run_group(g, 500);
	request_change(g, RAFT_REMOVE, lost);
	request_change(g, RAFT_ADD_LEARNER, 4);
	ck_assert_int_eq(start_member(g, 4, NULL), 0);
	run_group(g, 500);
	request_change(g, RAFT_PROMOTE, 4);
	stop_member(g, second, true);
	run_group(g, 1000);
	commit_values(g, 5);
	run_group(g, 200);
	for (uint64_t v = 1; v <= g->next_value; v++)
		ck_assert(has_value(&g->member[4], v));
	ck_assert_uint_eq(g->member[4].members.count, 3);
	ck_assert_ptr_nonnull(find_raft_member(&g->member[4].members, 4));
	/* The new member restarts from its own disk. */
	stop_member(g, 4, true);
	ck_assert_int_eq(start_member(g, 4, NULL), 0);
	run_group(g, 2000);
	commit_values(g, 1);
}

/* A leader that hands over before it stops leaves a group with a leader. */
static void
transfer_before_stop(struct group *g, uint64_t lead)
{
	ck_assert_int_eq(transfer_replica_leadership(g->member[lead].r), 0);
	settle_group(g);
	ck_assert(!is_replica_leader(g->member[lead].r));
	ck_assert_uint_ne(find_group_leader(g), 0);
	stop_member(g, lead, false);
	commit_values(g, 1);
}

/* Proposals that arrive together share one disk sync on the leader. */
static void
share_one_sync(struct group *g, uint64_t lead)
{
	struct outcome o[64];
	uint64_t syncs = get_status(g, lead).wal.syncs;

	for (int i = 0; i < 64; i++)
		ck_assert_int_eq(propose_value(g, lead, &o[i]), 0);
	settle_group(g);
	for (int i = 0; i < 64; i++) {
		ck_assert(o[i].done);
		ck_assert_int_eq(o[i].status, 0);
	}
	ck_assert_uint_eq(get_status(g, lead).wal.syncs, syncs + 1);
}

/* A full inbox refuses proposals; each accepted one still ends exactly once. */
static void
fill_inbox(struct group *g, uint64_t lead)
{
	static struct outcome o[REPLICA_INBOX_MAX + 1];
	int rc = 0, n = 0;

	while (rc == 0 && n <= REPLICA_INBOX_MAX)
		rc = propose_value(g, lead, &o[n++]);
	ck_assert_int_eq(rc, ERR_LIMIT);
	ck_assert_int_eq(n, REPLICA_INBOX_MAX + 1);
	settle_group(g);
	for (int i = 0; i < REPLICA_INBOX_MAX; i++)
		ck_assert_int_eq(o[i].callbacks, 1);
	ck_assert_int_eq(o[REPLICA_INBOX_MAX].callbacks, 0);
}

/*
 * Guards against a new leader whose state is taken for the newest before it has
 * applied what the earlier leader committed.
 */
static void
become_current_after_first_entry(struct group *g, uint64_t lead)
{
	uint64_t next = 0;

	commit_values(g, 3);
	stop_member(g, lead, false);
	for (int ms = 0; next == 0 && ms < 5000; ms += REPLICA_TICK_MS) {
		advance_clock(&g->pc, REPLICA_TICK_MS * NSEC_PER_MSEC);
		for (int i = 0; i < 20 && next == 0; i++) {
			for (uint64_t id = 1; id <= 3; id++) {
				if (g->member[id].r != NULL)
					run_replica_work(g->member[id].r);
			}
			next = find_group_leader(g);
			for (size_t n = g->net_count; n > 0 && next == 0; n--)
				deliver_packet(g, 0, false);
		}
	}
	ck_assert_uint_ne(next, 0);
	ck_assert(!get_status(g, next).current);
	settle_group(g);
	ck_assert_uint_eq(find_group_leader(g), next);
	ck_assert(get_status(g, next).current);
	ck_assert(has_value(&g->member[next], g->next_value));
}

/* A replica that stops ends each pending request exactly once. */
static void
stop_with_requests(struct group *g, uint64_t lead)
{
	struct outcome in_log, in_inbox, rd;

	block_member(g, lead, true, true);
	ck_assert_int_eq(propose_value(g, lead, &in_log), 0);
	settle_group(g);
	ck_assert_int_eq(propose_value(g, lead, &in_inbox), 0);
	ck_assert_int_eq(read_value(g, lead, &rd), 0);
	stop_member(g, lead, false);
	ck_assert_int_eq(in_log.status, ERR_UNKNOWN);
	ck_assert_int_eq(in_inbox.status, ERR_UNAVAILABLE);
	ck_assert_int_eq(rd.status, ERR_UNAVAILABLE);
	ck_assert_int_eq(
	    in_log.callbacks + in_inbox.callbacks + rd.callbacks, 3);
}

/* The status shows that a disk blocks a thread, which applies nothing. */
static void
show_blocked_thread(struct group *g, uint64_t lead)
{
	struct member *m = &g->member[lead % 3 + 1];

	ck_assert_int_lt(
	    get_replica_status(m->r).round_ns, 100 * NSEC_PER_MSEC);
	m->stalled = true;
	run_group(g, 1200);
	ck_assert_int_ge(
	    get_replica_status(m->r).round_ns, 1200 * NSEC_PER_MSEC);
	ck_assert_int_lt(get_replica_status(g->member[lead].r).round_ns,
	    100 * NSEC_PER_MSEC);
	m->stalled = false;
	run_group(g, 2 * REPLICA_TICK_MS);
	ck_assert_int_lt(
	    get_replica_status(m->r).round_ns, 100 * NSEC_PER_MSEC);
}

static const struct group_case cases[] = {
    {"propose and read", propose_and_read},
    {"partition with a proposal", partition_with_proposal},
    {"full disk of the leader", fill_leader_disk},
    {"full disk of a follower", fill_follower_disk},
    {"disks that refuse writes in turn", refuse_writes_in_turn},
    {"disks that refuse syncs in turn", refuse_syncs_in_turn},
    {"power cut after failed syncs", cut_power_after_failed_syncs},
    {"state that did not load once", recover_from_failed_load},
    {"memory short while a snapshot loads", recover_from_lack_of_memory},
    {"empty disk after refused writes", lose_disk_while_refused},
    {"damaged log after refused writes", damage_log_while_refused},
    {"failed sync of the leader", fail_leader_sync},
    {"failed sync of a follower", fail_follower_sync},
    {"power cut of all members", cut_power_of_all},
    {"torn last record", truncate_last_record},
    {"damaged log", damage_log},
    {"catch up by snapshot", catch_up_by_snapshot},
    {"snapshot that cannot be made", keep_log_without_snapshot},
    {"snapshot that does not load", refuse_bad_snapshot},
    {"second loss after a replacement", lose_second_after_replacement},
    {"transfer before a stop", transfer_before_stop},
    {"one sync for many proposals", share_one_sync},
    {"bounded inbox", fill_inbox},
    {"proposal skipped by a snapshot", skip_proposal_by_snapshot},
    {"lead again with other entries", replace_proposals_of_old_leader},
    {"current after the first entry", become_current_after_first_entry},
    {"stop with requests", stop_with_requests},
    {"status during a contact", ask_status_during_contact},
    {"thread that a disk blocks", show_blocked_thread},
};

/* Guards against the failure that each case names. */
START_TEST(group_recovers_from_fault)
{
	struct group *g = open_group(17, 3);

	set_log_level(LOG_LEVEL_ERR - 1);
	run_group(g, 1500);
	ck_assert_uint_ne(find_group_leader(g), 0);
	cases[_i].run(g, find_group_leader(g));
	ck_assert_msg(
	    g->failure[0] == '\0', "%s: %s", cases[_i].name, g->failure);
	close_group(g);
}
END_TEST

/*
 * Draws what a disk refuses for a while.
 */
static enum mem_fault
draw_chaos_fault(struct group *g)
{
	static const enum mem_fault all[] = {
	    MEM_FAULT_FULL, MEM_FAULT_SYNC, MEM_FAULT_NAMES};

	return g->chaos_faults == 1 ? MEM_FAULT_FULL :
				      all[draw_below(&g->rng, 3)];
}

/*
 * Runs one random step: work, time, a request, a fault or a message. o gets the
 * outcomes of the *n requests so far.
 */
static void
step_chaos(struct group *g, struct outcome *o, int *n)
{
	uint64_t id = 1 + draw_below(&g->rng, 3);
	struct member *m = &g->member[id];
	uint64_t roll = draw_below(&g->rng, 100);

	if (g->chaos_faults > 0 && m->r != NULL &&
	    draw_below(&g->rng, 150) == 0) {
		if (m->disk.fault == MEM_FAULT_NONE)
			set_disk_fault(g, id, draw_chaos_fault(g));
		else
			m->disk.fault = MEM_FAULT_NONE;
		return;
	}
	if (m->r == NULL) {
		if (roll < 10 && start_member(g, id, NULL) != 0)
			fail_group(g, "a member does not start again");
	} else if (roll < 35) {
		run_replica_work(m->r);
	} else if (roll < 45) {
		advance_clock(&g->pc, 10 * NSEC_PER_MSEC);
	} else if (roll < 55 && *n < CHAOS_VALUES) {
		uint64_t lead = find_group_leader(g);

		if (lead != 0 && propose_value(g, lead, &o[*n]) == 0)
			(*n)++;
	} else if (roll < 58 && *n < CHAOS_VALUES) {
		if (read_value(g, id, &o[*n]) == 0)
			(*n)++;
	} else if (roll < 59) {
		if (draw_below(&g->rng, 3) == 0)
			stop_member(g, id, true);
		else if (draw_below(&g->rng, 2) == 0)
			block_member(g, id, true, draw_below(&g->rng, 2) == 0);
		else
			memset(g->blocked, 0, sizeof(g->blocked));
	} else if (g->net_count > 0) {
		size_t at =
		    draw_below(&g->rng, g->net_count < 8 ? g->net_count : 8);

		if (draw_below(&g->rng, 20) == 0)
			drop_packet(g, at);
		else
			deliver_packet(g, at, draw_below(&g->rng, 20) == 0);
	}
	while (g->net_count > 200)
		drop_packet(g, draw_below(&g->rng, g->net_count));
}

/*
 * Checks the end of a chaos run: all members are equal, each request ended
 * once, acknowledged values are applied and refused ones are not.
 */
static void
check_chaos(struct group *g, const struct outcome *o, int n, uint64_t seed)
{
	for (uint64_t id = 1; id <= 3; id++) {
		ck_assert_msg(
		    g->member[id].state.len == g->member[1].state.len &&
			memcmp(g->member[id].state.data,
			    g->member[1].state.data,
			    g->member[1].state.len) == 0,
		    "seed %d: members differ", (int)seed);
	}
	for (int i = 0; i < n; i++) {
		ck_assert_msg(o[i].callbacks == 1,
		    "seed %d: request %d ended %d "
		    "times",
		    (int)seed, i, o[i].callbacks);
		if (o[i].value == 0)
			continue;
		if (o[i].status == 0)
			ck_assert_msg(has_value(&g->member[1], o[i].value),
			    "seed %d: value %d lost", (int)seed, i);
		else if (o[i].status != ERR_UNKNOWN)
			ck_assert_msg(!has_value(&g->member[1], o[i].value),
			    "seed %d: refused value %d took effect", (int)seed,
			    i);
	}
}

/*
 * Guards against lost acknowledged commands, refused ones that take effect, and
 * stale reads, under crashes with power cuts, an unreliable network and disks
 * that refuse, for a while, writes in the second run, and writes, syncs or names
 * in the third.
 */
START_TEST(chaos_keeps_guarantees)
{
	static struct outcome o[CHAOS_VALUES];
	uint64_t acked = 0, unknown = 0, reads = 0;

	set_log_level(LOG_LEVEL_ERR - 1);
	for (uint64_t seed = 1; seed <= CHAOS_SEEDS; seed++) {
		struct group *g = open_group(seed, 3);
		int n = 0;

		g->snapshot_bytes = 2048;
		g->chaos_faults = _i;
		for (int k = 0; k < CHAOS_STEPS && !g->failure[0]; k++)
			step_chaos(g, o, &n);
		memset(g->blocked, 0, sizeof(g->blocked));
		for (uint64_t id = 1; id <= 3; id++) {
			g->member[id].disk.fault = MEM_FAULT_NONE;
			if (g->member[id].r == NULL &&
			    start_member(g, id, NULL) != 0)
				fail_group(g, "a member does not start again");
		}
		run_group(g, 4000);
		ck_assert_msg(g->failure[0] == '\0', "seed %d: %s", (int)seed,
		    g->failure);
		commit_values(g, 1);
		run_group(g, 200);
		check_chaos(g, o, n, seed);
		for (int i = 0; i < n; i++) {
			acked += o[i].value != 0 && o[i].status == 0;
			unknown += o[i].status == ERR_UNKNOWN;
			reads += o[i].value == 0 && o[i].status == 0;
		}
		close_group(g);
	}
	ck_assert_uint_gt(acked, CHAOS_SEEDS * 3);
	ck_assert_uint_gt(reads, CHAOS_SEEDS);
	printf("chaos: %llu acknowledged, %llu unknown, %llu reads\n",
	    (unsigned long long)acked, (unsigned long long)unknown,
	    (unsigned long long)reads);
}
END_TEST

/* Three replicas with threads that pass messages to each other directly. */
struct thread_group {
	struct replica *r[4];
	struct buf state[4];
	pthread_mutex_t lock;
	pthread_cond_t changed;
	int done, applied, unknown; /* proposals */
};

struct thread_member {
	struct thread_group *t;
	uint64_t id;
};

static void
send_direct(void *arg, uint64_t to, const struct wire_raft_message *m)
{
	struct thread_member *x = arg;
	struct replica *r;

	pthread_mutex_lock(&x->t->lock);
	r = to < 4 ? x->t->r[to] : NULL;
	if (r != NULL)
		(void)step_replica(r, m);
	pthread_mutex_unlock(&x->t->lock);
}

static void
apply_in_thread(void *arg, uint64_t index, struct replica_stamp at,
    struct str command, struct buf *result)
{
	struct thread_member *x = arg;

	(void)index;
	(void)at;
	(void)append_buf(&x->t->state[x->id], command.data, command.len);
	(void)append_buf(result, command.data, command.len);
}

static int
save_in_thread(void *arg, struct buf *out)
{
	struct thread_member *x = arg;

	return append_buf(out, x->t->state[x->id].data, x->t->state[x->id].len);
}

static void
clear_in_thread(void *arg)
{
	struct thread_member *x = arg;

	x->t->state[x->id].len = 0;
}

static int
load_in_thread(void *arg, uint64_t index, struct str data)
{
	struct thread_member *x = arg;

	(void)index;
	x->t->state[x->id].len = 0;
	return append_buf(&x->t->state[x->id], data.data, data.len);
}

static void
record_thread_outcome(void *arg, int status, uint64_t index, struct str result)
{
	struct thread_group *t = arg;

	(void)index;
	(void)result;
	pthread_mutex_lock(&t->lock);
	t->done++;
	t->applied += status == 0;
	t->unknown += status == ERR_UNKNOWN;
	pthread_cond_signal(&t->changed);
	pthread_mutex_unlock(&t->lock);
}

/*
 * Removes a data directory with the files that the log leaves in it.
 */
static void
remove_dir(const char *dir)
{
	struct wal_io io = get_system_io();
	char path[128];

	for (int i = 0; i < 200; i++) {
		snprintf(path, sizeof(path), "%s/log-%016x", dir, i);
		(void)io.remove_file(NULL, path);
		snprintf(path, sizeof(path), "%s/snapshot-%016x", dir, i);
		(void)io.remove_file(NULL, path);
	}
	snprintf(path, sizeof(path), "%s/lock", dir);
	(void)io.remove_file(NULL, path);
	snprintf(path, sizeof(path), "%s/state", dir);
	(void)io.remove_file(NULL, path);
	(void)rmdir(dir);
}

static int64_t
get_zero_log_time(void *arg)
{
	(void)arg;
	return 0;
}

/*
 * Proposes values, one at a time, until THREAD_VALUES are applied.
 */
static void
propose_until_applied(struct thread_group *t)
{
	for (int tries = 0; t->applied < THREAD_VALUES && tries < 200000;
	     tries++) {
		bool sent = false;
		int before;

		pthread_mutex_lock(&t->lock);
		before = t->done;
		pthread_mutex_unlock(&t->lock);
		for (int id = 1; id < 4 && !sent; id++) {
			if (is_replica_leader(t->r[id]))
				sent = propose_replica(t->r[id], make_str("v"),
					   5000, record_thread_outcome, t) == 0;
		}
		if (!sent) {
			usleep(1000);
			continue;
		}
		pthread_mutex_lock(&t->lock);
		while (t->done == before)
			pthread_cond_wait(&t->changed, &t->lock);
		pthread_mutex_unlock(&t->lock);
	}
}

#define STATUS_READERS 8

/* Reads the status of a replica all the time, as the listeners' threads do. */
struct status_reader {
	struct replica *r;
	pthread_t thread;
	atomic_bool stop;
	bool had_contact;
	int lost; /* times that the contact was "never" after there was one */
};

static void *
read_statuses(void *arg)
{
	struct status_reader *s = arg;

	while (!atomic_load(&s->stop)) {
		bool has = get_replica_status(s->r).contact_ns >= 0;

		s->lost += s->had_contact && !has;
		s->had_contact = s->had_contact || has;
	}
	return NULL;
}

/* Guards against data races and lost wake-ups of the threads. */
START_TEST(threads_commit_and_stop)
{
	struct status_reader readers[STATUS_READERS] = {0};
	struct thread_group t = {.lock = PTHREAD_MUTEX_INITIALIZER,
	    .changed = PTHREAD_COND_INITIALIZER};
	struct thread_member x[4];
	char dir[4][32];
	struct raft_members boot = {
	    3, {{1, true, "a"}, {2, true, "b"}, {3, true, "c"}}};
	struct replica *started[4] = {0};

	set_log_level(LOG_LEVEL_ERR - 1);
	for (uint64_t id = 1; id < 4; id++) {
		struct replica_config cfg = {.clock = get_real_clock(),
		    .id = id,
		    .data_dir = dir[id],
		    .bootstrap = &boot,
		    .machine = {apply_in_thread, save_in_thread, load_in_thread,
			clear_in_thread, get_zero_log_time, &x[id]},
		    .transport = {send_direct, NULL, &x[id]},
		    .seed = id};

		x[id] = (struct thread_member){&t, id};
		snprintf(dir[id], sizeof(dir[id]), "/tmp/ggs-replica-XXXXXX");
		ck_assert_ptr_nonnull(mkdtemp(dir[id]));
		ck_assert_int_eq(start_replica(&cfg, &started[id], NULL), 0);
	}
	pthread_mutex_lock(&t.lock);
	memcpy(t.r, started, sizeof(t.r));
	pthread_mutex_unlock(&t.lock);
	for (int i = 0; i < STATUS_READERS; i++) {
		readers[i].r = started[1 + i % 3];
		ck_assert_int_eq(pthread_create(&readers[i].thread, NULL,
				     read_statuses, &readers[i]),
		    0);
	}
	propose_until_applied(&t);
	ck_assert_int_eq(t.applied, THREAD_VALUES);
	for (int i = 0; i < STATUS_READERS; i++) {
		atomic_store(&readers[i].stop, true);
		pthread_join(readers[i].thread, NULL);
		ck_assert_msg(
		    readers[i].lost == 0, "reader %d: %d", i, readers[i].lost);
	}
	/* No message may reach a replica that stops. */
	pthread_mutex_lock(&t.lock);
	memset(t.r, 0, sizeof(t.r));
	pthread_mutex_unlock(&t.lock);
	for (int id = 1; id < 4; id++)
		stop_replica(started[id]);
	for (int id = 1; id < 4; id++) {
		ck_assert_uint_le(
		    t.state[id].len, THREAD_VALUES + (size_t)t.unknown);
		unload_buf(&t.state[id]);
		remove_dir(dir[id]);
	}
}
END_TEST

/*
 * Guards against message types that the conversion loses, and against accepting
 * messages that no replica sends.
 */
START_TEST(messages_survive_the_wire)
{
	struct wire_raft_message w = {0};
	struct raft_entry entries[WIRE_ENTRIES_MAX];
	struct raft_message m;
	struct wire_raft_entry bad = {.type = 9};

	w.type = WIRE_RAFT_HEARTBEAT;
	w.hint = 1;
	ck_assert_int_eq(import_raft_message(&w, &m, entries), 0);
	ck_assert_int_eq(m.type, RAFT_READ);
	w.hint = 2;
	ck_assert_int_eq(import_raft_message(&w, &m, entries), 0);
	ck_assert_int_eq(m.type, RAFT_CAMPAIGN);
	w.type = WIRE_RAFT_HEARTBEAT_REPLY;
	w.hint = 1;
	ck_assert_int_eq(import_raft_message(&w, &m, entries), 0);
	ck_assert_int_eq(m.type, RAFT_READ_REPLY);
	w.type = (wire_raft_type)77;
	ck_assert_int_eq(import_raft_message(&w, &m, entries), ERR_INVALID);
	w.type = WIRE_RAFT_SNAPSHOT;
	ck_assert_int_eq(import_raft_message(&w, &m, entries), ERR_INVALID);
	w.type = WIRE_RAFT_APPEND;
	w.entries.entries_len = 1;
	w.entries.entries_val = &bad;
	ck_assert_int_eq(import_raft_message(&w, &m, entries), ERR_INVALID);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("replica");
	TCase *t = tcase_create("group");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_loop_test(t, group_recovers_from_fault, 0,
	    (int)(sizeof(cases) / sizeof(cases[0])));
	tcase_add_loop_test(t, chaos_keeps_guarantees, 0, 3);
	tcase_add_test(t, threads_commit_and_stop);
	tcase_add_test(t, messages_survive_the_wire);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? 0 : 1;
}
