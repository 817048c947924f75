/*
 * greengagespurctl: HTTP requests to control processes and nodes, output, and
 * commands.
 */
#ifndef CTL_H
#define CTL_H

#include <jansson.h>

#include "base.h"
#include "settings.h"

#define CTL_ADDRESS_MAX 256 /* in --api or in --nodes */

/* Exit status; documented in docs/operators.md. */
enum ctl_exit {
	CTL_OK = 0,
	CTL_FAILED = 1, /* any other failure */
	CTL_USAGE = 2, /* wrong command line or settings */
	CTL_CONFLICT = 3, /* another edit came first; the answer shows it */
	CTL_UNAVAILABLE = 4, /* no quorum or no answer; resend, same key */
	CTL_DENIED = 5, /* the token is missing or wrong */
	CTL_INVALID = 6, /* the change was rejected and has no effect */
};

/* Context of a command; the strings belong to settings. */
struct ctl {
	const struct settings *settings;
	const char *controls[CTL_ADDRESS_MAX]; /* IP:port */
	size_t control_count;
	const char *nodes[CTL_ADDRESS_MAX]; /* admin listeners, IP:port */
	size_t node_count;
	struct buf token;
	bool json; /* print answers unchanged */
};

/* An HTTP response, or why there is none. */
struct answer {
	long status; /* HTTP status; 0: no response */
	struct buf body; /* the error text if status is 0 */
};

/* One command; run() gets the arguments after its name. */
struct command {
	const char *name;
	const char *args; /* as shown in the usage line */
	const char *help;
	int min_args;
	int max_args;
	int (*run)(struct ctl *c, char **args, int count);
};

/* Requests */
int request_address(struct ctl *c, const char *address, const char *method,
    const char *path, const char *body, struct answer *out);
int request_control(struct ctl *c, const char *method, const char *path,
    const char *body, struct answer *out); /* tries one after the other */
void unload_answer(struct answer *a);
enum ctl_exit get_exit_status(long http_status);

/* Output */
void print_json_text(const json_t *value); /* readable */
int print_answer(const struct ctl *c, const struct answer *a);
int fetch_and_print(struct ctl *c, const char *path); /* GET */

/* Sends a change of the table; takes over body. Returns an exit status. */
int send_change(struct ctl *c, const char *path, json_t *body);

/* Commands; lists end with a NULL name; run_*() return an exit status */
const struct command *get_table_commands(void);
const struct command *get_account_commands(void);
const struct command *get_fleet_commands(void);
int run_status(struct ctl *c, char **args, int count);
int run_timeline(struct ctl *c, char **args, int count);
int run_explain(struct ctl *c, char **args, int count);

#endif
