/*
 * Start and stop of a node, its thread, and the table in force.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "log.h"
#include "node_state.h"

#define RETRY_RATIO_DEFAULT 0.2
#define ROLLBACK_DEFAULT (5 * NSEC_PER_SEC)
#define RETRY_WINDOW_DEFAULT (10 * NSEC_PER_SEC)
#define DRAIN_DEFAULT (2 * NSEC_PER_SEC)
#define LEAVE_DEFAULT (2 * NSEC_PER_SEC)
#define STOP_DEFAULT (30 * NSEC_PER_SEC)

static int copy_strings(
    struct node *n, const struct node_config *cfg, struct fault *f);
static const char *copy_string(struct node *n, const char *text, int *rc);
static void set_defaults(struct node_config *c);
static int start_listening(struct node *n, struct fault *f);
static void *run_node(void *arg);
static void run_refresh(struct task *t);
static void apply_table(struct node *n, const struct table *t);
static void free_node(struct node *n);

/*
 * Starts a node with its thread and listeners. On an error *out is NULL and
 * the fault is set: ERR_INVALID for a bad setting, ERR_MEMORY, ERR_IO, or
 * ERR_LIMIT when no thread can be started.
 */
int
start_node(const struct node_config *cfg, struct node **out, struct fault *f)
{
	struct node *n = calloc(1, sizeof(*n));
	int rc;

	*out = NULL;
	if (n == NULL)
		return set_fault(f, ERR_MEMORY, "out of memory");
	pthread_mutex_init(&n->lock, NULL);
	pthread_cond_init(&n->drained_cond, NULL);
	n->failed_lines.scope = "calls that failed";
	n->late_lines.scope = "calls that were late or offered again";
	n->failed_job_lines.scope = "runs that failed";
	n->ok_job_lines.scope = "runs that went well";
	n->budget = plan_memory(cfg->memory, cfg->descriptors);
	rc = copy_strings(n, cfg, f);
	if (rc == 0 && open_reactor(&n->cfg.clock, &n->reactor) != 0)
		rc = set_fault(f, ERR_IO,
		    "cannot open an event loop; raise the limit of descriptors");
	if (rc == 0) {
		open_allotments(n);
		open_leavings(n);
		open_node_metrics(&n->metrics);
		rc = open_backend(n);
	}
	if (rc == 0)
		rc = start_listening(n, f);
	if (rc == 0) {
		post_task(n->reactor, &n->refresh, run_refresh);
		if (pthread_create(&n->thread, NULL, run_node, n) != 0)
			rc = set_fault(f, ERR_LIMIT,
			    "cannot start a thread; raise the limit of "
			    "processes");
	}
	if (rc != 0) {
		free_node(n);
		return rc;
	}
	*out = n;
	return 0;
}

void
refresh_node(void *node)
{
	struct node *n = node;

	post_task(n->reactor, &n->refresh, run_refresh);
}

/*
 * Begins a stop. Blocks until callers have had leave_ns to notice it and no
 * call is in flight, or until stop_ns is over. Must not be called on the node's
 * own thread.
 */
void
drain_node(struct node *n)
{
	post_task(n->reactor, &n->drain, begin_node_stop);
	pthread_mutex_lock(&n->lock);
	while (!n->drained)
		pthread_cond_wait(&n->drained_cond, &n->lock);
	pthread_mutex_unlock(&n->lock);
}

/*
 * Ends the thread and frees the node. Calls still in flight are cut off; call
 * drain_node() first to let them end.
 */
void
stop_node(struct node *n)
{
	if (n == NULL)
		return;
	stop_reactor(n->reactor);
	pthread_join(n->thread, NULL);
	free_node(n);
}

int
render_node_status(struct node *n, struct buf *out)
{
	return append_buf_fmt(
	    out, "{\"node\":\"%s\",\"zone\":\"%s\"}", n->cfg.name, n->cfg.zone);
}

/*
 * Copies the configuration with its strings and fills in the defaults.
 */
static int
copy_strings(struct node *n, const struct node_config *cfg, struct fault *f)
{
	struct node_config *c = &n->cfg;
	int rc = 0;

	*c = *cfg;
	if (cfg->name == NULL || strlen(cfg->name) >= NODE_ID_BYTES ||
	    cfg->zone == NULL || cfg->calls_listen == NULL ||
	    cfg->links_listen == NULL || cfg->agent == NULL)
		return set_fault(f, ERR_INVALID,
		    "a node needs a name of 1 to %d bytes, a zone, an agent "
		    "and addresses for callers and nodes",
		    NODE_ID_BYTES - 1);
	c->name = copy_string(n, cfg->name, &rc);
	c->zone = copy_string(n, cfg->zone, &rc);
	c->calls_listen = copy_string(n, cfg->calls_listen, &rc);
	c->links_listen = copy_string(n, cfg->links_listen, &rc);
	c->ready_listen = copy_string(n, cfg->ready_listen, &rc);
	c->reports_listen = copy_string(n, cfg->reports_listen, &rc);
	c->metrics_listen = copy_string(n, cfg->metrics_listen, &rc);
	c->service = copy_string(n, cfg->service, &rc);
	c->backend = copy_string(n, cfg->backend, &rc);
	if (rc != 0)
		return set_fault(f, ERR_MEMORY, "out of memory");
	set_defaults(c);
	n->started_wall_ns = read_wall(&c->clock);
	seed_rng(&n->rng, cfg->seed);
	return 0;
}

/*
 * Returns a copy that is freed with the node; NULL for NULL and "". Sets *rc to
 * ERR_MEMORY when out of memory and leaves it unchanged otherwise.
 */
static const char *
copy_string(struct node *n, const char *text, int *rc)
{
	if (text == NULL || text[0] == '\0')
		return NULL;
	n->strings[n->string_count] = strdup(text);
	if (n->strings[n->string_count] == NULL)
		*rc = ERR_MEMORY;
	return n->strings[n->string_count++];
}

static void
set_defaults(struct node_config *c)
{
	if (c->boot_clock.read_mono == NULL)
		c->boot_clock = c->clock;
	if (c->retry_ratio <= 0)
		c->retry_ratio = RETRY_RATIO_DEFAULT;
	if (c->retry_window_ns == 0)
		c->retry_window_ns = RETRY_WINDOW_DEFAULT;
	if (c->drain_ns == 0)
		c->drain_ns = DRAIN_DEFAULT;
	if (c->leave_ns == 0)
		c->leave_ns = LEAVE_DEFAULT;
	if (c->stop_ns == 0)
		c->stop_ns = STOP_DEFAULT;
	if (c->rollback_ns == 0)
		c->rollback_ns = ROLLBACK_DEFAULT;
	if (c->connections == 0)
		c->connections = 100;
}

/*
 * Opens the configured listeners. On an error the caller closes those opened.
 */
static int
start_listening(struct node *n, struct fault *f)
{
	const struct node_config *c = &n->cfg;
	int rc = add_listener(n, c->calls_listen, route_call, f);

	if (rc == 0)
		rc = add_listener(n, c->links_listen, NULL, f);
	if (rc == 0)
		rc = add_listener(n, c->ready_listen, answer_ready, f);
	if (rc == 0)
		rc = add_listener(n, c->reports_listen, answer_report, f);
	if (rc == 0)
		rc = add_listener(n, c->metrics_listen, answer_metrics, f);
	return rc;
}

static void *
run_node(void *arg)
{
	struct node *n = arg;

	run_reactor(n->reactor);
	return NULL;
}

/*
 * Follows the agent's current table and endpoint sets.
 */
static void
run_refresh(struct task *t)
{
	struct node *n =
	    (struct node *)((char *)t - offsetof(struct node, refresh));
	const struct table *fresh = acquire_table(n->cfg.agent);

	if (fresh != NULL &&
	    (n->table == NULL || fresh->version != n->table->version)) {
		apply_table(n, fresh);
	} else if (fresh != NULL) {
		release_table(n->cfg.agent, fresh);
	}
	refresh_services(n);
	read_leavings(n);
	if (n->cfg.trial_share > 0)
		apply_rollouts(n);
}

/*
 * Puts a table in force and takes over the caller's reference to it. Limits of
 * callers' connections are the largest of all rows, since a row is known only
 * after the request head. Calls in flight keep the policy they started with.
 */
static void
apply_table(struct node *n, const struct table *t)
{
	uint64_t before = n->table != NULL ? n->table->version : 0;
	int32_t head_kb = 1, head_ms = 1, idle_ms = 1, body_kb = 1;

	for (size_t i = 0; i < t->row_count; i++) {
		const int32_t *v = t->rows[i]->values;

		head_kb =
		    v[COL_HEAD_MAX_KB] > head_kb ? v[COL_HEAD_MAX_KB] : head_kb;
		head_ms = v[COL_HEAD_MS] > head_ms ? v[COL_HEAD_MS] : head_ms;
		idle_ms = v[COL_IDLE_MS] > idle_ms ? v[COL_IDLE_MS] : idle_ms;
		body_kb =
		    v[COL_BODY_MAX_KB] > body_kb ? v[COL_BODY_MAX_KB] : body_kb;
	}
	if (t->row_count > 0) {
		n->head_max = (size_t)head_kb * 1024;
		n->body_max = (size_t)body_kb * 1024;
		n->head_ns = head_ms * NSEC_PER_MSEC;
		n->idle_ns = idle_ms * NSEC_PER_MSEC;
	}
	if (n->table != NULL)
		release_table(n->cfg.agent, n->table);
	WRITE_EVENT(LOG_LEVEL_INFO, "table.applied",
	    LOG_INT("version", t->version), LOG_INT("before", before),
	    LOG_INT("rows", t->row_count));
	n->table = t;
	set_metric(n->metrics.table_version, (int64_t)t->version);
	refresh_admission(n);
	refresh_allotments(n);
}

/*
 * Frees the node, whose thread has ended or never started.
 */
static void
free_node(struct node *n)
{
	if (n->reactor != NULL) {
		close_listeners(n);
		close_callers(n);
		close_inbound(n);
		clear_long_answers(n);
		close_links(n);
		free_jobs(n);
		close_backend(n);
		clear_services(n);
		close_allotments(n);
		close_leavings(n);
		clear_known_notices(n);
		cancel_timer(n->reactor, &n->leave_timer);
		cancel_timer(n->reactor, &n->memory_timer);
		cancel_timer(n->reactor, &n->rollout_timer);
	}
	if (n->table != NULL)
		release_table(n->cfg.agent, n->table);
	close_reactor(n->reactor);
	for (size_t i = 0; i < n->string_count; i++)
		free(n->strings[i]);
	pthread_mutex_destroy(&n->lock);
	pthread_cond_destroy(&n->drained_cond);
	free(n);
}
