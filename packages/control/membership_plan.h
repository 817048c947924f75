/*
 * Plans the automatic membership changes of the leader: which process joins,
 * which learner is promoted and which member is removed. Pure; one change at a
 * time.
 */
#ifndef MEMBERSHIP_PLAN_H
#define MEMBERSHIP_PLAN_H

#include "replica.h"

/*
 * A learner that has caught up replaces a voter that has been unresponsive for
 * this long. 15 heartbeats, so that a slow disk sync does not cost a vote.
 */
#define MEMBERSHIP_UNRESPONSIVE_NS (1500 * NSEC_PER_MSEC)
/* A learner that has been unresponsive for this long is removed. */
#define MEMBERSHIP_LEARNER_REMOVE_NS (20 * NSEC_PER_SEC)
/* An older request to join is ignored. */
#define MEMBERSHIP_REQUEST_VALID_NS (2 * NSEC_PER_SEC)
#define MEMBERSHIP_CANDIDATES_MAX RAFT_MEMBERS_MAX

/* A process that requested to join. */
struct candidate {
	uint64_t id; /* 0: free entry */
	char address[RAFT_ADDRESS_BYTES];
	int64_t requested_ns; /* last request, monotonic */
};

struct membership_view {
	int64_t now_ns;
	uint64_t self; /* the leader */
	size_t voters_wanted; /* odd */
	const struct replica_progress *members; /* of the group */
	size_t member_count;
	const struct candidate *candidates; /* MEMBERSHIP_CANDIDATES_MAX */
};

/* Plans the next change; false: none is needed. */
bool plan_membership(const struct membership_view *v, struct raft_change *out);

/* Records a request to join; replaces the oldest when the list is full. */
void record_candidate(
    struct candidate *list, uint64_t id, const char *address, int64_t now_ns);

#endif
