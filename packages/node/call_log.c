/*
 * Log lines of calls. Trace events are kept with a call and logged when it
 * ends: all of them if it failed, was late or was offered more than once, else
 * only the last line. A budget limits the calls logged per time window; omitted
 * ones are counted.
 */
#include <stdio.h>
#include <string.h>

#include "log.h"
#include "node_state.h"

/*
 * Calls that are logged per window. A failed call has ten lines of 250 bytes,
 * so this is at most a quarter of a MB a second.
 */
#define LOG_WINDOW_NS (5 * NSEC_PER_SEC)
#define FAILED_CALLS_MAX 500
#define LATE_CALLS_MAX 50
#define OK_CALLS_MAX 5 /* of each kind */

static bool spend_log_budget(
    struct node *n, struct log_budget *b, int calls_max);
static void write_trace_event(
    const struct request *q, const struct trace_event *e);
static void write_end(const struct request *q, int status, const char *outcome);

/*
 * Adds a trace event to a call; ignored when REQUEST_TRACE_MAX is reached. For
 * text, a, b and c see enum trace_kind. Of a longer text the end is kept, in
 * which names of nodes differ.
 */
void
add_trace(struct request *q, enum trace_kind kind, const char *text, int a,
    int b, int c)
{
	struct trace_event *e;
	size_t len;

	if (q->primary != NULL)
		q = q->primary;
	if (q->trace_count == REQUEST_TRACE_MAX)
		return;
	e = &q->trace[q->trace_count++];
	e->at = get_reactor_now(q->node->reactor);
	e->kind = kind;
	e->a = a;
	e->b = b;
	e->c = c;
	len = strlen(text);
	if (len < sizeof(e->text))
		(void)copy_str(e->text, sizeof(e->text), make_str_n(text, len));
	else
		snprintf(e->text, sizeof(e->text), "~%s",
		    text + len - (sizeof(e->text) - 2));
}

/*
 * Counts and logs the end of a call. status 0: the caller had disconnected.
 */
void
log_request(struct request *q, int status, const char *outcome)
{
	struct node *n = q->node;
	int64_t now = get_reactor_now(n->reactor);
	bool failed = status == 0 || status >= 400;
	bool ok = !failed && q->offers <= 1 && now <= q->target_at;
	bool within_budget;

	count_call_end(q, status);
	if (failed)
		within_budget =
		    spend_log_budget(n, &n->failed_lines, FAILED_CALLS_MAX);
	else if (ok)
		within_budget =
		    spend_log_budget(n, &q->stats->ok_lines, OK_CALLS_MAX);
	else
		within_budget =
		    spend_log_budget(n, &n->late_lines, LATE_CALLS_MAX);
	if (!within_budget)
		return;
	for (size_t i = 0; i < q->trace_count && !ok; i++)
		write_trace_event(q, &q->trace[i]);
	write_end(q, status, outcome);
}

/*
 * Logs the end of a job at the serving node. reason: detail of the outcome, may
 * be empty; status 0: no answer.
 */
void
log_job(const struct job *j, const char *outcome, const char *reason,
    int status, int64_t service_ns)
{
	struct node *n = j->node;
	int64_t now = get_reactor_now(n->reactor);
	int64_t granted_at = j->granted_at != 0 ? j->granted_at : now;
	struct hop_load load = get_own_load(n);
	char id[LOG_ID_BYTES];
	bool ok = status > 0 && status < 400;

	if (!spend_log_budget(n, ok ? &n->ok_job_lines : &n->failed_job_lines,
		ok ? OK_CALLS_MAX : FAILED_CALLS_MAX))
		return;
	WRITE_EVENT(ok ? LOG_LEVEL_INFO : LOG_LEVEL_NOTICE, "serve.ended",
	    LOG_TEXT("call", format_log_id(id, j->spec.id)),
	    LOG_STR("kind", j->spec.kind), LOG_STR("account", j->spec.account),
	    LOG_TEXT("outcome", outcome), LOG_TEXT("reason", reason),
	    LOG_INT("status", status),
	    LOG_STR("caller_service", j->spec.caller_service),
	    LOG_TEXT("instance", get_backend_instance(n)),
	    LOG_INT("waited_us", (granted_at - j->offered_at) / NSEC_PER_USEC),
	    LOG_INT("run_us", service_ns / NSEC_PER_USEC),
	    LOG_INT(
		"target_left_us", (j->spec.target_at - now) / NSEC_PER_USEC),
	    LOG_BOOL("sent", j->sent), LOG_BOOL("resent", j->resent),
	    LOG_INT("in_flight", load.in_flight),
	    LOG_INT("queued", load.queued), LOG_INT("limit", load.limit),
	    LOG_INT("mean_run_us", j->node->service_ns / NSEC_PER_USEC),
	    LOG_REAL("rate_per_s", get_backend_rate(n)));
}

/*
 * Counts a call against the budget of the current window; false when it is
 * exhausted. The number of omitted calls is logged with the first call of a
 * later window.
 */
static bool
spend_log_budget(struct node *n, struct log_budget *b, int calls_max)
{
	int64_t window = get_reactor_now(n->reactor) / LOG_WINDOW_NS;

	if (window != b->window) {
		if (b->omitted > 0)
			WRITE_EVENT(LOG_LEVEL_NOTICE, "calls.omitted",
			    LOG_TEXT("of", b->scope),
			    LOG_INT("calls", b->omitted),
			    LOG_INT("windows_ago", window - b->window));
		b->window = window;
		b->written = b->omitted = 0;
	}
	if (b->written < calls_max) {
		b->written++;
		return true;
	}
	b->omitted++;
	return false;
}

/*
 * Logs a trace event; the names of its fields depend on the kind.
 */
static void
write_trace_event(const struct request *q, const struct trace_event *e)
{
	char id[LOG_ID_BYTES];
	struct log_field f[10] = {LOG_TEXT("call", format_log_id(id, q->id)),
	    LOG_INT("at_us", (e->at - q->arrived) / NSEC_PER_USEC)};
	const char *event = "";
	size_t n = 2;

	switch (e->kind) {
	case TRACE_ROUTED:
		event = "call.routed";
		f[n++] = LOG_TEXT("kind", q->policy.kind);
		f[n++] = LOG_TEXT("service", e->text);
		f[n++] = LOG_INT("version", e->a);
		f[n++] = LOG_INT("left_ms", e->b);
		f[n++] = LOG_INT("target_ms", e->c);
		f[n++] = LOG_INT("rank", q->policy.rank);
		f[n++] = LOG_BOOL("repeatable", q->policy.repeatable);
		break;
	case TRACE_OFFERED:
		event = "call.offered";
		f[n++] = LOG_TEXT("node", e->text);
		f[n++] = LOG_INT("in_flight", e->a);
		f[n++] = LOG_INT("queued", e->b);
		f[n++] = LOG_INT("report_age_ms", e->c);
		break;
	case TRACE_GRANTED:
		event = "call.granted";
		f[n++] = LOG_TEXT("node", e->text);
		f[n++] = LOG_INT("waited_ms", e->a);
		break;
	case TRACE_REFUSED:
		event = "call.declined";
		f[n++] = LOG_TEXT("node", e->text);
		f[n++] = LOG_TEXT(
		    "reason", get_refuse_name((enum refuse_reason)e->a));
		f[n++] = LOG_INT("retry_ms", e->b);
		f[n++] = LOG_BOOL("by_backend", e->c);
		break;
	case TRACE_FAILED:
		event = "call.failed";
		f[n++] = LOG_TEXT("node", e->text);
		f[n++] = LOG_TEXT(
		    "cause", get_attempt_end_name((enum attempt_end)e->a));
		f[n++] = LOG_BOOL("may_have_run", e->b == 0);
		break;
	case TRACE_ANSWERED:
		event = "call.answered";
		f[n++] = LOG_TEXT("node", e->text);
		f[n++] = LOG_INT("status", e->a);
		f[n++] = LOG_INT("run_us", e->b);
		break;
	case TRACE_UNRESPONSIVE:
		event = "call.silent";
		f[n++] = LOG_TEXT("node", e->text);
		break;
	case TRACE_HEDGED:
		event = "call.hedged";
		f[n++] = LOG_TEXT("node", e->text);
		f[n++] = LOG_INT("waited_ms", e->a);
		break;
	case TRACE_NO_RETRY:
		event = "call.not-retried";
		f[n++] = LOG_TEXT("reason", e->text);
		f[n++] = LOG_INT("arrivals", e->a);
		break;
	case TRACE_DISCONNECTED:
		event = "call.caller-left";
		break;
	case TRACE_EXPIRED:
		event = "call.expired";
		break;
	}
	write_event(LOG_LEVEL_NOTICE, event, f, n);
}

/*
 * Logs the last line of a call, call.ended.
 */
static void
write_end(const struct request *q, int status, const char *outcome)
{
	int64_t now = get_reactor_now(q->node->reactor);
	char id[LOG_ID_BYTES];

	WRITE_EVENT(status >= 400 ? LOG_LEVEL_NOTICE : LOG_LEVEL_INFO,
	    "call.ended", LOG_TEXT("call", format_log_id(id, q->id)),
	    LOG_TEXT("kind", q->policy.kind),
	    LOG_TEXT("account", q->policy.account),
	    LOG_TEXT("service", q->service != NULL ? q->service->name : ""),
	    LOG_INT("status", status), LOG_TEXT("outcome", outcome),
	    LOG_TEXT("reason",
		q->reason != REFUSE_NONE ? get_refuse_name(q->reason) : ""),
	    LOG_BOOL("may_have_run", q->may_have_run),
	    LOG_INT("total_us", (now - q->arrived) / NSEC_PER_USEC),
	    LOG_BOOL("late", q->target_at != 0 && now > q->target_at),
	    LOG_INT("offers", q->offers), LOG_INT("arrivals", q->arrivals),
	    LOG_INT("version", q->policy.version),
	    LOG_TEXT(
		"node", q->attempt.peer != NULL ? q->attempt.peer->id : ""),
	    LOG_INT("notes", q->trace_count));
}

/*
 * Returns the name of a cause as printed in log lines.
 */
const char *
get_attempt_end_name(enum attempt_end cause)
{
	static const char *const names[] = {
	    [ATTEMPT_NOT_CONNECTED] = "not-connected",
	    [ATTEMPT_BROKEN] = "broken",
	    [ATTEMPT_TIMEOUT] = "timeout",
	    [ATTEMPT_CANCELLED] = "cancelled",
	    [ATTEMPT_ANSWERED] = "bad-answer",
	};

	return names[cause];
}
