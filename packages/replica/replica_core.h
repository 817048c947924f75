/*
 * State of a replica, shared by the source files of the package. Fields above
 * the line belong to the lock, those below to the replica's thread.
 */
#ifndef REPLICA_CORE_H
#define REPLICA_CORE_H

#include <pthread.h>

#include "log_time.h"
#include "replica.h"

#define TICK_NS (REPLICA_TICK_MS * NSEC_PER_MSEC)
#define TICKS_AT_ONCE 5 /* more time than this passed: the thread was stalled */

enum item_kind {
	ITEM_MESSAGE = 0,
	ITEM_PROPOSE = 1,
	ITEM_READ = 2,
	ITEM_CHANGE = 3,
	ITEM_TRANSFER = 4,
};

/* Something handed in, with a copy of all its bytes behind it. */
struct item {
	struct item *next;
	enum item_kind kind;
	struct raft_message message;
	struct str command;
	struct raft_change change;
	replica_propose_fn propose_fn;
	replica_read_fn read_fn;
	void *arg;
	int64_t deadline; /* mono, ns */
};

/* A proposal in the log that is not applied yet, ordered by index. */
struct pending_proposal {
	uint64_t index;
	uint64_t term;
	int64_t deadline;
	replica_propose_fn fn;
	void *arg;
};

enum read_state {
	READ_WAITING = 0, /* for a leader to ask */
	READ_SENT = 1, /* for the answer under its context */
	READ_CONFIRMED = 2, /* for its index to be applied */
};

struct pending_read {
	enum read_state state;
	uint64_t context;
	uint64_t index;
	int64_t deadline;
	replica_read_fn fn;
	void *arg;
};

struct replica {
	pthread_mutex_t lock; /* leaf lock; never held over I/O or a callback */
	pthread_cond_t wake;
	struct item *inbox;
	struct item **inbox_tail;
	size_t inbox_count;
	struct replica_status status;
	struct raft_members members;
	struct replica_progress progress[RAFT_MEMBERS_MAX];
	size_t progress_count; /* 0 unless this member leads */
	int64_t contact_at; /* mono, ns; -1 never */
	bool stopping;

	/* ---- the thread's own ---- */
	struct replica_config cfg;
	pthread_t thread;
	bool has_thread;
	struct raft *raft;
	struct wal *wal;
	bool failed;
	int64_t last_tick; /* mono, ns */
	uint64_t quorum_contacts; /* as last seen from the core */
	uint64_t members_index;
	bool members_known;
	enum raft_role role;
	uint64_t logged_leader; /* as last written to the log */
	struct log_time log_time;
	uint64_t accepted;
	uint64_t next_context;
	struct pending_proposal *proposals;
	size_t proposal_first, proposal_count, proposal_cap;
	struct pending_read *reads;
	size_t read_count, read_cap;
	struct buf scratch; /* stamped command or encoded members */
	struct buf result;
	struct wire_raft_entry entries[WIRE_ENTRIES_MAX];
};

/* Input */
int push_item(struct replica *r, struct item *it);
struct item *make_message_item(const struct wire_raft_message *m);
void refuse_item(struct item *it, int status); /* calls back and frees */
void handle_item(struct replica *r, struct item *it); /* frees */

/* Requests */
void run_proposal(struct replica *r, struct item *it);
void run_change(struct replica *r, struct item *it);
void finish_proposals(struct replica *r, uint64_t index, uint64_t term,
    struct str result); /* the entry at index was applied */
void skip_proposals(struct replica *r, uint64_t index); /* by a snapshot */
void add_read(struct replica *r, struct item *it);
void send_reads(struct replica *r); /* asks for all waiting reads at once */
void note_read(struct replica *r, const struct raft_read *rd);
void finish_reads(struct replica *r); /* those whose index is applied */
void expire_requests(struct replica *r, int64_t now);
void fail_requests(struct replica *r);

/* Work */
void run_output(struct replica *r);
void compact_replica(struct replica *r);
void publish_status(struct replica *r, int64_t now);
void fail_replica(struct replica *r, const char *text);

/* Conversion */
void export_raft_message(struct replica *r, const struct raft_message *m,
    struct wire_raft_message *w);

#endif
