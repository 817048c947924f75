/*
 * Opening and closing a core, its input, and queries of its state.
 */
#include <stdlib.h>
#include <string.h>

#include "raft_core.h"

/* Election timeouts that slow storage counts for, and is remembered for. */
#define STORAGE_ELECTIONS_MAX 4
#define STORAGE_ELECTIONS_KEPT 16

static int handle_message(struct raft *r, const struct raft_message *m);
static bool handle_higher_term(struct raft *r, const struct raft_message *m);
static void reject_old_term(struct raft *r, const struct raft_message *m);
static void decay_storage_ticks(struct raft *r);
static size_t count_live_voters(const struct raft *r);
static int tick_leader(struct raft *r);
static int check_config(const struct raft_config *cfg, struct fault *f);

/*
 * Opens a core on what storage holds, which is copied. The caller owns *out and
 * frees it with close_raft(). A group of one member elects itself after an
 * election timeout like any other. Returns ERR_INVALID for a bad configuration,
 * ERR_CORRUPT when the stored membership does not decode, or ERR_MEMORY.
 */
int
open_raft(const struct raft_config *cfg, const struct raft_stored *stored,
    struct raft **out, struct fault *f)
{
	struct raft *r;
	int rc = check_config(cfg, f);

	if (rc != 0)
		return rc;
	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return set_fault(f, ERR_MEMORY, "out of memory");
	r->cfg = *cfg;
	seed_rng(&r->rng, cfg->seed ^ (cfg->id * 0x9e3779b97f4a7c15ULL));
	r->hard = stored->hard;
	r->snapshot = stored->snapshot;
	r->next_store_seq = 1;
	rc = copy_bytes(stored->snapshot.data, &r->snapshot.data);
	reset_log(&r->log, stored->snapshot.index, stored->snapshot.term);
	for (size_t i = 0; i < stored->entry_count && rc == 0; i++)
		rc = append_log(&r->log, &stored->entries[i]);
	if (rc == 0)
		rc = load_log_members(r);
	if (rc != 0) {
		close_raft(r);
		return set_fault(f, (enum err)rc,
		    rc == ERR_MEMORY ?
			"out of memory" :
			"the stored membership cannot be read; wipe the data "
			"directory and rejoin as a new member");
	}
	r->commit = r->snapshot.index;
	r->applied = r->snapshot.index;
	r->stable = get_log_last(&r->log);
	r->snapshot_load_pending = r->snapshot.index > 0;
	reset_election_timer(r);
	shorten_election_timeout(r);
	*out = r;
	return 0;
}

/*
 * Frees the core and all that it owns; r may be NULL.
 */
void
close_raft(struct raft *r)
{
	if (r == NULL)
		return;
	unload_log(&r->log);
	free_bytes(&r->snapshot.data);
	unload_buf(&r->incoming.data);
	free(r->reads);
	free(r->done_reads);
	free(r->queue);
	free(r);
}

/*
 * Handles one message. Messages of an older term are dropped, or rejected when
 * they come from a leader or candidate, so that the sender adopts the current
 * term. Returns ERR_INVALID for a message that violates the protocol,
 * ERR_CORRUPT when it would replace a committed entry or its membership does
 * not decode, or ERR_MEMORY.
 */
int
step_raft(struct raft *r, const struct raft_message *m)
{
	struct peer *p = find_peer(r, m->from);
	bool is_reply = m->type == RAFT_APPEND_REPLY ||
			m->type == RAFT_SNAPSHOT_REPLY ||
			m->type == RAFT_HEARTBEAT_REPLY;

	if (m->to != r->cfg.id || m->from == 0 || m->from == r->cfg.id)
		return ERR_INVALID;
	if (m->term > r->hard.term) {
		if (!handle_higher_term(r, m))
			return 0;
	} else if (m->term < r->hard.term) {
		reject_old_term(r, m);
		return 0;
	}
	/* Only a reply proves that messages from here reach p. */
	if (p != NULL && is_reply)
		p->ticks_since_contact = 0;
	return handle_message(r, m);
}

/*
 * Advances time by one tick: heartbeats on the leader, the election timeout on
 * the other members. Reads that have waited for too long fail.
 */
int
tick_raft(struct raft *r)
{
	expire_reads(r);
	decay_storage_ticks(r);
	r->election_elapsed++;
	if (r->role == RAFT_LEADER)
		return tick_leader(r);
	if (r->election_elapsed < r->election_timeout || is_vote_awaited(r))
		return 0;
	if (!is_self_voter(r)) {
		r->leader = 0;
		reset_election_timer(r);
		return 0;
	}
	return start_campaign(r, true, false);
}

/*
 * Keeps the longest time of late; tick_raft() halves it from time to time.
 */
void
set_raft_storage_ticks(struct raft *r, unsigned int ticks)
{
	ticks = limit_storage_ticks(r, ticks);
	if (ticks > r->storage_ticks)
		r->storage_ticks = ticks;
}

unsigned int
limit_storage_ticks(const struct raft *r, uint64_t ticks)
{
	unsigned int max = STORAGE_ELECTIONS_MAX * r->cfg.election_ticks;

	return ticks < max ? (unsigned int)ticks : max;
}

/*
 * Appends a command to the leader's log and sets *index to its place. Returns
 * ERR_UNAVAILABLE when this member is not the leader or is handing leadership
 * over, ERR_LIMIT when it would exceed cfg.uncommitted_bytes (a lone command
 * may), or ERR_MEMORY.
 */
int
propose_raft(struct raft *r, struct str command, uint64_t *index)
{
	int rc;

	if (r->role != RAFT_LEADER || r->transferee != 0)
		return ERR_UNAVAILABLE;
	if (r->proposed_bytes > 0 &&
	    r->proposed_bytes + command.len > r->cfg.uncommitted_bytes)
		return ERR_LIMIT;
	rc = append_leader_entry(r, RAFT_ENTRY_COMMAND, command);
	if (rc == 0)
		*index = get_log_last(&r->log);
	return rc;
}

/*
 * Starts an election now, with a pre-vote. Returns ERR_DENIED on a learner and
 * on the leader.
 */
int
campaign_raft(struct raft *r)
{
	return start_campaign(r, true, false);
}

struct raft_status
get_raft_status(const struct raft *r)
{
	struct raft_status s = {0};

	s.role = r->role;
	s.leader = r->leader;
	s.term = r->hard.term;
	s.commit = r->commit;
	s.applied = r->applied;
	s.last = get_log_last(&r->log);
	s.snapshot = r->snapshot.index;
	s.members_index = r->members_index;
	s.quorum_contacts = r->quorum_contacts;
	s.log_bytes = r->log.bytes - r->retained_bytes;
	s.transferring = r->transferee != 0;
	s.voter = is_self_voter(r);
	return s;
}

const struct raft_members *
get_raft_members(const struct raft *r)
{
	return &r->members;
}

const struct raft_snapshot *
get_raft_snapshot(const struct raft *r)
{
	return &r->snapshot;
}

uint64_t
get_raft_term_at(const struct raft *r, uint64_t index)
{
	return get_log_term(&r->log, index);
}

/*
 * Returns the highest index known to be durable on member id; 0 when there is
 * no such member or this member is not the leader.
 */
uint64_t
get_raft_match(const struct raft *r, uint64_t id)
{
	for (size_t i = 0; i < r->peer_count; i++) {
		if (r->peers[i].id == id && r->role == RAFT_LEADER)
			return id == r->cfg.id ? r->stable : r->peers[i].match;
	}
	return 0;
}

unsigned int
get_raft_contact_age(const struct raft *r, uint64_t id)
{
	for (size_t i = 0; i < r->peer_count; i++) {
		if (r->peers[i].id == id)
			return r->peers[i].ticks_since_contact;
	}
	return UINT_MAX;
}

/*
 * Dispatches a message after step_raft() has checked its term. One from the
 * leader restarts the election timeout.
 */
static int
handle_message(struct raft *r, const struct raft_message *m)
{
	bool from_leader = m->type == RAFT_APPEND || m->type == RAFT_SNAPSHOT ||
			   m->type == RAFT_HEARTBEAT;

	if (from_leader) {
		if (r->role == RAFT_LEADER)
			return ERR_INVALID; /* two leaders in one term */
		if (r->role != RAFT_FOLLOWER || r->leader != m->from)
			become_follower(r, m->term, m->from);
		r->election_elapsed = 0;
		r->quorum_contacts++;
	}
	switch (m->type) {
	case RAFT_PREVOTE:
	case RAFT_VOTE:
		return handle_vote(r, m);
	case RAFT_PREVOTE_REPLY:
	case RAFT_VOTE_REPLY:
		return handle_vote_reply(r, m);
	case RAFT_APPEND:
		return handle_append(r, m);
	case RAFT_APPEND_REPLY:
		return handle_append_reply(r, m);
	case RAFT_SNAPSHOT:
		return handle_snapshot(r, m);
	case RAFT_SNAPSHOT_REPLY:
		return handle_snapshot_reply(r, m);
	case RAFT_HEARTBEAT:
		return handle_heartbeat(r, m);
	case RAFT_HEARTBEAT_REPLY:
		return handle_heartbeat_reply(r, m);
	case RAFT_READ:
		return handle_read(r, m);
	case RAFT_READ_REPLY:
		return handle_read_reply(r, m);
	case RAFT_CAMPAIGN:
		if (r->leader == m->from)
			start_campaign(r, false, true);
		return 0;
	}
	return ERR_INVALID;
}

/*
 * Handles a term above the current one. A PREVOTE and its grant name a term
 * that has not started, so they change nothing, and a VOTE is ignored while the
 * leader is alive. Everything else makes this member a follower in that term.
 * Returns whether to handle the message further.
 */
static bool
handle_higher_term(struct raft *r, const struct raft_message *m)
{
	bool from_leader = m->type == RAFT_APPEND || m->type == RAFT_SNAPSHOT ||
			   m->type == RAFT_HEARTBEAT;

	if (m->type == RAFT_PREVOTE ||
	    (m->type == RAFT_PREVOTE_REPLY && !m->reject))
		return true;
	if (m->type == RAFT_VOTE && m->context != RAFT_FORCE_VOTE &&
	    is_in_lease(r))
		return false;
	become_follower(r, m->term, from_leader ? m->from : 0);
	return true;
}

/*
 * Rejects a message from a leader or candidate of an older term, so that it
 * adopts the current term and steps down.
 */
static void
reject_old_term(struct raft *r, const struct raft_message *m)
{
	struct raft_message reply;

	if (m->type == RAFT_APPEND || m->type == RAFT_SNAPSHOT ||
	    m->type == RAFT_HEARTBEAT)
		reply = make_message(r, RAFT_APPEND_REPLY, m->from);
	else if (m->type == RAFT_PREVOTE)
		reply = make_message(r, RAFT_PREVOTE_REPLY, m->from);
	else if (m->type == RAFT_VOTE)
		reply = make_message(r, RAFT_VOTE_REPLY, m->from);
	else
		return;
	reply.reject = true;
	queue_message_after_store(r, &reply);
}

/*
 * Forgets slow storage work after some time.
 */
static void
decay_storage_ticks(struct raft *r)
{
	if (++r->storage_elapsed <
	    STORAGE_ELECTIONS_KEPT * r->cfg.election_ticks)
		return;
	r->storage_elapsed = 0;
	r->storage_ticks /= 2;
	for (size_t i = 0; i < r->peer_count; i++)
		r->peers[i].storage_ticks /= 2;
}

/*
 * Counts the voters that replied within the last election_ticks, or as long as
 * their storage work holds up a reply, and this member. A quorum of slow disks
 * would otherwise depose each leader that it elects.
 */
static size_t
count_live_voters(const struct raft *r)
{
	size_t n = 0;

	for (size_t i = 0; i < r->peer_count; i++) {
		const struct peer *p = &r->peers[i];

		if (p->voter &&
		    (p->id == r->cfg.id ||
			p->ticks_since_contact <
			    r->cfg.election_ticks +
				STORES_BEFORE_REPLY * p->storage_ticks))
			n++;
	}
	return n;
}

/*
 * Steps down when no quorum has replied in time, abandons a leadership transfer
 * that takes an election timeout, and sends heartbeats when they are due.
 */
static int
tick_leader(struct raft *r)
{
	for (size_t i = 0; i < r->peer_count; i++)
		r->peers[i].ticks_since_contact++;
	if (count_live_voters(r) < get_quorum_size(r)) {
		become_follower(r, r->hard.term, 0);
		return 0;
	}
	if (r->transferee != 0 &&
	    ++r->transfer_elapsed >= r->cfg.election_ticks)
		r->transferee = 0;
	if (++r->heartbeat_elapsed >= r->cfg.heartbeat_ticks)
		broadcast_heartbeat(r);
	return 0;
}

/*
 * Returns ERR_INVALID, with the reason in f, for limits that the core cannot
 * work with.
 */
static int
check_config(const struct raft_config *cfg, struct fault *f)
{
	if (cfg->id == 0)
		return set_fault(f, ERR_INVALID, "member id 0 is not allowed");
	if (cfg->heartbeat_ticks == 0 ||
	    cfg->election_ticks <= cfg->heartbeat_ticks)
		return set_fault(f, ERR_INVALID,
		    "the election timeout must exceed the heartbeat interval");
	if (cfg->append_window == 0 || cfg->append_window > RAFT_WINDOW_MAX ||
	    cfg->append_entries == 0 || cfg->chunk_bytes == 0)
		return set_fault(f, ERR_INVALID,
		    "append_window must be 1..%d, append_entries and "
		    "chunk_bytes above 0",
		    RAFT_WINDOW_MAX);
	return 0;
}
