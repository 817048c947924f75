/*
 * The event loop: epoll, a binary heap of timers, and two lists of tasks.
 */
#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "log.h"
#include "reactor.h"

#define EVENT_BATCH_MAX 64 /* events of one epoll_wait() */
#define WAIT_MAX_MS 1000 /* so that a changed clock is noticed */
#define HEAP_INITIAL_CAP 64

#define SCRATCH_DEPTH_MAX 8 /* nested handlers that read */

struct reactor {
	struct clock_source clock;
	int epoll;
	int64_t now_ns; /* mono, of the current round */
	struct epoll_event batch[EVENT_BATCH_MAX];
	int batch_count;
	int batch_index; /* of the event being handled */

	struct timer **heap; /* indexed from 1 */
	size_t heap_count;
	size_t heap_cap;

	char *scratch[SCRATCH_DEPTH_MAX];
	int scratch_in_use;

	struct task *deferred; /* run at the end of the round */
	struct task **deferred_tail;

	struct watch wake; /* eventfd, for posted tasks and stopping */
	pthread_mutex_t lock; /* of the fields below; takes no other */
	struct task *posted;
	struct task **posted_tail;
	bool stopping;
};

static void wait_for_events(struct reactor *r, int wait_ms);
static int get_wait_ms(const struct reactor *r, int wait_ms);
static void run_timers(struct reactor *r);
static void run_deferred(struct reactor *r);
static void run_posted(struct watch *w, uint32_t events);
static void place_timer(struct reactor *r, struct timer *t, size_t i);
static void sift_up(struct reactor *r, size_t i);
static void sift_down(struct reactor *r, size_t i);

int
open_reactor(const struct clock_source *clock, struct reactor **out)
{
	struct reactor *r = calloc(1, sizeof(*r));
	int fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);

	*out = NULL;
	if (r == NULL || fd < 0) {
		free(r);
		if (fd >= 0)
			close(fd);
		return ERR_MEMORY;
	}
	r->clock = *clock;
	r->now_ns = read_mono(clock);
	r->deferred_tail = &r->deferred;
	r->posted_tail = &r->posted;
	pthread_mutex_init(&r->lock, NULL);
	r->epoll = epoll_create1(EPOLL_CLOEXEC);
	if (r->epoll < 0 ||
	    start_watch(r, &r->wake, fd, EPOLLIN, run_posted) != 0) {
		close(fd);
		close_reactor(r);
		return ERR_IO;
	}
	*out = r;
	return 0;
}

void
close_reactor(struct reactor *r)
{
	if (r == NULL)
		return;
	if (r->wake.added)
		close(r->wake.fd);
	if (r->epoll >= 0)
		close(r->epoll);
	pthread_mutex_destroy(&r->lock);
	for (int i = 0; i < SCRATCH_DEPTH_MAX; i++)
		free(r->scratch[i]);
	free(r->heap);
	free(r);
}

char *
acquire_scratch(struct reactor *r)
{
	int i = r->scratch_in_use;

	if (i == SCRATCH_DEPTH_MAX)
		return NULL;
	if (r->scratch[i] == NULL)
		r->scratch[i] = malloc(REACTOR_SCRATCH_BYTES);
	if (r->scratch[i] != NULL)
		r->scratch_in_use++;
	return r->scratch[i];
}

void
release_scratch(struct reactor *r)
{
	r->scratch_in_use--;
}

void
run_reactor(struct reactor *r)
{
	bool stop = false;

	while (!stop) {
		run_reactor_round(r, WAIT_MAX_MS);
		pthread_mutex_lock(&r->lock);
		stop = r->stopping;
		pthread_mutex_unlock(&r->lock);
	}
}

void
stop_reactor(struct reactor *r)
{
	uint64_t one = 1;

	pthread_mutex_lock(&r->lock);
	r->stopping = true;
	pthread_mutex_unlock(&r->lock);
	if (write(r->wake.fd, &one, sizeof(one)) < 0)
		return; /* the counter is full, so the loop is awake */
}

void
run_reactor_round(struct reactor *r, int wait_ms)
{
	wait_for_events(r, get_wait_ms(r, wait_ms));
	r->now_ns = read_mono(&r->clock);
	for (r->batch_index = 0; r->batch_index < r->batch_count;
	     r->batch_index++) {
		struct watch *w = r->batch[r->batch_index].data.ptr;

		if (w != NULL)
			w->fn(w, r->batch[r->batch_index].events);
	}
	r->batch_count = 0;
	run_timers(r);
	run_deferred(r);
}

int64_t
get_reactor_now(const struct reactor *r)
{
	return r->now_ns;
}

int
start_watch(
    struct reactor *r, struct watch *w, int fd, uint32_t events, watch_fn fn)
{
	struct epoll_event e = {.events = events, .data.ptr = w};

	w->fd = fd;
	w->events = events;
	w->fn = fn;
	if (epoll_ctl(r->epoll, EPOLL_CTL_ADD, fd, &e) != 0)
		return ERR_IO;
	w->added = true;
	return 0;
}

void
change_watch(struct reactor *r, struct watch *w, uint32_t events)
{
	struct epoll_event e = {.events = events, .data.ptr = w};

	if (!w->added || w->events == events)
		return;
	w->events = events;
	if (epoll_ctl(r->epoll, EPOLL_CTL_MOD, w->fd, &e) != 0)
		write_log(LOG_LEVEL_ERR,
		    "epoll: cannot change descriptor %d: %s", w->fd,
		    strerror(errno));
}

/*
 * Drops events of this round that are not handled yet, so that the owner may
 * free w.
 */
void
stop_watch(struct reactor *r, struct watch *w)
{
	struct epoll_event e = {0};

	if (!w->added)
		return;
	w->added = false;
	if (epoll_ctl(r->epoll, EPOLL_CTL_DEL, w->fd, &e) != 0)
		write_log(LOG_LEVEL_ERR,
		    "epoll: cannot remove descriptor %d: %s", w->fd,
		    strerror(errno));
	for (int i = r->batch_index + 1; i < r->batch_count; i++) {
		if (r->batch[i].data.ptr == w)
			r->batch[i].data.ptr = NULL;
	}
}

/*
 * Sets or moves a timer. Aborts the process when memory runs out, because
 * requests without timers might never be answered.
 */
void
set_timer(struct reactor *r, struct timer *t, int64_t at, timer_fn fn)
{
	t->due_ns = at;
	t->fn = fn;
	if (t->heap_index != 0) {
		sift_up(r, t->heap_index);
		sift_down(r, t->heap_index);
		return;
	}
	if (r->heap_count + 1 >= r->heap_cap) {
		size_t cap =
		    r->heap_cap != 0 ? 2 * r->heap_cap : HEAP_INITIAL_CAP;
		struct timer **heap =
		    realloc(r->heap, cap * sizeof(struct timer *));

		if (heap == NULL) {
			write_log(LOG_LEVEL_ERR,
			    "out of memory for timers; raise the memory limit");
			abort();
		}
		r->heap = heap;
		r->heap_cap = cap;
	}
	place_timer(r, t, ++r->heap_count);
	sift_up(r, t->heap_index);
}

void
cancel_timer(struct reactor *r, struct timer *t)
{
	size_t i = t->heap_index;
	struct timer *last;

	if (i == 0)
		return;
	t->heap_index = 0;
	last = r->heap[r->heap_count--];
	if (last == t)
		return;
	place_timer(r, last, i);
	sift_up(r, i);
	sift_down(r, last->heap_index);
}

void
defer_task(struct reactor *r, struct task *t, task_fn fn)
{
	if (t->queued)
		return;
	t->queued = true;
	t->fn = fn;
	t->next = NULL;
	*r->deferred_tail = t;
	r->deferred_tail = &t->next;
}

void
cancel_task(struct reactor *r, struct task *t)
{
	struct task **at = &r->deferred;

	if (!t->queued)
		return;
	while (*at != NULL && *at != t)
		at = &(*at)->next;
	if (*at == NULL)
		return;
	*at = t->next;
	if (*at == NULL)
		r->deferred_tail = at;
	t->queued = false;
}

void
post_task(struct reactor *r, struct task *t, task_fn fn)
{
	uint64_t one = 1;
	bool wake = false;

	pthread_mutex_lock(&r->lock);
	if (!t->queued) {
		wake = r->posted == NULL;
		t->queued = true;
		t->fn = fn;
		t->next = NULL;
		*r->posted_tail = t;
		r->posted_tail = &t->next;
	}
	pthread_mutex_unlock(&r->lock);
	if (wake && write(r->wake.fd, &one, sizeof(one)) < 0)
		return; /* the counter is full, so the loop is awake */
}

/*
 * Aborts the process when epoll fails.
 */
static void
wait_for_events(struct reactor *r, int wait_ms)
{
	int n = epoll_wait(r->epoll, r->batch, EVENT_BATCH_MAX, wait_ms);

	if (n < 0 && errno != EINTR) {
		write_log(LOG_LEVEL_ERR, "epoll: %s", strerror(errno));
		abort();
	}
	r->batch_count = n > 0 ? n : 0;
}

/*
 * Returns the time until the next timer, at most wait_ms; 0 if tasks are
 * deferred. Rounds up, so that the timer is due when the wait ends.
 */
static int
get_wait_ms(const struct reactor *r, int wait_ms)
{
	int64_t left;

	if (r->deferred != NULL)
		return 0;
	if (r->heap_count == 0)
		return wait_ms;
	left = r->heap[1]->due_ns - read_mono(&r->clock);
	if (left <= 0)
		return 0;
	left = (left + NSEC_PER_MSEC - 1) / NSEC_PER_MSEC;
	return left < wait_ms ? (int)left : wait_ms;
}

static void
run_timers(struct reactor *r)
{
	while (r->heap_count > 0 && r->heap[1]->due_ns <= r->now_ns) {
		struct timer *t = r->heap[1];

		cancel_timer(r, t);
		t->fn(t);
	}
}

/*
 * Also runs the tasks that are deferred meanwhile.
 */
static void
run_deferred(struct reactor *r)
{
	struct task *t;

	while ((t = r->deferred) != NULL) {
		r->deferred = t->next;
		if (r->deferred == NULL)
			r->deferred_tail = &r->deferred;
		t->queued = false;
		t->fn(t);
	}
}

/*
 * Runs the posted tasks without the lock, so that they can post others, which
 * run in a later round.
 */
static void
run_posted(struct watch *w, uint32_t events)
{
	struct reactor *r =
	    (struct reactor *)((char *)w - offsetof(struct reactor, wake));
	struct task *list, *next;
	uint64_t count;
	task_fn fn;

	(void)events;
	if (read(w->fd, &count, sizeof(count)) < 0 && errno != EAGAIN)
		write_log(LOG_LEVEL_ERR, "eventfd: %s", strerror(errno));
	pthread_mutex_lock(&r->lock);
	list = r->posted;
	r->posted = NULL;
	r->posted_tail = &r->posted;
	pthread_mutex_unlock(&r->lock);
	for (; list != NULL; list = next) {
		/* From then on it can be posted again, which changes it. */
		pthread_mutex_lock(&r->lock);
		next = list->next;
		fn = list->fn;
		list->queued = false;
		pthread_mutex_unlock(&r->lock);
		fn(list);
	}
}

/*
 * Puts a timer at index i of the heap.
 */
static void
place_timer(struct reactor *r, struct timer *t, size_t i)
{
	r->heap[i] = t;
	t->heap_index = i;
}

static void
sift_up(struct reactor *r, size_t i)
{
	struct timer *t = r->heap[i];

	while (i > 1 && t->due_ns < r->heap[i / 2]->due_ns) {
		place_timer(r, r->heap[i / 2], i);
		i /= 2;
	}
	place_timer(r, t, i);
}

static void
sift_down(struct reactor *r, size_t i)
{
	struct timer *t = r->heap[i];

	for (;;) {
		size_t child = 2 * i;

		if (child > r->heap_count)
			break;
		if (child + 1 <= r->heap_count &&
		    r->heap[child + 1]->due_ns < r->heap[child]->due_ns)
			child++;
		if (r->heap[child]->due_ns >= t->due_ns)
			break;
		place_timer(r, r->heap[child], i);
		i = child;
	}
	place_timer(r, t, i);
}
