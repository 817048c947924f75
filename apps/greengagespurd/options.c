/*
 * Options of greengagespurd, and checks that the roles share.
 */
#include <string.h>

#include "daemon.h"

static const struct setting_spec specs[] = {
    {"role", SETTING_CHOICE, NULL, 0, 0, "node|control",
	"What this process is: node or control"},
    {"name", SETTING_NAME, NULL, 0, 0, NULL,
	"Name of this process, unique in the fleet"},
    {"zone", SETTING_NAME, NULL, 0, 0, NULL, "Availability zone"},
    {"key-file", SETTING_FILE, NULL, 0, 0, NULL,
	"File with the fleet key (16 to 256 bytes, mode 0600)"},
    {"next-key-file", SETTING_FILE, NULL, 0, 0, NULL,
	"File with a second fleet key that is also accepted"},
    {"seed", SETTING_NUMBER, "0", 0, INT64_MAX, NULL,
	"Seed of jitter and picks; 0: random"},
    {"log-level", SETTING_CHOICE, "info", 0, 0, "err|warning|notice|info",
	"Least severe log lines written"},
    {"event-ring", SETTING_NUMBER, "8192", 16, 1048576, NULL,
	"Events kept for the time line"},
    {"platform", SETTING_FLAG, NULL, 0, 0, NULL,
	"Take role and settings from the platform's file (GREENGAGESPUR_CONFIG)"},
    {"check-settings", SETTING_FLAG, NULL, 0, 0, NULL,
	"Print the settings in force and exit"},

    {"id", SETTING_NUMBER, NULL, 1, 65535, NULL,
	"control: number of this process, never used again"},
    {"peers", SETTING_LIST, NULL, 0, 0, NULL,
	"control: voters as id=IP:port,..."},
    {"relays", SETTING_LIST, NULL, 0, 0, NULL,
	"control: relays as id=IP:port,..."},
    {"rpc-listen", SETTING_ADDRESS, NULL, 0, 0, NULL,
	"control: address for control processes and nodes"},
    {"http-listen", SETTING_ADDRESS, NULL, 0, 0, NULL,
	"control: address of the operators' API"},
    {"data-dir", SETTING_DIR, NULL, 0, 0, NULL,
	"control: data folder of a voter; not set: relay"},
    {"token-file", SETTING_FILE, NULL, 0, 0, NULL,
	"control: operators' names and tokens (mode 0600)"},
    {"tls-cert", SETTING_FILE, NULL, 0, 0, NULL,
	"control: certificate of the operators' API (PEM)"},
    {"tls-key", SETTING_FILE, NULL, 0, 0, NULL,
	"control: key of the certificate (PEM, mode 0600)"},
    {"snapshot-rate", SETTING_NUMBER, "0", 0, 100000, NULL,
	"control: whole tables sent a second; 0: built-in rate"},
    {"memory", SETTING_SIZE, "0MB", 0, 1LL << 40, NULL,
	"control: memory of the VM, half of it for operators' bodies; 0MB: no "
	"bound"},

    {"controls", SETTING_LIST, NULL, 0, 0, NULL,
	"node: control processes as IP:port,..."},
    {"listen", SETTING_ADDRESS, NULL, 0, 0, NULL,
	"node: address for callers and other nodes"},
    {"admin-listen", SETTING_ADDRESS, NULL, 0, 0, NULL,
	"node: address of metrics, status and drain"},
    {"service", SETTING_NAME, NULL, 0, 0, NULL,
	"node: service of the backend server beside it"},
    {"backend", SETTING_ADDRESS, NULL, 0, 0, NULL,
	"node: address of the backend server"},
    {"slots", SETTING_NUMBER, "20", 1, 10000, NULL,
	"node: calls that the backend server runs at a time"},
    {"connections", SETTING_NUMBER, "100", 1, 10000, NULL,
	"node: most connections to the backend server"},
    {"health-path", SETTING_TEXT, "/health", 0, 0, NULL,
	"node: health endpoint of the backend server"},
    {"interest", SETTING_LIST, NULL, 0, 0, NULL,
	"node: services whose endpoints are followed from the start"},
    {"body-memory", SETTING_SIZE, "64MB", 64 * 1024, 1LL << 40, NULL,
	"node: memory for request bodies"},
    {"drain-timeout", SETTING_DURATION, "0s", 0, 3600000, NULL,
	"node: longest wait at shutdown; 0s: by the table"},
};

static const struct settings_program program = {
    "greengagespurd",
    NULL,
    "Distributes accepted table versions to proxies (--role=control) and "
    "carries calls between callers and backend servers (--role=node).\v"
    "Each flag --some-name can also be given as the variable "
    "GREENGAGESPUR_SOME_NAME; a flag beats a variable.",
    "GREENGAGESPUR_",
    specs,
    sizeof(specs) / sizeof(specs[0]),
    get_build_id,
};

const struct settings_program *
get_daemon_program(void)
{
	return &program;
}

int
require_setting(const struct settings *s, const char *role, const char *name,
    const char *example, struct fault *f)
{
	if (has_setting(s, name))
		return 0;
	return set_fault(f, ERR_INVALID,
	    "--role=%s needs --%s; set it, for example --%s=%s", role, name,
	    name, example);
}

/*
 * Returns ERR_INVALID, with the first item that is not an address in f.
 */
int
check_address_list(
    const struct settings *s, const char *name, bool with_id, struct fault *f)
{
	const char *items[SETTINGS_MAX];
	int n = get_setting_list(s, name, items, SETTINGS_MAX);

	for (int i = 0; i < n; i++) {
		const char *eq = strchr(items[i], '=');
		const char *at = with_id ? "" : items[i];
		int64_t id = 1;

		if (with_id && eq != NULL &&
		    parse_i64(make_str_n(items[i], (size_t)(eq - items[i])), 1,
			INT64_MAX, &id) == 0)
			at = eq + 1;
		if (check_address(make_str(at)) != 0)
			return set_fault(f, ERR_INVALID,
			    "--%s: '%s' is not accepted; use %sIP:port, "
			    "separated by commas",
			    name, items[i], with_id ? "id=" : "");
	}
	return 0;
}

/*
 * Reads the fleet keys from --key-file and --next-key-file. The caller frees
 * them with unload_fleet_keys(), also on an error.
 */
int
load_fleet_keys(
    const struct settings *s, struct fleet_keys *out, struct fault *f)
{
	int rc = load_secret(get_setting(s, "key-file"), &out->key, f);

	if (rc == 0 && has_setting(s, "next-key-file"))
		rc =
		    load_secret(get_setting(s, "next-key-file"), &out->next, f);
	return rc;
}

/*
 * Overwrites the keys before it frees them.
 */
void
unload_fleet_keys(struct fleet_keys *k)
{
	if (k->key.data != NULL)
		explicit_bzero(k->key.data, k->key.cap);
	if (k->next.data != NULL)
		explicit_bzero(k->next.data, k->next.cap);
	unload_buf(&k->key);
	unload_buf(&k->next);
}

uint64_t
get_seed(const struct settings *s)
{
	uint64_t seed = (uint64_t)get_setting_number(s, "seed");
	struct rng r;

	if (seed != 0)
		return seed;
	seed_rng_random(&r);
	return draw_u64(&r);
}
