/*
 * The commands on the fleet: status, endpoints, drain, metrics, timeline.
 */
#include <stdio.h>

#include "ctl.h"

static int run_status(struct ctl *c, char **words, int count);
static int run_endpoints(struct ctl *c, char **words, int count);
static int run_drain(struct ctl *c, char **words, int count);
static int run_metrics(struct ctl *c, char **words, int count);
static int run_path(struct ctl *c, const char *path);

static const struct command commands[] = {
    {"status", "", "Show control processes and nodes, and who lags", 0, 0,
	run_status},
    {"endpoints", "", "List the announced endpoints", 0, 0, run_endpoints},
    {"drain", "ADDRESS", "Drain the node with this admin listener", 1, 1,
	run_drain},
    {"timeline", "", "Merge the events of all processes in causal order", 0, 0,
	run_timeline},
    {"metrics", "[ADDRESS]", "Print metrics of a control process or node", 0, 1,
	run_metrics},
    {0},
};

const struct command *
get_fleet_commands(void)
{
	return commands;
}

static int
run_status(struct ctl *c, char **words, int count)
{
	(void)words;
	(void)count;
	return run_path(c, "/v1/status");
}

static int
run_endpoints(struct ctl *c, char **words, int count)
{
	(void)words;
	(void)count;
	return run_path(c, "/v1/endpoints");
}

static int
run_drain(struct ctl *c, char **words, int count)
{
	struct answer a = {0};
	int status;

	(void)count;
	(void)request_address(c, words[0], "POST", "/drain", "", &a);
	status = print_answer(c, &a);
	unload_answer(&a);
	return status;
}

static int
run_metrics(struct ctl *c, char **words, int count)
{
	struct answer a = {0};
	int status;

	if (count == 0)
		return run_path(c, "/metrics");
	(void)request_address(c, words[0], "GET", "/metrics", NULL, &a);
	status = print_answer(c, &a);
	unload_answer(&a);
	return status;
}

static int
run_path(struct ctl *c, const char *path)
{
	struct answer a = {0};
	int status;

	(void)request_control(c, "GET", path, NULL, &a);
	status = print_answer(c, &a);
	unload_answer(&a);
	return status;
}
