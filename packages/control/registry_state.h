/*
 * Internals of the registry, shared by its source files only.
 */
#ifndef REGISTRY_STATE_H
#define REGISTRY_STATE_H

#include "registry.h"

#define REGISTRY_PEERS_MAX 64 /* known control processes */
#define REGISTRY_TOMBSTONES_MAX 65536 /* removed records remembered */

enum record_liveness {
	LIVENESS_OK = 0,
	LIVENESS_SUSPECT, /* lease over, but too many have expired */
	LIVENESS_EXPIRED,
};

struct record {
	struct hash_link link;
	struct service *service; /* NULL: this is a tombstone */
	struct record *next; /* in the service, or the next newer tombstone */
	struct wire_endpoint e; /* as announced; strings owned */
	enum record_liveness liveness;
	uint64_t owner; /* control process of the node; 0: none */
	int64_t last_contact_ns; /* last contact on any control process */
	bool disconnected; /* from this process */
	int64_t disconnected_ns;
	int64_t gone_ns; /* time of the change to GONE */
	uint64_t changed_version; /* set version of its last change */
	uint64_t listed_round; /* newest list that contained it */
	bool change_queued; /* in changed_records */
	bool contact_queued; /* in contacted_records */
};

struct service {
	struct hash_link link;
	char name[WIRE_NAME_MAX + 1];
	struct record *first;
	uint64_t set_version;
	uint64_t purged_version; /* older versions get the full set */
	struct {
		int64_t second;
		unsigned int count;
	} expired[REGISTRY_EXPIRE_WINDOW_S]; /* expiries per second */
};

struct registry_peer {
	uint64_t id;
	uint64_t registry_id; /* differs after a restart */
};

/* Records to be sent to the peers; each is queued at most once. */
struct record_queue {
	struct record **items;
	size_t count;
	size_t cap;
};

struct registry {
	uint64_t self; /* id of this control process */
	uint64_t registry_id;
	struct hash_index records; /* by node name, with tombstones */
	struct hash_index services;
	size_t live_count; /* records without tombstones */
	uint64_t newest_version; /* newest set version */
	uint64_t list_round; /* number of the list being applied */
	bool quorum_contact;
	int64_t quorum_contact_since; /* earliest start of a lease */
	struct record *oldest_tombstone;
	struct record *newest_tombstone;
	size_t tombstone_count;
	/* Records to send in full, and those to send by name only. */
	struct record_queue changed_records;
	struct record_queue contacted_records;
	struct registry_peer peers[REGISTRY_PEERS_MAX];
	size_t peer_count;
};

struct record *find_record(const struct registry *g, struct str id);
int compare_announcements(
    const struct wire_endpoint *a, const struct wire_endpoint *b);
enum wire_endpoint_state get_effective_state(const struct record *r);
bool is_valid_endpoint(const struct wire_endpoint *e);

/* Adds a record or replaces an older one; ERR_LIMIT, ERR_MEMORY. */
int put_record(struct registry *g, int64_t now, uint64_t owner,
    const struct wire_endpoint *e);
void mark_record_changed(struct registry *g, struct record *r, int64_t now);
void set_liveness(struct registry *g, struct record *r, int64_t now,
    enum record_liveness liveness);
void restore_record(struct registry *g, struct record *r, int64_t now,
    enum wire_endpoint_state state); /* the node is known to be alive */
void expire_record(struct registry *g, struct record *r, int64_t now);
int queue_record(struct record_queue *q, struct record *r, bool *queued);

#endif
