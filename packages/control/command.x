/*
 * Commands of the replicated state machine, their results and the records of
 * its snapshots. rpcgen makes gen/command_xdr.h and gen/command_xdr.c from
 * this file; both are committed (gen.sh regenerates them).
 */

const COMMAND_NAME_MAX = 32;       /* bytes of a row's name or a cell */
const COMMAND_AUTHOR_MAX = 64;     /* bytes of an operator's name */
const COMMAND_KEY_MAX = 128;       /* bytes of an idempotency key */
const COMMAND_CELLS_MAX = 1024;    /* cells of one edit */
const COMMAND_CELL_MAX = 511;      /* bytes of a cell */
const COMMAND_CSV_MAX = 1048576;   /* bytes of a table as CSV */
const COMMAND_SOURCE_MAX = 4194304; /* bytes of the text of a replacement */
const COMMAND_DELTA_MAX = 1048576; /* bytes of a difference of texts */
const COMMAND_TEXT_MAX = 320;      /* bytes of a message for people */
const COMMAND_ANSWER_MAX = 1024;   /* bytes of a stored response */
const COMMAND_CLAIM_ID_BYTES = 16;
const COMMAND_RETIRED_MAX = 4;     /* cancelled claim ids of a claim */
const COMMAND_RESULT_MAX = 2048;   /* bytes of an encoded result */
const COMMAND_LEAVINGS_MAX = 8;    /* leavings of one node */

enum command_type {
	COMMAND_EDIT = 1,
	COMMAND_IMPORT = 2,
	COMMAND_REVERT = 3,
	COMMAND_CLAIM = 4,
	COMMAND_REPLACE = 5,
	COMMAND_ROLLOUT = 6,
	COMMAND_ROLLOUT_STEP = 7,
	COMMAND_LEAVINGS = 8
};

/* Column kind with the row's name adds a row, with no value removes it. */
struct command_cell {
	string row<COMMAND_NAME_MAX>;
	int column;
	string value<COMMAND_CELL_MAX>;
};

struct command_edit {
	command_cell cells<COMMAND_CELLS_MAX>;
};

struct command_import {
	opaque csv<COMMAND_CSV_MAX>;
};

struct command_revert {
	unsigned hyper target;     /* version whose content is restored */
};

/* states are those of wire_claim_state */
struct command_claim {
	string kind<COMMAND_NAME_MAX>;
	opaque claim_id[COMMAND_CLAIM_ID_BYTES];
	string node<COMMAND_AUTHOR_MAX>;
	unsigned hyper incarnation;
	int state;
	unsigned int keep_s;
	int http_status;
	opaque answer<COMMAND_ANSWER_MAX>;
	bool answer_whole;
};

/*
 * Replaces the whole table under a version number chosen by the operator. The
 * table and the text that it was read from are encoded as differences from
 * those of the base.
 */
struct command_replace {
	unsigned hyper number;     /* of the new version; above the base */
	opaque cells<COMMAND_CSV_MAX>; /* see encode_cells */
	bool whole;                /* cells is the full table as CSV */
	unsigned hyper table_digest;
	opaque source<COMMAND_DELTA_MAX>; /* see make_source_delta */
	unsigned hyper source_digest; /* of the whole text */
};

/* Order of an operator: move a service to another version of its servers. */
struct command_rollout {
	string service<COMMAND_NAME_MAX>;
	string target<COMMAND_NAME_MAX>; /* version */
	unsigned int duration_ms;
};

/* A decision of the leader about a roll-out. */
struct command_rollout_step {
	unsigned hyper number;     /* of the order */
	int phase;                 /* enum rollout_phase that begins */
	string reason<COMMAND_TEXT_MAX>;
};

struct command_leaving {
	string instance<COMMAND_AUTHOR_MAX>;
	hyper born_until_ms;       /* Unix ms; covers starts up to then */
};

/*
 * Leavings that a node is about to acknowledge to its backend server. The
 * answer in the result is the same struct with all that are kept for the node.
 */
struct command_leavings {
	string node<COMMAND_AUTHOR_MAX>;
	command_leaving items<COMMAND_LEAVINGS_MAX>;
};

union command_body switch (command_type type) {
case COMMAND_EDIT:
	command_edit edit;
case COMMAND_IMPORT:
	command_import import;
case COMMAND_REVERT:
	command_revert revert;
case COMMAND_CLAIM:
	command_claim claim;
case COMMAND_REPLACE:
	command_replace replace;
case COMMAND_ROLLOUT:
	command_rollout rollout;
case COMMAND_ROLLOUT_STEP:
	command_rollout_step rollout_step;
case COMMAND_LEAVINGS:
	command_leavings leavings;
};

struct command {
	string author<COMMAND_AUTHOR_MAX>;
	string key<COMMAND_KEY_MAX>;
	unsigned hyper base;
	command_body body;
};

/* The answer to a command; status is zero or a negative error number. */
struct command_result {
	int status;
	unsigned hyper table_version; /* made by the command, else the current one */
	bool unchanged;            /* accepted, but the content was the same */
	command_cell winner;       /* conflict: the current cell */
	string winner_author<COMMAND_AUTHOR_MAX>;
	unsigned hyper winner_version;
	string text<COMMAND_TEXT_MAX>;
	int claim_state;
	string holder<COMMAND_AUTHOR_MAX>;
	int http_status;
	opaque answer<COMMAND_ANSWER_MAX>;
	bool answer_whole;
};

/* Records of a snapshot */

enum stored_type {
	STORED_HEAD = 1,
	STORED_VERSION = 2,
	STORED_ANSWER = 3,
	STORED_CLAIM = 4,
	STORED_END = 5,
	STORED_ROLLOUT = 6,
	STORED_LEAVING = 7
};

struct stored_head {
	unsigned int format;       /* 2 */
	hyper log_ns;
	hyper claims_swept_ns;
	unsigned hyper table_version;
	unsigned hyper table_digest;
	opaque csv<COMMAND_CSV_MAX>;
	opaque source<COMMAND_SOURCE_MAX>; /* text of the table; empty: none */
};

/* One accepted version. */
struct stored_version {
	unsigned hyper number;
	unsigned hyper after;      /* previous version; a relay may skip some */
	unsigned hyper base;
	hyper time_ns;
	int type;                  /* command_type */
	string author<COMMAND_AUTHOR_MAX>;
	unsigned int cell_count;
	bool cells_cut;            /* cells were too long to store */
	opaque cells<262144>;      /* new values, see encode_cells */
	bool undo_whole;           /* undo is the full previous table */
	opaque undo<COMMAND_CSV_MAX>; /* previous values */
	unsigned hyper source_digest; /* of a replacement; else 0 */
};

struct stored_answer {
	string author<COMMAND_AUTHOR_MAX>;
	string key<COMMAND_KEY_MAX>;
	unsigned hyper fingerprint;
	hyper time_ns;
	opaque result<COMMAND_RESULT_MAX>;
};

struct stored_claim_id {
	opaque id[COMMAND_CLAIM_ID_BYTES];
};

struct stored_claim {
	string kind<COMMAND_NAME_MAX>;
	string key<COMMAND_KEY_MAX>;
	opaque claim_id[COMMAND_CLAIM_ID_BYTES];
	string node<COMMAND_AUTHOR_MAX>;
	unsigned hyper incarnation;
	int state;
	hyper expires_ns;
	int http_status;
	opaque answer<COMMAND_ANSWER_MAX>;
	bool answer_whole;
	stored_claim_id retired<COMMAND_RETIRED_MAX>;
};

struct stored_rollout {
	string service<COMMAND_NAME_MAX>;
	string target<COMMAND_NAME_MAX>;
	unsigned hyper number;
	unsigned hyper change;     /* that began the phase */
	int phase;
	unsigned int duration_ms;
	hyper started_ns;          /* log time of the order */
	string reason<COMMAND_TEXT_MAX>;
};

struct stored_leaving {
	string node<COMMAND_AUTHOR_MAX>;
	string instance<COMMAND_AUTHOR_MAX>;
	hyper born_until_ms;
	hyper recorded_ns;         /* log time */
};
