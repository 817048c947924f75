/*
 * Sends claim requests, handles their answers and closes claims in the
 * background.
 */
#include <stdlib.h>
#include <string.h>

#include "agent_core.h"

#define REPLY_MARGIN_MS 100 /* for the reply's transit */

static void step_claim(struct agent_claim *c, int64_t now, int64_t *until);
static void send_claim(struct agent_claim *c, int timeout_ms, int64_t now);
static int encode_claim(
    const struct agent_claim *c, int timeout_ms, struct buf *out);
static void handle_claim_rpc(void *arg, const struct rpc_result *result);
static void handle_answer(struct agent_claim *c, struct claim_answer answer,
    const struct wire_claim_reply *reply, int64_t now);
static void report_claim(
    struct agent_claim *c, int status, const struct wire_claim_reply *reply);

/*
 * Takes over c; step_agent_claims() frees it.
 */
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
 * Runs every claim's next step, frees the ended ones and lowers *until to the
 * time of the next step.
 */
void
step_agent_claims(struct agent *a, int64_t now, int64_t *until)
{
	struct agent_claim **link = &a->claims, *c;
	int ended = 0, closing = 0;

	while ((c = *link) != NULL) {
		step_claim(c, now, until);
		if (c->plan.phase == CLAIM_ENDED) {
			*link = c->next;
			free(c);
			ended++;
			continue;
		}
		closing += c->plan.phase == CLAIM_CLOSING;
		link = &c->next;
	}
	set_metric(a->metrics.closing, closing);
	pthread_mutex_lock(&a->lock);
	a->status_closing = closing;
	a->claim_count -= ended;
	if (a->claim_count == 0)
		pthread_cond_broadcast(&a->stop_progress);
	pthread_mutex_unlock(&a->lock);
}

/*
 * Decodes the reply and advances the claim. A reply that cannot be decoded
 * counts as lost: the request may have taken effect.
 */
void
handle_claim_outcome(struct agent *a, struct agent_outcome *o, int64_t now)
{
	struct agent_claim *c = o->claim;
	struct wire_claim_reply reply = {0};
	int rc = o->status;

	if (rc == 0 && decode_wire((xdrproc_t)xdr_wire_claim_reply,
			   view_buf(&o->body), &reply) != 0)
		rc = ERR_TIMEOUT;
	if (rc == 0 && a->events != NULL)
		merge_hlc(a->events,
		    (struct hlc){reply.stamp.wall_ns, reply.stamp.count});
	handle_answer(c, classify_claim_answer(rc, reply.status),
	    rc == 0 ? &reply : NULL, now);
	if (rc == 0)
		unload_wire((xdrproc_t)xdr_wire_claim_reply, &reply);
}

/*
 * Reports to every caller that still waits and frees all claims. For the end
 * of the agent.
 */
void
end_agent_claims(struct agent *a, int64_t now)
{
	struct agent_claim *c;

	while ((c = a->claims) != NULL) {
		a->claims = c->next;
		if (c->plan.phase == CLAIM_REQUESTING)
			report_claim(
			    c, handle_claim_timeout(&c->plan, now), NULL);
		free(c);
	}
}

/*
 * Sends or reports as the plan decides, or lowers *until to its next time.
 * Marks the claim as ended when nothing is left to do.
 */
static void
step_claim(struct agent_claim *c, int64_t now, int64_t *until)
{
	struct claim_step s = get_claim_step(&c->plan, now);

	while (s.action == CLAIM_SEND) {
		send_claim(c, s.timeout_ms, now);
		s = get_claim_step(&c->plan, now);
	}
	if (s.action == CLAIM_REPORT) {
		report_claim(c, handle_claim_timeout(&c->plan, now), NULL);
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
 * The first attempt goes to the watched control process, whose connection is
 * known to work; later ones go round robin to the others.
 */
static void
send_claim(struct agent_claim *c, int timeout_ms, int64_t now)
{
	struct agent *a = c->agent;
	unsigned int i = (unsigned int)a->watch_plan.current + c->attempts;
	int control =
	    a->watch_plan.order[i % (unsigned int)a->watch_plan.count];
	struct buf body = {0};
	int rc;

	c->attempts++;
	record_claim_sent(&c->plan);
	rc = encode_claim(c, timeout_ms, &body);
	if (rc == 0)
		rc = call_rpc(a->peers[control], GGS_CLAIM, view_buf(&body),
		    timeout_ms, handle_claim_rpc, c);
	unload_buf(&body);
	if (rc != 0)
		handle_answer(c, classify_claim_answer(rc, WIRE_OK), NULL, now);
}

/*
 * Encodes the request. The control process may wait REPLY_MARGIN_MS less than
 * the attempt lasts, so that its reply arrives in time; short attempts use
 * half. A close as not run carries no answer.
 */
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
	    .wait_ms = timeout_ms > 2 * REPLY_MARGIN_MS ?
			   timeout_ms - REPLY_MARGIN_MS :
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

/*
 * Runs on the RPC client's thread and queues the outcome for the agent's
 * thread.
 */
static void
handle_claim_rpc(void *arg, const struct rpc_result *result)
{
	struct agent_claim *c = arg;
	struct agent_outcome *o;

	/* Without its outcome the claim would stay in flight forever. */
	while ((o = calloc(1, sizeof(*o))) == NULL)
		sched_yield();
	o->claim = c;
	o->status = result->status;
	if (o->status == 0 && append_buf_str(&o->body, result->body) != 0)
		o->status = ERR_TIMEOUT;
	post_agent_outcome(o, c->agent);
}

/*
 * Passes an answer to the plan and reports when the plan says so. reply may be
 * NULL.
 */
static void
handle_answer(struct agent_claim *c, struct claim_answer answer,
    const struct wire_claim_reply *reply, int64_t now)
{
	int status;

	if (answer.status != 0)
		count_metric(c->agent->metrics.claim_failures, 1);
	if (handle_claim_answer(&c->plan, answer, &c->agent->rng, now, &status))
		report_claim(c, status, answer.final ? reply : NULL);
}

/*
 * Runs the caller's function with the result; it runs at most once per claim.
 */
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
