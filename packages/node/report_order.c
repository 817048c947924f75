/*
 * Order of the reports of the backend server: by the birth of its incarnation,
 * then by sequence.
 */
#include <string.h>

#include "backend_state.h"

/*
 * A server that reports as one born earlier is the one that runs if the known
 * one has been silent for so long, three reports at the usual 1 to 1.5 s, and
 * two of its own came half as far apart. Reports that were delayed come while
 * the known one reports, or all at once.
 */
#define KNOWN_SILENT_NS (3 * NSEC_PER_SEC)
#define EARLIER_SPAN_NS (KNOWN_SILENT_NS / 2)

static bool has_replaced_known(
    struct backend *b, const struct backend_report *r, int64_t now);

/*
 * Says whether a report belongs to an earlier incarnation of the backend server
 * or was overtaken by a newer one. A report that makes the state worse is
 * accepted even when it was overtaken.
 */
bool
is_stale_report(struct backend *b, const struct backend_report *r, int64_t now)
{
	if (!b->reported)
		return false;
	if (r->start_ms != 0 && b->start_ms != 0 && r->start_ms != b->start_ms)
		return r->start_ms < b->start_ms &&
		       !has_replaced_known(b, r, now);
	/* The first report of a new instance is never REPORT_GONE. */
	if (strcmp(b->instance, r->id) != 0)
		return r->state == REPORT_GONE;
	return r->seq != 0 && r->seq <= b->seq && r->state <= b->state;
}

/*
 * Says whether a server that was born earlier by its own account has taken the
 * place of the known one: the time of day was set back before it was started.
 */
static bool
has_replaced_known(
    struct backend *b, const struct backend_report *r, int64_t now)
{
	if (r->state == REPORT_GONE || r->seq == 0)
		return false;
	if (b->earlier.start_ms != r->start_ms)
		b->earlier = (struct earlier_birth){r->start_ms, r->seq, now};
	return r->seq > b->earlier.seq &&
	       now - b->earlier.reported_at >= EARLIER_SPAN_NS &&
	       now - b->reported_at >= KNOWN_SILENT_NS;
}
