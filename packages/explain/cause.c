/*
 * Derives the cause of a call's outcome from its log lines.
 */
#include <string.h>

#include "explain_state.h"

static const json_t *find_last(const struct explanation *e, const char *event);
static const json_t *find_serve_end(
    const struct explanation *e, const char *node);
static const char *explain_no_end(const struct explanation *e, struct buf *why);
static const char *explain_refusal(
    const struct explanation *e, const json_t *end, struct buf *why);
static const char *explain_overload(
    const struct explanation *e, const json_t *end, struct buf *why);
static const char *explain_no_table(
    const struct explanation *e, const json_t *end, struct buf *why);
static const char *explain_unknown(
    const struct explanation *e, const json_t *end, struct buf *why);
static const char *explain_answer(
    const struct explanation *e, const json_t *end, struct buf *why);
static double get_ms(const json_t *line, const char *name);

/*
 * Returns the cause as a static string and appends the reason to why. The lines
 * must be sorted.
 */
const char *
find_cause(const struct explanation *e, struct buf *why)
{
	const json_t *end = find_last(e, "call.ended");
	const char *outcome;
	int64_t status;

	if (end == NULL)
		return explain_no_end(e, why);
	outcome = get_line_text(end, "outcome");
	status = get_line_number(end, "status");
	if (strcmp(outcome, "answered") == 0)
		return explain_answer(e, end, why);
	if (strcmp(outcome, "left") == 0) {
		(void)append_buf_fmt(why,
		    "The caller closed its connection after %.1f ms; the call "
		    "had been offered to %lld nodes.",
		    get_ms(end, "total_us"),
		    (long long)get_line_number(end, "offers"));
		return "caller-left";
	}
	if (status == 404) {
		(void)append_buf_fmt(why,
		    "No row of the table in force matches its host and path. "
		    "See table.applied of %s for the version.",
		    get_line_text(end, "process"));
		return "unknown-route";
	}
	return status == 503 ? explain_refusal(e, end, why) :
			       explain_unknown(e, end, why);
}

/*
 * Returns the call's last line of an event; NULL when there is none.
 */
static const json_t *
find_last(const struct explanation *e, const char *event)
{
	for (size_t i = e->lines.count; i > 0; i--) {
		if (is_event(e->lines.list[i - 1], event))
			return e->lines.list[i - 1];
	}
	return NULL;
}

/*
 * Returns the last serve.ended line of the call that node wrote, or any node if
 * node is empty; NULL when there is none.
 */
static const json_t *
find_serve_end(const struct explanation *e, const char *node)
{
	for (size_t i = e->lines.count; i > 0; i--) {
		const json_t *l = e->lines.list[i - 1];

		if (is_event(l, "serve.ended") &&
		    (node[0] == '\0' ||
			strcmp(get_line_text(l, "process"), node) == 0))
			return l;
	}
	return NULL;
}

/*
 * Explains a call without a call.ended line.
 */
static const char *
explain_no_end(const struct explanation *e, struct buf *why)
{
	const json_t *served = find_serve_end(e, "");

	(void)append_buf_fmt(why,
	    "No entry node wrote its end: the node stopped before the call "
	    "ended, its lines were left out (see calls.omitted), or its log "
	    "is not among the input.");
	if (served != NULL)
		(void)append_buf_fmt(why, " At %s it %s with status %lld.",
		    get_line_text(served, "process"),
		    get_line_text(served, "outcome"),
		    (long long)get_line_number(served, "status"));
	return "no-end";
}

/*
 * Explains a 503, by the reason in the call.ended line.
 */
static const char *
explain_refusal(const struct explanation *e, const json_t *end, struct buf *why)
{
	const char *reason = get_line_text(end, "reason");

	if (strcmp(reason, "no-table") == 0)
		return explain_no_table(e, end, why);
	if (strcmp(reason, "no-endpoint") == 0) {
		(void)append_buf_fmt(why,
		    "%s knew no node of service %s that it could use, after "
		    "%lld offers. See peer.changed, peer.replaced and link.lost.",
		    get_line_text(end, "process"),
		    get_line_text(end, "service"),
		    (long long)get_line_number(end, "offers"));
		return "no-endpoint";
	}
	if (strcmp(reason, "overload") == 0)
		return explain_overload(e, end, why);
	if (strcmp(reason, "draining") == 0) {
		(void)append_buf_fmt(why,
		    "The nodes of service %s that were asked were leaving.",
		    get_line_text(end, "service"));
		return "draining";
	}
	(void)append_buf_fmt(why,
	    "It could not begin before its deadline (%s) after %.1f ms.",
	    reason, get_ms(end, "total_us"));
	return "deadline";
}

/*
 * Explains a call that the backend server or all offered nodes declined.
 */
static const char *
explain_overload(
    const struct explanation *e, const json_t *end, struct buf *why)
{
	const json_t *declined = find_last(e, "call.declined");
	const char *node =
	    declined != NULL ? get_line_text(declined, "node") : "";
	const json_t *served = find_serve_end(e, node);

	if (declined != NULL &&
	    json_is_true(json_object_get(declined, "by_backend"))) {
		(void)append_buf_fmt(why,
		    "The backend server beside %s said that it did not run "
		    "it, and no further attempt was allowed.",
		    node);
		return "backend-refused";
	}
	(void)append_buf_fmt(why,
	    "No node of service %s could run it in time; %s was the last of "
	    "%lld that were asked.",
	    get_line_text(end, "service"), node,
	    (long long)get_line_number(end, "offers"));
	if (served != NULL)
		(void)append_buf_fmt(why,
		    " It had %lld running and %lld waiting on %lld slots, with "
		    "a mean run of %.1f ms; the call had %.1f ms left to be in "
		    "time.",
		    (long long)get_line_number(served, "in_flight"),
		    (long long)get_line_number(served, "queued"),
		    (long long)get_line_number(served, "limit"),
		    get_ms(served, "mean_run_us"),
		    get_ms(served, "target_left_us"));
	return "overload";
}

/*
 * Explains a call that arrived before its entry node had a table, with the
 * times since the node's start and until its first table.
 */
static const char *
explain_no_table(
    const struct explanation *e, const json_t *end, struct buf *why)
{
	const char *process = get_line_text(end, "process");
	double at = get_line_time(end), started = 0, applied = 0;

	for (size_t i = 0; i < e->changes.count; i++) {
		const json_t *c = e->changes.list[i];

		if (strcmp(get_line_text(c, "process"), process) != 0)
			continue;
		if (is_event(c, "process.started") && get_line_time(c) <= at)
			started = get_line_time(c);
		if (is_event(c, "table.applied") && get_line_time(c) > at &&
		    applied == 0)
			applied = get_line_time(c);
	}
	(void)append_buf_fmt(why, "%s had no table yet", process);
	if (started > 0)
		(void)append_buf_fmt(
		    why, ", %.3f s after its start", at - started);
	if (applied > 0)
		(void)append_buf_fmt(
		    why, "; its first one came %.3f s later", applied - at);
	(void)append_buf_str(why, make_str("."));
	return "no-table";
}

/*
 * Explains a call that may have run although no answer arrived.
 */
static const char *
explain_unknown(const struct explanation *e, const json_t *end, struct buf *why)
{
	const json_t *failed = find_last(e, "call.failed");
	const json_t *offered = find_last(e, "call.offered");
	const char *node = get_line_text(end, "node");
	const json_t *served;

	if (failed != NULL)
		node = get_line_text(failed, "node");
	else if (offered != NULL)
		node = get_line_text(offered, "node");
	served = find_serve_end(e, node);
	if (failed == NULL ||
	    strcmp(get_line_text(failed, "cause"), "timeout") == 0) {
		(void)append_buf_fmt(why,
		    "%s gave no answer in %.1f ms, until its time was over.",
		    node[0] != '\0' ? node : "No node",
		    get_ms(end, "total_us"));
		if (served != NULL)
			(void)append_buf_fmt(why,
			    " There it had waited %.1f ms for a slot%s.",
			    get_ms(served, "waited_us"),
			    json_is_true(json_object_get(served, "sent")) ?
				" and been sent to the backend server" :
				"");
		return "deadline";
	}
	(void)append_buf_fmt(why,
	    "The attempt at %s ended %s; the call may have run there and %s.",
	    node, get_line_text(failed, "cause"),
	    find_last(e, "call.not-retried") != NULL ?
		"was not sent again" :
		"no further attempt answered");
	if (served != NULL)
		(void)append_buf_fmt(why,
		    " The node wrote that its backend server %s's connection "
		    "ended %s.",
		    get_line_text(served, "instance"),
		    get_line_text(served, "reason"));
	return "answer-lost";
}

/*
 * Explains an answered call, with the times that it took.
 */
static const char *
explain_answer(const struct explanation *e, const json_t *end, struct buf *why)
{
	const char *node = get_line_text(end, "node");
	const json_t *served = find_serve_end(e, node);
	int64_t status = get_line_number(end, "status");
	bool late = json_is_true(json_object_get(end, "late"));

	(void)append_buf_fmt(why,
	    "The backend server beside %s answered %lld after %.1f ms in "
	    "all",
	    node, (long long)status, get_ms(end, "total_us"));
	if (served != NULL)
		(void)append_buf_fmt(why,
		    ": %.1f ms for a slot and %.1f ms to run",
		    get_ms(served, "waited_us"), get_ms(served, "run_us"));
	(void)append_buf_fmt(why, ", in %lld arrivals.",
	    (long long)get_line_number(end, "arrivals"));
	if (status >= 500)
		return "backend-failed";
	return late ? "served-late" : "served";
}

/*
 * Converts a field in microseconds to milliseconds.
 */
static double
get_ms(const json_t *line, const char *name)
{
	return (double)get_line_number(line, name) / 1000.0;
}
