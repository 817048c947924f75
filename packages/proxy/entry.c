/*
 * The pipeline of a call: attempts at endpoints, retries, hedges, deadline and
 * cancellation, and the one answer. Loop thread only.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

#include <ck_pr.h>

#include "call.h"

/* First use of a service: how long a call waits for its endpoint set. */
#define SET_WAIT_NS (1 * NSEC_PER_SEC)
#define SET_LOOK_NS (10 * NSEC_PER_MSEC)
/*
 * After the deadline an entry node waits this long for the serving node, which
 * ends the call by the same deadline and knows whether it ran.
 */
#define GRACE_NS (20 * NSEC_PER_MSEC)

static void route_call(struct call *c);
static void launch_first(struct call *c);
static void launch_next(struct call *c);
static void launch_hedge(struct call *c);
static int launch_attempt(struct call *c, bool hedge);
static void send_attempt(struct attempt *a, const char *address);
static void finish_transfer(void *arg, struct transfer *t);
static void look_at_attempt(struct attempt *a);
static bool retry_call(struct call *c, struct attempt *a);
static struct retry_input make_retry_input(
    struct call *c, const struct attempt_verdict *v, int64_t retry_after);
static void give_back(struct attempt *a, bool cancelled);
static void stop_attempt(struct attempt *a, enum attempt_end end);
static void stop_call(struct call *c, enum attempt_end end,
    enum refuse_reason reason, const char *note);
static bool has_active(const struct call *c);
static bool has_remote(const struct call *c);
static void set_step(struct call *c, int64_t at, void (*fn)(struct call *c));
static void run_step(struct loop_timer *t);
static void expire_call(struct loop_timer *t);
static void note_gone(struct loop_watch *w, uint32_t events);
static void refuse_call(
    struct call *c, enum refuse_reason reason, const char *note);
static void unlink_call(struct call *c);

/*
 * Takes over a call whose request is complete.
 */
void
start_call(struct loop_task *t)
{
	struct call *c =
	    (struct call *)((char *)t - offsetof(struct call, task));
	struct proxy *p = c->proxy;
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(c->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	int64_t drain_s = c->row->values[COL_DRAIN_S];

	c->completed = get_loop_time(p->loop);
	c->next = p->calls;
	c->prev = &p->calls;
	if (c->next != NULL)
		c->next->prev = &c->next;
	p->calls = c;
	c->watch = (struct loop_watch){info->connect_fd, note_gone};
	c->watching = watch_fd(p->loop, &c->watch, EPOLLRDHUP) == 0;
	if (p->drain_started != 0 &&
	    c->deadline > p->drain_started + drain_s * NSEC_PER_SEC)
		c->deadline = p->drain_started + drain_s * NSEC_PER_SEC;
	c->timer.fire = expire_call;
	c->step.fire = run_step;
	if (ck_pr_load_8((uint8_t *)&p->stopping))
		refuse_call(c, REFUSE_DRAINING, NULL);
	else if (c->completed >= c->deadline)
		refuse_call(c, REFUSE_DEADLINE, NULL);
	else if (set_loop_timer(p->loop, &c->timer, c->deadline) != 0)
		refuse_call(c, REFUSE_OVERLOAD, NULL);
	else
		route_call(c);
}

/*
 * Puts an ended attempt on the list that the loop looks at when the current
 * callbacks are done, so that no module is entered twice.
 */
void
end_attempt(struct attempt *a)
{
	struct proxy *p = a->call->proxy;

	a->queued_done = true;
	a->next_done = NULL;
	*p->done_tail = a;
	p->done_tail = &a->next_done;
}

/*
 * The loop's settle hook: looks at the attempts that ended.
 */
bool
settle_attempts(void *arg)
{
	struct proxy *p = arg;
	struct attempt *a = p->done;

	if (a == NULL)
		return false;
	p->done = a->next_done;
	if (p->done == NULL)
		p->done_tail = &p->done;
	a->queued_done = false;
	look_at_attempt(a);
	return true;
}

/*
 * Ends every call at once; used when the proxy stops.
 */
void
cancel_calls(struct proxy *p)
{
	while (p->calls != NULL)
		stop_call(p->calls, ATTEMPT_CANCELLED, REFUSE_DRAINING, NULL);
}

/*
 * Bounds the calls in flight by their rows' drain_s from now on.
 */
void
limit_calls(struct proxy *p)
{
	int64_t now = get_loop_time(p->loop);

	p->drain_started = now;
	for (struct call *c = p->calls; c != NULL; c = c->next) {
		int64_t at = now + c->row->values[COL_DRAIN_S] * NSEC_PER_SEC;

		if (at < c->deadline) {
			c->deadline = at;
			(void)set_loop_timer(p->loop, &c->timer, at);
		}
	}
}

/*
 * Answers a call, once. Attempts still in flight are cancelled. The result's
 * contents move to the call.
 */
void
answer_call(struct call *c, struct result *r)
{
	struct proxy *p = c->proxy;
	struct result keep = *r;
	int64_t now = get_loop_time(p->loop);

	assert(!c->ended);
	*r = (struct result){0};
	for (int i = 0; i < c->attempt_count; i++) {
		if (c->attempts[i].active)
			stop_attempt(&c->attempts[i], ATTEMPT_CANCELLED);
	}
	for (int i = 0; i < c->attempt_count; i++) {
		free_transfer(c->attempts[i].transfer);
		unload_result(&c->attempts[i].result);
	}
	c->answer = keep;
	c->status = keep.verdict.status;
	c->outcome = keep.verdict.outcome;
	if (p->admission != NULL && c->hop) {
		struct admission_load l = get_admission_load(p->admission, now);

		c->answer.load = (struct returned_load){
		    true, l.in_flight, l.queued, l.slots};
	}
	c->answer.chain_budget = c->chain_budget;
	observe_row(c->stats, ROW_ADDED_US, now - c->completed - c->outside_ns);
	clear_timer(p->loop, &c->timer);
	clear_timer(p->loop, &c->step);
	if (c->watching)
		unwatch_fd(p->loop, &c->watch);
	unlink_call(c);
	release_body(c);
	c->ended = true;
	resume_call(c);
}

/*
 * Makes the result of a call that did not run.
 */
struct result
make_refusal(enum refuse_reason reason, const char *note, int status)
{
	struct result r = {.reason = reason};

	r.verdict.outcome = OUTCOME_NOT_RUN;
	r.verdict.may_retry = true;
	r.verdict.status = status;
	r.chain_budget = RETRY_BUDGET_ABSENT;
	if (note != NULL)
		snprintf(r.note, sizeof(r.note), "%s", note);
	return r;
}

void
unload_result(struct result *r)
{
	unload_buf(&r->head);
	free(r->body);
	*r = (struct result){0};
}

/*
 * A hop from an entry node is served here; any other call is routed.
 */
static void
route_call(struct call *c)
{
	struct proxy *p = c->proxy;

	if (c->hop) {
		struct attempt *a = &c->attempts[c->attempt_count++];

		a->call = c;
		a->active = true;
		a->local = true;
		a->started = c->completed;
		a->chain_sent = c->chain_budget;
		start_serve(a);
		return;
	}
	c->service = find_service(p, c->row->service);
	if (c->service == NULL) {
		refuse_call(c, REFUSE_OVERLOAD, NULL);
		return;
	}
	c->set_wait_until = c->completed + SET_WAIT_NS;
	add_retry_budget_call(&c->stats->budget, c->row);
	launch_first(c);
}

/*
 * Makes the first attempt. When the node does not hold the endpoint set yet,
 * it looks again for up to SET_WAIT_NS.
 */
static void
launch_first(struct call *c)
{
	int64_t now = get_loop_time(c->proxy->loop);

	if (refresh_service(c->proxy, c->service, now) != 0) {
		if (now >= c->set_wait_until)
			refuse_call(c, REFUSE_NO_ENDPOINT, NULL);
		else
			set_step(c, now + SET_LOOK_NS, launch_first);
		return;
	}
	c->outside_ns += now - c->completed;
	if (launch_attempt(c, false) != 0) {
		refuse_call(c, REFUSE_NO_ENDPOINT, NULL);
		return;
	}
	if (c->row->values[COL_HEDGE_MS] > 0)
		set_step(c, now + c->row->values[COL_HEDGE_MS] * NSEC_PER_MSEC,
		    launch_hedge);
}

/*
 * Makes the next attempt after a failed one.
 */
static void
launch_next(struct call *c)
{
	int64_t now = get_loop_time(c->proxy->loop);

	(void)refresh_service(c->proxy, c->service, now);
	count_row(c->stats, ROW_RETRIES, 1);
	if (launch_attempt(c, false) != 0)
		stop_call(c, ATTEMPT_CANCELLED, REFUSE_NO_ENDPOINT, NULL);
}

/*
 * Makes a second attempt of a read that has no answer yet.
 */
static void
launch_hedge(struct call *c)
{
	int64_t now = get_loop_time(c->proxy->loop);
	struct attempt_verdict v = {.outcome = OUTCOME_UNKNOWN};
	struct retry_input in = make_retry_input(c, &v, 0);

	if (c->hedged || !has_active(c) ||
	    !decide_hedge(
		&in, &c->stats->budget, now - c->attempts[0].started, now))
		return;
	c->hedged = true;
	if (launch_attempt(c, true) == 0)
		count_row(c->stats, ROW_HEDGES, 1);
}

/*
 * Picks an endpoint that was not tried and starts an attempt there. Returns
 * ERR_NOT_FOUND when no endpoint may be picked.
 */
static int
launch_attempt(struct call *c, bool hedge)
{
	struct proxy *p = c->proxy;
	int64_t now = get_loop_time(p->loop);
	struct pick_ref tried[CALL_ATTEMPTS_MAX];
	struct attempt *a;
	struct pick pick;

	if (c->attempt_count == CALL_ATTEMPTS_MAX)
		return ERR_LIMIT;
	for (int i = 0; i < c->attempt_count; i++)
		tried[i] = c->attempts[i].ref;
	if (pick_endpoint(get_service_picker(c->service), tried,
		(size_t)c->attempt_count, now, &pick) != 0)
		return ERR_NOT_FOUND;
	a = &c->attempts[c->attempt_count++];
	a->call = c;
	a->active = true;
	a->picked = true;
	a->hedge = hedge;
	a->ref = pick.ref;
	a->started = now;
	a->chain_sent = hedge ? 0 : c->chain_budget;
	a->local = strcmp(pick.id, p->node) == 0;
	if (a->local)
		start_serve(a);
	else
		send_attempt(a, pick.address);
	return 0;
}

/*
 * Sends an attempt to the serving node at address.
 */
static void
send_attempt(struct attempt *a, const char *address)
{
	struct call *c = a->call;
	int64_t now = get_loop_time(c->proxy->loop);
	struct transfer_request req = {.address = address,
	    .target = c->target,
	    .method = c->method,
	    .headers = make_headers(c, true, a->chain_sent, now),
	    .body = c->body,
	    .body_len = c->body_len,
	    .call_id = c->id,
	    .connect_ms = CONNECT_MS};

	if (start_transfer(c->proxy->transfers, &req, finish_transfer, a,
		&a->transfer) == 0)
		return;
	a->result = make_refusal(REFUSE_OVERLOAD, NULL, 503);
	end_attempt(a);
}

static void
finish_transfer(void *arg, struct transfer *t)
{
	struct attempt *a = arg;

	take_answer(
	    &a->result, t, a->call->row->repeatable, true, ATTEMPT_ANSWERED);
	end_attempt(a);
}

/*
 * Decides what follows an ended attempt: the answer, a wait for another
 * attempt that is still in flight, or a retry.
 */
static void
look_at_attempt(struct attempt *a)
{
	struct call *c = a->call;
	const struct attempt_verdict *v = &a->result.verdict;

	a->active = false;
	c->outside_ns += get_loop_time(c->proxy->loop) - a->started;
	give_back(a, false);
	if (!a->hedge)
		c->chain_budget = get_chain_budget_after(
		    a->chain_sent, a->result.answered, a->result.chain_budget);
	if (c->hop || v->outcome == OUTCOME_RAN) {
		answer_call(c, &a->result);
		return;
	}
	if (v->outcome != OUTCOME_NOT_RUN)
		c->maybe_ran = true;
	if (has_active(c))
		return;
	if (retry_call(c, a))
		return;
	c->chain_budget = 0;
	if (v->outcome == OUTCOME_NOT_RUN && c->maybe_ran) {
		a->result.verdict.outcome = OUTCOME_UNKNOWN;
		a->result.verdict.status = 504;
	}
	answer_call(c, &a->result);
}

/*
 * Schedules another attempt when the rules allow one.
 */
static bool
retry_call(struct call *c, struct attempt *a)
{
	struct proxy *p = c->proxy;
	int64_t now = get_loop_time(p->loop);
	struct retry_input in =
	    make_retry_input(c, &a->result.verdict, a->result.retry_after_ns);
	struct retry_decision d =
	    decide_retry(&in, &c->stats->budget, &p->rng, now);

	if (!d.retry || c->attempt_count == CALL_ATTEMPTS_MAX)
		return false;
	c->retry_count++;
	c->chain_budget = d.chain_budget;
	c->outside_ns += d.delay_ns;
	free_transfer(a->transfer);
	a->transfer = NULL;
	set_step(c, now + d.delay_ns, launch_next);
	return true;
}

static struct retry_input
make_retry_input(
    struct call *c, const struct attempt_verdict *v, int64_t retry_after)
{
	struct picker *pk = get_service_picker(c->service);
	struct pick_ref tried[CALL_ATTEMPTS_MAX];

	for (int i = 0; i < c->attempt_count; i++)
		tried[i] = c->attempts[i].ref;
	return (struct retry_input){.row = c->row,
	    .verdict = *v,
	    .attempts = c->attempt_count,
	    .chain_budget = c->chain_budget,
	    .first_level = c->chain_header == RETRY_BUDGET_ABSENT,
	    .has_other_endpoint = has_other_endpoint(pk, tried,
		(size_t)c->attempt_count, get_loop_time(c->proxy->loop)),
	    .retry_after_ns = retry_after,
	    .usual_ns = get_usual_latency(pk),
	    .deadline = c->deadline};
}

/*
 * Reports an attempt's end to the picker.
 */
static void
give_back(struct attempt *a, bool cancelled)
{
	int64_t now = get_loop_time(a->call->proxy->loop);
	struct pick_result r = {.outcome = a->result.verdict.outcome,
	    .reason = a->result.reason,
	    .status = a->result.verdict.status,
	    .cancelled = cancelled,
	    .latency_ns = now - a->started,
	    .load = a->result.load};

	if (!a->picked)
		return;
	a->picked = false;
	(void)end_pick(get_service_picker(a->call->service), a->ref, &r, now);
}

/*
 * Gives up an attempt and sets its result. Its connection is closed, which
 * cancels the call downstream.
 */
static void
stop_attempt(struct attempt *a, enum attempt_end end)
{
	struct proxy *p = a->call->proxy;

	if (a->queued_done) {
		struct attempt **at = &p->done;

		while (*at != a)
			at = &(*at)->next_done;
		*at = a->next_done;
		if (*at == NULL)
			p->done_tail = at;
		a->queued_done = false;
	} else if (a->local) {
		stop_serve(a, end);
	} else {
		take_answer(&a->result, a->transfer, a->call->row->repeatable,
		    true, end);
		free_transfer(a->transfer);
		a->transfer = NULL;
	}
	a->active = false;
	a->call->outside_ns += get_loop_time(p->loop) - a->started;
	give_back(a, end == ATTEMPT_CANCELLED);
}

/*
 * Ends a call whose time is up or that nobody waits for. It is "not run" only
 * when that is true of every attempt.
 */
static void
stop_call(struct call *c, enum attempt_end end, enum refuse_reason reason,
    const char *note)
{
	struct result r = make_refusal(reason, note, 503);

	for (int i = 0; i < c->attempt_count; i++) {
		struct attempt *a = &c->attempts[i];

		if (a->active)
			stop_attempt(a, end);
		if (a->result.verdict.outcome != OUTCOME_NOT_RUN)
			c->maybe_ran = true;
	}
	if (c->maybe_ran) {
		r.verdict.outcome = OUTCOME_UNKNOWN;
		r.verdict.status = 504;
	}
	c->chain_budget = 0;
	answer_call(c, &r);
}

static bool
has_active(const struct call *c)
{
	for (int i = 0; i < c->attempt_count; i++) {
		if (c->attempts[i].active)
			return true;
	}
	return false;
}

/*
 * Whether an attempt at another node is in flight.
 */
static bool
has_remote(const struct call *c)
{
	for (int i = 0; i < c->attempt_count; i++) {
		if (c->attempts[i].active && !c->attempts[i].local)
			return true;
	}
	return false;
}

static void
set_step(struct call *c, int64_t at, void (*fn)(struct call *c))
{
	c->step_fn = fn;
	(void)set_loop_timer(c->proxy->loop, &c->step, at);
}

static void
run_step(struct loop_timer *t)
{
	struct call *c =
	    (struct call *)((char *)t - offsetof(struct call, step));

	c->step_fn(c);
}

/*
 * The deadline. An attempt that has just ended is looked at first.
 */
static void
expire_call(struct loop_timer *t)
{
	struct call *c =
	    (struct call *)((char *)t - offsetof(struct call, timer));

	for (int i = 0; i < c->attempt_count; i++) {
		if (c->attempts[i].queued_done) {
			(void)set_loop_timer(c->proxy->loop, t,
			    get_loop_time(c->proxy->loop) + NSEC_PER_MSEC);
			return;
		}
	}
	if (!c->graced && has_remote(c)) {
		c->graced = true;
		if (set_loop_timer(c->proxy->loop, t, c->deadline + GRACE_NS) ==
		    0)
			return;
	}
	stop_call(c, ATTEMPT_TIMEOUT, REFUSE_DEADLINE, NULL);
}

static void
note_gone(struct loop_watch *w, uint32_t events)
{
	struct call *c =
	    (struct call *)((char *)w - offsetof(struct call, watch));

	(void)events;
	record_event(c->proxy->cfg.events, "caller-gone", c->id,
	    c->table->version, "kind %s", c->kind);
	stop_call(c, ATTEMPT_CANCELLED, REFUSE_NONE, "caller-gone");
}

static void
refuse_call(struct call *c, enum refuse_reason reason, const char *note)
{
	struct result r = make_refusal(reason, note, 503);

	answer_call(c, &r);
}

static void
unlink_call(struct call *c)
{
	*c->prev = c->next;
	if (c->next != NULL)
		c->next->prev = c->prev;
}
