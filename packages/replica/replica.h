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
#define REPLICA_SNAPSHOT_BYTES (8 * 1024 * 1024) /* log size to compact at */
#define REPLICA_INBOX_MAX 4096 /* waiting messages and requests */

struct replica;

/* Times that the leader stores before each command in the log. */
struct replica_stamp {
	/*
	 * Log time, for retention periods; never runs faster than real time.
	 * The state machine ignores a time below the one it has reached.
	 */
	int64_t log_ns;
	int64_t wall_ns; /* wall time, for display only */
};

/*
 * The state machine. Its functions run on the replica's thread with none of
 * the replica's locks held, and must be deterministic. When load returns a
 * negative error, the replica fails (see is_replica_failed()).
 */
struct replica_machine {
	/* Applies one command; result is returned to the proposer. */
	void (*apply)(void *arg, uint64_t index, struct replica_stamp at,
	    struct str command, struct buf *result);
	int (*save)(void *arg, struct buf *out); /* the complete state */
	/* Replaces the state. */
	int (*load)(void *arg, uint64_t index, struct str data);
	void (*clear)(void *arg); /* back to the state before any command */
	int64_t (*get_log_time)(void *arg); /* ns, latest applied or loaded */
	void *arg;
};

/*
 * The transport. Its functions run on the replica's thread and must not block;
 * send may drop messages. Their arguments are valid during the call only.
 */
struct replica_transport {
	void (*send)(void *arg, uint64_t to, const struct wire_raft_message *m);
	/* The membership in effect changed; may be NULL. */
	void (*update_members)(void *arg, const struct raft_members *m);
	void *arg;
};

/*
 * Completion of a proposal. status is 0 (applied at index, with its result);
 * ERR_UNAVAILABLE, ERR_LIMIT or ERR_INVALID (it does not take effect); or
 * ERR_UNKNOWN (it may still take effect). result is valid during the call only.
 */
typedef void (*replica_propose_fn)(
    void *arg, int status, uint64_t index, struct str result);

/*
 * Completion of a read. With status 0, this member's state machine has applied
 * at least index, which a quorum confirmed after the request; otherwise status
 * is ERR_UNAVAILABLE.
 */
typedef void (*replica_read_fn)(void *arg, int status, uint64_t index);

struct replica_config {
	struct clock_source clock;
	uint64_t id; /* of this member, never 0 */
	const char *data_dir;
	/* First members; NULL: joins. Used by start_replica() only. */
	const struct raft_members *bootstrap;
	struct replica_machine machine;
	struct replica_transport transport;
	const struct wal_io *io; /* NULL: the operating system's files */
	uint64_t seed; /* of the random election timeouts */
	size_t snapshot_bytes; /* 0: REPLICA_SNAPSHOT_BYTES */
	size_t segment_bytes; /* 0: WAL_SEGMENT_BYTES */
	bool need_data; /* ERR_NOT_FOUND when the data directory is empty */
	bool manual; /* no thread: the caller runs run_replica_work() */
};

struct replica_status {
	enum raft_role role;
	uint64_t leader; /* 0: unknown */
	uint64_t term;
	uint64_t commit;
	uint64_t applied;
	uint64_t last;
	uint64_t snapshot; /* index of the newest snapshot */
	uint64_t snapshot_errors; /* snapshots that could not be made */
	bool voter;
	bool failed; /* storage or state machine; until it works again */
	bool transferring; /* leader is handing over */
	/* Leader whose state machine has all that earlier leaders committed. */
	bool current;
	int64_t contact_ns; /* time since the last quorum contact; -1: never */
	/*
	 * Time since the last finished round of work began. It grows while a
	 * disk blocks the thread, and no entry is applied meanwhile.
	 */
	int64_t round_ns;
	struct wal_counters wal;
	uint64_t dropped; /* incoming messages, because the inbox was full */
	uint64_t proposals; /* commands put into the log by this process */
};

/* What the leader knows of a member. */
struct replica_progress {
	struct raft_member member;
	bool caught_up; /* has everything that is committed */
	int64_t since_contact_ns; /* since its last reply; 0: the leader */
};

int start_replica(
    const struct replica_config *cfg, struct replica **out, struct fault *f);
void stop_replica(struct replica *r); /* fails pending requests; frees r */

/* Starts to hand leadership over; the role in the status changes later. */
int transfer_replica_leadership(struct replica *r);

/* Queues a copy of an incoming message. Returns ERR_LIMIT when full. */
int step_replica(struct replica *r, const struct wire_raft_message *m);

/*
 * Requests. Each function copies its input. When it returns 0, fn runs exactly
 * once, on the replica's thread or in stop_replica(); when it returns an error,
 * fn never runs. They may be called from any thread, also from a callback. A
 * request that is not finished after timeout_ms fails.
 */
int propose_replica(struct replica *r, struct str command, int timeout_ms,
    replica_propose_fn fn, void *arg);
int request_replica_read(
    struct replica *r, int timeout_ms, replica_read_fn fn, void *arg);
int change_replica_members(struct replica *r, const struct raft_change *change,
    int timeout_ms, replica_propose_fn fn, void *arg);

/* Queries, from any thread */
struct replica_status get_replica_status(struct replica *r);
void get_replica_members(struct replica *r, struct raft_members *out);
/* Returns the number of members; 0 when this member is not the leader. */
size_t get_replica_progress(
    struct replica *r, struct replica_progress out[RAFT_MEMBERS_MAX]);
bool is_replica_leader(struct replica *r);
bool is_replica_failed(struct replica *r);
/* The process has to end: its data is gone. Copies the reason to f. */
bool is_replica_unrecoverable(struct replica *r, struct fault *f);

/* Runs all work that is due, once; only with replica_config.manual. */
void run_replica_work(struct replica *r);

/* Converts a wire message; m refers to the bytes of w. */
int import_raft_message(const struct wire_raft_message *w,
    struct raft_message *m, struct raft_entry *entries); /* WIRE_ENTRIES_MAX */

#endif
