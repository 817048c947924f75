/*
 * Reading of lines, and the account in text and JSON.
 */
#include <stdlib.h>
#include <string.h>

#include "explain_state.h"

#define LINES_MAX 4096 /* of the call; more are of no use to a reader */
#define CONTEXT_MAX 65536 /* changes that are remembered */
#define CONTEXT_BEFORE_S 10.0 /* changes this long before the call are shown */
#define CONTEXT_AFTER_S 2.0
#define CONTEXT_SHOWN 40 /* changes in the text; the last ones */

static int keep_line(struct line_list *l, json_t *o, size_t most);
static bool is_change(const char *event);
static void sort_lines(struct explanation *e);
static int compare_lines(const void *a, const void *b);
static bool is_near(
    const struct explanation *e, const json_t *line, bool *involved);
static void render_line(
    const struct explanation *e, const json_t *line, struct buf *out);
static int render_text(struct explanation *e, struct buf *out);
static void render_changes(struct explanation *e, struct buf *out);
static int render_json(struct explanation *e, struct buf *out);

int
open_explanation(struct str call, struct explanation **out)
{
	struct explanation *e = calloc(1, sizeof(*e));

	*out = NULL;
	if (e == NULL)
		return ERR_MEMORY;
	if (copy_str(e->call, sizeof(e->call), call) != 0 || call.len == 0) {
		free(e);
		return ERR_INVALID;
	}
	*out = e;
	return 0;
}

void
close_explanation(struct explanation *e)
{
	if (e == NULL)
		return;
	for (size_t i = 0; i < e->lines.count; i++)
		json_decref(e->lines.list[i]);
	for (size_t i = 0; i < e->changes.count; i++)
		json_decref(e->changes.list[i]);
	free(e->lines.list);
	free(e->changes.list);
	free(e);
}

int
add_explanation_line(struct explanation *e, struct str line)
{
	const char *at = memchr(line.data, '{', line.len);
	const char *event, *call;
	json_t *o;
	int rc = 0;

	if (at == NULL) {
		e->skipped.foreign++;
		return 0;
	}
	o = json_loadb(at, line.len - (size_t)(at - line.data),
	    JSON_DISABLE_EOF_CHECK, NULL);
	if (!json_is_object(o)) {
		e->skipped.damaged++;
		json_decref(o);
		return 0;
	}
	event = json_string_value(json_object_get(o, "event"));
	call = json_string_value(json_object_get(o, "call"));
	if (event == NULL ||
	    json_string_value(json_object_get(o, "time")) == NULL ||
	    json_string_value(json_object_get(o, "process")) == NULL)
		e->skipped.foreign++;
	else if (call != NULL && strcmp(call, e->call) == 0)
		rc = keep_line(&e->lines, o, LINES_MAX);
	else if (is_change(event))
		rc = keep_line(&e->changes, o, CONTEXT_MAX);
	json_decref(o);
	return rc;
}

int
render_explanation(struct explanation *e, bool json, struct buf *out)
{
	if (e->lines.count == 0)
		return ERR_NOT_FOUND;
	sort_lines(e);
	return json ? render_json(e, out) : render_text(e, out);
}

const char *
get_explanation_cause(struct explanation *e)
{
	struct buf text = {0};
	const char *cause;

	sort_lines(e);
	cause = find_cause(e, &text);
	unload_buf(&text);
	return cause;
}

struct explain_skipped
get_explanation_skipped(const struct explanation *e)
{
	return e->skipped;
}

const char *
get_line_text(const json_t *line, const char *name)
{
	const char *v = json_string_value(json_object_get(line, name));

	return v != NULL ? v : "";
}

int64_t
get_line_number(const json_t *line, const char *name)
{
	return json_integer_value(json_object_get(line, name));
}

bool
is_event(const json_t *line, const char *event)
{
	return strcmp(get_line_text(line, "event"), event) == 0;
}

/*
 * Returns the time of day of a line in seconds; 0 when it cannot be read.
 */
double
get_line_time(const json_t *line)
{
	struct tm tm = {0};
	int year, month;
	double second;

	if (sscanf(get_line_text(line, "time"), "%d-%d-%dT%d:%d:%lf", &year,
		&month, &tm.tm_mday, &tm.tm_hour, &tm.tm_min, &second) != 6)
		return 0;
	tm.tm_year = year - 1900;
	tm.tm_mon = month - 1;
	return (double)timegm(&tm) + second;
}

/*
 * Beyond most lines the oldest half is dropped.
 */
static int
keep_line(struct line_list *l, json_t *o, size_t most)
{
	if (l->count == most) {
		for (size_t i = 0; i < most / 2; i++)
			json_decref(l->list[i]);
		memmove(l->list, l->list + most / 2,
		    (most - most / 2) * sizeof(json_t *));
		l->count -= most / 2;
	}
	if (l->count == l->cap) {
		size_t cap = l->cap != 0 ? 2 * l->cap : 64;
		json_t **grown = realloc(l->list, cap * sizeof(json_t *));

		if (grown == NULL)
			return ERR_MEMORY;
		l->list = grown;
		l->cap = cap;
	}
	l->list[l->count++] = json_incref(o);
	return 0;
}

/*
 * Says whether an event changes what a process believes or does.
 */
static bool
is_change(const char *event)
{
	static const char *const prefixes[] = {"process.", "settings.",
	    "backend.", "peer.", "link.", "table.", "replica.", "change.",
	    "node.", "fleet.", "calls.omitted", "log.dropped", "report."};

	for (size_t i = 0; i < sizeof(prefixes) / sizeof(prefixes[0]); i++) {
		if (strncmp(event, prefixes[i], strlen(prefixes[i])) == 0)
			return true;
	}
	return false;
}

/*
 * The decisions of the entry node come in their own order; lines of serving
 * nodes, whose clocks may differ, by their time.
 */
static void
sort_lines(struct explanation *e)
{
	if (e->lines.count > 1)
		qsort(e->lines.list, e->lines.count, sizeof(json_t *),
		    compare_lines);
	if (e->changes.count > 1)
		qsort(e->changes.list, e->changes.count, sizeof(json_t *),
		    compare_lines);
}

/*
 * A node writes a call's decisions together at the end, so that "at_us", the
 * time since the call's arrival, orders them.
 */
static int
compare_lines(const void *a, const void *b)
{
	const json_t *x = *(json_t *const *)a, *y = *(json_t *const *)b;
	double s = get_line_time(x), t = get_line_time(y);

	if (strcmp(get_line_text(x, "process"), get_line_text(y, "process")) ==
		0 &&
	    json_object_get(x, "at_us") != NULL &&
	    json_object_get(y, "at_us") != NULL) {
		int64_t m = get_line_number(x, "at_us");
		int64_t n = get_line_number(y, "at_us");

		if (m != n)
			return m < n ? -1 : 1;
	}
	if (s != t)
		return s < t ? -1 : 1;
	return strcmp(get_line_text(x, "time"), get_line_text(y, "time"));
}

/*
 * Says whether a change is near the call in time, and whether it concerns a
 * process that the call met.
 */
static bool
is_near(const struct explanation *e, const json_t *line, bool *involved)
{
	double first = get_line_time(e->lines.list[0]);
	double last = get_line_time(e->lines.list[e->lines.count - 1]);
	double at = get_line_time(line);

	*involved = false;
	if (at < first - CONTEXT_BEFORE_S || at > last + CONTEXT_AFTER_S)
		return false;
	for (size_t i = 0; i < e->lines.count && !*involved; i++) {
		const json_t *own = e->lines.list[i];
		const char *process = get_line_text(own, "process");
		const char *node = get_line_text(own, "node");

		*involved =
		    strcmp(get_line_text(line, "process"), process) == 0 ||
		    (node[0] != '\0' &&
			(strcmp(get_line_text(line, "process"), node) == 0 ||
			    strcmp(get_line_text(line, "node"), node) == 0));
	}
	return true;
}

static int
render_text(struct explanation *e, struct buf *out)
{
	struct buf why = {0};
	const char *cause = find_cause(e, &why);
	int rc = append_buf_fmt(out, "call %s\n\ncause: %s\n  %.*s\n\n",
	    e->call, cause, (int)why.len, why.len > 0 ? why.data : "");

	if (rc == 0)
		rc = append_buf_fmt(out, "decisions:\n");
	for (size_t i = 0; i < e->lines.count; i++)
		render_line(e, e->lines.list[i], out);
	render_changes(e, out);
	unload_buf(&why);
	if (rc == 0 && e->skipped.damaged + e->skipped.foreign > 0)
		rc = append_buf_fmt(out,
		    "\nskipped: %llu damaged lines, %llu of other programs\n",
		    (unsigned long long)e->skipped.damaged,
		    (unsigned long long)e->skipped.foreign);
	return rc;
}

static void
render_changes(struct explanation *e, struct buf *out)
{
	size_t near = 0, seen = 0;
	bool involved;

	for (size_t i = 0; i < e->changes.count; i++)
		near += is_near(e, e->changes.list[i], &involved) && involved;
	(void)append_buf_str(out, make_str("\nchanges around it:\n"));
	if (near > CONTEXT_SHOWN)
		(void)append_buf_fmt(out, "  (%zu earlier ones: see --json)\n",
		    near - CONTEXT_SHOWN);
	for (size_t i = 0; i < e->changes.count; i++) {
		if (!is_near(e, e->changes.list[i], &involved) || !involved)
			continue;
		if (++seen + CONTEXT_SHOWN > near)
			render_line(e, e->changes.list[i], out);
	}
}

static void
render_line(const struct explanation *e, const json_t *line, struct buf *out)
{
	const char *key;
	json_t *v;

	(void)append_buf_fmt(out, "  %s %s %s", get_line_text(line, "time"),
	    get_line_text(line, "process"), get_line_text(line, "event"));
	json_object_foreach ((json_t *)(uintptr_t)line, key, v) {
		static const char *const shown[] = {
		    "time", "level", "process", "pid", "event"};
		char *text;
		bool skip = strcmp(key, "call") == 0 &&
			    strcmp(get_line_text(line, "call"), e->call) == 0;

		for (size_t i = 0; i < sizeof(shown) / sizeof(shown[0]); i++)
			skip = skip || strcmp(key, shown[i]) == 0;
		if (skip || (json_is_string(v) && json_string_length(v) == 0))
			continue;
		text = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);
		if (text != NULL)
			(void)append_buf_fmt(out, " %s=%s", key, text);
		free(text);
	}
	(void)append_buf_str(out, make_str("\n"));
}

static int
render_json(struct explanation *e, struct buf *out)
{
	struct buf why = {0};
	const char *cause = find_cause(e, &why);
	json_t *decisions = json_array(), *changes = json_array(), *o;
	char *text;
	bool involved;
	int rc = ERR_MEMORY;

	for (size_t i = 0; i < e->lines.count; i++)
		json_array_append(decisions, e->lines.list[i]);
	for (size_t i = 0; i < e->changes.count; i++) {
		if (is_near(e, e->changes.list[i], &involved) && involved)
			json_array_append(changes, e->changes.list[i]);
	}
	o = json_pack("{s:s,s:s,s:s%,s:o,s:o,s:{s:I,s:I}}", "call", e->call,
	    "cause", cause, "why", why.len > 0 ? why.data : "", why.len,
	    "decisions", decisions, "changes", changes, "skipped", "damaged",
	    (json_int_t)e->skipped.damaged, "foreign",
	    (json_int_t)e->skipped.foreign);
	text = o != NULL ? json_dumps(o, JSON_INDENT(2)) : NULL;
	if (text != NULL)
		rc = append_buf_fmt(out, "%s\n", text);
	free(text);
	json_decref(o);
	unload_buf(&why);
	return rc;
}
