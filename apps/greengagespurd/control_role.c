/*
 * The control role: runs a voter or a relay from command-line settings.
 */
#include "control.h"
#include "daemon.h"

static struct control *control;

static int check_control(const struct settings *s, struct fault *f);
static int start(const struct settings *s, const struct fleet_keys *keys,
    struct event_log *events, struct fault *f);
static bool is_stop_requested(void);
static int stop(struct fault *f);
static const char *get_optional_setting(
    const struct settings *s, const char *name);

static const struct role role = {
    "control", check_control, start, is_stop_requested, stop};

const struct role *
get_control_role(void)
{
	return &role;
}

static int
check_control(const struct settings *s, struct fault *f)
{
	int rc = require_setting(s, "control", "id", "1", f);

	if (rc == 0)
		rc = require_setting(s, "control", "peers",
		    "1=127.0.0.1:7401,2=127.0.0.2:7401,3=127.0.0.3:7401", f);
	if (rc == 0)
		rc = check_address_list(s, "peers", true, f);
	if (rc == 0)
		rc = check_address_list(s, "relays", true, f);
	if (rc == 0)
		rc = require_setting(
		    s, "control", "rpc-listen", "127.0.0.1:7401", f);
	if (rc == 0)
		rc = require_setting(
		    s, "control", "http-listen", "127.0.0.1:7400", f);
	if (rc == 0 && has_setting(s, "tls-cert") != has_setting(s, "tls-key"))
		rc = set_fault(f, ERR_INVALID,
		    "--tls-cert and --tls-key go together; set both");
	return rc;
}

static int
start(const struct settings *s, const struct fleet_keys *keys,
    struct event_log *events, struct fault *f)
{
	struct control_config c = {0};
	int n = get_setting_list(s, "peers", c.peers, CONTROL_PEER_MAX);
	int m = get_setting_list(s, "relays", c.relays, CONTROL_PEER_MAX);

	if (n < 0 || m < 0)
		return set_fault(f, ERR_LIMIT,
		    "--peers and --relays take at most %d addresses each",
		    CONTROL_PEER_MAX);
	c.id = (uint64_t)get_setting_number(s, "id");
	c.peer_count = (size_t)n;
	c.relay_count = (size_t)m;
	c.zone = get_setting(s, "zone");
	c.rpc_listen = get_setting(s, "rpc-listen");
	c.http_listen = get_setting(s, "http-listen");
	c.data_dir = get_optional_setting(s, "data-dir");
	c.key = view_buf(&keys->key);
	c.next_key = view_buf(&keys->next);
	c.token_file = get_optional_setting(s, "token-file");
	c.tls_cert_file = get_optional_setting(s, "tls-cert");
	c.tls_key_file = get_optional_setting(s, "tls-key");
	c.clock = get_real_clock();
	c.events = events;
	c.seed = get_seed(s);
	c.snapshot_rate = (uint32_t)get_setting_number(s, "snapshot-rate");
	c.memory = get_setting_number(s, "memory");
	return start_control(&c, &control, f);
}

/*
 * A control process stops after a fatal error, such as a failed disk.
 */
static bool
is_stop_requested(void)
{
	struct fault f;

	return has_control_failed(control, &f);
}

static int
stop(struct fault *f)
{
	int rc = has_control_failed(control, f) ? (int)f->kind : 0;

	stop_control(control);
	return rc;
}

/*
 * Returns NULL for a setting that is not set.
 */
static const char *
get_optional_setting(const struct settings *s, const char *name)
{
	return has_setting(s, name) ? get_setting(s, name) : NULL;
}
