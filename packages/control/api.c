/*
 * Routes of the operators' API, and the handlers of its GET requests.
 */
#include <stdlib.h>
#include <string.h>

#include "api.h"

struct route {
	const char *method;
	const char *path;
	api_fn serve;
};

static void serve_table(
    struct control *c, const struct api_request *q, struct api_answer *a);
static void serve_history(
    struct control *c, const struct api_request *q, struct api_answer *a);
static void serve_diff(
    struct control *c, const struct api_request *q, struct api_answer *a);
static void serve_status(
    struct control *c, const struct api_request *q, struct api_answer *a);
static void serve_endpoints(
    struct control *c, const struct api_request *q, struct api_answer *a);
static void serve_timeline(
    struct control *c, const struct api_request *q, struct api_answer *a);
static void serve_metrics(
    struct control *c, const struct api_request *q, struct api_answer *a);
static json_t *make_table_json(const struct table *t);
static json_t *make_accounts_json(const struct table *t);
static json_t *make_version_json(const struct stored_version *v);
static int get_version_argument(
    const struct api_request *q, const char *name, uint64_t *out);

static const struct route routes[] = {
    {"GET", "/v1/table", serve_table},
    {"GET", "/v1/history", serve_history},
    {"GET", "/v1/diff", serve_diff},
    {"POST", "/v1/edit", serve_edit},
    {"POST", "/v1/import", serve_import},
    {"POST", "/v1/revert", serve_revert},
    {"POST", "/v1/check", serve_check},
    {"POST", "/v1/members", serve_members},
    {"POST", "/v1/rollouts", serve_rollout_start},
    {"GET", "/v1/rollouts", serve_rollout_status},
    {"GET", "/v1/status", serve_status},
    {"GET", "/v1/endpoints", serve_endpoints},
    {"GET", "/v1/timeline", serve_timeline},
    {"GET", "/metrics", serve_metrics},
};

/*
 * Serves a request; answers 404 for an unknown path and 405 for a method that
 * the path does not accept.
 */
void
serve_api(struct control *c, const struct api_request *q, struct api_answer *a)
{
	bool known = false;

	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (strcmp(q->path, routes[i].path) != 0)
			continue;
		known = true;
		if (strcmp(q->method, routes[i].method) != 0)
			continue;
		routes[i].serve(c, q, a);
		return;
	}
	if (known)
		answer_error(a, 405, "method",
		    "this path does not accept the method", false);
	else
		answer_error(
		    a, 404, "not-found", "there is no such path", false);
}

/*
 * Writes a JSON answer and frees o; NULL is answered as out of memory (503).
 */
void
answer_json(struct api_answer *a, int status, json_t *o)
{
	char *text = o != NULL ? json_dumps(o, JSON_COMPACT) : NULL;

	json_decref(o);
	a->type = "application/json";
	a->body.len = 0;
	if (text == NULL || append_buf_fmt(&a->body, "%s\n", text) != 0) {
		a->status = 503;
		(void)append_buf_fmt(
		    &a->body, "{\"error\":\"memory\",\"retriable\":true}\n");
	} else {
		a->status = status;
	}
	free(text);
}

void
answer_error(struct api_answer *a, int status, const char *error,
    const char *text, bool retriable)
{
	answer_json(a, status,
	    json_pack("{s:s,s:s,s:b}", "error", error, "text", text,
		"retriable", retriable));
}

json_t *
make_cells_json(struct str cells)
{
	json_t *list = json_array();
	struct cell_list l = {0};

	if (decode_cells(cells, &l, NULL) != 0)
		return list;
	for (size_t i = 0; i < l.count; i++)
		json_array_append_new(
		    list, json_pack("{s:s,s:s,s:s}", "row", l.cells[i].row,
			      "column", get_column_name(l.cells[i].column),
			      "value", l.cells[i].value));
	unload_cells(&l);
	return list;
}

/*
 * Answers with the table in force after a confirmed read. With
 * consistency=local it answers with the local table at once, and "stale" tells
 * whether the process has lost contact to the quorum.
 */
static void
serve_table(
    struct control *c, const struct api_request *q, struct api_answer *a)
{
	const char *consistency = q->get_argument(q->arg, "consistency");
	const char *format = q->get_argument(q->arg, "format");
	bool local = consistency != NULL && strcmp(consistency, "local") == 0;
	bool csv = format != NULL && strcmp(format, "csv") == 0;
	json_t *o = NULL;
	int rc = 0;

	if (!local)
		rc = lock_confirmed_state(c, SERVICE_READ_TIMEOUT_MS);
	else
		pthread_mutex_lock(&c->lock);
	if (rc != 0) {
		answer_json(a, 503,
		    json_pack("{s:s,s:s,s:b,s:b,s:I}", "error", "stale", "text",
			"this control process is cut off from the quorum; ask "
			"another one, or read what it holds with "
			"consistency=local",
			"retriable", 1, "stale", 1, "version",
			(json_int_t)get_control_version(c)));
		return;
	}
	if (csv) {
		rc = render_table_csv(c->state->table, &a->body);
	} else {
		o = make_table_json(c->state->table);
		json_object_set_new(
		    o, "stale", json_boolean(local && is_control_stale(c)));
	}
	pthread_mutex_unlock(&c->lock);
	if (!csv) {
		answer_json(a, 200, o);
		return;
	}
	a->status = rc == 0 ? 200 : 503;
	a->type = "text/csv";
}

/*
 * Answers with the accepted versions, newest first. A relay answers 503, since
 * it pulls tables without their authors.
 */
static void
serve_history(
    struct control *c, const struct api_request *q, struct api_answer *a)
{
	json_t *o, *list;

	(void)q;
	if (is_relay(c)) {
		answer_error(a, 503, "relay",
		    "a relay keeps no authors; ask a voter", true);
		return;
	}
	list = json_array();
	pthread_mutex_lock(&c->lock);
	for (size_t i = c->state->history.count; i > 0; i--)
		json_array_append_new(list,
		    make_version_json(get_version(&c->state->history, i - 1)));
	o = json_pack("{s:I,s:b,s:o}", "version",
	    (json_int_t)c->state->table->version, "stale", is_control_stale(c),
	    "versions", list);
	pthread_mutex_unlock(&c->lock);
	answer_json(a, 200, o);
}

/*
 * Answers with the cells that differ between two versions; 404 for a version
 * that is no longer in the history.
 */
static void
serve_diff(struct control *c, const struct api_request *q, struct api_answer *a)
{
	struct table *t[2] = {NULL, NULL};
	struct cell_list l = {0};
	struct buf cells = {0};
	struct fault f = {0};
	uint64_t v[2];
	int rc = 0;

	if (get_version_argument(q, "from", &v[0]) != 0 ||
	    get_version_argument(q, "to", &v[1]) != 0) {
		answer_error(a, 400, "invalid",
		    "give two versions: /v1/diff?from=1&to=2", false);
		return;
	}
	pthread_mutex_lock(&c->lock);
	for (int i = 0; i < 2 && rc == 0; i++)
		rc = rebuild_table(
		    &c->state->history, c->state->table, v[i], &t[i], &f);
	pthread_mutex_unlock(&c->lock);
	if (rc == 0)
		rc = diff_tables(t[0], t[1], &l);
	if (rc == 0)
		rc = encode_cells(&l, &cells);
	if (rc != 0)
		answer_error(a, rc == ERR_NOT_FOUND ? 404 : 503,
		    get_err_name(rc), f.text, rc != ERR_NOT_FOUND);
	else
		answer_json(a, 200,
		    json_pack("{s:I,s:I,s:o}", "from", (json_int_t)v[0], "to",
			(json_int_t)v[1], "cells",
			make_cells_json(view_buf(&cells))));
	unload_cells(&l);
	unload_buf(&cells);
	unload_table(t[0]);
	unload_table(t[1]);
}

static void
serve_status(
    struct control *c, const struct api_request *q, struct api_answer *a)
{
	(void)q;
	answer_json(a, 200, make_status_json(c));
}

static void
serve_endpoints(
    struct control *c, const struct api_request *q, struct api_answer *a)
{
	(void)q;
	answer_json(a, 200, make_endpoints_json(c));
}

static void
serve_timeline(
    struct control *c, const struct api_request *q, struct api_answer *a)
{
	(void)q;
	a->status = 200;
	a->type = "application/x-ndjson";
	if (c->cfg.events != NULL &&
	    render_events(c->cfg.events, &a->body) != 0)
		answer_error(a, 503, "memory", "out of memory", true);
}

static void
serve_metrics(
    struct control *c, const struct api_request *q, struct api_answer *a)
{
	(void)q;
	refresh_control_metrics(c);
	a->status = 200;
	a->type = "text/plain; version=0.0.4";
	if (render_metrics(&a->body) != 0)
		answer_error(a, 503, "memory", "out of memory", true);
}

static json_t *
make_table_json(const struct table *t)
{
	json_t *rows = json_array(), *o;
	char digest[20], cell[TABLE_CELL_BYTES];

	for (size_t i = 0; i < t->row_count; i++) {
		json_t *row = json_object();

		for (int k = 0; k < COLUMN_COUNT; k++) {
			if (k == COL_KEY && !has_accounts(t))
				continue;
			(void)render_cell(
			    t->rows[i], (enum column)k, cell, sizeof(cell));
			json_object_set_new(row,
			    get_column_name((enum column)k), json_string(cell));
		}
		json_array_append_new(rows, row);
	}
	snprintf(
	    digest, sizeof(digest), "%016llx", (unsigned long long)t->digest);
	o = json_pack("{s:I,s:s,s:o}", "version", (json_int_t)t->version,
	    "digest", digest, "rows", rows);
	if (has_accounts(t))
		json_object_set_new(o, "accounts", make_accounts_json(t));
	return o;
}

/*
 * Returns the accounts by column; keys are their fingerprints.
 */
static json_t *
make_accounts_json(const struct table *t)
{
	char cell[TABLE_CELL_BYTES];
	json_t *list = json_array();

	for (size_t i = 0; i < t->account_count; i++) {
		json_t *o = json_object();

		for (int k = ACCOUNT_NAME; k < ACCOUNT_COLUMN_END; k++) {
			(void)render_account_cell(
			    t->accounts[i], (enum column)k, cell, sizeof(cell));
			json_object_set_new(o, get_column_name((enum column)k),
			    json_string(cell));
		}
		json_array_append_new(list, o);
	}
	return list;
}

static json_t *
make_version_json(const struct stored_version *v)
{
	static const char *const types[] = {"", "edit", "import", "revert"};

	return json_pack("{s:I,s:I,s:s,s:I,s:s,s:i,s:b,s:o}", "version",
	    (json_int_t)v->number, "time_ns", (json_int_t)v->time_ns, "author",
	    v->author, "base", (json_int_t)v->base, "type",
	    v->type >= 0 && v->type <= COMMAND_REVERT ? types[v->type] : "",
	    "cell_count", (int)v->cell_count, "cells_cut", (int)v->cells_cut,
	    "cells",
	    make_cells_json(
		make_str_n(v->cells.cells_val, v->cells.cells_len)));
}

static int
get_version_argument(
    const struct api_request *q, const char *name, uint64_t *out)
{
	const char *text = q->get_argument(q->arg, name);
	int64_t v = 0;

	if (text == NULL || parse_i64(make_str(text), 0, INT64_MAX, &v) != 0)
		return ERR_INVALID;
	*out = (uint64_t)v;
	return 0;
}
