/*
 * Requested changes of the group: membership, one member at a time, and
 * leadership transfer.
 */
#include <stdio.h>
#include <string.h>

#include "raft_core.h"

static int build_changed_members(struct raft *r, const struct raft_change *c,
    struct raft_members *out, struct fault *f);
static int check_promotion(
    struct raft *r, const struct raft_member *m, struct fault *f);
static int check_removal(
    struct raft *r, const struct raft_member *m, struct fault *f);

/*
 * Proposes a change of one member and sets *index to its entry. It takes effect
 * once it is in the log, so the next change waits until it is committed. A
 * leader that has not yet committed an entry of its term refuses
 * (ERR_UNAVAILABLE): the majorities of two changes made in different terms
 * might not overlap. On any error, f has the reason.
 */
int
change_raft_members(struct raft *r, const struct raft_change *change,
    uint64_t *index, struct fault *f)
{
	struct raft_members next;
	struct buf b = {0};
	int rc;

	if (r->role != RAFT_LEADER || r->transferee != 0)
		return set_fault(f, ERR_UNAVAILABLE,
		    "this member is not the leader; ask member %llu",
		    (unsigned long long)r->leader);
	if (get_log_term(&r->log, r->commit) != r->hard.term)
		return set_fault(
		    f, ERR_UNAVAILABLE, "the leader is new; retry in a second");
	if (r->members_index > r->commit)
		return set_fault(f, ERR_CONFLICT,
		    "another membership change is in progress; retry when it "
		    "is committed");
	rc = build_changed_members(r, change, &next, f);
	if (rc != 0)
		return rc;
	rc = encode_raft_members(&next, &b);
	if (rc == 0)
		rc = append_leader_entry(r, RAFT_ENTRY_MEMBERS, view_buf(&b));
	unload_buf(&b);
	if (rc != 0)
		return set_fault(f, (enum err)rc, "out of memory");
	r->members = next;
	r->members_index = get_log_last(&r->log);
	rebuild_peers(r);
	mark_sends_pending(r);
	*index = r->members_index;
	return 0;
}

/*
 * Hands leadership to target or, with 0, to the live voter whose log is the
 * most complete. Proposals are refused until it has taken over or an election
 * timeout has passed. Returns ERR_UNAVAILABLE when this member is not the
 * leader, ERR_NOT_FOUND when there is no such live voter.
 */
int
transfer_raft_leadership(struct raft *r, uint64_t target)
{
	struct peer *best = NULL;

	if (r->role != RAFT_LEADER)
		return ERR_UNAVAILABLE;
	for (size_t i = 0; i < r->peer_count; i++) {
		struct peer *p = &r->peers[i];

		if (!p->voter || p->id == r->cfg.id ||
		    (target != 0 && p->id != target) ||
		    p->ticks_since_contact >= r->cfg.election_ticks)
			continue;
		if (best == NULL || p->match > best->match)
			best = p;
	}
	if (best == NULL)
		return ERR_NOT_FOUND;
	r->transferee = best->id;
	r->transfer_elapsed = 0;
	best->send_pending = true;
	continue_transfer(r, best);
	return 0;
}

/*
 * Makes the target of a leadership transfer start an election once its log is
 * complete.
 */
void
continue_transfer(struct raft *r, const struct peer *p)
{
	struct raft_message m;

	if (r->transferee != p->id || p->match != get_log_last(&r->log))
		return;
	m = make_message(r, RAFT_CAMPAIGN, p->id);
	queue_message(r, &m);
}

/*
 * Sets *out to the membership after change c. On an error, f has the reason and
 * *out is not to be used.
 */
static int
build_changed_members(struct raft *r, const struct raft_change *c,
    struct raft_members *out, struct fault *f)
{
	struct raft_member *m;
	size_t at;
	int rc = 0;

	*out = r->members;
	for (at = 0; at < out->count; at++) {
		if (out->member[at].id == c->member.id)
			break;
	}
	m = &out->member[at];
	if (c->member.id == 0)
		return set_fault(f, ERR_INVALID, "member id 0 is not allowed");
	if (c->type == RAFT_ADD_LEARNER) {
		if (at == RAFT_MEMBERS_MAX)
			return set_fault(f, ERR_LIMIT,
			    "the group has %d members; remove one first",
			    RAFT_MEMBERS_MAX);
		if (at == out->count) {
			out->count++;
			*m = c->member;
			m->voter = false;
		}
		snprintf(
		    m->address, sizeof(m->address), "%s", c->member.address);
		return 0;
	}
	if (at == out->count)
		return set_fault(f, ERR_NOT_FOUND,
		    "member %llu is not in the group; add it first",
		    (unsigned long long)c->member.id);
	if (c->type == RAFT_PROMOTE) {
		rc = check_promotion(r, m, f);
		m->voter = true;
		return rc;
	}
	rc = check_removal(r, m, f);
	memmove(m, m + 1, (out->count - at - 1) * sizeof(*m));
	out->count--;
	memset(&out->member[out->count], 0, sizeof(*m));
	return rc;
}

/*
 * Checks that a learner has everything that is committed: promoted earlier, it
 * would block commits until it caught up. Returns ERR_CONFLICT when it is
 * behind or not live, ERR_INVALID for a voter.
 */
static int
check_promotion(struct raft *r, const struct raft_member *m, struct fault *f)
{
	const struct peer *p = find_peer(r, m->id);

	if (m->voter)
		return set_fault(f, ERR_INVALID,
		    "member %llu is already a voter",
		    (unsigned long long)m->id);
	if (p == NULL || p->match < r->commit ||
	    p->ticks_since_contact >= r->cfg.election_ticks)
		return set_fault(f, ERR_CONFLICT,
		    "member %llu has not caught up; retry later",
		    (unsigned long long)m->id);
	return 0;
}

/*
 * Checks that a removal leaves a majority of live voters; without one, the
 * group could never commit again. Returns ERR_CONFLICT otherwise, and for the
 * leader itself.
 */
static int
check_removal(struct raft *r, const struct raft_member *m, struct fault *f)
{
	const struct peer *p = find_peer(r, m->id);
	size_t active = count_active_voters(r), voters = 0;

	if (m->id == r->cfg.id)
		return set_fault(f, ERR_CONFLICT,
		    "member %llu is the leader; transfer the leadership first",
		    (unsigned long long)m->id);
	if (p == NULL || !m->voter)
		return 0;
	for (size_t i = 0; i < r->peer_count; i++)
		voters += r->peers[i].voter ? 1 : 0;
	if (p->ticks_since_contact < r->cfg.election_ticks)
		active--;
	if (active < (voters - 1) / 2 + 1)
		return set_fault(f, ERR_CONFLICT,
		    "removing member %llu would leave no live majority; repair "
		    "or remove the dead members first",
		    (unsigned long long)m->id);
	return 0;
}
