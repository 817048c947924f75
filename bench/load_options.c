/*
 * Flags of the load generator.
 */
#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

static const struct argp_option options[] = {
    {"entry", 'e', "IP:PORT,...", 0, "entry nodes", 0},
    {"row", 'r', "KIND:RATE[:BODY[:DEADLINE_MS[:TARGET_MS[:once]]]]", 0,
	"a row and its calls/s; may be repeated", 0},
    {"seconds", 's', "S", 0, "measured time", 0},
    {"warm", 'w', "S", 0, "warm-up before that", 0},
    {"resends", 'R', "N", 0, "most resends of a call of a row with once", 0},
    {"in-flight", 'f', "N", 0, "most calls in flight", 0},
    {"seed", 'S', "N", 0, "seed of arrivals and entry nodes", 0},
    {"servers", 'b', "IP:PORT,...", 0,
	"stand-ins whose runs are checked at the end", 0},
    {"experiment", 'x', "NAME", 0, "for the JSON lines", 0},
    {"params", 'p', "TEXT", 0, "for the JSON lines", 0},
    {"commit", 'c', "ID", 0, "for the JSON lines", 0},
    {0},
};

static error_t parse_flag(int key, char *arg, struct argp_state *state);
static int split_list(char *text, char list[][LOAD_NAME_BYTES]);
static int add_row(struct load_options *o, const char *text);

/*
 * Reads the command line; prints a message and exits if a flag is invalid.
 */
void
read_load_flags(int argc, char **argv, struct load_options *o)
{
	static const struct argp argp = {options, parse_flag, NULL,
	    "Open-loop load generator: calls start at their scheduled "
	    "times, whether or not earlier calls have ended.",
	    NULL, NULL, NULL};

	argp_parse(&argp, argc, argv, 0, NULL, o);
}

static error_t
parse_flag(int key, char *arg, struct argp_state *state)
{
	struct load_options *o = state->input;

	switch (key) {
	case 'e':
		o->entry_count = split_list(arg, o->entries);
		break;
	case 'b':
		o->server_count = split_list(arg, o->servers);
		break;
	case 'r':
		if (add_row(o, arg) != 0)
			argp_error(
			    state, "row %s is malformed or one too many", arg);
		break;
	case 's':
		o->seconds = strtod(arg, NULL);
		break;
	case 'w':
		o->warmup_seconds = strtod(arg, NULL);
		break;
	case 'R':
		o->resends = (int)strtol(arg, NULL, 10);
		break;
	case 'f':
		o->in_flight_max = (int)strtol(arg, NULL, 10);
		break;
	case 'S':
		o->seed = strtoull(arg, NULL, 10);
		break;
	case 'x':
		(void)copy_str(
		    o->experiment, sizeof(o->experiment), make_str(arg));
		break;
	case 'p':
		(void)copy_str(o->params, sizeof(o->params), make_str(arg));
		break;
	case 'c':
		(void)copy_str(o->commit, sizeof(o->commit), make_str(arg));
		break;
	case ARGP_KEY_END:
		if (o->entry_count == 0 || o->row_count == 0)
			argp_error(state, "give --entry and --row");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

/*
 * Splits a comma-separated list in place. Returns the number of entries, at
 * most LOAD_ENTRIES_MAX; further ones are ignored.
 */
static int
split_list(char *text, char list[][LOAD_NAME_BYTES])
{
	char *save = NULL;
	int n = 0;

	for (char *p = strtok_r(text, ",", &save);
	     p != NULL && n < LOAD_ENTRIES_MAX; p = strtok_r(NULL, ",", &save))
		(void)copy_str(list[n++], LOAD_NAME_BYTES, make_str(p));
	return n;
}

/*
 * Adds a row KIND:RATE[:BODY[:DEADLINE_MS[:TARGET_MS[:once]]]]. Returns
 * ERR_INVALID for a malformed row, ERR_LIMIT for too many rows or too long a
 * text.
 */
static int
add_row(struct load_options *o, const char *text)
{
	struct load_row *r = &o->rows[o->row_count];
	char copy[256], *save = NULL, *p;

	if (o->row_count == LOAD_ROWS_MAX ||
	    copy_str(copy, sizeof(copy), make_str(text)) != 0)
		return ERR_LIMIT;
	p = strtok_r(copy, ":", &save);
	for (int i = 0; p != NULL; i++, p = strtok_r(NULL, ":", &save)) {
		int n = (int)strtol(p, NULL, 10);

		if (i == 0)
			(void)copy_str(r->kind, sizeof(r->kind), make_str(p));
		else if (i == 1)
			r->rate = strtod(p, NULL);
		else if (i == 2)
			r->body_bytes = n;
		else if (i == 3)
			r->deadline_ms = n;
		else if (i == 4)
			r->target_ms = n;
		else if (strcmp(p, "once") == 0)
			r->once = true;
		else
			return ERR_INVALID;
	}
	if (r->rate <= 0)
		return ERR_INVALID;
	o->row_count++;
	return 0;
}
