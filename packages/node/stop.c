/*
 * A planned stop of a node: callers notice it and move, calls end, then the
 * process may exit.
 */
#include "log.h"
#include "node_state.h"

#define LEAVE_CHECK_NS (50 * NSEC_PER_MSEC) /* between checks of a stop */
/*
 * A stopping node refuses calls of other nodes from this long before it may
 * exit, so that most calls have ended by then. Until then other nodes still use
 * its backend server.
 */
#define SERVING_END_NS (800 * NSEC_PER_MSEC)
/* Margin between the last call's deadline and the end of a stop. */
#define STOP_MARGIN_NS (300 * NSEC_PER_MSEC)
/* A stopping node exits no earlier than this after its last call arrived. */
#define QUIET_NS (400 * NSEC_PER_MSEC)
/* A call is not started with less time than this before the end of the stop. */
#define RUN_TIME_MIN_NS (400 * NSEC_PER_MSEC)
#define LAST_ANSWERS_NS (300 * NSEC_PER_MSEC) /* to send them, after stop_ns */

static void check_leaving(struct timer *t);
static void end_serving(struct node *n, int64_t since);
static void refuse_late_calls(struct node *n);
static bool is_late_call(const struct request *q);
static bool is_running_call(const struct request *q);
static bool is_quiet(const struct node *n, int64_t now);
static bool is_idle(const struct node *n);
static void stop_accepting(struct node *n);
static int64_t get_last_accept(const struct node *n);
static int64_t get_longest_call(const struct node *n);

/*
 * Begins a stop: readiness checks are answered with 503 so that callers move to
 * other nodes, while calls are still accepted.
 */
void
begin_node_stop(struct task *t)
{
	struct node *n =
	    (struct node *)((char *)t - offsetof(struct node, drain));

	if (n->leaving_at != 0)
		return;
	n->leaving_at = get_reactor_now(n->reactor);
	n->last_call_at = n->leaving_at;
	WRITE_EVENT(LOG_LEVEL_NOTICE, "node.leaving",
	    LOG_INT("calls", n->requests), LOG_INT("runs", n->job_count));
	set_timer(n->reactor, &n->leave_timer, n->leaving_at + LEAVE_CHECK_NS,
	    check_leaving);
}

/*
 * Says whether a run that takes service_ns, or a quarter more, ends before the
 * stop does if it starts now. Always true unless the node is stopping.
 */
bool
may_end_before_stop(const struct node *n, int64_t service_ns)
{
	int64_t now = get_reactor_now(n->reactor);
	int64_t need = service_ns + service_ns / 4;

	if (n->leaving_at == 0)
		return true;
	if (need < RUN_TIME_MIN_NS)
		need = RUN_TIME_MIN_NS;
	return now + need <= n->leaving_at + n->cfg.stop_ns;
}

/*
 * Runs every LEAVE_CHECK_NS during a stop. The drain ends once callers have had
 * leave_ns to notice the stop and nothing is in flight. At the end of stop_ns
 * the calls that still run are answered as of unknown outcome.
 */
static void
check_leaving(struct timer *t)
{
	struct node *n =
	    (struct node *)((char *)t - offsetof(struct node, leave_timer));
	int64_t now = get_reactor_now(n->reactor);
	int64_t since = now - n->leaving_at;
	bool over = since >= n->cfg.stop_ns;
	int calls_left = n->requests, runs_left = n->job_count;
	struct request *q;

	end_serving(n, since);
	refuse_late_calls(n);
	if (n->listener_count > 0 &&
	    (over || is_quiet(n, now) || since >= get_last_accept(n)))
		stop_accepting(n);
	while (over && (q = find_request(n, is_running_call)) != NULL)
		end_stopped_request(q);
	if ((n->listener_count > 0 || !is_idle(n) || is_asking_tokens(n)) &&
	    since < n->cfg.stop_ns + LAST_ANSWERS_NS) {
		set_timer(n->reactor, &n->leave_timer, now + LEAVE_CHECK_NS,
		    check_leaving);
		return;
	}
	WRITE_EVENT(over ? LOG_LEVEL_WARNING : LOG_LEVEL_NOTICE, "node.drained",
	    LOG_INT("after_ms", since / NSEC_PER_MSEC),
	    LOG_INT("calls_left", calls_left), LOG_INT("runs_left", runs_left));
	leave_allotments(n);
	pthread_mutex_lock(&n->lock);
	n->drained = true;
	pthread_cond_signal(&n->drained_cond);
	pthread_mutex_unlock(&n->lock);
}

/*
 * Refuses further calls of other nodes from SERVING_END_NS before the node may
 * exit.
 */
static void
end_serving(struct node *n, int64_t since)
{
	if (n->serving_ended || since < n->cfg.leave_ns - SERVING_END_NS)
		return;
	n->serving_ended = true;
	broadcast_load(n);
}

/*
 * Refuses calls that wait and would not end before the stop does: those of this
 * node's callers, so that they turn to another node, and those of other nodes,
 * which then offer them elsewhere.
 */
static void
refuse_late_calls(struct node *n)
{
	struct request *q;

	while ((q = find_request(n, is_late_call)) != NULL)
		end_stopped_request(q);
	if (n->admission != NULL && !may_end_before_stop(n, n->service_ns))
		refuse_queued_jobs(n);
}

static bool
is_late_call(const struct request *q)
{
	return is_running_call(q) && !may_be_running(q) &&
	       !may_end_before_stop(q->node, q->stats->kind_service_ns);
}

static bool
is_running_call(const struct request *q)
{
	return q->state == REQUEST_RUNNING && q->stats != NULL;
}

/*
 * Says whether callers have noticed the stop and no call is in flight.
 */
static bool
is_quiet(const struct node *n, int64_t now)
{
	return is_idle(n) && now - n->leaving_at >= n->cfg.leave_ns &&
	       now - n->last_call_at >= QUIET_NS;
}

/*
 * Says whether nothing is left that the end of the process would cut off.
 */
static bool
is_idle(const struct node *n)
{
	return n->requests == 0 && n->job_count == 0 && !has_busy_callers(n) &&
	       !has_unsent_inbound(n);
}

/*
 * Closes the listeners, and the connections of callers that did not move, after
 * reading what has arrived on either. From now on no further call arrives.
 */
static void
stop_accepting(struct node *n)
{
	accept_pending_callers(n);
	close_listeners(n);
	close_idle_callers(n);
}

/*
 * Returns the time after the begin of the stop, in ns, at which the node stops
 * accepting calls: early enough for the last one to reach its deadline before
 * the stop ends, but callers have leave_ns to notice the stop.
 */
static int64_t
get_last_accept(const struct node *n)
{
	int64_t last = n->cfg.stop_ns - get_longest_call(n) - STOP_MARGIN_NS;

	return last > n->cfg.leave_ns ? last : n->cfg.leave_ns;
}

/*
 * Returns the longest time, in ns, from arrival to deadline of any call seen so
 * far.
 */
static int64_t
get_longest_call(const struct node *n)
{
	int64_t longest = 0;

	for (const struct kind_stats *k = n->kinds; k != NULL; k = k->next) {
		if (k->longest_deadline_ns > longest)
			longest = k->longest_deadline_ns;
	}
	return longest;
}
