/*
 * Starts, drains and stops the data path and renders its status.
 */
#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <ck_pr.h>
#include <sodium.h>

#include "call.h"

#define CONNECTIONS_DEFAULT 100 /* to each peer */
#define DRAIN_MARGIN_S 2 /* to send answers after the last call has ended */
#define STOP_POLL_NS (5 * NSEC_PER_MSEC) /* interval in stop_proxy() */

/* A function that another thread runs on the loop and waits for. */
struct loop_job {
	struct loop_task task;
	struct proxy *proxy;
	void (*fn)(struct loop_job *job);
	struct buf *out;
	int rc; /* result of fn */
	bool done; /* fn has returned; under the proxy's lock */
};

static int copy_config(
    struct proxy *p, const struct proxy_config *cfg, struct fault *f);
static int copy_text(
    char *dst, size_t size, const char *src, const char *what, struct fault *f);
static int open_parts(struct proxy *p, struct fault *f);
static int get_drain_limit(struct proxy *p);
static void run_on_loop(
    struct proxy *p, struct loop_job *job, void (*fn)(struct loop_job *job));
static void run_loop_job(struct loop_task *t);
static void run_drain(struct loop_job *job);
static void run_stop(struct loop_job *job);
static void run_open_health(struct loop_job *job);
static void render_loop_state(struct loop_job *job);
static void sleep_briefly(void);

/*
 * Starts the data path; stop_proxy() ends it. Returns ERR_INVALID, ERR_IO,
 * ERR_LIMIT or ERR_MEMORY, and the fault names the setting to change.
 */
int
start_proxy(const struct proxy_config *cfg, struct proxy **out, struct fault *f)
{
	struct proxy *p = calloc(1, sizeof(*p));
	int rc;

	if (p == NULL)
		return set_fault(f, ERR_MEMORY, "out of memory");
	pthread_mutex_init(&p->lock, NULL);
	pthread_cond_init(&p->idle, NULL);
	p->ended_tail = &p->ended_attempts;
	rc = copy_config(p, cfg, f);
	if (rc == 0)
		rc = open_parts(p, f);
	if (rc != 0) {
		stop_proxy(p);
		return rc;
	}
	*out = p;
	return 0;
}

/*
 * Refuses new calls and waits for those in flight. The wait is bounded by the
 * largest drain_s of the table and by the configured drain_s.
 */
int
drain_proxy(struct proxy *p)
{
	struct loop_job job = {0};
	struct timespec until;
	int rc = 0;

	ck_pr_store_8((uint8_t *)&p->draining, true);
	run_on_loop(p, &job, run_drain);
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += get_drain_limit(p) + DRAIN_MARGIN_S;
	pthread_mutex_lock(&p->lock);
	while (ck_pr_load_int(&p->active) > 0 && rc == 0)
		rc = pthread_cond_timedwait(&p->idle, &p->lock, &until);
	pthread_mutex_unlock(&p->lock);
	record_event(p->cfg.events, "drain", p->node, 0, "%d calls left",
	    ck_pr_load_int(&p->active));
	return rc == 0 ? 0 : ERR_TIMEOUT;
}

/*
 * Stops the data path. The listener cannot stop while a connection is
 * suspended, so the loop first ends every call and refuses later ones.
 */
void
stop_proxy(struct proxy *p)
{
	struct loop_job job = {0};

	if (p == NULL)
		return;
	ck_pr_store_8((uint8_t *)&p->draining, true);
	ck_pr_store_8((uint8_t *)&p->stopping, true);
	ck_pr_fence_memory();
	if (p->frontend != NULL) {
		run_on_loop(p, &job, run_stop);
		while (ck_pr_load_int(&p->suspended) > 0)
			sleep_briefly();
		MHD_stop_daemon(p->frontend);
	}
	if (p->admin != NULL)
		MHD_stop_daemon(p->admin);
	while (ck_pr_load_int(&p->claims_open) > 0)
		sleep_briefly();
	if (p->loop != NULL) {
		stop_loop(p->loop);
		close_health(p);
		unload_claims(p);
		if (p->admission != NULL)
			destroy_admission(p->admission);
		unload_services(p);
		close_transfers(p->transfers);
		close_loop(p->loop);
	}
	close_budget(p->budget);
	pthread_cond_destroy(&p->idle);
	pthread_mutex_destroy(&p->lock);
	free(p);
}

bool
is_proxy_drain_requested(const struct proxy *p)
{
	return ck_pr_load_8((const uint8_t *)&p->drain_requested);
}

int
get_proxy_port(const struct proxy *p, bool admin)
{
	return admin ? p->admin_port : p->port;
}

/*
 * Appends the state as a JSON object. The state of the loop is read on the loop
 * thread.
 */
int
render_proxy_status(struct proxy *p, struct buf *out)
{
	struct loop_job job = {.out = out};
	const struct table *t = acquire_table(p->cfg.agent);
	int rc = append_buf_fmt(out,
	    "{\"node\":\"%s\",\"zone\":\"%s\",\"service\":\"%s\","
	    "\"version\":%llu,\"digest\":\"%016llx\","
	    "\"draining\":%s,\"active\":%d,\"body_memory\":%lld,"
	    "\"body_used\":%lld,\"body_waiting\":%d,\"claims_open\":%d,",
	    p->node, p->zone, p->service,
	    t != NULL ? (unsigned long long)t->version : 0ULL,
	    t != NULL ? (unsigned long long)t->digest : 0ULL,
	    ck_pr_load_8((uint8_t *)&p->draining) ? "true" : "false",
	    ck_pr_load_int(&p->active), (long long)get_budget_size(p->budget),
	    (long long)get_budget_used(p->budget),
	    ck_pr_load_int(&p->bodies_waiting),
	    ck_pr_load_int(&p->claims_open));

	if (t != NULL)
		release_table(p->cfg.agent, t);
	if (rc == 0) {
		run_on_loop(p, &job, render_loop_state);
		rc = job.rc;
	}
	if (rc == 0)
		rc = append_buf_str(out, make_str(",\"rows\":"));
	if (rc == 0)
		rc = render_rows(out);
	if (rc == 0)
		rc = append_buf_str(out, make_str(",\"agent\":"));
	if (rc == 0)
		rc = render_agent_status(p->cfg.agent, out);
	return rc != 0 ? rc : append_buf_str(out, make_str("}\n"));
}

int
render_proxy_table(struct proxy *p, struct buf *out)
{
	const struct table *t = acquire_table(p->cfg.agent);
	int rc = 0;

	if (t != NULL) {
		rc = render_table_csv(t, out);
		release_table(p->cfg.agent, t);
	}
	return rc;
}

/*
 * Copies and checks the configuration and fills in defaults. Returns
 * ERR_INVALID with a fault that names the setting.
 */
static int
copy_config(struct proxy *p, const struct proxy_config *cfg, struct fault *f)
{
	const struct proxy_backend *b = &cfg->backend;
	bool has_backend = b->service != NULL && b->service[0] != '\0';
	int rc = copy_text(p->node, sizeof(p->node), cfg->node, "node", f);

	p->cfg = *cfg;
	if (rc == 0)
		rc = copy_text(p->zone, sizeof(p->zone), cfg->zone, "zone", f);
	if (rc == 0)
		rc = copy_text(p->listen, sizeof(p->listen), cfg->listen,
		    "listen address", f);
	if (rc == 0 && cfg->admin_listen != NULL)
		rc = copy_text(p->admin_listen, sizeof(p->admin_listen),
		    cfg->admin_listen, "admin listen address", f);
	if (rc == 0 && has_backend)
		rc = copy_text(p->service, sizeof(p->service), b->service,
		    "service of the backend server", f);
	if (rc == 0 && has_backend)
		rc = copy_text(p->backend, sizeof(p->backend), b->address,
		    "address of the backend server", f);
	if (rc == 0)
		rc = copy_text(p->health_path, sizeof(p->health_path),
		    b->health_path != NULL ? b->health_path : "/health",
		    "health path", f);
	if (rc == 0 && has_backend && b->slots < 1)
		rc = set_fault(f, ERR_INVALID,
		    "slots of the backend server: give at least 1");
	if (p->cfg.body_memory <= 0)
		p->cfg.body_memory = PROXY_BODY_MEMORY_DEFAULT;
	if (p->cfg.backend.connections <= 0)
		p->cfg.backend.connections = CONNECTIONS_DEFAULT;
	return rc;
}

static int
copy_text(
    char *dst, size_t size, const char *src, const char *what, struct fault *f)
{
	if (src == NULL || copy_str(dst, size, make_str(src)) != 0)
		return set_fault(f, ERR_INVALID,
		    "%s: give a value of at most %zu bytes", what, size - 1);
	return 0;
}

/*
 * Opens the parts and starts the loop thread, then the listeners, then the
 * health checks. stop_proxy() cleans up after an error.
 */
static int
open_parts(struct proxy *p, struct fault *f)
{
	struct loop_hooks hooks = {end_transfer, process_ended_attempts, p};
	struct loop_job job = {0};
	int rc;

	curl_global_init(CURL_GLOBAL_NOTHING);
	seed_rng_random(&p->rng);
	p->id_seed = draw_u64(&p->rng);
	if (p->cfg.seed != 0)
		seed_rng(&p->rng, p->cfg.seed);
	rc = open_budget(p->cfg.body_memory, &p->budget);
	if (rc == 0)
		rc = open_loop(p->cfg.clock, &hooks, &p->loop);
	if (rc == 0)
		rc = open_transfers(
		    p->loop, p->cfg.backend.connections, &p->transfers);
	if (rc == 0 && p->service[0] != '\0')
		rc = open_admission(p, false);
	if (rc == 0)
		rc = start_loop(p->loop);
	if (rc != 0)
		return set_fault(f, rc,
		    "the data path did not start (%s): raise the limits on "
		    "memory, threads and open files",
		    get_err_name(rc));
	rc = open_frontend(p, f);
	if (rc == 0 && p->admin_listen[0] != '\0')
		rc = open_admin(p, f);
	if (rc != 0)
		return rc;
	run_on_loop(p, &job, run_open_health);
	return job.rc;
}

/*
 * Returns the largest drain_s of the current table in seconds, at least 1 and
 * at most the configured one.
 */
static int
get_drain_limit(struct proxy *p)
{
	const struct table *t = acquire_table(p->cfg.agent);
	int limit = 1;

	for (size_t i = 0; t != NULL && i < t->row_count; i++) {
		if (t->rows[i]->values[COL_DRAIN_S] > limit)
			limit = t->rows[i]->values[COL_DRAIN_S];
	}
	if (t != NULL)
		release_table(p->cfg.agent, t);
	if (p->cfg.drain_s > 0 && p->cfg.drain_s < limit)
		limit = p->cfg.drain_s;
	return limit;
}

/*
 * Runs fn on the loop thread and waits until it has returned.
 */
static void
run_on_loop(
    struct proxy *p, struct loop_job *job, void (*fn)(struct loop_job *job))
{
	job->proxy = p;
	job->fn = fn;
	job->task.run = run_loop_job;
	post_loop_task(p->loop, &job->task);
	pthread_mutex_lock(&p->lock);
	while (!job->done)
		pthread_cond_wait(&p->idle, &p->lock);
	pthread_mutex_unlock(&p->lock);
}

/*
 * Loop thread: runs a job's function and wakes run_on_loop().
 */
static void
run_loop_job(struct loop_task *t)
{
	struct loop_job *job =
	    (struct loop_job *)((char *)t - offsetof(struct loop_job, task));
	struct proxy *p = job->proxy;

	job->fn(job);
	pthread_mutex_lock(&p->lock);
	job->done = true;
	pthread_cond_broadcast(&p->idle);
	pthread_mutex_unlock(&p->lock);
}

static void
run_drain(struct loop_job *job)
{
	announce_drain(job->proxy);
	apply_drain_limits(job->proxy);
}

static void
run_stop(struct loop_job *job)
{
	cancel_calls(job->proxy);
}

static void
run_open_health(struct loop_job *job)
{
	job->rc = open_health(job->proxy);
}

static void
render_loop_state(struct loop_job *job)
{
	struct proxy *p = job->proxy;
	struct admission_load l = {0};

	if (p->admission != NULL)
		l = get_admission_load(p->admission, get_loop_time(p->loop));
	job->rc = append_buf_fmt(job->out,
	    "\"backend\":{\"state\":\"%s\",\"in_flight\":%d,\"queued\":%d,"
	    "\"slots\":%d,\"limit\":%d},\"services\":",
	    get_health_name(p), l.in_flight, l.queued, l.slots, l.limit);
	if (job->rc == 0)
		job->rc = render_services(p, job->out);
}

static void
sleep_briefly(void)
{
	struct timespec ts = {0, STOP_POLL_NS};

	nanosleep(&ts, NULL);
}
