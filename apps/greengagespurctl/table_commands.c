/*
 * The commands "table ...": show, export, edit and check the table.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "ctl.h"

#define KEY_BYTES 33 /* hexadecimal idempotency key, with NUL */
#define PATH_BYTES 256
#define FILE_MAX_BYTES (512 * 1024)
#define RESENDS_MAX 3 /* of a change, with the same key */

static int run_show(struct ctl *c, char **args, int count);
static int run_export(struct ctl *c, char **args, int count);
static int run_import(struct ctl *c, char **args, int count);
static int run_set(struct ctl *c, char **args, int count);
static int run_check(struct ctl *c, char **args, int count);
static int run_history(struct ctl *c, char **args, int count);
static int run_diff(struct ctl *c, char **args, int count);
static int run_revert(struct ctl *c, char **args, int count);
static int add_base(struct ctl *c, json_t *body);
static void add_key(struct ctl *c, json_t *body);
static int read_file(const char *path, struct buf *out);

static const struct command commands[] = {
    {"show", "", "Print the table in force", 0, 0, run_show},
    {"export", "[FILE]", "Write the table as CSV", 0, 1, run_export},
    {"import", "FILE", "Replace the whole table by a CSV file", 1, 1,
	run_import},
    {"set", "ROW COLUMN VALUE", "Edit one cell", 3, 3, run_set},
    {"check", "FILE", "Check a CSV file without changing anything", 1, 1,
	run_check},
    {"history", "", "List the accepted versions", 0, 0, run_history},
    {"diff", "FROM TO", "Show the cells that changed between versions", 2, 2,
	run_diff},
    {"revert", "VERSION", "Make an old version's content the newest", 1, 1,
	run_revert},
    {0},
};

const struct command *
get_table_commands(void)
{
	return commands;
}

static int
run_show(struct ctl *c, char **args, int count)
{
	(void)args;
	(void)count;
	return fetch_and_print(c, "/v1/table?format=json");
}

/*
 * Writes to args[0], or to standard output.
 */
static int
run_export(struct ctl *c, char **args, int count)
{
	struct answer a = {0};
	FILE *to = stdout;
	int status;

	(void)request_control(c, "GET", "/v1/table?format=csv", NULL, &a);
	status = get_exit_status(a.status);
	if (status != CTL_OK) {
		status = print_answer(c, &a);
	} else {
		if (count > 0)
			to = fopen(args[0], "w");
		if (to == NULL ||
		    fwrite(a.body.data, 1, a.body.len, to) != a.body.len ||
		    fflush(to) != 0) {
			perror(count > 0 ? args[0] : "standard output");
			status = CTL_FAILED;
		}
		if (to != NULL && to != stdout)
			fclose(to);
	}
	unload_answer(&a);
	return status;
}

static int
run_import(struct ctl *c, char **args, int count)
{
	struct buf csv = {0};
	int status = read_file(args[0], &csv);

	(void)count;
	if (status == CTL_OK)
		status = send_change(c, "/v1/import",
		    json_pack("{s:s%}", "csv", csv.data, csv.len));
	unload_buf(&csv);
	return status;
}

static int
run_set(struct ctl *c, char **args, int count)
{
	(void)count;
	return send_change(c, "/v1/edit",
	    json_pack("{s:s,s:s,s:s}", "row", args[0], "column", args[1],
		"value", args[2]));
}

static int
run_check(struct ctl *c, char **args, int count)
{
	struct answer a = {0};
	struct buf csv = {0};
	json_t *body;
	char *text;
	int status = read_file(args[0], &csv);

	(void)count;
	if (status != CTL_OK)
		return status;
	body = json_pack("{s:s%}", "csv", csv.data, csv.len);
	text = json_dumps(body, JSON_COMPACT);
	(void)request_control(c, "POST", "/v1/check", text, &a);
	status = print_answer(c, &a);
	free(text);
	json_decref(body);
	unload_buf(&csv);
	unload_answer(&a);
	return status;
}

static int
run_history(struct ctl *c, char **args, int count)
{
	(void)args;
	(void)count;
	return fetch_and_print(c, "/v1/history");
}

static int
run_diff(struct ctl *c, char **args, int count)
{
	char path[PATH_BYTES];

	(void)count;
	snprintf(path, sizeof(path), "/v1/diff?from=%.20s&to=%.20s", args[0],
	    args[1]);
	return fetch_and_print(c, path);
}

static int
run_revert(struct ctl *c, char **args, int count)
{
	int64_t version;

	(void)count;
	if (parse_i64(make_str(args[0]), 1, INT64_MAX, &version) != 0) {
		fprintf(stderr,
		    "revert: '%s' is not a version; see table "
		    "history\n",
		    args[0]);
		return CTL_USAGE;
	}
	return send_change(c, "/v1/revert",
	    json_pack("{s:I}", "version", (json_int_t)version));
}

/*
 * Adds base and key to the body, sends it, and resends it with the same key up
 * to RESENDS_MAX times while the outcome is unknown. Takes over body (NULL if
 * it could not be built). Returns an exit status.
 */
int
send_change(struct ctl *c, const char *path, json_t *body)
{
	struct answer a = {0};
	char *text = NULL;
	int status = body != NULL ? add_base(c, body) : CTL_FAILED;

	if (status == CTL_OK) {
		add_key(c, body);
		text = json_dumps(body, JSON_COMPACT);
		for (int i = 0; i <= RESENDS_MAX; i++) {
			(void)request_control(c, "POST", path, text, &a);
			status = get_exit_status(a.status);
			if (status != CTL_UNAVAILABLE)
				break;
		}
		status = print_answer(c, &a);
		if (status == CTL_UNAVAILABLE)
			fprintf(stderr,
			    "The change may still take effect; "
			    "resend it with --key=%s --base=%lld\n",
			    json_string_value(json_object_get(body, "key")),
			    (long long)json_integer_value(
				json_object_get(body, "base")));
	}
	free(text);
	json_decref(body);
	unload_answer(&a);
	return status;
}

/*
 * Sets the base version to --base, or to the current version of the table; a
 * base that the body has stays. Returns an exit status.
 */
static int
add_base(struct ctl *c, json_t *body)
{
	struct answer a = {0};
	json_t *table, *version;
	int status = CTL_OK;

	if (json_object_get(body, "base") != NULL)
		return CTL_OK;
	if (has_setting(c->settings, "base")) {
		json_object_set_new(body, "base",
		    json_integer(get_setting_number(c->settings, "base")));
		return CTL_OK;
	}
	(void)request_control(c, "GET", "/v1/table?format=json", NULL, &a);
	table = json_loadb(
	    a.body.data != NULL ? a.body.data : "", a.body.len, 0, NULL);
	version = json_object_get(table, "version");
	if (a.status == 200 && json_is_integer(version))
		json_object_set(body, "base", version);
	else
		status = print_answer(c, &a);
	json_decref(table);
	unload_answer(&a);
	return status;
}

/*
 * Sets the idempotency key to --key, or to a random one.
 */
static void
add_key(struct ctl *c, json_t *body)
{
	unsigned char raw[(KEY_BYTES - 1) / 2];
	char key[KEY_BYTES];

	if (has_setting(c->settings, "key")) {
		json_object_set_new(
		    body, "key", json_string(get_setting(c->settings, "key")));
		return;
	}
	randombytes_buf(raw, sizeof(raw));
	sodium_bin2hex(key, sizeof(key), raw, sizeof(raw));
	json_object_set_new(body, "key", json_string(key));
}

/*
 * Reads a table of at most FILE_MAX_BYTES. Prints errors and returns an exit
 * status.
 */
static int
read_file(const char *path, struct buf *out)
{
	char block[4096];
	FILE *in = fopen(path, "r");
	size_t n;

	if (in == NULL) {
		perror(path);
		return CTL_USAGE;
	}
	while ((n = fread(block, 1, sizeof(block), in)) > 0 &&
	       out->len <= FILE_MAX_BYTES) {
		if (append_buf(out, block, n) != 0)
			break;
	}
	fclose(in);
	if (out->len == 0 || out->len > FILE_MAX_BYTES) {
		fprintf(stderr, "%s: a table must have 1 to %d bytes\n", path,
		    FILE_MAX_BYTES);
		unload_buf(out);
		return CTL_USAGE;
	}
	return CTL_OK;
}
