/*
 * greengagespurctl: the operators' command.
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
    "status\n"
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
};

static int load_ctl(const struct settings *s, struct ctl *c, struct fault *f);
static int run_command(struct ctl *c, char **words, int count);
static int run_named(
    const struct command *list, struct ctl *c, char **words, int count);

int
main(int argc, char **argv)
{
	struct settings *s = NULL;
	struct ctl c = {0};
	struct fault f = {0};
	int words = 0, status = CTL_USAGE;

	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0)
		return CTL_FAILED;
	if (load_settings(&program, argc, argv, &s, &words, &f) != 0 ||
	    load_ctl(s, &c, &f) != 0)
		fprintf(stderr, "greengagespurctl: %s\n", f.text);
	else
		status = run_command(&c, argv + words, argc - words);
	unload_buf(&c.token);
	unload_settings(s);
	curl_global_cleanup();
	return status;
}

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

static int
run_command(struct ctl *c, char **words, int count)
{
	if (count >= 2 && strcmp(words[0], "table") == 0)
		return run_named(get_table_commands(), c, words + 1, count - 1);
	if (count >= 1)
		return run_named(get_fleet_commands(), c, words, count);
	fprintf(stderr, "greengagespurctl: no command; see --help\n");
	return CTL_USAGE;
}

static int
run_named(const struct command *list, struct ctl *c, char **words, int count)
{
	for (const struct command *k = list; k->name != NULL; k++) {
		if (strcmp(k->name, words[0]) != 0)
			continue;
		if (count - 1 >= k->min_words && count - 1 <= k->max_words)
			return k->run(c, words + 1, count - 1);
		fprintf(stderr, "usage: %s %s\n", k->name, k->words);
		return CTL_USAGE;
	}
	fprintf(stderr, "greengagespurctl: unknown command '%s'; see --help\n",
	    words[0]);
	return CTL_USAGE;
}
