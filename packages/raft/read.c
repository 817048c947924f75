/*
 * Linearizable reads by read index: a read waits for a heartbeat round that
 * starts after it, and for a majority that acknowledges the round in the same
 * term.
 */
#include <stdlib.h>

#include "raft_core.h"

static int add_read(
    struct raft *r, uint64_t context, uint64_t from, bool forwarded);
static void finish_read(
    struct raft *r, const struct pending_read *p, int status);
static bool has_committed_in_term(const struct raft *r);

/*
 * Requests a read index under a context that the caller must not reuse.
 * pop_raft_read() returns the result. Returns ERR_UNAVAILABLE without a leader,
 * ERR_LIMIT when too many reads wait, or ERR_MEMORY.
 */
int
request_raft_read(struct raft *r, uint64_t context)
{
	struct raft_message m;
	int rc;

	if (r->leader == 0)
		return ERR_UNAVAILABLE;
	rc = add_read(r, context, r->cfg.id, r->role != RAFT_LEADER);
	if (rc != 0)
		return rc;
	if (r->role == RAFT_LEADER) {
		start_read_round(r);
		return 0;
	}
	m = make_message(r, RAFT_READ, r->leader);
	m.context = context;
	queue_message(r, &m);
	return 0;
}

/*
 * Handles a follower's request for a read index. It is rejected at once when
 * this member is not the leader or cannot queue it.
 */
int
handle_read(struct raft *r, const struct raft_message *m)
{
	struct raft_message reply;
	int rc = ERR_UNAVAILABLE;

	if (r->role == RAFT_LEADER)
		rc = add_read(r, m->context, m->from, false);
	if (rc == 0) {
		start_read_round(r);
		return 0;
	}
	reply = make_message(r, RAFT_READ_REPLY, m->from);
	reply.context = m->context;
	reply.reject = true;
	queue_message(r, &reply);
	return 0;
}

/*
 * Finishes the forwarded read that the leader has answered.
 */
int
handle_read_reply(struct raft *r, const struct raft_message *m)
{
	for (size_t i = 0; i < r->read_count; i++) {
		struct pending_read p = r->reads[i];

		if (!p.forwarded || p.context != m->context)
			continue;
		p.index = m->log_index;
		r->reads[i] = r->reads[--r->read_count];
		finish_read(r, &p, m->reject ? ERR_UNAVAILABLE : 0);
		return 0;
	}
	return 0;
}

/*
 * Starts a heartbeat round when reads wait for one and none is in progress.
 * Reads that arrive during a round share the next one.
 */
void
start_read_round(struct raft *r)
{
	if (r->role != RAFT_LEADER || !has_committed_in_term(r) ||
	    r->round_acked != r->round_sent)
		return;
	for (size_t i = 0; i < r->read_count; i++) {
		if (!r->reads[i].forwarded && r->reads[i].round == 0) {
			broadcast_heartbeat(r);
			return;
		}
	}
}

/*
 * Assigns the waiting reads to the round about to be sent, with the current
 * commit index. Until an entry of the current term is committed, that index may
 * be behind what an earlier leader committed, so the reads keep waiting.
 */
void
assign_read_round(struct raft *r)
{
	if (!has_committed_in_term(r))
		return;
	for (size_t i = 0; i < r->read_count; i++) {
		struct pending_read *p = &r->reads[i];

		if (p->forwarded || p->round != 0)
			continue;
		p->round = r->round_sent;
		p->index = r->commit;
	}
}

/*
 * Finishes the reads of all rounds that a majority acknowledged, and starts the
 * next round if one is due.
 */
void
confirm_reads(struct raft *r)
{
	size_t kept = 0;

	for (size_t i = 0; i < r->read_count; i++) {
		struct pending_read p = r->reads[i];

		if (p.forwarded || p.round == 0 || p.round > r->round_acked)
			r->reads[kept++] = p;
		else
			finish_read(r, &p, 0);
	}
	r->read_count = kept;
	start_read_round(r);
}

/*
 * Fails this member's pending reads after a change of leader. Those of
 * followers are dropped: they see the change too, or time out.
 */
void
fail_reads(struct raft *r)
{
	size_t n = r->read_count;

	r->read_count = 0;
	for (size_t i = 0; i < n; i++) {
		struct pending_read p = r->reads[i];

		if (p.from == r->cfg.id)
			finish_read(r, &p, ERR_UNAVAILABLE);
	}
}

/*
 * Counts one tick for all pending reads and fails those that have waited for
 * two election timeouts: the request or its reply may be lost.
 */
void
expire_reads(struct raft *r)
{
	size_t kept = 0;

	for (size_t i = 0; i < r->read_count; i++) {
		struct pending_read p = r->reads[i];

		p.wait_ticks++;
		if (p.wait_ticks < 2 * r->cfg.election_ticks)
			r->reads[kept++] = p;
		else
			finish_read(r, &p, ERR_UNAVAILABLE);
	}
	r->read_count = kept;
}

/*
 * Adds a pending read. Returns ERR_LIMIT when too many wait, or ERR_MEMORY.
 */
static int
add_read(struct raft *r, uint64_t context, uint64_t from, bool forwarded)
{
	struct pending_read *grown;
	size_t cap;

	if (r->read_count >= PENDING_READS_MAX)
		return ERR_LIMIT;
	if (r->read_count == r->read_cap) {
		cap = r->read_cap != 0 ? r->read_cap * 2 : 16;
		grown = realloc(r->reads, cap * sizeof(*grown));
		if (grown == NULL)
			return ERR_MEMORY;
		r->reads = grown;
		r->read_cap = cap;
	}
	r->reads[r->read_count++] = (struct pending_read){
	    .context = context, .from = from, .forwarded = forwarded};
	return 0;
}

/*
 * Returns a result to the owner, or sends it to the follower that requested it.
 */
static void
finish_read(struct raft *r, const struct pending_read *p, int status)
{
	struct raft_message m;
	struct raft_read *grown;
	size_t cap;

	if (p->from != r->cfg.id) {
		m = make_message(r, RAFT_READ_REPLY, p->from);
		m.context = p->context;
		m.log_index = p->index;
		m.reject = status != 0;
		queue_message(r, &m);
		return;
	}
	if (r->done_count == r->done_cap) {
		cap = r->done_cap != 0 ? r->done_cap * 2 : 16;
		grown = realloc(r->done_reads, cap * sizeof(*grown));
		if (grown == NULL)
			return; /* the owner's own timeout ends it */
		r->done_reads = grown;
		r->done_cap = cap;
	}
	r->done_reads[r->done_count++] =
	    (struct raft_read){p->context, status, p->index};
}

/*
 * Returns whether an entry of the current term is committed.
 */
static bool
has_committed_in_term(const struct raft *r)
{
	return get_log_term(&r->log, r->commit) == r->hard.term;
}
