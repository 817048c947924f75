/*
 * The consensus core (Raft): elections, log replication, membership, snapshots
 * and linearizable reads. It does no I/O, has no clock and takes no locks; its
 * owner feeds it messages, ticks and storage completions and carries out its
 * output.
 */
#ifndef RAFT_H
#define RAFT_H

#include <limits.h>

#include "base.h"

#define RAFT_MEMBERS_MAX 17 /* voters and learners of a group */
#define RAFT_ADDRESS_BYTES 64 /* a member's address with its NUL */
#define RAFT_ENTRY_OVERHEAD 32 /* bytes counted per entry besides its data */
#define RAFT_WINDOW_MAX 64 /* upper limit of raft_config.append_window */

enum raft_role {
	RAFT_FOLLOWER = 0,
	RAFT_PRE_CANDIDATE = 1,
	RAFT_CANDIDATE = 2,
	RAFT_LEADER = 3,
};

enum raft_entry_type {
	RAFT_ENTRY_COMMAND = 0, /* for the state machine */
	RAFT_ENTRY_MEMBERS = 1, /* an encoded struct raft_members */
	RAFT_ENTRY_EMPTY = 2, /* a new leader's first entry */
};

/* The first ten values equal enum wire_raft_type. */
enum raft_message_type {
	RAFT_PREVOTE = 0,
	RAFT_PREVOTE_REPLY = 1,
	RAFT_VOTE = 2,
	RAFT_VOTE_REPLY = 3,
	RAFT_APPEND = 4,
	RAFT_APPEND_REPLY = 5,
	RAFT_SNAPSHOT = 6,
	RAFT_SNAPSHOT_REPLY = 7,
	RAFT_HEARTBEAT = 8,
	RAFT_HEARTBEAT_REPLY = 9,
	RAFT_READ = 10, /* follower requests a read index */
	RAFT_READ_REPLY = 11,
	RAFT_CAMPAIGN = 12, /* leadership transfer: start an election now */
};

enum raft_change_type {
	RAFT_ADD_LEARNER = 0, /* also updates the address of a member */
	RAFT_PROMOTE = 1, /* makes a learner that has caught up a voter */
	RAFT_REMOVE = 2,
};

/* A member of the group; learners receive the log but do not vote. */
struct raft_member {
	uint64_t id; /* never 0 */
	bool voter;
	char address[RAFT_ADDRESS_BYTES]; /* opaque to the core */
};

struct raft_members {
	size_t count;
	struct raft_member member[RAFT_MEMBERS_MAX];
};

struct raft_change {
	enum raft_change_type type;
	struct raft_member member; /* PROMOTE and REMOVE read the id only */
};

struct raft_entry {
	uint64_t term;
	enum raft_entry_type type;
	struct str data;
};

/* State that must survive a restart besides entries and snapshots. */
struct raft_hard_state {
	uint64_t term;
	uint64_t vote; /* member voted for in term; 0: none */
};

struct raft_snapshot {
	uint64_t index; /* last entry it includes; 0: none */
	uint64_t term; /* term of that entry */
	struct raft_members members;
	struct str data; /* encoded state machine */
};

struct raft_message {
	enum raft_message_type type;
	uint64_t from;
	uint64_t to;
	uint64_t term;
	uint64_t log_index; /* APPEND: the entry before the first one sent */
	uint64_t log_term;
	uint64_t commit;
	uint64_t context; /* heartbeat round or read request; replies echo it */
	bool reject;
	/*
	 * Rejected APPEND: index where the logs may agree. Other replies to
	 * APPEND and PREVOTE: ticks that the sender's storage work takes. VOTE:
	 * the longest ones of the members that the candidate waits for.
	 */
	uint64_t hint;
	size_t entry_count;
	const struct raft_entry *entries;
	uint64_t snapshot_offset;
	uint64_t snapshot_size;
	struct str snapshot; /* chunk at snapshot_offset */
	struct raft_members members; /* SNAPSHOT only */
};

struct raft_config {
	uint64_t id;
	uint64_t seed; /* of the random election timeouts */
	unsigned int heartbeat_ticks;
	unsigned int election_ticks; /* timeouts are drawn from 1x to 2x */
	size_t append_bytes; /* entry bytes in one APPEND */
	size_t append_entries; /* entries in one APPEND */
	size_t append_window; /* unacknowledged APPENDs per member */
	size_t chunk_bytes; /* snapshot bytes in one SNAPSHOT */
	size_t uncommitted_bytes; /* proposals beyond it get ERR_LIMIT */
	size_t trailing_bytes; /* entries kept below a snapshot for followers */
};

/* Contents of storage at start; open_raft() copies all of it. */
struct raft_stored {
	struct raft_hard_state hard;
	struct raft_snapshot snapshot; /* index 0: none, members may be set */
	size_t entry_count;
	const struct raft_entry *entries; /* first is at snapshot.index + 1 */
};

/* One unit of storage work, in this order: hard state, snapshot, entries. */
struct raft_store {
	uint64_t seq; /* for complete_raft_store() */
	bool has_hard;
	struct raft_hard_state hard;
	const struct raft_snapshot *snapshot; /* NULL: none; else resets log */
	uint64_t first; /* stored entries from here on are replaced */
	size_t entry_count;
	const struct raft_entry *entries;
};

/* One step of the state machine: a snapshot to load or an entry to apply. */
struct raft_apply {
	const struct raft_snapshot *snapshot; /* NULL: apply the entry */
	uint64_t index;
	struct raft_entry entry;
};

/* Result of a read request. */
struct raft_read {
	uint64_t context; /* as given to request_raft_read() */
	int status; /* 0 or ERR_UNAVAILABLE */
	uint64_t index; /* serve the read once this is applied */
};

struct raft_status {
	enum raft_role role;
	uint64_t leader; /* 0: unknown */
	uint64_t term;
	uint64_t commit;
	uint64_t applied;
	uint64_t last; /* index of the last entry */
	uint64_t snapshot; /* index of the snapshot */
	uint64_t members_index; /* entry that set the membership in effect */
	/*
	 * Grows with each message from the leader; on the leader, with each
	 * heartbeat round that a quorum acknowledges.
	 */
	uint64_t quorum_contacts;
	size_t log_bytes; /* entries after the snapshot */
	bool transferring; /* leader is handing over; refuses proposals */
	bool voter; /* whether this member is a voter */
};

struct raft;

/* Opening and closing */
int open_raft(const struct raft_config *cfg, const struct raft_stored *stored,
    struct raft **out, struct fault *f);
void close_raft(struct raft *r);

/* Input */
int step_raft(struct raft *r, const struct raft_message *m); /* copies m */
int tick_raft(struct raft *r); /* one tick has passed */
int complete_raft_store(struct raft *r, uint64_t seq); /* seq is durable */
/* How long the latest storage work took; members tell each other. */
void set_raft_storage_ticks(struct raft *r, unsigned int ticks);
int propose_raft(struct raft *r, struct str command, uint64_t *index);
int change_raft_members(struct raft *r, const struct raft_change *change,
    uint64_t *index, struct fault *f);
int request_raft_read(struct raft *r, uint64_t context);
int transfer_raft_leadership(
    struct raft *r, uint64_t target); /* 0: best voter */
int campaign_raft(struct raft *r); /* starts an election now */
int compact_raft(struct raft *r, uint64_t index, struct str data);

/*
 * Output. Each function returns false when nothing is left. The pointers in
 * *out belong to the core and are valid until the next input.
 */
bool pop_raft_message(struct raft *r, struct raft_message *out);
bool pop_raft_store(struct raft *r, struct raft_store *out);
bool pop_raft_apply(struct raft *r, struct raft_apply *out);
bool pop_raft_read(struct raft *r, struct raft_read *out);

/* Queries */
struct raft_status get_raft_status(const struct raft *r);
const struct raft_members *get_raft_members(const struct raft *r);
const struct raft_snapshot *get_raft_snapshot(const struct raft *r);
uint64_t get_raft_term_at(
    const struct raft *r, uint64_t index); /* 0: index not in the log */
bool is_raft_sending_snapshot(const struct raft *r); /* to a live member */
uint64_t get_raft_match(
    const struct raft *r, uint64_t id); /* 0 unless this member leads */
/* Ticks since the leader's last contact with id; UINT_MAX: not a member. */
unsigned int get_raft_contact_age(const struct raft *r, uint64_t id);

/* Membership */
int encode_raft_members(const struct raft_members *m, struct buf *out);
int decode_raft_members(struct str bytes, struct raft_members *out);
const struct raft_member *find_raft_member(
    const struct raft_members *m, uint64_t id); /* NULL: none */

#endif
