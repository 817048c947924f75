/*
 * Claim requests: sending, answers and the background closing.
 */
#include <stdlib.h>
#include <string.h>

#include "agent_core.h"

#define WAIT_MARGIN_MS 100 /* the reply's way back */

static void run_claim(struct agent_claim *c, int64_t now, int64_t *until);
static void send_claim(struct agent_claim *c, int timeout_ms, int64_t now);
static int encode_claim(
    const struct agent_claim *c, int timeout_ms, struct buf *out);
static void end_claim_rpc(void *arg, const struct rpc_result *result);
static void take_answer(struct agent_claim *c, struct claim_answer answer,
    const struct wire_claim_reply *reply, int64_t now);
static void report_claim(
    struct agent_claim *c, int status, const struct wire_claim_reply *reply);

void
start_agent_claim(struct agent *a, struct agent_claim *c, int64_t now)
{
	start_claim_plan(&c->plan, c->state == WIRE_CLAIM_OPEN, c->timeout_ms,
	    c->keep_s, now);
	c->next = a->claims;
	a->claims = c;
	count_metric(a->metrics.claims, 1);
}

/*
 * Does what each claim needs now, frees the ended ones and lowers *until.
 */
void
step_agent_claims(struct agent *a, int64_t now, int64_t *until)
{
	struct agent_claim **at = &a->claims, *c;
	int ended = 0, closing = 0;

	while ((c = *at) != NULL) {
		run_claim(c, now, until);
		if (c->plan.phase == CLAIM_ENDED) {
			*at = c->next;
			free(c);
			ended++;
			continue;
		}
		closing += c->plan.phase == CLAIM_CLOSING;
		at = &c->next;
	}
	set_metric(a->metrics.closing, closing);
	pthread_mutex_lock(&a->lock);
	a->shown_closing = closing;
	a->claim_count -= ended;
	if (a->claim_count == 0)
		pthread_cond_broadcast(&a->quiet);
	pthread_mutex_unlock(&a->lock);
}

void
take_agent_claim(struct agent *a, struct agent_event *e, int64_t now)
{
	struct agent_claim *c = e->claim;
	struct wire_claim_reply reply = {0};
	int rc = e->status;

	if (rc == 0 && decode_wire((xdrproc_t)xdr_wire_claim_reply,
			   view_buf(&e->body), &reply) != 0)
		rc = ERR_TIMEOUT;
	if (rc == 0 && a->events != NULL)
		merge_hlc(a->events,
		    (struct hlc){reply.stamp.wall_ns, reply.stamp.count});
	take_answer(c, classify_claim_answer(rc, reply.status),
	    rc == 0 ? &reply : NULL, now);
	if (rc == 0)
		unload_wire((xdrproc_t)xdr_wire_claim_reply, &reply);
}

/*
 * At the end of the agent: tells every caller that still waits.
 */
void
end_agent_claims(struct agent *a, int64_t now)
{
	struct agent_claim *c;

	while ((c = a->claims) != NULL) {
		a->claims = c->next;
		if (c->plan.phase == CLAIM_ASKING)
			report_claim(c, note_claim_report(&c->plan, now), NULL);
		free(c);
	}
}

static void
run_claim(struct agent_claim *c, int64_t now, int64_t *until)
{
	struct claim_step s = get_claim_step(&c->plan, now);

	while (s.action == CLAIM_SEND) {
		send_claim(c, s.timeout_ms, now);
		s = get_claim_step(&c->plan, now);
	}
	if (s.action == CLAIM_REPORT) {
		report_claim(c, note_claim_report(&c->plan, now), NULL);
		s = get_claim_step(&c->plan, now);
		if (s.action == CLAIM_SEND)
			s = (struct claim_step){CLAIM_WAIT, now, 0};
	}
	if (s.action == CLAIM_FINISH)
		c->plan.phase = CLAIM_ENDED;
	else if (s.until < *until)
		*until = s.until;
}

/*
 * Asks the control process that is watched first, whose connection is known to
 * work, and the others in turn.
 */
static void
send_claim(struct agent_claim *c, int timeout_ms, int64_t now)
{
	struct agent *a = c->agent;
	unsigned int i = (unsigned int)a->follow.at + c->attempts;
	int control = a->follow.order[i % (unsigned int)a->follow.count];
	struct buf body = {0};
	int rc;

	c->attempts++;
	note_claim_sent(&c->plan);
	rc = encode_claim(c, timeout_ms, &body);
	if (rc == 0)
		rc = call_rpc(a->peers[control], GGS_CLAIM, view_buf(&body),
		    timeout_ms, end_claim_rpc, c);
	unload_buf(&body);
	if (rc != 0)
		take_answer(c, classify_claim_answer(rc, WIRE_OK), NULL, now);
}

static int
encode_claim(const struct agent_claim *c, int timeout_ms, struct buf *out)
{
	struct agent *a = c->agent;
	struct hlc stamp = stamp_hlc(a->events);
	struct wire_claim_args args = {
	    .stamp = {stamp.wall_ns, stamp.count},
	    .kind = (char *)(uintptr_t)c->kind,
	    .key = (char *)(uintptr_t)c->key,
	    .node = a->node,
	    .incarnation = a->incarnation,
	    .state = get_claim_state(&c->plan, c->state),
	    .keep_s = c->keep_s,
	    .wait_ms = timeout_ms > 2 * WAIT_MARGIN_MS ?
			   timeout_ms - WAIT_MARGIN_MS :
			   timeout_ms / 2,
	};

	memcpy(args.claim_id, c->claim_id, sizeof(args.claim_id));
	if (args.state == c->state) {
		args.http_status = c->http_status;
		args.answer.answer_len = (unsigned int)c->answer_len;
		args.answer.answer_val = (char *)(uintptr_t)c->answer;
		args.answer_whole = c->answer_whole;
	}
	return encode_wire((xdrproc_t)xdr_wire_claim_args, &args, out);
}

static void
end_claim_rpc(void *arg, const struct rpc_result *result)
{
	struct agent_claim *c = arg;
	struct agent_event *e;

	/* The claim cannot proceed without its answer, so this must succeed. */
	while ((e = calloc(1, sizeof(*e))) == NULL)
		sched_yield();
	e->claim = c;
	e->status = result->status;
	if (e->status == 0 && append_buf_str(&e->body, result->body) != 0)
		e->status = ERR_TIMEOUT;
	post_agent_event(e, c->agent);
}

static void
take_answer(struct agent_claim *c, struct claim_answer answer,
    const struct wire_claim_reply *reply, int64_t now)
{
	int status;

	if (answer.status != 0)
		count_metric(c->agent->metrics.claim_failures, 1);
	if (note_claim_answer(&c->plan, answer, &c->agent->rng, now, &status))
		report_claim(c, status, answer.final ? reply : NULL);
}

static void
report_claim(
    struct agent_claim *c, int status, const struct wire_claim_reply *reply)
{
	struct claim_result result = {
	    .status = status, .state = WIRE_CLAIM_OPEN, .answer = {NULL, 0}};
	claim_fn fn = c->fn;

	if (reply != NULL) {
		result.state = reply->state;
		result.http_status = reply->http_status;
		result.answer = make_str_n(
		    reply->answer.answer_val, reply->answer.answer_len);
		result.answer_whole = reply->answer_whole;
	}
	c->fn = NULL;
	if (fn != NULL)
		fn(c->arg, &result);
}
