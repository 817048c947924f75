/*
 * An event loop on one thread: file descriptors (epoll), timers, and tasks
 * from other threads. Only post_task() and stop_reactor() may be called on
 * other threads.
 */
#ifndef REACTOR_H
#define REACTOR_H

#include <sys/epoll.h>

#include "base.h"

#define REACTOR_SCRATCH_BYTES (64 * 1024)

struct reactor;
struct watch;
struct timer;
struct task;

typedef void (*watch_fn)(struct watch *w, uint32_t events); /* EPOLLIN, ... */
typedef void (*timer_fn)(struct timer *t);
typedef void (*task_fn)(struct task *t);

/* A watched descriptor, embedded in the owner's object; zero it first. */
struct watch {
	int fd;
	uint32_t events; /* requested from epoll */
	watch_fn fn;
	bool added;
};

/* A timer, embedded in the owner's object; zero it first. */
struct timer {
	int64_t due_ns; /* due time, mono ns */
	timer_fn fn;
	size_t heap_index; /* index in the heap, from 1; 0: not set */
};

/* A function to run once, embedded in the owner's object; zero it first. */
struct task {
	struct task *next;
	task_fn fn;
	bool queued;
};

/* Returns ERR_MEMORY, also when no descriptor is left, or ERR_IO. */
int open_reactor(const struct clock_source *clock, struct reactor **out);
void close_reactor(struct reactor *r); /* after run_reactor() returned */
void run_reactor(struct reactor *r); /* until stop_reactor() */
void stop_reactor(struct reactor *r); /* any thread */
void run_reactor_round(struct reactor *r, int wait_ms); /* one round */

/* Time of the current round, read after the wait; mono ns */
int64_t get_reactor_now(const struct reactor *r);

/*
 * Temporary memory for the bytes of one read. Handlers can be nested, so each
 * acquires its own and releases it in reverse order. NULL: no memory, or
 * nested too deeply.
 */
char *acquire_scratch(struct reactor *r); /* REACTOR_SCRATCH_BYTES */
void release_scratch(struct reactor *r);

/* Descriptors: level-triggered; EPOLLERR and EPOLLHUP are always reported */
int start_watch(struct reactor *r, struct watch *w, int fd, uint32_t events,
    watch_fn fn); /* ERR_IO */
void change_watch(struct reactor *r, struct watch *w, uint32_t events);
void stop_watch(struct reactor *r, struct watch *w); /* does not close fd */

/* Timers: fn runs once, not before the time at */
void set_timer(struct reactor *r, struct timer *t, int64_t at, timer_fn fn);
void cancel_timer(struct reactor *r, struct timer *t);

/* Runs fn at the end of the round, once even if deferred several times. */
void defer_task(struct reactor *r, struct task *t, task_fn fn);
void cancel_task(struct reactor *r, struct task *t); /* only deferred ones */
/* Runs fn on the loop's thread; posting t again before that has no effect. */
void post_task(struct reactor *r, struct task *t, task_fn fn);

#endif
