/*
 * The commands "account ...": list and edit client accounts and their keys. A
 * key is shown once, when it is made; control and nodes have its fingerprint.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "ctl.h"
#include "table.h"

#define KEY_RANDOM_BYTES 24 /* of a new key */
#define KEY_TEXT_BYTES (TABLE_KEY_BYTES_MAX + 2) /* with line end and NUL */
#define SHORT_PRINT_LEN 8 /* digits shown and needed to name a key */

static int run_list(struct ctl *c, char **args, int count);
static int run_add(struct ctl *c, char **args, int count);
static int run_remove(struct ctl *c, char **args, int count);
static int run_set(struct ctl *c, char **args, int count);
static int run_add_key(struct ctl *c, char **args, int count);
static int run_take_key(struct ctl *c, char **args, int count);
static int run_require(struct ctl *c, char **args, int count);
static json_t *fetch_table(struct ctl *c, int *status);
static const char *find_keys(const json_t *table, const char *account);
static void shorten_keys(const char *keys, char *out, size_t size);
static int read_key(const char *path, char *out, size_t size);
static void make_key(char *out, size_t size);
static int send_cell(struct ctl *c, json_t *base, const char *account,
    const char *column, const char *value);

static const struct command commands[] = {
    {"list", "", "Print the accounts with short fingerprints of their keys", 0,
	0, run_list},
    {"add", "NAME", "Add an account without keys and limits", 1, 1, run_add},
    {"remove", "NAME", "Remove an account; its keys are refused", 1, 1,
	run_remove},
    {"set", "NAME rank|rate_per_s|burst VALUE", "Edit one cell", 3, 3, run_set},
    {"add-key", "NAME [FILE]",
	"Add the key in FILE (-: standard input), or a new one that is shown "
	"once",
	1, 2, run_add_key},
    {"take-key", "NAME FINGERPRINT", "Take a key away", 2, 2, run_take_key},
    {"require", "yes|no", "Whether calls need a key while there is no account",
	1, 1, run_require},
    {0},
};

const struct command *
get_account_commands(void)
{
	return commands;
}

static int
run_list(struct ctl *c, char **args, int count)
{
	int status;
	json_t *table = fetch_table(c, &status), *list = json_array(), *a;
	size_t i;

	(void)args;
	(void)count;
	json_array_foreach (json_object_get(table, "accounts"), i, a) {
		char prints[TABLE_CELL_BYTES];
		json_t *shown = json_object();
		const char *column;
		json_t *v;

		json_object_foreach (a, column, v) {
			const char *name =
			    column + strlen(ACCOUNT_COLUMN_PREFIX);

			if (strcmp(name, "keys") == 0) {
				shorten_keys(json_string_value(v), prints,
				    sizeof(prints));
				json_object_set_new(
				    shown, name, json_string(prints));
			} else {
				json_object_set(shown, name, v);
			}
		}
		json_array_append_new(list, shown);
	}
	if (status == CTL_OK && json_array_size(list) == 0)
		fprintf(stderr, "%s\n",
		    json_object_get(table, "accounts") != NULL ?
			"no account is left: calls that need a key are refused" :
			"no accounts: no call needs a key");
	if (status == CTL_OK && c->json) {
		char *text = json_dumps(list, JSON_COMPACT);

		puts(text != NULL ? text : "");
		free(text);
	} else if (status == CTL_OK) {
		print_json_text(list);
	}
	json_decref(list);
	json_decref(table);
	return status;
}

static int
run_add(struct ctl *c, char **args, int count)
{
	(void)count;
	return send_cell(c, NULL, args[0], "name", args[0]);
}

static int
run_remove(struct ctl *c, char **args, int count)
{
	(void)count;
	return send_cell(c, NULL, args[0], "name", "");
}

/*
 * Edits the sheet of accounts itself, which the empty name stands for.
 */
static int
run_require(struct ctl *c, char **args, int count)
{
	bool required = strcmp(args[0], "yes") == 0;

	(void)count;
	if (!required && strcmp(args[0], "no") != 0) {
		fprintf(stderr, "account require: '%s' is neither yes nor no\n",
		    args[0]);
		return CTL_USAGE;
	}
	return send_cell(c, NULL, "", "name", required ? "yes" : "");
}

static int
run_set(struct ctl *c, char **args, int count)
{
	(void)count;
	if (strcmp(args[1], "rank") != 0 &&
	    strcmp(args[1], "rate_per_s") != 0 &&
	    strcmp(args[1], "burst") != 0) {
		fprintf(stderr,
		    "account set: '%s' is none of rank, rate_per_s and burst\n",
		    args[1]);
		return CTL_USAGE;
	}
	return send_cell(c, NULL, args[0], args[1], args[2]);
}

/*
 * Sends the fingerprint; the key itself does not leave this process.
 */
static int
run_add_key(struct ctl *c, char **args, int count)
{
	char key[KEY_TEXT_BYTES], print[KEY_PRINT_TEXT_BYTES];
	char cell[TABLE_CELL_BYTES];
	struct key_print p;
	const char *keys;
	json_t *table;
	int status = CTL_OK;

	if (count > 1)
		status = read_key(args[1], key, sizeof(key));
	else
		make_key(key, sizeof(key));
	if (status != CTL_OK)
		return status;
	p = make_key_print(make_str(key));
	format_key_print(&p, print);
	table = fetch_table(c, &status);
	keys = find_keys(table, args[0]);
	if (status == CTL_OK && keys == NULL) {
		fprintf(stderr, "account '%s': there is none; add it first\n",
		    args[0]);
		status = CTL_INVALID;
	}
	if (status == CTL_OK &&
	    (size_t)snprintf(cell, sizeof(cell), "%s%s%s", keys,
		keys[0] != '\0' ? " " : "", print) >= sizeof(cell)) {
		fprintf(stderr,
		    "account '%s' has too many keys; take one away\n", args[0]);
		status = CTL_INVALID;
	}
	if (status == CTL_OK)
		status = send_cell(c, json_object_get(table, "version"),
		    args[0], "keys", cell);
	if (status == CTL_OK && count == 1)
		printf("key: %s (not shown again)\n", key);
	if (status == CTL_OK)
		printf("fingerprint: %.*s\n", SHORT_PRINT_LEN, print);
	sodium_memzero(key, sizeof(key));
	json_decref(table);
	return status;
}

/*
 * Takes the only key whose fingerprint begins with args[1].
 */
static int
run_take_key(struct ctl *c, char **args, int count)
{
	char cell[TABLE_CELL_BYTES] = "", rest[TABLE_CELL_BYTES] = "";
	size_t need = strlen(args[1]);
	json_t *table;
	char *word, *next = NULL;
	int status, matches = 0;

	(void)count;
	if (need < SHORT_PRINT_LEN) {
		fprintf(stderr,
		    "account take-key: give %d digits or more of the "
		    "fingerprint in 'account list'\n",
		    SHORT_PRINT_LEN);
		return CTL_USAGE;
	}
	table = fetch_table(c, &status);
	if (status == CTL_OK && find_keys(table, args[0]) != NULL)
		(void)copy_str(
		    cell, sizeof(cell), make_str(find_keys(table, args[0])));
	for (word = strtok_r(cell, " ", &next); word != NULL;
	     word = strtok_r(NULL, " ", &next)) {
		size_t len = strlen(rest);

		if (strncmp(word, args[1], need) == 0)
			matches++;
		else
			snprintf(rest + len, sizeof(rest) - len, "%s%s",
			    len > 0 ? " " : "", word);
	}
	if (status == CTL_OK && matches != 1) {
		fprintf(stderr,
		    "account '%s' has %d keys with this fingerprint; see "
		    "'account list'\n",
		    args[0], matches);
		status = CTL_INVALID;
	}
	if (status == CTL_OK)
		status = send_cell(c, json_object_get(table, "version"),
		    args[0], "keys", rest);
	json_decref(table);
	return status;
}

/*
 * Returns the table in force; on an error prints the answer, sets the exit
 * status and returns NULL.
 */
static json_t *
fetch_table(struct ctl *c, int *status)
{
	struct answer a = {0};
	json_t *table = NULL;

	(void)request_control(c, "GET", "/v1/table?format=json", NULL, &a);
	*status = get_exit_status(a.status);
	if (*status == CTL_OK)
		table = json_loadb(a.body.data != NULL ? a.body.data : "",
		    a.body.len, 0, NULL);
	if (table == NULL)
		*status = *status != CTL_OK ? print_answer(c, &a) : CTL_FAILED;
	unload_answer(&a);
	return table;
}

/*
 * Returns the fingerprints of an account; NULL if there is no such account.
 */
static const char *
find_keys(const json_t *table, const char *account)
{
	json_t *a;
	size_t i;

	json_array_foreach (json_object_get(table, "accounts"), i, a) {
		const char *name = json_string_value(
		    json_object_get(a, get_column_name(ACCOUNT_NAME)));

		if (name != NULL && strcmp(name, account) == 0)
			return json_string_value(
			    json_object_get(a, get_column_name(ACCOUNT_KEYS)));
	}
	return NULL;
}

static void
shorten_keys(const char *keys, char *out, size_t size)
{
	size_t n = 0;

	for (size_t i = 0; keys != NULL && keys[i] != '\0' && n + 1 < size;
	     i++) {
		if (i % KEY_PRINT_TEXT_BYTES < SHORT_PRINT_LEN ||
		    keys[i] == ' ')
			out[n++] = keys[i];
	}
	out[n] = '\0';
}

/*
 * Reads the first line. Prints errors, without the key, and returns an exit
 * status.
 */
static int
read_key(const char *path, char *out, size_t size)
{
	FILE *in = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
	struct fault f = {0};
	bool read;

	if (in == NULL) {
		perror(path);
		return CTL_USAGE;
	}
	read = fgets(out, (int)size, in) != NULL;
	if (in != stdin)
		fclose(in);
	if (!read)
		out[0] = '\0';
	out[strcspn(out, "\r\n")] = '\0';
	if (check_account_key(make_str(out), &f) == 0)
		return CTL_OK;
	fprintf(stderr, "account add-key: %s\n", f.text);
	return CTL_USAGE;
}

static void
make_key(char *out, size_t size)
{
	unsigned char raw[KEY_RANDOM_BYTES];

	randombytes_buf(raw, sizeof(raw));
	sodium_bin2base64(out, size, raw, sizeof(raw),
	    sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	sodium_memzero(raw, sizeof(raw));
}

/*
 * Sends the edit of one cell. base: the version that it was made from, or NULL
 * for the one in force.
 */
static int
send_cell(struct ctl *c, json_t *base, const char *account, const char *column,
    const char *value)
{
	char name[64];
	json_t *body;

	snprintf(name, sizeof(name), "%s%s", ACCOUNT_COLUMN_PREFIX, column);
	body = json_pack(
	    "{s:s,s:s,s:s}", "row", account, "column", name, "value", value);
	if (body != NULL && base != NULL)
		json_object_set(body, "base", base);
	return send_change(c, "/v1/edit", body);
}
