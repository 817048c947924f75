/*
 * The parts of the daemon: its options and its roles.
 */
#ifndef DAEMON_H
#define DAEMON_H

#include "base.h"
#include "event.h"
#include "settings.h"

#define EXIT_START_FAILED 1 /* exit status when a part cannot start */

/* The fleet keys in force; next may be empty. */
struct fleet_keys {
	struct buf key;
	struct buf next;
};

/* One role of the daemon. */
struct role {
	const char *name;
	int (*check)(const struct settings *s, struct fault *f);
	int (*start)(const struct settings *s, const struct fleet_keys *keys,
	    struct event_log *events, struct fault *f);
	bool (*is_stop_asked)(void); /* by other means than a signal */
	int (*stop)(struct fault *f); /* gracefully; an error: why it ended */
};

const struct settings_program *get_daemon_program(void);
const struct role *get_node_role(void);
const struct role *get_control_role(void);
const struct role *get_platform_role(void); /* by the platform's settings */

/* Checks the addresses of a list; each may stand behind "id=". */
int check_address_list(
    const struct settings *s, const char *name, bool with_id, struct fault *f);

/* ERR_INVALID with a remedy when a setting that the role needs is missing. */
int require_setting(const struct settings *s, const char *role,
    const char *name, const char *example, struct fault *f);

int load_fleet_keys(
    const struct settings *s, struct fleet_keys *out, struct fault *f);
void unload_fleet_keys(struct fleet_keys *k); /* wipes them */

/* The seed setting, or a random one when it is 0. */
uint64_t get_seed(const struct settings *s);

#endif
