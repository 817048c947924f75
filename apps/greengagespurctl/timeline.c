/*
 * The merged timeline of events from all processes.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ctl.h"

/* Events of all processes; owns the JSON objects. */
struct event_list {
	json_t **events;
	size_t count;
	size_t cap;
};

static int fetch_events(struct ctl *c, const char *address, const char *path,
    struct event_list *out);
static int parse_event_lines(const struct buf *text, struct event_list *out);
static bool matches_filters(const struct ctl *c, const json_t *e);
static int compare_events(const void *a, const void *b);
static void print_event(const struct ctl *c, const json_t *e);
static const char *get_text(const json_t *e, const char *name);

/*
 * Fetches the events of every control process and of the nodes in --nodes, and
 * prints them in the order of their hybrid logical clock timestamps. Names the
 * processes that did not answer; returns CTL_UNAVAILABLE if there are any.
 */
int
run_timeline(struct ctl *c, char **args, int count)
{
	struct event_list l = {0};
	int missing = 0;

	(void)args;
	(void)count;
	for (size_t i = 0; i < c->control_count; i++)
		missing +=
		    fetch_events(c, c->controls[i], "/v1/timeline", &l) != 0;
	for (size_t i = 0; i < c->node_count; i++)
		missing += fetch_events(c, c->nodes[i], "/events", &l) != 0;
	if (l.count > 0)
		qsort(l.events, l.count, sizeof(json_t *), compare_events);
	for (size_t i = 0; i < l.count; i++) {
		if (matches_filters(c, l.events[i]))
			print_event(c, l.events[i]);
		json_decref(l.events[i]);
	}
	free(l.events);
	return missing > 0 ? CTL_UNAVAILABLE : CTL_OK;
}

/*
 * Appends the events of one process to out. Prints errors.
 */
static int
fetch_events(struct ctl *c, const char *address, const char *path,
    struct event_list *out)
{
	struct answer a = {0};
	int rc = request_address(c, address, "GET", path, NULL, &a);

	if (rc == 0 && a.status != 200)
		rc = ERR_UNAVAILABLE;
	if (rc != 0)
		fprintf(stderr, "timeline: no events from %s: %s\n", address,
		    a.body.data != NULL ? a.body.data : "");
	else
		rc = parse_event_lines(&a.body, out);
	unload_answer(&a);
	return rc;
}

/*
 * Parses one JSON object per line; other lines are skipped. Returns ERR_MEMORY
 * or 0.
 */
static int
parse_event_lines(const struct buf *text, struct event_list *out)
{
	const char *at = text->data, *end = at + text->len;
	json_t **p;

	while (at != NULL && at < end) {
		size_t n = strcspn(at, "\n");
		json_t *e = json_loadb(at, n, 0, NULL);

		at += n + 1;
		if (!json_is_object(e)) {
			json_decref(e);
			continue;
		}
		if (out->count == out->cap) {
			out->cap = out->cap != 0 ? out->cap * 2 : 256;
			p = realloc(out->events, out->cap * sizeof(json_t *));
			if (p == NULL) {
				json_decref(e);
				return ERR_MEMORY;
			}
			out->events = p;
		}
		out->events[out->count++] = e;
	}
	return 0;
}

/*
 * Applies the filters --version-filter, --subject and --kind.
 */
static bool
matches_filters(const struct ctl *c, const json_t *e)
{
	const struct settings *s = c->settings;

	if (has_setting(s, "version-filter") &&
	    json_integer_value(json_object_get(e, "version")) !=
		get_setting_number(s, "version-filter"))
		return false;
	if (has_setting(s, "subject") &&
	    strstr(get_text(e, "subject"), get_setting(s, "subject")) == NULL)
		return false;
	return !has_setting(s, "kind") ||
	       strcmp(get_text(e, "kind"), get_setting(s, "kind")) == 0;
}

/*
 * Orders by hybrid logical clock (wall_ns, count), then by node.
 */
static int
compare_events(const void *a, const void *b)
{
	const json_t *x = *(json_t *const *)a, *y = *(json_t *const *)b;
	static const char *const keys[] = {"wall_ns", "count"};

	for (int i = 0; i < 2; i++) {
		json_int_t p = json_integer_value(json_object_get(x, keys[i]));
		json_int_t q = json_integer_value(json_object_get(y, keys[i]));

		if (p != q)
			return p < q ? -1 : 1;
	}
	return strcmp(get_text(x, "node"), get_text(y, "node"));
}

static void
print_event(const struct ctl *c, const json_t *e)
{
	json_int_t ns = json_integer_value(json_object_get(e, "wall_ns"));
	time_t t = (time_t)(ns / NSEC_PER_SEC);
	char stamp[32], *text;
	struct tm tm;

	if (c->json) {
		text = json_dumps(e, JSON_COMPACT);
		printf("%s\n", text != NULL ? text : "{}");
		free(text);
		return;
	}
	gmtime_r(&t, &tm);
	strftime(stamp, sizeof(stamp), "%H:%M:%S", &tm);
	printf("%s.%06lld %-14s v%-5lld %-16s %-24s %s\n", stamp,
	    (long long)(ns % NSEC_PER_SEC / 1000), get_text(e, "node"),
	    (long long)json_integer_value(json_object_get(e, "version")),
	    get_text(e, "kind"), get_text(e, "subject"), get_text(e, "detail"));
}

static const char *
get_text(const json_t *e, const char *name)
{
	const char *s = json_string_value(json_object_get(e, name));

	return s != NULL ? s : "";
}
