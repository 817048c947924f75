/*
 * Requests of leavings, to any control process. One that is sent again adds
 * nothing twice.
 */
#include <stdlib.h>
#include <string.h>

#include "agent_core.h"

#define ATTEMPTS_MAX 4 /* of one request, at different control processes */
#define ATTEMPT_TIME_MIN_MS 10 /* with less time left none is started */
/* A process that does not answer leaves time for two others within 800 ms. */
#define ATTEMPT_TIME_MAX_MS 260
#define REPLY_MARGIN_MS 40 /* of the attempt's time, for the reply's way */

static int encode_request(struct agent *a, const struct wire_leaving *items,
    size_t count, struct buf *out);
static void send_request(struct agent_leavings *r, int64_t now);
static void handle_rpc(void *arg, const struct rpc_result *result);
static void end_request(struct agent_leavings *r, int status,
    const struct wire_leavings_reply *reply);

int
request_leavings(struct agent *a, const struct wire_leaving *items,
    size_t count, int timeout_ms, leavings_fn fn, void *arg)
{
	struct agent_leavings *r = calloc(1, sizeof(*r));
	int rc;

	if (r == NULL)
		return ERR_MEMORY;
	*r = (struct agent_leavings){
	    .agent = a,
	    .deadline = read_mono(&a->clock) + timeout_ms * NSEC_PER_MSEC,
	    .unsupported = true,
	    .fn = fn,
	    .arg = arg,
	};
	rc = encode_request(a, items, count, &r->body);
	pthread_mutex_lock(&a->lock);
	if (rc == 0 && (a->leaving || a->stopping))
		rc = ERR_CLOSED;
	if (rc == 0 && a->leavings != NULL)
		rc = ERR_LIMIT;
	if (rc == 0) {
		a->leavings = r;
		a->leavings_are_new = true;
		pthread_cond_signal(&a->work_ready);
	}
	pthread_mutex_unlock(&a->lock);
	if (rc != 0) {
		unload_buf(&r->body);
		free(r);
	}
	return rc;
}

void
cancel_leavings(struct agent *a)
{
	pthread_mutex_lock(&a->ask_lock);
	pthread_mutex_lock(&a->lock);
	if (a->leavings != NULL)
		a->leavings->fn = NULL;
	pthread_mutex_unlock(&a->lock);
	pthread_mutex_unlock(&a->ask_lock);
}

void
start_agent_leavings(struct agent *a, int64_t now)
{
	struct agent_leavings *r = NULL;

	pthread_mutex_lock(&a->lock);
	if (a->leavings_are_new)
		r = a->leavings;
	a->leavings_are_new = false;
	pthread_mutex_unlock(&a->lock);
	if (r != NULL)
		send_request(r, now);
}

/*
 * Passes the answer on, or sends the request to another control process. One of
 * an earlier build does not know the procedure; one whose leader is of an
 * earlier build gets the command back as invalid.
 */
void
handle_leavings_outcome(struct agent *a, struct agent_outcome *o, int64_t now)
{
	struct wire_leavings_reply reply = {.status = WIRE_UNAVAILABLE};
	struct agent_leavings *r = o->leavings;
	int rc = o->status;

	(void)a;
	if (rc == 0 && decode_wire((xdrproc_t)xdr_wire_leavings_reply,
			   view_buf(&o->body), &reply) != 0)
		rc = ERR_CORRUPT;
	if (rc == 0 && reply.status == WIRE_OK) {
		end_request(r, 0, &reply);
	} else {
		r->unsupported = r->unsupported &&
				 (rc == ERR_NOT_FOUND ||
				     (rc == 0 && reply.status == WIRE_INVALID));
		send_request(r, now);
	}
	if (rc == 0)
		unload_wire((xdrproc_t)xdr_wire_leavings_reply, &reply);
}

void
free_agent_leavings(struct agent *a)
{
	if (a->leavings == NULL)
		return;
	unload_buf(&a->leavings->body);
	free(a->leavings);
	a->leavings = NULL;
}

static int
encode_request(struct agent *a, const struct wire_leaving *items, size_t count,
    struct buf *out)
{
	struct hlc stamp = stamp_hlc(a->events);
	struct wire_leavings_args args = {.stamp = {stamp.wall_ns, stamp.count},
	    .node = a->node,
	    .wait_ms = ATTEMPT_TIME_MAX_MS - REPLY_MARGIN_MS};

	args.leavings.leavings_len = (unsigned int)count;
	args.leavings.leavings_val = (struct wire_leaving *)(uintptr_t)items;
	return encode_wire((xdrproc_t)xdr_wire_leavings_args, &args, out);
}

/*
 * Makes an attempt, first at the watched control process, whose connection is
 * known to work. Ends the request when no attempt or no time is left.
 */
static void
send_request(struct agent_leavings *r, int64_t now)
{
	struct agent *a = r->agent;
	int left_ms = (int)((r->deadline - now) / NSEC_PER_MSEC);
	int control;

	if (left_ms < ATTEMPT_TIME_MIN_MS || r->attempts >= ATTEMPTS_MAX ||
	    r->attempts >= a->watch_plan.count) {
		end_request(r,
		    r->attempts > 0 && r->unsupported ? ERR_NOT_FOUND :
							ERR_UNAVAILABLE,
		    NULL);
		return;
	}
	/* The watch may move on between the attempts. */
	if (r->attempts == 0)
		r->first = a->watch_plan.current;
	control = a->watch_plan
		      .order[(r->first + r->attempts++) % a->watch_plan.count];
	if (call_rpc(a->peers[control], GGS_LEAVINGS, view_buf(&r->body),
		left_ms < ATTEMPT_TIME_MAX_MS ? left_ms : ATTEMPT_TIME_MAX_MS,
		handle_rpc, r) != 0)
		end_request(r, ERR_UNAVAILABLE, NULL);
}

/*
 * Runs on the RPC client's thread and queues the outcome for the agent's
 * thread.
 */
static void
handle_rpc(void *arg, const struct rpc_result *result)
{
	struct agent_leavings *r = arg;
	struct agent_outcome *o;

	/* Without its outcome the request would stay under way forever. */
	while ((o = calloc(1, sizeof(*o))) == NULL)
		sched_yield();
	o->leavings = r;
	o->status = result->status;
	if (o->status == 0 && append_buf_str(&o->body, result->body) != 0)
		o->status = ERR_MEMORY;
	post_agent_outcome(o, r->agent);
}

/*
 * The next request may be made while the function runs.
 */
static void
end_request(struct agent_leavings *r, int status,
    const struct wire_leavings_reply *reply)
{
	struct agent *a = r->agent;
	leavings_fn fn;

	pthread_mutex_lock(&a->ask_lock);
	pthread_mutex_lock(&a->lock);
	a->leavings = NULL;
	fn = r->fn;
	pthread_mutex_unlock(&a->lock);
	if (fn != NULL)
		fn(r->arg, status,
		    reply != NULL ? reply->leavings.leavings_val : NULL,
		    reply != NULL ? reply->leavings.leavings_len : 0);
	pthread_mutex_unlock(&a->ask_lock);
	unload_buf(&r->body);
	free(r);
}
