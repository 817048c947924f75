/*
 * The rules of the membership plan, in order of priority.
 */
#include <string.h>

#include "membership_plan.h"

static bool plan_add(const struct membership_view *v, struct raft_change *out);
static bool plan_promotion(
    const struct membership_view *v, struct raft_change *out);
static bool plan_removal(
    const struct membership_view *v, struct raft_change *out);
static const struct replica_progress *find_replaceable(
    const struct membership_view *v, const struct replica_progress *learner);
static const struct replica_progress *find_member(
    const struct membership_view *v, uint64_t id);
static size_t count_voters(const struct membership_view *v);
static void set_change(struct raft_change *out, enum raft_change_type type,
    uint64_t id, const char *address);

bool
plan_membership(const struct membership_view *v, struct raft_change *out)
{
	return plan_promotion(v, out) || plan_add(v, out) ||
	       plan_removal(v, out);
}

/*
 * Updates the candidate's entry, or replaces a free or the oldest one.
 */
void
record_candidate(
    struct candidate *list, uint64_t id, const char *address, int64_t now_ns)
{
	struct candidate *slot = &list[0];

	for (size_t i = 0; i < MEMBERSHIP_CANDIDATES_MAX; i++) {
		if (list[i].id == id) {
			slot = &list[i];
			break;
		}
		if (list[i].requested_ns < slot->requested_ns)
			slot = &list[i];
	}
	slot->id = id;
	slot->requested_ns = now_ns;
	(void)copy_str(slot->address, sizeof(slot->address), make_str(address));
}

/*
 * Adds, as a learner, a process that requested to join. A member that requests
 * from a new address gets its address updated.
 */
static bool
plan_add(const struct membership_view *v, struct raft_change *out)
{
	for (size_t i = 0; i < MEMBERSHIP_CANDIDATES_MAX; i++) {
		const struct candidate *c = &v->candidates[i];
		const struct replica_progress *m = find_member(v, c->id);

		if (c->id == 0 || c->id == v->self ||
		    v->now_ns - c->requested_ns > MEMBERSHIP_REQUEST_VALID_NS)
			continue;
		if (m != NULL && strcmp(m->member.address, c->address) == 0)
			continue;
		if (m == NULL && v->member_count == RAFT_MEMBERS_MAX)
			continue;
		set_change(out, RAFT_ADD_LEARNER, c->id, c->address);
		return true;
	}
	return false;
}

/*
 * Promotes a responsive learner that has caught up if there are too few voters,
 * or lets it replace an unresponsive voter. The old voter is removed first, so
 * that the quorum never grows.
 */
static bool
plan_promotion(const struct membership_view *v, struct raft_change *out)
{
	for (size_t i = 0; i < v->member_count; i++) {
		const struct replica_progress *learner = &v->members[i], *old;

		if (learner->member.voter || !learner->caught_up ||
		    learner->since_contact_ns >= MEMBERSHIP_UNRESPONSIVE_NS)
			continue;
		old = find_replaceable(v, learner);
		if (old != NULL) {
			set_change(out, RAFT_REMOVE, old->member.id, "");
			return true;
		}
		if (count_voters(v) < v->voters_wanted) {
			set_change(out, RAFT_PROMOTE, learner->member.id, "");
			return true;
		}
	}
	return false;
}

/*
 * Removes a learner that has been unresponsive for too long.
 */
static bool
plan_removal(const struct membership_view *v, struct raft_change *out)
{
	for (size_t i = 0; i < v->member_count; i++) {
		const struct replica_progress *m = &v->members[i];

		if (m->member.voter ||
		    m->since_contact_ns < MEMBERSHIP_LEARNER_REMOVE_NS)
			continue;
		set_change(out, RAFT_REMOVE, m->member.id, "");
		return true;
	}
	return false;
}

/*
 * Returns the voter that the learner replaces: one with the same address, since
 * that process must have lost its disk and its id, or the one that has been
 * unresponsive for longest if there are enough voters. NULL: none.
 */
static const struct replica_progress *
find_replaceable(
    const struct membership_view *v, const struct replica_progress *learner)
{
	const struct replica_progress *best = NULL;

	for (size_t i = 0; i < v->member_count; i++) {
		const struct replica_progress *m = &v->members[i];

		if (!m->member.voter || m->member.id == v->self)
			continue;
		if (strcmp(m->member.address, learner->member.address) == 0)
			return m;
		if (m->since_contact_ns < MEMBERSHIP_UNRESPONSIVE_NS)
			continue;
		if (best == NULL ||
		    m->since_contact_ns > best->since_contact_ns)
			best = m;
	}
	return count_voters(v) < v->voters_wanted ? NULL : best;
}

static const struct replica_progress *
find_member(const struct membership_view *v, uint64_t id)
{
	for (size_t i = 0; i < v->member_count; i++) {
		if (v->members[i].member.id == id)
			return &v->members[i];
	}
	return NULL;
}

static size_t
count_voters(const struct membership_view *v)
{
	size_t n = 0;

	for (size_t i = 0; i < v->member_count; i++)
		n += v->members[i].member.voter ? 1 : 0;
	return n;
}

static void
set_change(struct raft_change *out, enum raft_change_type type, uint64_t id,
    const char *address)
{
	memset(out, 0, sizeof(*out));
	out->type = type;
	out->member.id = id;
	(void)copy_str(out->member.address, sizeof(out->member.address),
	    make_str(address));
}
