/*
 * The endpoint registry: records of the serving nodes, their leases, and the
 * changes since a set version. Pure: the time is passed in, and no locks are
 * taken.
 */
#ifndef REGISTRY_H
#define REGISTRY_H

#include "hash_index.h"
#include "table.h"
#include "wire.h"

#define REGISTRY_LEASE_NS (30 * NSEC_PER_SEC) /* silence before expiry */
#define REGISTRY_CLOSED_NS (5 * NSEC_PER_SEC) /* same, connection closed */
#define REGISTRY_GONE_NS (300 * NSEC_PER_SEC) /* a GONE record is kept */
#define REGISTRY_EXPIRE_PCT 30 /* of a service's records in a minute */
#define REGISTRY_WINDOW_S 60
#define REGISTRY_RECORDS_MAX 16384 /* further nodes are refused */
#define REGISTRY_UPSTREAM UINT64_MAX /* owner of records pulled by a relay */

struct registry;

enum registry_change {
	REGISTRY_SAME = 0, /* nothing that other processes must learn */
	REGISTRY_CHANGED = 1,
};

int open_registry(uint64_t self, uint64_t registry_id, struct registry **out);
void close_registry(struct registry *g);

/* Changes. Those of attached nodes are queued for take_sync(). */

/*
 * A node attached here announced itself. Returns ERR_STALE for an older
 * record, ERR_LIMIT or ERR_INVALID, and REGISTRY_CHANGED when its set changed.
 */
int announce_endpoint_record(
    struct registry *g, int64_t now, const struct wire_endpoint *e);
void hear_node(struct registry *g, int64_t now, struct str node); /* a WATCH */
void close_node(struct registry *g, int64_t now, struct str node);

/*
 * Expires silent records and forgets old GONE ones. Without contact to a
 * quorum nothing expires; leases start again when contact returns.
 */
void tick_registry(struct registry *g, int64_t now, bool quorum_contact);

/* Synchronization between control processes */

/* Records and names to send; false when there is nothing. */
bool take_sync(struct registry *g, struct wire_sync_args *out);
void give_sync_digest(struct registry *g, struct wire_sync_args *out);
/* All owned records from position at; returns the next position, 0 at the end. */
size_t give_sync_all(struct registry *g, size_t at, struct wire_sync_args *out);
void unload_sync(struct wire_sync_args *a); /* frees the arrays of the above */
/* Takes in what a peer sent; sets resend when its digest differs. */
int apply_sync(struct registry *g, int64_t now, const struct wire_sync_args *a,
    bool *resend);
/* Takes in a set that a relay pulled. */
int apply_upstream(
    struct registry *g, int64_t now, const struct wire_endpoint_set *s);

/* Queries */
bool is_plain_name(const char *s); /* printable, not empty */
uint64_t get_registry_id(const struct registry *g);
uint64_t get_set_version(const struct registry *g, struct str service);
uint64_t get_newest_version(const struct registry *g); /* of all sets */
/*
 * The changes of a set since a version, or the whole set for version 0 and for
 * versions that are too old. Endpoints are borrowed until the next change;
 * free only out->endpoints.endpoints_val.
 */
int list_endpoints(const struct registry *g, struct str service, uint64_t since,
    struct wire_endpoint_set *out);

struct registry_record {
	const struct wire_endpoint *endpoint; /* as announced */
	enum wire_endpoint_state state; /* in effect */
	uint64_t owner; /* control id; 0: none */
	int64_t heard_ns;
};
/* Visits all records; *at starts at NULL. False at the end. */
bool next_record(
    const struct registry *g, const void **at, struct registry_record *out);

#endif
