/*
 * Roles and elections: pre-vote, vote and the change of roles.
 */
#include "raft_core.h"

#define STARTUP_TIMEOUT_DIVISOR 3 /* of election_ticks */

static bool is_log_up_to_date(
    const struct raft *r, uint64_t index, uint64_t term);
static void reset_peer_progress(struct raft *r);

/*
 * Draws the next election timeout, from 1x to 2x election_ticks, and restarts
 * its count.
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
 * Shortens the timeout of a member that has had no contact with a leader or
 * quorum since its start, so that a group whose members all restart is without
 * a leader only briefly. Such a member starts with a pre-vote, which does not
 * disturb a live leader.
 */
void
shorten_election_timeout(struct raft *r)
{
	unsigned int shortest = r->cfg.election_ticks / STARTUP_TIMEOUT_DIVISOR;

	if (r->quorum_contacts > 0)
		return;
	r->election_timeout = shortest + 1 +
			      (unsigned int)draw_below(&r->rng,
				  r->cfg.election_ticks - shortest + 1);
}

/*
 * Becomes a follower of leader (0: none known) in term. A higher term clears
 * the vote; a change of leader fails the pending reads.
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
	r->proposed_bytes = 0;
	reset_election_timer(r);
}

/*
 * Starts an election. With pre_vote, it only asks whether an election could be
 * won and leaves the term unchanged; with force, voters do not refuse because
 * they have a live leader. Returns ERR_DENIED on a learner and on the leader.
 */
int
start_campaign(struct raft *r, bool pre_vote, bool force)
{
	struct raft_message m;
	struct peer *self = find_peer(r, r->cfg.id);

	if (self == NULL || !self->voter || r->role == RAFT_LEADER)
		return ERR_DENIED;
	become_follower(r, r->hard.term, 0);
	r->role = pre_vote ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE;
	for (size_t i = 0; i < r->peer_count; i++)
		r->peers[i].vote = VOTE_NONE;
	if (!pre_vote) {
		r->hard.term++;
		r->hard.vote = r->cfg.id;
		r->hard_dirty = true;
	}
	for (size_t i = 0; i < r->peer_count; i++) {
		if (r->peers[i].id == r->cfg.id || !r->peers[i].voter)
			continue;
		m = make_message(
		    r, pre_vote ? RAFT_PREVOTE : RAFT_VOTE, r->peers[i].id);
		m.term = r->hard.term + (pre_vote ? 1 : 0);
		m.log_index = get_log_last(&r->log);
		m.log_term = get_log_term(&r->log, m.log_index);
		m.context = force ? RAFT_FORCE_VOTE : 0;
		if (pre_vote)
			queue_message(r, &m);
		else
			queue_message_after_store(r, &m);
	}
	if (pre_vote)
		shorten_election_timeout(r);
	/* This member's own vote counts only once it is durable. */
	return pre_vote ? count_own_vote(r) : 0;
}

/*
 * Counts this member's own vote. With a majority, a pre-candidate starts the
 * election and a candidate becomes the leader.
 */
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

/*
 * Becomes the leader of the current term: resets the progress of all peers,
 * sends heartbeats and appends an empty entry.
 */
int
become_leader(struct raft *r)
{
	r->role = RAFT_LEADER;
	r->leader = r->cfg.id;
	r->transferee = 0;
	r->round_sent = 0;
	r->round_acked = 0;
	r->quorum_contacts++;
	r->proposed_bytes = 0;
	for (uint64_t i = r->commit + 1; i <= get_log_last(&r->log); i++)
		r->proposed_bytes += get_entry_bytes(get_log_entry(&r->log, i));
	reset_peer_progress(r);
	broadcast_heartbeat(r);
	/* Counting replicas commits only entries of the current term. */
	return append_leader_entry(r, RAFT_ENTRY_EMPTY, make_str_n(NULL, 0));
}

/*
 * Returns whether this member is the leader or had contact with one within the
 * last election_ticks. Votes that would disturb such a leader are ignored.
 */
bool
is_in_lease(const struct raft *r)
{
	return r->role == RAFT_LEADER ||
	       (r->leader != 0 && r->election_elapsed < r->cfg.election_ticks);
}

/*
 * Replies to PREVOTE and VOTE. step_raft() has already adopted the term of a
 * VOTE. A granted VOTE is durable before its reply is sent.
 */
int
handle_vote(struct raft *r, const struct raft_message *m)
{
	bool pre_vote = m->type == RAFT_PREVOTE;
	struct raft_message reply = make_message(
	    r, pre_vote ? RAFT_PREVOTE_REPLY : RAFT_VOTE_REPLY, m->from);
	bool grant = is_log_up_to_date(r, m->log_index, m->log_term);

	if (pre_vote)
		grant = grant && m->term > r->hard.term && !is_in_lease(r);
	else
		grant = grant && m->term == r->hard.term &&
			(r->hard.vote == m->from ||
			    (r->hard.vote == 0 && r->leader == 0));
	reply.reject = !grant;
	if (pre_vote) {
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
	queue_message_after_store(r, &reply);
	return 0;
}

/*
 * Counts a PREVOTE_REPLY or VOTE_REPLY. A majority of grants wins; a majority
 * of rejections ends the election.
 */
int
handle_vote_reply(struct raft *r, const struct raft_message *m)
{
	bool pre_vote = m->type == RAFT_PREVOTE_REPLY;
	struct peer *p = find_peer(r, m->from);

	if (p == NULL ||
	    r->role != (pre_vote ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE))
		return 0;
	if (!m->reject && m->term != r->hard.term + (pre_vote ? 1 : 0))
		return 0;
	if (p->vote == VOTE_NONE)
		p->vote = m->reject ? VOTE_REJECTED : VOTE_GRANTED;
	if (has_quorum_votes(r, VOTE_GRANTED))
		return pre_vote ? start_campaign(r, false, false) :
				  become_leader(r);
	if (has_quorum_votes(r, VOTE_REJECTED))
		become_follower(r, r->hard.term, 0);
	return 0;
}

/*
 * Returns whether a log that ends at index with term is at least as up to date
 * as this member's.
 */
static bool
is_log_up_to_date(const struct raft *r, uint64_t index, uint64_t term)
{
	uint64_t last = get_log_last(&r->log);
	uint64_t last_term = get_log_term(&r->log, last);

	return term > last_term || (term == last_term && index >= last);
}

/*
 * Resets all peers to the probe state, from the end of the new leader's log.
 */
static void
reset_peer_progress(struct raft *r)
{
	for (size_t i = 0; i < r->peer_count; i++) {
		struct peer *p = &r->peers[i];
		struct peer fresh = {.id = p->id, .voter = p->voter};

		fresh.next = get_log_last(&r->log) + 1;
		*p = fresh;
	}
}
