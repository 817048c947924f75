/*
 * The core's output: messages, storage work, entries to apply and finished
 * reads.
 */
#include <stdlib.h>
#include <string.h>

#include "raft_core.h"

static bool has_unstored_state(const struct raft *r);
static bool attach_message_data(struct raft *r, struct raft_message *m);

/*
 * Pops the next message that may be sent: one that waits for no storage work.
 */
bool
pop_raft_message(struct raft *r, struct raft_message *out)
{
	struct queued_message q;

	flush_appends(r);
	for (size_t i = r->queue_head; i < r->queue_count; i++) {
		q = r->queue[i];
		if (q.required_seq > r->stored_seq)
			continue;
		/* Messages that wait for storage stay queued, in order. */
		memmove(&r->queue[r->queue_head + 1], &r->queue[r->queue_head],
		    (i - r->queue_head) * sizeof(q));
		r->queue_head++;
		if (!attach_message_data(r, &q.m))
			continue;
		*out = q.m;
		return true;
	}
	if (r->queue_head == r->queue_count) {
		r->queue_head = 0;
		r->queue_count = 0;
	}
	return false;
}

/*
 * Pops the next unit of storage work. There is none while the previous one is
 * not reported by complete_raft_store().
 */
bool
pop_raft_store(struct raft *r, struct raft_store *out)
{
	uint64_t last = get_log_last(&r->log);

	if (r->store_seq != 0 || !has_unstored_state(r))
		return false;
	*out = (struct raft_store){0};
	out->seq = r->next_store_seq++;
	out->has_hard = r->hard_dirty;
	out->hard = r->hard;
	out->snapshot = r->snapshot_dirty ? &r->snapshot : NULL;
	out->first = r->stable + 1;
	out->entry_count = (size_t)(last - r->stable);
	out->entries = get_log_entry(&r->log, out->first);
	r->store_seq = out->seq;
	r->store_last = last;
	r->store_hard = r->hard_dirty ? r->hard : (struct raft_hard_state){0};
	r->store_has_snapshot = r->snapshot_dirty;
	r->hard_dirty = false;
	r->snapshot_dirty = false;
	return true;
}

/*
 * Reports that the storage work seq is durable: messages that waited for it may
 * be sent, and its entries count towards a quorum. Returns ERR_INVALID when seq
 * is not the outstanding work, or ERR_MEMORY.
 */
int
complete_raft_store(struct raft *r, uint64_t seq)
{
	if (seq == 0 || seq != r->store_seq)
		return ERR_INVALID;
	r->store_seq = 0;
	r->store_has_snapshot = false;
	r->stored_seq = seq;
	if (r->store_last > r->stable)
		r->stable = r->store_last;
	if (r->role == RAFT_CANDIDATE && r->store_hard.term == r->hard.term &&
	    r->store_hard.vote == r->cfg.id)
		return count_own_vote(r);
	return advance_commit(r);
}

/*
 * Pops the next step of the state machine. Only entries that are durable here
 * are applied, so a state machine snapshot is never ahead of the stored log.
 */
bool
pop_raft_apply(struct raft *r, struct raft_apply *out)
{
	uint64_t limit = r->commit < r->stable ? r->commit : r->stable;

	if (r->snapshot_dirty || r->store_has_snapshot)
		return false;
	*out = (struct raft_apply){0};
	if (r->snapshot_load_pending) {
		r->snapshot_load_pending = false;
		r->applied = r->snapshot.index;
		out->snapshot = &r->snapshot;
		out->index = r->applied;
		return true;
	}
	if (r->applied >= limit)
		return false;
	r->applied++;
	out->index = r->applied;
	out->entry = *get_log_entry(&r->log, r->applied);
	return true;
}

/*
 * Pops the next finished read of this member.
 */
bool
pop_raft_read(struct raft *r, struct raft_read *out)
{
	if (r->done_head == r->done_count) {
		r->done_head = 0;
		r->done_count = 0;
		return false;
	}
	*out = r->done_reads[r->done_head++];
	return true;
}

/*
 * Returns a message from this member in the current term; the other fields are
 * zero.
 */
struct raft_message
make_message(const struct raft *r, enum raft_message_type type, uint64_t to)
{
	struct raft_message m = {0};

	m.type = type;
	m.from = r->cfg.id;
	m.to = to;
	m.term = r->hard.term;
	return m;
}

/*
 * Queues a message that may be sent at once. Without memory it is dropped, as
 * if the network had lost it.
 */
void
queue_message(struct raft *r, const struct raft_message *m)
{
	struct queued_message *grown;
	size_t cap;

	if (r->queue_count == r->queue_cap) {
		cap = r->queue_cap != 0 ? r->queue_cap * 2 : 32;
		grown = realloc(r->queue, cap * sizeof(*grown));
		if (grown == NULL)
			return;
		r->queue = grown;
		r->queue_cap = cap;
	}
	r->queue[r->queue_count++] = (struct queued_message){*m, 0};
}

/*
 * Queues a message that may be sent only when all state changed so far is
 * durable.
 */
void
queue_message_after_store(struct raft *r, const struct raft_message *m)
{
	size_t count = r->queue_count;

	queue_message(r, m);
	if (r->queue_count == count)
		return;
	if (has_unstored_state(r))
		r->queue[count].required_seq = r->next_store_seq;
	else
		r->queue[count].required_seq = r->store_seq;
}

/*
 * Returns whether there is state that no storage work covers yet.
 */
static bool
has_unstored_state(const struct raft *r)
{
	uint64_t stored = r->store_seq != 0 ? r->store_last : r->stable;

	return r->hard_dirty || r->snapshot_dirty ||
	       get_log_last(&r->log) >
		   (stored > r->stable ? stored : r->stable);
}

/*
 * Points an APPEND or SNAPSHOT at the bytes it carries. Returns false when the
 * message is obsolete: the role, term, log or snapshot changed after it was
 * queued.
 */
static bool
attach_message_data(struct raft *r, struct raft_message *m)
{
	if (m->type != RAFT_APPEND && m->type != RAFT_SNAPSHOT)
		return true;
	if (r->role != RAFT_LEADER || m->term != r->hard.term)
		return false;
	if (m->type == RAFT_APPEND) {
		if (m->log_index < r->log.base_index)
			return false;
		m->entries = get_log_entry(&r->log, m->log_index + 1);
		return true;
	}
	if (m->log_index != r->snapshot.index)
		return false;
	if (r->snapshot.data.len == 0)
		return true;
	m->snapshot.data = r->snapshot.data.data + m->snapshot_offset;
	m->snapshot.len = r->snapshot.data.len - m->snapshot_offset;
	if (m->snapshot.len > r->cfg.chunk_bytes)
		m->snapshot.len = r->cfg.chunk_bytes;
	return true;
}
