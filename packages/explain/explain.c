/*
 * Collects the log lines of a call and renders the explanation as text or JSON.
 */
#include <stdlib.h>
#include <string.h>

#include "explain_state.h"

#define LINES_MAX 4096 /* of the call; more would not help a reader */
#define CHANGES_MAX 65536 /* state changes kept in memory */
#define CONTEXT_BEFORE_S 10.0 /* show changes up to this long before a call */
#define CONTEXT_AFTER_S 2.0 /* and up to this long after its last line */
#define CONTEXT_TEXT_MAX 40 /* changes in the text output; the latest ones */

static int append_line(struct line_list *l, json_t *o, size_t max_lines);
static bool is_change(const char *event);
static void sort_lines(struct explanation *e);
static int compare_lines(const void *a, const void *b);
static bool is_in_time_window(
    const struct explanation *e, const json_t *line, bool *involved);
static void render_line(
    const struct explanation *e, const json_t *line, struct buf *out);
static int render_text(struct explanation *e, struct buf *out);
static void render_changes(struct explanation *e, struct buf *out);
static int render_json(struct explanation *e, struct buf *out);

/*
 * The id is the caller's or the text of it in log lines. Returns ERR_MEMORY, or
 * ERR_INVALID for an empty one.
 */
int
open_explanation(struct str call, struct explanation **out)
{
	struct explanation *e = calloc(1, sizeof(*e));

	*out = NULL;
	if (e == NULL)
		return ERR_MEMORY;
	if (call.len == 0) {
		free(e);
		return ERR_INVALID;
	}
	(void)format_log_id(e->call, call);
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

/*
 * Keeps a line of the call or of a state change. Counts a line without a
 * complete log record as skipped and returns 0; only ERR_MEMORY is an error.
 */
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
		rc = append_line(&e->lines, o, LINES_MAX);
	else if (is_change(event))
		rc = append_line(&e->changes, o, CHANGES_MAX);
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

/*
 * Returns the cause as a static string.
 */
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
 * Returns the time of a line in seconds since the epoch; 0 when it cannot be
 * parsed.
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
 * Appends o and takes a reference. Drops the first half of a list that has
 * max_lines. Returns ERR_MEMORY.
 */
static int
append_line(struct line_list *l, json_t *o, size_t max_lines)
{
	if (l->count == max_lines) {
		for (size_t i = 0; i < max_lines / 2; i++)
			json_decref(l->list[i]);
		memmove(l->list, l->list + max_lines / 2,
		    (max_lines - max_lines / 2) * sizeof(json_t *));
		l->count -= max_lines / 2;
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
 * Returns whether an event reports a change of a process's state or view of the
 * fleet.
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
 * Sorts both lists: decisions of one process in the order in which it made
 * them, lines of different processes, whose clocks may differ, by their time.
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
 * Compares two lines for qsort(). A node writes all decisions of a call
 * together when the call ends, so lines of one process are ordered by "at_us",
 * the time since the call's arrival.
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
 * Returns whether a change happened between CONTEXT_BEFORE_S before the call and
 * CONTEXT_AFTER_S after it. Sets involved if the change was written by, or
 * names, a process that wrote a line of the call or is named in one.
 */
static bool
is_in_time_window(
    const struct explanation *e, const json_t *line, bool *involved)
{
	double first = get_line_time(e->lines.list[0]);
	double last = get_line_time(e->lines.list[e->lines.count - 1]);
	double at = get_line_time(line);

	*involved = false;
	if (at < first - CONTEXT_BEFORE_S || at > last + CONTEXT_AFTER_S)
		return false;
	for (size_t i = 0; i < e->lines.count && !*involved; i++) {
		const json_t *call_line = e->lines.list[i];
		const char *process = get_line_text(call_line, "process");
		const char *node = get_line_text(call_line, "node");

		*involved =
		    strcmp(get_line_text(line, "process"), process) == 0 ||
		    (node[0] != '\0' &&
			(strcmp(get_line_text(line, "process"), node) == 0 ||
			    strcmp(get_line_text(line, "node"), node) == 0));
	}
	return true;
}

/*
 * Renders the cause, the decisions and the changes around them as text.
 */
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

/*
 * Renders the last CONTEXT_TEXT_MAX changes around the call that concern a
 * process involved in it.
 */
static void
render_changes(struct explanation *e, struct buf *out)
{
	size_t total = 0, seen = 0;
	bool involved;

	for (size_t i = 0; i < e->changes.count; i++)
		total += is_in_time_window(e, e->changes.list[i], &involved) &&
			 involved;
	(void)append_buf_str(out, make_str("\nchanges around it:\n"));
	if (total > CONTEXT_TEXT_MAX)
		(void)append_buf_fmt(out, "  (%zu earlier ones: see --json)\n",
		    total - CONTEXT_TEXT_MAX);
	for (size_t i = 0; i < e->changes.count; i++) {
		if (!is_in_time_window(e, e->changes.list[i], &involved) ||
		    !involved)
			continue;
		if (++seen + CONTEXT_TEXT_MAX > total)
			render_line(e, e->changes.list[i], out);
	}
}

/*
 * Renders a line as time, process, event and the remaining fields that are set.
 */
static void
render_line(const struct explanation *e, const json_t *line, struct buf *out)
{
	const char *key;
	json_t *v;

	(void)append_buf_fmt(out, "  %s %s %s", get_line_text(line, "time"),
	    get_line_text(line, "process"), get_line_text(line, "event"));
	json_object_foreach ((json_t *)(uintptr_t)line, key, v) {
		static const char *const omitted_keys[] = {
		    "time", "level", "process", "pid", "event"};
		char *text;
		bool skip = strcmp(key, "call") == 0 &&
			    strcmp(get_line_text(line, "call"), e->call) == 0;

		for (size_t i = 0;
		     i < sizeof(omitted_keys) / sizeof(omitted_keys[0]); i++)
			skip = skip || strcmp(key, omitted_keys[i]) == 0;
		if (skip || (json_is_string(v) && json_string_length(v) == 0))
			continue;
		text = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);
		if (text != NULL)
			(void)append_buf_fmt(out, " %s=%s", key, text);
		free(text);
	}
	(void)append_buf_str(out, make_str("\n"));
}

/*
 * Renders the explanation as a JSON object. Returns ERR_MEMORY.
 */
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
		if (is_in_time_window(e, e->changes.list[i], &involved) &&
		    involved)
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
