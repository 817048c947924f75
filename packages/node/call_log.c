/*
 * Log lines of calls. Decisions are remembered with a call and written at its
 * end: all of them for a call that did not go well, one line for others. A
 * budget bounds the lines of a window; what is left out is counted.
 */
#include <string.h>

#include "log.h"
#include "node_state.h"

/*
 * Calls of a window whose lines are written. A failed call has ten lines of
 * 250 bytes, so that this is a quarter of a MB a second at most.
 */
#define WINDOW_NS (5 * NSEC_PER_SEC)
#define FAILED_CALLS 500
#define LATE_CALLS 50
#define ROUTINE_CALLS 5 /* for each kind of work */

static bool take_budget(struct node *n, struct log_budget *b, int most);
static void write_note(const struct request *q, const struct note *m);
static void write_end(const struct request *q, int status, const char *outcome);

void
add_note(struct request *q, enum note_kind kind, const char *text, int a, int b,
    int c)
{
	struct note *m;

	if (q->note_count == REQUEST_NOTES_MAX)
		return;
	m = &q->notes[q->note_count++];
	m->at = get_reactor_now(q->node->reactor);
	m->kind = kind;
	m->a = a;
	m->b = b;
	m->c = c;
	(void)copy_str(m->text, sizeof(m->text),
	    make_str_n(text, strnlen(text, sizeof(m->text) - 1)));
}

/*
 * Writes what led to the end of a call. status 0: the caller had left.
 */
void
log_request(struct request *q, int status, const char *outcome)
{
	struct node *n = q->node;
	int64_t now = get_reactor_now(n->reactor);
	bool failed = status == 0 || status >= 400;
	bool well = !failed && q->offers <= 1 && now <= q->target_at;
	bool taken;

	count_call_end(q, status);
	if (failed)
		taken = take_budget(n, &n->failed_lines, FAILED_CALLS);
	else if (well)
		taken = take_budget(n, &q->stats->routine_lines, ROUTINE_CALLS);
	else
		taken = take_budget(n, &n->late_lines, LATE_CALLS);
	if (!taken)
		return;
	for (size_t i = 0; i < q->note_count && !well; i++)
		write_note(q, &q->notes[i]);
	write_end(q, status, outcome);
}

/*
 * Writes the end of a call at the serving node. reason is empty where the
 * outcome says all.
 */
void
log_job(const struct job *j, const char *outcome, const char *reason,
    int status, int64_t run_ns)
{
	struct node *n = j->node;
	int64_t now = get_reactor_now(n->reactor);
	int64_t until = j->started != 0 ? j->started : now;
	struct hop_load load = get_own_load(n);
	bool well = status > 0 && status < 400;

	if (!take_budget(n, well ? &n->served_lines : &n->failed_jobs,
		well ? ROUTINE_CALLS : FAILED_CALLS))
		return;
	WRITE_EVENT(well ? LOG_LEVEL_INFO : LOG_LEVEL_NOTICE, "serve.ended",
	    LOG_STR("call", j->spec.id), LOG_STR("kind", j->spec.kind),
	    LOG_TEXT("outcome", outcome), LOG_TEXT("reason", reason),
	    LOG_INT("status", status),
	    LOG_STR("caller_service", j->spec.caller_service),
	    LOG_TEXT("instance", get_backend_instance(n)),
	    LOG_INT("waited_us", (until - j->offered) / NSEC_PER_USEC),
	    LOG_INT("run_us", run_ns / NSEC_PER_USEC),
	    LOG_INT(
		"target_left_us", (j->spec.target_at - now) / NSEC_PER_USEC),
	    LOG_BOOL("sent", j->sent), LOG_BOOL("resent", j->resent),
	    LOG_INT("in_flight", load.in_flight),
	    LOG_INT("queued", load.queued), LOG_INT("limit", load.limit),
	    LOG_INT("mean_run_us", load.service_us));
}

/*
 * Counts a call against the budget of the present window. The count of those
 * that were left out is written with the first call of a later one.
 */
static bool
take_budget(struct node *n, struct log_budget *b, int most)
{
	int64_t window = get_reactor_now(n->reactor) / WINDOW_NS;

	if (window != b->window) {
		if (b->omitted > 0)
			WRITE_EVENT(LOG_LEVEL_NOTICE, "calls.omitted",
			    LOG_TEXT("of", b->of), LOG_INT("calls", b->omitted),
			    LOG_INT("windows_ago", window - b->window));
		b->window = window;
		b->written = b->omitted = 0;
	}
	if (b->written < most) {
		b->written++;
		return true;
	}
	b->omitted++;
	return false;
}

static void
write_note(const struct request *q, const struct note *m)
{
	struct log_field f[10] = {LOG_TEXT("call", q->id),
	    LOG_INT("at_us", (m->at - q->arrived) / NSEC_PER_USEC)};
	const char *event = "";
	size_t n = 2;

	switch (m->kind) {
	case NOTE_ROUTED:
		event = "call.routed";
		f[n++] = LOG_TEXT("kind", q->terms.kind);
		f[n++] = LOG_TEXT("service", m->text);
		f[n++] = LOG_INT("version", m->a);
		f[n++] = LOG_INT("left_ms", m->b);
		f[n++] = LOG_INT("target_ms", m->c);
		f[n++] = LOG_INT("rank", q->terms.rank);
		f[n++] = LOG_BOOL("repeatable", q->terms.repeatable);
		break;
	case NOTE_OFFERED:
		event = "call.offered";
		f[n++] = LOG_TEXT("node", m->text);
		f[n++] = LOG_INT("in_flight", m->a);
		f[n++] = LOG_INT("queued", m->b);
		f[n++] = LOG_INT("report_age_ms", m->c);
		break;
	case NOTE_GRANTED:
		event = "call.granted";
		f[n++] = LOG_TEXT("node", m->text);
		f[n++] = LOG_INT("waited_ms", m->a);
		break;
	case NOTE_REFUSED:
		event = "call.declined";
		f[n++] = LOG_TEXT("node", m->text);
		f[n++] = LOG_TEXT(
		    "reason", get_refuse_name((enum refuse_reason)m->a));
		f[n++] = LOG_INT("retry_ms", m->b);
		f[n++] = LOG_BOOL("by_backend", m->c);
		break;
	case NOTE_FAILED:
		event = "call.failed";
		f[n++] = LOG_TEXT("node", m->text);
		f[n++] =
		    LOG_TEXT("cause", get_end_name((enum attempt_end)m->a));
		f[n++] = LOG_BOOL("may_have_run", m->b == 0);
		break;
	case NOTE_ANSWERED:
		event = "call.answered";
		f[n++] = LOG_TEXT("node", m->text);
		f[n++] = LOG_INT("status", m->a);
		f[n++] = LOG_INT("run_us", m->b);
		break;
	case NOTE_SILENT:
		event = "call.silent";
		f[n++] = LOG_TEXT("node", m->text);
		break;
	case NOTE_NO_RETRY:
		event = "call.not-retried";
		f[n++] = LOG_TEXT("reason", m->text);
		f[n++] = LOG_INT("arrivals", m->a);
		break;
	case NOTE_CALLER_LEFT:
		event = "call.caller-left";
		break;
	case NOTE_EXPIRED:
		event = "call.expired";
		break;
	}
	write_event(LOG_LEVEL_NOTICE, event, f, n);
}

static void
write_end(const struct request *q, int status, const char *outcome)
{
	int64_t now = get_reactor_now(q->node->reactor);

	WRITE_EVENT(status >= 400 ? LOG_LEVEL_NOTICE : LOG_LEVEL_INFO,
	    "call.ended", LOG_TEXT("call", q->id),
	    LOG_TEXT("kind", q->terms.kind),
	    LOG_TEXT("service", q->service != NULL ? q->service->name : ""),
	    LOG_INT("status", status), LOG_TEXT("outcome", outcome),
	    LOG_TEXT("reason",
		q->reason != REFUSE_NONE ? get_refuse_name(q->reason) : ""),
	    LOG_BOOL("may_have_run", q->unknown),
	    LOG_INT("total_us", (now - q->arrived) / NSEC_PER_USEC),
	    LOG_BOOL("late", q->target_at != 0 && now > q->target_at),
	    LOG_INT("offers", q->offers), LOG_INT("arrivals", q->arrivals),
	    LOG_INT("version", q->terms.version),
	    LOG_TEXT(
		"node", q->attempt.peer != NULL ? q->attempt.peer->id : ""),
	    LOG_INT("notes", q->note_count));
}

const char *
get_end_name(enum attempt_end cause)
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
