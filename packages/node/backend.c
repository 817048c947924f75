/*
 * State of the node's backend server, by its reports and connect failures, and
 * its publication to entry nodes and control processes.
 */
#include <stdlib.h>
#include <string.h>

#include "backend_state.h"
#include "log.h"

#define CONNECT_FAILURES_MAX 3 /* in a row, then the server counts as down */
#define DOWN_NS (1 * NSEC_PER_SEC) /* then it is tried again */

static void start_instance(struct node *n, const struct backend_report *r);
static void update_state(struct node *n);
static void publish_notice(struct node *n);
static void announce_state(struct node *n);
static void leave_down_state(struct timer *t);

/*
 * Prepares the state of the backend server; an entry node without one keeps
 * n->backend NULL. Returns ERR_MEMORY.
 */
int
open_backend(struct node *n)
{
	struct admission_config a = {.policy = ADMISSION_FLOORS,
	    .slots = 1,
	    .fixed_limit = true,
	    .link_rate = n->cfg.link_rate};
	int rc;

	n->state = HOP_STATE_DOWN;
	n->outflow.rate = n->cfg.link_rate;
	if (n->cfg.service == NULL || n->cfg.backend == NULL)
		return 0;
	n->backend = calloc(1, sizeof(*n->backend));
	if (n->backend == NULL)
		return ERR_MEMORY;
	rc = create_admission(&a, get_reactor_now(n->reactor), &n->admission);
	n->backend->node = n;
	n->backend->rate_per_s = NO_RATE_LIMIT;
	n->backend->returned.rate_per_s = NO_RATE_LIMIT;
	(void)copy_str(n->backend->address, sizeof(n->backend->address),
	    make_str(n->cfg.backend));
	return rc;
}

void
close_backend(struct node *n)
{
	struct backend *b = n->backend;

	if (b == NULL)
		return;
	close_conns(b->idle);
	close_conns(b->busy);
	cancel_timer(n->reactor, &b->down_timer);
	unload_buf(&b->notice);
	free(b);
	n->backend = NULL;
}

/*
 * Applies a report of the backend server. Reports of an earlier incarnation and
 * those that arrive out of order are ignored.
 */
void
apply_backend_report(struct node *n, const struct backend_report *r)
{
	int64_t now = get_reactor_now(n->reactor);
	struct admission_changes changes = {0};
	struct backend *b = n->backend;
	enum hop_state before = n->state;
	bool stale, left, started, news;

	if (b == NULL)
		return;
	stale = is_stale_report(b, r, now);
	left = is_from_leaving(b, r, now);
	news = record_reported_leaving(
	    b, r, now, read_wall(&n->cfg.clock) / NSEC_PER_MSEC);
	record_leavings(n);
	if (stale) {
		if (news)
			publish_notice(n);
		WRITE_EVENT(LOG_LEVEL_NOTICE, "report.stale",
		    LOG_TEXT("instance", r->id), LOG_INT("seq", r->seq),
		    LOG_INT("born_ms", r->start_ms), LOG_BOOL("left", left),
		    LOG_TEXT("known_instance", b->instance),
		    LOG_INT("known_seq", b->seq),
		    LOG_INT("known_born_ms", b->start_ms));
		return;
	}
	started = !b->reported || strcmp(b->instance, r->id) != 0 ||
		  (r->start_ms != 0 && r->start_ms != b->start_ms);
	if (started)
		start_instance(n, r);
	b->seq = r->seq != 0 ? r->seq : b->seq;
	b->reported_at = now;
	b->earlier = (struct earlier_birth){0};
	if (r->slots > 0 && r->slots != b->slots) {
		b->slots = r->slots;
		set_admission_slots(n->admission, r->slots, now, &changes);
	}
	/* A leaving server does not become ready again without a restart. */
	if (r->state > b->state)
		b->state = r->state;
	b->down = false;
	b->connect_failures = 0;
	update_state(n);
	/* Entry nodes still know the failures of the server before it. */
	if (n->state == before && (started || news))
		publish_notice(n);
}

/*
 * The backend server is leaving, as an answer of this run says. Its own report
 * may come later or never; reports of the same run that it is ready were sent
 * before.
 */
void
mark_backend_leaving(struct node *n)
{
	struct backend *b = n->backend;

	if (b->state != REPORT_READY)
		return;
	(void)record_leaving(
	    b, b->instance, b->start_ms, get_reactor_now(n->reactor));
	record_leavings(n);
	b->state = REPORT_DRAINING;
	update_state(n);
}

void
refresh_backend_state(struct node *n)
{
	if (n->backend != NULL)
		update_state(n);
}

int
get_backend_slots(const struct node *n)
{
	return n->backend != NULL ? n->backend->slots : 0;
}

int
count_backend_connections(const struct node *n)
{
	return n->backend != NULL ? n->backend->conn_count : 0;
}

const char *
get_backend_instance(const struct node *n)
{
	return n->backend != NULL ? n->backend->instance : "";
}

uint64_t
get_backend_run(const struct node *n)
{
	return n->backend != NULL ? n->backend->run : 0;
}

const char *
get_backend_version(const struct node *n)
{
	return n->backend != NULL ? n->backend->version : "";
}

double
get_backend_rate(const struct node *n)
{
	return n->backend != NULL ? n->backend->rate_per_s : NO_RATE_LIMIT;
}

/*
 * The backend server has restarted: resets what is known of the previous
 * instance and stops reusing the connections to it.
 */
static void
start_instance(struct node *n, const struct backend_report *r)
{
	struct backend *b = n->backend;

	WRITE_EVENT(LOG_LEVEL_NOTICE, "backend.started",
	    LOG_TEXT("instance", r->id), LOG_TEXT("before", b->instance),
	    LOG_INT("born_ms", r->start_ms), LOG_INT("slots", r->slots));
	close_conns(b->idle);
	for (struct backend_conn *c = b->busy; c != NULL; c = c->next)
		c->close_after_use = true;
	b->reported = true;
	(void)copy_str(b->instance, sizeof(b->instance), make_str(r->id));
	(void)copy_str(b->version, sizeof(b->version), make_str(r->version));
	if (r->address[0] != '\0')
		(void)copy_str(
		    b->address, sizeof(b->address), make_str(r->address));
	b->start_ms = r->start_ms;
	b->seq = 0;
	b->state = REPORT_READY;
	b->announced = false;
	b->run++;
	n->service_ns = 0;
	n->slowness = 0;
	n->failed_share = 0;
	start_notices(n);
}

/*
 * Computes the node's serving state. When it has changed, it is logged,
 * broadcast to entry nodes and announced to the control processes.
 */
static void
update_state(struct node *n)
{
	struct backend *b = n->backend;
	enum hop_state state = HOP_STATE_READY;

	if (b->state != REPORT_READY)
		state = HOP_STATE_LEAVING;
	else if (!b->reported || b->down || !are_leavings_known(n, b->start_ms))
		state = HOP_STATE_DOWN;
	if (state != n->state) {
		WRITE_EVENT(LOG_LEVEL_NOTICE, "backend.state",
		    LOG_TEXT("instance", b->instance),
		    LOG_TEXT("state", state == HOP_STATE_READY	 ? "ready" :
				      state == HOP_STATE_LEAVING ? "leaving" :
								   "down"),
		    LOG_INT("seq", b->seq),
		    LOG_INT("connect_failures", b->connect_failures));
		n->state = state;
		if (state == HOP_STATE_LEAVING)
			start_leaving_timer(n);
		publish_notice(n);
	}
	announce_state(n);
}

/*
 * Sends the load and the notices of the server to entry nodes.
 */
static void
publish_notice(struct node *n)
{
	update_notice(n);
	broadcast_load(n);
}

/*
 * Announces the endpoint to the control processes when its state has changed. A
 * server that is briefly down stays listed; entry nodes are notified of that on
 * their links.
 */
static void
announce_state(struct node *n)
{
	struct backend *b = n->backend;
	enum wire_endpoint_state state = b->state == REPORT_READY ?
					     WIRE_ENDPOINT_READY :
					     WIRE_ENDPOINT_DRAINING;
	char run[WIRE_NAME_MAX + 1];
	struct wire_endpoint self = {
	    .id = (char *)(uintptr_t)n->cfg.name,
	    .service = (char *)(uintptr_t)n->cfg.service,
	    .address = (char *)(uintptr_t)n->cfg.links_listen,
	    .zone = (char *)(uintptr_t)n->cfg.zone,
	    .instance = b->instance,
	    .backend = b->address,
	    .slots = b->slots,
	    .state = state,
	};

	if (!b->reported || (b->announced && b->announced_state == state))
		return;
	/* Other nodes choose by version only where there are roll-outs. */
	if (n->cfg.trial_share > 0 && b->version[0] != '\0' &&
	    snprintf(run, sizeof(run), "%.*s %s",
		WIRE_NAME_MAX - 1 - (int)strlen(b->version), b->instance,
		b->version) > 0)
		self.instance = run;
	if (announce_endpoint(n->cfg.agent, &self) != 0) {
		write_log(LOG_LEVEL_WARNING,
		    "cannot announce instance %s; retrying with its next "
		    "report",
		    b->instance);
		return;
	}
	b->announced = true;
	b->announced_state = state;
}

/*
 * After CONNECT_FAILURES_MAX failures in a row the server counts as down for
 * DOWN_NS, and entry nodes send their calls to other nodes.
 */
void
record_backend_connect_failure(struct node *n)
{
	struct backend *b = n->backend;

	if (++b->connect_failures < CONNECT_FAILURES_MAX)
		return;
	b->down = true;
	set_timer(n->reactor, &b->down_timer,
	    get_reactor_now(n->reactor) + DOWN_NS, leave_down_state);
	update_state(n);
}

/*
 * Offers the server to entry nodes again. A single further failure marks it as
 * down once more.
 */
static void
leave_down_state(struct timer *t)
{
	struct backend *b =
	    (struct backend *)((char *)t -
			       offsetof(struct backend, down_timer));
	struct node *n = b->node;

	b->down = false;
	b->connect_failures = CONNECT_FAILURES_MAX - 1;
	update_state(n);
}
