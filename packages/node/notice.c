/*
 * What the backend server says of itself in its answers: the rate of calls that
 * it accepts, and that it is leaving. This node is the only way to its backend server, so a limit that
 * it keeps holds for the calls of all entry nodes together.
 */
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "backend_state.h"

#define RATE_TEXT_MAX 32 /* characters of a rate */
#define RATE_PER_S_MAX 1e6

static void apply_rate(struct node *n, const struct http_head *h, bool sealed);
static void update_rate(struct node *n, double per_s);
static int parse_rate(struct str text, double *out);

/*
 * Applies the notices in the head of an answer of the backend server to a call.
 * A limit holds until a signed answer does not name it.
 */
void
apply_answer_notices(struct node *n, const struct http_head *h, bool sealed)
{
	const struct call_names *names = &n->cfg.names;

	if (names->rate_limit != NULL)
		apply_rate(n, h, sealed);
	if (names->leaving != NULL &&
	    is_str_equal(find_http_header(h, names->leaving), make_str("1")))
		mark_backend_leaving(n);
}

/*
 * Forgets the notices, when the backend server has started anew.
 */
void
clear_notices(struct node *n)
{
	n->backend->bad_notice = false;
	update_rate(n, NO_RATE_LIMIT);
}

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
 * beginning and its end are logged and sent to entry nodes, whose choice
 * depends on the load.
 */
static void
update_rate(struct node *n, double per_s)
{
	struct backend *b = n->backend;
	bool limited = b->rate_per_s >= 0;

	if (per_s == b->rate_per_s)
		return;
	b->rate_per_s = per_s;
	set_serving_rate(n, per_s);
	if (limited == (per_s >= 0))
		return;
	WRITE_EVENT(LOG_LEVEL_NOTICE, "backend.limit",
	    LOG_TEXT("instance", b->instance), LOG_BOOL("limited", per_s >= 0),
	    LOG_REAL("per_s", per_s >= 0 ? per_s : 0));
	broadcast_load(n);
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
