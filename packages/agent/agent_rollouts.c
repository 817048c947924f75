/*
 * The list of roll-outs: a poll that the control process answers when the list
 * changes, and the node's reports, each answered with the present list. Both go
 * to the control process that the watch uses. Nothing is sent unless the
 * configuration has roll-outs.
 */
#include <stdlib.h>
#include <string.h>

#include "agent_core.h"

#define POLL_WAIT_MS 5000
#define POLL_TIMEOUT_MS 6500
#define REPORT_TIMEOUT_MS 1000
#define RETRY_NS (200 * NSEC_PER_MSEC) /* after a poll without an answer */

/* A poll or a report in flight. */
struct rollout_call {
	struct agent *agent;
	bool poll;
};

static void send_poll(struct agent *a, int64_t now);
static void send_report(struct agent *a, struct buf *report);
static int call_control(
    struct agent *a, struct str body, bool poll, int timeout_ms);
static void handle_rollout_reply(void *arg, const struct rpc_result *result);
static void adopt_list(
    struct rollout_view *v, const struct wire_rollouts_reply *r);

void
get_agent_rollouts(struct agent *a, struct rollout_view *out)
{
	pthread_mutex_lock(&a->lock);
	*out = a->rollouts.view;
	pthread_mutex_unlock(&a->lock);
}

int64_t
get_rollout_contact(struct agent *a)
{
	int64_t at;

	pthread_mutex_lock(&a->lock);
	at = a->rollouts.view.received_at;
	pthread_mutex_unlock(&a->lock);
	return at;
}

/*
 * Takes over an encoded report; one that was not sent yet is dropped, as the
 * later one has all of it.
 */
void
report_rollouts(struct agent *a, struct buf *report)
{
	pthread_mutex_lock(&a->lock);
	unload_buf(&a->rollouts.report);
	a->rollouts.report = *report;
	a->woken = true;
	pthread_cond_signal(&a->work_ready);
	pthread_mutex_unlock(&a->lock);
	*report = (struct buf){0};
}

/*
 * Sends what is due.
 */
void
step_agent_rollouts(struct agent *a, int64_t now, int64_t *until)
{
	struct agent_rollouts *r = &a->rollouts;
	struct buf report;
	bool attached, polling, changed;
	int64_t next;

	if (!r->enabled)
		return;
	pthread_mutex_lock(&a->lock);
	report = r->report;
	r->report = (struct buf){0};
	attached = a->status_attached && !a->leaving;
	polling = r->polling;
	next = r->next_poll_ns;
	changed = r->changed;
	r->changed = false;
	pthread_mutex_unlock(&a->lock);
	if (changed && a->on_change != NULL)
		a->on_change(a->on_change_arg);
	if (attached && report.len > 0)
		send_report(a, &report);
	unload_buf(&report);
	if (polling)
		return;
	if (attached && now >= next)
		send_poll(a, now);
	else if (next > now && next < *until)
		*until = next;
}

static void
send_poll(struct agent *a, int64_t now)
{
	static char empty[1];
	struct wire_rollouts_args args = {.node = a->node,
	    .incarnation = a->incarnation,
	    .wait_ms = POLL_WAIT_MS,
	    .service = empty,
	    .server_version = empty};
	struct buf body = {0};
	int rc;

	pthread_mutex_lock(&a->lock);
	args.held = a->rollouts.view.change;
	a->rollouts.polling = true;
	pthread_mutex_unlock(&a->lock);
	rc = encode_wire((xdrproc_t)xdr_wire_rollouts_args, &args, &body);
	if (rc == 0)
		rc = call_control(a, view_buf(&body), true, POLL_TIMEOUT_MS);
	unload_buf(&body);
	if (rc == 0)
		return;
	pthread_mutex_lock(&a->lock);
	a->rollouts.polling = false;
	a->rollouts.next_poll_ns = now + RETRY_NS;
	pthread_mutex_unlock(&a->lock);
}

static void
send_report(struct agent *a, struct buf *report)
{
	(void)call_control(a, view_buf(report), false, REPORT_TIMEOUT_MS);
}

static int
call_control(struct agent *a, struct str body, bool poll, int timeout_ms)
{
	struct rollout_call *call = calloc(1, sizeof(*call));
	int rc;

	if (call == NULL)
		return ERR_MEMORY;
	*call = (struct rollout_call){a, poll};
	rc = call_rpc(a->peers[get_watch_control(&a->watch_plan)], GGS_ROLLOUTS,
	    body, timeout_ms, handle_rollout_reply, call);
	if (rc != 0)
		free(call);
	return rc;
}

/*
 * Runs on the RPC client's thread. An older list than the one held comes from a
 * control process that is behind; it counts as no answer.
 */
static void
handle_rollout_reply(void *arg, const struct rpc_result *result)
{
	struct rollout_call *call = arg;
	struct agent *a = call->agent;
	struct agent_rollouts *r = &a->rollouts;
	struct wire_rollouts_reply reply = {0};
	int64_t now = read_mono(&a->clock);
	int rc = result->status;

	if (rc == 0)
		rc = decode_wire(
		    (xdrproc_t)xdr_wire_rollouts_reply, result->body, &reply);
	pthread_mutex_lock(&a->lock);
	if (rc == 0 &&
	    (reply.status != WIRE_OK || reply.change < r->view.change ||
		reply.rollouts.rollouts_len > AGENT_ROLLOUTS_MAX)) {
		unload_wire((xdrproc_t)xdr_wire_rollouts_reply, &reply);
		rc = ERR_STALE;
	}
	if (rc == 0) {
		r->changed = r->changed || r->view.received_at == 0 ||
			     reply.change != r->view.change;
		adopt_list(&r->view, &reply);
		r->view.received_at = now;
		unload_wire((xdrproc_t)xdr_wire_rollouts_reply, &reply);
	}
	if (call->poll) {
		r->polling = false;
		r->next_poll_ns = rc == 0 ? now : now + RETRY_NS;
	}
	a->woken = true;
	pthread_cond_signal(&a->work_ready);
	pthread_mutex_unlock(&a->lock);
	free(call);
}

static void
adopt_list(struct rollout_view *v, const struct wire_rollouts_reply *r)
{
	v->change = r->change;
	v->count = 0;
	for (unsigned int i = 0; i < r->rollouts.rollouts_len; i++) {
		const struct wire_rollout *from = &r->rollouts.rollouts_val[i];
		struct agent_rollout *to = &v->items[v->count];

		if (copy_str(to->service, sizeof(to->service),
			make_str(from->service)) != 0 ||
		    copy_str(to->target, sizeof(to->target),
			make_str(from->target)) != 0)
			continue;
		to->number = from->number;
		to->phase = from->phase;
		v->count++;
	}
}
