/*
 * The operators' table: one row for each kind of work, and a second sheet with
 * one entry for each client account. Columns, CSV form, validation, edits, diffs
 * and the digest that control processes and nodes compare.
 */
#ifndef TABLE_H
#define TABLE_H

#include "base.h"

#define TABLE_MAX_ROWS 8192
#define TABLE_NAME_BYTES 33 /* a kind or service name, with NUL */
#define TABLE_CELL_BYTES 512 /* a cell's text, with NUL */
#define TABLE_MAX_CSV (1024 * 1024) /* bytes of a table as CSV */
#define TABLE_SPLIT_MAX 16 /* services in one COL_SPLIT cell */
#define TABLE_FLOOR_SUM_PCT 90 /* largest sum of a service's floors */
#define TABLE_MAX_ACCOUNTS 8192
#define TABLE_ACCOUNT_KEYS_MAX 15 /* their fingerprints fit into one cell */
#define TABLE_KEY_BYTES_MAX 256 /* longest key of an account */
#define ACCOUNT_COLUMN_PREFIX "account." /* of the names of its columns */
#define KEY_PRINT_BYTES 16 /* a keyed 128-bit hash; not reversible */
#define KEY_PRINT_TEXT_BYTES 33 /* in hexadecimal, with NUL */

/* Columns in file order. */
enum column {
	COL_KIND,
	COL_SERVICE,
	COL_RANK, /* urgency: 1 (highest) .. 9 */
	COL_WEIGHT, /* value of one call, 1..1000 */
	COL_FLOOR_PCT, /* guaranteed share of the slots */
	COL_LIMIT_PCT, /* at most this share of the slots */
	COL_TARGET_MS, /* target latency */
	COL_DEADLINE_MS, /* default and longest deadline; >= target_ms */
	COL_QUEUE_MAX, /* queued calls per backend server */
	COL_RETRIES, /* attempts after the first */
	COL_RETRY_PCT, /* retry budget, % of calls */
	COL_HEDGE_MS, /* delay of the second attempt; 0: no hedging */
	COL_REPEAT, /* yes: idempotent calls; no: at most once */
	COL_KEEP_S, /* retention of at-most-once records */
	COL_BODY_MAX_KB, /* longest request body */
	COL_DRAIN_S, /* longest wait for calls in flight when draining */
	COL_HOST, /* host of calls that name no kind; empty: none */
	COL_PATH, /* path prefix, with "/" at both ends */
	COL_SPLIT, /* "service:share ...", overrides service; or empty */
	COL_HEALTH_PATH, /* health endpoint of the backend servers */
	COL_CONNECTIONS, /* most connections to one backend server */
	COL_HEAD_MAX_KB, /* longest request head */
	COL_HEAD_MS, /* time limit for receiving a request head */
	COL_IDLE_MS, /* idle time-out of callers' connections */
	COL_KEY, /* yes: calls need a key if the table has accounts */
	COL_HEDGE_PCT, /* most hedged sends, % of calls; -1: the settings' */
	COLUMN_COUNT,
	/*
	 * Of the sheet of accounts. Column numbers are stored in commands, so
	 * they leave room for further columns of rows.
	 */
	ACCOUNT_NAME = 64,
	ACCOUNT_KEYS, /* fingerprints in hexadecimal, separated by spaces */
	ACCOUNT_RANK, /* replaces the rank of the row; 0: the row's */
	ACCOUNT_RATE, /* calls per second over all nodes; 0: no limit */
	ACCOUNT_BURST, /* calls above the rate */
	ACCOUNT_COLUMN_END
};

#define TABLE_TEXT_COUNT 4 /* COL_HOST .. COL_HEALTH_PATH */

/* An immutable row; tables share equal rows by reference. */
struct row {
	char kind[TABLE_NAME_BYTES];
	char service[TABLE_NAME_BYTES];
	bool repeatable; /* COL_REPEAT */
	int32_t values[COLUMN_COUNT]; /* numeric columns, by enum column */
	const char *texts[TABLE_TEXT_COUNT]; /* by column - COL_HOST */
	uint64_t digest; /* xxh3 of the canonical CSV line */
	int refs; /* reference count, atomic */
};

/* Fingerprint of an account's key. */
struct key_print {
	unsigned char bytes[KEY_PRINT_BYTES];
};

/* An immutable client account; tables share equal ones by reference. */
struct account {
	char name[TABLE_NAME_BYTES];
	int rank; /* 1..9, replaces the row's; 0: the row's */
	double rate_per_s; /* over all nodes; 0: no limit */
	double burst; /* calls above the rate */
	uint64_t digest; /* xxh3 of the canonical CSV line */
	int refs; /* reference count, atomic */
	int key_count;
	struct key_print keys[]; /* key_count of them, sorted */
};

/* One service of a COL_SPLIT cell. */
struct split_part {
	char service[TABLE_NAME_BYTES];
	int share; /* weight relative to the other services */
};

/*
 * An edit of one cell. In column kind, the row's own name adds the row and an
 * empty value removes it; likewise in column account.name. The column says
 * whether row names a row or an account. With an empty row, column account.name
 * is the sheet itself: "yes" keeps it when no account is left, so that keys are
 * needed all the same; an empty value removes it, when no account is left.
 */
struct cell_edit {
	char row[TABLE_NAME_BYTES];
	enum column column;
	char *value; /* owned by the list */
};

/* A list of edits, in the order in which they apply. */
struct cell_list {
	struct cell_edit *cells;
	size_t count;
	size_t cap;
};

/* An immutable, validated table. Rows are sorted by kind. */
struct table {
	uint64_t version;
	uint64_t digest; /* sum of the rows' and accounts' digests */
	size_t row_count;
	bool accounts_listed; /* the sheet of accounts exists, perhaps empty */
	size_t account_count;
	const struct account **accounts; /* sorted by name; NULL: none */
	double mean_rate_per_s; /* of the accounts with a rate; 0: none has */
	size_t key_capacity; /* length of key_slots, a power of two */
	uint32_t *key_slots; /* hash table by fingerprint: account + 1, or 0 */
	size_t route_capacity; /* length of routes, a power of two */
	uint32_t *routes; /* hash table by host and path: row + 1, or 0 */
	const struct row *rows[];
};

/* Loading and unloading */
int load_table_csv(struct str csv, uint64_t version, struct table **out,
    struct fault *f); /* validates all cells and rules */
struct table *make_empty_table(void); /* version 0, no rows */
void unload_table(struct table *t);

/* Queries */
const struct row *find_row(const struct table *t, struct str kind);
int render_table_csv(const struct table *t, struct buf *out); /* canonical */
/* A lower bound of its length in bytes, without rendering it. */
size_t get_csv_length_min(const struct table *t);
int render_cell(const struct row *r, enum column c, char *out, size_t size);
int find_column(struct str name); /* ERR_NOT_FOUND */
const char *get_column_name(enum column c);
bool is_account_column(enum column c);
bool has_service(const struct table *t, struct str service);
/* The row of that host with the longest prefix of path, or NULL. */
const struct row *find_route(
    const struct table *t, struct str host, struct str path);
const char *get_row_text(const struct row *r, enum column c); /* text columns */
int parse_split(const struct row *r, struct split_part *out); /* count */

/* Queries of accounts */
bool has_accounts(const struct table *t); /* their sheet, perhaps empty */
const struct account *find_account(const struct table *t, struct str name);
/* The account that holds the key, or NULL. The key is compared by its hash. */
const struct account *find_key_account(const struct table *t, struct str key);
/* Weight among accounts: the rate, or the mean rate of the others without one. */
int get_account_share(const struct table *t, const struct account *a);
bool needs_key(const struct table *t, const struct row *r); /* to be called */
int render_account_cell(
    const struct account *a, enum column c, char *out, size_t size);
int check_account_key(struct str key, struct fault *f); /* never shows it */
struct key_print make_key_print(struct str key);
void format_key_print(const struct key_print *p, char *out); /* hexadecimal */

/* Edits and diffs; apply_cells() makes a new table of the given version */
int apply_cells(const struct table *base, const struct cell_list *cells,
    uint64_t version, struct table **out, struct fault *f);
int diff_tables(const struct table *from, const struct table *to,
    struct cell_list *out); /* edits that turn from into to */
int append_cell(struct cell_list *l, struct str row, enum column c,
    struct str value); /* ERR_LIMIT: text too long */
int append_row_cells(
    struct cell_list *l, const struct row *r); /* edits that add r */
void unload_cells(struct cell_list *l);

/* Building row by row; cells that are not set have their default value */
struct table_builder;
int open_table_builder(struct table_builder **out);
void close_table_builder(struct table_builder *b);
int start_table_row(struct table_builder *b, struct str kind, struct fault *f);
int set_row_cell(struct table_builder *b, enum column c, struct str value,
    struct fault *f); /* of the row started last */
int set_row_number(
    struct table_builder *b, enum column c, int64_t value, struct fault *f);
/* The sheet of accounts exists, even if none follows. */
void list_table_accounts(struct table_builder *b);
/* An account; start_table_account() finishes the previous one */
int start_table_account(
    struct table_builder *b, struct str name, struct fault *f);
int set_account_cell(struct table_builder *b, enum column c, struct str value,
    struct fault *f); /* of the account started last */
int add_account_key(struct table_builder *b, struct str key, struct fault *f);
int build_table(struct table_builder *b, uint64_t version, struct table **out,
    struct fault *f); /* empties the builder */

/* Codec of a cell list: "row,column,value" CSV lines */
int encode_cells(const struct cell_list *l, struct buf *out);
int decode_cells(struct str text, struct cell_list *out, struct fault *f);

#endif
