/*
 * Snapshots: log compaction, and the transfer in chunks to members that need
 * entries which are no longer in the log.
 */
#include <string.h>

#include "raft_core.h"

static int install_snapshot(struct raft *r, const struct raft_message *m);
static void reply_snapshot_progress(
    struct raft *r, const struct raft_message *m, uint64_t received);

/*
 * Replaces the entries up to index with a snapshot of the state machine, data,
 * which is copied. Up to trailing_bytes of entries stay for followers that are
 * slightly behind. Returns ERR_INVALID when index is not applied or not above
 * the current snapshot, ERR_CONFLICT while a live member receives the current
 * snapshot: a new one would restart that transfer.
 */
int
compact_raft(struct raft *r, uint64_t index, struct str data)
{
	struct raft_snapshot s = {.index = index};
	uint64_t keep = index;
	size_t bytes = 0;
	int rc;

	if (index <= r->snapshot.index || index > r->applied)
		return ERR_INVALID;
	if (is_raft_sending_snapshot(r))
		return ERR_CONFLICT;
	s.term = get_log_term(&r->log, index);
	rc = find_members_at(r, index, &s.members);
	if (rc == 0)
		rc = copy_bytes(data, &s.data);
	if (rc != 0)
		return rc;
	free_bytes(&r->snapshot.data);
	r->snapshot = s;
	while (keep > r->log.base_index) {
		size_t more = get_entry_bytes(get_log_entry(&r->log, keep));

		if (bytes + more > r->cfg.trailing_bytes)
			break;
		bytes += more;
		keep--;
	}
	trim_log(&r->log, keep);
	r->retained_bytes = bytes;
	if (r->members_index < index)
		r->members_index = index;
	return 0;
}

/*
 * Returns whether this leader is sending its snapshot to a live member.
 */
bool
is_raft_sending_snapshot(const struct raft *r)
{
	for (size_t i = 0; i < r->peer_count && r->role == RAFT_LEADER; i++) {
		if (r->peers[i].state == PEER_SNAPSHOT &&
		    r->peers[i].ticks_since_contact < r->cfg.election_ticks)
			return true;
	}
	return false;
}

/*
 * Sends the next chunk unless the previous one is not acknowledged. A newer
 * snapshot starts at offset 0.
 */
void
send_snapshot_chunk(struct raft *r, struct peer *p)
{
	struct raft_message m = make_message(r, RAFT_SNAPSHOT, p->id);

	if (p->snapshot_index != r->snapshot.index) {
		p->snapshot_index = r->snapshot.index;
		p->chunk_offset = 0;
		p->paused = false;
	}
	if (p->paused)
		return;
	p->paused = true;
	m.log_index = r->snapshot.index;
	m.log_term = r->snapshot.term;
	m.members = r->snapshot.members;
	m.snapshot_offset = p->chunk_offset;
	m.snapshot_size = r->snapshot.data.len;
	queue_message(r, &m);
}

/*
 * Collects chunks in order. The last one replaces the log and the state
 * machine.
 */
int
handle_snapshot(struct raft *r, const struct raft_message *m)
{
	struct incoming_snapshot *in = &r->incoming;
	struct raft_message reply;
	int rc;

	if (m->log_index <= r->commit) {
		reply = make_message(r, RAFT_APPEND_REPLY, m->from);
		reply.log_index = r->commit;
		queue_message_after_store(r, &reply);
		return 0;
	}
	if (m->snapshot_offset > m->snapshot_size ||
	    m->snapshot.len > m->snapshot_size - m->snapshot_offset)
		return ERR_INVALID;
	if (in->from != m->from || in->term != m->term ||
	    in->index != m->log_index || in->size != m->snapshot_size) {
		unload_buf(&in->data);
		in->from = m->from;
		in->term = m->term;
		in->index = m->log_index;
		in->size = m->snapshot_size;
	}
	if (m->snapshot_offset == in->data.len) {
		rc = append_buf(&in->data, m->snapshot.data, m->snapshot.len);
		if (rc != 0)
			return rc;
	}
	if (in->data.len < in->size) {
		reply_snapshot_progress(r, m, in->data.len);
		return 0;
	}
	return install_snapshot(r, m);
}

/*
 * Continues the transfer at the offset that p has reached.
 */
int
handle_snapshot_reply(struct raft *r, const struct raft_message *m)
{
	struct peer *p = find_peer(r, m->from);

	if (p == NULL || r->role != RAFT_LEADER || p->state != PEER_SNAPSHOT ||
	    p->snapshot_index != m->log_index ||
	    m->snapshot_offset > r->snapshot.data.len)
		return 0;
	if (m->snapshot_offset == p->chunk_offset)
		return 0;
	p->chunk_offset = m->snapshot_offset;
	p->paused = false;
	p->send_pending = true;
	return 0;
}

/*
 * Replaces the log with the collected snapshot. The reply to the leader is sent
 * once the snapshot is durable.
 */
static int
install_snapshot(struct raft *r, const struct raft_message *m)
{
	struct raft_message reply = make_message(r, RAFT_APPEND_REPLY, m->from);
	struct raft_snapshot s = {m->log_index, m->log_term, m->members, {0}};
	int rc;

	reply.log_index = m->log_index;
	if (get_log_term(&r->log, m->log_index) == m->log_term) {
		/* The log already has all that the snapshot includes. */
		unload_buf(&r->incoming.data);
		memset(&r->incoming, 0, sizeof(r->incoming));
		set_commit(r, m->log_index);
		queue_message_after_store(r, &reply);
		return 0;
	}
	rc = copy_bytes(view_buf(&r->incoming.data), &s.data);
	if (rc != 0)
		return rc;
	unload_buf(&r->incoming.data);
	memset(&r->incoming, 0, sizeof(r->incoming));
	free_bytes(&r->snapshot.data);
	r->snapshot = s;
	r->snapshot_dirty = true;
	r->snapshot_load_pending = true;
	r->retained_bytes = 0;
	reset_log(&r->log, s.index, s.term);
	r->stable = s.index;
	r->store_last = 0;
	r->commit = s.index;
	rc = load_log_members(r);
	queue_message_after_store(r, &reply);
	return rc;
}

/*
 * Tells the leader how many bytes of the snapshot have arrived.
 */
static void
reply_snapshot_progress(
    struct raft *r, const struct raft_message *m, uint64_t received)
{
	struct raft_message reply =
	    make_message(r, RAFT_SNAPSHOT_REPLY, m->from);

	reply.log_index = m->log_index;
	reply.snapshot_offset = received;
	queue_message_after_store(r, &reply);
}
