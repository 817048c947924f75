/*
 * The endpoint registry: the record of each serving node, its lease, and for
 * each service a versioned set of endpoints that can be read as a delta. Pure:
 * the caller passes in the monotonic time and does the locking.
 */
#ifndef REGISTRY_H
#define REGISTRY_H

#include "hash_index.h"
#include "table.h"
#include "wire.h"

#define REGISTRY_LEASE_NS (30 * NSEC_PER_SEC) /* from the last contact */
/* Lease after the node's connection closed; counts from the close. */
#define REGISTRY_CLOSED_LEASE_NS (5 * NSEC_PER_SEC)
#define REGISTRY_GONE_KEEP_NS (300 * NSEC_PER_SEC) /* before removal */
#define REGISTRY_EXPIRE_PCT 30 /* of a service's records per window */
#define REGISTRY_EXPIRE_WINDOW_S 60
#define REGISTRY_RECORDS_MAX 16384 /* more: ERR_LIMIT */
#define REGISTRY_UPSTREAM UINT64_MAX /* owner of records pulled by a relay */

struct registry;

enum registry_change {
	REGISTRY_UNCHANGED = 0, /* nothing to send to other processes */
	REGISTRY_CHANGED = 1,
};

int open_registry(uint64_t self, uint64_t registry_id, struct registry **out);
void close_registry(struct registry *g);

/* Changes. Those of attached nodes are queued for pop_sync(). */

/*
 * Handles the announcement of an attached node. Returns REGISTRY_CHANGED when
 * its set changed, else REGISTRY_UNCHANGED; ERR_STALE for a record older than
 * the stored one, ERR_INVALID, ERR_LIMIT or ERR_MEMORY.
 */
int announce_endpoint_record(
    struct registry *g, int64_t now, const struct wire_endpoint *e);
void record_node_contact(
    struct registry *g, int64_t now, struct str node); /* on a WATCH */
void record_node_disconnect(struct registry *g, int64_t now, struct str node);

/*
 * Expires records whose lease is over and removes old GONE records. Nothing
 * expires without contact to a quorum; all leases restart when it returns.
 */
void tick_registry(struct registry *g, int64_t now, bool quorum_contact);

/* Synchronization between control processes */

/* Pops queued changes into out; false: none, or out of memory. */
bool pop_sync(struct registry *g, struct wire_sync_args *out);
void fill_sync_digest(struct registry *g, struct wire_sync_args *out);
/* Owned records from position at; returns the next position, 0 at the end. */
size_t fill_sync_all(struct registry *g, size_t at, struct wire_sync_args *out);
void unload_sync(struct wire_sync_args *a); /* frees the arrays of the above */
/* Applies a peer's message; sets resend when its digest differs. */
int apply_sync(struct registry *g, int64_t now, const struct wire_sync_args *a,
    bool *resend);
/* Applies a set that this relay pulled from its voter. */
int apply_upstream(
    struct registry *g, int64_t now, const struct wire_endpoint_set *s);

/* Queries */
bool is_plain_name(const char *s); /* not empty; ASCII, no space or control */
/* Incarnation of a record of a later run than e's; 0: none. */
uint64_t get_newer_incarnation(
    const struct registry *g, const struct wire_endpoint *e);
uint64_t get_registry_id(const struct registry *g);
uint64_t get_set_version(const struct registry *g, struct str service);
uint64_t get_newest_version(const struct registry *g); /* of all sets */
/*
 * Lists the changes of a set since a version, or the full set for version 0 and
 * for versions that are too old. The strings are borrowed until the next change
 * of the registry; the caller frees only out->endpoints.endpoints_val.
 */
int list_endpoints(const struct registry *g, struct str service, uint64_t since,
    struct wire_endpoint_set *out);

struct registry_record {
	const struct wire_endpoint *endpoint; /* as announced; borrowed */
	enum wire_endpoint_state state; /* SUSPECT or GONE after the lease */
	uint64_t owner; /* control process; 0: none */
	int64_t last_contact_ns; /* last contact on any control process */
};
/* Visits all records; set *at to NULL first. False at the end. */
bool next_record(
    const struct registry *g, const void **at, struct registry_record *out);

#endif
