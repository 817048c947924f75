/*
 * Snapshots: compaction, and the transfer in chunks to members that fell behind
 * the log.
 */
#include <string.h>

#include "raft_core.h"

static int install_snapshot(struct raft *r, const struct raft_message *m);
static void reply_chunk(
    struct raft *r, const struct raft_message *m, uint64_t received);

/*
 * Replaces the entries up to index, which must be applied, with the state
 * machine's bytes. Some entries below stay for followers that are a little
 * behind. Returns ERR_CONFLICT while a live member receives the present
 * snapshot, since a new one would make it start again.
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
	if (is_raft_sending(r))
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
	r->trailing = bytes;
	if (r->members_index < index)
		r->members_index = index;
	return 0;
}

bool
is_raft_sending(const struct raft *r)
{
	for (size_t i = 0; i < r->peer_count && r->role == RAFT_LEADER; i++) {
		if (r->peers[i].state == PEER_SNAPSHOT &&
		    r->peers[i].age < r->cfg.election_ticks)
			return true;
	}
	return false;
}

/*
 * Sends the next chunk and waits for its answer. A newer snapshot starts from
 * its beginning.
 */
void
send_snapshot_chunk(struct raft *r, struct peer *p)
{
	struct raft_message m = make_message(r, RAFT_SNAPSHOT, p->id);

	if (p->chunk_index != r->snapshot.index) {
		p->chunk_index = r->snapshot.index;
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
 * Collects chunks in order. The last one replaces log and state machine.
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
		queue_stored_message(r, &reply);
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
		reply_chunk(r, m, in->data.len);
		return 0;
	}
	return install_snapshot(r, m);
}

int
handle_snapshot_reply(struct raft *r, const struct raft_message *m)
{
	struct peer *p = find_peer(r, m->from);

	if (p == NULL || r->role != RAFT_LEADER || p->state != PEER_SNAPSHOT ||
	    p->chunk_index != m->log_index ||
	    m->snapshot_offset > r->snapshot.data.len)
		return 0;
	if (m->snapshot_offset == p->chunk_offset)
		return 0;
	p->chunk_offset = m->snapshot_offset;
	p->paused = false;
	p->pending = true;
	return 0;
}

/*
 * Puts the collected snapshot in place of the log. The answer to the leader
 * leaves once the snapshot is durable.
 */
static int
install_snapshot(struct raft *r, const struct raft_message *m)
{
	struct raft_message reply = make_message(r, RAFT_APPEND_REPLY, m->from);
	struct raft_snapshot s = {m->log_index, m->log_term, m->members, {0}};
	int rc;

	reply.log_index = m->log_index;
	if (get_log_term(&r->log, m->log_index) == m->log_term) {
		/* The log already holds what the snapshot stands for. */
		unload_buf(&r->incoming.data);
		memset(&r->incoming, 0, sizeof(r->incoming));
		set_commit(r, m->log_index);
		queue_stored_message(r, &reply);
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
	r->load_pending = true;
	r->trailing = 0;
	reset_log(&r->log, s.index, s.term);
	r->stable = s.index;
	r->busy_last = 0;
	r->commit = s.index;
	rc = load_log_members(r);
	queue_stored_message(r, &reply);
	return rc;
}

static void
reply_chunk(struct raft *r, const struct raft_message *m, uint64_t received)
{
	struct raft_message reply =
	    make_message(r, RAFT_SNAPSHOT_REPLY, m->from);

	reply.log_index = m->log_index;
	reply.snapshot_offset = received;
	queue_stored_message(r, &reply);
}
