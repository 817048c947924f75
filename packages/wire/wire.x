/*
 * Messages between the processes of the system. rpcgen makes gen/wire_xdr.h and
 * gen/wire_xdr.c from this file; both are committed (make wire).
 */

const WIRE_NAME_MAX = 64;          /* bytes of a name or address */
const WIRE_KEY_MAX = 128;          /* bytes of an idempotency key */
const WIRE_TEXT_MAX = 320;         /* bytes of a message for people */
const WIRE_TABLE_MAX = 1048576;    /* bytes of a table as CSV */
const WIRE_COMMAND_MAX = 3145728;  /* bytes of a replicated command */
const WIRE_SNAPSHOT_CHUNK = 262144; /* bytes of a snapshot in one message */
const WIRE_ANSWER_MAX = 1024;      /* bytes of a stored answer */
const WIRE_CLAIM_ID_BYTES = 16;
const WIRE_INTEREST_MAX = 256;     /* services a node follows */
const WIRE_SET_MAX = 2048;         /* endpoints in one message */
const WIRE_ENTRIES_MAX = 1024;     /* log entries in one message */
const WIRE_MEMBERS_MAX = 17;       /* control processes in one message */

typedef string wire_name<WIRE_NAME_MAX>;
typedef string wire_text<WIRE_TEXT_MAX>;

/* Result of a request; equal to the error numbers of base.h, negated. */
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

/* Hybrid logical clock stamp of the sender. */
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
	unsigned hyper log_index;  /* entry before the first one sent */
	unsigned hyper log_term;
	unsigned hyper commit;
	unsigned hyper context;    /* read index round, echoed in the reply */
	bool reject;
	unsigned hyper hint;       /* where a rejecting follower's log ends */
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

/* A command for the leader to put into the log. */
struct wire_propose_args {
	wire_hlc stamp;
	opaque command<WIRE_COMMAND_MAX>;
	int wait_ms;               /* how long the leader may wait for commit */
};

struct wire_propose_reply {
	wire_status status;
	wire_hlc stamp;
	unsigned hyper leader;     /* control id of the leader, 0 unknown */
	unsigned hyper index;      /* log index of the applied command */
	opaque result<WIRE_COMMAND_MAX>;
};

/* Question of a process with an empty data folder to the other ones. */
struct wire_group_args {
	wire_hlc stamp;
	unsigned hyper sender;     /* control id */
	bool founder;              /* it is listed among the founders */
};

struct wire_group_reply {
	wire_status status;
	wire_hlc stamp;
	bool exists;               /* the replying process is in a group */
	bool voter;                /* the sender is a voter of that group */
};

struct wire_member {
	unsigned hyper id;
	wire_name address;         /* IP:port for control processes and nodes */
	bool voter;
};

/*
 * A process that is no voter, or has lost contact, asks to be taken into the
 * group. Membership is managed by the leader.
 */
struct wire_join_args {
	wire_hlc stamp;
	unsigned hyper sender;     /* control id */
	wire_name address;         /* of the sender */
};

struct wire_join_reply {
	wire_status status;        /* UNAVAILABLE: not the leader */
	wire_hlc stamp;
	unsigned hyper leader;     /* control id, 0 unknown */
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

/* The serving node of one backend server. */
struct wire_endpoint {
	wire_name id;              /* node name */
	unsigned hyper incarnation; /* start time of the node, ns */
	unsigned hyper seq;        /* change within the incarnation */
	wire_name service;
	wire_name address;         /* IP:port of the node's HTTP listener */
	wire_name zone;
	int slots;
	wire_endpoint_state state;
	wire_name instance;        /* id of the backend server's run; may be "" */
	wire_name backend;         /* IP:port of the backend server; may be "" */
};

/* All endpoints of one service, or the changes since a set version. */
struct wire_endpoint_set {
	wire_name service;
	unsigned hyper set_version;
	bool whole;                /* replaces what the node holds */
	wire_endpoint endpoints<WIRE_SET_MAX>; /* GONE removes */
};

/* Changes of endpoint records from one control process to another. */
struct wire_sync_args {
	wire_hlc stamp;
	unsigned hyper sender;     /* control id */
	unsigned hyper registry_id; /* start of the sender's registry */
	bool digest_only;          /* anti-entropy: compare digest */
	unsigned hyper digest;     /* over id, incarnation, seq of all owned */
	wire_endpoint owned<WIRE_SET_MAX>;
	wire_name heard<WIRE_SET_MAX>; /* node ids heard since the last sync */
};

struct wire_sync_reply {
	wire_status status;
	wire_hlc stamp;
	bool resend;               /* digest differs: send all owned records */
};

/* Watch */

struct wire_interest {
	wire_name service;
	unsigned hyper set_version; /* 0: none held */
};

struct wire_watch_args {
	wire_hlc stamp;
	wire_name node;
	wire_name zone;
	unsigned hyper held_version; /* 0: no table */
	unsigned hyper held_digest;
	unsigned int switch_ms;    /* receipt to in force, last version */
	unsigned hyper refused_version;
	wire_text refused_reason;
	unsigned hyper registry_id; /* the set versions belong to this one */
	unsigned hyper interest_digest; /* names the list; 0: not kept */
	bool interest_same;        /* the list kept under this digest */
	wire_interest interest<WIRE_INTEREST_MAX>;
	wire_endpoint *self;       /* sent when changed or newly attached */
	int wait_ms;               /* heartbeat interval the node expects */
	unsigned hyper controls_digest; /* of the list held; 0: none wanted */
};

enum wire_table_form {
	WIRE_TABLE_NONE = 0,
	WIRE_TABLE_DELTA = 1,
	WIRE_TABLE_WHOLE = 2
};

struct wire_table_update {
	unsigned hyper table_version;
	unsigned hyper digest;
	unsigned hyper base;       /* version a delta starts from */
	wire_table_form form;
	opaque body<WIRE_TABLE_MAX>; /* cell list or CSV, see table.h */
};

struct wire_watch_reply {
	wire_status status;        /* STALE: try another; LIMIT: retry later */
	wire_hlc stamp;
	int retry_ms;
	wire_table_update table;
	unsigned hyper registry_id;
	wire_endpoint_set sets<WIRE_INTEREST_MAX>;
	unsigned hyper controls_digest; /* 0: the list is left out */
	wire_member controls<WIRE_MEMBERS_MAX>; /* the group's members */
};

/* Claims for calls that run at most once */

enum wire_claim_state {
	WIRE_CLAIM_OPEN = 0,
	WIRE_CLAIM_RAN = 1,
	WIRE_CLAIM_FAILED = 2,
	WIRE_CLAIM_NOT_RUN = 3
};

struct wire_claim_args {
	wire_hlc stamp;
	wire_name kind;            /* table row */
	string key<WIRE_KEY_MAX>;
	opaque claim_id[WIRE_CLAIM_ID_BYTES];
	wire_name node;
	unsigned hyper incarnation;
	wire_claim_state state;    /* OPEN opens, all others close */
	unsigned int keep_s;
	int http_status;
	opaque answer<WIRE_ANSWER_MAX>;
	bool answer_whole;         /* the answer fitted */
	int wait_ms;
};

struct wire_claim_reply {
	wire_status status;        /* OK granted or closed; CONFLICT held */
	wire_hlc stamp;
	wire_claim_state state;    /* of the claim that holds the key */
	wire_name holder;
	int http_status;
	opaque answer<WIRE_ANSWER_MAX>;
	bool answer_whole;
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
	} = 1;
} = 0x20474753;
