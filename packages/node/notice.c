/*
 * What the backend server says of itself in its answers: the rate of calls that
 * it accepts, and that it is leaving. This node is the only way to its backend
 * server, so a limit that it keeps holds for the calls of all entry nodes
 * together.
 */
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "backend_state.h"

#define RATE_TEXT_MAX 32 /* characters of a rate */
#define RATE_PER_S_MAX 1e6
#define NOTICE_INTERVAL_NS (500 * NSEC_PER_MSEC) /* between changed limits */
#define NOTICE_CHANGE 0.1 /* smaller changes of a limit are not sent */

static void adopt_own_notice(struct node *n, const struct hop_notice *m);
static int append_leavings(struct node *n);
static void keep_returned(struct backend *b, const struct returned_notice *r);
static void apply_returned(struct node *n, const struct returned_notice *r);
static bool is_stricter(double rate, double other);
static void apply_rate(struct node *n, const struct http_head *h, bool sealed);
static void update_rate(struct node *n, double per_s);
static bool is_notice_outdated(const struct backend *b, int64_t now);
static int parse_rate(struct str text, double *out);

/*
 * Applies the notices in the head of an answer to a call. sealed: it has the
 * backend server's signature. A limit holds until such an answer does not name
 * it; refusals without a signature need not repeat it.
 */
void
apply_answer_notices(struct node *n, const struct http_head *h, bool sealed)
{
	const struct call_names *names = &n->cfg.names;

	n->backend->answered = n->backend->answered || sealed;
	if (names->rate_limit != NULL)
		apply_rate(n, h, sealed);
	if (names->leaving != NULL &&
	    is_str_equal(find_http_header(h, names->leaving), make_str("1")))
		mark_backend_leaving(n);
}

/*
 * The backend server has started, or is known for the first time: forgets the
 * notices of its last run and applies what entry nodes have returned for this
 * one, which is the case after a restart of this node alone.
 */
void
start_notices(struct node *n)
{
	struct backend *b = n->backend;
	struct returned_notice r = b->returned;

	b->bad_notice = b->answered = false;
	b->returned = (struct returned_notice){.rate_per_s = NO_RATE_LIMIT};
	update_rate(n, NO_RATE_LIMIT);
	if (strcmp(r.instance, b->instance) == 0 && r.start_ms == b->start_ms)
		apply_returned(n, &r);
	else
		update_notice(n);
}

/*
 * Handles notices that another node returned: what this node sent before it last
 * started, among those of the other node itself.
 */
void
adopt_notice(struct node *n, struct str message)
{
	while (n->backend != NULL && message.len > 0) {
		struct hop_notice m = {0};
		struct str rest;

		if (decode_hop_message(
			message, (xdrproc_t)xdr_hop_notice, &m, &rest) != 0) {
			write_log(LOG_LEVEL_WARNING,
			    "a returned notice cannot be read and is ignored");
			return;
		}
		if (strcmp(m.node, n->cfg.name) == 0)
			adopt_own_notice(n, &m);
		unload_hop_message((xdrproc_t)xdr_hop_notice, &m);
		message = rest;
	}
}

/*
 * A limit counts until the backend server itself answers. Of several the most
 * restrictive one counts, since entry nodes may not have heard of the end of a
 * limit. A leaving is final.
 */
static void
adopt_own_notice(struct node *n, const struct hop_notice *m)
{
	struct backend *b = n->backend;
	struct returned_notice r = {.start_ms = m->start_ms,
	    .rate_per_s = m->rate_per_s >= 0 ? m->rate_per_s : NO_RATE_LIMIT,
	    .leaving = m->leaving};

	if (copy_str(r.instance, sizeof(r.instance), make_str(m->instance)) !=
	    0)
		return;
	if (m->leaving)
		adopt_leaving(n, r.instance, r.start_ms, false);
	if (b->answered)
		return;
	if (r.rate_per_s > RATE_PER_S_MAX)
		r.rate_per_s = RATE_PER_S_MAX;
	if (!b->reported)
		keep_returned(b, &r);
	else if (strcmp(r.instance, b->instance) == 0 &&
		 r.start_ms == b->start_ms)
		apply_returned(n, &r);
}

/*
 * An earlier process of this node has acknowledged that the instance leaves, or
 * has read so in an answer.
 */
void
adopt_leaving(
    struct node *n, const char *instance, int64_t born_until_ms, bool recorded)
{
	struct backend *b = n->backend;

	if (record_leaving(
		b, instance, born_until_ms, get_reactor_now(n->reactor))) {
		WRITE_EVENT(LOG_LEVEL_NOTICE, "leaving.returned",
		    LOG_TEXT("instance", instance),
		    LOG_INT("born_until_ms", born_until_ms),
		    LOG_BOOL("recorded", recorded));
		find_leaving(b, instance)->recorded = recorded;
	}
	if (b->reported && strcmp(instance, b->instance) == 0 &&
	    b->start_ms <= born_until_ms)
		mark_backend_leaving(n);
	record_leavings(n);
}

struct str
get_own_notice(const struct node *n)
{
	return n->backend != NULL ? view_buf(&n->backend->notice) :
				    make_str("");
}

/*
 * Encodes the present notices for entry nodes: of the known run, and of others
 * that leave. They stay empty until there is something to say.
 */
void
update_notice(struct node *n)
{
	struct backend *b = n->backend;
	struct hop_notice m = {
	    .node = (char *)(uintptr_t)n->cfg.name,
	    .instance = b->instance,
	    .start_ms = b->start_ms,
	    .rate_per_s = b->rate_per_s,
	    .leaving = b->state != REPORT_READY,
	};

	if (b->notice.len == 0 && m.rate_per_s < 0 && !m.leaving &&
	    !has_leavings(b, get_reactor_now(n->reactor)))
		return;
	b->notice.len = 0;
	b->sent_rate = b->rate_per_s;
	b->notice_at = get_reactor_now(n->reactor);
	if (append_hop_message(&b->notice, (xdrproc_t)xdr_hop_notice, &m) ==
		0 &&
	    append_leavings(n) == 0)
		return;
	b->notice.len = 0;
	write_log(LOG_LEVEL_ERR,
	    "out of memory: entry nodes do not learn the notices of instance "
	    "%s",
	    b->instance);
}

/*
 * Appends a notice for each instance that leaves or has left. Returns
 * ERR_MEMORY.
 */
static int
append_leavings(struct node *n)
{
	struct backend *b = n->backend;
	int64_t now = get_reactor_now(n->reactor);
	int rc = 0;

	for (size_t i = 0; i < LEAVINGS_MAX && rc == 0; i++) {
		struct leaving *l = &b->leavings[i];
		struct hop_notice m = {
		    .node = (char *)(uintptr_t)n->cfg.name,
		    .instance = l->instance,
		    .start_ms = l->born_until_ms,
		    .rate_per_s = NO_RATE_LIMIT,
		    .leaving = true,
		};

		if (is_leaving_kept(l, now))
			rc = append_hop_message(
			    &b->notice, (xdrproc_t)xdr_hop_notice, &m);
	}
	return rc;
}

/*
 * Keeps a returned notice until the first report of the backend server.
 */
static void
keep_returned(struct backend *b, const struct returned_notice *r)
{
	struct returned_notice *kept = &b->returned;

	if (strcmp(kept->instance, r->instance) != 0 ||
	    kept->start_ms != r->start_ms) {
		/* A limit is not given up for the leaving of another server. */
		if (kept->rate_per_s < 0 || r->rate_per_s >= 0)
			*kept = *r;
		return;
	}
	if (is_stricter(r->rate_per_s, kept->rate_per_s))
		kept->rate_per_s = r->rate_per_s;
	kept->leaving = kept->leaving || r->leaving;
}

/*
 * Applies a returned notice to the present run of the backend server.
 */
static void
apply_returned(struct node *n, const struct returned_notice *r)
{
	if (is_stricter(r->rate_per_s, n->backend->rate_per_s))
		update_rate(n, r->rate_per_s);
	if (r->leaving)
		mark_backend_leaving(n);
}

static bool
is_stricter(double rate, double other)
{
	return rate >= 0 && (other < 0 || rate < other);
}

/*
 * Applies the limit that an answer names, or its absence. Text that is no rate
 * leaves the former limit in force.
 */
static void
apply_rate(struct node *n, const struct http_head *h, bool sealed)
{
	struct str text = find_http_header(h, n->cfg.names.rate_limit);
	double per_s;

	if (text.data == NULL) {
		if (sealed)
			update_rate(n, NO_RATE_LIMIT);
	} else if (parse_rate(text, &per_s) == 0) {
		update_rate(n, per_s);
	} else if (!n->backend->bad_notice) {
		n->backend->bad_notice = true;
		write_log(LOG_LEVEL_WARNING,
		    "instance %s names a rate that is no decimal number: "
		    "\"%.*s\"; it is ignored",
		    n->backend->instance,
		    text.len < RATE_TEXT_MAX ? (int)text.len : RATE_TEXT_MAX,
		    text.data);
	}
}

/*
 * Sets the limit that admission keeps, calls per second or NO_RATE_LIMIT. Its
 * beginning, its end and larger changes are logged and sent to entry nodes,
 * whose choice depends on the load.
 */
static void
update_rate(struct node *n, double per_s)
{
	struct backend *b = n->backend;
	bool switched = (b->rate_per_s >= 0) != (per_s >= 0);

	if (per_s == b->rate_per_s)
		return;
	b->rate_per_s = per_s;
	set_serving_rate(n, per_s);
	if (!switched && !is_notice_outdated(b, get_reactor_now(n->reactor)))
		return;
	update_notice(n);
	WRITE_EVENT(LOG_LEVEL_NOTICE, "backend.limit",
	    LOG_TEXT("instance", b->instance), LOG_BOOL("limited", per_s >= 0),
	    LOG_REAL("per_s", per_s >= 0 ? per_s : 0));
	broadcast_load(n);
}

/*
 * Says whether the limit differs enough from the one that entry nodes know. Not
 * each answer that names another limit is worth a message to all of them.
 */
static bool
is_notice_outdated(const struct backend *b, int64_t now)
{
	double change = b->rate_per_s - b->sent_rate;

	return now - b->notice_at >= NOTICE_INTERVAL_NS &&
	       (change > NOTICE_CHANGE * b->sent_rate ||
		   change < -NOTICE_CHANGE * b->sent_rate);
}

/*
 * Reads digits with at most one point among them. Returns ERR_INVALID for
 * anything else.
 */
static int
parse_rate(struct str text, double *out)
{
	char digits[RATE_TEXT_MAX + 1];
	char *end;

	if (text.len == 0 || copy_str(digits, sizeof(digits), text) != 0 ||
	    strspn(digits, "0123456789.") != text.len)
		return ERR_INVALID;
	*out = strtod(digits, &end);
	if (*end != '\0' || digits[0] == '.')
		return ERR_INVALID;
	if (*out > RATE_PER_S_MAX)
		*out = RATE_PER_S_MAX;
	return 0;
}
