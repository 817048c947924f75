/*
 * The role of a process on the users' platform: a node beside a backend server
 * or a control process, as the platform's settings file says.
 */
#include <malloc.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "agent.h"
#include "control.h"
#include "daemon.h"
#include "log.h"
#include "node.h"
#include "platform.h"

#define CONFIG_VARIABLE "GREENGAGESPUR_CONFIG" /* path of the settings file */
/*
 * The platform provides no secret, and only its own processes can reach its
 * internal ports. This key is public; it only serves to detect damaged
 * messages.
 */
#define PUBLIC_RPC_KEY "greengagespur-open-network"
/*
 * A node must receive a new table version within 2 s of its acceptance, and
 * must leave a control process that is partitioned, so it requires a reply
 * every second.
 */
#define WATCH_HEARTBEAT_MS 1000
#define WATCH_OVERDUE_MS 1700
#define RECONNECT_DELAY_MS 100
#define RECONNECT_DELAY_MAX_MS 400
#define CONNECT_TIMEOUT_MS 1000
/*
 * The kernel resends a lost SYN only after 1 s. Zones are a few ms apart, so
 * without an answer in this time the machine is down or the packet was lost.
 */
#define TCP_CONNECT_TIMEOUT_MS 200
/* Readiness is checked every second; after two misses callers are moved. */
#define STOP_NOTICE_NS (2300 * NSEC_PER_MSEC)
/*
 * For the last answers and for leaving the fleet, before SIGKILL. Runs are cut
 * in the last sixth of the time at the earliest, whatever that time is.
 */
#define STOP_MARGIN_MAX_S 1.0
#define STOP_MARGIN_SHARE (1.0 / 6)
#define HEAP_MAX_BYTES (256 * 1024) /* of a buffer in the heap */
#define HEAP_SPARE_BYTES (1024 * 1024) /* free memory at the end of the heap */

static struct platform_settings settings;
static struct agent *agent;
static pthread_mutex_t node_lock = PTHREAD_MUTEX_INITIALIZER; /* of node */
static struct node *node;
static struct control *control;
static struct timespec settings_mtime; /* of the settings file */

static int check_platform(const struct settings *s, struct fault *f);
static int start(const struct settings *s, const struct fleet_keys *keys,
    struct event_log *events, struct fault *f);
static bool is_stop_requested(void);
static int stop(struct fault *f);
static int start_platform_control(
    struct event_log *events, uint64_t seed, struct fault *f);
static int start_platform_node(
    struct event_log *events, uint64_t seed, struct fault *f);
static void handle_agent_change(void *arg);
static int64_t get_stop_ns(void);
static void fill_seed_addresses(const char **out);
static void limit_heap(void);
static void reload_settings(void);

static const struct role role = {
    "platform", check_platform, start, is_stop_requested, stop};

const struct role *
get_platform_role(void)
{
	return &role;
}

/*
 * Loads and checks the platform's settings file.
 */
static int
check_platform(const struct settings *s, struct fault *f)
{
	(void)s;
	return load_platform_settings(getenv(CONFIG_VARIABLE), &settings, f);
}

/*
 * Starts a node beside a backend server, or else a control process.
 */
static int
start(const struct settings *s, const struct fleet_keys *keys,
    struct event_log *events, struct fault *f)
{
	struct stat st;

	(void)keys;
	set_log_name(settings.name);
	if (settings.memory > 0)
		limit_heap();
	if (stat(getenv(CONFIG_VARIABLE), &st) == 0)
		settings_mtime = st.st_mtim;
	return settings.serves_backend ?
		   start_platform_node(events, get_seed(s), f) :
		   start_platform_control(events, get_seed(s), f);
}

/*
 * Called every STOP_POLL_NS. Also reloads the settings file when it has
 * changed, because the platform does not always send a signal.
 */
static bool
is_stop_requested(void)
{
	struct fault f;
	struct stat st;

	if (stat(getenv(CONFIG_VARIABLE), &st) == 0 &&
	    (st.st_mtim.tv_sec != settings_mtime.tv_sec ||
		st.st_mtim.tv_nsec != settings_mtime.tv_nsec)) {
		settings_mtime = st.st_mtim;
		reload_settings();
	}
	return control != NULL && has_control_failed(control, &f);
}

/*
 * Drains the node first; the agent, which leaves the fleet, stops last.
 */
static int
stop(struct fault *f)
{
	struct node *n = node;
	int rc = 0;

	if (n != NULL) {
		drain_node(n);
		pthread_mutex_lock(&node_lock);
		node = NULL;
		pthread_mutex_unlock(&node_lock);
		stop_node(n);
		stop_agent(agent);
	}
	if (control != NULL) {
		rc = has_control_failed(control, f) ? (int)f->kind : 0;
		stop_control(control);
	}
	return rc;
}

static int
start_platform_control(struct event_log *events, uint64_t seed, struct fault *f)
{
	struct control_config c = {
	    .auto_members = true,
	    .first_start = settings.first_start,
	    .memory = settings.memory,
	    .descriptors = settings.descriptors,
	    .voters_wanted = 2 * (size_t)settings.machine_losses_max + 1,
	    .seed_count = settings.seed_count,
	    .zone = settings.zone,
	    .rpc_listen = settings.rpc_listen,
	    .http_listen = settings.control_listen,
	    .metrics_listen = settings.metrics_listen,
	    .data_dir = settings.data_dir,
	    .key = make_str(PUBLIC_RPC_KEY),
	    .allow_unauthenticated = true,
	    .tcp_connect_ms = TCP_CONNECT_TIMEOUT_MS,
	    .api = handle_platform_request,
	    .rollouts = settings.trial_share > 0,
	    .tolerance =
		{
		    .window_ns =
			(int64_t)(settings.allotment_window_s * NSEC_PER_SEC),
		    .overshoot = settings.allotment_overshoot,
		    .slack = settings.allotment_slack,
		},
	    .clock = get_real_clock(),
	    .events = events,
	    .seed = seed,
	};

	fill_seed_addresses(c.seeds);
	return start_control(&c, &control, f);
}

/*
 * Starts the agent, then the node. If the node fails, the agent is stopped.
 */
static int
start_platform_node(struct event_log *events, uint64_t seed, struct fault *f)
{
	struct agent_config a = {
	    .clock = get_real_clock(),
	    .events = events,
	    .node = settings.name,
	    .zone = settings.zone,
	    .control_count = settings.seed_count,
	    .key = make_str(PUBLIC_RPC_KEY),
	    .seed = seed,
	    .connect_ms = CONNECT_TIMEOUT_MS,
	    .tcp_connect_ms = TCP_CONNECT_TIMEOUT_MS,
	    .discover_controls = true,
	    .heartbeat_ms = WATCH_HEARTBEAT_MS,
	    .overdue_ms = WATCH_OVERDUE_MS,
	    .reconnect_ms = RECONNECT_DELAY_MS,
	    .reconnect_max_ms = RECONNECT_DELAY_MAX_MS,
	    .on_change = handle_agent_change,
	    .rollouts = settings.trial_share > 0,
	};
	struct node_config n = {
	    .clock = get_real_clock(),
	    .boot_clock = get_boot_clock(),
	    .events = events,
	    .name = settings.name,
	    .zone = settings.zone,
	    .calls_listen = settings.calls_listen,
	    .links_listen = settings.links_listen,
	    .ready_listen = settings.ready_listen,
	    .reports_listen = settings.control_listen,
	    .metrics_listen = settings.metrics_listen,
	    .service = settings.service,
	    .backend = settings.backend,
	    .link_rate = settings.link_rate,
	    .memory = settings.memory,
	    .descriptors = settings.descriptors,
	    .retry_ratio = settings.retry_ratio,
	    .retry_slack = (int)settings.retry_slack,
	    .hedge_share = settings.hedge_share,
	    .retry_window_ns =
		(int64_t)(settings.retry_window_s * NSEC_PER_SEC),
	    .drain_ns = (int64_t)(settings.drain_s * NSEC_PER_SEC),
	    .leave_ns = STOP_NOTICE_NS,
	    .stop_ns = get_stop_ns(),
	    .trial_share = settings.trial_share,
	    .rollback_ns = (int64_t)(settings.rollback_s * NSEC_PER_SEC),
	    .names = get_platform_call_names(),
	    .reports = get_platform_report_reader(),
	    .seed = seed,
	};
	int rc;

	fill_seed_addresses(a.controls);
	rc = start_agent(&a, &agent, f);
	if (rc != 0)
		return rc;
	n.agent = agent;
	pthread_mutex_lock(&node_lock);
	rc = start_node(&n, &node, f);
	pthread_mutex_unlock(&node_lock);
	if (rc != 0)
		stop_agent(agent);
	return rc;
}

/*
 * Callback of the agent, on its thread. The agent starts first, so there may be
 * no node yet; it reads the current table when it starts.
 */
static void
handle_agent_change(void *arg)
{
	(void)arg;
	pthread_mutex_lock(&node_lock);
	if (node != NULL)
		refresh_node(node);
	pthread_mutex_unlock(&node_lock);
}

/*
 * Returns the time for which a stopping node lets calls run.
 */
static int64_t
get_stop_ns(void)
{
	double margin = settings.stop_grace_s * STOP_MARGIN_SHARE;

	if (margin > STOP_MARGIN_MAX_S)
		margin = STOP_MARGIN_MAX_S;
	return (int64_t)((settings.stop_grace_s - margin) * NSEC_PER_SEC);
}

/*
 * Long buffers get pages of their own, which return to the system when they
 * are freed. By default the allocator raises this bound with each long buffer
 * up to 32 MiB, and keeps them.
 */
static void
limit_heap(void)
{
	(void)mallopt(M_MMAP_THRESHOLD, HEAP_MAX_BYTES);
	(void)mallopt(M_TRIM_THRESHOLD, HEAP_SPARE_BYTES);
}

/*
 * The addresses in out refer to settings.seeds.
 */
static void
fill_seed_addresses(const char **out)
{
	for (size_t i = 0; i < settings.seed_count; i++)
		out[i] = settings.seeds[i];
}

/*
 * Applies changed seeds; all other settings need a restart. If the file cannot
 * be read or is invalid, the old settings stay in force.
 */
static void
reload_settings(void)
{
	const char *seeds[PLATFORM_SEEDS_MAX];
	struct platform_settings fresh;
	struct fault f = {0};
	int rc = load_platform_settings(getenv(CONFIG_VARIABLE), &fresh, &f);

	if (rc != 0) {
		WRITE_EVENT(LOG_LEVEL_ERR, "settings.refused",
		    LOG_TEXT("reason", f.text));
		return;
	}
	memcpy(settings.seeds, fresh.seeds, sizeof(settings.seeds));
	settings.seed_count = fresh.seed_count;
	fill_seed_addresses(seeds);
	rc = node != NULL ?
		 set_agent_seeds(agent, seeds, settings.seed_count) :
		 set_control_seeds(control, seeds, settings.seed_count);
	WRITE_EVENT(rc == 0 ? LOG_LEVEL_NOTICE : LOG_LEVEL_WARNING,
	    "settings.reloaded", LOG_INT("seeds", settings.seed_count),
	    LOG_TEXT("outcome", rc == 0 ? "taken" : get_err_name(rc)));
}
