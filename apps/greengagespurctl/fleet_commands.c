/*
 * The commands for the fleet: status, endpoints, drain, timeline, explain,
 * metrics and member.
 */
#include <stdio.h>
#include <stdlib.h>

#include "ctl.h"

static int run_endpoints(struct ctl *c, char **args, int count);
static int run_drain(struct ctl *c, char **args, int count);
static int run_metrics(struct ctl *c, char **args, int count);
static int run_member(struct ctl *c, char **args, int count);

static const struct command commands[] = {
    {"status", "", "Show control processes and nodes, and who lags", 0, 0,
	run_status},
    {"endpoints", "", "List the announced endpoints", 0, 0, run_endpoints},
    {"drain", "ADDRESS", "Drain the node with this admin listener", 1, 1,
	run_drain},
    {"timeline", "", "Merge the events of all processes in causal order", 0, 0,
	run_timeline},
    {"explain", "CALL [FILE...]",
	"Tell from log lines why a call ended as it did", 1, 1024, run_explain},
    {"metrics", "[ADDRESS]", "Print metrics of a control process or node", 0, 1,
	run_metrics},
    {"member", "add|promote|remove ID [ADDRESS]",
	"Change the group of voters; a new one counts once promoted", 2, 3,
	run_member},
    {0},
};

const struct command *
get_fleet_commands(void)
{
	return commands;
}

static int
run_endpoints(struct ctl *c, char **args, int count)
{
	(void)args;
	(void)count;
	return fetch_and_print(c, "/v1/endpoints");
}

static int
run_drain(struct ctl *c, char **args, int count)
{
	struct answer a = {0};
	int status;

	(void)count;
	(void)request_address(c, args[0], "POST", "/drain", "", &a);
	status = print_answer(c, &a);
	unload_answer(&a);
	return status;
}

static int
run_metrics(struct ctl *c, char **args, int count)
{
	struct answer a = {0};
	int status;

	if (count == 0)
		return fetch_and_print(c, "/metrics");
	(void)request_address(c, args[0], "GET", "/metrics", NULL, &a);
	status = print_answer(c, &a);
	unload_answer(&a);
	return status;
}

/*
 * Requests a membership change. Only the leader accepts it, so the control
 * processes are tried one after the other.
 */
static int
run_member(struct ctl *c, char **args, int count)
{
	struct answer a = {0};
	json_t *body;
	int64_t id;
	char *text;
	int status;

	if (parse_i64(make_str(args[1]), 1, INT64_MAX, &id) != 0) {
		fprintf(stderr, "member: '%s' is not the id of a process\n",
		    args[1]);
		return CTL_USAGE;
	}
	body = json_pack("{s:s,s:I}", "action", args[0], "id", (json_int_t)id);
	if (count == 3)
		json_object_set_new(body, "address", json_string(args[2]));
	text = json_dumps(body, JSON_COMPACT);
	(void)request_control(c, "POST", "/v1/members", text, &a);
	status = print_answer(c, &a);
	free(text);
	json_decref(body);
	unload_answer(&a);
	return status;
}
