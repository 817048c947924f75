/*
 * Roll-outs at a node: which version a call may use, what comes of it, and the
 * reports of that to the control processes.
 */
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "node_state.h"

#define REPORT_INTERVAL_NS (250 * NSEC_PER_MSEC)
/*
 * Without an answer to a report for this long, the trial may have ended
 * unnoticed: several reports in a row were lost.
 */
#define TOUCH_NS (1500 * NSEC_PER_MSEC)
/*
 * The old version still accepts calls for this long after all have moved, from
 * entry nodes that learn of it a little later.
 */
#define CLOSE_NS (300 * NSEC_PER_MSEC)
/*
 * Servers that have just started are slow for some seconds, which is no fault.
 * A slow version must still be found within the time to end the calls to it.
 */
#define WARMUP_SHARE 0.7 /* of rollback_ns */

static void apply_rollout(
    struct node *n, struct service *s, const struct agent_rollout *r);
static void run_report(struct timer *t);
static size_t fill_ages(
    struct node *n, struct wire_rollout_age *out, size_t max);
static size_t fill_counts(
    struct node *n, struct wire_rollout_counts *out, size_t max);
static void fill_count(const struct service *s, const struct row_counts *r,
    bool target, struct wire_rollout_counts *out);
static bool is_close_pending(struct node *n);
static bool has_usable_version(const struct request *q);
static bool is_target(const struct service *s, const char *version);
static struct row_counts *get_row_counts(struct service *s, const char *kind);
static int64_t get_warmup_ns(const struct node *n);

/*
 * Follows the list of the agent. While a roll-out runs, reports are sent.
 */
void
apply_rollouts(struct node *n)
{
	struct rollout_view v;
	bool runs = false;

	get_agent_rollouts(n->cfg.agent, &v);
	for (size_t i = 0; i < v.count; i++) {
		struct service *s = find_node_service(n, v.items[i].service);

		if (s == NULL)
			continue;
		apply_rollout(n, s, &v.items[i]);
		runs = runs || is_service_rolling_out(s);
	}
	if (runs && (v.change != n->rollout_change || !n->rollout_reports))
		set_timer(n->reactor, &n->rollout_timer,
		    get_reactor_now(n->reactor), run_report);
	n->rollout_change = v.change;
	n->rollout_reports = runs;
}

/*
 * Forgets the roll-out of a service and what was seen of it.
 */
void
clear_rollout(struct service *s)
{
	struct row_counts *r;

	while ((r = s->rollout.rows) != NULL) {
		s->rollout.rows = r->next;
		free(r);
	}
	s->rollout = (struct service_rollout){0};
}

/*
 * Entry nodes that have not heard of a phase are refused here, so that a phase
 * holds once the serving nodes know it.
 */
bool
is_server_closed(struct node *n)
{
	const char *version = get_backend_version(n);
	struct service *s;

	if (n->cfg.trial_share <= 0 || n->cfg.service == NULL)
		return false;
	s = find_node_service(n, n->cfg.service);
	if (s == NULL || s->rollout.number == 0)
		return false;
	if (s->rollout.phase == ROLLOUT_MOVED)
		return !is_target(s, version) &&
		       get_reactor_now(n->reactor) - s->rollout.phase_at >=
			   CLOSE_NS;
	/* It stays closed until it is stopped; one that starts later is open. */
	if (s->rollout.phase == ROLLOUT_COMPLETED)
		return !is_target(s, version) && s->rollout.closed_run != 0 &&
		       s->rollout.closed_run == get_backend_run(n);
	return s->rollout.phase == ROLLOUT_ROLLED_BACK && is_target(s, version);
}

/*
 * Asks for the list, as a version came up that the last one may not know.
 */
void
confirm_rollouts(struct node *n)
{
	set_timer(n->reactor, &n->rollout_timer, get_reactor_now(n->reactor),
	    run_report);
}

void
choose_call_version(struct request *q)
{
	struct service_rollout *r = &q->service->rollout;
	int64_t now = get_reactor_now(q->node->reactor);
	bool in_touch = true;

	q->side = ROLLOUT_ANY;
	if (r->number == 0)
		return;
	if (r->phase == ROLLOUT_TRIAL) {
		in_touch =
		    now - get_rollout_contact(q->node->cfg.agent) < TOUCH_NS;
		if (!q->trial_counted)
			r->credit = add_trial_call(r->credit,
			    get_trial_share(q->node->cfg.trial_share,
				now - r->learned_at, get_warmup_ns(q->node)));
		q->trial_counted = true;
	}
	q->side = choose_rollout_side(r->phase, r->credit, in_touch);
}

bool
relax_call_version(struct request *q)
{
	bool trial = q->side == ROLLOUT_NEW &&
		     q->service->rollout.phase == ROLLOUT_TRIAL;

	if (!trial && q->side != ROLLOUT_PREFER_NEW)
		return false;
	/* After the move the old servers are stopped without draining. */
	if (!trial && has_usable_version(q))
		return false;
	q->side = ROLLOUT_OLD;
	return true;
}

/*
 * Says whether a server of the version that the call goes to accepts calls,
 * also one that has refused this call.
 */
static bool
has_usable_version(const struct request *q)
{
	for (size_t i = 0; i < q->service->peer_count; i++) {
		const struct peer *p = q->service->peers[i];

		if (p->usable && is_version_allowed(q, p))
			return true;
	}
	return false;
}

/*
 * The share of a trial is meant for first sends; a hedge is sent because a
 * server is slow, which a version on trial must show and not make good.
 */
void
use_settled_version(struct request *q)
{
	const struct service_rollout *r = &q->service->rollout;

	if (r->number != 0 && r->phase == ROLLOUT_TRIAL)
		q->side = ROLLOUT_OLD;
}

/*
 * Without a roll-out, a version beside that of the first server is used once a
 * list that is newer than the server says that there is no roll-out.
 */
bool
is_version_allowed(const struct request *q, const struct peer *p)
{
	const struct service *s = q->service;

	if (q->node->cfg.trial_share <= 0)
		return true;
	switch (q->side) {
	case ROLLOUT_ANY:
		return p->version[0] == '\0' ||
		       strcmp(p->version, s->base_version) == 0 ||
		       get_rollout_contact(q->node->cfg.agent) > p->version_at;
	case ROLLOUT_OLD:
		return !is_target(s, p->version);
	case ROLLOUT_NEW:
		return is_target(s, p->version);
	case ROLLOUT_PREFER_NEW:
		/* Later servers of any version are no longer the old ones. */
		return is_target(s, p->version) ||
		       p->version_at > s->rollout.phase_at;
	}
	return false;
}

void
count_version_offer(struct request *q, const struct peer *p)
{
	struct service_rollout *r = &q->service->rollout;

	if (r->number == 0 || r->phase != ROLLOUT_TRIAL ||
	    !is_target(q->service, p->version))
		return;
	r->credit--;
	count_metric(q->node->metrics.rollout_offers_total, 1);
}

/*
 * Counts the outcome of the current attempt while a roll-out of the service
 * runs. Latencies of servers that have just started are left out.
 */
void
record_version_answer(struct request *q, bool failed, int64_t service_ns)
{
	const struct peer *p = q->attempt.peer;
	int64_t now = get_reactor_now(q->node->reactor);
	struct rollout_counts *c;
	struct row_counts *r;
	bool target;

	if (!is_service_rolling_out(q->service))
		return;
	r = get_row_counts(q->service, q->policy.kind);
	if (r == NULL)
		return;
	target = is_target(q->service, p->version);
	c = target ? &r->after : &r->before;
	c->answers++;
	if (failed)
		c->failed++;
	else if (service_ns > 0 &&
		 (!target || now - p->version_at >= get_warmup_ns(q->node)))
		c->latency[get_rollout_bucket(service_ns)]++;
	if (failed && target)
		count_metric(q->node->metrics.rollout_failed_total, 1);
}

/*
 * The answer would have taken at least as long as it was waited for. A version
 * whose answers come after their callers have left, or after a hedge was
 * answered, would otherwise leave no trace.
 */
void
record_version_leave(struct request *q)
{
	record_version_answer(q, false,
	    get_reactor_now(q->node->reactor) - q->attempt.started_at);
}

/*
 * Puts a phase in force. An order that is new to the node begins without
 * evidence.
 */
static void
apply_rollout(struct node *n, struct service *s, const struct agent_rollout *r)
{
	struct service_rollout *now = &s->rollout;
	bool fresh = now->number != r->number;

	if (!fresh && (int)now->phase == r->phase)
		return;
	if (fresh) {
		clear_rollout(s);
		now->number = r->number;
		now->learned_at = get_reactor_now(n->reactor);
		(void)copy_str(
		    now->target, sizeof(now->target), make_str(r->target));
	}
	now->phase = (enum rollout_phase)r->phase;
	now->phase_at = get_reactor_now(n->reactor);
	if (now->phase == ROLLOUT_MOVED)
		now->closed_run = get_backend_run(n);
	WRITE_EVENT(LOG_LEVEL_INFO, "rollout.applied",
	    LOG_TEXT("service", s->name), LOG_TEXT("target", now->target),
	    LOG_INT("number", now->number),
	    LOG_TEXT("phase", now->phase == ROLLOUT_MOVED ?
				  "moved" :
				  get_rollout_phase_name(now->phase)));
}

/*
 * Sends all counts. They are those since the node learned of the roll-outs, so
 * that a lost or repeated report does no harm.
 */
static void
run_report(struct timer *t)
{
	static char empty[1];
	struct node *n =
	    (struct node *)((char *)t - offsetof(struct node, rollout_timer));
	struct wire_rollout_age ages[AGENT_ROLLOUTS_MAX];
	struct wire_rollouts_args a = {
	    .node = (char *)(uintptr_t)n->cfg.name,
	    .incarnation = (uint64_t)n->started_wall_ns,
	    .seq = ++n->rollout_seq,
	    .held = is_close_pending(n) ? 0 : n->rollout_change,
	    .service = n->cfg.service != NULL ?
			   (char *)(uintptr_t)n->cfg.service :
			   empty,
	    .server_version = (char *)(uintptr_t)get_backend_version(n),
	    .running = (unsigned int)n->job_count,
	};
	struct buf report = {0};

	if (n->rollout_reports)
		set_timer(n->reactor, t,
		    get_reactor_now(n->reactor) + REPORT_INTERVAL_NS,
		    run_report);
	a.ages.ages_val = ages;
	a.ages.ages_len = (unsigned int)fill_ages(n, ages, AGENT_ROLLOUTS_MAX);
	a.counts.counts_val =
	    calloc(WIRE_ROLLOUT_COUNTS_MAX, sizeof(struct wire_rollout_counts));
	if (a.counts.counts_val == NULL)
		return;
	a.counts.counts_len = (unsigned int)fill_counts(
	    n, a.counts.counts_val, WIRE_ROLLOUT_COUNTS_MAX);
	if (encode_wire((xdrproc_t)xdr_wire_rollouts_args, &a, &report) == 0)
		report_rollouts(n->cfg.agent, &report);
	unload_buf(&report);
	for (unsigned int i = 0; i < a.counts.counts_len; i++)
		free(a.counts.counts_val[i].latency.latency_val);
	free(a.counts.counts_val);
}

static size_t
fill_ages(struct node *n, struct wire_rollout_age *out, size_t max)
{
	int64_t now = get_reactor_now(n->reactor);
	size_t count = 0;

	for (struct service *s = n->services; s != NULL && count < max;
	     s = s->next) {
		if (!is_service_rolling_out(s))
			continue;
		out[count++] = (struct wire_rollout_age){s->rollout.number,
		    (unsigned int)((now - s->rollout.learned_at) /
				   NSEC_PER_MSEC)};
	}
	return count;
}

/*
 * The histograms in out are allocated; a row without memory is left out.
 */
static size_t
fill_counts(struct node *n, struct wire_rollout_counts *out, size_t max)
{
	size_t count = 0;

	for (struct service *s = n->services; s != NULL; s = s->next) {
		if (!is_service_rolling_out(s))
			continue;
		for (struct row_counts *r = s->rollout.rows;
		     r != NULL && count + 2 <= max; r = r->next) {
			if (r->before.answers > 0)
				fill_count(s, r, false, &out[count++]);
			if (r->after.answers > 0)
				fill_count(s, r, true, &out[count++]);
		}
	}
	return count;
}

static void
fill_count(const struct service *s, const struct row_counts *r, bool target,
    struct wire_rollout_counts *out)
{
	const struct rollout_counts *c = target ? &r->after : &r->before;
	unsigned int *v = calloc(ROLLOUT_BUCKETS, sizeof(*v));

	*out = (struct wire_rollout_counts){.number = s->rollout.number,
	    .row = (char *)(uintptr_t)r->kind,
	    .target = target,
	    .answers = (unsigned int)c->answers,
	    .failed = (unsigned int)c->failed};
	if (v == NULL)
		return;
	for (int i = 0; i < ROLLOUT_BUCKETS; i++)
		v[i] = (unsigned int)c->latency[i];
	out->latency.latency_val = v;
	out->latency.latency_len = ROLLOUT_BUCKETS;
}

/*
 * Calls have moved, but this node's server of the old version still accepts
 * some: the leader must not take it for idle.
 */
static bool
is_close_pending(struct node *n)
{
	const struct service *s = n->cfg.service != NULL ?
				      find_node_service(n, n->cfg.service) :
				      NULL;

	return s != NULL && s->rollout.phase == ROLLOUT_MOVED &&
	       !is_target(s, get_backend_version(n)) && !is_server_closed(n);
}

bool
is_service_rolling_out(const struct service *s)
{
	return s->rollout.number != 0 && (s->rollout.phase == ROLLOUT_TRIAL ||
					     s->rollout.phase == ROLLOUT_MOVED);
}

static bool
is_target(const struct service *s, const char *version)
{
	return strcmp(s->rollout.target, version) == 0;
}

/*
 * Returns the counts of a kind; NULL when out of memory.
 */
static struct row_counts *
get_row_counts(struct service *s, const char *kind)
{
	struct row_counts *r = s->rollout.rows;

	while (r != NULL && strcmp(r->kind, kind) != 0)
		r = r->next;
	if (r != NULL)
		return r;
	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return NULL;
	(void)copy_str(r->kind, sizeof(r->kind), make_str(kind));
	r->next = s->rollout.rows;
	s->rollout.rows = r;
	return r;
}

static int64_t
get_warmup_ns(const struct node *n)
{
	return (int64_t)(WARMUP_SHARE * (double)n->cfg.rollback_ns);
}
