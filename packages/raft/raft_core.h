/*
 * State of the consensus core, shared by the source files of the package.
 */
#ifndef RAFT_CORE_H
#define RAFT_CORE_H

#include "raft.h"

#define RAFT_READS_MAX 65536 /* read requests that wait at a time */
#define RAFT_FORCE_VOTE 1 /* VOTE context: sent by leader transfer */

enum peer_state {
	PEER_PROBE = 0, /* one APPEND at a time until the logs match */
	PEER_REPLICATE = 1, /* a window of APPENDs in flight */
	PEER_SNAPSHOT = 2, /* receives the snapshot in chunks */
};

enum peer_vote {
	VOTE_NONE = 0,
	VOTE_GRANTED = 1,
	VOTE_REJECTED = 2,
};

/* What this member knows of a member, itself included. */
struct peer {
	uint64_t id;
	bool voter;
	enum peer_vote vote;
	enum peer_state state;
	uint64_t match; /* highest index known to be durable there */
	uint64_t next; /* next index to send */
	uint64_t window[RAFT_WINDOW_MAX]; /* last index of each APPEND sent */
	size_t in_flight;
	bool paused; /* probe or chunk sent, no answer yet */
	bool pending; /* has something to be sent */
	unsigned int age; /* ticks since its last message */
	uint64_t round; /* newest heartbeat round it acknowledged */
	uint64_t chunk_index; /* snapshot being sent */
	uint64_t chunk_offset;
};

/* Entries base_index + 1 and after. */
struct raft_log {
	uint64_t base_index;
	uint64_t base_term;
	struct raft_entry *entries;
	size_t count;
	size_t cap;
	size_t bytes; /* data and overhead of all entries */
};

struct queued_message {
	struct raft_message m; /* owns no memory; see take_raft_message() */
	uint64_t need; /* store that must be complete first */
};

struct pending_read {
	uint64_t context;
	uint64_t from; /* requesting member; own id for a local request */
	uint64_t round; /* 0: not assigned yet */
	uint64_t index;
	unsigned int age;
	bool forwarded; /* sent to the leader */
};

/* A snapshot that arrives in chunks. */
struct incoming_snapshot {
	uint64_t from;
	uint64_t term; /* of the sending leader */
	uint64_t index;
	uint64_t size;
	struct buf data;
};

struct raft {
	struct raft_config cfg;
	struct rng rng;
	struct raft_hard_state hard;
	enum raft_role role;
	uint64_t leader;
	struct raft_log log;
	uint64_t commit;
	uint64_t applied;
	struct raft_members members; /* in effect: the newest in the log */
	uint64_t members_index;
	struct peer peers[RAFT_MEMBERS_MAX];
	size_t peer_count;
	unsigned int election_elapsed;
	unsigned int election_timeout;
	unsigned int heartbeat_elapsed;
	uint64_t contacts;
	size_t uncommitted; /* bytes proposed and not committed */

	/* Storage */
	uint64_t stable; /* durable up to here, or in the pending snapshot */
	bool hard_dirty;
	bool snapshot_dirty; /* an installed snapshot is not durable yet */
	uint64_t next_seq;
	uint64_t done_seq;
	uint64_t busy_seq; /* store handed out, 0 none */
	uint64_t busy_last; /* its last entry, lowered by truncation */
	bool busy_snapshot;
	struct raft_hard_state busy_hard;

	/* Snapshots */
	struct raft_snapshot snapshot; /* newest; owns its data */
	size_t trailing; /* bytes of entries kept below the snapshot */
	bool load_pending; /* the state machine must load it */
	struct incoming_snapshot incoming;

	/* Reads */
	struct pending_read *reads;
	size_t read_count;
	size_t read_cap;
	struct raft_read *done_reads;
	size_t done_count;
	size_t done_cap;
	size_t done_taken;
	uint64_t round_sent;
	uint64_t round_acked;

	/* Leader transfer */
	uint64_t transferee; /* 0 none */
	unsigned int transfer_elapsed;

	/* Messages */
	struct queued_message *queue;
	size_t queue_count;
	size_t queue_cap;
	size_t queue_taken;
};

/* Log */
uint64_t get_log_last(const struct raft_log *l);
uint64_t get_log_term(const struct raft_log *l, uint64_t index); /* 0 none */
const struct raft_entry *get_log_entry(
    const struct raft_log *l, uint64_t index); /* NULL: none */
int append_log(struct raft_log *l, const struct raft_entry *e); /* copies */
void truncate_log(struct raft_log *l, uint64_t first); /* drops the tail */
void trim_log(struct raft_log *l, uint64_t index); /* drops up to index */
void reset_log(struct raft_log *l, uint64_t index, uint64_t term);
void unload_log(struct raft_log *l);
size_t get_entry_bytes(const struct raft_entry *e);
uint64_t find_log_conflict(
    const struct raft_log *l, uint64_t index, uint64_t term);
int copy_bytes(struct str s, struct str *out); /* owned; free_bytes() */
void free_bytes(struct str *s);

/* Members and quorums */
void rebuild_peers(struct raft *r); /* after r->members changed */
int load_log_members(struct raft *r); /* newest in log, else snapshot */
int find_members_at(
    const struct raft *r, uint64_t index, struct raft_members *out);
struct peer *find_peer(struct raft *r, uint64_t id);
bool is_self_voter(const struct raft *r);
size_t get_quorum(const struct raft *r);
uint64_t get_quorum_value(const struct raft *r, bool of_rounds);
bool has_quorum_votes(const struct raft *r, enum peer_vote vote);
size_t count_active_voters(const struct raft *r);

/* Roles */
void become_follower(struct raft *r, uint64_t term, uint64_t leader);
int become_leader(struct raft *r);
int start_campaign(struct raft *r, bool pre, bool force);
int count_own_vote(struct raft *r);
void reset_election_timer(struct raft *r);
void hasten_election(struct raft *r); /* after a start */
int handle_vote(struct raft *r, const struct raft_message *m);
int handle_vote_reply(struct raft *r, const struct raft_message *m);
bool is_in_lease(const struct raft *r);

/* Replication */
int append_own_entry(
    struct raft *r, enum raft_entry_type type, struct str data);
int handle_append(struct raft *r, const struct raft_message *m);
int handle_append_reply(struct raft *r, const struct raft_message *m);
int handle_heartbeat(struct raft *r, const struct raft_message *m);
int handle_heartbeat_reply(struct raft *r, const struct raft_message *m);
int handle_snapshot(struct raft *r, const struct raft_message *m);
int handle_snapshot_reply(struct raft *r, const struct raft_message *m);
void broadcast_heartbeat(struct raft *r);
void mark_peers_pending(struct raft *r);
void flush_appends(struct raft *r); /* queues what pending peers need */
void send_snapshot_chunk(struct raft *r, struct peer *p);
int advance_commit(struct raft *r); /* leader counts matches */
void set_commit(struct raft *r, uint64_t index);

/* Reads */
int handle_read(struct raft *r, const struct raft_message *m);
int handle_read_reply(struct raft *r, const struct raft_message *m);
void start_read_round(struct raft *r); /* if one is due */
void confirm_reads(struct raft *r); /* after a round was acknowledged */
void assign_reads(struct raft *r); /* to the round about to be sent */
void fail_reads(struct raft *r);
void age_reads(struct raft *r);

/* Leader transfer */
void continue_transfer(struct raft *r, const struct peer *p);

/* Messages */
struct raft_message make_message(
    const struct raft *r, enum raft_message_type type, uint64_t to);
void queue_message(struct raft *r, const struct raft_message *m);
void queue_stored_message(struct raft *r, const struct raft_message *m);

#endif
