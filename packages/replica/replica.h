/*
 * One member of the consensus group: runs the core and the log on one thread,
 * applies committed commands to a state machine and hands messages to a
 * transport.
 */
#ifndef REPLICA_H
#define REPLICA_H

#include "base.h"
#include "raft.h"
#include "wal.h"
#include "wire.h"

#define REPLICA_TICK_MS 20 /* granularity of all timeouts */
#define REPLICA_HEARTBEAT_MS 100
#define REPLICA_ELECTION_MS 300 /* timeouts are drawn from 300 to 600 */
#define REPLICA_STAMP_BYTES 16 /* struct replica_stamp, in the log */
#define REPLICA_COMMAND_MAX (WIRE_COMMAND_MAX - REPLICA_STAMP_BYTES)
#define REPLICA_SNAPSHOT_BYTES (8 * 1024 * 1024) /* log bytes: compaction */
#define REPLICA_INBOX_MAX 4096 /* messages and requests waiting */

struct replica;

/* The leader's times of a proposal, stored before each command. */
struct replica_stamp {
	/*
	 * Log time, for retentions. It never passes faster than real time. The
	 * state machine ignores one that is less than it has reached.
	 */
	int64_t log_ns;
	int64_t wall_ns; /* wall time, only to be shown */
};

/*
 * The state machine. All run on the replica's thread, without locks of
 * the replica held, and must be deterministic. A negative result of load ends
 * the replica's membership (see is_replica_failed()).
 */
struct replica_machine {
	/* Applies one command; what it appends to result goes to proposer. */
	void (*apply)(void *arg, uint64_t index, struct replica_stamp at,
	    struct str command, struct buf *result);
	int (*save)(void *arg, struct buf *out); /* the whole state */
	int (*load)(void *arg, uint64_t index, struct str data); /* replaces */
	int64_t (*get_log_time)(void *arg); /* greatest applied or loaded */
	void *arg;
};

/*
 * The transport. Runs on the replica's thread; must not block and may drop
 * messages. The message is valid during the call.
 */
struct replica_transport {
	void (*send)(void *arg, uint64_t to, const struct wire_raft_message *m);
	/* The membership in effect changed; may be NULL. */
	void (*update_members)(void *arg, const struct raft_members *m);
	void *arg;
};

/*
 * Completion of a proposal. status is 0 (applied, with its index and result);
 * ERR_UNAVAILABLE, ERR_LIMIT or ERR_INVALID (it takes no effect); or
 * ERR_UNKNOWN (it may still take effect). result is valid during the call.
 */
typedef void (*replica_propose_fn)(
    void *arg, int status, uint64_t index, struct str result);

/*
 * Completion of a read: with status 0, the state machine of this member has
 * applied at least index, which a quorum confirmed after the request.
 */
typedef void (*replica_read_fn)(void *arg, int status, uint64_t index);

struct replica_config {
	struct clock_source clock;
	uint64_t id; /* of this member, never 0 */
	const char *data_dir;
	const struct raft_members *bootstrap; /* first members; NULL: joins */
	struct replica_machine machine;
	struct replica_transport transport;
	const struct wal_io *io; /* NULL: the system's files */
	uint64_t seed; /* of election timeouts */
	size_t snapshot_bytes; /* 0: REPLICA_SNAPSHOT_BYTES */
	size_t segment_bytes; /* 0: WAL_SEGMENT_BYTES */
	bool need_data; /* ERR_NOT_FOUND when the data directory is empty */
	bool manual; /* no thread: the caller runs pump_replica() */
};

struct replica_status {
	enum raft_role role;
	uint64_t leader; /* 0: unknown */
	uint64_t term;
	uint64_t commit;
	uint64_t applied;
	uint64_t last;
	uint64_t snapshot; /* index of the newest snapshot */
	bool voter;
	bool failed; /* storage or state machine failed for good */
	bool transferring;
	int64_t contact_ns; /* since the last quorum contact; -1 never */
	struct wal_counters wal;
	uint64_t dropped; /* incoming messages refused by a full inbox */
	uint64_t proposals; /* accepted into the log by this leader */
};

/* What the leader knows of a member. */
struct replica_progress {
	struct raft_member member;
	bool caught_up; /* holds everything committed */
	int64_t silent_ns; /* since it was heard; 0 for the leader itself */
};

int start_replica(
    const struct replica_config *cfg, struct replica **out, struct fault *f);
void stop_replica(struct replica *r); /* ends; fails what is pending */

/* Hands leadership over and returns; wait for the role to change. */
int transfer_replica(struct replica *r);

/* Takes a copy of an incoming message. Returns ERR_LIMIT when full. */
int step_replica(struct replica *r, const struct wire_raft_message *m);

/*
 * Each of these copies its input. On 0, fn runs exactly once on the replica's
 * thread; on an error, fn never runs. They may be called from any thread, and
 * from a callback. timeout_ms bounds the wait.
 */
int propose_replica(struct replica *r, struct str command, int timeout_ms,
    replica_propose_fn fn, void *arg);
int read_replica(
    struct replica *r, int timeout_ms, replica_read_fn fn, void *arg);
int change_replica_members(struct replica *r, const struct raft_change *change,
    int timeout_ms, replica_propose_fn fn, void *arg);

/* Queries, from any thread */
struct replica_status get_replica_status(struct replica *r);
void get_replica_members(struct replica *r, struct raft_members *out);
/* Progress of the members; returns their number, 0 unless it leads. */
size_t get_replica_progress(
    struct replica *r, struct replica_progress out[RAFT_MEMBERS_MAX]);
bool is_replica_leader(struct replica *r);
bool is_replica_failed(struct replica *r);

/* Runs all work that is due, once; for manual replicas only. */
void pump_replica(struct replica *r);

/* Between wire messages and messages of the core; both share the bytes. */
int import_raft_message(const struct wire_raft_message *w,
    struct raft_message *m, struct raft_entry *entries); /* WIRE_ENTRIES_MAX */

#endif
