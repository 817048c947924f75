/*
 * Order of the reports of the backend server: by the birth of its incarnation,
 * then by sequence; and the incarnations that have said that they leave.
 */
#include <stdio.h>
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
/*
 * A server that leaves serves on for many seconds at times, and its reports may
 * arrive seconds late. After this time it has exited, and a report that it is
 * ready comes from a later start.
 */
#define LEAVING_KEPT_NS (30 * NSEC_PER_SEC)

static bool has_replaced_known(
    struct backend *b, const struct backend_report *r, int64_t now);

/*
 * Says whether a report belongs to an earlier incarnation of the backend server,
 * to one that has said that it leaves, or was overtaken by a newer one. A report
 * that makes the state worse is accepted even when it was overtaken.
 */
bool
is_stale_report(struct backend *b, const struct backend_report *r, int64_t now)
{
	if (is_from_leaving(b, r, now))
		return true;
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
 * Remembers that a server leaves, as its report says, whether or not the report
 * is applied: its acknowledgement binds. A report without a birth comes from a
 * server that has been started by now. Returns whether this is news.
 */
bool
record_reported_leaving(struct backend *b, const struct backend_report *r,
    int64_t now, int64_t wall_ms)
{
	int64_t until = r->start_ms;

	if (r->state == REPORT_READY)
		return false;
	if (until == 0) {
		until = wall_ms;
		/* The time of day may have been set back since its birth. */
		if (strcmp(b->instance, r->id) == 0 && b->start_ms > until)
			until = b->start_ms;
	}
	return record_leaving(b, r->id, until, now);
}

bool
record_leaving(
    struct backend *b, const char *instance, int64_t born_until_ms, int64_t now)
{
	struct leaving *l = &b->leavings[0];
	bool news;

	for (size_t i = 0; i < LEAVINGS_MAX; i++) {
		struct leaving *at = &b->leavings[i];

		if (strcmp(at->instance, instance) == 0) {
			l = at;
			break;
		}
		if (at->instance[0] == '\0' ||
		    (l->instance[0] != '\0' && at->at < l->at))
			l = at;
	}
	news = strcmp(l->instance, instance) != 0 ||
	       born_until_ms > l->born_until_ms;
	if (news) {
		snprintf(l->instance, sizeof(l->instance), "%s", instance);
		l->born_until_ms = born_until_ms;
		l->recorded = false;
	}
	l->at = now;
	return news;
}

struct leaving *
find_leaving(struct backend *b, const char *instance)
{
	for (size_t i = 0; i < LEAVINGS_MAX; i++) {
		if (strcmp(b->leavings[i].instance, instance) == 0)
			return &b->leavings[i];
	}
	return NULL;
}

bool
is_leaving_kept(const struct leaving *l, int64_t now)
{
	return l->instance[0] != '\0' && now - l->at < LEAVING_KEPT_NS;
}

bool
has_leavings(const struct backend *b, int64_t now)
{
	for (size_t i = 0; i < LEAVINGS_MAX; i++) {
		if (is_leaving_kept(&b->leavings[i], now))
			return true;
	}
	return false;
}

/*
 * Says whether a report comes from an incarnation that has said that it leaves,
 * other than the known one, whose state does not become ready again anyway.
 */
bool
is_from_leaving(
    const struct backend *b, const struct backend_report *r, int64_t now)
{
	if (b->reported && strcmp(b->instance, r->id) == 0 &&
	    (r->start_ms == 0 || r->start_ms == b->start_ms))
		return false;
	for (size_t i = 0; i < LEAVINGS_MAX; i++) {
		const struct leaving *l = &b->leavings[i];

		if (strcmp(l->instance, r->id) == 0)
			return r->start_ms <= l->born_until_ms &&
			       is_leaving_kept(l, now);
	}
	return false;
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
