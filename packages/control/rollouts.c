/*
 * Orders and phases of roll-outs. Equal commands give equal lists on all
 * voters: only the command, the table and the log time count.
 */
#include <string.h>

#include "rollouts.h"
#include "wire.h"

static bool is_service_named(const struct table *t, const char *service);
static struct rollout *add_rollout(struct rollout_list *l);
static bool is_same_order(
    const struct rollout *r, const struct command_rollout *c, int64_t log_ns);

int
apply_rollout(struct rollout_list *l, const struct table *t, int64_t log_ns,
    const struct command_rollout *c, const char **text)
{
	struct rollout *r = find_rollout(l, c->service);

	*text = "";
	if (c->target[0] == '\0' ||
	    strlen(c->target) >= ROLLOUT_VERSION_BYTES ||
	    c->duration_ms < ROLLOUT_DURATION_MIN_MS ||
	    c->duration_ms > ROLLOUT_DURATION_MAX_MS) {
		*text = "name a version of 1 to 32 bytes and a duration of 6 s "
			"to 24 h";
		return ERR_INVALID;
	}
	if (r != NULL && is_same_order(r, c, log_ns))
		return 0;
	if (r != NULL && is_rollout_running(r)) {
		*text = "another roll-out of the service runs; wait for its "
			"end";
		return ERR_CONFLICT;
	}
	if (!is_service_named(t, c->service)) {
		*text = "no row of the table names the service; check its "
			"name";
		return ERR_NOT_FOUND;
	}
	if (r == NULL)
		r = add_rollout(l);
	if (r == NULL) {
		*text = "too many roll-outs run; wait for the end of one";
		return ERR_LIMIT;
	}
	*r = (struct rollout){.number = ++l->change,
	    .change = l->change,
	    .phase = ROLLOUT_TRIAL,
	    .duration_ms = c->duration_ms,
	    .started_ns = log_ns};
	(void)copy_str(r->service, sizeof(r->service), make_str(c->service));
	(void)copy_str(r->target, sizeof(r->target), make_str(c->target));
	return 0;
}

/*
 * Phases only advance. A step of an earlier leader may arrive after one of its
 * successor.
 */
void
apply_rollout_step(struct rollout_list *l, const struct command_rollout_step *c)
{
	for (size_t i = 0; i < l->count; i++) {
		struct rollout *r = &l->items[i];

		if (r->number != c->number || !is_rollout_running(r) ||
		    c->phase <= (int)r->phase || c->phase > ROLLOUT_ROLLED_BACK)
			continue;
		r->phase = (enum rollout_phase)c->phase;
		r->change = ++l->change;
		(void)copy_str(
		    r->reason, sizeof(r->reason), make_str(c->reason));
	}
}

struct rollout *
find_rollout(struct rollout_list *l, const char *service)
{
	for (size_t i = 0; i < l->count; i++) {
		if (strcmp(l->items[i].service, service) == 0)
			return &l->items[i];
	}
	return NULL;
}

bool
is_rollout_running(const struct rollout *r)
{
	return r->phase == ROLLOUT_TRIAL || r->phase == ROLLOUT_MOVED;
}

bool
has_running_rollout(const struct rollout_list *l)
{
	for (size_t i = 0; i < l->count; i++) {
		if (is_rollout_running(&l->items[i]))
			return true;
	}
	return false;
}

/*
 * Appends a record for each roll-out, in the order of the list.
 */
int
save_rollouts(const struct rollout_list *l, struct buf *out)
{
	int rc = 0;

	for (size_t i = 0; i < l->count && rc == 0; i++) {
		const struct rollout *r = &l->items[i];
		struct stored_rollout s = {
		    .service = (char *)(uintptr_t)r->service,
		    .target = (char *)(uintptr_t)r->target,
		    .number = r->number,
		    .change = r->change,
		    .phase = (int)r->phase,
		    .duration_ms = r->duration_ms,
		    .started_ns = r->started_ns,
		    .reason = (char *)(uintptr_t)r->reason,
		};

		rc = append_stored(
		    out, STORED_ROLLOUT, (xdrproc_t)xdr_stored_rollout, &s);
	}
	return rc;
}

int
load_rollout(struct rollout_list *l, struct str body)
{
	struct stored_rollout s = {0};
	struct rollout *r;
	int rc = decode_wire((xdrproc_t)xdr_stored_rollout, body, &s);

	if (rc != 0)
		return rc;
	if (l->count == ROLLOUTS_MAX || find_rollout(l, s.service) != NULL ||
	    s.phase < ROLLOUT_TRIAL || s.phase > ROLLOUT_ROLLED_BACK) {
		rc = ERR_CORRUPT;
	} else {
		r = &l->items[l->count++];
		*r = (struct rollout){.number = s.number,
		    .change = s.change,
		    .phase = (enum rollout_phase)s.phase,
		    .duration_ms = s.duration_ms,
		    .started_ns = s.started_ns};
		if (copy_str(r->service, sizeof(r->service),
			make_str(s.service)) != 0 ||
		    copy_str(r->target, sizeof(r->target),
			make_str(s.target)) != 0 ||
		    copy_str(
			r->reason, sizeof(r->reason), make_str(s.reason)) != 0)
			rc = ERR_CORRUPT;
		if (r->change > l->change)
			l->change = r->change;
	}
	unload_wire((xdrproc_t)xdr_stored_rollout, &s);
	return rc;
}

/*
 * Says whether any row of the table may lead to the service, its splits
 * included.
 */
static bool
is_service_named(const struct table *t, const char *service)
{
	for (size_t i = 0; i < t->row_count; i++) {
		struct split_part parts[TABLE_SPLIT_MAX];
		int count = parse_split(t->rows[i], parts);

		if (strcmp(t->rows[i]->service, service) == 0)
			return true;
		for (int k = 0; k < count; k++) {
			if (strcmp(parts[k].service, service) == 0)
				return true;
		}
	}
	return false;
}

/*
 * Returns a place for a new roll-out, that of the oldest one that has ended if
 * the list is full; NULL if all run.
 */
static struct rollout *
add_rollout(struct rollout_list *l)
{
	struct rollout *oldest = NULL;

	if (l->count < ROLLOUTS_MAX)
		return &l->items[l->count++];
	for (size_t i = 0; i < l->count; i++) {
		struct rollout *r = &l->items[i];

		if (!is_rollout_running(r) &&
		    (oldest == NULL || r->number < oldest->number))
			oldest = r;
	}
	return oldest;
}

/*
 * A resent order is the one in force until its deadline has passed, whatever
 * became of it; a completed one also afterwards, as nothing is left to do.
 */
static bool
is_same_order(
    const struct rollout *r, const struct command_rollout *c, int64_t log_ns)
{
	if (strcmp(r->target, c->target) != 0)
		return false;
	if (r->phase == ROLLOUT_COMPLETED)
		return true;
	return r->duration_ms == c->duration_ms &&
	       (is_rollout_running(r) ||
		   log_ns - r->started_ns <
		       (int64_t)r->duration_ms * NSEC_PER_MSEC);
}
