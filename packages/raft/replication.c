/*
 * Log replication: APPEND, heartbeats and commit.
 */
#include "raft_core.h"

static void send_append(struct raft *r, struct peer *p);
static size_t count_append_entries(const struct raft *r, const struct peer *p);
static int merge_entries(struct raft *r, const struct raft_message *m);
static void record_match(struct raft *r, struct peer *p, uint64_t match);
static void release_window(struct peer *p, uint64_t match);

/*
 * Appends an entry of the current term to the leader's log and marks it for
 * sending to all peers. Returns ERR_MEMORY.
 */
int
append_leader_entry(struct raft *r, enum raft_entry_type type, struct str data)
{
	struct raft_entry e = {r->hard.term, type, data};
	int rc = append_log(&r->log, &e);

	if (rc != 0)
		return rc;
	r->proposed_bytes += get_entry_bytes(&e);
	mark_sends_pending(r);
	return 0;
}

/*
 * Handles entries from the leader. The reply to a mismatch has a hint where the
 * logs may agree, so that the leader skips whole terms.
 */
int
handle_append(struct raft *r, const struct raft_message *m)
{
	struct raft_message reply;
	uint64_t match = m->log_index + m->entry_count;
	int rc;

	reply = make_message(r, RAFT_APPEND_REPLY, m->from);
	reply.hint = r->storage_ticks;
	if (m->log_index < r->commit) {
		reply.log_index = r->commit;
		queue_message_after_store(r, &reply);
		return 0;
	}
	if (m->log_index > get_log_last(&r->log) ||
	    get_log_term(&r->log, m->log_index) != m->log_term) {
		reply.reject = true;
		reply.log_index = m->log_index;
		reply.hint =
		    find_last_at_term(&r->log, m->log_index, m->log_term);
		reply.log_term = get_log_term(&r->log, reply.hint);
		queue_message_after_store(r, &reply);
		return 0;
	}
	rc = merge_entries(r, m);
	if (rc != 0)
		return rc;
	set_commit(r, m->commit < match ? m->commit : match);
	reply.log_index = match;
	queue_message_after_store(r, &reply);
	return 0;
}

/*
 * Handles a follower's reply: a match may advance the commit index, a rejection
 * moves the next index to send.
 */
int
handle_append_reply(struct raft *r, const struct raft_message *m)
{
	struct peer *p = find_peer(r, m->from);
	uint64_t at;

	if (p == NULL || r->role != RAFT_LEADER)
		return 0;
	if (!m->reject) {
		if (m->log_index > get_log_last(&r->log))
			return ERR_INVALID;
		p->storage_ticks = limit_storage_ticks(r, m->hint);
		record_match(r, p, m->log_index);
		return advance_commit(r);
	}
	if (p->state == PEER_SNAPSHOT)
		return 0;
	if (m->log_index > p->match && p->state == PEER_PROBE &&
	    m->log_index != p->next - 1)
		return 0;
	at = find_last_at_term(&r->log, m->hint, m->log_term);
	/*
	 * A disk that reports a sync too early can lose entries that its
	 * member acknowledged. Lowering the match is always safe, since the
	 * commit index never moves back.
	 */
	if (m->log_index <= p->match && at < p->match)
		p->match = at;
	if (at >= m->log_index)
		at = m->log_index - 1;
	p->next = (at > p->match ? at : p->match) + 1;
	p->state = PEER_PROBE;
	p->in_flight = 0;
	p->paused = false;
	p->send_pending = true;
	return 0;
}

/*
 * Handles a heartbeat. The leader sends no commit index above what it knows to
 * be durable here, so one beyond the end of the log means that entries were
 * lost.
 */
int
handle_heartbeat(struct raft *r, const struct raft_message *m)
{
	uint64_t last = get_log_last(&r->log);
	struct raft_message reply;

	if (m->commit > last) {
		/* Entries that this member acknowledged are missing. */
		reply = make_message(r, RAFT_APPEND_REPLY, m->from);
		reply.reject = true;
		reply.log_index = m->commit;
		reply.hint = last;
		reply.log_term = get_log_term(&r->log, last);
		queue_message_after_store(r, &reply);
	} else {
		set_commit(r, m->commit);
	}
	reply = make_message(r, RAFT_HEARTBEAT_REPLY, m->from);
	reply.context = m->context;
	queue_message_after_store(r, &reply);
	return 0;
}

/*
 * Records the acknowledged round for reads, and sends again to a member that is
 * behind: earlier messages may be lost.
 */
int
handle_heartbeat_reply(struct raft *r, const struct raft_message *m)
{
	struct peer *p = find_peer(r, m->from);
	uint64_t acked;

	if (p == NULL || r->role != RAFT_LEADER)
		return 0;
	if (m->context > p->acked_round && m->context <= r->round_sent)
		p->acked_round = m->context;
	if (p->match < get_log_last(&r->log)) {
		p->paused = false;
		p->send_pending = true;
		if (p->in_flight == r->cfg.append_window)
			release_window(p, p->window[0]);
	}
	acked = get_quorum_value(r, true);
	if (acked > r->round_acked) {
		r->round_acked = acked;
		r->quorum_contacts++;
		confirm_reads(r);
	}
	return 0;
}

/*
 * Sends a new round of heartbeats to all members and assigns the waiting reads
 * to it.
 */
void
broadcast_heartbeat(struct raft *r)
{
	struct raft_message m;

	r->heartbeat_elapsed = 0;
	r->round_sent++;
	assign_read_round(r);
	for (size_t i = 0; i < r->peer_count; i++) {
		struct peer *p = &r->peers[i];

		if (p->id == r->cfg.id)
			continue;
		m = make_message(r, RAFT_HEARTBEAT, p->id);
		m.commit = p->match < r->commit ? p->match : r->commit;
		m.context = r->round_sent;
		queue_message(r, &m);
	}
	if (get_quorum_size(r) == 1 && is_self_voter(r)) {
		r->round_acked = r->round_sent;
		r->quorum_contacts++;
		confirm_reads(r);
	}
}

/*
 * Makes the next flush_appends() check all peers.
 */
void
mark_sends_pending(struct raft *r)
{
	for (size_t i = 0; i < r->peer_count; i++)
		r->peers[i].send_pending = true;
}

/*
 * Queues the APPENDs and snapshot chunks that peers with pending sends may get
 * now. Called when the owner pops messages, so that proposals made together are
 * sent together.
 */
void
flush_appends(struct raft *r)
{
	if (r->role != RAFT_LEADER)
		return;
	for (size_t i = 0; i < r->peer_count; i++) {
		struct peer *p = &r->peers[i];

		if (!p->send_pending || p->id == r->cfg.id)
			continue;
		p->send_pending = false;
		if (p->state != PEER_SNAPSHOT && p->next <= r->log.base_index) {
			p->state = PEER_SNAPSHOT;
			p->snapshot_index = 0;
			p->paused = false;
		}
		if (p->state == PEER_SNAPSHOT) {
			send_snapshot_chunk(r, p);
			continue;
		}
		if (p->state == PEER_PROBE) {
			if (!p->paused)
				send_append(r, p);
			p->paused = true;
			continue;
		}
		do {
			if (p->in_flight >= r->cfg.append_window)
				break;
			send_append(r, p);
		} while (p->next <= get_log_last(&r->log));
	}
}

/*
 * Commits what is durable on a majority if it is of the current term. Entries
 * of earlier terms are committed only by one of the current term after them.
 */
int
advance_commit(struct raft *r)
{
	uint64_t n;

	if (r->role != RAFT_LEADER)
		return 0;
	n = get_quorum_value(r, false);
	if (n <= r->commit || get_log_term(&r->log, n) != r->hard.term)
		return 0;
	for (uint64_t i = r->commit + 1; i <= n; i++)
		r->proposed_bytes -= get_entry_bytes(get_log_entry(&r->log, i));
	set_commit(r, n);
	mark_sends_pending(r);
	start_read_round(r);
	return 0;
}

/*
 * Raises the commit index; it never moves back.
 */
void
set_commit(struct raft *r, uint64_t index)
{
	if (index > r->commit)
		r->commit = index;
}

/*
 * Sends the entries from p->next on; without any, the APPEND just carries the
 * commit index.
 */
static void
send_append(struct raft *r, struct peer *p)
{
	struct raft_message m = make_message(r, RAFT_APPEND, p->id);

	m.log_index = p->next - 1;
	m.log_term = get_log_term(&r->log, m.log_index);
	m.commit = r->commit;
	m.entry_count = count_append_entries(r, p);
	queue_message(r, &m);
	if (p->state == PEER_REPLICATE && m.entry_count > 0) {
		p->next += m.entry_count;
		p->window[p->in_flight++] = p->next - 1;
	}
}

/*
 * Counts the entries that fit into one APPEND; at least one if there is one.
 */
static size_t
count_append_entries(const struct raft *r, const struct peer *p)
{
	uint64_t last = get_log_last(&r->log);
	size_t n = 0, bytes = 0;

	while (p->next + n <= last && n < r->cfg.append_entries) {
		bytes += get_entry_bytes(get_log_entry(&r->log, p->next + n));
		if (n > 0 && bytes > r->cfg.append_bytes)
			break;
		n++;
	}
	return n;
}

/*
 * Merges the entries of m into the log after m->log_index. Entries that are
 * already there stay; from the first conflict on, they are replaced. Returns
 * ERR_CORRUPT when that would replace a committed entry or a membership does
 * not decode, or ERR_MEMORY.
 */
static int
merge_entries(struct raft *r, const struct raft_message *m)
{
	bool members_changed = false;
	size_t i = 0;
	int rc;

	while (
	    i < m->entry_count &&
	    m->log_index + 1 + i <= get_log_last(&r->log) &&
	    get_log_term(&r->log, m->log_index + 1 + i) == m->entries[i].term)
		i++;
	if (i == m->entry_count)
		return 0;
	if (m->log_index + 1 + i <= get_log_last(&r->log)) {
		uint64_t first = m->log_index + 1 + i;

		if (first <= r->commit)
			return ERR_CORRUPT;
		truncate_log(&r->log, first);
		if (r->stable >= first)
			r->stable = first - 1;
		if (r->store_last >= first)
			r->store_last = first - 1;
		members_changed = r->members_index >= first;
	}
	for (; i < m->entry_count; i++) {
		rc = append_log(&r->log, &m->entries[i]);
		if (rc != 0)
			return rc;
		if (m->entries[i].type == RAFT_ENTRY_MEMBERS)
			members_changed = true;
	}
	return members_changed ? load_log_members(r) : 0;
}

/*
 * Records that p has the log up to match, and replicates to it from there
 * unless it still needs the snapshot.
 */
static void
record_match(struct raft *r, struct peer *p, uint64_t match)
{
	if (match > p->match)
		p->match = match;
	release_window(p, match);
	if (p->state == PEER_SNAPSHOT && match < r->log.base_index)
		return;
	if (p->state != PEER_REPLICATE) {
		p->state = PEER_REPLICATE;
		p->next = p->match + 1;
		p->in_flight = 0;
	}
	if (p->next <= p->match)
		p->next = p->match + 1;
	p->paused = false;
	if (p->next <= get_log_last(&r->log))
		p->send_pending = true;
	continue_transfer(r, p);
}

/*
 * Removes the APPENDs that end at or before match from the window of p.
 */
static void
release_window(struct peer *p, uint64_t match)
{
	size_t n = 0;

	while (n < p->in_flight && p->window[n] <= match)
		n++;
	for (size_t i = n; i < p->in_flight; i++)
		p->window[i - n] = p->window[i];
	p->in_flight -= n;
}
