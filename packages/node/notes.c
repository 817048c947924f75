/*
 * Decisions about a call, remembered with it and written when they explain
 * something.
 */
#include <string.h>

#include "node_state.h"

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

void
log_request(struct request *q, int status, const char *outcome)
{
	static const char *const names[] = {"routed", "offered", "granted",
	    "refused", "failed", "answered", "silent", "no-retry",
	    "caller-left", "expired"};

	if (status < 400)
		return;
	for (size_t i = 0; i < q->note_count; i++) {
		const struct note *m = &q->notes[i];

		write_log(LOG_LEVEL_INFO, "call %s %s: %s %s %d %d %d at %lld",
		    q->id, q->terms.kind, names[m->kind], m->text, m->a, m->b,
		    m->c, (long long)((m->at - q->arrived) / NSEC_PER_USEC));
	}
	write_log(LOG_LEVEL_INFO, "call %s %s: %d %s", q->id, q->terms.kind,
	    status, outcome);
}
