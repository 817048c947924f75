/*
 * Messages between control processes and nodes. "make wire" runs rpcgen, which
 * generates gen/wire_xdr.h and gen/wire_xdr.c from this file; both are
 * committed.
 */

const WIRE_NAME_MAX = 64;          /* bytes of a name or address */
const WIRE_KEY_MAX = 128;          /* bytes of an idempotency key */
const WIRE_TEXT_MAX = 320;         /* bytes of a message for people */
const WIRE_TABLE_MAX = 1048576;    /* bytes of a table as CSV */
const WIRE_COMMAND_MAX = 3145728;  /* bytes of a replicated command */
const WIRE_SNAPSHOT_CHUNK = 262144; /* bytes of a snapshot in one message */
const WIRE_ANSWER_MAX = 1024;      /* bytes of a stored answer */
const WIRE_CLAIM_ID_BYTES = 16;
const WIRE_INTEREST_MAX = 256;     /* services that a node subscribes to */
const WIRE_SET_MAX = 2048;         /* endpoints in one message */
const WIRE_ENTRIES_MAX = 1024;     /* log entries in one message */
const WIRE_MEMBERS_MAX = 17;       /* control processes in one message */
const WIRE_PACKED_MAX = 4194304;   /* bytes of a packed message */

typedef string wire_name<WIRE_NAME_MAX>;
typedef string wire_text<WIRE_TEXT_MAX>;

/* Result of a request: the negated error number of base.h. */
enum wire_status {
	WIRE_OK = 0,
	WIRE_INVALID = 1,
	WIRE_NOT_FOUND = 2,
	WIRE_CONFLICT = 3,
	WIRE_UNAVAILABLE = 4,
	WIRE_TIMEOUT = 5,
	WIRE_LIMIT = 6,
	WIRE_DENIED = 9,
	WIRE_STALE = 11,
	WIRE_UNKNOWN = 13
};

/* Timestamp of the sender's hybrid logical clock. */
struct wire_hlc {
	hyper wall_ns;
	unsigned int count;
};

/* Consensus */

enum wire_raft_type {
	WIRE_RAFT_PREVOTE = 0,
	WIRE_RAFT_PREVOTE_REPLY = 1,
	WIRE_RAFT_VOTE = 2,
	WIRE_RAFT_VOTE_REPLY = 3,
	WIRE_RAFT_APPEND = 4,
	WIRE_RAFT_APPEND_REPLY = 5,
	WIRE_RAFT_SNAPSHOT = 6,
	WIRE_RAFT_SNAPSHOT_REPLY = 7,
	WIRE_RAFT_HEARTBEAT = 8,
	WIRE_RAFT_HEARTBEAT_REPLY = 9
};

struct wire_raft_entry {
	unsigned hyper term;
	unsigned int type;
	opaque data<WIRE_COMMAND_MAX>;
};

struct wire_raft_message {
	wire_raft_type type;
	unsigned hyper from;
	unsigned hyper to;
	unsigned hyper term;
	unsigned hyper log_index;  /* entry before the first in entries */
	unsigned hyper log_term;
	unsigned hyper commit;
	unsigned hyper context;    /* read index round, echoed in the reply */
	bool reject;
	unsigned hyper hint;       /* last index of a rejecting follower */
	wire_raft_entry entries<WIRE_ENTRIES_MAX>;
	unsigned hyper snapshot_offset;
	unsigned hyper snapshot_size;
	opaque snapshot<WIRE_SNAPSHOT_CHUNK>;
	opaque members<4096>;      /* membership at the snapshot */
};

struct wire_read_reply {
	wire_status status;
	unsigned hyper index;      /* commit index confirmed by a quorum */
};

/* A command that the leader appends to the log. */
struct wire_propose_args {
	wire_hlc stamp;
	opaque command<WIRE_COMMAND_MAX>;
	int wait_ms;               /* longest wait for the commit */
};

struct wire_propose_reply {
	wire_status status;
	wire_hlc stamp;
	unsigned hyper leader;     /* control id of the leader; 0: unknown */
	unsigned hyper index;      /* log index of the applied command */
	opaque result<WIRE_COMMAND_MAX>;
};

/* Sent at bootstrap by a process with an empty data directory to the others. */
struct wire_group_args {
	wire_hlc stamp;
	unsigned hyper sender;     /* control id */
	bool founder;              /* sender may bootstrap the group */
};

struct wire_group_reply {
	wire_status status;
	wire_hlc stamp;
	bool exists;               /* replying process is in a group */
	bool voter;                /* the sender is a voter of that group */
};

struct wire_member {
	unsigned hyper id;
	wire_name address;         /* IP:port for control processes and nodes */
	bool voter;
};

/*
 * Request to join the group, sent by a process that is not a voter or has lost
 * contact. The leader manages the membership.
 */
struct wire_join_args {
	wire_hlc stamp;
	unsigned hyper sender;     /* control id */
	wire_name address;         /* of the sender */
};

struct wire_join_reply {
	wire_status status;        /* UNAVAILABLE: not the leader */
	wire_hlc stamp;
	unsigned hyper leader;     /* control id; 0: unknown */
	wire_member members<WIRE_MEMBERS_MAX>;
};

/* Endpoints */

enum wire_endpoint_state {
	WIRE_ENDPOINT_STARTING = 0,
	WIRE_ENDPOINT_READY = 1,
	WIRE_ENDPOINT_DRAINING = 2,
	WIRE_ENDPOINT_GONE = 3,
	WIRE_ENDPOINT_SUSPECT = 4
};

/* A backend server with its serving node. */
struct wire_endpoint {
	wire_name id;              /* node name */
	unsigned hyper incarnation; /* start time of the node, ns */
	unsigned hyper seq;        /* of the change, in the incarnation */
	wire_name service;
	wire_name address;         /* IP:port of the node's HTTP listener */
	wire_name zone;
	int slots;
	wire_endpoint_state state;
	/* Of the backend server; both may be "" */
	wire_name instance;        /* id of its current run */
	wire_name backend;         /* IP:port */
};

/* All endpoints of one service, or the changes since a set version. */
struct wire_endpoint_set {
	wire_name service;
	unsigned hyper set_version;
	bool whole;                /* replaces the node's set */
	wire_endpoint endpoints<WIRE_SET_MAX>; /* state GONE: remove it */
};

/* Changes of endpoint records from one control process to another. */
struct wire_sync_args {
	wire_hlc stamp;
	unsigned hyper sender;     /* control id */
	unsigned hyper registry_id; /* start time of the sender's registry */
	bool digest_only;          /* anti-entropy: only compare the digest */
	unsigned hyper digest;     /* of id, incarnation, seq of all owned */
	wire_endpoint owned<WIRE_SET_MAX>;
	/* Ids of the nodes that were in contact since the last sync */
	wire_name heard<WIRE_SET_MAX>;
};

struct wire_sync_reply {
	wire_status status;
	wire_hlc stamp;
	bool resend;               /* digest differs: send all owned records */
};

/* Watch */

struct wire_interest {
	wire_name service;
	unsigned hyper set_version; /* of the current set; 0: none */
};

struct wire_watch_args {
	wire_hlc stamp;
	wire_name node;
	wire_name zone;
	unsigned hyper held_version; /* current table version; 0: no table */
	unsigned hyper held_digest; /* of the current table */
	unsigned int switch_ms;    /* last version: receipt until in use */
	unsigned hyper refused_version;
	wire_text refused_reason;
	unsigned hyper registry_id; /* registry of the set versions */
	unsigned hyper interest_digest; /* 0: do not store the list */
	bool interest_same;        /* use the list stored under this digest */
	wire_interest interest<WIRE_INTEREST_MAX>;
	wire_endpoint *self;       /* sent if changed or newly attached */
	int wait_ms;               /* expected heartbeat interval */
	/* Digest of the node's list of control processes; 0: do not send it */
	unsigned hyper controls_digest;
};

enum wire_table_form {
	WIRE_TABLE_NONE = 0,
	WIRE_TABLE_DELTA = 1,
	WIRE_TABLE_WHOLE = 2
};

struct wire_table_update {
	unsigned hyper table_version;
	unsigned hyper digest;
	unsigned hyper base;       /* version that a delta applies to */
	wire_table_form form;
	opaque body<WIRE_TABLE_MAX>; /* cell list or CSV, see table.h */
};

struct wire_watch_reply {
	/* STALE: try another control process; LIMIT: retry later */
	wire_status status;
	wire_hlc stamp;
	int retry_ms;              /* with OK: 0 or WIRE_RETRY_ANNOUNCE */
	wire_table_update table;
	unsigned hyper registry_id;
	wire_endpoint_set sets<WIRE_INTEREST_MAX>;
	unsigned hyper controls_digest; /* 0: the list is omitted */
	wire_member controls<WIRE_MEMBERS_MAX>; /* members of the group */
};

/* An encoded message, deflated (RFC 1950) when that makes it shorter. */
struct wire_packed {
	unsigned int inflated_len; /* 0: data is not deflated */
	opaque data<WIRE_PACKED_MAX>;
};

/* Claims of at-most-once calls */

enum wire_claim_state {
	WIRE_CLAIM_OPEN = 0,
	WIRE_CLAIM_RAN = 1,
	WIRE_CLAIM_FAILED = 2,
	WIRE_CLAIM_NOT_RUN = 3
};

struct wire_claim_args {
	wire_hlc stamp;
	wire_name kind;            /* row of the table */
	string key<WIRE_KEY_MAX>;
	opaque claim_id[WIRE_CLAIM_ID_BYTES];
	wire_name node;
	unsigned hyper incarnation;
	wire_claim_state state;    /* OPEN opens a claim, others close it */
	unsigned int keep_s;
	int http_status;
	opaque answer<WIRE_ANSWER_MAX>;
	bool answer_whole;         /* the answer is complete */
	int wait_ms;
};

struct wire_claim_reply {
	/* OK: granted or closed; CONFLICT: another claim has the key */
	wire_status status;
	wire_hlc stamp;
	wire_claim_state state;    /* of the claim that has the key */
	wire_name holder;
	int http_status;
	opaque answer<WIRE_ANSWER_MAX>;
	bool answer_whole;
};

/* Roll-outs of services to another version of their backend servers */

const WIRE_ROLLOUTS_MAX = 64;      /* roll-outs in one message */
const WIRE_ROLLOUT_COUNTS_MAX = 256; /* counters in one message */
const WIRE_ROLLOUT_BUCKETS = 24;   /* of a latency histogram */

struct wire_rollout {
	wire_name service;
	wire_name target;          /* version that it moves to */
	unsigned hyper number;     /* of the order; never reused */
	int phase;                 /* enum rollout_phase */
	unsigned hyper change;     /* of the list, that began the phase */
};

/*
 * What a node has seen of a service's calls of one row at the target version or
 * at all others, since it learned of the roll-out. A later message replaces an
 * earlier one, so that one sent again does not count twice.
 */
struct wire_rollout_counts {
	unsigned hyper number;     /* of the order */
	wire_name row;
	bool target;
	unsigned int answers;
	unsigned int failed;       /* among answers */
	unsigned int latency<WIRE_ROLLOUT_BUCKETS>; /* see rollout.h */
};

/* A roll-out that a node knows of. */
struct wire_rollout_age {
	unsigned hyper number;
	unsigned int age_ms;       /* since the node learned of it */
};

struct wire_rollouts_args {
	wire_hlc stamp;
	wire_name node;
	unsigned hyper incarnation; /* start of the node, ns */
	unsigned hyper seq;        /* of the report; 0: no report */
	unsigned hyper held;       /* change of the list in force; 0: none */
	int wait_ms;               /* longest wait for another list */
	/* A report */
	wire_name service;         /* of the node's backend server, or "" */
	wire_name server_version;  /* of it, or "" */
	unsigned int running;      /* calls queued for it or running at it */
	wire_rollout_age ages<WIRE_ROLLOUTS_MAX>;
	wire_rollout_counts counts<WIRE_ROLLOUT_COUNTS_MAX>;
};

struct wire_rollouts_reply {
	wire_status status;        /* STALE: the list may be an old one */
	wire_hlc stamp;
	unsigned hyper change;     /* counts the changes of the list */
	wire_rollout rollouts<WIRE_ROLLOUTS_MAX>;
};

/* Allotments: leases of an account's tokens, see allotment_ledger.h */

const WIRE_ALLOTMENTS_MAX = 512;   /* accounts in one message */

struct wire_allotment_ask {
	wire_name account;
	unsigned int held;         /* unspent tokens that the node keeps */
	unsigned int returned;     /* unspent tokens that it gives back */
	unsigned int want;         /* further tokens */
	unsigned int demand_milli; /* calls in 1,000 s at the node */
};

struct wire_allotment_args {
	wire_name node;
	unsigned hyper run;        /* start time of the node, ns */
	unsigned hyper seq;        /* of the ask, in the run */
	unsigned hyper answered;   /* last ask whose answer the node uses */
	bool leaving;              /* the node asks no more */
	wire_allotment_ask asks<WIRE_ALLOTMENTS_MAX>;
};

struct wire_allotment_grant {
	unsigned int tokens;
	unsigned int room_ms;      /* until there is room for more; 0: now */
};

struct wire_allotment_reply {
	/* UNAVAILABLE: ask the leader; STALE: the ask was overtaken */
	wire_status status;
	wire_name leader;          /* its RPC address; "": unknown */
	unsigned int nodes;        /* of the fleet */
	wire_allotment_grant grants<WIRE_ALLOTMENTS_MAX>; /* as in asks */
};

/*
 * Leavings: what a node has acknowledged to its backend server, kept in the log
 * of the control group for the node's next start.
 */

const WIRE_LEAVINGS_MAX = 8;       /* of one node */

struct wire_leaving {
	wire_name instance;        /* of the backend server */
	hyper born_until_ms;       /* Unix ms; covers starts up to then */
};

struct wire_leavings_args {
	wire_hlc stamp;
	wire_name node;
	wire_leaving leavings<WIRE_LEAVINGS_MAX>; /* to add; none: only read */
	int wait_ms;
};

struct wire_leavings_reply {
	wire_status status;        /* OK: a quorum has what was to be added */
	wire_hlc stamp;
	wire_leaving leavings<WIRE_LEAVINGS_MAX>; /* kept for the node */
};

program GGS_PROGRAM {
	version GGS_V1 {
		void GGS_PING(void) = 0;
		void GGS_RAFT_STEP(wire_raft_message) = 1;
		wire_read_reply GGS_READ_INDEX(void) = 2;
		wire_propose_reply GGS_PROPOSE(wire_propose_args) = 3;
		wire_sync_reply GGS_ENDPOINT_SYNC(wire_sync_args) = 4;
		wire_watch_reply GGS_WATCH(wire_watch_args) = 5;
		wire_watch_reply GGS_PULL(wire_watch_args) = 6;
		wire_claim_reply GGS_CLAIM(wire_claim_args) = 7;
		wire_group_reply GGS_GROUP(wire_group_args) = 8;
		wire_join_reply GGS_JOIN(wire_join_args) = 9;
		/* GGS_WATCH whose reply is a packed wire_watch_reply */
		wire_packed GGS_WATCH_PACKED(wire_watch_args) = 10;
		wire_rollouts_reply GGS_ROLLOUTS(wire_rollouts_args) = 11;
		/* A node's report, passed on to the leader */
		wire_rollouts_reply GGS_ROLLOUT_REPORT(wire_rollouts_args) = 13;
		wire_allotment_reply GGS_ALLOTMENT(wire_allotment_args) = 14;
		wire_leavings_reply GGS_LEAVINGS(wire_leavings_args) = 15;
	} = 1;
} = 0x20474753;
