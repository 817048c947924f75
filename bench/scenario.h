/*
 * The scenario runner: Lua scripts that start processes, inject faults into the
 * links between them, send requests and check the results.
 */
#ifndef SCENARIO_H
#define SCENARIO_H

#include <lua.h>
#include <sys/types.h>

#include "base.h"

#define SCENARIO_PROCESS_MAX 1024 /* processes one script may start */
#define SCENARIO_LINK_MAX 1024 /* links one script may open */

/* How a link forwards one direction. */
enum link_mode {
	LINK_PASS,
	LINK_STALL, /* nothing is read or sent until LINK_PASS is set */
};

/* Bytes carried since the link was opened. */
struct link_bytes {
	uint64_t forward; /* from the side that connected */
	uint64_t back; /* from the target */
};

/* CPU time and memory of a process. */
struct process_usage {
	int64_t cpu_ms;
	int64_t rss_kb; /* resident now */
	int64_t peak_kb; /* largest rss_kb so far */
};

/* Processes; an id stays valid until the runner exits */
int start_process(char *const *argv, char *const *env, const char *log_path,
    int64_t file_limit, struct fault *f); /* id or error */
int signal_process(int id, int sig);
int wait_process(int id, int timeout_ms, int *status); /* ERR_TIMEOUT */
int get_process_usage(int id, struct process_usage *out);
pid_t get_process_pid(int id);
void end_all_processes(void); /* only those started here */

/* Links: TCP forwarders, served by a thread of the runner */
int start_links(void);
void stop_links(void);
int open_link(const char *listen, const char *target); /* id or error */
void set_link(int id, enum link_mode forward, enum link_mode back, int delay_ms,
    bool late);
int add_link_pipe(int64_t bits_per_s); /* a shared bandwidth: id or error */
void set_link_pipe(int id, int64_t bits_per_s);
void set_link_pipes(int id, const int forward[2], const int back[2]);
void set_link_loss(int id, int permille); /* of chunks: they come late */
void set_link_refuse(int id, bool refuse); /* close new connections */
void cut_link(int id, bool cut); /* no answer to new connections */
void blackhole_link(int id); /* forward nothing more on open connections */
void close_link_connections(int id, bool reset);
struct link_bytes get_link_bytes(int id);

/* Lua libraries; each adds one global table */
void load_process_library(lua_State *l); /* process */
void load_link_library(lua_State *l); /* link */
void load_http_library(lua_State *l); /* http, json */
void load_system_library(lua_State *l); /* sys */

#endif
