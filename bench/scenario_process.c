/*
 * Starts, signals and measures the processes of a scenario.
 */
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <lauxlib.h>

#include "scenario.h"

#define ARGS_MAX 64 /* arguments, and variables, of one process */
#define END_WAIT_MS 3000 /* from SIGTERM to SIGKILL */
#define POLL_MS 5

/* A started process; status is set when it has ended. */
struct process {
	pid_t pid;
	bool ended;
	int status;
};

static struct process processes[SCENARIO_PROCESS_MAX];
static int process_count;

static void exec_child(char *const *argv, char *const *env,
    const char *log_path, int64_t file_limit);
static int open_child_log(const char *log_path, int64_t file_limit);
static void copy_child_log(int from, int to);
static void sleep_ms(int ms);
static int parse_status_kb(const char *text, const char *name, int64_t *out);
static int load_strings(lua_State *l, const char *field, char **out);
static int lua_start(lua_State *l);
static int lua_signal(lua_State *l);
static int lua_wait(lua_State *l);
static int lua_usage(lua_State *l);
static int lua_pid(lua_State *l);

/*
 * Starts a program with its output appended to log_path. env lists the
 * variables, NAME=value, that it gets besides the runner's. file_limit is the
 * largest file that it may write, in bytes; 0: no limit. Returns an id, or
 * ERR_LIMIT or ERR_IO with the reason in f.
 */
int
start_process(char *const *argv, char *const *env, const char *log_path,
    int64_t file_limit, struct fault *f)
{
	pid_t pid;

	if (process_count == SCENARIO_PROCESS_MAX)
		return set_fault(f, ERR_LIMIT,
		    "a scenario may start %d processes", SCENARIO_PROCESS_MAX);
	pid = fork();
	if (pid < 0)
		return set_fault(f, ERR_IO, "fork: %s", strerror(errno));
	if (pid == 0)
		exec_child(argv, env, log_path, file_limit);
	processes[process_count] = (struct process){.pid = pid};
	return process_count++;
}

/*
 * Returns ERR_NOT_FOUND for an unknown id and ERR_CLOSED if the process has
 * ended.
 */
int
signal_process(int id, int sig)
{
	if (id < 0 || id >= process_count)
		return ERR_NOT_FOUND;
	if (processes[id].ended)
		return ERR_CLOSED;
	return kill(processes[id].pid, sig) == 0 ? 0 : ERR_IO;
}

/*
 * Waits up to timeout_ms for the process to end. status is its exit status, or
 * 128 plus the number of the signal that ended it. Returns ERR_TIMEOUT if it
 * still runs, ERR_NOT_FOUND for an unknown id.
 */
int
wait_process(int id, int timeout_ms, int *status)
{
	struct process *p = &processes[id];
	int raw;

	if (id < 0 || id >= process_count)
		return ERR_NOT_FOUND;
	for (int remaining_ms = timeout_ms; !p->ended;
	     remaining_ms -= POLL_MS) {
		if (waitpid(p->pid, &raw, WNOHANG) == p->pid) {
			p->ended = true;
			p->status = WIFEXITED(raw) ? WEXITSTATUS(raw) :
						     128 + WTERMSIG(raw);
			break;
		}
		if (remaining_ms <= 0)
			return ERR_TIMEOUT;
		sleep_ms(POLL_MS);
	}
	*status = p->status;
	return 0;
}

/*
 * Reads CPU time and memory from /proc. Returns ERR_NOT_FOUND if the process
 * has ended, ERR_CORRUPT if a file has an unexpected format.
 */
int
get_process_usage(int id, struct process_usage *out)
{
	char path[64], text[4096];
	unsigned long user = 0, sys = 0;
	const char *at;
	FILE *in;
	size_t n;

	if (id < 0 || id >= process_count || processes[id].ended)
		return ERR_NOT_FOUND;
	snprintf(path, sizeof(path), "/proc/%d/stat", (int)processes[id].pid);
	in = fopen(path, "r");
	if (in == NULL)
		return ERR_NOT_FOUND;
	n = fread(text, 1, sizeof(text) - 1, in);
	fclose(in);
	text[n] = '\0';
	at = strrchr(text, ')');
	if (at == NULL || sscanf(at,
			      ") %*c %*d %*d %*d %*d %*d %*u %*u %*u "
			      "%*u %*u %lu %lu",
			      &user, &sys) != 2)
		return ERR_CORRUPT;
	out->cpu_ms = (int64_t)(user + sys) * 1000 / sysconf(_SC_CLK_TCK);
	snprintf(path, sizeof(path), "/proc/%d/status", (int)processes[id].pid);
	in = fopen(path, "r");
	if (in == NULL)
		return ERR_NOT_FOUND;
	n = fread(text, 1, sizeof(text) - 1, in);
	fclose(in);
	text[n] = '\0';
	if (parse_status_kb(text, "VmRSS:", &out->rss_kb) != 0 ||
	    parse_status_kb(text, "VmHWM:", &out->peak_kb) != 0)
		return ERR_CORRUPT;
	return 0;
}

pid_t
get_process_pid(int id)
{
	return id >= 0 && id < process_count ? processes[id].pid : -1;
}

/*
 * Ends the processes that still run: with SIGTERM, and with SIGKILL after
 * END_WAIT_MS in all. SIGCONT is sent first, because a stopped process would
 * not handle SIGTERM.
 */
void
end_all_processes(void)
{
	int status, remaining_ms = END_WAIT_MS;

	for (int i = 0; i < process_count; i++) {
		(void)signal_process(i, SIGCONT);
		(void)signal_process(i, SIGTERM);
	}
	for (int i = 0; i < process_count; i++) {
		while (wait_process(i, 0, &status) == ERR_TIMEOUT &&
		       remaining_ms > 0) {
			sleep_ms(POLL_MS);
			remaining_ms -= POLL_MS;
		}
	}
	for (int i = 0; i < process_count; i++) {
		(void)signal_process(i, SIGKILL);
		(void)wait_process(i, END_WAIT_MS, &status);
	}
}

/*
 * process.start{args={...}, env={"NAME=value", ...}, log=path,
 * file_limit=bytes} returns an id;
 * process.kill(id, "KILL"|"TERM"|"STOP"|"CONT"|"HUP"|"PIPE"),
 * process.wait(id, ms), process.usage(id), process.pid(id).
 */
void
load_process_library(lua_State *l)
{
	static const luaL_Reg functions[] = {
	    {"start", lua_start},
	    {"kill", lua_signal},
	    {"wait", lua_wait},
	    {"usage", lua_usage},
	    {"pid", lua_pid},
	    {NULL, NULL},
	};

	luaL_newlib(l, functions);
	lua_setglobal(l, "process");
}

/*
 * Sets up the child and executes the program. The kernel kills the child when
 * the runner dies, so that a killed runner leaves no processes behind. Writes
 * beyond file_limit fail with EFBIG, because SIGXFSZ is ignored.
 */
static void
exec_child(char *const *argv, char *const *env, const char *log_path,
    int64_t file_limit)
{
	struct rlimit r = {(rlim_t)file_limit, (rlim_t)file_limit};
	sigset_t none;
	int fd;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	sigemptyset(&none);
	sigprocmask(SIG_SETMASK, &none, NULL);
	fd = open_child_log(log_path, file_limit);
	if (file_limit > 0) {
		setrlimit(RLIMIT_FSIZE, &r);
		signal(SIGXFSZ, SIG_IGN);
	}
	if (fd >= 0) {
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
	}
	for (int i = STDERR_FILENO + 1; i < 1024; i++)
		close(i);
	for (; *env != NULL; env++)
		(void)putenv(*env);
	execv(argv[0], argv);
	_exit(127);
}

/*
 * Opens the log of a child. With a file_limit it is written through a pipe by a
 * process of its own, so that the limit holds for the child's data and not for
 * its log. That process ends with the last writer. Returns -1 on an error.
 */
static int
open_child_log(const char *log_path, int64_t file_limit)
{
	int fd = open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);
	int ends[2];
	pid_t pid;

	if (file_limit == 0 || fd < 0 || pipe(ends) != 0)
		return fd;
	pid = fork();
	/* A second fork, so that the program has no child to wait for. */
	if (pid == 0 && fork() == 0) {
		close(ends[1]);
		copy_child_log(ends[0], fd);
	}
	if (pid == 0)
		_exit(0);
	(void)waitpid(pid, NULL, 0);
	close(ends[0]);
	close(fd);
	return ends[1];
}

static void
copy_child_log(int from, int to)
{
	char bytes[65536];
	ssize_t n;

	while ((n = read(from, bytes, sizeof(bytes))) > 0 &&
	       write(to, bytes, (size_t)n) == n)
		;
	_exit(0);
}

static void
sleep_ms(int ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * NSEC_PER_MSEC};

	nanosleep(&ts, NULL);
}

/*
 * Reads a value in kB from the text of /proc/PID/status.
 */
static int
parse_status_kb(const char *text, const char *name, int64_t *out)
{
	const char *at = strstr(text, name);
	long long v;

	if (at == NULL || sscanf(at + strlen(name), "%lld", &v) != 1)
		return ERR_NOT_FOUND;
	*out = v;
	return 0;
}

/*
 * Fills out with the strings of a list, a field of the table at index 1, which
 * stay on the stack. Returns their number, 0 without the field.
 */
static int
load_strings(lua_State *l, const char *field, char **out)
{
	lua_Integer n;
	int at;

	if (lua_getfield(l, 1, field) == LUA_TNIL)
		return 0;
	at = lua_gettop(l);
	n = luaL_len(l, at);
	if (n > ARGS_MAX)
		return luaL_error(
		    l, "process.start: %s has more than %d", field, ARGS_MAX);
	luaL_checkstack(l, (int)n, field);
	for (int i = 0; i < n; i++) {
		lua_geti(l, at, i + 1);
		out[i] = (char *)(uintptr_t)luaL_checkstring(l, -1);
	}
	return (int)n;
}

static int
lua_start(lua_State *l)
{
	char *argv[ARGS_MAX + 1] = {0}, *env[ARGS_MAX + 1] = {0};
	const char *log_path;
	struct fault f = {0};
	int64_t limit;
	int id;

	if (load_strings(l, "args", argv) == 0)
		return luaL_error(l, "process.start: give args");
	(void)load_strings(l, "env", env);
	lua_getfield(l, 1, "log");
	log_path = luaL_optstring(l, -1, "/dev/null");
	lua_getfield(l, 1, "file_limit");
	limit = luaL_optinteger(l, -1, 0);
	id = start_process(argv, env, log_path, limit, &f);
	if (id < 0)
		return luaL_error(l, "process.start: %s", f.text);
	lua_pushinteger(l, id);
	return 1;
}

static int
lua_signal(lua_State *l)
{
	static const char *const names[] = {
	    "KILL", "TERM", "STOP", "CONT", "HUP", "PIPE", NULL};
	static const int signals[] = {
	    SIGKILL, SIGTERM, SIGSTOP, SIGCONT, SIGHUP, SIGPIPE};
	int id = (int)luaL_checkinteger(l, 1);

	lua_pushboolean(
	    l, signal_process(
		   id, signals[luaL_checkoption(l, 2, "TERM", names)]) == 0);
	return 1;
}

/*
 * Returns the exit status, or nil if the process still runs after the time.
 */
static int
lua_wait(lua_State *l)
{
	int status, rc;

	rc = wait_process((int)luaL_checkinteger(l, 1),
	    (int)luaL_checkinteger(l, 2), &status);
	if (rc == 0)
		lua_pushinteger(l, status);
	else
		lua_pushnil(l);
	return 1;
}

/*
 * Returns nil if the process has ended.
 */
static int
lua_usage(lua_State *l)
{
	struct process_usage u;

	if (get_process_usage((int)luaL_checkinteger(l, 1), &u) != 0) {
		lua_pushnil(l);
		return 1;
	}
	lua_createtable(l, 0, 3);
	lua_pushinteger(l, u.cpu_ms);
	lua_setfield(l, -2, "cpu_ms");
	lua_pushinteger(l, u.rss_kb);
	lua_setfield(l, -2, "rss_kb");
	lua_pushinteger(l, u.peak_kb);
	lua_setfield(l, -2, "peak_kb");
	return 1;
}

static int
lua_pid(lua_State *l)
{
	lua_pushinteger(l, get_process_pid((int)luaL_checkinteger(l, 1)));
	return 1;
}
