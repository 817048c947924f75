/*
 * Serves calls at this node's own backend server: the claim for work that must
 * not be repeated, admission, dispatch and the result. Loop thread only.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "call.h"

/*
 * How long a resend waits for an earlier run that holds its key, and how often
 * it requests the claim.
 */
#define KEY_WAIT_NS (2 * NSEC_PER_SEC)
#define KEY_RETRY_NS (100 * NSEC_PER_MSEC)

static void start_claim(struct attempt *a);
static void retry_claim(struct loop_timer *t);
static void wait_for_key(struct attempt *a, const struct claim_result *claim);
static void replay_answer(struct attempt *a, const struct claim_result *first);
static void offer_attempt(struct attempt *a);
static void dispatch_attempt(struct attempt *a);
static void finish_dispatch(void *arg, struct transfer *t);
static void release_slot(struct attempt *a);
static void close_attempt_claim(struct attempt *a);
static void refuse_attempt(struct attempt *a, enum refuse_reason reason,
    const char *reason_text, int64_t retry_after_ns);
static void apply_changes(struct proxy *p, struct admission_changes *ch);
static void set_wakeup(struct proxy *p);
static void wake_admission(struct loop_timer *t);

/*
 * Creates the admission state of the backend server; cold starts it with few
 * slots. An existing state is replaced, unless it still has calls: then nothing
 * changes. Returns ERR_MEMORY or another error of create_admission().
 */
int
open_admission(struct proxy *p, bool cold)
{
	struct admission_config cfg = {.policy = ADMISSION_FLOORS,
	    .slots = p->cfg.backend.slots,
	    .cold = cold};
	int64_t now = get_loop_time(p->loop);
	struct admission_load l;

	if (p->admission != NULL) {
		l = get_admission_load(p->admission, now);
		if (l.in_flight > 0 || l.queued > 0)
			return 0;
		destroy_admission(p->admission);
		p->admission = NULL;
	}
	p->admission_version = 0;
	p->admission_timer.fire = wake_admission;
	return create_admission(&cfg, now, &p->admission);
}

/*
 * Starts an attempt at this node's backend server. Work that must not be
 * repeated needs a claim first.
 */
void
start_serve(struct attempt *a)
{
	struct call *c = a->call;
	struct proxy *p = c->proxy;
	struct admit_verdict v;

	if (p->admission == NULL || strcmp(c->row->service, p->service) != 0) {
		refuse_attempt(a, REFUSE_NO_ENDPOINT, NULL, 0);
		return;
	}
	update_admission(p);
	if (c->row->repeatable) {
		offer_attempt(a);
	} else {
		/* refused before the claim, which would cost two commits */
		v = check_offer(p->admission,
		    find_admission_row(p->admission, make_str(c->kind)),
		    c->deadline, get_loop_time(p->loop));
		if (v.action == ADMIT_REFUSED)
			refuse_attempt(a, v.reason, NULL, 0);
		else
			start_claim(a);
	}
}

/*
 * Aborts an attempt in any state and sets its result.
 */
void
stop_serve(struct attempt *a, enum attempt_end end)
{
	struct serve *s = &a->serve;
	struct proxy *p = a->call->proxy;
	struct admission_changes ch = {0};

	a->result = make_refusal(REFUSE_DEADLINE, NULL, 503);
	switch (s->state) {
	case SERVE_CLAIMING:
		detach_claim(s->claim);
		s->claim = NULL;
		break;
	case SERVE_KEY_HELD:
		clear_loop_timer(p->loop, &s->timer);
		a->result.verdict.outcome = OUTCOME_UNKNOWN;
		a->result.verdict.status = 504;
		break;
	case SERVE_QUEUED:
		(void)cancel_call(
		    p->admission, &s->admission, get_loop_time(p->loop), &ch);
		apply_changes(p, &ch);
		break;
	case SERVE_RUNNING:
		unload_result(&a->result);
		consume_answer(&a->result, a->transfer,
		    a->call->row->repeatable, false, end);
		if (end == ATTEMPT_TIMEOUT)
			record_backend_result(p, end);
		free_transfer(a->transfer);
		a->transfer = NULL;
		release_slot(a);
		break;
	case SERVE_IDLE:
		break;
	}
	s->state = SERVE_IDLE;
	close_attempt_claim(a);
	count_row(
	    a->call->stats, ROW_SERVED + (int)a->result.verdict.outcome, 1);
}

/*
 * Continues an attempt after the answer to its claim request: runs it, replays
 * the stored answer, waits for the key or refuses it. Unless the claim was
 * granted, the caller frees the claim.
 */
void
continue_serve(struct attempt *a, const struct claim_result *r)
{
	struct serve *s = &a->serve;

	s->state = SERVE_IDLE;
	if (r->status == 0) {
		offer_attempt(a);
		return;
	}
	s->claim = NULL;
	if (r->status != ERR_CONFLICT)
		refuse_attempt(a,
		    r->status == ERR_LIMIT ? REFUSE_OVERLOAD : REFUSE_NO_QUORUM,
		    NULL, 0);
	else if (r->state == WIRE_CLAIM_RAN || r->state == WIRE_CLAIM_FAILED)
		replay_answer(a, r);
	else
		wait_for_key(a, r);
}

/*
 * Passes the rows of a new table version to admission. Calls that it already
 * has keep the row with which they began.
 */
void
update_admission(struct proxy *p)
{
	const struct table *t = acquire_table(p->cfg.agent);
	struct admission_changes ch = {0};

	if (t == NULL)
		return;
	if (t->version != p->admission_version) {
		if (set_admission_table(p->admission, t, make_str(p->service),
			get_loop_time(p->loop), &ch) == 0)
			p->admission_version = t->version;
		apply_changes(p, &ch);
	}
	release_table(p->cfg.agent, t);
}

/*
 * Sets the admission timer for a drain. New calls are refused in request.c;
 * queued calls may still run, because they were accepted. Has no caller.
 */
void
update_admission_timer(struct proxy *p)
{
	if (p->admission != NULL)
		set_wakeup(p);
}

static void
start_claim(struct attempt *a)
{
	if (open_claim(a, &a->serve.claim) != 0) {
		refuse_attempt(a, REFUSE_NO_QUORUM, NULL, 0);
		return;
	}
	a->serve.state = SERVE_CLAIMING;
}

static void
retry_claim(struct loop_timer *t)
{
	struct attempt *a =
	    (struct attempt *)((char *)t - offsetof(struct attempt, serve) -
			       offsetof(struct serve, timer));

	start_claim(a);
}

/*
 * Another run holds the key: requests the claim again until that run has ended
 * or KEY_WAIT_NS have passed. Then the outcome is unknown, or the attempt is
 * refused when that run was closed as not run.
 */
static void
wait_for_key(struct attempt *a, const struct claim_result *claim)
{
	struct serve *s = &a->serve;
	struct loop *l = a->call->proxy->loop;
	int64_t now = get_loop_time(l);

	if (s->key_wait_until == 0)
		s->key_wait_until = now + KEY_WAIT_NS;
	s->timer.fire = retry_claim;
	if (now + KEY_RETRY_NS <= s->key_wait_until &&
	    set_loop_timer(l, &s->timer, now + KEY_RETRY_NS) == 0) {
		s->state = SERVE_KEY_HELD;
		return;
	}
	if (claim->state == WIRE_CLAIM_NOT_RUN) {
		refuse_attempt(a, REFUSE_NO_QUORUM, NULL, 0);
		return;
	}
	a->result = make_refusal(REFUSE_NONE, "held-by-earlier-run", 504);
	a->result.verdict.outcome = OUTCOME_UNKNOWN;
	a->result.verdict.may_retry = false;
	count_row(a->call->stats, ROW_SERVED + OUTCOME_UNKNOWN, 1);
	end_attempt(a);
}

/*
 * Answers a resend with the first answer. The stored form is the content type,
 * a newline and the body. An answer that was too long to store is reported with
 * status 410, because a part of it must not be taken for the complete answer.
 */
static void
replay_answer(struct attempt *a, const struct claim_result *first)
{
	struct result *r = &a->result;
	const char *nl = first->answer.len > 0 ? memchr(first->answer.data,
						     '\n', first->answer.len) :
						 NULL;
	bool complete = first->answer_whole && nl != NULL;

	*r =
	    make_refusal(REFUSE_NONE, complete ? "replayed" : "answer-not-kept",
		complete ? first->http_status : 410);
	r->verdict.outcome =
	    first->state == WIRE_CLAIM_RAN ? OUTCOME_RAN : OUTCOME_FAILED;
	r->verdict.may_retry = false;
	if (complete) {
		size_t type = (size_t)(nl - first->answer.data);

		r->body_len = first->answer.len - type - 1;
		r->body = malloc(r->body_len + 1);
		if (r->body == NULL) {
			r->body_len = 0;
			r->verdict.status = 410;
		} else {
			memcpy(r->body, nl + 1, r->body_len);
		}
		if (type > 0)
			(void)append_buf_fmt(&r->head, "Content-Type: %.*s\r\n",
			    (int)type, first->answer.data);
	}
	count_row(a->call->stats, ROW_SERVED + (int)r->verdict.outcome, 1);
	end_attempt(a);
}

/*
 * Offers the attempt to admission, which runs, queues or refuses it.
 */
static void
offer_attempt(struct attempt *a)
{
	struct call *c = a->call;
	struct proxy *p = c->proxy;
	struct serve *s = &a->serve;
	struct admission_changes ch = {0};
	int row = find_admission_row(p->admission, make_str(c->kind));
	struct admit_verdict v;

	s->offered = get_loop_time(p->loop);
	if (row < 0) {
		refuse_attempt(a, REFUSE_UNKNOWN_KIND, NULL, 0);
		return;
	}
	s->admission = (struct admission_call){
	    .token = a, .deadline = c->deadline - CALL_HOP_MARGIN_NS};
	v = offer_call(p->admission, &s->admission, row, s->offered, &ch);
	switch (v.action) {
	case ADMIT_RUN:
		dispatch_attempt(a);
		break;
	case ADMIT_QUEUED:
		s->state = SERVE_QUEUED;
		break;
	case ADMIT_REFUSED:
		refuse_attempt(a, v.reason, NULL, v.retry_after_ns);
		break;
	}
	apply_changes(p, &ch);
}

/*
 * Sends a call that has a slot to the backend server.
 */
static void
dispatch_attempt(struct attempt *a)
{
	struct call *c = a->call;
	struct proxy *p = c->proxy;
	struct serve *s = &a->serve;
	int64_t now = get_loop_time(p->loop);
	struct transfer_request req = {.address = p->backend,
	    .target = c->target,
	    .method = c->method,
	    .headers = make_headers(c, false, a->chain_budget_sent, now),
	    .body = c->body,
	    .body_len = c->body_len,
	    .call_id = c->id,
	    .connect_ms = CONNECT_TIMEOUT_MS};

	s->dispatched = now;
	observe_row(c->stats, ROW_QUEUE_US, now - s->offered);
	s->state = SERVE_RUNNING;
	if (start_transfer(
		p->transfers, &req, finish_dispatch, a, &a->transfer) == 0)
		return;
	a->result = make_refusal(REFUSE_OVERLOAD, NULL, 503);
	release_slot(a);
	s->state = SERVE_IDLE;
	close_attempt_claim(a);
	end_attempt(a);
}

/*
 * Called when the exchange with the backend server has ended.
 */
static void
finish_dispatch(void *arg, struct transfer *t)
{
	struct attempt *a = arg;
	struct proxy *p = a->call->proxy;

	consume_answer(
	    &a->result, t, a->call->row->repeatable, false, ATTEMPT_ANSWERED);
	/*
	 * A server that sends no chain budget made no calls of its own, so
	 * nothing of the budget is spent.
	 */
	if (a->result.chain_budget == RETRY_BUDGET_ABSENT ||
	    a->result.chain_budget > a->chain_budget_sent)
		a->result.chain_budget = a->chain_budget_sent;
	record_backend_result(p, get_transfer_answer(t)->facts.end);
	free_transfer(t);
	a->transfer = NULL;
	release_slot(a);
	a->serve.state = SERVE_IDLE;
	close_attempt_claim(a);
	count_row(
	    a->call->stats, ROW_SERVED + (int)a->result.verdict.outcome, 1);
	end_attempt(a);
}

/*
 * Returns the slot to admission. The result must be set.
 */
static void
release_slot(struct attempt *a)
{
	struct proxy *p = a->call->proxy;
	struct admission_changes ch = {0};
	int64_t now = get_loop_time(p->loop);

	finish_call(p->admission, &a->serve.admission,
	    a->result.verdict.outcome, now - a->serve.dispatched, now, &ch);
	apply_changes(p, &ch);
}

/*
 * Closes a granted claim according to the result. After an unknown outcome the
 * claim stays open, so that a resend cannot run.
 */
static void
close_attempt_claim(struct attempt *a)
{
	struct claim *cl = a->serve.claim;

	a->serve.claim = NULL;
	if (cl == NULL)
		return;
	switch (a->result.verdict.outcome) {
	case OUTCOME_RAN:
		close_claim(cl, WIRE_CLAIM_RAN, &a->result);
		break;
	case OUTCOME_FAILED:
		close_claim(cl, WIRE_CLAIM_FAILED, &a->result);
		break;
	case OUTCOME_NOT_RUN:
		close_claim(cl, WIRE_CLAIM_NOT_RUN, &a->result);
		break;
	case OUTCOME_UNKNOWN:
		close_claim(cl, WIRE_CLAIM_OPEN, &a->result);
		break;
	}
}

/*
 * Ends an attempt that has not run. retry_after_ns is 0 when not known.
 */
static void
refuse_attempt(struct attempt *a, enum refuse_reason reason,
    const char *reason_text, int64_t retry_after_ns)
{
	a->result = make_refusal(
	    reason, reason_text, reason == REFUSE_UNKNOWN_KIND ? 404 : 503);
	a->result.retry_after_ns = retry_after_ns;
	a->serve.state = SERVE_IDLE;
	close_attempt_claim(a);
	count_row(a->call->stats, ROW_SERVED + OUTCOME_NOT_RUN, 1);
	end_attempt(a);
}

/*
 * Dispatches and refuses the waiting calls that an admission operation has
 * changed. Ended attempts are queued, so that this is not re-entered for a
 * call.
 */
static void
apply_changes(struct proxy *p, struct admission_changes *ch)
{
	struct admission_call *next;

	for (struct admission_call *c = ch->run; c != NULL; c = next) {
		next = c->next;
		dispatch_attempt(c->token);
	}
	for (struct admission_call *c = ch->refused; c != NULL; c = next) {
		next = c->next;
		refuse_attempt(c->token, c->reason, NULL, c->retry_after_ns);
	}
	set_wakeup(p);
}

/*
 * Sets the timer for the next time at which admission has work to do.
 */
static void
set_wakeup(struct proxy *p)
{
	int64_t at = get_admission_wakeup(p->admission, get_loop_time(p->loop));

	if (at == INT64_MAX)
		clear_loop_timer(p->loop, &p->admission_timer);
	else
		(void)set_loop_timer(p->loop, &p->admission_timer, at);
}

static void
wake_admission(struct loop_timer *t)
{
	struct proxy *p = (struct proxy *)((char *)t - offsetof(struct proxy,
							   admission_timer));
	struct admission_changes ch = {0};

	expire_calls(p->admission, get_loop_time(p->loop), &ch);
	apply_changes(p, &ch);
}
