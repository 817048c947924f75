/*
 * The replica's work: ticks, the core's output, compaction and status.
 */
#include <string.h>

#include "log.h"
#include "replica_core.h"

static void run_ticks(struct replica *r, int64_t now);
static void send_messages(struct replica *r);
static bool run_store(struct replica *r);
static void run_applies(struct replica *r);
static void apply_entry(struct replica *r, const struct raft_apply *a);
static void begin_term(struct replica *r, uint64_t term);
static int64_t get_i64(const char *p);
static void watch_members(struct replica *r);
static void log_role(struct replica *r);
static void publish_progress(struct replica *r, const struct raft_status *s);

/*
 * Takes what was handed in and carries out all that is due. Everything that
 * came while the last sync ran shares the next one.
 */
void
pump_replica(struct replica *r)
{
	int64_t now = read_mono(&r->cfg.clock);
	struct item *it, *next;

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
		/* Messages first: they may show that the leader is alive. */
		run_ticks(r, now);
		run_output(r);
	}
	if (!r->failed)
		compact_replica(r);
	else
		r->last_tick = now;
	publish_status(r, now);
}

/*
 * Carries out the core's output. Entries leave for the followers before they
 * are stored here, so that both syncs run at the same time.
 */
void
run_output(struct replica *r)
{
	struct raft_read rd;

	do {
		send_messages(r);
		run_applies(r);
		while (!r->failed && pop_raft_read(r->raft, &rd))
			note_read(r, &rd);
		if (!r->failed)
			finish_reads(r);
	} while (!r->failed && run_store(r));
	if (!r->failed)
		watch_members(r);
}

/*
 * Replaces the log by a snapshot of the state machine when it is long.
 */
void
compact_replica(struct replica *r)
{
	struct raft_status s = get_raft_status(r->raft);
	struct fault f = {0};
	struct buf b = {0};
	int rc;

	if (s.log_bytes < r->cfg.snapshot_bytes || s.applied <= s.snapshot ||
	    is_raft_sending_snapshot(r->raft))
		return;
	rc = r->cfg.machine.save(r->cfg.machine.arg, &b);
	if (rc == 0)
		rc = compact_raft(r->raft, s.applied, view_buf(&b));
	unload_buf(&b);
	if (rc != 0)
		return; /* tried again with the next work */
	rc = save_wal_snapshot(r->wal, get_raft_snapshot(r->raft), &f);
	if (rc != 0)
		fail_replica(r, f.text);
}

void
publish_status(struct replica *r, int64_t now)
{
	struct raft_status s = get_raft_status(r->raft);

	if (!r->failed)
		log_role(r);
	pthread_mutex_lock(&r->lock);
	r->status.role = r->failed ? RAFT_FOLLOWER : s.role;
	r->status.leader = r->failed ? 0 : s.leader;
	r->status.term = s.term;
	r->status.commit = s.commit;
	r->status.applied = s.applied;
	r->status.last = s.last;
	r->status.snapshot = s.snapshot;
	r->status.voter = s.voter && !r->failed;
	r->status.failed = r->failed;
	r->status.transferring = s.transferring;
	r->status.wal = get_wal_counters(r->wal);
	r->status.proposals = r->accepted;
	if (s.quorum_contacts != r->quorum_contacts) {
		r->quorum_contacts = s.quorum_contacts;
		r->contact_at = now;
	}
	r->members = *get_raft_members(r->raft);
	publish_progress(r, &s);
	pthread_mutex_unlock(&r->lock);
}

/*
 * Ends the membership of this process for good. Proposals that wait may still
 * take effect, since others may hold them.
 */
void
fail_replica(struct replica *r, const char *text)
{
	if (r->failed)
		return;
	r->failed = true;
	write_log(LOG_LEVEL_ERR, "no longer a member of the group: %s", text);
	fail_requests(r);
}

/*
 * Runs the ticks that are due. After a stall, only a few are made up for:
 * messages of that time may still be on their way.
 */
static void
run_ticks(struct replica *r, int64_t now)
{
	int64_t due = (now - r->last_tick) / TICK_NS;

	if (due <= 0)
		return;
	r->last_tick += due * TICK_NS;
	if (due > TICKS_AT_ONCE)
		due = TICKS_AT_ONCE;
	for (; due > 0; due--)
		tick_raft(r->raft);
	expire_requests(r, now);
	send_reads(r);
}

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
 * Stores one unit and reports it to the core. Returns whether there was one.
 */
static bool
run_store(struct replica *r)
{
	struct raft_store s;
	struct fault f = {0};
	int rc;

	if (!pop_raft_store(r->raft, &s))
		return false;
	rc = store_wal(r->wal, &s, &f);
	if (rc != 0) {
		fail_replica(r, f.text);
		return false;
	}
	rc = complete_raft_store(r->raft, s.seq);
	if (rc != 0)
		fail_replica(r, "out of memory; restart this member");
	return rc == 0;
}

static void
run_applies(struct replica *r)
{
	struct raft_apply a;

	while (!r->failed && pop_raft_apply(r->raft, &a)) {
		if (a.snapshot == NULL) {
			apply_entry(r, &a);
			continue;
		}
		if (r->cfg.machine.load(
			r->cfg.machine.arg, a.index, a.snapshot->data) != 0) {
			fail_replica(r,
			    "the snapshot cannot be loaded; wipe the data "
			    "directory and rejoin as a new member");
			return;
		}
		skip_proposals(r, a.index);
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
	begin_term(r, a->entry.term);
	finish_proposals(r, a->index, a->entry.term, view_buf(&r->result));
}

/*
 * Starts log time when a leader has applied the first entry of its term, since
 * then all entries of earlier terms are applied too.
 */
static void
begin_term(struct replica *r, uint64_t term)
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

static void
watch_members(struct replica *r)
{
	uint64_t index = get_raft_status(r->raft).members_index;

	if (r->members_known && index == r->members_index)
		return;
	r->members_known = true;
	r->members_index = index;
	if (r->cfg.transport.update_members != NULL)
		r->cfg.transport.update_members(
		    r->cfg.transport.arg, get_raft_members(r->raft));
}

/*
 * Copies what the leader knows of the members; lock held.
 */
static void
publish_progress(struct replica *r, const struct raft_status *s)
{
	r->progress_count = 0;
	if (r->failed || s->role != RAFT_LEADER)
		return;
	for (size_t i = 0; i < r->members.count; i++) {
		const struct raft_member *m = &r->members.member[i];
		bool self = m->id == r->cfg.id;

		r->progress[r->progress_count++] = (struct replica_progress){
		    .member = *m,
		    .caught_up =
			self || get_raft_match(r->raft, m->id) >= s->commit,
		    .silent_ns =
			self ? 0 :
			       get_raft_contact_age(r->raft, m->id) * TICK_NS,
		};
	}
}

static void
log_role(struct replica *r)
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
