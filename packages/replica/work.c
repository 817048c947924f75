/*
 * The replica's work: ticks, the core's output, compaction and the published
 * status.
 */
#include <string.h>

#include "log.h"
#include "replica_core.h"

/* The state changes meanwhile; each try may encode some megabytes. */
#define SNAPSHOT_RETRY_NS (5 * NSEC_PER_SEC)

static void run_ticks(struct replica *r, int64_t now);
static void send_messages(struct replica *r);
static void delay_snapshot(struct replica *r, int rc);
static void publish_failure(struct replica *r);
static bool store_next(struct replica *r);
static void apply_committed(struct replica *r);
static void apply_entry(struct replica *r, const struct raft_apply *a);
static void start_term_log_time(struct replica *r, uint64_t term);
static int64_t get_i64(const char *p);
static void notify_members_change(struct replica *r);
static void log_role_change(struct replica *r);
static void publish_progress(struct replica *r, const struct raft_status *s);

/*
 * Handles all items in the inbox and does all work that is due. All items that
 * arrived during the last disk sync share the next one.
 */
void
run_replica_work(struct replica *r)
{
	int64_t now = read_mono(&r->cfg.clock);
	struct inbox_item *it, *next;

	pthread_mutex_lock(&r->lock);
	it = r->inbox;
	r->inbox = NULL;
	r->inbox_tail = &r->inbox;
	r->inbox_count = 0;
	pthread_mutex_unlock(&r->lock);
	for (; it != NULL; it = next) {
		next = it->next;
		handle_item(r, it);
	}
	if (!r->failed) {
		send_reads(r);
		/* After the messages: they may show that the leader is alive. */
		run_ticks(r, now);
		process_output(r);
	}
	if (!r->failed)
		compact_replica(r);
	else
		recover_replica(r, now);
	publish_status(r, now);
}

/*
 * Carries out the core's output. Entries are sent to the followers before they
 * are stored here, so that the disk syncs run in parallel.
 */
void
process_output(struct replica *r)
{
	struct raft_read rd;

	do {
		send_messages(r);
		apply_committed(r);
		while (!r->failed && pop_raft_read(r->raft, &rd))
			handle_read_result(r, &rd);
		if (!r->failed)
			finish_reads(r);
	} while (!r->failed && store_next(r));
	if (!r->failed)
		notify_members_change(r);
}

/*
 * Replaces the log with a snapshot of the state machine once it exceeds
 * cfg.snapshot_bytes. Storage fails if the snapshot cannot be stored. A
 * snapshot that cannot be made, because memory is short or the state breaks a
 * bound of the records, leaves the log as it is.
 */
void
compact_replica(struct replica *r)
{
	struct raft_status s = get_raft_status(r->raft);
	struct fault f = {0};
	struct buf b = {0};
	int rc;

	if (s.log_bytes < r->cfg.snapshot_bytes || s.applied <= s.snapshot ||
	    is_raft_sending_snapshot(r->raft) ||
	    read_mono(&r->cfg.clock) < r->snapshot_retry_at)
		return;
	rc = r->cfg.machine.save(r->cfg.machine.arg, &b);
	if (rc == 0)
		rc = compact_raft(r->raft, s.applied, view_buf(&b));
	unload_buf(&b);
	if (rc != 0) {
		delay_snapshot(r, rc);
		return;
	}
	rc = save_wal_snapshot(r->wal, get_raft_snapshot(r->raft), &f);
	if (rc != 0)
		fail_replica(r, (enum err)rc, f.text);
}

/*
 * Copies the core's status to where other threads read it. now is the monotonic
 * time in ns.
 */
void
publish_status(struct replica *r, int64_t now)
{
	struct raft_status s;

	if (r->failed) {
		publish_failure(r);
		return;
	}
	s = get_raft_status(r->raft);
	log_role_change(r);
	pthread_mutex_lock(&r->lock);
	r->status.role = s.role;
	r->status.leader = s.leader;
	r->status.term = s.term;
	r->status.commit = s.commit;
	r->status.applied = s.applied;
	r->status.last = s.last;
	r->status.snapshot = s.snapshot;
	r->status.snapshot_errors = r->snapshot_errors;
	r->status.voter = s.voter;
	r->status.failed = false;
	r->status.transferring = s.transferring;
	r->status.current = s.role == RAFT_LEADER && r->log_time.term == s.term;
	r->status.wal = get_wal_counters(r->wal);
	r->status.proposals = r->accepted_proposals;
	r->last_round_ns = now;
	if (s.quorum_contacts != r->quorum_contacts) {
		r->quorum_contacts = s.quorum_contacts;
		r->last_contact_ns = now;
	}
	r->members = *get_raft_members(r->raft);
	publish_progress(r, &s);
	pthread_mutex_unlock(&r->lock);
}

/*
 * Runs the ticks that are due. After a stall of the thread, only
 * CATCH_UP_TICKS_MAX of them run: messages of that time may still be in
 * transit.
 */
static void
run_ticks(struct replica *r, int64_t now)
{
	int64_t due = (now - r->last_tick_ns) / TICK_NS;

	if (due <= 0)
		return;
	r->last_tick_ns += due * TICK_NS;
	if (due > CATCH_UP_TICKS_MAX)
		due = CATCH_UP_TICKS_MAX;
	for (; due > 0; due--)
		tick_raft(r->raft);
	expire_requests(r, now);
	send_reads(r);
}

/*
 * Passes the core's messages to the transport.
 */
static void
send_messages(struct replica *r)
{
	struct wire_raft_message w;
	struct raft_message m;

	while (!r->failed && pop_raft_message(r->raft, &m)) {
		export_raft_message(r, &m, &w);
		r->cfg.transport.send(r->cfg.transport.arg, m.to, &w);
	}
}

/*
 * Reports a snapshot that cannot be made and schedules the next try.
 */
static void
delay_snapshot(struct replica *r, int rc)
{
	struct raft_status s = get_raft_status(r->raft);

	r->snapshot_errors++;
	r->snapshot_retry_at = read_mono(&r->cfg.clock) + SNAPSHOT_RETRY_NS;
	WRITE_EVENT(LOG_LEVEL_ERR, "replica.snapshot_error",
	    LOG_TEXT("reason", get_err_name(rc)), LOG_INT("applied", s.applied),
	    LOG_INT("snapshot", s.snapshot), LOG_INT("log_bytes", s.log_bytes));
}

/*
 * Publishes that the member has failed; there may be no core and no log. What
 * is known of the group stays.
 */
static void
publish_failure(struct replica *r)
{
	pthread_mutex_lock(&r->lock);
	r->status.role = RAFT_FOLLOWER;
	r->status.leader = 0;
	r->status.voter = false;
	r->status.failed = true;
	r->status.transferring = false;
	r->status.current = false;
	r->progress_count = 0;
	pthread_mutex_unlock(&r->lock);
}

/*
 * Stores the next unit of storage work and reports it to the core. Returns
 * whether there was one; storage fails on an error.
 */
static bool
store_next(struct replica *r)
{
	struct raft_store s;
	struct fault f = {0};
	int64_t start;
	int rc;

	if (!pop_raft_store(r->raft, &s))
		return false;
	start = read_mono(&r->cfg.clock);
	rc = store_wal(r->wal, &s, &f);
	if (rc != 0) {
		fail_replica(r, (enum err)rc, f.text);
		return false;
	}
	set_raft_storage_ticks(r->raft,
	    (unsigned int)((read_mono(&r->cfg.clock) - start) / TICK_NS));
	r->has_stored = true;
	rc = complete_raft_store(r->raft, s.seq);
	if (rc != 0)
		fail_replica(r, ERR_MEMORY,
		    "out of memory; give the process more memory");
	return rc == 0;
}

/*
 * Loads the snapshots and applies the entries that the core hands out. The
 * replica fails when a snapshot cannot be loaded.
 */
static void
apply_committed(struct replica *r)
{
	struct raft_apply a;
	int rc;

	while (!r->failed && pop_raft_apply(r->raft, &a)) {
		if (a.snapshot == NULL) {
			apply_entry(r, &a);
			continue;
		}
		rc = r->cfg.machine.load(
		    r->cfg.machine.arg, a.index, a.snapshot->data);
		if (rc != 0) {
			fail_replica(r, (enum err)rc,
			    rc == ERR_MEMORY ?
				"out of memory; give the process more memory" :
				"the snapshot cannot be loaded; wipe the data "
				"directory and rejoin as a new member");
			return;
		}
		fail_skipped_proposals(r, a.index);
	}
}

/*
 * Applies one entry and completes its proposal.
 */
static void
apply_entry(struct replica *r, const struct raft_apply *a)
{
	struct str d = a->entry.data;
	struct replica_stamp at;

	r->result.len = 0;
	if (a->entry.type == RAFT_ENTRY_COMMAND &&
	    d.len >= REPLICA_STAMP_BYTES) {
		at.log_ns = get_i64(d.data);
		at.wall_ns = get_i64(d.data + 8);
		r->cfg.machine.apply(r->cfg.machine.arg, a->index, at,
		    make_str_n(d.data + REPLICA_STAMP_BYTES,
			d.len - REPLICA_STAMP_BYTES),
		    &r->result);
	}
	start_term_log_time(r, a->entry.term);
	finish_proposals(r, a->index, a->entry.term, view_buf(&r->result));
}

/*
 * Starts log time when this leader applies the first entry of its term: all
 * entries of earlier terms are applied by then.
 */
static void
start_term_log_time(struct replica *r, uint64_t term)
{
	struct raft_status s;

	if (r->log_time.term == term)
		return;
	s = get_raft_status(r->raft);
	if (s.role != RAFT_LEADER || s.term != term)
		return;
	start_log_time(&r->log_time, term,
	    r->cfg.machine.get_log_time(r->cfg.machine.arg),
	    read_mono(&r->cfg.clock));
}

static int64_t
get_i64(const char *p)
{
	uint64_t v = 0;

	for (int i = 7; i >= 0; i--)
		v = v << 8 | (unsigned char)p[i];
	return (int64_t)v;
}

/*
 * Reports the membership in effect to the transport when it has changed.
 */
static void
notify_members_change(struct replica *r)
{
	uint64_t index = get_raft_status(r->raft).members_index;

	if (r->members_notified && index == r->members_index)
		return;
	r->members_notified = true;
	r->members_index = index;
	if (r->cfg.transport.update_members != NULL)
		r->cfg.transport.update_members(
		    r->cfg.transport.arg, get_raft_members(r->raft));
}

/*
 * Copies what the leader knows of the members. The caller holds the lock.
 */
static void
publish_progress(struct replica *r, const struct raft_status *s)
{
	r->progress_count = 0;
	if (s->role != RAFT_LEADER)
		return;
	for (size_t i = 0; i < r->members.count; i++) {
		const struct raft_member *m = &r->members.member[i];
		bool self = m->id == r->cfg.id;

		r->progress[r->progress_count++] = (struct replica_progress){
		    .member = *m,
		    .caught_up =
			self || get_raft_match(r->raft, m->id) >= s->commit,
		    .since_contact_ns =
			self ? 0 :
			       get_raft_contact_age(r->raft, m->id) * TICK_NS,
		};
	}
}

/*
 * Logs a change of this member's role or of the leader it knows.
 */
static void
log_role_change(struct replica *r)
{
	struct raft_status s = get_raft_status(r->raft);

	static const char *const names[] = {[RAFT_FOLLOWER] = "follower",
	    [RAFT_PRE_CANDIDATE] = "pre-candidate",
	    [RAFT_CANDIDATE] = "candidate",
	    [RAFT_LEADER] = "leader"};

	if (s.role == r->role && s.leader == r->logged_leader)
		return;
	WRITE_EVENT(LOG_LEVEL_NOTICE, "replica.role",
	    LOG_TEXT("role", names[s.role]), LOG_INT("member", r->cfg.id),
	    LOG_INT("leader", s.leader), LOG_INT("term", s.term),
	    LOG_INT("commit", s.commit), LOG_INT("last", s.last));
	r->role = s.role;
	r->logged_leader = s.leader;
}
