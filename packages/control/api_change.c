/*
 * Requests that change the table or the membership.
 */
#include <stdlib.h>
#include <string.h>

#include "api.h"

#define OUTCOME_UNKNOWN_TEXT                                             \
	"no quorum answered in time; the change may still take effect: " \
	"resend it with the same key"

/* The thread of a request that waits for the outcome of its command. */
struct waiter {
	pthread_mutex_t lock;
	pthread_cond_t wake;
	bool done;
	int status;
	struct buf result;
};

static json_t *load_body(
    const struct api_request *q, struct api_answer *a, struct command *m);
static int load_cells(const json_t *body, struct command_edit *out);
static int keep_account_sheet(struct command_edit *e);
static int load_cell(const json_t *o, struct command_cell *out);
static void send_command(
    struct control *c, const struct command *m, struct api_answer *a);
static void open_waiter(struct waiter *w);
static void close_waiter(struct waiter *w);
static void wait_until_done(struct waiter *w);
static void finish_waiter(void *arg, int status, struct str result);
static void finish_member_change(
    void *arg, int status, uint64_t index, struct str result);
static void answer_result(struct api_answer *a, const struct command_result *r);
static int get_http_status(int status);

/*
 * Edits one cell ({row, column, value}) or several in one version ({cells:
 * [...]}). Column kind adds the named row, or removes it when the value is
 * empty; column account.name does so with accounts.
 */
void
serve_edit(struct control *c, const struct api_request *q, struct api_answer *a)
{
	struct command m = {0};
	json_t *body = load_body(q, a, &m);
	int rc;

	if (body == NULL)
		return;
	m.body.type = COMMAND_EDIT;
	rc = load_cells(body, &m.body.command_body_u.edit);
	if (rc == 0)
		rc = keep_account_sheet(&m.body.command_body_u.edit);
	if (rc != 0)
		answer_error(a, 400, "invalid",
		    "name row, column and value as strings, or a list of them "
		    "as cells; a column must exist",
		    false);
	else
		send_command(c, &m, a);
	free(m.body.command_body_u.edit.cells.cells_val);
	json_decref(body);
}

/*
 * Replaces the whole table by a CSV text: {base, key, csv}.
 */
void
serve_import(
    struct control *c, const struct api_request *q, struct api_answer *a)
{
	struct command m = {0};
	json_t *body = load_body(q, a, &m), *csv;
	size_t len;

	if (body == NULL)
		return;
	csv = json_object_get(body, "csv");
	len = json_string_length(csv);
	m.body.type = COMMAND_IMPORT;
	m.body.command_body_u.import.csv.csv_val =
	    (char *)(uintptr_t)json_string_value(csv);
	m.body.command_body_u.import.csv.csv_len = (unsigned int)len;
	if (!json_is_string(csv))
		answer_error(
		    a, 400, "invalid", "give the table as string csv", false);
	else if (len > COMMAND_CSV_MAX)
		answer_error(a, 413, "limit",
		    "the table exceeds 1 MiB; remove rows", false);
	else
		send_command(c, &m, a);
	json_decref(body);
}

/*
 * Restores the content of an older version as a new version: {base, key,
 * version}.
 */
void
serve_revert(
    struct control *c, const struct api_request *q, struct api_answer *a)
{
	struct command m = {0};
	json_t *body = load_body(q, a, &m), *version;

	if (body == NULL)
		return;
	version = json_object_get(body, "version");
	m.body.type = COMMAND_REVERT;
	m.body.command_body_u.revert.target =
	    (uint64_t)json_integer_value(version);
	if (!json_is_integer(version) || json_integer_value(version) < 0)
		answer_error(a, 400, "invalid",
		    "give the version whose content shall return as a number",
		    false);
	else
		send_command(c, &m, a);
	json_decref(body);
}

/*
 * Validates a CSV table and counts the cells that it would change; changes
 * nothing itself.
 */
void
serve_check(
    struct control *c, const struct api_request *q, struct api_answer *a)
{
	json_t *body = json_loadb(
	    q->body.data != NULL ? q->body.data : "", q->body.len, 0, NULL);
	json_t *csv = json_object_get(body, "csv");
	struct cell_list l = {0};
	struct table *t = NULL;
	struct fault f = {0};
	int rc;

	if (!json_is_string(csv)) {
		answer_error(
		    a, 400, "invalid", "give the table as string csv", false);
		json_decref(body);
		return;
	}
	rc = load_table_csv(
	    make_str_n(json_string_value(csv), json_string_length(csv)), 0, &t,
	    &f);
	if (rc == 0) {
		pthread_mutex_lock(&c->lock);
		rc = diff_tables(c->state->table, t, &l);
		pthread_mutex_unlock(&c->lock);
	}
	if (rc == ERR_MEMORY)
		answer_error(a, 503, "memory", "out of memory", true);
	else if (rc != 0)
		answer_error(a, 400, get_err_name(rc), f.text, false);
	else
		answer_json(a, 200,
		    json_pack("{s:b,s:I,s:I}", "valid", 1, "rows",
			(json_int_t)t->row_count, "changed_cells",
			(json_int_t)l.count));
	unload_cells(&l);
	unload_table(t);
	json_decref(body);
}

/*
 * Changes the group of voters: {action: add|promote|remove, id, address}.
 * Answers 503 when this process is not the leader.
 */
void
serve_members(
    struct control *c, const struct api_request *q, struct api_answer *a)
{
	static const char *const actions[] = {"add", "promote", "remove"};
	json_t *body = json_loadb(
	    q->body.data != NULL ? q->body.data : "", q->body.len, 0, NULL);
	const char *action = json_string_value(json_object_get(body, "action"));
	const char *address =
	    json_string_value(json_object_get(body, "address"));
	json_int_t id = json_integer_value(json_object_get(body, "id"));
	struct raft_change change = {0};
	struct waiter w;
	int type = 0, rc = ERR_UNAVAILABLE;

	while (
	    type < 3 && (action == NULL || strcmp(action, actions[type]) != 0))
		type++;
	change.type = (enum raft_change_type)type;
	change.member.id = (uint64_t)id;
	if (type == 3 || id < 1 || (type == 0 && address == NULL) ||
	    (address != NULL &&
		copy_str(change.member.address, sizeof(change.member.address),
		    make_str(address)) != 0)) {
		answer_error(a, 400, "invalid",
		    "give action (add, promote or remove), id and, to add, "
		    "address",
		    false);
		json_decref(body);
		return;
	}
	open_waiter(&w);
	pthread_rwlock_rdlock(&c->replica_guard);
	if (c->replica != NULL && is_replica_leader(c->replica))
		rc = change_replica_members(c->replica, &change, API_COMMAND_MS,
		    finish_member_change, &w);
	pthread_rwlock_unlock(&c->replica_guard);
	if (rc == 0) {
		wait_until_done(&w);
		rc = w.status;
	}
	close_waiter(&w);
	record_event(c->cfg.events, "member", actions[type], 0,
	    "process %llu by %s: %s", (unsigned long long)id, q->author,
	    get_err_name(rc));
	if (rc == 0)
		answer_json(a, 200, json_pack("{s:b}", "changed", 1));
	else if (rc == ERR_INVALID || rc == ERR_CONFLICT)
		answer_error(a, 409, get_err_name(rc),
		    "the change does not fit the present membership; see "
		    "/v1/status",
		    false);
	else
		answer_error(a, 503, get_err_name(rc),
		    "this process is not the leader or has no quorum; ask the "
		    "leader named by /v1/status",
		    true);
	json_decref(body);
}

/*
 * Parses the body and copies the fields that all changes have, base and key,
 * to the command. Its strings belong to the returned JSON value. Returns NULL
 * after answering with an error.
 */
static json_t *
load_body(const struct api_request *q, struct api_answer *a, struct command *m)
{
	json_t *body = json_loadb(
	    q->body.data != NULL ? q->body.data : "", q->body.len, 0, NULL);
	json_t *base = json_object_get(body, "base");
	json_t *key = json_object_get(body, "key");
	size_t len = json_string_length(key);

	m->author = (char *)(uintptr_t)q->author;
	m->key = (char *)(uintptr_t)json_string_value(key);
	m->base = (uint64_t)json_integer_value(base);
	if (json_is_integer(base) && json_integer_value(base) >= 0 && len > 0 &&
	    len <= COMMAND_KEY_MAX)
		return body;
	answer_error(a, 400, "invalid",
	    "send a JSON object with base (the version that you edit) and key "
	    "(1 to 128 bytes, new for each change, the same on a resend)",
	    false);
	json_decref(body);
	return NULL;
}

/*
 * Fills in the cells of an edit, in an array with room for one more. Their
 * strings belong to body; the caller frees the array, also on an error.
 */
static int
load_cells(const json_t *body, struct command_edit *out)
{
	json_t *list = json_object_get(body, "cells");
	size_t n = json_is_array(list) ? json_array_size(list) : 1;
	int rc = 0;

	if (n == 0 || n > COMMAND_CELLS_MAX)
		return ERR_INVALID;
	out->cells.cells_val = calloc(n + 1, sizeof(*out->cells.cells_val));
	if (out->cells.cells_val == NULL)
		return ERR_MEMORY;
	out->cells.cells_len = (unsigned int)n;
	for (size_t i = 0; i < n && rc == 0; i++)
		rc = load_cell(
		    json_is_array(list) ? json_array_get(list, i) : body,
		    &out->cells.cells_val[i]);
	return rc;
}

/*
 * Adds to an edit that removes an account that the sheet of accounts stays: who
 * takes the last account away does not open all rows by that. An edit that says
 * itself what becomes of the sheet is left as it is. The list has room for a
 * cell; ERR_INVALID if a command has not.
 */
static int
keep_account_sheet(struct command_edit *e)
{
	unsigned int n = e->cells.cells_len;
	bool removes = false;

	for (unsigned int i = 0; i < n; i++) {
		const struct command_cell *c = &e->cells.cells_val[i];

		if (c->column != ACCOUNT_NAME)
			continue;
		if (c->row[0] == '\0')
			return 0;
		removes = removes || c->value[0] == '\0';
	}
	if (!removes)
		return 0;
	if (n == COMMAND_CELLS_MAX)
		return ERR_INVALID;
	e->cells.cells_val[n] = (struct command_cell){
	    (char *)(uintptr_t) "", ACCOUNT_NAME, (char *)(uintptr_t) "yes"};
	e->cells.cells_len = n + 1;
	return 0;
}

static int
load_cell(const json_t *o, struct command_cell *out)
{
	const char *row = json_string_value(json_object_get(o, "row"));
	const char *column = json_string_value(json_object_get(o, "column"));
	const char *value = json_string_value(json_object_get(o, "value"));

	if (row == NULL || column == NULL || value == NULL ||
	    strlen(row) > COMMAND_NAME_MAX || strlen(value) > COMMAND_CELL_MAX)
		return ERR_INVALID;
	out->row = (char *)(uintptr_t)row;
	out->value = (char *)(uintptr_t)value;
	out->column = find_column(make_str(column));
	return out->column < 0 ? ERR_INVALID : 0;
}

/*
 * Submits a change and answers with its result; 503 when the outcome is
 * unknown.
 */
static void
send_command(struct control *c, const struct command *m, struct api_answer *a)
{
	struct buf bytes = {0}, result = {0};
	struct command_result r;
	int rc = encode_command(m, &bytes);

	if (rc == 0)
		rc = wait_command(c, view_buf(&bytes), API_COMMAND_MS, &result);
	if (rc == 0)
		rc = decode_command_result(view_buf(&result), &r);
	if (rc == 0) {
		answer_result(a, &r);
		unload_command_result(&r);
	} else if (rc == ERR_LIMIT) {
		answer_error(
		    a, 413, "limit", "the change is too long; split it", false);
	} else {
		answer_error(a, 503, "unavailable", OUTCOME_UNKNOWN_TEXT, true);
	}
	unload_buf(&bytes);
	unload_buf(&result);
}

int
wait_command(
    struct control *c, struct str bytes, int timeout_ms, struct buf *out)
{
	struct waiter w;
	int rc;

	open_waiter(&w);
	rc = submit_command(c, bytes, timeout_ms, finish_waiter, &w);
	if (rc == 0) {
		wait_until_done(&w);
		rc = w.status;
	}
	*out = w.result;
	close_waiter(&w);
	return rc;
}

static void
open_waiter(struct waiter *w)
{
	memset(w, 0, sizeof(*w));
	pthread_mutex_init(&w->lock, NULL);
	pthread_cond_init(&w->wake, NULL);
}

static void
close_waiter(struct waiter *w)
{
	pthread_mutex_destroy(&w->lock);
	pthread_cond_destroy(&w->wake);
}

static void
wait_until_done(struct waiter *w)
{
	pthread_mutex_lock(&w->lock);
	while (!w->done)
		pthread_cond_wait(&w->wake, &w->lock);
	pthread_mutex_unlock(&w->lock);
}

static void
finish_waiter(void *arg, int status, struct str result)
{
	struct waiter *w = arg;

	pthread_mutex_lock(&w->lock);
	w->status = status;
	if (append_buf_str(&w->result, result) != 0)
		w->status = ERR_UNKNOWN;
	w->done = true;
	pthread_cond_signal(&w->wake);
	pthread_mutex_unlock(&w->lock);
}

static void
finish_member_change(void *arg, int status, uint64_t index, struct str result)
{
	(void)index;
	(void)result;
	finish_waiter(arg, status, make_str(""));
}

/*
 * Answers with the result of an applied command. A conflict names the edit that
 * won: its cell, author and version.
 */
static void
answer_result(struct api_answer *a, const struct command_result *r)
{
	json_t *o;

	if (r->status == 0) {
		answer_json(a, 200,
		    json_pack("{s:I,s:b}", "version",
			(json_int_t)r->table_version, "unchanged",
			(int)r->unchanged));
		return;
	}
	o = json_pack("{s:s,s:s,s:b,s:I}", "error", get_err_name(r->status),
	    "text", r->text, "retriable", 0, "version",
	    (json_int_t)r->table_version);
	if (r->status == ERR_CONFLICT)
		json_object_set_new(o, "winner",
		    json_pack("{s:s,s:s,s:s,s:s,s:I}", "row", r->winner.row,
			"column",
			get_column_name((enum column)r->winner.column), "value",
			r->winner.value, "author", r->winner_author, "version",
			(json_int_t)r->winner_version));
	answer_json(a, get_http_status(r->status), o);
}

/*
 * A row or version that does not exist is an error in the content of the
 * request (422), not in its path (404).
 */
static int
get_http_status(int status)
{
	if (status == ERR_CONFLICT || status == ERR_STALE)
		return 409;
	return status == ERR_NOT_FOUND ? 422 : 400;
}
