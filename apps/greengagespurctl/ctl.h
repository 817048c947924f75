/*
 * greengagespurctl: requests to control processes and nodes, and the commands.
 */
#ifndef CTL_H
#define CTL_H

#include <jansson.h>

#include "base.h"
#include "settings.h"

#define CTL_ADDRESS_MAX 256 /* control processes or nodes on one command */

/* Exit status; documented in docs/operators.md. */
enum ctl_exit {
	CTL_OK = 0,
	CTL_FAILED = 1, /* any other failure */
	CTL_USAGE = 2, /* wrong command line or settings */
	CTL_CONFLICT = 3, /* another edit won; the answer shows it */
	CTL_UNAVAILABLE = 4, /* no quorum or no answer; resend with the key */
	CTL_DENIED = 5, /* the token is missing or wrong */
	CTL_INVALID = 6, /* the change breaks a rule; nothing changed */
};

/* What a command runs with. */
struct ctl {
	const struct settings *settings;
	const char *controls[CTL_ADDRESS_MAX]; /* IP:port */
	size_t control_count;
	const char *nodes[CTL_ADDRESS_MAX]; /* admin listeners, IP:port */
	size_t node_count;
	struct buf token;
	bool json; /* print answers as they came */
};

/* An answer. */
struct answer {
	long status; /* HTTP status, 0 when none came */
	struct buf body;
};

/* One command: words are those after its name. */
struct command {
	const char *name;
	const char *words; /* for the usage line */
	const char *help;
	int min_words;
	int max_words;
	int (*run)(struct ctl *c, char **words, int count);
};

/* Requests */
int request_address(struct ctl *c, const char *address, const char *method,
    const char *path, const char *body, struct answer *out);
int request_control(struct ctl *c, const char *method, const char *path,
    const char *body, struct answer *out); /* tries all until one answers */
void unload_answer(struct answer *a);
enum ctl_exit get_exit(long http_status);

/* Output */
void print_json_text(const json_t *value); /* for people */
int print_answer(const struct ctl *c, const struct answer *a);
int print_path(struct ctl *c, const char *path); /* GET and print */

/* Commands, ended by a NULL name */
const struct command *get_table_commands(void);
const struct command *get_fleet_commands(void);
int run_status(struct ctl *c, char **words, int count);
int run_timeline(struct ctl *c, char **words, int count);
int run_explain(struct ctl *c, char **words, int count);

#endif
