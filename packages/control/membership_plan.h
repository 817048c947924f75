/*
 * Decides how the leader changes the group by itself: which process joins,
 * which learner votes and which member leaves. Pure; one change at a time.
 */
#ifndef MEMBERSHIP_PLAN_H
#define MEMBERSHIP_PLAN_H

#include "replica.h"

/*
 * A voter that is silent for this long gives its place to a learner that has
 * caught up. It is five heartbeats times three, so a slow sync is no reason.
 */
#define MEMBERSHIP_SILENT_NS (1500 * NSEC_PER_MSEC)
/* A learner that is silent for this long is forgotten. */
#define MEMBERSHIP_FORGET_NS (20 * NSEC_PER_SEC)
#define MEMBERSHIP_JOIN_NS (2 * NSEC_PER_SEC) /* a request to join counts */
#define MEMBERSHIP_CANDIDATES_MAX RAFT_MEMBERS_MAX

/* A process that asked to join. */
struct candidate {
	uint64_t id; /* 0: free */
	char address[RAFT_ADDRESS_BYTES];
	int64_t asked_ns; /* mono, last request */
};

struct membership_view {
	int64_t now_ns;
	uint64_t self; /* the leader */
	size_t voters_wanted; /* odd */
	const struct replica_progress *members;
	size_t member_count;
	const struct candidate *candidates; /* MEMBERSHIP_CANDIDATES_MAX */
};

/* The next change; false when the group is as it should be. */
bool plan_membership(const struct membership_view *v, struct raft_change *out);

/* Notes a request to join; the oldest one gives way. */
void note_candidate(
    struct candidate *list, uint64_t id, const char *address, int64_t now_ns);

#endif
