/*
 * The plan of the group, rule by rule.
 */
#include <string.h>

#include "membership_plan.h"

static bool plan_add(const struct membership_view *v, struct raft_change *out);
static bool plan_vote(const struct membership_view *v, struct raft_change *out);
static bool plan_forget(
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
	return plan_vote(v, out) || plan_add(v, out) || plan_forget(v, out);
}

void
note_candidate(
    struct candidate *list, uint64_t id, const char *address, int64_t now_ns)
{
	struct candidate *place = &list[0];

	for (size_t i = 0; i < MEMBERSHIP_CANDIDATES_MAX; i++) {
		if (list[i].id == id) {
			place = &list[i];
			break;
		}
		if (list[i].asked_ns < place->asked_ns)
			place = &list[i];
	}
	place->id = id;
	place->asked_ns = now_ns;
	(void)copy_str(
	    place->address, sizeof(place->address), make_str(address));
}

/*
 * Takes in a process that asks, as a learner. A member that has another
 * address by now gets its new one.
 */
static bool
plan_add(const struct membership_view *v, struct raft_change *out)
{
	for (size_t i = 0; i < MEMBERSHIP_CANDIDATES_MAX; i++) {
		const struct candidate *c = &v->candidates[i];
		const struct replica_progress *m = find_member(v, c->id);

		if (c->id == 0 || c->id == v->self ||
		    v->now_ns - c->asked_ns > MEMBERSHIP_JOIN_NS)
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
 * Lets a learner vote that has caught up and answers, when votes are missing
 * or in the place of a voter that is gone. The old voter is removed first, so
 * that the group never needs more votes than before.
 */
static bool
plan_vote(const struct membership_view *v, struct raft_change *out)
{
	for (size_t i = 0; i < v->member_count; i++) {
		const struct replica_progress *l = &v->members[i], *old;

		if (l->member.voter || !l->caught_up ||
		    l->silent_ns >= MEMBERSHIP_SILENT_NS)
			continue;
		old = find_replaceable(v, l);
		if (old != NULL) {
			set_change(out, RAFT_REMOVE, old->member.id, "");
			return true;
		}
		if (count_voters(v) < v->voters_wanted) {
			set_change(out, RAFT_PROMOTE, l->member.id, "");
			return true;
		}
	}
	return false;
}

/*
 * Frees the places of learners that are gone.
 */
static bool
plan_forget(const struct membership_view *v, struct raft_change *out)
{
	for (size_t i = 0; i < v->member_count; i++) {
		const struct replica_progress *m = &v->members[i];

		if (m->member.voter || m->silent_ns < MEMBERSHIP_FORGET_NS)
			continue;
		set_change(out, RAFT_REMOVE, m->member.id, "");
		return true;
	}
	return false;
}

/*
 * Returns the voter whose place the learner takes: one that had the learner's
 * address, which it must have lost with its disk, or the one that is silent
 * for the longest time. NULL: none, or votes are missing anyway.
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
		if (m->silent_ns < MEMBERSHIP_SILENT_NS)
			continue;
		if (best == NULL || m->silent_ns > best->silent_ns)
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
