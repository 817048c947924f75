/*
 * The core's life, input and queries.
 */
#include <stdlib.h>
#include <string.h>

#include "raft_core.h"

static int handle_message(struct raft *r, const struct raft_message *m);
static bool adopt_term(struct raft *r, const struct raft_message *m);
static void answer_old_term(struct raft *r, const struct raft_message *m);
static int tick_leader(struct raft *r);
static int check_config(const struct raft_config *cfg, struct fault *f);

/*
 * Opens a core with what storage holds. A group of one member elects itself
 * after an election timeout like any other.
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
	r->next_seq = 1;
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
	r->load_pending = r->snapshot.index > 0;
	reset_election_timer(r);
	hasten_election(r);
	*out = r;
	return 0;
}

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
 * Handles one message. Messages of older terms are dropped, or answered when
 * they come from a leader or candidate that must learn the new term. Returns
 * ERR_INVALID for a message that breaks the protocol.
 */
int
step_raft(struct raft *r, const struct raft_message *m)
{
	struct peer *p = find_peer(r, m->from);
	bool answers = m->type == RAFT_APPEND_REPLY ||
		       m->type == RAFT_SNAPSHOT_REPLY ||
		       m->type == RAFT_HEARTBEAT_REPLY;

	if (m->to != r->cfg.id || m->from == 0 || m->from == r->cfg.id)
		return ERR_INVALID;
	if (m->term > r->hard.term) {
		if (!adopt_term(r, m))
			return 0;
	} else if (m->term < r->hard.term) {
		answer_old_term(r, m);
		return 0;
	}
	/* Only an answer shows that the leader reaches p as well. */
	if (p != NULL && answers)
		p->age = 0;
	return handle_message(r, m);
}

/*
 * Lets one tick of time pass.
 */
int
tick_raft(struct raft *r)
{
	age_reads(r);
	r->election_elapsed++;
	if (r->role == RAFT_LEADER)
		return tick_leader(r);
	if (r->election_elapsed < r->election_timeout)
		return 0;
	if (!is_self_voter(r)) {
		r->leader = 0;
		reset_election_timer(r);
		return 0;
	}
	return start_campaign(r, true, false);
}

/*
 * Appends a command to the leader's log. Returns ERR_UNAVAILABLE when this
 * member does not lead or hands over, ERR_LIMIT when too much waits for commit.
 */
int
propose_raft(struct raft *r, struct str command, uint64_t *index)
{
	int rc;

	if (r->role != RAFT_LEADER || r->transferee != 0)
		return ERR_UNAVAILABLE;
	if (r->uncommitted > 0 &&
	    r->uncommitted + command.len > r->cfg.uncommitted_bytes)
		return ERR_LIMIT;
	rc = append_own_entry(r, RAFT_ENTRY_COMMAND, command);
	if (rc == 0)
		*index = get_log_last(&r->log);
	return rc;
}

/*
 * Stands for election at once, with a pre-vote.
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
	s.contacts = r->contacts;
	s.log_bytes = r->log.bytes - r->trailing;
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
get_raft_age(const struct raft *r, uint64_t id)
{
	for (size_t i = 0; i < r->peer_count; i++) {
		if (r->peers[i].id == id)
			return r->peers[i].age;
	}
	return UINT_MAX;
}

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
		r->contacts++;
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
 * Decides what a higher term means. A pre-vote asks about a term that does not
 * exist yet, and a vote is ignored while the leader is alive. Returns whether
 * the message is to be handled further.
 */
static bool
adopt_term(struct raft *r, const struct raft_message *m)
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
 * Answers a leader or candidate of an older term, so that it learns the present
 * one and steps down.
 */
static void
answer_old_term(struct raft *r, const struct raft_message *m)
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
	queue_stored_message(r, &reply);
}

/*
 * Steps down without a quorum for an election timeout, gives up a transfer that
 * takes as long, and sends heartbeats.
 */
static int
tick_leader(struct raft *r)
{
	for (size_t i = 0; i < r->peer_count; i++)
		r->peers[i].age++;
	if (count_active_voters(r) < get_quorum(r)) {
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
