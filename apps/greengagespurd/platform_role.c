/*
 * The role of a process on the users' platform, by the settings file that the
 * platform writes: a node beside a backend server, or a control process.
 */
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
 * The platform hands out no secret, and its internal ports are reached by its
 * own processes only. The key is public; it still tells damaged messages.
 */
#define OPEN_NETWORK_KEY "greengagespur-open-network"
/*
 * A node must have a new version within 2 s of its acceptance and leave a
 * control process that is cut off, so it hears from it every second.
 */
#define HEARTBEAT_MS 1000
#define OVERDUE_MS 1700
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 400
#define CONNECT_MS 1000
/*
 * A lost SYN is sent again after 1 s by the system. Zones are a few ms apart,
 * so a machine that does not answer in this time is down or the packet lost.
 */
#define OPEN_MS 200
/* The ready question comes every second; two misses move callers away. */
#define LEAVE_NS (2300 * NSEC_PER_MSEC)
#define STOP_MARGIN_S 1.0 /* kept free before the kill, to leave the fleet */

static struct platform_settings settings;
static struct agent *agent;
static pthread_mutex_t node_lock = PTHREAD_MUTEX_INITIALIZER; /* of node */
static struct node *node;
static struct control *control;
static struct timespec settings_time; /* of the file's last change */

static int check_platform(const struct settings *s, struct fault *f);
static int start(const struct settings *s, const struct fleet_keys *keys,
    struct event_log *events, struct fault *f);
static bool is_stop_asked(void);
static int stop(struct fault *f);
static int start_platform_control(
    struct event_log *events, uint64_t seed, struct fault *f);
static int start_platform_node(
    struct event_log *events, uint64_t seed, struct fault *f);
static void refresh_agent_node(void *arg);
static void list_seeds(const char **out);
static void reload_settings(void);

static const struct role role = {
    "platform", check_platform, start, is_stop_asked, stop};

const struct role *
get_platform_role(void)
{
	return &role;
}

static int
check_platform(const struct settings *s, struct fault *f)
{
	(void)s;
	return load_platform_settings(getenv(CONFIG_VARIABLE), &settings, f);
}

static int
start(const struct settings *s, const struct fleet_keys *keys,
    struct event_log *events, struct fault *f)
{
	struct stat st;

	(void)keys;
	set_log_name(settings.name);
	if (stat(getenv(CONFIG_VARIABLE), &st) == 0)
		settings_time = st.st_mtim;
	return settings.serves_backend ?
		   start_platform_node(events, get_seed(s), f) :
		   start_platform_control(events, get_seed(s), f);
}

/*
 * Asked every few hundred ms: also looks whether the settings file changed,
 * which the platform does with or without a signal.
 */
static bool
is_stop_asked(void)
{
	struct fault f;
	struct stat st;

	if (stat(getenv(CONFIG_VARIABLE), &st) == 0 &&
	    (st.st_mtim.tv_sec != settings_time.tv_sec ||
		st.st_mtim.tv_nsec != settings_time.tv_nsec)) {
		settings_time = st.st_mtim;
		reload_settings();
	}
	return control != NULL && has_control_failed(control, &f);
}

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
	    .voters_wanted = 2 * (size_t)settings.losses + 1,
	    .seed_count = settings.seed_count,
	    .zone = settings.zone,
	    .rpc_listen = settings.rpc_listen,
	    .http_listen = settings.control_listen,
	    .metrics_listen = settings.metrics_listen,
	    .data_dir = settings.data_dir,
	    .key = make_str(OPEN_NETWORK_KEY),
	    .allow_unauthenticated = true,
	    .open_ms = OPEN_MS,
	    .api = run_platform_api,
	    .clock = get_real_clock(),
	    .events = events,
	    .seed = seed,
	};

	list_seeds(c.seeds);
	return start_control(&c, &control, f);
}

static int
start_platform_node(struct event_log *events, uint64_t seed, struct fault *f)
{
	struct agent_config a = {
	    .clock = get_real_clock(),
	    .events = events,
	    .node = settings.name,
	    .zone = settings.zone,
	    .control_count = settings.seed_count,
	    .key = make_str(OPEN_NETWORK_KEY),
	    .seed = seed,
	    .connect_ms = CONNECT_MS,
	    .open_ms = OPEN_MS,
	    .learn_controls = true,
	    .heartbeat_ms = HEARTBEAT_MS,
	    .overdue_ms = OVERDUE_MS,
	    .reconnect_ms = RECONNECT_MS,
	    .reconnect_max_ms = RECONNECT_MAX_MS,
	    .on_change = refresh_agent_node,
	};
	struct node_config n = {
	    .clock = get_real_clock(),
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
	    .retry_ratio = settings.retry_ratio,
	    .retry_slack = (int)settings.retry_slack,
	    .retry_window_ns =
		(int64_t)(settings.retry_window_s * NSEC_PER_SEC),
	    .drain_ns = (int64_t)(settings.drain_s * NSEC_PER_SEC),
	    .leave_ns = LEAVE_NS,
	    .stop_ns =
		(int64_t)((settings.stop_s - STOP_MARGIN_S) * NSEC_PER_SEC),
	    .names = get_platform_call_names(),
	    .reports = get_platform_reports(),
	    .seed = seed,
	};
	int rc;

	list_seeds(a.controls);
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
 * The agent starts first, so a change may come before there is a node; the node
 * looks for itself when it starts.
 */
static void
refresh_agent_node(void *arg)
{
	(void)arg;
	pthread_mutex_lock(&node_lock);
	if (node != NULL)
		refresh_node(node);
	pthread_mutex_unlock(&node_lock);
}

static void
list_seeds(const char **out)
{
	for (size_t i = 0; i < settings.seed_count; i++)
		out[i] = settings.seeds[i];
}

/*
 * Takes other seeds; everything else of the settings holds until the process
 * starts again. Settings that cannot be read leave the old ones in force.
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
	list_seeds(seeds);
	rc = node != NULL ?
		 add_agent_controls(agent, seeds, settings.seed_count) :
		 set_control_seeds(control, seeds, settings.seed_count);
	WRITE_EVENT(rc == 0 ? LOG_LEVEL_NOTICE : LOG_LEVEL_WARNING,
	    "settings.reloaded", LOG_INT("seeds", settings.seed_count),
	    LOG_TEXT("outcome", rc == 0 ? "taken" : get_err_name(rc)));
}
