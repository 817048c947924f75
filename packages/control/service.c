/*
 * The service thread: replies to pending watches, endpoint leases, endpoint
 * synchronization and retries of commands.
 */
#include "log.h"
#include "service.h"

static void wait_tick(struct control *c);
static void run_tick(struct control *c, int64_t now);
static void log_quorum(struct control *c);

/*
 * Runs until the process stops, then refuses the pending watches.
 */
void *
run_service(void *arg)
{
	struct control *c = arg;
	bool stopping = false;

	while (!stopping) {
		int64_t now = read_mono(&c->cfg.clock);

		pthread_mutex_lock(&c->lock);
		if (!c->stopping) {
			run_tick(c, now);
			serve_watches(c, now);
			serve_rollouts(c, now);
			serve_leavings(c, now);
			wait_tick(c);
		}
		stopping = c->stopping;
		pthread_mutex_unlock(&c->lock);
		log_quorum(c);
		run_rollouts(c, read_mono(&c->cfg.clock));
		run_submissions(c, read_mono(&c->cfg.clock));
		run_bootstrap(c, read_mono(&c->cfg.clock));
		run_membership(c, read_mono(&c->cfg.clock));
	}
	pthread_mutex_lock(&c->lock);
	drop_watches(c);
	serve_rollouts(c, read_mono(&c->cfg.clock));
	serve_leavings(c, read_mono(&c->cfg.clock));
	pthread_mutex_unlock(&c->lock);
	return NULL;
}

void
wake_service(struct control *c)
{
	pthread_mutex_lock(&c->lock);
	pthread_cond_broadcast(&c->wake);
	pthread_mutex_unlock(&c->lock);
}

/*
 * Waits for a new table version, a finished read round or the next tick.
 */
static void
wait_tick(struct control *c)
{
	struct timespec until;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_nsec += SERVICE_TICK_MS * NSEC_PER_MSEC;
	if (until.tv_nsec >= NSEC_PER_SEC) {
		until.tv_nsec -= NSEC_PER_SEC;
		until.tv_sec++;
	}
	(void)pthread_cond_timedwait(&c->wake, &c->lock, &until);
}

/*
 * Runs the periodic work that is due; the lock is held.
 */
static void
run_tick(struct control *c, int64_t now)
{
	if (is_relay(c))
		run_relay(c, now);
	if (now - c->last_tick_ns < SERVICE_TICK_MS * NSEC_PER_MSEC)
		return;
	c->last_tick_ns = now;
	sync_peers(c, now);
	run_allotments(c, now);
	if (now - c->last_lease_ns < SERVICE_LEASE_TICK_NS)
		return;
	c->last_lease_ns = now;
	tick_registry(c->registry, now, !is_control_stale(c));
	expire_nodes(&c->nodes, now);
}

/*
 * Logs when contact to a quorum is lost, and when it is back.
 */
static void
log_quorum(struct control *c)
{
	bool lost = is_quorum_lost(c);
	struct replica_status st;

	if (lost == c->quorum_lost)
		return;
	c->quorum_lost = lost;
	(void)get_replication_status(c, &st);
	WRITE_EVENT(lost ? LOG_LEVEL_WARNING : LOG_LEVEL_NOTICE,
	    lost ? "quorum.lost" : "quorum.regained",
	    LOG_INT("leader", st.leader), LOG_INT("failed", st.failed),
	    LOG_INT("contact_ms",
		st.contact_ns < 0 ? -1 : st.contact_ns / NSEC_PER_MSEC));
}
