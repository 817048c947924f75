/*
 * Inside of the registry, shared by its source files only.
 */
#ifndef REGISTRY_STATE_H
#define REGISTRY_STATE_H

#include "registry.h"

#define REGISTRY_PEERS_MAX 64 /* control processes heard of */
#define REGISTRY_TOMBSTONES_MAX 65536 /* forgotten nodes remembered */

enum record_life {
	LIFE_OK = 0,
	LIFE_SUSPECT, /* silent, but the expiry limit is reached */
	LIFE_EXPIRED,
};

struct record {
	struct hash_link link;
	struct service *service; /* NULL: a tombstone of id, incarnation, seq */
	struct record *next; /* in the service, or newer tombstone */
	struct wire_endpoint e; /* as announced */
	enum record_life life;
	uint64_t owner;
	int64_t heard_ns; /* last contact on any control process */
	bool closed; /* the connection to this process */
	int64_t closed_ns;
	int64_t gone_ns;
	uint64_t changed; /* set version of the last change */
	uint64_t mark; /* list in which it was seen last */
	bool record_queued;
	bool heard_queued;
};

struct service {
	struct hash_link link;
	char name[WIRE_NAME_MAX + 1];
	struct record *first;
	uint64_t set_version;
	uint64_t purged; /* changes up to here are no longer listed */
	struct {
		int64_t second;
		unsigned int count;
	} expired[REGISTRY_WINDOW_S]; /* expiries by second */
};

struct registry_peer {
	uint64_t id;
	uint64_t registry_id;
};

/* Ids waiting to be sent; an id may be queued once for each purpose. */
struct record_queue {
	struct record **items;
	size_t count;
	size_t cap;
};

struct registry {
	uint64_t self;
	uint64_t registry_id;
	struct hash_index records; /* by node name, with tombstones */
	struct hash_index services;
	size_t live_count; /* records that are no tombstones */
	uint64_t counter; /* newest set version */
	uint64_t marks;
	bool contact;
	int64_t contact_since;
	struct record *oldest_tombstone;
	struct record *newest_tombstone;
	size_t tombstone_count;
	struct record_queue changed_records;
	struct record_queue heard_records;
	struct registry_peer peers[REGISTRY_PEERS_MAX];
	size_t peer_count;
};

struct record *find_record(const struct registry *g, struct str id);
int compare_age(const struct wire_endpoint *a, const struct wire_endpoint *b);
enum wire_endpoint_state get_state_in_effect(const struct record *r);
bool is_valid_endpoint(const struct wire_endpoint *e);

/* Adds or replaces a record by a newer one. */
int put_record(struct registry *g, int64_t now, uint64_t owner,
    const struct wire_endpoint *e);
void touch_record(struct registry *g, struct record *r, int64_t now);
void set_life(
    struct registry *g, struct record *r, int64_t now, enum record_life life);
void restore_record(struct registry *g, struct record *r, int64_t now,
    enum wire_endpoint_state state); /* the node is known to be alive */
void expire_record(struct registry *g, struct record *r, int64_t now);
int queue_record(struct record_queue *q, struct record *r, bool *queued);

#endif
