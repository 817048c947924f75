/*
 * Asks for allotments, sent to the leader of the control group. Any other
 * control process names the leader in its answer.
 */
#include <stdlib.h>
#include <string.h>

#include "agent_core.h"

#define ASK_ATTEMPTS_MAX 6 /* of one ask, at different control processes */
#define ATTEMPT_TIME_MIN_MS 10 /* with less time left none is started */
/* A process that does not answer leaves time for another one. */
#define ATTEMPT_TIME_MAX_MS 150

static void send_ask(struct agent_ask *k, int64_t now);
static void handle_ask_rpc(void *arg, const struct rpc_result *result);
static void end_ask(
    struct agent_ask *k, int status, const struct wire_allotment_reply *reply);

int
request_allotment(struct agent *a, const struct wire_allotment_args *args,
    int timeout_ms, allotment_fn fn, void *arg)
{
	struct wire_allotment_args named = *args;
	struct agent_ask *k = calloc(1, sizeof(*k));
	int rc;

	if (k == NULL)
		return ERR_MEMORY;
	named.node = a->node;
	*k = (struct agent_ask){
	    .agent = a,
	    .deadline = read_mono(&a->clock) + timeout_ms * NSEC_PER_MSEC,
	    .fn = fn,
	    .arg = arg,
	};
	rc = encode_wire((xdrproc_t)xdr_wire_allotment_args, &named, &k->body);
	pthread_mutex_lock(&a->lock);
	if (rc == 0 && (a->leaving || a->stopping))
		rc = ERR_CLOSED;
	if (rc == 0 && a->ask != NULL)
		rc = ERR_LIMIT;
	if (rc == 0) {
		a->ask = k;
		a->ask_is_new = true;
		pthread_cond_signal(&a->work_ready);
	}
	pthread_mutex_unlock(&a->lock);
	if (rc != 0) {
		unload_buf(&k->body);
		free(k);
	}
	return rc;
}

void
cancel_allotment(struct agent *a)
{
	pthread_mutex_lock(&a->ask_lock);
	pthread_mutex_lock(&a->lock);
	if (a->ask != NULL)
		a->ask->fn = NULL;
	pthread_mutex_unlock(&a->lock);
	pthread_mutex_unlock(&a->ask_lock);
}

void
start_agent_ask(struct agent *a, int64_t now)
{
	struct agent_ask *k = NULL;

	pthread_mutex_lock(&a->lock);
	if (a->ask_is_new)
		k = a->ask;
	a->ask_is_new = false;
	pthread_mutex_unlock(&a->lock);
	if (k != NULL)
		send_ask(k, now);
}

/*
 * Passes the answer on, or sends the ask to the leader that was named, or to
 * another control process. The ledger refuses an ask that it has seen, so a
 * repeated one is granted once.
 */
void
handle_ask_outcome(struct agent *a, struct agent_outcome *o, int64_t now)
{
	struct wire_allotment_reply r = {0};
	struct agent_ask *k = o->ask;
	int rc = o->status;

	if (rc == 0 && decode_wire((xdrproc_t)xdr_wire_allotment_reply,
			   view_buf(&o->body), &r) != 0)
		rc = ERR_CORRUPT;
	if (rc != 0) {
		a->leader = -1;
		send_ask(k, now);
		return;
	}
	if (r.status == WIRE_UNAVAILABLE) {
		a->leader = r.leader[0] != '\0' ? add_control(a, r.leader) : -1;
		if (a->leader < 0 || a->leader == k->control)
			a->leader = -1;
		send_ask(k, now);
	} else {
		a->leader = k->control;
		end_ask(k, r.status == WIRE_OK ? 0 : ERR_UNAVAILABLE, &r);
	}
	unload_wire((xdrproc_t)xdr_wire_allotment_reply, &r);
}

void
free_agent_ask(struct agent *a)
{
	if (a->ask == NULL)
		return;
	unload_buf(&a->ask->body);
	free(a->ask);
	a->ask = NULL;
}

/*
 * Makes an attempt: at the leader if it is known, else first at the watched
 * control process, whose connection is known to work. Ends the ask when no
 * attempt or no time is left.
 */
static void
send_ask(struct agent_ask *k, int64_t now)
{
	struct agent *a = k->agent;
	unsigned int i = (unsigned int)(a->watch_plan.current + k->attempts);
	int left_ms = (int)((k->deadline - now) / NSEC_PER_MSEC);

	if (left_ms < ATTEMPT_TIME_MIN_MS || k->attempts >= ASK_ATTEMPTS_MAX ||
	    a->watch_plan.count == 0) {
		end_ask(k, ERR_UNAVAILABLE, NULL);
		return;
	}
	k->attempts++;
	k->control =
	    a->leader >= 0 ?
		a->leader :
		a->watch_plan.order[i % (unsigned int)a->watch_plan.count];
	if (call_rpc(a->peers[k->control], GGS_ALLOTMENT, view_buf(&k->body),
		left_ms < ATTEMPT_TIME_MAX_MS ? left_ms : ATTEMPT_TIME_MAX_MS,
		handle_ask_rpc, k) != 0) {
		a->leader = -1;
		end_ask(k, ERR_UNAVAILABLE, NULL);
	}
}

/*
 * Runs on the RPC client's thread and queues the outcome for the agent's
 * thread.
 */
static void
handle_ask_rpc(void *arg, const struct rpc_result *result)
{
	struct agent_ask *k = arg;
	struct agent_outcome *o;

	/* Without its outcome the ask would stay under way forever. */
	while ((o = calloc(1, sizeof(*o))) == NULL)
		sched_yield();
	o->ask = k;
	o->status = result->status;
	if (o->status == 0 && append_buf_str(&o->body, result->body) != 0)
		o->status = ERR_MEMORY;
	post_agent_outcome(o, k->agent);
}

/*
 * The next ask may be made while the function runs.
 */
static void
end_ask(
    struct agent_ask *k, int status, const struct wire_allotment_reply *reply)
{
	struct agent *a = k->agent;
	allotment_fn fn;

	pthread_mutex_lock(&a->ask_lock);
	pthread_mutex_lock(&a->lock);
	a->ask = NULL;
	fn = k->fn;
	pthread_mutex_unlock(&a->lock);
	if (fn != NULL)
		fn(k->arg, status, status == 0 ? reply : NULL);
	pthread_mutex_unlock(&a->ask_lock);
	unload_buf(&k->body);
	free(k);
}
