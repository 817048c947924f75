/*
 * An event loop on one thread: file descriptors by epoll, timers, and tasks
 * from other threads. Everything but post_task() and stop_reactor() belongs to
 * the loop's thread.
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

typedef void (*watch_fn)(struct watch *w, uint32_t events); /* of epoll */
typedef void (*timer_fn)(struct timer *t);
typedef void (*task_fn)(struct task *t);

/* A watched descriptor, embedded in the owner's object; zeroed at first. */
struct watch {
	int fd;
	uint32_t events; /* asked for */
	watch_fn fn;
	bool added;
};

/* A timer, embedded in the owner's object; zeroed at first. */
struct timer {
	int64_t at; /* mono ns */
	timer_fn fn;
	size_t place; /* in the heap, from 1; 0: not set */
};

/* Work to be done once, embedded in the owner's object; zeroed at first. */
struct task {
	struct task *next;
	task_fn fn;
	bool queued;
};

int open_reactor(const struct clock_source *clock, struct reactor **out);
void close_reactor(struct reactor *r); /* after run_reactor() returned */
void run_reactor(struct reactor *r); /* until stop_reactor() */
void stop_reactor(struct reactor *r); /* any thread */
void pump_reactor(struct reactor *r, int wait_ms); /* one round */

/* The time at which the present round began, mono ns */
int64_t get_reactor_now(const struct reactor *r);

/*
 * Memory for the bytes of one read. Handlers may run inside one another, so
 * each takes its own and gives it back, last taken first. NULL: no memory.
 */
char *take_scratch(struct reactor *r); /* REACTOR_SCRATCH_BYTES */
void give_scratch(struct reactor *r);

/* Descriptors: level-triggered; errors and hang-ups are always reported */
int start_watch(struct reactor *r, struct watch *w, int fd, uint32_t events,
    watch_fn fn); /* ERR_IO */
void change_watch(struct reactor *r, struct watch *w, uint32_t events);
void stop_watch(struct reactor *r, struct watch *w); /* the fd stays open */

/* Timers: fn runs once, at or after the time */
void set_timer(struct reactor *r, struct timer *t, int64_t at, timer_fn fn);
void cancel_timer(struct reactor *r, struct timer *t);

/* Runs fn at the end of the round, once however often it is deferred. */
void defer_task(struct reactor *r, struct task *t, task_fn fn);
void cancel_task(struct reactor *r, struct task *t); /* a deferred one */
/* Runs fn on the loop's thread; any thread, one post at a time. */
void post_task(struct reactor *r, struct task *t, task_fn fn);

#endif
