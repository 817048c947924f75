/*
 * The core's output: messages, storage work, entries to apply and reads.
 */
#include <stdlib.h>
#include <string.h>

#include "raft_core.h"

static bool has_unstored(const struct raft *r);
static bool resolve_message(struct raft *r, struct raft_message *m);

/*
 * Takes the next message that may leave: one whose stored state is complete.
 */
bool
take_raft_message(struct raft *r, struct raft_message *out)
{
	struct queued_message q;

	flush_appends(r);
	for (size_t i = r->queue_taken; i < r->queue_count; i++) {
		q = r->queue[i];
		if (q.need > r->done_seq)
			continue;
		/* Messages that wait for storage stay, in order. */
		memmove(&r->queue[r->queue_taken + 1],
		    &r->queue[r->queue_taken],
		    (i - r->queue_taken) * sizeof(q));
		r->queue_taken++;
		if (!resolve_message(r, &q.m))
			continue;
		*out = q.m;
		return true;
	}
	if (r->queue_taken == r->queue_count) {
		r->queue_taken = 0;
		r->queue_count = 0;
	}
	return false;
}

/*
 * Takes storage work. The next unit is handed out only after
 * complete_raft_store() of the one before.
 */
bool
take_raft_store(struct raft *r, struct raft_store *out)
{
	uint64_t last = get_log_last(&r->log);

	if (r->busy_seq != 0 || !has_unstored(r))
		return false;
	*out = (struct raft_store){0};
	out->seq = r->next_seq++;
	out->has_hard = r->hard_dirty;
	out->hard = r->hard;
	out->snapshot = r->snapshot_dirty ? &r->snapshot : NULL;
	out->first = r->stable + 1;
	out->entry_count = (size_t)(last - r->stable);
	out->entries = get_log_entry(&r->log, out->first);
	r->busy_seq = out->seq;
	r->busy_last = last;
	r->busy_hard = r->hard_dirty ? r->hard : (struct raft_hard_state){0};
	r->busy_snapshot = r->snapshot_dirty;
	r->hard_dirty = false;
	r->snapshot_dirty = false;
	return true;
}

/*
 * The owner reports that the work under seq is durable: messages that waited
 * for it may leave, and the own log counts up to its end.
 */
int
complete_raft_store(struct raft *r, uint64_t seq)
{
	if (seq == 0 || seq != r->busy_seq)
		return ERR_INVALID;
	r->busy_seq = 0;
	r->busy_snapshot = false;
	r->done_seq = seq;
	if (r->busy_last > r->stable)
		r->stable = r->busy_last;
	if (r->role == RAFT_CANDIDATE && r->busy_hard.term == r->hard.term &&
	    r->busy_hard.vote == r->cfg.id)
		return count_own_vote(r);
	return advance_commit(r);
}

/*
 * Takes the next step of the state machine. Only what is durable here is
 * applied, so a snapshot of the state machine never runs ahead of the log.
 */
bool
take_raft_apply(struct raft *r, struct raft_apply *out)
{
	uint64_t limit = r->commit < r->stable ? r->commit : r->stable;

	if (r->snapshot_dirty || r->busy_snapshot)
		return false;
	*out = (struct raft_apply){0};
	if (r->load_pending) {
		r->load_pending = false;
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

bool
take_raft_read(struct raft *r, struct raft_read *out)
{
	if (r->done_taken == r->done_count) {
		r->done_taken = 0;
		r->done_count = 0;
		return false;
	}
	*out = r->done_reads[r->done_taken++];
	return true;
}

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
 * Queues a message that depends on nothing unstored. Without memory it is
 * dropped, as the network might.
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
 * Queues a message that leaves only when everything changed so far is durable.
 */
void
queue_stored_message(struct raft *r, const struct raft_message *m)
{
	size_t count = r->queue_count;

	queue_message(r, m);
	if (r->queue_count == count)
		return;
	if (has_unstored(r))
		r->queue[count].need = r->next_seq;
	else
		r->queue[count].need = r->busy_seq;
}

static bool
has_unstored(const struct raft *r)
{
	uint64_t stored = r->busy_seq != 0 ? r->busy_last : r->stable;

	return r->hard_dirty || r->snapshot_dirty ||
	       get_log_last(&r->log) >
		   (stored > r->stable ? stored : r->stable);
}

/*
 * Points an APPEND or SNAPSHOT at the bytes it carries. Returns false when the
 * message is outdated, since the log may have changed after it was queued.
 */
static bool
resolve_message(struct raft *r, struct raft_message *m)
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
