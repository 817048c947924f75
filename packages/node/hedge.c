/*
 * Hedged sends: a slow call is sent to a second serving node as well. The
 * second send is a request of its own without a caller, which refers to the
 * first one, its primary; the first good answer of both goes to the caller and
 * the other send is cancelled.
 */
#include <stdlib.h>

#include "node_state.h"

static void run_hedge(struct timer *t);
static enum hedge_refusal check_hedge(struct request *q, struct peer **out);
static void sum_service_load(
    const struct service *s, int64_t now, struct hedge_input *in);
static int send_hedge(struct request *q, struct peer *p);
static struct request *take_hedge(struct request *h);

/*
 * Plans a hedge of a call whose first send has just begun. Only a send that
 * takes a free slot at once is hedged: one that waits for a slot shows that
 * there is no room. During a roll-out the slow answers of the new version are
 * evidence, which a cancelled send would hide.
 */
void
plan_request_hedge(struct request *q)
{
	struct node *n = q->node;

	if (q->policy.hedge_share <= 0 || !q->policy.repeatable ||
	    q->primary != NULL || q->hedge != NULL || !q->attempt.immediate ||
	    q->arrivals > 0 || is_service_rolling_out(q->service) ||
	    q->reader.body.len > HOP_BODY_CHUNK_BYTES)
		return;
	q->hedge_at = plan_hedge(&q->stats->answer_times, q->policy.hedge_share,
	    q->attempt.started_at, q->target_at, q->deadline);
	if (q->hedge_at != 0)
		set_timer(n->reactor, &q->hedge_timer, q->hedge_at, run_hedge);
}

/*
 * Cancels the planned or active hedge of a call, if any.
 */
void
cancel_hedge(struct request *q)
{
	struct request *h = q->hedge;

	cancel_timer(q->node->reactor, &q->hedge_timer);
	if (h == NULL)
		return;
	count_metric(q->node->metrics.hedges_cancelled_total, 1);
	q->may_have_run = q->may_have_run || may_be_running(h);
	cancel_request_attempt(h);
	(void)take_hedge(h);
}

/*
 * Handles a complete answer to a hedge: a good one goes to the caller, a failed
 * one is kept for the case that the first send fails as well.
 */
void
handle_hedge_answer(struct request *h, const struct job_answer *a)
{
	struct peer *p = h->attempt.peer;
	struct request *q = take_hedge(h);

	q->arrivals++;
	q->ran = true;
	if (a->status >= 500) {
		end_hedge_failure(q, a);
		return;
	}
	count_metric(q->node->metrics.hedges_won_total, 1);
	if (may_be_running(q))
		record_version_leave(q);
	cancel_request_attempt(q);
	q->attempt.peer = p;
	finish_request(q, a);
}

/*
 * Handles a hedge that ended without an answer; arrived: a backend server may
 * have run it or has refused it itself.
 */
void
handle_hedge_end(struct request *h, bool arrived, bool may_have_run)
{
	struct request *q = take_hedge(h);

	q->arrivals += arrived ? 1 : 0;
	q->may_have_run = q->may_have_run || may_have_run;
	end_hedge_failure(q, NULL);
}

/*
 * The planned time has come.
 */
static void
run_hedge(struct timer *t)
{
	struct request *q =
	    (struct request *)((char *)t -
			       offsetof(struct request, hedge_timer));
	struct peer *p = NULL;
	enum hedge_refusal r;

	if (!q->attempt.active || !has_caller(q))
		return;
	r = check_hedge(q, &p);
	if (r == HEDGE_ALLOWED && send_hedge(q, p) != 0)
		r = HEDGE_SERVER;
	if (r != HEDGE_ALLOWED)
		count_kept_hedge(r);
}

/*
 * Decides on the hedge, spends its tokens and chooses the serving node.
 */
static enum hedge_refusal
check_hedge(struct request *q, struct peer **out)
{
	struct node *n = q->node;
	struct hedge_input in = {
	    .now = get_reactor_now(n->reactor),
	    .planned_at = q->hedge_at,
	    .deadline = q->deadline,
	    .typical_ns = get_answer_quantile(&q->stats->answer_times, 0.5),
	    .arrivals = q->arrivals + 1,
	    .attempts_max = q->policy.attempts_max,
	};
	enum hedge_refusal r;

	use_settled_version(q);
	sum_service_load(q->service, in.now, &in);
	*out = choose_hedge_peer(q);
	in.has_server = *out != NULL;
	r = decide_hedged_send(&in, &q->stats->hedge_budget);
	if (r == HEDGE_ALLOWED && !spend_repeat(q))
		r = HEDGE_BUDGET;
	return r;
}

/*
 * Sums slots and calls over the serving nodes with a recent report.
 */
static void
sum_service_load(const struct service *s, int64_t now, struct hedge_input *in)
{
	for (size_t i = 0; i < s->peer_count; i++) {
		const struct peer *p = s->peers[i];

		if (!p->usable || !p->has_load ||
		    now - p->load_at > NSEC_PER_SEC ||
		    p->load.state != HOP_STATE_READY)
			continue;
		in->slots += p->load.limit;
		in->calls += p->load.in_flight + p->load.queued;
	}
}

/*
 * Offers the call to a second node. Returns ERR_MEMORY or ERR_UNAVAILABLE.
 */
static int
send_hedge(struct request *q, struct peer *p)
{
	struct node *n = q->node;
	struct request *h = calloc(1, sizeof(*h));

	if (h == NULL)
		return ERR_MEMORY;
	/* The strings stay the primary's, which outlives the hedge. */
	*h = (struct request){.node = n,
	    .primary = q,
	    .state = REQUEST_RUNNING,
	    .reader = q->reader,
	    .id = q->id,
	    .arrived = q->arrived,
	    .complete = q->complete,
	    .policy = q->policy,
	    .service = q->service,
	    .stats = q->stats,
	    .head = q->head,
	    .target_at = q->target_at,
	    .deadline = q->deadline};
	q->hedge = h;
	q->tried[q->tried_count++] = p;
	if (offer_attempt(h, p, true) != 0) {
		(void)take_hedge(h);
		return ERR_UNAVAILABLE;
	}
	add_trace(q, TRACE_HEDGED, p->id,
	    (int)((get_reactor_now(n->reactor) - q->attempt.started_at) /
		  NSEC_PER_MSEC),
	    0, 0);
	count_metric(n->metrics.hedges_total, 1);
	return 0;
}

/*
 * Frees a hedge whose attempt has ended; returns its primary.
 */
static struct request *
take_hedge(struct request *h)
{
	struct request *q = h->primary;

	q->hedge = NULL;
	unload_buf(&h->parts);
	free(h);
	return q;
}
