/*
 * Options of the stand-in, set by flags and by POST /control.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define KEY_BASE 256

static const char *const fault_names[] = {"none", "truncate", "late",
    "wrong-id", "close", "close-ran", "silent", "fail", "shed"};
static const char *const report_names[] = {
    "true", "ready", "bad", "late", "silent"};
static const char *const shape_names[] = {"fixed", "exp", "tail"};

static const struct argp_option options[] = {
    {"listen", KEY_BASE, "IP:PORT", 0, "listen address", 0},
    {"slots", KEY_BASE + 1, "N", 0, "calls that run at a time", 0},
    {"service-ms", KEY_BASE + 2, "MS", 0, "mean service time", 0},
    {"shape", KEY_BASE + 3, "fixed|exp|tail", 0,
	"distribution of service times", 0},
    {"seed", KEY_BASE + 4, "N", 0, "seed of service times and faults", 0},
    {"cold-ms", KEY_BASE + 5, "MS", 0, "length of the cold start", 0},
    {"start-ms", KEY_BASE + 6, "MS", 0, "time until ready", 0},
    {"late-ms", KEY_BASE + 7, "MS", 0, "delay of the fault late", 0},
    {"lag-ms", KEY_BASE + 8, "MS", 0, "age of the load in late reports", 0},
    {"answer-bytes", KEY_BASE + 9, "N", 0, "size of an answer", 0},
    {"node", KEY_BASE + 10, "IP:PORT", 0, "local node, for chains", 0},
    {"next", KEY_BASE + 11, "KIND=KIND,...", 0,
	"calls another kind through the node; * for any kind", 0},
    {"depth", KEY_BASE + 12, "N", 0, "longest chain of calls", 0},
    {"fault", KEY_BASE + 13,
	"none|truncate|late|wrong-id|close|close-ran|silent|fail|shed", 0,
	"fault injected into calls", 0},
    {"fault-pct", KEY_BASE + 14, "N", 0, "percentage of calls with the fault",
	0},
    {"fault-left", KEY_BASE + 15, "N", 0, "faults to inject; -1 for no limit",
	0},
    {"report", KEY_BASE + 16, "true|ready|bad|late|silent", 0,
	"health and load that are reported", 0},
    {0},
};

static error_t parse_flag(int key, char *arg, struct argp_state *state);
static int find_name(const char *const *names, int count, const char *name);
static int set_number_option(
    int key, struct standin_options *o, const char *value);
static int add_chains(struct standin_options *o, const char *text);

/*
 * Sets one option by its flag name. Returns ERR_INVALID for an unknown name or
 * an invalid value.
 */
int
set_standin_option(
    struct standin_options *o, const char *name, const char *value)
{
	const struct argp_option *op = options;
	int i;

	while (op->name != NULL && strcmp(op->name, name) != 0)
		op++;
	if (op->name == NULL)
		return ERR_INVALID;
	switch (op->key - KEY_BASE) {
	case 0:
		return copy_str(o->listen, sizeof(o->listen), make_str(value));
	case 3:
		i = find_name(shape_names, 3, value);
		o->shape = i;
		return i < 0 ? ERR_INVALID : 0;
	case 10:
		return copy_str(o->node, sizeof(o->node), make_str(value));
	case 11:
		return add_chains(o, value);
	case 13:
		i = find_name(fault_names, STANDIN_FAULT_COUNT, value);
		if (i < 0)
			return ERR_INVALID;
		o->fault = (enum standin_fault)i;
		return 0;
	case 16:
		i = find_name(report_names, STANDIN_REPORT_COUNT, value);
		if (i < 0)
			return ERR_INVALID;
		o->report = (enum standin_report)i;
		return 0;
	default:
		return set_number_option(op->key - KEY_BASE, o, value);
	}
}

/*
 * Reads the command line; prints a message and exits if a flag is invalid.
 */
void
read_standin_flags(int argc, char **argv, struct standin_options *o)
{
	static const struct argp argp = {options, parse_flag, NULL,
	    "A stand-in backend server for tests and measurements.", NULL, NULL,
	    NULL};

	argp_parse(&argp, argc, argv, 0, NULL, o);
}

static error_t
parse_flag(int key, char *arg, struct argp_state *state)
{
	const struct argp_option *op = options;

	while (op->name != NULL && op->key != key)
		op++;
	if (op->name == NULL)
		return ARGP_ERR_UNKNOWN;
	if (set_standin_option(state->input, op->name, arg) != 0)
		argp_error(state, "--%s: invalid value %s", op->name, arg);
	return 0;
}

/*
 * Returns the index of a name in a list, -1 if it is not there.
 */
static int
find_name(const char *const *names, int count, const char *name)
{
	for (int i = 0; i < count; i++) {
		if (strcmp(names[i], name) == 0)
			return i;
	}
	return -1;
}

/*
 * Sets a numeric option, by its key less KEY_BASE. Returns ERR_INVALID if the
 * value is not a number or is negative; only fault-left may be -1.
 */
static int
set_number_option(int key, struct standin_options *o, const char *value)
{
	char *end;
	double d = strtod(value, &end);
	int64_t n = (int64_t)d;

	if (*end != '\0' || end == value || d < (key == 15 ? -1 : 0))
		return ERR_INVALID;
	switch (key) {
	case 1:
		o->slots = (int)n;
		break;
	case 2:
		o->service_ms = d;
		break;
	case 4:
		o->seed = (uint64_t)n;
		break;
	case 5:
		o->cold_ms = n;
		break;
	case 6:
		o->start_ms = n;
		break;
	case 7:
		o->late_ms = n;
		break;
	case 8:
		o->lag_ms = n;
		break;
	case 9:
		o->answer_bytes = (int)n;
		break;
	case 12:
		o->depth = (int)n;
		break;
	case 14:
		o->fault_pct = (int)n;
		break;
	case 15:
		o->fault_left = (int)n;
		break;
	default:
		return ERR_INVALID;
	}
	return 0;
}

/*
 * Replaces the chains by those of a list KIND=KIND,... Returns ERR_INVALID if
 * the list is malformed or has more than STANDIN_CHAINS_MAX entries.
 */
static int
add_chains(struct standin_options *o, const char *text)
{
	char copy[1024], *save = NULL;

	if (copy_str(copy, sizeof(copy), make_str(text)) != 0)
		return ERR_INVALID;
	o->chain_count = 0;
	for (char *p = strtok_r(copy, ",", &save); p != NULL;
	     p = strtok_r(NULL, ",", &save)) {
		struct standin_chain *c = &o->chains[o->chain_count];
		char *eq = strchr(p, '=');

		if (eq == NULL || o->chain_count == STANDIN_CHAINS_MAX)
			return ERR_INVALID;
		*eq = '\0';
		if (copy_str(c->kind, sizeof(c->kind), make_str(p)) != 0 ||
		    copy_str(c->next, sizeof(c->next), make_str(eq + 1)) != 0)
			return ERR_INVALID;
		o->chain_count++;
	}
	return 0;
}
