/*
 * Reads that a quorum confirms: a read waits for a round of heartbeats that
 * starts after it, and a majority of answers to it in the same term.
 */
#include <stdlib.h>

#include "raft_core.h"

static int add_read(
    struct raft *r, uint64_t context, uint64_t from, bool forwarded);
static void finish_read(
    struct raft *r, const struct pending_read *p, int status);
static bool has_own_commit(const struct raft *r);

/*
 * Requests a read index under a context that the caller chooses and does not
 * repeat. Returns ERR_UNAVAILABLE without a leader.
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
 * A follower asks. Without a leader here, it hears so at once.
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
 * Starts a round when reads wait for one and none is under way. Reads that
 * come during a round share the next one.
 */
void
start_read_round(struct raft *r)
{
	if (r->role != RAFT_LEADER || !has_own_commit(r) ||
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
 * Gives waiting reads the round that is about to be sent, with the commit
 * index of now. Before an entry of the own term is committed, that index may
 * lag behind what an earlier leader committed, so reads wait.
 */
void
assign_reads(struct raft *r)
{
	if (!has_own_commit(r))
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
 * Finishes the reads of all rounds that a majority acknowledged.
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
 * Fails all reads, for a change of leader.
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
 * Fails reads that wait for longer than two election timeouts: the request or
 * its answer may be lost.
 */
void
age_reads(struct raft *r)
{
	size_t kept = 0;

	for (size_t i = 0; i < r->read_count; i++) {
		struct pending_read p = r->reads[i];

		p.age++;
		if (p.age < 2 * r->cfg.election_ticks)
			r->reads[kept++] = p;
		else
			finish_read(r, &p, ERR_UNAVAILABLE);
	}
	r->read_count = kept;
}

static int
add_read(struct raft *r, uint64_t context, uint64_t from, bool forwarded)
{
	struct pending_read *grown;
	size_t cap;

	if (r->read_count >= RAFT_READS_MAX)
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
 * Hands a result to the owner, or to the follower that asked.
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
			return; /* the owner's own time limit ends it */
		r->done_reads = grown;
		r->done_cap = cap;
	}
	r->done_reads[r->done_count++] =
	    (struct raft_read){p->context, status, p->index};
}

static bool
has_own_commit(const struct raft *r)
{
	return get_log_term(&r->log, r->commit) == r->hard.term;
}
