/*
 * Attempts of a call: chooses a serving node, offers the call to it, and
 * decides on an answer or a retry by the outcome.
 */
#include <stdlib.h>
#include <string.h>

#include "node_state.h"

#define OFFERS_MAX 4 /* serving nodes that may queue a call */
/*
 * Serving nodes to which a call is first offered for a free slot only. With
 * many entry nodes the load reports are outdated when a call arrives. If two of
 * five servers are full, one of five nodes has a free slot in 99 of 100 cases.
 */
#define IMMEDIATE_OFFERS_MAX REQUEST_BUSY_MAX
#define CANDIDATES_MAX 256 /* serving nodes of a service to choose from */
/* With less time left than this no attempt is started. */
#define ATTEMPT_TIME_MIN_NS (5 * NSEC_PER_MSEC)
#define SERVICE_TIME_GAIN 0.05 /* of the recent mean of a kind */

/* Which serving nodes may be chosen; none of them was tried. */
enum peer_choice {
	CHOICE_NEW, /* no immediate offer yet */
	CHOICE_BUSY, /* had no free slot for an immediate offer */
	CHOICE_UNTRIED, /* either of them */
};

static void update_service_time(struct kind_stats *k, int64_t service_ns);
static void update_answer_len(struct kind_stats *k, size_t len);
static size_t get_long_answer_len(
    const struct node *n, const struct kind_stats *k);
static struct peer *choose_next_peer(struct request *q, bool *immediate);
static struct peer *choose_peer(struct request *q, enum peer_choice choice);
static size_t list_candidates(
    const struct service *s, struct rng *r, struct peer *peers[CANDIDATES_MAX]);
static bool is_candidate(
    const struct request *q, const struct peer *p, enum peer_choice choice);
static void fill_option(const struct request *q, const struct peer *p,
    int64_t now, struct placement_option *out);
static void remove_tried(struct request *q, const struct peer *p);
static bool was_tried(const struct request *q, const struct peer *p);
static int offer_local(struct request *q);
static void begin_attempt(struct request *q, struct peer *p, bool immediate);
static void close_attempt(struct request *q);
static void end_request(struct request *q);
static void leave_call_to_hedge(struct request *q);
static bool reserve_retry(struct request *q);
static bool is_final_answer(struct request *q, const struct job_answer *a);
static int keep_fallback(struct request *q, const struct job_answer *a);
static void deliver_answer(struct request *q, const struct job_answer *a);
static void ignore_local_grant(void *owner);
static void handle_local_answer(void *owner, const struct job_answer *a);
static void handle_local_refusal(
    void *owner, enum refuse_reason reason, int64_t retry_after, bool arrived);
static void handle_local_failure(
    void *owner, enum attempt_end cause, bool not_sent);

static const struct job_events local_events = {ignore_local_grant,
    handle_local_answer, handle_local_refusal, handle_local_failure};

/*
 * Offers the call to the best serving node. Immediate offers, which take only a
 * free slot, come first; then the nodes that refused them, whose load is known
 * now, are offered the call to queue it. Ends the call when no node is left.
 */
void
start_next_attempt(struct request *q)
{
	if (!may_end_before_stop(q->node, q->stats->kind_service_ns)) {
		q->reason = REFUSE_DRAINING;
		end_request(q);
		return;
	}
	choose_call_version(q);
	while (q->offers < OFFERS_MAX && q->tried_count < REQUEST_TRIED_MAX) {
		bool immediate = false;
		struct peer *p = choose_next_peer(q, &immediate);

		if (p == NULL && relax_call_version(q))
			continue;
		if (p == NULL)
			break;
		q->offers++;
		q->tried[q->tried_count++] = p;
		if (offer_attempt(q, p, immediate) == 0) {
			plan_request_hedge(q);
			return;
		}
	}
	end_request(q);
}

/*
 * Offers the call to a serving node. Returns ERR_UNAVAILABLE or ERR_MEMORY.
 */
int
offer_attempt(struct request *q, struct peer *p, bool immediate)
{
	int rc;

	count_version_offer(q, p);
	begin_attempt(q, p, immediate);
	rc = p->local ? offer_local(q) : offer_remote(q, p);
	if (rc == 0)
		return 0;
	q->attempt.active = false;
	add_trace(q, TRACE_FAILED, p->id, ATTEMPT_NOT_CONNECTED, 1, 0);
	return rc;
}

/*
 * Says whether the call may be running at a backend server.
 */
bool
may_be_running(const struct request *q)
{
	const struct attempt *a = &q->attempt;

	if (!a->active)
		return false;
	return a->job != NULL ? is_job_sent(a->job) : a->body_sent;
}

/*
 * Cancels the active attempt, if any; no event of it follows.
 */
void
cancel_request_attempt(struct request *q)
{
	struct attempt *a = &q->attempt;

	if (!a->active)
		return;
	a->active = false;
	if (a->link != NULL) {
		cancel_remote(q);
	} else if (a->job != NULL) {
		a->peer->in_flight--;
		cancel_job(a->job);
		a->job = NULL;
	}
}

/*
 * Handles a refusal by the serving node or, if arrived, by its backend server:
 * the call has not run. retry_after: ns. Offers the call to another node; after
 * an arrival only if the row's attempts and the retry budget allow it.
 */
void
handle_attempt_refusal(struct request *q, enum refuse_reason reason,
    int64_t retry_after, bool arrived)
{
	add_trace(q, TRACE_REFUSED, q->attempt.peer->id, (int)reason,
	    (int)(retry_after / NSEC_PER_MSEC), arrived);
	close_attempt(q);
	if (q->primary != NULL) {
		handle_hedge_end(q, arrived, false);
		return;
	}
	cancel_timer(q->node->reactor, &q->hedge_timer);
	if (reason == REFUSE_BUSY) {
		/* An immediate offer does not count as a try. */
		q->offers--;
		remove_tried(q, q->attempt.peer);
		q->busy_peers[q->busy_count++] = q->attempt.peer;
	} else {
		q->reason = reason;
		/*
		 * The node serves no calls now, so queueing there could not
		 * have helped: the offer does not count.
		 */
		if (!arrived &&
		    (reason == REFUSE_NO_ENDPOINT || reason == REFUSE_DRAINING))
			q->offers--;
	}
	if (retry_after > q->retry_after)
		q->retry_after = retry_after;
	if (!has_caller(q)) {
		log_request(q, 0, "left");
		free_request(q);
		return;
	}
	if (q->hedge != NULL) {
		q->arrivals += arrived ? 1 : 0;
		leave_call_to_hedge(q);
		return;
	}
	if (arrived) {
		q->arrivals++;
		if (q->arrivals >= q->policy.attempts_max ||
		    !spend_retry_token(q->node, q->service)) {
			add_trace(q, TRACE_NO_RETRY,
			    q->arrivals >= q->policy.attempts_max ? "attempts" :
								    "budget",
			    q->arrivals, 0, 0);
			end_request(q);
			return;
		}
	}
	start_next_attempt(q);
}

/*
 * Handles a complete answer. A failed call that may repeat is retried at
 * another node if the row's attempts, the retry budget and the time left allow
 * it.
 */
void
handle_attempt_answer(struct request *q, const struct job_answer *a)
{
	add_trace(q, TRACE_ANSWERED, q->attempt.peer->id, a->status,
	    (int)(a->service_ns / NSEC_PER_USEC), 0);
	record_version_answer(q, a->status >= 500, a->service_ns);
	close_attempt(q);
	if (a->status < 500) {
		update_service_time(q->stats, a->service_ns);
		update_answer_len(q->stats, a->body.len);
		add_answer_time(&q->stats->answer_times,
		    get_reactor_now(q->node->reactor) - q->attempt.started_at);
	}
	if (q->primary != NULL) {
		handle_hedge_answer(q, a);
		return;
	}
	cancel_timer(q->node->reactor, &q->hedge_timer);
	q->arrivals++;
	q->ran = true;
	if (!has_caller(q)) {
		log_request(q, 0, "left");
		free_request(q);
		return;
	}
	if (q->hedge != NULL && a->status >= 500 && keep_fallback(q, a) == 0) {
		leave_call_to_hedge(q);
		return;
	}
	if (is_final_answer(q, a) || keep_fallback(q, a) != 0) {
		deliver_answer(q, a);
		return;
	}
	count_metric(q->node->metrics.retries_total, 1);
	start_next_attempt(q);
}

/*
 * The first send has ended, and the hedge may still bring a good answer. The
 * first one's peer may be freed meanwhile, that of the hedge may not.
 */
static void
leave_call_to_hedge(struct request *q)
{
	q->attempt.peer = q->hedge->attempt.peer;
}

/*
 * A hedge ended without a good answer. The first send, if it is still under
 * way, is waited for; else the call is retried or ended.
 */
void
end_hedge_failure(struct request *q, const struct job_answer *a)
{
	if (a != NULL && q->fallback == NULL && keep_fallback(q, a) != 0)
		q->may_have_run = true;
	if (q->attempt.active) {
		/* It was not moved while the hedge was under way. */
		if (q->attempt.link != NULL &&
		    is_hop_unresponsive(q->attempt.link->hop) &&
		    reserve_request_move(q)) {
			cancel_remote(q);
			move_request(q);
		}
		return;
	}
	if (q->arrivals > 0 && !reserve_retry(q)) {
		end_request(q);
		return;
	}
	start_next_attempt(q);
}

void
finish_request(struct request *q, const struct job_answer *a)
{
	deliver_answer(q, a);
}

/*
 * Handles an attempt that ended without an answer. A call that was not sent is
 * offered to another node; one that may have run is retried only if it may
 * repeat.
 */
void
handle_attempt_failure(struct request *q, enum attempt_end cause, bool not_sent)
{
	add_trace(
	    q, TRACE_FAILED, q->attempt.peer->id, (int)cause, not_sent, 0);
	if (!not_sent)
		record_version_answer(q, true, 0);
	close_attempt(q);
	if (q->primary != NULL) {
		handle_hedge_end(q, !not_sent, !not_sent);
		return;
	}
	cancel_timer(q->node->reactor, &q->hedge_timer);
	if (!has_caller(q)) {
		log_request(q, 0, "left");
		free_request(q);
		return;
	}
	if (not_sent) {
		q->reason = REFUSE_NO_ENDPOINT;
		if (q->hedge == NULL)
			start_next_attempt(q);
		else
			leave_call_to_hedge(q);
		return;
	}
	q->may_have_run = true;
	q->arrivals++;
	if (q->hedge != NULL) {
		leave_call_to_hedge(q);
		return;
	}
	if (!reserve_retry(q)) {
		end_request(q);
		return;
	}
	count_metric(q->node->metrics.retries_total, 1);
	start_next_attempt(q);
}

/*
 * Spends a retry for a call that may be running at an unresponsive node.
 * Returns false if the call has to keep waiting there, because it may not
 * repeat, no other node is left, or its attempts or the retry budget are
 * exhausted.
 */
bool
reserve_request_move(struct request *q)
{
	return q->policy.repeatable && q->hedge == NULL &&
	       q->offers < OFFERS_MAX && q->tried_count < REQUEST_TRIED_MAX &&
	       q->arrivals + 1 < q->policy.attempts_max &&
	       choose_peer(q, CHOICE_UNTRIED) != NULL && spend_repeat(q);
}

/*
 * Moves the call from an unresponsive node, where it may have run, to another
 * one. reserve_request_move() has returned true.
 */
void
move_request(struct request *q)
{
	add_trace(q, TRACE_FAILED, q->attempt.peer->id, ATTEMPT_TIMEOUT, 0, 0);
	cancel_timer(q->node->reactor, &q->hedge_timer);
	close_attempt(q);
	q->may_have_run = true;
	q->arrivals++;
	count_metric(q->node->metrics.retries_total, 1);
	start_next_attempt(q);
}

/*
 * The deadline has passed: cancels the attempt and ends the call.
 */
void
expire_request(struct timer *t)
{
	struct request *q =
	    (struct request *)((char *)t - offsetof(struct request, timer));

	add_trace(q, TRACE_EXPIRED, "",
	    (int)((get_reactor_now(q->node->reactor) - q->arrived) /
		  NSEC_PER_MSEC),
	    0, 0);
	if (may_be_running(q)) {
		q->may_have_run = true;
		record_version_answer(q, true, 0);
	}
	cancel_hedge(q);
	if (!has_caller(q)) {
		/* Was left to finish after its caller disconnected. */
		cancel_request_attempt(q);
		log_request(q, 0, "left");
		free_request(q);
		return;
	}
	cancel_request_attempt(q);
	q->reason = REFUSE_DEADLINE;
	end_request(q);
}

/*
 * Ends a call that the node cannot wait for any longer: refuses one that has
 * not run, and answers any other one as of unknown outcome.
 */
void
end_stopped_request(struct request *q)
{
	if (may_be_running(q))
		q->may_have_run = true;
	cancel_hedge(q);
	cancel_request_attempt(q);
	q->reason = REFUSE_DRAINING;
	end_request(q);
}

/*
 * Updates the moving average of the service time of a kind.
 */
static void
update_service_time(struct kind_stats *k, int64_t service_ns)
{
	if (k->kind_service_ns == 0)
		k->kind_service_ns = service_ns;
	k->kind_service_ns +=
	    (int64_t)(SERVICE_TIME_GAIN *
		      (double)(service_ns - k->kind_service_ns));
}

/* Updates the moving average of the length of a kind's answers. */
static void
update_answer_len(struct kind_stats *k, size_t len)
{
	if (k->answer_bytes <= 0)
		k->answer_bytes = (double)len;
	k->answer_bytes += SERVICE_TIME_GAIN * ((double)len - k->answer_bytes);
}

/*
 * Returns the mean length of a kind's answers if the links of serving nodes
 * carry them in pieces, else 0.
 */
static size_t
get_long_answer_len(const struct node *n, const struct kind_stats *k)
{
	size_t len = (size_t)k->answer_bytes;

	return is_paced(&n->outflow, len) ? len : 0;
}

/*
 * Returns the serving node for the next attempt, and whether the offer must be
 * an immediate one; NULL when none is left.
 */
static struct peer *
choose_next_peer(struct request *q, bool *immediate)
{
	struct peer *p = NULL;

	if (q->busy_count < IMMEDIATE_OFFERS_MAX)
		p = choose_peer(q, CHOICE_NEW);
	*immediate = p != NULL;
	if (p == NULL)
		p = choose_peer(q, CHOICE_BUSY);
	return p != NULL ? p : choose_peer(q, CHOICE_UNTRIED);
}

/*
 * Returns the best serving node of the service; NULL when none may be chosen or
 * too little time is left.
 */
static struct peer *
choose_peer(struct request *q, enum peer_choice choice)
{
	struct placement_option options[CANDIDATES_MAX];
	struct peer *peers[CANDIDATES_MAX];
	int64_t now = get_reactor_now(q->node->reactor);
	struct placement_call call = {.target_left = q->target_at - now,
	    .deadline_left = q->deadline - now,
	    .kind_service_ns = q->stats->kind_service_ns,
	    .body_len = q->reader.body.len,
	    .answer_len = get_long_answer_len(q->node, q->stats)};
	size_t count;
	int best;

	if (q->deadline - now < ATTEMPT_TIME_MIN_NS)
		return NULL;
	count = list_candidates(q->service, &q->node->rng, peers);
	for (size_t i = 0; i < count; i++) {
		fill_option(q, peers[i], now, &options[i]);
		options[i].tried = !is_candidate(q, peers[i], choice);
	}
	best = choose_placement(options, count, &call, &q->node->rng);
	return best >= 0 ? peers[best] : NULL;
}

/*
 * A hedge must not delay a call that needs the slot: of the nodes that have not
 * been tried, those with a recent report of a free slot are considered.
 */
struct peer *
choose_hedge_peer(struct request *q)
{
	struct placement_option options[CANDIDATES_MAX];
	struct peer *peers[CANDIDATES_MAX];
	int64_t now = get_reactor_now(q->node->reactor);
	struct placement_call call = {.target_left = q->target_at - now,
	    .deadline_left = q->deadline - now,
	    .kind_service_ns = q->stats->kind_service_ns,
	    .body_len = q->reader.body.len};
	size_t count = list_candidates(q->service, &q->node->rng, peers);
	int best;

	if (q->tried_count == REQUEST_TRIED_MAX)
		return NULL;
	for (size_t i = 0; i < count; i++) {
		struct placement_option *o = &options[i];

		fill_option(q, peers[i], now, o);
		o->tried = !is_candidate(q, peers[i], CHOICE_UNTRIED);
		o->usable = o->usable && o->reported && !o->avoided &&
			    o->report_age < NSEC_PER_SEC &&
			    o->in_flight + o->queued + 1 < o->slots;
	}
	best = choose_placement(options, count, &call, &q->node->rng);
	return best >= 0 ? peers[best] : NULL;
}

/*
 * Lists the service's nodes; of more than CANDIDATES_MAX that many usable ones,
 * from a random place on, so that each of them gets calls.
 */
static size_t
list_candidates(
    const struct service *s, struct rng *r, struct peer *peers[CANDIDATES_MAX])
{
	size_t start = 0, count = 0;
	bool all = s->peer_count <= CANDIDATES_MAX;

	if (!all)
		start = draw_below(r, s->peer_count);
	for (size_t i = 0; i < s->peer_count && count < CANDIDATES_MAX; i++) {
		struct peer *p = s->peers[(start + i) % s->peer_count];

		if (all || p->usable)
			peers[count++] = p;
	}
	return count;
}

/*
 * Describes a serving node to the placement: by its last load report, or by the
 * current load if it is this node.
 */
static void
fill_option(const struct request *q, const struct peer *p, int64_t now,
    struct placement_option *out)
{
	struct node *n = q->node;
	struct hop_load load = p->load;
	bool known = p->has_load;
	int64_t at = p->load_at;
	int own = p->in_flight_at_load;

	if (p->local) {
		load = get_own_load(n);
		known = true;
		at = now;
		own = p->in_flight;
	}
	*out = (struct placement_option){
	    .usable = p->usable && !p->address_reused &&
		      is_version_allowed(q, p) &&
		      (!known || load.state == HOP_STATE_READY),
	    .avoided = p->failures > 0,
	    .same_zone = p->same_zone,
	    .slots = known && load.limit > 0 ? load.limit : p->slots,
	    .own = p->in_flight,
	    .reported = known,
	    .report_age = now - at,
	    .in_flight = load.in_flight,
	    .queued = load.queued,
	    .own_at_report = own,
	    .service_ns = known ? load.service_us * NSEC_PER_USEC : 0,
	    .failed_share = known ? load.failed_ppm / 1e6 : 0,
	    .body_wait_ns =
		known && !p->local ? load.body_wait_us * NSEC_PER_USEC : 0,
	};
}

static bool
is_candidate(
    const struct request *q, const struct peer *p, enum peer_choice choice)
{
	bool busy = false;

	if (was_tried(q, p))
		return false;
	for (int i = 0; i < q->busy_count; i++)
		busy = busy || q->busy_peers[i] == p;
	return choice == CHOICE_UNTRIED || busy == (choice == CHOICE_BUSY);
}

/*
 * Removes a peer from those that the call was offered to; a hedge may have
 * added another one behind it.
 */
static void
remove_tried(struct request *q, const struct peer *p)
{
	size_t i = 0;

	while (i < q->tried_count && q->tried[i] != p)
		i++;
	if (i == q->tried_count)
		return;
	q->tried_count--;
	for (; i < q->tried_count; i++)
		q->tried[i] = q->tried[i + 1];
}

static bool
was_tried(const struct request *q, const struct peer *p)
{
	for (size_t i = 0; i < q->tried_count; i++) {
		if (q->tried[i] == p)
			return true;
	}
	return false;
}

/*
 * Offers the call to this node's own backend server. Returns ERR_UNAVAILABLE.
 */
static int
offer_local(struct request *q)
{
	struct job_spec spec = {
	    .kind = make_str(q->policy.kind),
	    .id = q->id,
	    .method = q->reader.head.method,
	    .target = q->reader.head.target,
	    .head = view_buf(&q->head),
	    .caller_service = make_str(q->node->cfg.service),
	    .account = make_str(q->policy.account),
	    .share = q->policy.share,
	    .rank = q->policy.rank,
	    .repeatable = q->policy.repeatable,
	    .target_at = q->target_at,
	    .deadline = q->deadline,
	    .may_wait = !q->attempt.immediate,
	    .body_len = q->reader.body.len,
	    .body = view_buf(&q->reader.body),
	};
	struct attempt *a = &q->attempt;

	if (spec.body.data == NULL)
		spec.body = make_str("");
	a->link = NULL;
	if (start_job(q->node, &spec, &local_events, q, &a->job) != 0)
		return ERR_UNAVAILABLE;
	a->peer->in_flight++;
	return 0;
}

/*
 * Records the offer of the call to a serving node.
 */
static void
begin_attempt(struct request *q, struct peer *p, bool immediate)
{
	struct attempt *a = &q->attempt;
	int64_t now = get_reactor_now(q->node->reactor);

	unload_buf(&q->parts);
	q->parts_total = 0;
	*a = (struct attempt){.active = true,
	    .immediate = immediate,
	    .peer = p,
	    .started_at = now};
	if (p->local) {
		struct hop_load own = get_own_load(q->node);

		add_trace(
		    q, TRACE_OFFERED, p->id, own.in_flight, own.queued, 0);
		return;
	}
	add_trace(q, TRACE_OFFERED, p->id, p->load.in_flight, p->load.queued,
	    p->has_load ? (int)((now - p->load_at) / NSEC_PER_MSEC) : -1);
}

/*
 * Marks the attempt as ended. links.c has already released a remote one.
 */
static void
close_attempt(struct request *q)
{
	struct attempt *a = &q->attempt;

	if (a->job != NULL) {
		a->peer->in_flight--;
		a->job = NULL;
	}
	a->active = false;
}

/*
 * Answers a call that gets no further attempt: with the failed answer of a
 * backend server if there is one, with 502 or 504 if it may have run, else with
 * 503.
 */
static void
end_request(struct request *q)
{
	struct job_answer *a = q->fallback;
	int64_t now = get_reactor_now(q->node->reactor);

	if (a != NULL)
		deliver_answer(q, a);
	else if (q->may_have_run)
		refuse_request(
		    q, now >= q->deadline ? 504 : 502, REFUSE_NONE, 0);
	else
		refuse_request(q, 503,
		    q->reason != REFUSE_NONE ? q->reason : REFUSE_NO_ENDPOINT,
		    q->retry_after);
}

/*
 * Spends a retry for a call that has reached a backend server. False when it
 * may not repeat, or its attempts or the retry budget are exhausted.
 */
static bool
reserve_retry(struct request *q)
{
	const char *why = "budget";

	if (!q->policy.repeatable)
		why = "may-not-repeat";
	else if (q->arrivals >= q->policy.attempts_max)
		why = "attempts";
	else if (spend_repeat(q))
		return true;
	add_trace(q, TRACE_NO_RETRY, why, q->arrivals, 0, 0);
	return false;
}

/*
 * Spends what another send of the call takes: a token of its account, and a
 * retry of the service, which calls beyond their account's rate must not use up.
 */
bool
spend_repeat(struct request *q)
{
	if (!draw_retry_allotment(q))
		return false;
	if (spend_retry_token(q->node, q->service))
		return true;
	return_retry_allotment(q);
	return false;
}

/*
 * Says whether the answer goes to the caller as it is. If not, a retry has been
 * spent for the call.
 */
static bool
is_final_answer(struct request *q, const struct job_answer *a)
{
	int64_t now = get_reactor_now(q->node->reactor);

	if (a->status < 500 || q->fallback != NULL)
		return true;
	if (q->deadline - now < ATTEMPT_TIME_MIN_NS + a->service_ns / 2)
		return true;
	return !reserve_retry(q);
}

/*
 * Keeps a copy of a failed answer for the case that the retry gets no answer.
 * Returns ERR_MEMORY.
 */
static int
keep_fallback(struct request *q, const struct job_answer *a)
{
	struct job_answer *copy =
	    malloc(sizeof(*copy) + a->head.len + a->body.len);
	char *bytes;

	if (copy == NULL)
		return ERR_MEMORY;
	bytes = (char *)(copy + 1);
	*copy = *a;
	if (a->head.len > 0)
		memcpy(bytes, a->head.data, a->head.len);
	if (a->body.len > 0)
		memcpy(bytes + a->head.len, a->body.data, a->body.len);
	copy->head = make_str_n(bytes, a->head.len);
	copy->body = make_str_n(bytes + a->head.len, a->body.len);
	q->fallback = copy;
	return 0;
}

/*
 * Sends the answer of a backend server to the caller and frees the request.
 */
static void
deliver_answer(struct request *q, const struct job_answer *a)
{
	struct node *n = q->node;
	int64_t now = get_reactor_now(n->reactor);

	q->state = REQUEST_DONE;
	q->reason = REFUSE_NONE;
	if (a->status >= 500)
		record_failed_try(&q->stats->tries, now);
	cancel_timer(n->reactor, &q->timer);
	cancel_hedge(q);
	count_metric(n->metrics.answers_total, 1);
	observe_metric(n->metrics.latency_us,
	    (uint64_t)((now - q->arrived) / NSEC_PER_USEC));
	log_request(q, a->status, "answered");
	add_outflow(&n->outflow, a->head.len + a->body.len, now);
	send_answer(q, a->status, a->head, a->body);
}

static void
ignore_local_grant(void *owner)
{
	(void)owner; /* the body was passed with the call */
}

static void
handle_local_answer(void *owner, const struct job_answer *a)
{
	handle_attempt_answer(owner, a);
}

static void
handle_local_refusal(
    void *owner, enum refuse_reason reason, int64_t retry_after, bool arrived)
{
	handle_attempt_refusal(owner, reason, retry_after, arrived);
}

static void
handle_local_failure(void *owner, enum attempt_end cause, bool not_sent)
{
	handle_attempt_failure(owner, cause, not_sent);
}
