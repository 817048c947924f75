/*
 * The agent's public interface, its thread, and start and stop.
 */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <jansson.h>

#include "agent_core.h"

#define EXPIRY_INTERVAL_NS (10 * NSEC_PER_SEC) /* checks of interest */
#define WAIT_MAX_NS NSEC_PER_SEC /* longest sleep of the agent's thread */
#define LEAVE_TIMEOUT_NS NSEC_PER_SEC /* for GONE and unfinished claims */

static int load_config(
    struct agent *a, const struct agent_config *cfg, struct fault *f);
static int open_peers(
    struct agent *a, const struct agent_config *cfg, struct fault *f);
static void start_plan(struct agent *a, const struct agent_config *cfg);
static void register_metrics(struct agent_metrics *m);
static void free_agent(struct agent *a);
static void *run_agent(void *arg);
static void process_queues(struct agent *a, int64_t now);
static void notify_change(struct agent *a);
static void wait_for_work(struct agent *a, int64_t wait_ns);
static struct timespec get_wait_deadline(int64_t wait_ns);
static void leave_fleet(struct agent *a);
static void finish_claims(struct agent *a);
static int copy_claim(struct agent_claim *c, const struct claim_request *req);

/*
 * Starts watching at once; the first table arrives later. On success the
 * caller stops *out with stop_agent(). Returns ERR_INVALID (names, addresses,
 * key), ERR_LIMIT (too many services of interest), ERR_IO (no thread) or
 * ERR_MEMORY, with *out NULL.
 */
int
start_agent(const struct agent_config *cfg, struct agent **out, struct fault *f)
{
	struct agent *a = calloc(1, sizeof(*a));
	pthread_condattr_t attr;
	int rc;

	*out = NULL;
	if (a == NULL)
		return set_fault(f, ERR_MEMORY,
		    "out of memory; give the process more memory");
	pthread_mutex_init(&a->lock, NULL);
	pthread_mutex_init(&a->ask_lock, NULL);
	a->leader = -1;
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&a->work_ready, &attr);
	pthread_cond_init(&a->stop_progress, &attr);
	pthread_condattr_destroy(&attr);
	a->outcomes_tail = &a->outcomes;
	a->new_claims_tail = &a->new_claims;
	register_metrics(&a->metrics);
	rc = load_config(a, cfg, f);
	if (rc == 0)
		rc = open_peers(a, cfg, f);
	if (rc == 0) {
		start_plan(a, cfg);
		if (pthread_create(&a->thread, NULL, run_agent, a) != 0)
			rc = set_fault(f, ERR_IO,
			    "cannot start a thread; raise the process limit");
	}
	if (rc != 0) {
		close_rpc_client(a->client);
		free_agent(a);
		return rc;
	}
	*out = a;
	return 0;
}

/*
 * Announces GONE and waits up to LEAVE_TIMEOUT_NS for its confirmation and for
 * unfinished claims, then ends the thread and frees the agent. The caller must
 * have released every table and set.
 */
void
stop_agent(struct agent *a)
{
	if (a == NULL)
		return;
	leave_fleet(a);
	pthread_mutex_lock(&a->lock);
	a->stopping = true;
	pthread_cond_signal(&a->work_ready);
	pthread_mutex_unlock(&a->lock);
	pthread_join(a->thread, NULL);
	close_rpc_client(a->client);
	finish_claims(a);
	free_agent(a);
}

const struct table *
acquire_table(struct agent *a)
{
	return pin_table(a->table_pins);
}

void
release_table(struct agent *a, const struct table *t)
{
	unpin_table(a->table_pins, t);
}

/*
 * The first request for a service adds it to the interest and wakes the
 * agent's thread, which then subscribes to it.
 */
const struct endpoint_set *
acquire_endpoints(struct agent *a, struct str service)
{
	int64_t now = read_mono(&a->clock);
	const struct endpoint_set *set = acquire_set(a->sets, service, now);

	if (set == NULL && add_interest(a->sets, service, false, now) == 1) {
		pthread_mutex_lock(&a->lock);
		a->changed = true;
		pthread_cond_signal(&a->work_ready);
		pthread_mutex_unlock(&a->lock);
	}
	return set;
}

void
release_endpoints(struct agent *a, const struct endpoint_set *s)
{
	release_set(a->sets, s);
}

/*
 * Replaces the node's endpoint record. It is sent at once, and again to every
 * control process that the agent moves to. Returns ERR_LIMIT, with no change,
 * for a text that is too long, and ERR_CLOSED once stop_agent() has begun.
 */
int
announce_endpoint(struct agent *a, const struct wire_endpoint *self)
{
	struct own_endpoint s = {
	    .announced = true, .slots = self->slots, .state = self->state};
	int rc = copy_str(s.id, sizeof(s.id), make_str(self->id));

	if (rc == 0)
		rc = copy_str(
		    s.service, sizeof(s.service), make_str(self->service));
	if (rc == 0)
		rc = copy_str(
		    s.address, sizeof(s.address), make_str(self->address));
	if (rc == 0)
		rc = copy_str(s.zone, sizeof(s.zone), make_str(self->zone));
	if (rc == 0)
		rc = copy_str(
		    s.instance, sizeof(s.instance), make_str(self->instance));
	if (rc == 0)
		rc = copy_str(
		    s.backend, sizeof(s.backend), make_str(self->backend));
	if (rc != 0)
		return rc;
	pthread_mutex_lock(&a->lock);
	if (a->leaving) {
		rc = ERR_CLOSED;
	} else {
		s.seq = a->self.seq + 1;
		a->self = s;
		a->changed = true;
		pthread_cond_signal(&a->work_ready);
	}
	pthread_mutex_unlock(&a->lock);
	return rc;
}

/*
 * Queues a copy of the request for the agent's thread. Returns ERR_MEMORY,
 * ERR_INVALID, ERR_CLOSED or ERR_LIMIT without running fn.
 */
int
request_claim(
    struct agent *a, const struct claim_request *req, claim_fn fn, void *arg)
{
	struct agent_claim *c = calloc(1, sizeof(*c));
	int rc;

	if (c == NULL)
		return ERR_MEMORY;
	c->agent = a;
	c->fn = fn;
	c->arg = arg;
	rc = copy_claim(c, req);
	pthread_mutex_lock(&a->lock);
	if (rc == 0 && (a->leaving || a->stopping))
		rc = ERR_CLOSED;
	if (rc == 0 && a->claim_count >= AGENT_CLAIMS_MAX)
		rc = ERR_LIMIT;
	if (rc == 0) {
		a->claim_count++;
		*a->new_claims_tail = c;
		a->new_claims_tail = &c->next;
		pthread_cond_signal(&a->work_ready);
	}
	pthread_mutex_unlock(&a->lock);
	if (rc != 0)
		free(c);
	return rc;
}

/*
 * Hands the addresses to the agent's thread, which replaces the seeds with
 * those that are valid. A list that the thread has not read yet is
 * overwritten. Returns ERR_LIMIT for too many or too long addresses.
 */
int
set_agent_seeds(struct agent *a, const char *const *addresses, size_t count)
{
	int rc = 0;

	if (count > AGENT_CONTROL_MAX)
		return ERR_LIMIT;
	pthread_mutex_lock(&a->lock);
	for (size_t i = 0; i < count && rc == 0; i++)
		rc = copy_str(a->new_controls[i], sizeof(a->new_controls[i]),
		    make_str(addresses[i]));
	a->new_control_count = rc == 0 ? count : 0;
	a->woken = true;
	pthread_cond_signal(&a->work_ready);
	pthread_mutex_unlock(&a->lock);
	return rc;
}

bool
is_agent_attached(struct agent *a)
{
	bool attached;

	pthread_mutex_lock(&a->lock);
	attached = a->status_attached;
	pthread_mutex_unlock(&a->lock);
	return attached;
}

int
set_agent_keys(struct agent *a, struct str key, struct str next_key)
{
	return set_rpc_client_keys(a->client, key, next_key);
}

void
wake_agent(struct agent *a)
{
	wake_rpc_client(a->client);
	pthread_mutex_lock(&a->lock);
	a->woken = true;
	pthread_cond_signal(&a->work_ready);
	pthread_mutex_unlock(&a->lock);
}

/*
 * Appends the state and the list of endpoint sets. Returns 0 or ERR_MEMORY.
 */
int
render_agent_status(struct agent *a, struct buf *out)
{
	struct buf sets = {0};
	json_t *j = NULL;
	char *text = NULL;
	int rc = render_sets(a->sets, &sets);

	if (rc == 0) {
		pthread_mutex_lock(&a->lock);
		j = json_pack(
		    "{s:s, s:s, s:I, s:I, s:s, s:b, s:i, s:i, s:i, s:s?, s:I}",
		    "node", a->node, "zone", a->zone, "version",
		    (json_int_t)a->status_version, "refused_version",
		    (json_int_t)a->status_refused, "control",
		    a->controls[a->status_control], "attached",
		    a->status_attached, "claims", a->claim_count,
		    "claims_closing", a->status_closing, "versions_held",
		    count_pinned_versions(a->table_pins), "endpoint",
		    a->self.announced ? a->self.address : NULL, "endpoint_seq",
		    (json_int_t)a->self.seq);
		pthread_mutex_unlock(&a->lock);
		json_object_set_new(
		    j, "services", json_loadb(sets.data, sets.len, 0, NULL));
		text = json_dumps(j, JSON_COMPACT);
		rc = text != NULL ? append_buf_str(out, make_str(text)) :
				    ERR_MEMORY;
	}
	free(text);
	json_decref(j);
	unload_buf(&sets);
	return rc;
}

/*
 * Queues an outcome for the agent's thread, which frees it. Any thread may
 * call it.
 */
void
post_agent_outcome(struct agent_outcome *o, struct agent *a)
{
	pthread_mutex_lock(&a->lock);
	*a->outcomes_tail = o;
	a->outcomes_tail = &o->next;
	pthread_cond_signal(&a->work_ready);
	pthread_mutex_unlock(&a->lock);
}

/*
 * Copies the configuration and opens the table holder and the set store.
 * Returns ERR_INVALID, ERR_LIMIT or ERR_MEMORY with a fault.
 */
static int
load_config(struct agent *a, const struct agent_config *cfg, struct fault *f)
{
	int rc;

	a->clock = cfg->clock.read_mono != NULL ? cfg->clock : get_real_clock();
	a->events = cfg->events;
	if (cfg->node == NULL || cfg->node[0] == '\0' ||
	    copy_str(a->node, sizeof(a->node), make_str(cfg->node)) != 0 ||
	    copy_str(a->zone, sizeof(a->zone), make_str(cfg->zone)) != 0)
		return set_fault(f, ERR_INVALID,
		    "node and zone names: give 1 to %d bytes", WIRE_NAME_MAX);
	if (cfg->control_count == 0 || cfg->control_count > AGENT_CONTROL_MAX)
		return set_fault(f, ERR_INVALID,
		    "control processes: name 1 to %d", AGENT_CONTROL_MAX);
	a->discovers = cfg->discover_controls;
	a->rollouts.enabled = cfg->rollouts;
	a->controls_digest = 1;
	a->heartbeat_ms =
	    cfg->heartbeat_ms != 0 ? cfg->heartbeat_ms : AGENT_HEARTBEAT_MS;
	a->on_change = cfg->on_change;
	a->on_change_arg = cfg->on_change_arg;
	a->incarnation = (uint64_t)read_wall(&a->clock);
	a->next_expiry = read_mono(&a->clock) + EXPIRY_INTERVAL_NS;
	seed_rng(&a->rng, cfg->seed + 1);
	a->table_pins = open_table_pins();
	a->sets = open_set_store();
	if (a->table_pins == NULL || a->sets == NULL)
		return set_fault(f, ERR_MEMORY,
		    "out of memory; give the process more memory");
	for (size_t i = 0; i < cfg->interest_count; i++) {
		rc = add_interest(a->sets, make_str(cfg->interest[i]), true,
		    read_mono(&a->clock));
		if (rc < 0)
			return set_fault(f, rc,
			    "interest \"%s\": use at most %d names of a-z, "
			    "0-9 and -",
			    cfg->interest[i], WIRE_INTEREST_MAX);
	}
	return 0;
}

/*
 * Opens the RPC client and a peer for each configured control process, which
 * are the first seeds.
 */
static int
open_peers(struct agent *a, const struct agent_config *cfg, struct fault *f)
{
	struct rpc_client_config rc_cfg = {.clock = a->clock,
	    .key = cfg->key,
	    .hooks = cfg->hooks,
	    .connect_ms = cfg->connect_ms,
	    .tcp_connect_ms = cfg->tcp_connect_ms};
	int rc = open_rpc_client(&rc_cfg, &a->client, f);

	if (rc != 0)
		return rc;
	if (cfg->next_key.len > 0 &&
	    set_rpc_client_keys(a->client, cfg->key, cfg->next_key) != 0)
		return set_fault(f, ERR_INVALID,
		    "next fleet key: give %d to %d bytes", RPC_KEY_MIN_BYTES,
		    RPC_KEY_MAX_BYTES);
	for (size_t i = 0; i < cfg->control_count; i++) {
		rc = add_control(a, cfg->controls[i]);
		if (rc < 0)
			return set_fault(f, (enum err)rc,
			    "address \"%s\": write IP:port or [IPv6]:port",
			    cfg->controls[i]);
		a->seed_mask |= 1ULL << rc;
	}
	return 0;
}

/*
 * Starts the watch plan with the control processes of the node's own
 * availability zone first.
 */
static void
start_plan(struct agent *a, const struct agent_config *cfg)
{
	bool same_zone[AGENT_KNOWN_CONTROLS_MAX] = {false};
	struct watch_timing *t = &a->watch_plan.timing;

	for (size_t i = 0; i < cfg->control_count; i++)
		same_zone[i] = cfg->control_zones[i] != NULL &&
			       strcmp(cfg->control_zones[i], a->zone) == 0;
	a->interest_control = -1;
	start_watch_plan(&a->watch_plan, a->control_count, same_zone, cfg->seed,
	    read_mono(&a->clock));
	if (cfg->overdue_ms != 0)
		t->overdue_ms = cfg->overdue_ms;
	if (cfg->reconnect_ms != 0)
		t->first_delay_ms = cfg->reconnect_ms;
	if (cfg->reconnect_max_ms != 0)
		t->delay_max_ms = cfg->reconnect_max_ms;
	a->status_control = get_watch_control(&a->watch_plan);
}

static void
register_metrics(struct agent_metrics *m)
{
	m->switches = register_metric(METRIC_COUNTER,
	    "ggs_agent_switches_total", "Table versions put in force.");
	m->refused = register_metric(METRIC_COUNTER, "ggs_agent_refused_total",
	    "Table versions refused as damaged or invalid.");
	m->ignored = register_metric(METRIC_COUNTER, "ggs_agent_ignored_total",
	    "Updates not above what is held or without their base.");
	m->failures = register_metric(METRIC_COUNTER, "ggs_agent_moves_total",
	    "Control processes left for another one.");
	m->overdue = register_metric(METRIC_COUNTER, "ggs_agent_overdue_total",
	    "Watches without a reply in time.");
	m->limits = register_metric(METRIC_COUNTER, "ggs_agent_limits_total",
	    "Watches put off by a busy control process.");
	m->claims = register_metric(
	    METRIC_COUNTER, "ggs_agent_claims_total", "Claim requests.");
	m->claim_failures =
	    register_metric(METRIC_COUNTER, "ggs_agent_claim_failures_total",
		"Attempts of claim requests without success.");
	m->closing = register_metric(METRIC_GAUGE, "ggs_agent_claims_closing",
	    "Claims that are being closed in the background.");
	m->version = register_metric(
	    METRIC_GAUGE, "ggs_agent_table_version", "Table version in force.");
}

/*
 * Frees what is left after the threads have ended.
 */
static void
free_agent(struct agent *a)
{
	struct agent_outcome *o;

	while ((o = a->outcomes) != NULL) {
		a->outcomes = o->next;
		free(o->watch);
		unload_buf(&o->body);
		free(o);
	}
	unload_buf(&a->rollouts.report);
	free_agent_ask(a);
	free_agent_leavings(a);
	close_table_pins(a->table_pins);
	close_set_store(a->sets);
	pthread_cond_destroy(&a->work_ready);
	pthread_cond_destroy(&a->stop_progress);
	pthread_mutex_destroy(&a->lock);
	pthread_mutex_destroy(&a->ask_lock);
	free(a);
}

/*
 * The agent's thread: handles queued work, expires sets and interest, sends
 * watches and claims, and sleeps until the next deadline.
 */
static void *
run_agent(void *arg)
{
	struct agent *a = arg;
	bool stopping = false;

	while (!stopping) {
		int64_t now = read_mono(&a->clock);
		int64_t until = now + WAIT_MAX_NS;

		process_queues(a, now);
		add_new_controls(a);
		if (expire_retained(a->sets, now) > 0)
			notify_change(a);
		if (now >= a->next_expiry) {
			a->next_expiry = now + EXPIRY_INTERVAL_NS;
			if (expire_interest(a->sets, now) > 0)
				record_node_change(&a->watch_plan, now);
		}
		step_agent_watch(a, now, &until);
		step_agent_claims(a, now, &until);
		step_agent_rollouts(a, now, &until);
		wait_for_work(a, until - now);
		pthread_mutex_lock(&a->lock);
		stopping = a->stopping;
		pthread_mutex_unlock(&a->lock);
	}
	return NULL;
}

/*
 * Handles the outcomes of claims that arrived until the RPC client was closed,
 * then reports to every caller that still waits.
 */
static void
finish_claims(struct agent *a)
{
	int64_t now = read_mono(&a->clock);
	struct agent_claim *c;

	for (struct agent_outcome *o = a->outcomes; o != NULL; o = o->next) {
		if (o->claim != NULL)
			handle_claim_outcome(a, o, now);
	}
	while ((c = a->new_claims) != NULL) {
		a->new_claims = c->next;
		start_agent_claim(a, c, now);
	}
	end_agent_claims(a, now);
}

/*
 * Takes the queued outcomes, claims and flags under the lock and handles them
 * without it.
 */
static void
process_queues(struct agent *a, int64_t now)
{
	struct agent_outcome *o, *next;
	struct agent_claim *c, *next_claim;
	bool changed, leaving;

	pthread_mutex_lock(&a->lock);
	o = a->outcomes;
	a->outcomes = NULL;
	a->outcomes_tail = &a->outcomes;
	c = a->new_claims;
	a->new_claims = NULL;
	a->new_claims_tail = &a->new_claims;
	changed = a->changed;
	a->changed = false;
	a->woken = false;
	leaving = a->leaving;
	pthread_mutex_unlock(&a->lock);
	if (changed && leaving)
		record_node_leaving(&a->watch_plan);
	else if (changed)
		record_node_change(&a->watch_plan, now);
	for (; o != NULL; o = next) {
		next = o->next;
		if (o->watch != NULL)
			handle_watch_outcome(a, o, now);
		else if (o->ask != NULL)
			handle_ask_outcome(a, o, now);
		else if (o->leavings != NULL)
			handle_leavings_outcome(a, o, now);
		else
			handle_claim_outcome(a, o, now);
		unload_buf(&o->body);
		free(o);
	}
	for (; c != NULL; c = next_claim) {
		next_claim = c->next;
		start_agent_claim(a, c, now);
	}
	start_agent_ask(a, now);
	start_agent_leavings(a, now);
}

static void
notify_change(struct agent *a)
{
	if (a->on_change != NULL)
		a->on_change(a->on_change_arg);
}

/*
 * Sleeps until there is work, at most wait_ns of real time.
 */
static void
wait_for_work(struct agent *a, int64_t wait_ns)
{
	struct timespec ts = get_wait_deadline(wait_ns);

	pthread_mutex_lock(&a->lock);
	while (a->outcomes == NULL && a->new_claims == NULL && !a->changed &&
	       !a->ask_is_new && !a->leavings_are_new && !a->woken &&
	       !a->stopping) {
		if (pthread_cond_timedwait(&a->work_ready, &a->lock, &ts) != 0)
			break;
	}
	pthread_mutex_unlock(&a->lock);
}

/*
 * Returns the CLOCK_MONOTONIC time in wait_ns from now. The agent's own clock
 * may be paused, so it cannot time a condition variable.
 */
static struct timespec
get_wait_deadline(int64_t wait_ns)
{
	struct timespec ts;
	int64_t t;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	t = ts.tv_sec * NSEC_PER_SEC + ts.tv_nsec + (wait_ns > 0 ? wait_ns : 0);
	ts.tv_sec = t / NSEC_PER_SEC;
	ts.tv_nsec = t % NSEC_PER_SEC;
	return ts;
}

/*
 * Announces GONE and waits up to LEAVE_TIMEOUT_NS of real time until a control
 * process has confirmed it and no claim is unfinished. Without a connection it
 * does not wait for GONE.
 */
static void
leave_fleet(struct agent *a)
{
	struct timespec ts = get_wait_deadline(LEAVE_TIMEOUT_NS);

	pthread_mutex_lock(&a->lock);
	a->leaving = true;
	if (a->self.announced) {
		a->self.state = WIRE_ENDPOINT_GONE;
		a->self.seq++;
		a->changed = true;
		pthread_cond_signal(&a->work_ready);
	}
	while ((a->self.announced && !a->gone_confirmed &&
		   (a->status_attached || a->status_watching)) ||
	       a->claim_count > 0) {
		if (pthread_cond_timedwait(&a->stop_progress, &a->lock, &ts) !=
		    0)
			break;
	}
	pthread_mutex_unlock(&a->lock);
}

/*
 * Copies a request. Returns ERR_INVALID for an empty kind or key, a text with
 * a NUL, a length that the message cannot carry, or a timeout that is not
 * positive.
 */
static int
copy_claim(struct agent_claim *c, const struct claim_request *req)
{
	if (req->kind.len == 0 || req->key.len == 0 || req->timeout_ms <= 0 ||
	    copy_str(c->kind, sizeof(c->kind), req->kind) != 0 ||
	    copy_str(c->key, sizeof(c->key), req->key) != 0 ||
	    strlen(c->kind) != req->kind.len ||
	    strlen(c->key) != req->key.len ||
	    req->answer.len > sizeof(c->answer))
		return ERR_INVALID;
	memcpy(c->claim_id, req->claim_id, sizeof(c->claim_id));
	c->state = req->state;
	c->keep_s = req->keep_s;
	c->http_status = req->http_status;
	c->timeout_ms = req->timeout_ms;
	if (req->answer.len > 0)
		memcpy(c->answer, req->answer.data, req->answer.len);
	c->answer_len = req->answer.len;
	c->answer_whole = req->answer_whole;
	return 0;
}
