/*
 * Roles and elections: pre-vote, vote and the change of roles.
 */
#include "raft_core.h"

#define HASTE 3 /* times shorter than the least election timeout */

static bool is_log_current(const struct raft *r, uint64_t index, uint64_t term);
static void reset_peers(struct raft *r);

/*
 * Draws the next election timeout and starts to count from zero.
 */
void
reset_election_timer(struct raft *r)
{
	r->election_elapsed = 0;
	r->election_timeout =
	    r->cfg.election_ticks +
	    (unsigned int)draw_below(&r->rng, r->cfg.election_ticks + 1);
}

/*
 * Shortens the timeout of a member that has met no leader since its start, so
 * that a group of which all members restart is without one only for a moment.
 * What such a member asks is a pre-vote, which disturbs no leader.
 */
void
hasten_election(struct raft *r)
{
	unsigned int least = r->cfg.election_ticks / HASTE;

	if (r->contacts > 0)
		return;
	r->election_timeout = least + 1 +
			      (unsigned int)draw_below(
				  &r->rng, r->cfg.election_ticks - least + 1);
}

/*
 * Follows leader (0: none known) in term. A higher term clears the vote.
 */
void
become_follower(struct raft *r, uint64_t term, uint64_t leader)
{
	if (term > r->hard.term) {
		r->hard.term = term;
		r->hard.vote = 0;
		r->hard_dirty = true;
	}
	if (r->leader != leader || r->role == RAFT_LEADER)
		fail_reads(r);
	r->role = RAFT_FOLLOWER;
	r->leader = leader;
	r->transferee = 0;
	r->uncommitted = 0;
	reset_election_timer(r);
}

/*
 * Starts an election. With pre, only asks whether it could be won, which
 * leaves terms alone; with force, voters ignore that they have a leader.
 */
int
start_campaign(struct raft *r, bool pre, bool force)
{
	struct raft_message m;
	struct peer *self = find_peer(r, r->cfg.id);

	if (self == NULL || !self->voter || r->role == RAFT_LEADER)
		return ERR_DENIED;
	become_follower(r, r->hard.term, 0);
	r->role = pre ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE;
	for (size_t i = 0; i < r->peer_count; i++)
		r->peers[i].vote = VOTE_NONE;
	if (!pre) {
		r->hard.term++;
		r->hard.vote = r->cfg.id;
		r->hard_dirty = true;
	}
	for (size_t i = 0; i < r->peer_count; i++) {
		if (r->peers[i].id == r->cfg.id || !r->peers[i].voter)
			continue;
		m = make_message(
		    r, pre ? RAFT_PREVOTE : RAFT_VOTE, r->peers[i].id);
		m.term = r->hard.term + (pre ? 1 : 0);
		m.log_index = get_log_last(&r->log);
		m.log_term = get_log_term(&r->log, m.log_index);
		m.context = force ? RAFT_FORCE_VOTE : 0;
		if (pre)
			queue_message(r, &m);
		else
			queue_stored_message(r, &m);
	}
	if (pre)
		hasten_election(r);
	/* The own vote counts only once it is durable. */
	return pre ? count_own_vote(r) : 0;
}

int
count_own_vote(struct raft *r)
{
	struct peer *self = find_peer(r, r->cfg.id);

	if (self == NULL)
		return 0;
	self->vote = VOTE_GRANTED;
	if (!has_quorum_votes(r, VOTE_GRANTED))
		return 0;
	if (r->role == RAFT_PRE_CANDIDATE)
		return start_campaign(r, false, false);
	return become_leader(r);
}

int
become_leader(struct raft *r)
{
	r->role = RAFT_LEADER;
	r->leader = r->cfg.id;
	r->transferee = 0;
	r->round_sent = 0;
	r->round_acked = 0;
	r->contacts++;
	r->uncommitted = 0;
	for (uint64_t i = r->commit + 1; i <= get_log_last(&r->log); i++)
		r->uncommitted += get_entry_bytes(get_log_entry(&r->log, i));
	reset_peers(r);
	broadcast_heartbeat(r);
	/* Only an entry of the own term may be committed by counting. */
	return append_own_entry(r, RAFT_ENTRY_EMPTY, make_str_n(NULL, 0));
}

/*
 * Tells whether this member has a leader that is alive as far as it knows.
 * Votes that would disturb such a leader are ignored.
 */
bool
is_in_lease(const struct raft *r)
{
	return r->role == RAFT_LEADER ||
	       (r->leader != 0 && r->election_elapsed < r->cfg.election_ticks);
}

/*
 * Answers PREVOTE and VOTE. step_raft() has already adopted the term of a
 * VOTE.
 */
int
handle_vote(struct raft *r, const struct raft_message *m)
{
	bool pre = m->type == RAFT_PREVOTE;
	struct raft_message reply = make_message(
	    r, pre ? RAFT_PREVOTE_REPLY : RAFT_VOTE_REPLY, m->from);
	bool grant = is_log_current(r, m->log_index, m->log_term);

	if (pre)
		grant = grant && m->term > r->hard.term && !is_in_lease(r);
	else
		grant = grant && m->term == r->hard.term &&
			(r->hard.vote == m->from ||
			    (r->hard.vote == 0 && r->leader == 0));
	reply.reject = !grant;
	if (pre) {
		if (grant)
			reply.term = m->term;
		queue_message(r, &reply);
		return 0;
	}
	if (grant && r->hard.vote == 0) {
		r->hard.vote = m->from;
		r->hard_dirty = true;
	}
	if (grant)
		reset_election_timer(r);
	queue_stored_message(r, &reply);
	return 0;
}

/*
 * Counts PREVOTE_REPLY and VOTE_REPLY.
 */
int
handle_vote_reply(struct raft *r, const struct raft_message *m)
{
	bool pre = m->type == RAFT_PREVOTE_REPLY;
	struct peer *p = find_peer(r, m->from);

	if (p == NULL || r->role != (pre ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE))
		return 0;
	if (!m->reject && m->term != r->hard.term + (pre ? 1 : 0))
		return 0;
	if (p->vote == VOTE_NONE)
		p->vote = m->reject ? VOTE_REJECTED : VOTE_GRANTED;
	if (has_quorum_votes(r, VOTE_GRANTED))
		return pre ? start_campaign(r, false, false) : become_leader(r);
	if (has_quorum_votes(r, VOTE_REJECTED))
		become_follower(r, r->hard.term, 0);
	return 0;
}

/*
 * Tells whether a log that ends at index with term is at least as new as this
 * member's.
 */
static bool
is_log_current(const struct raft *r, uint64_t index, uint64_t term)
{
	uint64_t last = get_log_last(&r->log);
	uint64_t last_term = get_log_term(&r->log, last);

	return term > last_term || (term == last_term && index >= last);
}

static void
reset_peers(struct raft *r)
{
	for (size_t i = 0; i < r->peer_count; i++) {
		struct peer *p = &r->peers[i];
		struct peer fresh = {.id = p->id, .voter = p->voter};

		fresh.next = get_log_last(&r->log) + 1;
		*p = fresh;
	}
}
