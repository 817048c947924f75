/*
 * The pipeline of a call: attempts at endpoints, retries, hedges, deadline and
 * cancellation, and its single answer. Loop thread only.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

#include <ck_pr.h>

#include "call.h"

/*
 * How long a call waits for an endpoint set that the agent does not have yet,
 * as at the first use of a service, and how often it checks.
 */
#define ENDPOINTS_WAIT_NS (1 * NSEC_PER_SEC)
#define ENDPOINTS_POLL_NS (10 * NSEC_PER_MSEC)
/*
 * How long an entry node waits after the deadline for the serving node's
 * answer. The serving node ends the call at the same deadline and knows whether
 * it ran.
 */
#define DEADLINE_GRACE_NS (20 * NSEC_PER_MSEC)

static void route_call(struct call *c);
static void launch_first(struct call *c);
static void launch_retry(struct call *c);
static void launch_hedge(struct call *c);
static int launch_attempt(struct call *c, bool hedge);
static void send_attempt(struct attempt *a, const char *address);
static void finish_transfer(void *arg, struct transfer *t);
static void handle_ended_attempt(struct attempt *a);
static bool retry_call(struct call *c, struct attempt *a);
static struct retry_input make_retry_input(
    struct call *c, const struct attempt_verdict *v, int64_t retry_after);
static void release_pick(struct attempt *a, bool cancelled);
static void stop_attempt(struct attempt *a, enum attempt_end end);
static void stop_call(struct call *c, enum attempt_end end,
    enum refuse_reason reason, const char *reason_text);
static bool has_active(const struct call *c);
static bool has_active_remote(const struct call *c);
static void schedule_step(
    struct call *c, int64_t at, void (*fn)(struct call *c));
static void run_scheduled_step(struct loop_timer *t);
static void expire_call(struct loop_timer *t);
static void handle_disconnect(struct loop_watch *w, uint32_t events);
static void refuse_call(
    struct call *c, enum refuse_reason reason, const char *reason_text);
static void unlink_call(struct call *c);

/*
 * Starts a call whose request is complete: watches for a disconnect of the
 * caller, sets the deadline timer and routes the call.
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
	c->watch = (struct loop_watch){info->connect_fd, handle_disconnect};
	c->watching = watch_fd(p->loop, &c->watch, EPOLLRDHUP) == 0;
	if (p->drain_started != 0 &&
	    c->deadline > p->drain_started + drain_s * NSEC_PER_SEC)
		c->deadline = p->drain_started + drain_s * NSEC_PER_SEC;
	c->timer.fire = expire_call;
	c->next_step.fire = run_scheduled_step;
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
 * Queues an ended attempt for process_ended_attempts(), which runs after the
 * current callbacks, so that no module is re-entered.
 */
void
end_attempt(struct attempt *a)
{
	struct proxy *p = a->call->proxy;

	a->end_queued = true;
	a->next_ended = NULL;
	*p->ended_tail = a;
	p->ended_tail = &a->next_ended;
}

/*
 * The loop's hook for deferred work: handles one ended attempt. Returns false
 * when there is none.
 */
bool
process_ended_attempts(void *arg)
{
	struct proxy *p = arg;
	struct attempt *a = p->ended_attempts;

	if (a == NULL)
		return false;
	p->ended_attempts = a->next_ended;
	if (p->ended_attempts == NULL)
		p->ended_tail = &p->ended_attempts;
	a->end_queued = false;
	handle_ended_attempt(a);
	return true;
}

/*
 * Ends every call at once, because the proxy is stopping.
 */
void
cancel_calls(struct proxy *p)
{
	while (p->calls != NULL)
		stop_call(p->calls, ATTEMPT_CANCELLED, REFUSE_DRAINING, NULL);
}

/*
 * Starts a drain: no call in flight may take longer than its row's drain_s from
 * now on.
 */
void
apply_drain_limits(struct proxy *p)
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
 * Answers a call, exactly once. Attempts still in flight are cancelled. The
 * contents of r move to the call, which returns to its listener thread and may
 * be freed there at once.
 */
void
answer_call(struct call *c, struct result *r)
{
	struct proxy *p = c->proxy;
	struct result answer = *r;
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
	c->answer = answer;
	c->status = answer.verdict.status;
	c->outcome = answer.verdict.outcome;
	if (p->admission != NULL && c->hop) {
		struct admission_load l = get_admission_load(p->admission, now);

		c->answer.load = (struct returned_load){
		    true, l.in_flight, l.queued, l.slots};
	}
	c->answer.chain_budget = c->chain_budget;
	observe_row(
	    c->stats, ROW_ADDED_US, now - c->completed - c->external_ns);
	clear_loop_timer(p->loop, &c->timer);
	clear_loop_timer(p->loop, &c->next_step);
	if (c->watching)
		unwatch_fd(p->loop, &c->watch);
	unlink_call(c);
	release_body(c);
	c->ended = true;
	resume_call(c);
}

/*
 * Builds the result of a call that has not run. reason_text may be NULL; status
 * is the HTTP status for the caller.
 */
struct result
make_refusal(enum refuse_reason reason, const char *reason_text, int status)
{
	struct result r = {.reason = reason};

	r.verdict.outcome = OUTCOME_NOT_RUN;
	r.verdict.may_retry = true;
	r.verdict.status = status;
	r.chain_budget = RETRY_BUDGET_ABSENT;
	if (reason_text != NULL)
		snprintf(
		    r.reason_text, sizeof(r.reason_text), "%s", reason_text);
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
 * Serves a call from an entry node here and routes any other call.
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
		a->chain_budget_sent = c->chain_budget;
		start_serve(a);
		return;
	}
	c->service = find_service(p, c->row->service);
	if (c->service == NULL) {
		refuse_call(c, REFUSE_OVERLOAD, NULL);
		return;
	}
	c->endpoints_wait_until = c->completed + ENDPOINTS_WAIT_NS;
	credit_retry_budget(&c->stats->budget, c->row);
	launch_first(c);
}

/*
 * Starts the first attempt. Without an endpoint set, checks again every
 * ENDPOINTS_POLL_NS for up to ENDPOINTS_WAIT_NS.
 */
static void
launch_first(struct call *c)
{
	int64_t now = get_loop_time(c->proxy->loop);

	if (refresh_service(c->proxy, c->service, now) != 0) {
		if (now >= c->endpoints_wait_until)
			refuse_call(c, REFUSE_NO_ENDPOINT, NULL);
		else
			schedule_step(c, now + ENDPOINTS_POLL_NS, launch_first);
		return;
	}
	c->external_ns += now - c->completed;
	if (launch_attempt(c, false) != 0) {
		refuse_call(c, REFUSE_NO_ENDPOINT, NULL);
		return;
	}
	if (c->row->values[COL_HEDGE_MS] > 0)
		schedule_step(c,
		    now + c->row->values[COL_HEDGE_MS] * NSEC_PER_MSEC,
		    launch_hedge);
}

/*
 * Starts a retry after a failed attempt.
 */
static void
launch_retry(struct call *c)
{
	int64_t now = get_loop_time(c->proxy->loop);

	(void)refresh_service(c->proxy, c->service, now);
	count_row(c->stats, ROW_RETRIES, 1);
	if (launch_attempt(c, false) != 0)
		stop_call(c, ATTEMPT_CANCELLED, REFUSE_NO_ENDPOINT, NULL);
}

/*
 * Starts a second attempt of a read that has no answer yet, when the retry
 * budget allows a hedge.
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
 * Picks an endpoint, if possible one that was not tried, and starts an attempt
 * there. Returns ERR_NOT_FOUND when no endpoint may be picked and ERR_LIMIT
 * after CALL_ATTEMPTS_MAX attempts.
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
	a->chain_budget_sent = hedge ? 0 : c->chain_budget;
	a->local = strcmp(pick.id, p->node) == 0;
	if (a->local)
		start_serve(a);
	else
		send_attempt(a, pick.address);
	return 0;
}

/*
 * Sends an attempt to the serving node at address ("IP:port").
 */
static void
send_attempt(struct attempt *a, const char *address)
{
	struct call *c = a->call;
	int64_t now = get_loop_time(c->proxy->loop);
	struct transfer_request req = {.address = address,
	    .target = c->target,
	    .method = c->method,
	    .headers = make_headers(c, true, a->chain_budget_sent, now),
	    .body = c->body,
	    .body_len = c->body_len,
	    .call_id = c->id,
	    .connect_ms = CONNECT_TIMEOUT_MS};

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

	consume_answer(
	    &a->result, t, a->call->row->repeatable, true, ATTEMPT_ANSWERED);
	end_attempt(a);
}

/*
 * Decides what follows an ended attempt: the answer, waiting for another
 * attempt in flight, or a retry. A refusal is answered as unknown when an
 * earlier attempt may have run.
 */
static void
handle_ended_attempt(struct attempt *a)
{
	struct call *c = a->call;
	const struct attempt_verdict *v = &a->result.verdict;

	a->active = false;
	c->external_ns += get_loop_time(c->proxy->loop) - a->started;
	release_pick(a, false);
	if (!a->hedge)
		c->chain_budget = get_chain_budget_after(a->chain_budget_sent,
		    a->result.answered, a->result.chain_budget);
	if (c->hop || v->outcome == OUTCOME_RAN) {
		answer_call(c, &a->result);
		return;
	}
	if (v->outcome != OUTCOME_NOT_RUN)
		c->may_have_run = true;
	if (has_active(c))
		return;
	if (retry_call(c, a))
		return;
	c->chain_budget = 0;
	if (v->outcome == OUTCOME_NOT_RUN && c->may_have_run) {
		a->result.verdict.outcome = OUTCOME_UNKNOWN;
		a->result.verdict.status = 504;
	}
	answer_call(c, &a->result);
}

/*
 * Schedules a retry when decide_retry() allows one; false: the call has to be
 * answered.
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
	c->external_ns += d.delay_ns;
	free_transfer(a->transfer);
	a->transfer = NULL;
	schedule_step(c, now + d.delay_ns, launch_retry);
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
	    .first_level = c->chain_budget_header == RETRY_BUDGET_ABSENT,
	    .has_other_endpoint = has_other_endpoint(pk, tried,
		(size_t)c->attempt_count, get_loop_time(c->proxy->loop)),
	    .retry_after_ns = retry_after,
	    .mean_latency_ns = get_mean_latency(pk),
	    .deadline = c->deadline};
}

/*
 * Ends the attempt's pick and reports the result to the picker.
 */
static void
release_pick(struct attempt *a, bool cancelled)
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
 * Aborts an attempt and sets its result. Its connection is closed, which
 * cancels the call downstream.
 */
static void
stop_attempt(struct attempt *a, enum attempt_end end)
{
	struct proxy *p = a->call->proxy;

	if (a->end_queued) {
		struct attempt **at = &p->ended_attempts;

		while (*at != a)
			at = &(*at)->next_ended;
		*at = a->next_ended;
		if (*at == NULL)
			p->ended_tail = at;
		a->end_queued = false;
	} else if (a->local) {
		stop_serve(a, end);
	} else {
		consume_answer(&a->result, a->transfer,
		    a->call->row->repeatable, true, end);
		free_transfer(a->transfer);
		a->transfer = NULL;
	}
	a->active = false;
	a->call->external_ns += get_loop_time(p->loop) - a->started;
	release_pick(a, end == ATTEMPT_CANCELLED);
}

/*
 * Ends a call whose deadline has passed or whose caller has disconnected, or
 * that cannot go on. It counts as not run only if no attempt may have run.
 */
static void
stop_call(struct call *c, enum attempt_end end, enum refuse_reason reason,
    const char *reason_text)
{
	struct result r = make_refusal(reason, reason_text, 503);

	for (int i = 0; i < c->attempt_count; i++) {
		struct attempt *a = &c->attempts[i];

		if (a->active)
			stop_attempt(a, end);
		if (a->result.verdict.outcome != OUTCOME_NOT_RUN)
			c->may_have_run = true;
	}
	if (c->may_have_run) {
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
has_active_remote(const struct call *c)
{
	for (int i = 0; i < c->attempt_count; i++) {
		if (c->attempts[i].active && !c->attempts[i].local)
			return true;
	}
	return false;
}

/*
 * Sets the call's only step timer to run fn at the mono time at, in ns.
 */
static void
schedule_step(struct call *c, int64_t at, void (*fn)(struct call *c))
{
	c->run_next_step = fn;
	(void)set_loop_timer(c->proxy->loop, &c->next_step, at);
}

static void
run_scheduled_step(struct loop_timer *t)
{
	struct call *c =
	    (struct call *)((char *)t - offsetof(struct call, next_step));

	c->run_next_step(c);
}

/*
 * Timer: the deadline has passed. An attempt that has just ended is handled
 * first, and attempts at other nodes get DEADLINE_GRACE_NS once.
 */
static void
expire_call(struct loop_timer *t)
{
	struct call *c =
	    (struct call *)((char *)t - offsetof(struct call, timer));

	for (int i = 0; i < c->attempt_count; i++) {
		if (c->attempts[i].end_queued) {
			(void)set_loop_timer(c->proxy->loop, t,
			    get_loop_time(c->proxy->loop) + NSEC_PER_MSEC);
			return;
		}
	}
	if (!c->in_grace_period && has_active_remote(c)) {
		c->in_grace_period = true;
		if (set_loop_timer(c->proxy->loop, t,
			c->deadline + DEADLINE_GRACE_NS) == 0)
			return;
	}
	stop_call(c, ATTEMPT_TIMEOUT, REFUSE_DEADLINE, NULL);
}

/*
 * The caller has closed its connection, so the call is cancelled.
 */
static void
handle_disconnect(struct loop_watch *w, uint32_t events)
{
	struct call *c =
	    (struct call *)((char *)w - offsetof(struct call, watch));

	(void)events;
	record_event(c->proxy->cfg.events, "caller-gone", c->id,
	    c->table->version, "kind %s", c->kind);
	stop_call(c, ATTEMPT_CANCELLED, REFUSE_NONE, "caller-gone");
}

static void
refuse_call(struct call *c, enum refuse_reason reason, const char *reason_text)
{
	struct result r = make_refusal(reason, reason_text, 503);

	answer_call(c, &r);
}

static void
unlink_call(struct call *c)
{
	*c->prev = c->next;
	if (c->next != NULL)
		c->next->prev = c->prev;
}
