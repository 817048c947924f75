/*
 * Attempts of a call: which serving node, and what its outcome means.
 */
#include <stdlib.h>
#include <string.h>

#include "node_state.h"

#define OFFERS_MAX 4 /* serving nodes that a call waits at */
/*
 * Serving nodes that a call is first offered to for a slot that is free. With
 * many entry nodes, reports of load are old when a call comes; where two of five
 * servers are full, one of five nodes has a free slot in 99 cases of 100.
 */
#define LOOKS_MAX REQUEST_LOOKS_MAX
#define OPTIONS_MAX 256 /* serving nodes of a service that are looked at */
/* A try that has less time than this left is not worth making. */
#define TRY_MIN_NS (5 * NSEC_PER_MSEC)
#define RUN_GAIN 0.05 /* of the recent mean of a kind's runs */

/* Which serving nodes may be chosen. */
enum peer_choice {
	CHOICE_NEW, /* neither tried nor looked at */
	CHOICE_LOOKED, /* looked at and not tried */
	CHOICE_ANY, /* not tried */
};

static void note_run_time(struct kind_stats *k, int64_t service_ns);
static struct peer *choose_next(struct request *q, bool *look);
static struct peer *choose_peer(struct request *q, enum peer_choice choice);
static bool may_choose(
    const struct request *q, const struct peer *p, enum peer_choice choice);
static void fill_option(const struct request *q, const struct peer *p,
    int64_t now, struct placement_option *out);
static bool was_tried(const struct request *q, const struct peer *p);
static int offer_local(struct request *q);
static void begin_attempt(struct request *q, struct peer *p, bool look);
static void end_attempt_here(struct request *q);
static void give_up(struct request *q);
static bool may_run_again(struct request *q);
static bool is_failure_final(struct request *q, const struct job_answer *a);
static int keep_fallback(struct request *q, const struct job_answer *a);
static void deliver(struct request *q, const struct job_answer *a);
static void job_granted(void *owner);
static void job_answered(void *owner, const struct job_answer *a);
static void job_refused(
    void *owner, enum refuse_reason reason, int64_t retry_after, bool arrived);
static void job_failed(void *owner, enum attempt_end cause, bool not_sent);

static const struct job_events local_events = {
    job_granted, job_answered, job_refused, job_failed};

/*
 * Offers the call to the best serving node: first to some for a slot that is
 * free, then to those, whose load is known now, to wait there. When there is
 * none, the call ends.
 */
void
try_request(struct request *q)
{
	while (q->offers < OFFERS_MAX && q->tried_count < REQUEST_TRIED_MAX) {
		bool look = false;
		struct peer *p = choose_next(q, &look);
		int rc;

		if (p == NULL)
			break;
		begin_attempt(q, p, look);
		rc = p->local ? offer_local(q) : offer_remote(q, p);
		if (rc == 0)
			return;
		q->attempt.active = false;
		add_note(q, NOTE_FAILED, p->id, ATTEMPT_NOT_CONNECTED, 1, 0);
	}
	give_up(q);
}

bool
may_be_running(const struct request *q)
{
	const struct attempt *a = &q->attempt;

	if (!a->active)
		return false;
	return a->job != NULL ? is_job_sent(a->job) : a->body_sent;
}

void
stop_attempt(struct request *q)
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
 * The serving node, or its backend server (arrived), did not run the call.
 */
void
note_refused(struct request *q, enum refuse_reason reason, int64_t retry_after,
    bool arrived)
{
	add_note(q, NOTE_REFUSED, q->attempt.peer->id, (int)reason,
	    (int)(retry_after / NSEC_PER_MSEC), arrived);
	end_attempt_here(q);
	if (reason == REFUSE_BUSY) {
		/* It was not tried yet, only looked at. */
		q->offers--;
		q->tried_count--;
		q->looked[q->looks++] = q->attempt.peer;
	} else {
		q->reason = reason;
		/* It serves nothing now: no wait there could have helped. */
		if (!arrived &&
		    (reason == REFUSE_NO_ENDPOINT || reason == REFUSE_DRAINING))
			q->offers--;
	}
	if (retry_after > q->retry_after)
		q->retry_after = retry_after;
	if (q->caller == NULL) {
		log_request(q, 0, "left");
		free_request(q);
		return;
	}
	if (arrived) {
		q->arrivals++;
		if (q->arrivals >= q->terms.attempts ||
		    !take_retry(q->node, q->service)) {
			add_note(q, NOTE_NO_RETRY,
			    q->arrivals >= q->terms.attempts ? "attempts" :
							       "budget",
			    q->arrivals, 0, 0);
			give_up(q);
			return;
		}
	}
	try_request(q);
}

/*
 * A whole answer came. Failures of calls that may repeat are tried elsewhere
 * while the row and the budget allow it.
 */
void
note_answered(struct request *q, const struct job_answer *a)
{
	add_note(q, NOTE_ANSWERED, q->attempt.peer->id, a->status,
	    (int)(a->service_ns / NSEC_PER_USEC), 0);
	end_attempt_here(q);
	q->arrivals++;
	if (a->status < 500)
		note_run_time(q->stats, a->service_ns);
	if (q->caller == NULL) {
		log_request(q, 0, "left");
		free_request(q);
		return;
	}
	if (is_failure_final(q, a) || keep_fallback(q, a) != 0) {
		deliver(q, a);
		return;
	}
	count_metric(q->node->metrics.retries_total, 1);
	try_request(q);
}

/*
 * No answer will come from this attempt.
 */
void
note_failed(struct request *q, enum attempt_end cause, bool not_sent)
{
	add_note(q, NOTE_FAILED, q->attempt.peer->id, (int)cause, not_sent, 0);
	end_attempt_here(q);
	if (q->caller == NULL) {
		log_request(q, 0, "left");
		free_request(q);
		return;
	}
	if (not_sent) {
		q->reason = REFUSE_NO_ENDPOINT;
		try_request(q);
		return;
	}
	q->unknown = true;
	q->arrivals++;
	if (!may_run_again(q)) {
		give_up(q);
		return;
	}
	count_metric(q->node->metrics.retries_total, 1);
	try_request(q);
}

/*
 * Takes a retry for a call that may be running at a node of which nothing is
 * heard; false when the call has to wait on, because nothing could follow.
 */
bool
may_move_request(struct request *q)
{
	return q->terms.repeatable && q->offers < OFFERS_MAX &&
	       q->tried_count < REQUEST_TRIED_MAX &&
	       q->arrivals + 1 < q->terms.attempts &&
	       choose_peer(q, CHOICE_ANY) != NULL &&
	       take_retry(q->node, q->service);
}

/*
 * The call leaves a silent node, where it may have run, for another one.
 */
void
move_request(struct request *q)
{
	add_note(q, NOTE_FAILED, q->attempt.peer->id, ATTEMPT_TIMEOUT, 0, 0);
	end_attempt_here(q);
	q->unknown = true;
	q->arrivals++;
	count_metric(q->node->metrics.retries_total, 1);
	try_request(q);
}

/*
 * The call's time is over.
 */
void
expire_request(struct timer *t)
{
	struct request *q =
	    (struct request *)((char *)t - offsetof(struct request, timer));

	add_note(q, NOTE_EXPIRED, "",
	    (int)((get_reactor_now(q->node->reactor) - q->arrived) /
		  NSEC_PER_MSEC),
	    0, 0);
	if (may_be_running(q))
		q->unknown = true;
	if (q->caller == NULL) {
		/* Left to end by itself; its time is over. */
		stop_attempt(q);
		log_request(q, 0, "left");
		free_request(q);
		return;
	}
	stop_attempt(q);
	q->reason = REFUSE_DEADLINE;
	give_up(q);
}

static void
note_run_time(struct kind_stats *k, int64_t service_ns)
{
	if (k->run_ns == 0)
		k->run_ns = service_ns;
	k->run_ns += (int64_t)(RUN_GAIN * (double)(service_ns - k->run_ns));
}

static struct peer *
choose_next(struct request *q, bool *look)
{
	struct peer *p = NULL;

	if (q->looks < LOOKS_MAX)
		p = choose_peer(q, CHOICE_NEW);
	*look = p != NULL;
	if (p == NULL)
		p = choose_peer(q, CHOICE_LOOKED);
	return p != NULL ? p : choose_peer(q, CHOICE_ANY);
}

static struct peer *
choose_peer(struct request *q, enum peer_choice choice)
{
	struct placement_option options[OPTIONS_MAX];
	const struct service *s = q->service;
	int64_t now = get_reactor_now(q->node->reactor);
	struct placement_call call = {.target_left = q->target_at - now,
	    .deadline_left = q->deadline - now,
	    .run_ns = q->stats->run_ns,
	    .body_len = q->reader.body.len};
	size_t count =
	    s->peer_count < OPTIONS_MAX ? s->peer_count : OPTIONS_MAX;
	int best;

	if (q->deadline - now < TRY_MIN_NS)
		return NULL;
	for (size_t i = 0; i < count; i++) {
		fill_option(q, s->peers[i], now, &options[i]);
		options[i].tried = !may_choose(q, s->peers[i], choice);
	}
	best = choose_placement(options, count, &call, &q->node->rng);
	return best >= 0 ? s->peers[best] : NULL;
}

static void
fill_option(const struct request *q, const struct peer *p, int64_t now,
    struct placement_option *out)
{
	struct node *n = q->node;
	struct hop_load load = p->load;
	bool known = p->has_load;
	int64_t at = p->load_at;
	int own = p->own_at_load;

	if (p->local) {
		load = get_own_load(n);
		known = true;
		at = now;
		own = p->in_flight;
	}
	*out = (struct placement_option){
	    .usable = p->usable && !p->replaced &&
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
	    .failed = known ? load.failed_ppm / 1e6 : 0,
	    .body_wait_ns =
		known && !p->local ? load.body_wait_us * NSEC_PER_USEC : 0,
	};
}

static bool
may_choose(
    const struct request *q, const struct peer *p, enum peer_choice choice)
{
	bool looked = false;

	if (was_tried(q, p))
		return false;
	for (int i = 0; i < q->looks; i++)
		looked = looked || q->looked[i] == p;
	return choice == CHOICE_ANY || looked == (choice == CHOICE_LOOKED);
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

static int
offer_local(struct request *q)
{
	struct job_spec spec = {
	    .kind = make_str(q->terms.kind),
	    .id = make_str(q->id),
	    .method = q->reader.head.method,
	    .target = q->reader.head.target,
	    .head = view_buf(&q->head),
	    .caller_service = make_str(q->node->cfg.service),
	    .rank = q->terms.rank,
	    .repeatable = q->terms.repeatable,
	    .target_at = q->target_at,
	    .deadline = q->deadline,
	    .may_wait = !q->attempt.look,
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

static void
begin_attempt(struct request *q, struct peer *p, bool look)
{
	struct attempt *a = &q->attempt;
	int64_t now = get_reactor_now(q->node->reactor);

	q->offers++;
	q->tried[q->tried_count++] = p;
	*a = (struct attempt){
	    .active = true, .look = look, .peer = p, .started = now};
	if (p->local) {
		struct hop_load own = get_own_load(q->node);

		add_note(q, NOTE_OFFERED, p->id, own.in_flight, own.queued, 0);
		return;
	}
	add_note(q, NOTE_OFFERED, p->id, p->load.in_flight, p->load.queued,
	    p->has_load ? (int)((now - p->load_at) / NSEC_PER_MSEC) : -1);
}

/*
 * The attempt has ended at the serving node; a local one still counts there.
 */
static void
end_attempt_here(struct request *q)
{
	struct attempt *a = &q->attempt;

	if (a->job != NULL) {
		a->peer->in_flight--;
		a->job = NULL;
	}
	a->active = false;
}

/*
 * Answers a call that no further attempt can help: with the failure that a
 * backend server gave, as unknown when it may have run, else as not run.
 */
static void
give_up(struct request *q)
{
	struct job_answer *a = q->fallback;
	int64_t now = get_reactor_now(q->node->reactor);

	if (a != NULL)
		deliver(q, a);
	else if (q->unknown)
		refuse_request(
		    q, now >= q->deadline ? 504 : 502, REFUSE_NONE, 0);
	else
		refuse_request(q, 503,
		    q->reason != REFUSE_NONE ? q->reason : REFUSE_NO_ENDPOINT,
		    q->retry_after);
}

static bool
may_run_again(struct request *q)
{
	const char *why = "budget";

	if (!q->terms.repeatable)
		why = "may-not-repeat";
	else if (q->arrivals >= q->terms.attempts)
		why = "attempts";
	else if (take_retry(q->node, q->service))
		return true;
	add_note(q, NOTE_NO_RETRY, why, q->arrivals, 0, 0);
	return false;
}

/*
 * Says whether the answer goes to the caller as it is.
 */
static bool
is_failure_final(struct request *q, const struct job_answer *a)
{
	int64_t now = get_reactor_now(q->node->reactor);

	if (a->status < 500 || q->fallback != NULL)
		return true;
	if (q->deadline - now < TRY_MIN_NS + a->service_ns / 2)
		return true;
	return !may_run_again(q);
}

/*
 * Keeps a failure, in case the next attempt gives nothing better.
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

static void
deliver(struct request *q, const struct job_answer *a)
{
	struct node *n = q->node;
	int64_t now = get_reactor_now(n->reactor);

	q->state = REQUEST_DONE;
	q->reason = REFUSE_NONE;
	cancel_timer(n->reactor, &q->timer);
	count_metric(n->metrics.answers_total, 1);
	observe_metric(n->metrics.latency_us,
	    (uint64_t)((now - q->arrived) / NSEC_PER_USEC));
	log_request(q, a->status, "answered");
	send_answer(q, a->status, a->head, a->body);
}

static void
job_granted(void *owner)
{
	(void)owner; /* the body was given with the call */
}

static void
job_answered(void *owner, const struct job_answer *a)
{
	note_answered(owner, a);
}

static void
job_refused(
    void *owner, enum refuse_reason reason, int64_t retry_after, bool arrived)
{
	note_refused(owner, reason, retry_after, arrived);
}

static void
job_failed(void *owner, enum attempt_end cause, bool not_sent)
{
	note_failed(owner, cause, not_sent);
}
