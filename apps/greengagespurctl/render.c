/*
 * Prints JSON answers as text: objects as "name: value" lines, lists of objects
 * as aligned columns.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define COLUMNS_MAX 24
#define CELL_BYTES 96

static void print_object(const json_t *o, int indent);
static void print_list(const json_t *list, int indent);
static void print_columns(const json_t *list, int indent);
static void format_scalar(const json_t *v, char *out, size_t size);
static bool is_scalar(const json_t *v);

void
print_json_text(const json_t *value)
{
	char cell[CELL_BYTES];

	if (json_is_object(value)) {
		print_object(value, 0);
	} else if (json_is_array(value)) {
		print_list(value, 0);
	} else {
		format_scalar(value, cell, sizeof(cell));
		printf("%s\n", cell);
	}
}

/*
 * Prints an answer as readable text, or unchanged if --json is set, it is an
 * error or it is not JSON. Returns its exit status.
 */
int
print_answer(const struct ctl *c, const struct answer *a)
{
	const char *text = a->body.data != NULL ? a->body.data : "";
	json_t *v = json_loadb(text, a->body.len, JSON_DECODE_ANY, NULL);
	enum ctl_exit status = get_exit_status(a->status);
	FILE *to = status == CTL_OK || c->json ? stdout : stderr;

	if (v == NULL || c->json || status != CTL_OK) {
		fputs(text, to);
		if (a->body.len == 0 || text[a->body.len - 1] != '\n')
			fputc('\n', to);
	} else {
		print_json_text(v);
	}
	json_decref(v);
	return status;
}

/*
 * Requests a path from the control processes, prints the answer and returns its
 * exit status.
 */
int
fetch_and_print(struct ctl *c, const char *path)
{
	struct answer a = {0};
	int status;

	(void)request_control(c, "GET", path, NULL, &a);
	status = print_answer(c, &a);
	unload_answer(&a);
	return status;
}

/*
 * Prints scalar fields first, then objects and lists, indented.
 */
static void
print_object(const json_t *o, int indent)
{
	char cell[CELL_BYTES];
	const char *key;
	json_t *v;

	json_object_foreach ((json_t *)(uintptr_t)o, key, v) {
		if (!is_scalar(v))
			continue;
		format_scalar(v, cell, sizeof(cell));
		printf("%*s%s: %s\n", indent, "", key, cell);
	}
	json_object_foreach ((json_t *)(uintptr_t)o, key, v) {
		if (is_scalar(v))
			continue;
		printf("%*s%s:\n", indent, "", key);
		if (json_is_object(v))
			print_object(v, indent + 2);
		else
			print_list(v, indent + 2);
	}
}

static void
print_list(const json_t *list, int indent)
{
	char cell[CELL_BYTES];
	size_t i;
	json_t *v;

	if (json_array_size(list) == 0) {
		printf("%*s(none)\n", indent, "");
		return;
	}
	if (json_is_object(json_array_get(list, 0))) {
		print_columns(list, indent);
		return;
	}
	json_array_foreach (list, i, v) {
		format_scalar(v, cell, sizeof(cell));
		printf("%*s%s\n", indent, "", cell);
	}
}

/*
 * Prints a list of objects as columns, named by the keys of the first object.
 */
static void
print_columns(const json_t *list, int indent)
{
	const char *names[COLUMNS_MAX], *key;
	char cell[CELL_BYTES];
	size_t widths[COLUMNS_MAX], count = 0, i;
	json_t *v, *o;

	json_object_foreach (json_array_get(list, 0), key, v) {
		if (count < COLUMNS_MAX)
			names[count++] = key;
	}
	for (size_t c = 0; c < count; c++) {
		widths[c] = strlen(names[c]);
		json_array_foreach (list, i, o) {
			format_scalar(
			    json_object_get(o, names[c]), cell, sizeof(cell));
			if (strlen(cell) > widths[c])
				widths[c] = strlen(cell);
		}
	}
	printf("%*s", indent, "");
	for (size_t c = 0; c < count; c++)
		printf("%-*s%s", (int)widths[c], names[c],
		    c + 1 < count ? "  " : "\n");
	json_array_foreach (list, i, o) {
		printf("%*s", indent, "");
		for (size_t c = 0; c < count; c++) {
			format_scalar(
			    json_object_get(o, names[c]), cell, sizeof(cell));
			printf("%-*s%s", (int)widths[c], cell,
			    c + 1 < count ? "  " : "\n");
		}
	}
}

/*
 * Formats a value on one line, truncated to size; nested values become compact
 * JSON, missing ones "-".
 */
static void
format_scalar(const json_t *v, char *out, size_t size)
{
	char *text;

	if (v == NULL || json_is_null(v)) {
		snprintf(out, size, "-");
	} else if (json_is_string(v)) {
		snprintf(out, size, "%s", json_string_value(v));
	} else {
		text = json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY);
		snprintf(out, size, "%s", text != NULL ? text : "?");
		free(text);
	}
}

static bool
is_scalar(const json_t *v)
{
	return !json_is_object(v) && !json_is_array(v);
}
