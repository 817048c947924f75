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

static void check_leaving(struct timer *t);
static void stop_accepting(struct node *n, int64_t now);
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
 * Ends the drain once callers have had leave_ns to notice the stop and nothing
 * is in flight, or when stop_ns is over.
 */
static void
check_leaving(struct timer *t)
{
	struct node *n =
	    (struct node *)((char *)t - offsetof(struct node, leave_timer));
	int64_t now = get_reactor_now(n->reactor);
	bool over = now - n->leaving_at >= n->cfg.stop_ns;
	bool quiet = n->requests == 0 && n->job_count == 0 &&
		     now - n->leaving_at >= n->cfg.leave_ns &&
		     now - n->last_call_at >= QUIET_NS;

	stop_accepting(n, now);
	if (!over && !quiet) {
		set_timer(n->reactor, &n->leave_timer, now + LEAVE_CHECK_NS,
		    check_leaving);
		return;
	}
	WRITE_EVENT(over ? LOG_LEVEL_WARNING : LOG_LEVEL_NOTICE, "node.drained",
	    LOG_INT("after_ms", (now - n->leaving_at) / NSEC_PER_MSEC),
	    LOG_INT("calls_left", n->requests),
	    LOG_INT("runs_left", n->job_count));
	pthread_mutex_lock(&n->lock);
	n->drained = true;
	pthread_cond_signal(&n->drained_cond);
	pthread_mutex_unlock(&n->lock);
}

/*
 * Stops accepting work in steps: first calls of other nodes, then the listeners
 * and idle connections of callers that did not move, early enough for the last
 * call to reach its deadline before the stop ends.
 */
static void
stop_accepting(struct node *n, int64_t now)
{
	int64_t since = now - n->leaving_at;
	int64_t last = n->cfg.stop_ns - get_longest_call(n) - STOP_MARGIN_NS;

	if (!n->serving_ended && since >= n->cfg.leave_ns - SERVING_END_NS) {
		n->serving_ended = true;
		broadcast_load(n);
	}
	if (last < n->cfg.leave_ns)
		last = n->cfg.leave_ns;
	if (n->listener_count > 0 && since >= last) {
		close_listeners(n);
		close_idle_callers(n);
	}
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
