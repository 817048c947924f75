/*
 * The commands for the fleet: status, endpoints, drain, timeline, explain,
 * metrics and member.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

static int run_endpoints(struct ctl *c, char **args, int count);
static int run_drain(struct ctl *c, char **args, int count);
static int run_rollout(struct ctl *c, char **args, int count);
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
    {"rollout", "start SERVICE VERSION SECONDS | status SERVICE",
	"Move a service to another version of its servers", 2, 4, run_rollout},
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

/*
 * Starts a roll-out or shows the newest one of a service.
 */
static int
run_rollout(struct ctl *c, char **args, int count)
{
	bool start = strcmp(args[0], "start") == 0;
	struct answer a = {0};
	char path[256], *body, *end = NULL;
	double seconds = 0;
	json_t *o;
	int status;

	if (start && count == 4)
		seconds = strtod(args[3], &end);
	if (start ? count != 4 || *args[3] == '\0' || *end != '\0' :
		    count != 2 || strcmp(args[0], "status") != 0) {
		fprintf(stderr,
		    "usage: rollout start SERVICE VERSION SECONDS | "
		    "rollout status SERVICE\n");
		return CTL_USAGE;
	}
	if (!start) {
		snprintf(
		    path, sizeof(path), "/v1/rollouts?service=%s", args[1]);
		return fetch_and_print(c, path);
	}
	o = json_pack("{s:s,s:s,s:f}", "service", args[1], "version", args[2],
	    "duration_s", seconds);
	body = o != NULL ? json_dumps(o, JSON_COMPACT) : NULL;
	json_decref(o);
	if (body == NULL)
		return CTL_FAILED;
	(void)request_control(c, "POST", "/v1/rollouts", body, &a);
	status = print_answer(c, &a);
	free(body);
	unload_answer(&a);
	return status;
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
