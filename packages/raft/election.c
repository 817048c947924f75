/*
 * Roles and elections: pre-vote, vote and the change of roles.
 */
#include "raft_core.h"

#define STARTUP_TIMEOUT_DIVISOR 3 /* of election_ticks */
/*
 * A vote is sent only once it is durable, which takes longer than the election
 * timeout on a slow disk. A new election would ask for the next vote from disks
 * that still store this one.
 */
#define VOTE_WAIT_FACTOR 4 /* election timeouts that a candidate waits */

static int count_votes(struct raft *r);
static bool can_win(const struct raft *r);
static unsigned int get_longest_storage(const struct raft *r);
static bool is_log_durable(const struct raft *r);
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
	for (size_t i = 0; i < r->peer_count; i++) {
		struct peer *p = &r->peers[i];

		p->reachable = force || (r->role == RAFT_PRE_CANDIDATE &&
					    p->vote == VOTE_GRANTED);
		p->vote = VOTE_NONE;
	}
	become_follower(r, r->hard.term, 0);
	r->role = pre_vote ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE;
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
		m.hint = get_longest_storage(r);
		/*
		 * Sent before the own vote is durable: the disks of all members
		 * work at the same time, and no other one starts an election
		 * meanwhile. The log must be durable, since a restart must not
		 * receive votes for entries that it has lost.
		 */
		if (pre_vote || is_log_durable(r))
			queue_message(r, &m);
		else
			queue_message_after_store(r, &m);
	}
	if (pre_vote)
		shorten_election_timeout(r);
	/* This member's own vote counts only once it is durable. */
	return pre_vote ? count_own_vote(r) : 0;
}

static bool
is_log_durable(const struct raft *r)
{
	return r->stable == get_log_last(&r->log) && !r->snapshot_dirty &&
	       !r->store_has_snapshot;
}

/*
 * Counts this member's own vote.
 */
int
count_own_vote(struct raft *r)
{
	struct peer *self = find_peer(r, r->cfg.id);

	if (self == NULL)
		return 0;
	self->vote = VOTE_GRANTED;
	return count_votes(r);
}

/*
 * Returns whether a candidate still waits for votes that can elect it.
 */
bool
is_vote_awaited(const struct raft *r)
{
	return r->role == RAFT_CANDIDATE && can_win(r) &&
	       r->election_elapsed <
		   VOTE_WAIT_FACTOR * r->election_timeout +
		       STORES_BEFORE_REPLY * get_longest_storage(r);
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
		reply.hint = r->storage_ticks;
		if (grant)
			reply.term = m->term;
		queue_message(r, &reply);
		return 0;
	}
	if (grant && r->hard.vote == 0) {
		r->hard.vote = m->from;
		r->hard_dirty = true;
	}
	if (grant) {
		reset_election_timer(r);
		/* The candidate waits for slower disks than this one's. */
		r->election_timeout +=
		    STORES_BEFORE_REPLY * limit_storage_ticks(r, m->hint);
	}
	queue_message_after_store(r, &reply);
	return 0;
}

/*
 * Counts a PREVOTE_REPLY or VOTE_REPLY.
 */
int
handle_vote_reply(struct raft *r, const struct raft_message *m)
{
	bool pre_vote = m->type == RAFT_PREVOTE_REPLY;
	struct peer *p = find_peer(r, m->from);

	if (p == NULL)
		return 0;
	if (pre_vote && !m->reject && m->term == r->hard.term)
		p->reachable = true; /* the election has begun without it */
	if (r->role != (pre_vote ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE))
		return 0;
	if (!m->reject && m->term != r->hard.term + (pre_vote ? 1 : 0))
		return 0;
	if (pre_vote)
		p->storage_ticks = limit_storage_ticks(r, m->hint);
	if (p->vote == VOTE_NONE)
		p->vote = m->reject ? VOTE_REJECTED : VOTE_GRANTED;
	return count_votes(r);
}

/*
 * With a majority, a pre-candidate starts the election and a candidate becomes
 * the leader, once its own vote is durable: a leader whose term is lost could
 * lead the same term again, with other entries. An election that cannot be won
 * ends; the next one begins after a new random timeout.
 */
static int
count_votes(struct raft *r)
{
	const struct peer *self = find_peer(r, r->cfg.id);

	if (has_quorum_votes(r, VOTE_REJECTED) ||
	    (r->role == RAFT_CANDIDATE && !can_win(r)))
		become_follower(r, r->hard.term, 0);
	else if (self != NULL && self->vote == VOTE_GRANTED &&
		 has_quorum_votes(r, VOTE_GRANTED))
		return r->role == RAFT_PRE_CANDIDATE ?
			   start_campaign(r, false, false) :
			   become_leader(r);
	return 0;
}

/*
 * Returns whether the votes that a candidate has, and those of the members that
 * have just answered its pre-vote, are a majority.
 */
static bool
can_win(const struct raft *r)
{
	size_t votes = 0;

	for (size_t i = 0; i < r->peer_count; i++) {
		const struct peer *p = &r->peers[i];

		if (p->voter && (p->vote == VOTE_GRANTED ||
				    (p->vote == VOTE_NONE && p->reachable)))
			votes++;
	}
	return votes >= get_quorum_size(r);
}

/*
 * Returns the longest storage work of this member and those that it waits for.
 */
static unsigned int
get_longest_storage(const struct raft *r)
{
	unsigned int longest = r->storage_ticks;

	for (size_t i = 0; i < r->peer_count; i++) {
		const struct peer *p = &r->peers[i];

		if (p->reachable && p->storage_ticks > longest)
			longest = p->storage_ticks;
	}
	return longest;
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
		struct peer fresh = {.id = p->id,
		    .voter = p->voter,
		    .storage_ticks = p->storage_ticks};

		fresh.next = get_log_last(&r->log) + 1;
		*p = fresh;
	}
}
