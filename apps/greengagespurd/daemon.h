/*
 * greengagespurd: options, and the roles that a process can run.
 */
#ifndef DAEMON_H
#define DAEMON_H

#include "base.h"
#include "event.h"
#include "settings.h"

#define EXIT_START_FAILED 1 /* exit status */

/* The fleet keys (secrets); next may be empty. */
struct fleet_keys {
	struct buf key;
	struct buf next;
};

/* What the process runs as; stop() must follow a successful start(). */
struct role {
	const char *name;
	int (*check)(const struct settings *s, struct fault *f);
	int (*start)(const struct settings *s, const struct fleet_keys *keys,
	    struct event_log *events, struct fault *f);
	bool (*is_stop_requested)(void); /* polled; other than by a signal */
	int (*stop)(struct fault *f); /* graceful; 0 or why it failed */
};

/* The commit that the process was built from, or a hash of its sources. */
const char *get_build_id(void);

const struct settings_program *get_daemon_program(void);
const struct role *get_node_role(void);
const struct role *get_control_role(void);
const struct role *get_platform_role(void); /* from the platform's file */

/* Checks a list of "IP:port", or of "id=IP:port" if with_id. */
int check_address_list(
    const struct settings *s, const char *name, bool with_id, struct fault *f);

/* Returns ERR_INVALID with an example when a required setting is missing. */
int require_setting(const struct settings *s, const char *role,
    const char *name, const char *example, struct fault *f);

int load_fleet_keys(
    const struct settings *s, struct fleet_keys *out, struct fault *f);
void unload_fleet_keys(struct fleet_keys *k); /* wipes them */

/* Value of --seed; a random one if it is 0. */
uint64_t get_seed(const struct settings *s);

#endif
