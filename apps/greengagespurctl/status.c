/*
 * Status of the fleet: a line per control process, a summary of all nodes, and
 * a line per node that needs attention.
 */
#include <stdio.h>
#include <string.h>

#include "ctl.h"

#define LINES_MAX 50 /* nodes listed; the summary counts all */

/* Nodes as reported by all control processes. */
struct summary {
	json_int_t newest_version; /* of the table */
	size_t attached; /* to a control process */
	size_t current; /* at the newest version */
	size_t behind; /* at an older version */
	size_t refused; /* rejected a newer version */
	size_t lines_printed;
};

static json_t *fetch_status(struct ctl *c, const char *address);
static void print_control(const char *address, const json_t *o);
static void count_nodes(const json_t *o, struct summary *s);
static void count_node(const json_t *n, struct summary *s);
static void print_node(const json_t *n, struct summary *s);
static json_int_t get_int(const json_t *o, const char *name);
static const char *get_text(const json_t *o, const char *name);

/*
 * Returns CTL_OK when every control process answered and has contact to a
 * quorum, and no node lags behind or refused a version; CTL_UNAVAILABLE
 * otherwise.
 */
int
run_status(struct ctl *c, char **args, int count)
{
	json_t *all = json_array(), *o;
	struct summary s = {0};
	size_t i, missing = 0;

	(void)args;
	(void)count;
	for (i = 0; i < c->control_count; i++) {
		o = fetch_status(c, c->controls[i]);
		missing +=
		    o == NULL || json_is_true(json_object_get(o, "stale"));
		if (o != NULL && get_int(o, "version") > s.newest_version)
			s.newest_version = get_int(o, "version");
		if (!c->json)
			print_control(c->controls[i], o);
		if (o != NULL)
			json_array_append_new(all, o);
	}
	json_array_foreach (all, i, o) {
		count_nodes(o, &s);
	}
	if (c->json) {
		json_dumpf(all, stdout, JSON_COMPACT);
		printf("\n");
	} else {
		printf("nodes: %zu attached, %zu at version %lld, %zu behind, "
		       "%zu refused a version\n",
		    s.attached, s.current, (long long)s.newest_version,
		    s.behind, s.refused);
		json_array_foreach (all, i, o) {
			size_t k;
			json_t *n;

			json_array_foreach (json_object_get(o, "nodes"), k, n) {
				print_node(n, &s);
			}
		}
	}
	json_decref(all);
	return missing + s.behind + s.refused == 0 ? CTL_OK : CTL_UNAVAILABLE;
}

/*
 * Returns NULL without an answer; the caller owns the result.
 */
static json_t *
fetch_status(struct ctl *c, const char *address)
{
	struct answer a = {0};
	json_t *o = NULL;

	if (request_address(c, address, "GET", "/v1/status", NULL, &a) == 0 &&
	    a.status == 200)
		o = json_loadb(a.body.data, a.body.len, 0, NULL);
	unload_answer(&a);
	return o;
}

/*
 * Prints one control process; o is NULL when it did not answer.
 */
static void
print_control(const char *address, const json_t *o)
{
	const json_t *g = json_object_get(o, "group");

	if (o == NULL) {
		printf("control %s: no answer\n", address);
		return;
	}
	printf("control %s: id %lld, %s, zone %s, version %lld%s", address,
	    (long long)get_int(o, "id"),
	    g != NULL ? get_text(g, "role") : get_text(o, "role"),
	    get_text(o, "zone"), (long long)get_int(o, "version"),
	    json_is_true(json_object_get(o, "stale")) ?
		", STALE (no contact to a leader)" :
		"");
	if (g != NULL)
		printf(", term %lld, leader %lld%s",
		    (long long)get_int(g, "term"),
		    (long long)get_int(g, "leader"),
		    json_is_true(json_object_get(g, "failed")) ?
			", DISK FAILED (restart it on a working disk)" :
			"");
	printf("\n");
}

static void
count_nodes(const json_t *o, struct summary *s)
{
	size_t i;
	json_t *n;

	json_array_foreach (json_object_get(o, "nodes"), i, n) {
		count_node(n, s);
	}
}

/*
 * Counts a node only at the control process that it is attached to, as its
 * earlier ones report it too.
 */
static void
count_node(const json_t *n, struct summary *s)
{
	if (!json_is_true(json_object_get(n, "attached")))
		return;
	s->attached++;
	if (get_int(n, "version") == s->newest_version)
		s->current++;
	else
		s->behind++;
	if (get_int(n, "refused_version") > get_int(n, "version"))
		s->refused++;
}

/*
 * Prints a node if it lags behind or refused a version, up to LINES_MAX nodes.
 */
static void
print_node(const json_t *n, struct summary *s)
{
	json_int_t version = get_int(n, "version");
	json_int_t refused = get_int(n, "refused_version");

	if (!json_is_true(json_object_get(n, "attached")) ||
	    (version == s->newest_version && refused <= version) ||
	    s->lines_printed++ >= LINES_MAX)
		return;
	printf("  %s (%s): version %lld, heard %lld ms ago",
	    get_text(n, "node"), get_text(n, "zone"), (long long)version,
	    (long long)get_int(n, "heard_ms"));
	if (refused > version)
		printf(", refused %lld: %s", (long long)refused,
		    get_text(n, "refused_reason"));
	printf("\n");
}

static json_int_t
get_int(const json_t *o, const char *name)
{
	return json_integer_value(json_object_get(o, name));
}

static const char *
get_text(const json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s != NULL ? s : "";
}
