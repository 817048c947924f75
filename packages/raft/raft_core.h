/*
 * State of the consensus core, shared by the source files of the package.
 */
#ifndef RAFT_CORE_H
#define RAFT_CORE_H

#include "raft.h"

#define PENDING_READS_MAX 65536 /* more get ERR_LIMIT */
#define RAFT_FORCE_VOTE 1 /* context of a VOTE in a leadership transfer */

enum peer_state {
	PEER_PROBE = 0, /* one APPEND at a time until its log matches */
	PEER_REPLICATE = 1, /* a window of APPENDs in flight */
	PEER_SNAPSHOT = 2, /* receives the snapshot, one chunk at a time */
};

/* A reply waits for the storage work in progress and for its own. */
#define STORES_BEFORE_REPLY 2

enum peer_vote {
	VOTE_NONE = 0,
	VOTE_GRANTED = 1,
	VOTE_REJECTED = 2,
};

/* What this member knows of a member of the group, itself included. */
struct peer {
	uint64_t id;
	bool voter;
	enum peer_vote vote;
	bool reachable; /* granted the pre-vote before this election */
	enum peer_state state;
	uint64_t match; /* highest index known to be durable there */
	uint64_t next; /* index of the next entry to send */
	uint64_t window[RAFT_WINDOW_MAX]; /* last index of each APPEND sent */
	size_t in_flight; /* APPENDs in window */
	bool paused; /* probe or chunk sent, no reply yet */
	bool send_pending; /* flush_appends() must check it */
	unsigned int ticks_since_contact; /* since its last reply */
	unsigned int storage_ticks; /* as it reported; its storage work */
	uint64_t acked_round; /* newest heartbeat round it acknowledged */
	uint64_t snapshot_index; /* snapshot being sent */
	uint64_t chunk_offset; /* next bytes to send */
};

/* The entries from base_index + 1 on. */
struct raft_log {
	uint64_t base_index;
	uint64_t base_term; /* of the entry at base_index */
	struct raft_entry *entries;
	size_t count;
	size_t cap;
	size_t bytes; /* data and overhead of all entries */
};

struct queued_message {
	struct raft_message m; /* owns no memory; data attached when popped */
	uint64_t required_seq; /* storage work that must be complete; 0: none */
};

struct pending_read {
	uint64_t context;
	uint64_t from; /* requesting member, may be this one */
	uint64_t round; /* heartbeat round that confirms it; 0: not assigned */
	uint64_t index; /* commit index when the round was sent */
	unsigned int wait_ticks; /* since the request */
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
	uint64_t members_index; /* entry or snapshot that set members */
	struct peer peers[RAFT_MEMBERS_MAX];
	size_t peer_count;
	unsigned int election_elapsed; /* ticks, as the next two */
	unsigned int election_timeout;
	unsigned int heartbeat_elapsed;
	unsigned int storage_ticks; /* that recent storage work took */
	unsigned int storage_elapsed; /* ticks since it was halved */
	uint64_t quorum_contacts; /* see struct raft_status */
	size_t proposed_bytes; /* leader: entries that are not committed */

	/* Storage */
	uint64_t stable; /* last index on disk, or of an unstored snapshot */
	bool hard_dirty; /* hard is not handed out for storage yet */
	bool snapshot_dirty; /* the same for an installed snapshot */
	uint64_t next_store_seq; /* of the next storage work */
	uint64_t stored_seq; /* last completed storage work */
	uint64_t store_seq; /* outstanding storage work; 0: none */
	uint64_t store_last; /* its last index, lowered by truncation */
	bool store_has_snapshot;
	struct raft_hard_state store_hard;

	/* Snapshots */
	struct raft_snapshot snapshot; /* the newest; owns its data */
	size_t retained_bytes; /* entries kept in the log below the snapshot */
	bool snapshot_load_pending; /* by the state machine */
	struct incoming_snapshot incoming;

	/* Reads */
	struct pending_read *reads;
	size_t read_count;
	size_t read_cap;
	struct raft_read *done_reads;
	size_t done_count;
	size_t done_cap;
	size_t done_head; /* first that is not popped */
	uint64_t round_sent; /* newest heartbeat round */
	uint64_t round_acked; /* newest that a majority acknowledged */

	/* Leadership transfer */
	uint64_t transferee; /* target; 0: no transfer */
	unsigned int transfer_elapsed; /* ticks */

	/* Messages */
	struct queued_message *queue;
	size_t queue_count;
	size_t queue_cap;
	size_t queue_head; /* first that is not popped */
};

/* Log */
uint64_t get_log_last(const struct raft_log *l);
uint64_t get_log_term(const struct raft_log *l, uint64_t index); /* 0: none */
const struct raft_entry *get_log_entry(
    const struct raft_log *l, uint64_t index); /* NULL: none */
int append_log(struct raft_log *l, const struct raft_entry *e); /* copies */
void truncate_log(struct raft_log *l, uint64_t first); /* drops from first */
void trim_log(struct raft_log *l, uint64_t index); /* drops up to index */
void reset_log(struct raft_log *l, uint64_t index, uint64_t term);
void unload_log(struct raft_log *l);
size_t get_entry_bytes(const struct raft_entry *e);
uint64_t find_last_at_term(
    const struct raft_log *l, uint64_t index, uint64_t term);
int copy_bytes(struct str s, struct str *out); /* owned; free_bytes() */
void free_bytes(struct str *s);

/* Members and quorums */
void rebuild_peers(struct raft *r); /* after a change of r->members */
int load_log_members(struct raft *r); /* puts the newest into effect */
int find_members_at(
    const struct raft *r, uint64_t index, struct raft_members *out);
struct peer *find_peer(struct raft *r, uint64_t id);
bool is_self_voter(const struct raft *r);
size_t get_quorum_size(const struct raft *r);
uint64_t get_quorum_value(const struct raft *r, bool of_rounds);
bool has_quorum_votes(const struct raft *r, enum peer_vote vote);
size_t count_active_voters(const struct raft *r);

/* Roles */
void become_follower(struct raft *r, uint64_t term, uint64_t leader);
int become_leader(struct raft *r);
int start_campaign(struct raft *r, bool pre_vote, bool force);
int count_own_vote(struct raft *r);
void reset_election_timer(struct raft *r);
void shorten_election_timeout(struct raft *r); /* before first contact */
bool is_vote_awaited(const struct raft *r);
unsigned int limit_storage_ticks(const struct raft *r, uint64_t ticks);
int handle_vote(struct raft *r, const struct raft_message *m);
int handle_vote_reply(struct raft *r, const struct raft_message *m);
bool is_in_lease(const struct raft *r);

/* Replication */
int append_leader_entry(
    struct raft *r, enum raft_entry_type type, struct str data);
int handle_append(struct raft *r, const struct raft_message *m);
int handle_append_reply(struct raft *r, const struct raft_message *m);
int handle_heartbeat(struct raft *r, const struct raft_message *m);
int handle_heartbeat_reply(struct raft *r, const struct raft_message *m);
int handle_snapshot(struct raft *r, const struct raft_message *m);
int handle_snapshot_reply(struct raft *r, const struct raft_message *m);
void broadcast_heartbeat(struct raft *r);
void mark_sends_pending(struct raft *r);
void flush_appends(struct raft *r); /* queues the pending sends */
void send_snapshot_chunk(struct raft *r, struct peer *p);
int advance_commit(struct raft *r); /* leader only; by a majority's match */
void set_commit(struct raft *r, uint64_t index);

/* Reads */
int handle_read(struct raft *r, const struct raft_message *m);
int handle_read_reply(struct raft *r, const struct raft_message *m);
void start_read_round(struct raft *r); /* if reads wait for one */
void confirm_reads(struct raft *r); /* when a round is acknowledged */
void assign_read_round(struct raft *r); /* the one about to be sent */
void fail_reads(struct raft *r); /* on a change of leader */
void expire_reads(struct raft *r); /* once a tick */

/* Leadership transfer */
void continue_transfer(struct raft *r, const struct peer *p);

/* Messages */
struct raft_message make_message(
    const struct raft *r, enum raft_message_type type, uint64_t to);
void queue_message(struct raft *r, const struct raft_message *m);
void queue_message_after_store(struct raft *r, const struct raft_message *m);

#endif
