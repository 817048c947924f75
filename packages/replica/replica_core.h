/*
 * State of a replica, shared by the source files of the package. The lock
 * protects the fields up to the marked line; the fields after it belong to the
 * replica's thread.
 */
#ifndef REPLICA_CORE_H
#define REPLICA_CORE_H

#include <pthread.h>

#include "log_time.h"
#include "replica.h"

#define TICK_NS (REPLICA_TICK_MS * NSEC_PER_MSEC)
#define CATCH_UP_TICKS_MAX 5 /* run at once after the thread has stalled */

enum item_kind {
	ITEM_MESSAGE = 0,
	ITEM_PROPOSE = 1,
	ITEM_READ = 2,
	ITEM_CHANGE = 3,
	ITEM_TRANSFER = 4,
};

/* A message or request; copies of its bytes follow it in its allocation. */
struct inbox_item {
	struct inbox_item *next;
	enum item_kind kind;
	struct raft_message message;
	struct str command;
	struct raft_change change;
	replica_propose_fn propose_fn;
	replica_read_fn read_fn;
	void *arg;
	int64_t deadline_ns; /* monotonic clock, as all deadlines */
};

/* A proposal in the log that is not applied yet; kept in order of index. */
struct pending_proposal {
	uint64_t index;
	uint64_t term;
	int64_t deadline_ns;
	replica_propose_fn fn;
	void *arg;
};

enum read_state {
	READ_WAITING = 0, /* waits for a leader */
	READ_SENT = 1, /* waits for the reply to its context */
	READ_CONFIRMED = 2, /* waits until its index is applied */
};

struct pending_read {
	enum read_state state;
	uint64_t context;
	uint64_t index;
	int64_t deadline_ns;
	replica_read_fn fn;
	void *arg;
};

struct replica {
	pthread_mutex_t lock; /* leaf lock; not held during I/O or callbacks */
	pthread_cond_t wake;
	struct inbox_item *inbox;
	struct inbox_item **inbox_tail;
	size_t inbox_count;
	struct replica_status status;
	struct raft_members members;
	struct replica_progress progress[RAFT_MEMBERS_MAX];
	size_t progress_count; /* 0 unless this member is the leader */
	int64_t last_contact_ns; /* monotonic clock; -1: never */
	int64_t last_round_ns; /* begin of the last finished round of work */
	bool stopping;
	bool unrecoverable;
	struct fault unrecoverable_fault;

	/* ---- replica's thread only, without the lock ---- */
	struct replica_config cfg;
	pthread_t thread;
	bool has_thread;
	struct raft *raft;
	struct wal *wal;
	bool failed;
	bool has_stored; /* something that other members may rely on */
	int64_t recover_at; /* monotonic clock; 0: not, or unrecoverable */
	int64_t recover_delay; /* ns, before the next try */
	int64_t recovered_at;
	bool recovering; /* failed, and not yet recovered since */
	struct fault failure; /* why it failed last */
	int64_t last_tick_ns; /* monotonic clock */
	uint64_t quorum_contacts; /* of the core, when last published */
	uint64_t members_index; /* of the last update_members() call */
	bool members_notified; /* there was one */
	enum raft_role role; /* as last written to the log */
	uint64_t logged_leader;
	struct log_time log_time;
	int64_t snapshot_retry_at; /* monotonic clock; after an error */
	uint64_t snapshot_errors;
	uint64_t accepted_proposals;
	uint64_t next_context; /* of a read request */
	struct pending_proposal *proposals;
	size_t proposal_first, proposal_count, proposal_cap;
	struct pending_read *reads;
	size_t read_count, read_cap;
	struct buf scratch; /* stamped command or encoded membership */
	struct buf result; /* of the command being applied */
	struct wire_raft_entry entries[WIRE_ENTRIES_MAX]; /* being sent */
};

/* Input */
int push_item(struct replica *r, struct inbox_item *it);
struct inbox_item *make_message_item(const struct wire_raft_message *m);
void reject_item(struct inbox_item *it, int status); /* calls back and frees */
void handle_item(struct replica *r, struct inbox_item *it); /* frees */

/* Requests */
void handle_proposal(struct replica *r, struct inbox_item *it);
void handle_change(struct replica *r, struct inbox_item *it);
void finish_proposals(struct replica *r, uint64_t index, uint64_t term,
    struct str result); /* the entry at index was applied */
void fail_skipped_proposals(
    struct replica *r, uint64_t index); /* by a snapshot */
void add_read(struct replica *r, struct inbox_item *it);
void send_reads(struct replica *r); /* one request for all that wait */
void handle_read_result(struct replica *r, const struct raft_read *rd);
void finish_reads(struct replica *r); /* if their index is applied */
void expire_requests(struct replica *r, int64_t now);
void fail_requests(struct replica *r);

/* Start and recovery */
int load_replica(struct replica *r, struct fault *f);
/* Until recover_replica() has opened everything again. */
void fail_replica(struct replica *r, enum err kind, const char *text);
void recover_replica(struct replica *r, int64_t now); /* when it is due */

/* Work */
void process_output(struct replica *r);
void compact_replica(struct replica *r);
void publish_status(struct replica *r, int64_t now);

/* Conversion */
void export_raft_message(struct replica *r, const struct raft_message *m,
    struct wire_raft_message *w);

#endif
