/*
 * Runs one scenario script: scenario SCRIPT [ARGS...]. The global table arg
 * holds the arguments of the script, BUILD the path of the build folder and
 * ROOT that of the repository. The exit status is 0 only if the script returned
 * without an error.
 */
#include <libgen.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include <curl/curl.h>
#include <lauxlib.h>
#include <lualib.h>

#include "scenario.h"

#define PATH_BYTES 4096

static void set_globals(lua_State *l, int argc, char **argv);
static int add_traceback(lua_State *l);
static void raise_file_limit(void);

int
main(int argc, char **argv)
{
	lua_State *l;
	int status;

	if (argc < 2) {
		fprintf(stderr, "usage: scenario SCRIPT [ARGS...]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	raise_file_limit();
	l = luaL_newstate();
	if (l == NULL || curl_global_init(CURL_GLOBAL_DEFAULT) != 0 ||
	    start_links() != 0) {
		fprintf(stderr, "scenario: cannot start Lua, curl or links\n");
		return 1;
	}
	luaL_openlibs(l);
	load_process_library(l);
	load_link_library(l);
	load_http_library(l);
	load_system_library(l);
	set_globals(l, argc, argv);
	lua_pushcfunction(l, add_traceback);
	status = luaL_loadfile(l, argv[1]);
	if (status == LUA_OK)
		status = lua_pcall(l, 0, 0, 1);
	if (status != LUA_OK)
		fprintf(stderr, "scenario: %s\n", lua_tostring(l, -1));
	end_all_processes();
	stop_links();
	lua_close(l);
	curl_global_cleanup();
	return status == LUA_OK ? 0 : 1;
}

/*
 * Sets the globals of the script. The runner is in BUILD/bench, the library of
 * the scripts in ROOT/scenarios.
 */
static void
set_globals(lua_State *l, int argc, char **argv)
{
	char path[PATH_BYTES] = "", copy[PATH_BYTES];
	ssize_t n = readlink("/proc/self/exe", path, sizeof(path) - 1);

	path[n > 0 ? n : 0] = '\0';
	lua_pushstring(l, dirname(dirname(path)));
	lua_setglobal(l, "BUILD");
	snprintf(copy, sizeof(copy), "%s", SCENARIO_ROOT);
	lua_pushstring(l, copy);
	lua_setglobal(l, "ROOT");
	snprintf(copy, sizeof(copy), "%s/scenarios/?.lua;", SCENARIO_ROOT);
	lua_getglobal(l, "package");
	lua_pushstring(l, copy);
	lua_setfield(l, -2, "path");
	lua_pop(l, 1);
	lua_createtable(l, argc, 0);
	for (int i = 2; i < argc; i++) {
		lua_pushstring(l, argv[i]);
		lua_seti(l, -2, i - 1);
	}
	lua_setglobal(l, "arg");
}

/*
 * The message handler of the script: adds a stack trace to the error.
 */
static int
add_traceback(lua_State *l)
{
	luaL_traceback(l, l, lua_tostring(l, 1), 1);
	return 1;
}

/*
 * Raises the limit of open files to its hard limit, for the sockets of the
 * links.
 */
static void
raise_file_limit(void)
{
	struct rlimit r;

	if (getrlimit(RLIMIT_NOFILE, &r) == 0) {
		r.rlim_cur = r.rlim_max;
		setrlimit(RLIMIT_NOFILE, &r);
	}
}
