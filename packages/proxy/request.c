/*
 * Reads a request's headers: the call's row, its limits and the headers that
 * are forwarded.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <ck_pr.h>

#include "call.h"
#include "log.h"

#define CALL_PATH "/call/"

static void read_kind(struct call *c);
static void read_call_id(struct call *c);
static int read_number(struct call *c, const char *name, int lo, int absent);
static enum MHD_Result copy_header(
    void *cls, enum MHD_ValueKind kind, const char *name, const char *value);
static void check_request(struct call *c);
static void refuse_accounts(struct call *c);
static void check_body(struct call *c);
static void check_key(struct call *c);
static const char *get_header(const struct call *c, const char *name);

/*
 * Reads the headers and either sets the row and its limits or refuses the
 * call. References the current table until the call is closed. Runs on a
 * listener thread.
 */
void
read_request(struct call *c)
{
	struct proxy *p = c->proxy;
	const char *hop_header = get_header(c, "X-Ggs-Hop");

	c->arrived = read_mono(&p->cfg.clock);
	c->deadline = INT64_MAX;
	c->hop = hop_header != NULL && strcmp(hop_header, "serve") == 0;
	c->depth = read_number(c, "X-Ggs-Depth", 0, 0) + !c->hop;
	c->chain_budget_header =
	    read_number(c, "X-Ggs-Retry-Budget", 0, RETRY_BUDGET_ABSENT);
	c->answer.chain_budget = RETRY_BUDGET_ABSENT;
	read_call_id(c);
	read_kind(c);
	MHD_get_connection_values(c->conn, MHD_HEADER_KIND, copy_header, c);
	c->table = acquire_table(p->cfg.agent);
	check_request(c);
}

/*
 * Counts a call whose answer is sent or whose connection has closed. Calls from
 * other nodes only count as refusals here; serve.c counts their attempts.
 */
void
count_end(struct call *c)
{
	if (c->stats == NULL)
		c->stats = find_row_state("unknown");
	if (!c->hop)
		count_row(c->stats, ROW_CALLS + (int)c->outcome, 1);
	if (c->outcome == OUTCOME_NOT_RUN)
		count_row(c->stats, ROW_REFUSED + (int)c->answer.reason, 1);
}

/*
 * Reads the kind from X-Ggs-Kind, or else from a path /call/<kind>/...
 */
static void
read_kind(struct call *c)
{
	const char *kind = get_header(c, "X-Ggs-Kind");
	const char *from;

	if (kind != NULL) {
		(void)copy_str(c->kind, sizeof(c->kind), make_str(kind));
		return;
	}
	if (strncmp(c->target, CALL_PATH, strlen(CALL_PATH)) != 0)
		return;
	from = c->target + strlen(CALL_PATH);
	(void)copy_str(
	    c->kind, sizeof(c->kind), make_str_n(from, strcspn(from, "/?")));
}

/*
 * Uses the caller's call id when it is a plain token and generates one
 * otherwise.
 */
static void
read_call_id(struct call *c)
{
	const char *id = get_header(c, "X-Ggs-Call-Id");
	struct proxy *p = c->proxy;
	uint64_t n;

	if (id != NULL && id[0] != '\0' &&
	    strspn(id, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		       "0123456789._:-") == strlen(id) &&
	    copy_str(c->id, sizeof(c->id), make_str(id)) == 0)
		return;
	n = ck_pr_faa_64(&p->id_count, 1);
	snprintf(c->id, sizeof(c->id), "%016llx-%llu",
	    (unsigned long long)p->id_seed, (unsigned long long)n);
}

/*
 * Returns a header's number, or absent when the header is missing or is no
 * number from lo to INT32_MAX.
 */
static int
read_number(struct call *c, const char *name, int lo, int absent)
{
	const char *text = get_header(c, name);
	int64_t n;

	if (text == NULL || parse_i64(make_str(text), lo, INT32_MAX, &n) != 0)
		return absent;
	return (int)n;
}

/*
 * Copies an end-to-end header to the call's head in the form of curl's header
 * lists, where "Name;" means a header without a value.
 */
static enum MHD_Result
copy_header(
    void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
	struct call *c = cls;

	(void)kind;
	if (is_hop_header(make_str(name)) ||
	    strcasecmp(name, "Idempotency-Key") == 0)
		return MHD_YES;
	if (value == NULL || value[0] == '\0')
		(void)append_buf_fmt(&c->head, "%s;", name);
	else
		(void)append_buf_fmt(&c->head, "%s: %s", name, value);
	return append_buf(&c->head, "", 1) == 0 ? MHD_YES : MHD_NO;
}

/*
 * Finds the row and sets the deadline and the chain budget, or refuses a call
 * that this node cannot accept.
 */
static void
check_request(struct call *c)
{
	struct proxy *p = c->proxy;
	int header_ms = read_number(c, "X-Ggs-Deadline-Ms", 0, DEADLINE_ABSENT);

	if (c->table != NULL)
		c->row = find_row(c->table, make_str(c->kind));
	if (c->row != NULL)
		c->stats = find_row_state(c->kind);
	if (ck_pr_load_8((uint8_t *)&p->draining)) {
		refuse_early(c, 503, REFUSE_DRAINING, NULL);
	} else if (c->table == NULL) {
		refuse_early(c, 503, REFUSE_NO_TABLE, NULL);
	} else if (has_accounts(c->table)) {
		refuse_accounts(c);
	} else if (c->row == NULL) {
		refuse_early(c, 404, REFUSE_UNKNOWN_KIND, NULL);
	} else if (c->depth > CALL_DEPTH_MAX) {
		refuse_early(c, 503, REFUSE_NONE, "depth");
	} else {
		c->deadline = start_deadline(
		    c->arrived, header_ms, c->row->values[COL_DEADLINE_MS]);
		c->chain_budget =
		    start_chain_budget(c->row, c->chain_budget_header);
		check_key(c);
		if (!c->refused)
			check_body(c);
	}
}

/*
 * This data path does not read keys, so it refuses every call of a table with
 * accounts. One log line a table version tells the operator.
 */
static void
refuse_accounts(struct call *c)
{
	uint64_t version = c->table->version;

	if (ck_pr_fas_64(&c->proxy->accounts_version, version) != version)
		write_log(LOG_LEVEL_ERR,
		    "table version %llu has accounts, which --role=node does "
		    "not enforce: all calls are refused; remove the accounts "
		    "or use the platform role",
		    (unsigned long long)version);
	refuse_early(c, 503, REFUSE_NONE, "accounts");
}

/*
 * Sets how many body bytes are accepted: the declared length, or the smaller
 * of the row's limit and the memory budget when no length is declared. A body
 * within the row's limit that exceeds this node's memory budget is refused as
 * not run, because another node may have more memory.
 */
static void
check_body(struct call *c)
{
	int64_t limit = (int64_t)c->row->values[COL_BODY_MAX_KB] * 1024;
	int64_t size = get_budget_size(c->proxy->budget);
	const char *text = get_header(c, "Content-Length");
	int64_t n = 0;

	check_body_memory(c->proxy, c->table);
	if (text == NULL) {
		c->body_cap = (size_t)(limit < size ? limit : size);
	} else if (parse_i64(make_str(text), 0, INT64_MAX, &n) != 0 ||
		   n > limit) {
		refuse_early(c, 413, REFUSE_NONE, "body-limit");
	} else if (n > size) {
		refuse_early(c, 503, REFUSE_BODY_MEMORY, NULL);
	} else {
		c->body_cap = (size_t)n;
	}
}

/*
 * Reads the Idempotency-Key. A row that must not be repeated requires one.
 */
static void
check_key(struct call *c)
{
	const char *key = get_header(c, "Idempotency-Key");

	if (key != NULL && copy_str(c->key, sizeof(c->key), make_str(key)) != 0)
		refuse_early(c, 400, REFUSE_NONE, "key-too-long");
	else if (!c->row->repeatable && c->key[0] == '\0')
		refuse_early(c, 400, REFUSE_NONE, "no-idempotency-key");
}

static const char *
get_header(const struct call *c, const char *name)
{
	return MHD_lookup_connection_value(c->conn, MHD_HEADER_KIND, name);
}
