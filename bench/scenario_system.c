/*
 * Time and files for scenario scripts.
 */
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include <lauxlib.h>

#include "scenario.h"

#define FTW_FDS 16 /* open folders while a tree is removed */

static int lua_now(lua_State *l);
static int lua_wall(lua_State *l);
static int lua_sleep(lua_State *l);
static int lua_folder(lua_State *l);
static int lua_write(lua_State *l);
static int lua_append(lua_State *l);
static int lua_truncate(lua_State *l);
static int lua_remove_path(lua_State *l);
static int lua_getpid(lua_State *l);
static int write_file(lua_State *l, int flags);
static int remove_entry(
    const char *path, const struct stat *st, int type, struct FTW *ftw);

/*
 * sys.now_ms() is monotonic, sys.wall_ns() is wall-clock time; sys.sleep(ms);
 * sys.folder(path) creates a folder; sys.write(path, text, mode),
 * sys.append(path, text), sys.truncate(path, size); sys.remove(path) removes a
 * file or a whole tree; sys.pid() is the process id of the runner.
 */
void
load_system_library(lua_State *l)
{
	static const luaL_Reg functions[] = {
	    {"now_ms", lua_now},
	    {"wall_ns", lua_wall},
	    {"sleep", lua_sleep},
	    {"folder", lua_folder},
	    {"write", lua_write},
	    {"append", lua_append},
	    {"truncate", lua_truncate},
	    {"remove", lua_remove_path},
	    {"pid", lua_getpid},
	    {NULL, NULL},
	};

	luaL_newlib(l, functions);
	lua_setglobal(l, "sys");
}

static int
lua_now(lua_State *l)
{
	struct clock_source c = get_real_clock();

	lua_pushnumber(l, (double)read_mono(&c) / NSEC_PER_MSEC);
	return 1;
}

static int
lua_wall(lua_State *l)
{
	struct clock_source c = get_real_clock();

	lua_pushinteger(l, read_wall(&c));
	return 1;
}

static int
lua_sleep(lua_State *l)
{
	int64_t ms = luaL_checkinteger(l, 1);
	struct timespec ts = {ms / 1000, ms % 1000 * NSEC_PER_MSEC};

	nanosleep(&ts, NULL);
	return 0;
}

/*
 * An existing folder is no error.
 */
static int
lua_folder(lua_State *l)
{
	const char *path = luaL_checkstring(l, 1);

	if (mkdir(path, 0700) != 0 && errno != EEXIST)
		return luaL_error(l, "folder %s: %s", path, strerror(errno));
	return 0;
}

static int
lua_write(lua_State *l)
{
	return write_file(l, O_TRUNC);
}

static int
lua_append(lua_State *l)
{
	return write_file(l, O_APPEND);
}

static int
lua_truncate(lua_State *l)
{
	const char *path = luaL_checkstring(l, 1);

	if (truncate(path, luaL_checkinteger(l, 2)) != 0)
		return luaL_error(l, "truncate %s: %s", path, strerror(errno));
	return 0;
}

static int
lua_remove_path(lua_State *l)
{
	nftw(luaL_checkstring(l, 1), remove_entry, FTW_FDS,
	    FTW_DEPTH | FTW_PHYS);
	return 0;
}

static int
lua_getpid(lua_State *l)
{
	lua_pushinteger(l, getpid());
	return 1;
}

/*
 * Writes a file with the given open flags; it is created with mode 0600 by
 * default.
 */
static int
write_file(lua_State *l, int flags)
{
	size_t len;
	const char *path = luaL_checkstring(l, 1);
	const char *text = luaL_checklstring(l, 2, &len);
	mode_t mode = (mode_t)luaL_optinteger(l, 3, 0600);
	int fd = open(path, O_WRONLY | O_CREAT | O_CLOEXEC | flags, mode);
	bool ok = fd >= 0 && write(fd, text, len) == (ssize_t)len;

	if (fd >= 0)
		close(fd);
	if (!ok)
		return luaL_error(l, "write %s: %s", path, strerror(errno));
	return 0;
}

/*
 * The nftw callback of lua_remove_path: removes one file or empty folder.
 */
static int
remove_entry(const char *path, const struct stat *st, int type, struct FTW *ftw)
{
	(void)st;
	(void)type;
	(void)ftw;
	return remove(path);
}
