/*
 * greengagespurctl: the operators' command-line tool.
 */
#include <stdio.h>
#include <string.h>

#include <curl/curl.h>
#include <sodium.h>

#include "ctl.h"

static const struct setting_spec specs[] = {
    {"api", SETTING_LIST, "127.0.0.1:7400", 0, 0, NULL,
	"HTTP listeners of the control processes as IP:port,..."},
    {"nodes", SETTING_LIST, NULL, 0, 0, NULL,
	"Admin listeners of nodes for timeline, as IP:port,..."},
    {"token-file", SETTING_FILE, NULL, 0, 0, NULL,
	"File with the operator's token (mode 0600)"},
    {"tls-ca", SETTING_FILE, NULL, 0, 0, NULL,
	"Certificates to check the control processes against; uses TLS"},
    {"timeout", SETTING_DURATION, "10s", 100, 600000, NULL,
	"Longest wait for one answer"},
    {"json", SETTING_FLAG, NULL, 0, 0, NULL, "Print answers as JSON"},
    {"base", SETTING_NUMBER, NULL, 0, INT64_MAX, NULL,
	"Version that a change starts from; not set: the one in force"},
    {"key", SETTING_TEXT, NULL, 0, 0, NULL,
	"Idempotency key of a change; not set: a random one"},
    {"version-filter", SETTING_NUMBER, NULL, 0, INT64_MAX, NULL,
	"timeline: only events of this table version"},
    {"subject", SETTING_TEXT, NULL, 0, 0, NULL,
	"timeline: only events whose subject holds this text"},
    {"kind", SETTING_NAME, NULL, 0, 0, NULL,
	"timeline: only events of this kind"},
};

static const struct settings_program program = {
    "greengagespurctl",
    "table show\n"
    "table export [FILE]\n"
    "table import FILE\n"
    "table set ROW COLUMN VALUE\n"
    "table check FILE\n"
    "table history\n"
    "table diff FROM TO\n"
    "table revert VERSION\n"
    "account list\n"
    "account add|remove NAME\n"
    "account set NAME rank|rate_per_s|burst VALUE\n"
    "account add-key NAME [FILE]\n"
    "account take-key NAME FINGERPRINT\n"
    "account require yes|no\n"
    "status\n"
    "rollout start SERVICE VERSION SECONDS\n"
    "rollout status SERVICE\n"
    "member add|promote|remove ID [ADDRESS]\n"
    "endpoints\n"
    "drain ADDRESS\n"
    "timeline\n"
    "explain CALL [FILE...]\n"
    "metrics [ADDRESS]",
    "Shows and edits the table, and shows the state of the fleet.\v"
    "Each flag --some-name can also be given as the variable "
    "GREENGAGESPUR_SOME_NAME. Exit status: 0 done, 1 failed, 2 wrong "
    "command line, 3 conflict with another edit, 4 no answer or no quorum "
    "(resend with the same --key), 5 token refused, 6 change refused.",
    "GREENGAGESPUR_",
    specs,
    sizeof(specs) / sizeof(specs[0]),
    NULL,
};

static int load_ctl(const struct settings *s, struct ctl *c, struct fault *f);
static int run_command(struct ctl *c, char **args, int count);
static int run_listed_command(
    const struct command *list, struct ctl *c, char **args, int count);

int
main(int argc, char **argv)
{
	struct settings *s = NULL;
	struct ctl c = {0};
	struct fault f = {0};
	int args = 0, status = CTL_USAGE; /* args: index in argv */

	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0)
		return CTL_FAILED;
	if (load_settings(&program, argc, argv, &s, &args, &f) != 0 ||
	    load_ctl(s, &c, &f) != 0)
		fprintf(stderr, "greengagespurctl: %s\n", f.text);
	else
		status = run_command(&c, argv + args, argc - args);
	unload_buf(&c.token);
	unload_settings(s);
	curl_global_cleanup();
	return status;
}

/*
 * Fills the context of the command from the settings.
 */
static int
load_ctl(const struct settings *s, struct ctl *c, struct fault *f)
{
	int n = get_setting_list(s, "api", c->controls, CTL_ADDRESS_MAX);
	int m = get_setting_list(s, "nodes", c->nodes, CTL_ADDRESS_MAX);

	if (n <= 0 || m < 0)
		return set_fault(f, ERR_INVALID,
		    "--api takes 1 to %d addresses, --nodes at most %d",
		    CTL_ADDRESS_MAX, CTL_ADDRESS_MAX);
	c->settings = s;
	c->control_count = (size_t)n;
	c->node_count = (size_t)m;
	c->json = get_setting_flag(s, "json");
	if (!has_setting(s, "token-file"))
		return 0;
	return load_secret(get_setting(s, "token-file"), &c->token, f);
}

/*
 * args[0] is the command, or "table" or "account" before the command.
 */
static int
run_command(struct ctl *c, char **args, int count)
{
	if (count >= 2 && strcmp(args[0], "table") == 0)
		return run_listed_command(
		    get_table_commands(), c, args + 1, count - 1);
	if (count >= 2 && strcmp(args[0], "account") == 0)
		return run_listed_command(
		    get_account_commands(), c, args + 1, count - 1);
	if (count >= 1)
		return run_listed_command(get_fleet_commands(), c, args, count);
	fprintf(stderr, "greengagespurctl: no command; see --help\n");
	return CTL_USAGE;
}

static int
run_listed_command(
    const struct command *list, struct ctl *c, char **args, int count)
{
	for (const struct command *k = list; k->name != NULL; k++) {
		if (strcmp(k->name, args[0]) != 0)
			continue;
		if (count - 1 >= k->min_args && count - 1 <= k->max_args)
			return k->run(c, args + 1, count - 1);
		fprintf(stderr, "usage: %s %s\n", k->name, k->args);
		return CTL_USAGE;
	}
	fprintf(stderr, "greengagespurctl: unknown command '%s'; see --help\n",
	    args[0]);
	return CTL_USAGE;
}
