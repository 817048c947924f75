/*
 * The event loop of the data path: one thread that handles sockets, timers,
 * curl transfers and tasks posted by other threads.
 */
#ifndef LOOP_H
#define LOOP_H

#include <curl/curl.h>

#include "base.h"

struct loop;

/* Work for the loop thread, embedded in the caller's object. */
struct loop_task {
	struct loop_task *next;
	void (*run)(struct loop_task *t);
};

/* A timer, embedded in the caller's object; zero it before use. */
struct loop_timer {
	int64_t at; /* mono ns */
	size_t heap_pos; /* position in the heap plus one; 0: not set */
	void (*fire)(struct loop_timer *t);
};

/* A watched descriptor, embedded in the caller's object. */
struct loop_watch {
	int fd;
	void (*ready)(struct loop_watch *w, uint32_t events);
};

/* Functions that the loop calls on its thread. */
struct loop_hooks {
	void (*transfer_done)(CURL *easy, CURLcode code);
	bool (*process_deferred)(
	    void *arg); /* deferred work; true: call again */
	void *arg;
};

int open_loop(struct clock_source clock, const struct loop_hooks *hooks,
    struct loop **out);
void close_loop(struct loop *l); /* the thread must not be running */
int start_loop(struct loop *l); /* starts the thread */
void stop_loop(struct loop *l); /* ends the thread if it runs */

/* Any thread */
void post_loop_task(struct loop *l, struct loop_task *t);

/* Loop thread only */
int set_loop_timer(struct loop *l, struct loop_timer *t, int64_t at);
void clear_loop_timer(struct loop *l, struct loop_timer *t);
int watch_fd(struct loop *l, struct loop_watch *w, uint32_t events);
void unwatch_fd(struct loop *l, struct loop_watch *w);
CURLM *get_loop_curl(struct loop *l);
int64_t get_loop_time(struct loop *l); /* mono ns, read at the call */

#endif
