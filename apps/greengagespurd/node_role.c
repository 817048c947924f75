/*
 * The node role: runs the agent and the proxy from command-line settings.
 */
#include "agent.h"
#include "daemon.h"
#include "log.h"
#include "proxy.h"

static struct agent *agent;
static struct proxy *proxy;

static int check_node(const struct settings *s, struct fault *f);
static int start(const struct settings *s, const struct fleet_keys *keys,
    struct event_log *events, struct fault *f);
static bool is_stop_requested(void);
static int stop(struct fault *f);
static int start_node_agent(const struct settings *s,
    const struct fleet_keys *keys, struct event_log *events, struct fault *f);
static int start_node_proxy(
    const struct settings *s, struct event_log *events, struct fault *f);

static const struct role role = {
    "node", check_node, start, is_stop_requested, stop};

const struct role *
get_node_role(void)
{
	return &role;
}

static int
check_node(const struct settings *s, struct fault *f)
{
	int rc = require_setting(s, "node", "controls",
	    "127.0.0.1:7401,127.0.0.2:7401,127.0.0.3:7401", f);

	if (rc == 0)
		rc = check_address_list(s, "controls", false, f);
	if (rc == 0)
		rc = require_setting(s, "node", "listen", "127.0.0.1:7500", f);
	if (rc == 0 && has_setting(s, "service") != has_setting(s, "backend"))
		rc = set_fault(f, ERR_INVALID,
		    "--service and --backend go together; set both or none");
	return rc;
}

/*
 * Starts the agent, then the proxy. If the proxy fails, the agent is stopped.
 */
static int
start(const struct settings *s, const struct fleet_keys *keys,
    struct event_log *events, struct fault *f)
{
	int rc = start_node_agent(s, keys, events, f);

	if (rc != 0)
		return rc;
	rc = start_node_proxy(s, events, f);
	if (rc != 0)
		stop_agent(agent);
	return rc;
}

/*
 * An operator can request a drain on the admin listener.
 */
static bool
is_stop_requested(void)
{
	return is_proxy_drain_requested(proxy);
}

/*
 * Drains first, so that calls in flight can finish; the agent, which leaves the
 * fleet, stops last.
 */
static int
stop(struct fault *f)
{
	(void)f;
	if (drain_proxy(proxy) != 0)
		write_log(LOG_LEVEL_WARNING,
		    "drain: calls took longer than the drain_s of their rows; "
		    "raise drain_s or --drain-timeout");
	stop_proxy(proxy);
	stop_agent(agent);
	return 0;
}

static int
start_node_agent(const struct settings *s, const struct fleet_keys *keys,
    struct event_log *events, struct fault *f)
{
	struct agent_config a = {0};
	int n = get_setting_list(s, "controls", a.controls, AGENT_CONTROL_MAX);
	int m = get_setting_list(s, "interest", a.interest, WIRE_INTEREST_MAX);

	if (n < 0 || m < 0)
		return set_fault(f, ERR_LIMIT,
		    "--controls takes at most %d addresses, --interest %d "
		    "services",
		    AGENT_CONTROL_MAX, WIRE_INTEREST_MAX);
	a.clock = get_real_clock();
	a.events = events;
	a.node = get_setting(s, "name");
	a.zone = get_setting(s, "zone");
	a.control_count = (size_t)n;
	a.key = view_buf(&keys->key);
	a.next_key = view_buf(&keys->next);
	a.interest_count = (size_t)m;
	a.seed = get_seed(s);
	return start_agent(&a, &agent, f);
}

static int
start_node_proxy(
    const struct settings *s, struct event_log *events, struct fault *f)
{
	struct proxy_config p = {0};

	p.clock = get_real_clock();
	p.events = events;
	p.agent = agent;
	p.node = get_setting(s, "name");
	p.zone = get_setting(s, "zone");
	p.listen = get_setting(s, "listen");
	p.admin_listen = has_setting(s, "admin-listen") ?
			     get_setting(s, "admin-listen") :
			     NULL;
	p.backend.service = get_setting(s, "service");
	p.backend.address = get_setting(s, "backend");
	p.backend.slots = (int)get_setting_number(s, "slots");
	p.backend.connections = (int)get_setting_number(s, "connections");
	p.backend.health_path = get_setting(s, "health-path");
	p.body_memory = get_setting_number(s, "body-memory");
	p.drain_s = (int)(get_setting_number(s, "drain-timeout") / 1000);
	p.seed = get_seed(s);
	return start_proxy(&p, &proxy, f);
}
