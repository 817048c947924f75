/*
 * greengagespurd: runs one process of the system, a control process or a node.
 */
#include <errno.h>
#include <malloc.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "log.h"

#define STOP_POLL_NS (200 * NSEC_PER_MSEC) /* of is_stop_requested() */
/*
 * Address space counts where a machine limits memory by RLIMIT_AS or RLIMIT_DATA.
 * By default, stacks of 8 MiB and 64 MiB of heap for each thread let a control
 * process that uses 9 MiB map 850 MiB. 1 MiB is 16 times the largest frame and
 * enough for JSON at jansson's greatest depth. A further heap takes 128 MiB while
 * it is created.
 */
#define THREAD_STACK_BYTES (1024 * 1024)
#define HEAPS_MAX 1

static const struct role *get_role(const struct settings *s);
static int check_settings(
    const struct settings *s, const struct role **role, struct fault *f);
static void limit_address_space(void);
static int run_role(const struct settings *s, const struct role *role);
static void wait_for_stop(const struct role *role);
static enum log_level parse_log_level(const char *name);

int
main(int argc, char **argv)
{
	struct settings *s = NULL;
	const struct role *role = NULL;
	struct buf text = {0};
	struct fault f = {0};
	int first_arg = 0, status;

	limit_address_space();
	if (load_settings(
		get_daemon_program(), argc, argv, &s, &first_arg, &f) != 0 ||
	    check_settings(s, &role, &f) != 0) {
		fprintf(stderr, "greengagespurd: %s\n", f.text);
		unload_settings(s);
		return SETTINGS_EXIT_INVALID;
	}
	if (first_arg < argc) {
		fprintf(stderr,
		    "greengagespurd: unexpected argument '%s'; see --help\n",
		    argv[first_arg]);
		status = SETTINGS_EXIT_INVALID;
	} else if (get_setting_flag(s, "check-settings")) {
		status = render_settings(s, &text) == 0 ? EXIT_SUCCESS :
							  EXIT_START_FAILED;
		if (text.data != NULL)
			fputs(text.data, stdout);
	} else {
		status = run_role(s, role);
	}
	unload_buf(&text);
	unload_settings(s);
	return status;
}

static const struct role *
get_role(const struct settings *s)
{
	if (get_setting_flag(s, "platform"))
		return get_platform_role();
	return strcmp(get_setting(s, "role"), "control") == 0 ?
		   get_control_role() :
		   get_node_role();
}

/*
 * Checks the settings that every role needs, then those of the role. The
 * platform role takes all of them from the platform's file.
 */
static int
check_settings(
    const struct settings *s, const struct role **role, struct fault *f)
{
	const struct role *r = get_role(s);
	int rc = 0;

	if (get_setting_flag(s, "platform")) {
		*role = r;
		return r->check(s, f);
	}
	if (!has_setting(s, "role"))
		rc = set_fault(
		    f, ERR_INVALID, "set --role=node or --role=control");
	if (rc == 0)
		rc = require_setting(s, r->name, "name", "node-1", f);
	if (rc == 0)
		rc = require_setting(s, r->name, "zone", "odense-a", f);
	if (rc == 0)
		rc = require_setting(
		    s, r->name, "key-file", "/etc/greengagespur/key", f);
	if (rc == 0)
		rc = r->check(s, f);
	*role = r;
	return rc;
}

/*
 * Sets the stack size of all threads, those of libraries included, and the number
 * of heaps. The defaults stay where the C library refuses.
 */
static void
limit_address_space(void)
{
	pthread_attr_t attr;

	(void)mallopt(M_ARENA_MAX, HEAPS_MAX);
	if (pthread_attr_init(&attr) != 0)
		return;
	if (pthread_attr_setstacksize(&attr, THREAD_STACK_BYTES) == 0)
		(void)pthread_setattr_default_np(&attr);
	pthread_attr_destroy(&attr);
}

/*
 * Runs the role until a stop is requested and returns the exit status. Signals
 * are blocked in all threads; only the main thread waits for them.
 */
static int
run_role(const struct settings *s, const struct role *role)
{
	struct fleet_keys keys = {0};
	struct event_log *events;
	struct fault f = {0};
	sigset_t set;
	int rc;

	if (has_setting(s, "name"))
		set_log_name(get_setting(s, "name"));
	set_log_level(parse_log_level(get_setting(s, "log-level")));
	rc = start_log_writer(STDOUT_FILENO);
	if (rc != 0)
		write_log(LOG_LEVEL_WARNING,
		    "cannot start the log writer (%s); logging to standard "
		    "error",
		    get_err_name(rc));
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGPIPE);
	sigaddset(&set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	events = open_event_log(get_real_clock(),
	    has_setting(s, "name") ? get_setting(s, "name") : role->name,
	    (size_t)get_setting_number(s, "event-ring"));
	rc = has_setting(s, "key-file") ? load_fleet_keys(s, &keys, &f) : 0;
	if (rc == 0)
		rc = role->start(s, &keys, events, &f);
	unload_fleet_keys(&keys);
	if (rc != 0) {
		WRITE_EVENT(LOG_LEVEL_ERR, "process.not-started",
		    LOG_TEXT("reason", f.text));
		(void)fprintf(
		    stderr, "greengagespurd: cannot start: %s\n", f.text);
		close_event_log(events);
		stop_log_writer();
		return EXIT_START_FAILED;
	}
	WRITE_EVENT(LOG_LEVEL_NOTICE, "process.started",
	    LOG_TEXT("role", role->name), LOG_TEXT("version", GGS_VERSION),
	    LOG_TEXT("build", get_build_id()));
	record_event(events, "start",
	    has_setting(s, "name") ? get_setting(s, "name") : role->name, 0,
	    "role %s", role->name);
	wait_for_stop(role);
	WRITE_EVENT(
	    LOG_LEVEL_NOTICE, "process.stopping", LOG_TEXT("role", role->name));
	rc = role->stop(&f);
	WRITE_EVENT(rc != 0 ? LOG_LEVEL_ERR : LOG_LEVEL_NOTICE,
	    "process.stopped",
	    LOG_TEXT("outcome", rc != 0 ? get_err_name(rc) : "clean"),
	    LOG_TEXT("reason", rc != 0 ? f.text : ""));
	close_event_log(events);
	stop_log_writer();
	return rc != 0 ? EXIT_START_FAILED : EXIT_SUCCESS;
}

/*
 * Returns on SIGTERM, on SIGINT, or when the role requests a stop.
 */
static void
wait_for_stop(const struct role *role)
{
	struct timespec poll = {0, STOP_POLL_NS};
	sigset_t set;
	int sig;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	for (;;) {
		sig = sigtimedwait(&set, NULL, &poll);
		if (sig == SIGTERM || sig == SIGINT)
			return;
		if (sig < 0 && errno != EAGAIN && errno != EINTR)
			return;
		if (role->is_stop_requested())
			return;
	}
}

static enum log_level
parse_log_level(const char *name)
{
	if (strcmp(name, "err") == 0)
		return LOG_LEVEL_ERR;
	if (strcmp(name, "warning") == 0)
		return LOG_LEVEL_WARNING;
	return strcmp(name, "notice") == 0 ? LOG_LEVEL_NOTICE : LOG_LEVEL_INFO;
}
