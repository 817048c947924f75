/*
 * The event loop: epoll, a heap of timers, a queue of posted tasks and the
 * curl multi handle, all driven by one thread.
 */
#include <pthread.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "loop.h"

#define LOOP_EVENTS_MAX 64 /* of one epoll_wait() */
#define LOOP_IDLE_MS 1000 /* bounds the delay after a paused clock moves */
#define LOOP_ROUNDS_MAX 64 /* before sockets are polled again */

struct loop {
	struct clock_source clock;
	struct loop_hooks hooks;
	int epoll_fd;
	struct loop_watch wakeup; /* eventfd written by post_loop_task() */
	CURLM *curl;
	int64_t curl_deadline; /* mono ns of curl's next timeout; -1: none */
	struct loop_timer **heap;
	size_t heap_count, heap_cap;
	struct epoll_event ready_events[LOOP_EVENTS_MAX];
	int event_at, event_count; /* next event, events in the array */
	pthread_t thread;
	bool running;
	bool stop; /* loop thread only, set by a task */
	struct loop_task stop_task;
	pthread_mutex_t lock; /* leaf lock of the task queue */
	struct loop_task *head, **tail; /* posted tasks */
};

static void *run_thread(void *arg);
static void run_round(struct loop *l);
static int get_wait_ms(struct loop *l);
static bool run_tasks(struct loop *l);
static bool fire_timers(struct loop *l);
static bool run_curl(struct loop *l);
static void clear_wakeup(struct loop_watch *w, uint32_t events);
static void request_stop(struct loop_task *t);
static int update_curl_socket(
    CURL *easy, curl_socket_t s, int what, void *userp, void *socketp);
static void handle_curl_socket(struct loop_watch *w, uint32_t events);
static int update_curl_timer(CURLM *m, long timeout_ms, void *userp);
static void sift_up(struct loop *l, size_t i);
static void sift_down(struct loop *l, size_t i);
static void place_timer(struct loop *l, size_t i, struct loop_timer *t);

/* A watched curl socket, stored in curl as the socket's pointer. */
struct curl_socket {
	struct loop_watch watch;
	struct loop *loop;
};

/*
 * Creates a loop whose thread has not started. Returns ERR_IO or ERR_MEMORY.
 */
int
open_loop(struct clock_source clock, const struct loop_hooks *hooks,
    struct loop **out)
{
	struct loop *l = calloc(1, sizeof(*l));

	if (l == NULL)
		return ERR_MEMORY;
	l->clock = clock;
	l->hooks = *hooks;
	l->tail = &l->head;
	l->curl_deadline = -1;
	pthread_mutex_init(&l->lock, NULL);
	l->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	l->wakeup.fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	l->wakeup.ready = clear_wakeup;
	l->curl = curl_multi_init();
	if (l->epoll_fd < 0 || l->wakeup.fd < 0 || l->curl == NULL ||
	    watch_fd(l, &l->wakeup, EPOLLIN) != 0) {
		close_loop(l);
		return ERR_IO;
	}
	curl_multi_setopt(l->curl, CURLMOPT_SOCKETFUNCTION, update_curl_socket);
	curl_multi_setopt(l->curl, CURLMOPT_SOCKETDATA, l);
	curl_multi_setopt(l->curl, CURLMOPT_TIMERFUNCTION, update_curl_timer);
	curl_multi_setopt(l->curl, CURLMOPT_TIMERDATA, l);
	*out = l;
	return 0;
}

/*
 * Starts the loop thread. Returns ERR_LIMIT when the system has no thread
 * left.
 */
int
start_loop(struct loop *l)
{
	if (pthread_create(&l->thread, NULL, run_thread, l) != 0)
		return ERR_LIMIT;
	l->running = true;
	return 0;
}

/*
 * Stops the thread after the tasks posted so far have run.
 */
void
stop_loop(struct loop *l)
{
	if (!l->running)
		return;
	l->stop_task.run = request_stop;
	post_loop_task(l, &l->stop_task);
	pthread_join(l->thread, NULL);
	l->running = false;
}

/*
 * Frees the loop. All easy handles must have been removed.
 */
void
close_loop(struct loop *l)
{
	if (l->curl != NULL)
		curl_multi_cleanup(l->curl);
	if (l->epoll_fd >= 0)
		close(l->epoll_fd);
	if (l->wakeup.fd >= 0)
		close(l->wakeup.fd);
	pthread_mutex_destroy(&l->lock);
	free(l->heap);
	free(l);
}

/*
 * Queues t for the loop thread. Only the first task of an empty queue wakes the
 * loop. The owner keeps t until it runs.
 */
void
post_loop_task(struct loop *l, struct loop_task *t)
{
	uint64_t one = 1;
	bool first;

	t->next = NULL;
	pthread_mutex_lock(&l->lock);
	first = l->head == NULL;
	*l->tail = t;
	l->tail = &t->next;
	pthread_mutex_unlock(&l->lock);
	if (first && write(l->wakeup.fd, &one, sizeof(one)) < 0) {
		/* the eventfd is already readable, so the loop wakes up */
	}
}

/*
 * Sets or moves a timer to the mono time at, in ns. Returns ERR_MEMORY when the
 * heap cannot grow.
 */
int
set_loop_timer(struct loop *l, struct loop_timer *t, int64_t at)
{
	if (t->heap_pos != 0) {
		t->at = at;
		sift_up(l, t->heap_pos - 1);
		sift_down(l, t->heap_pos - 1);
		return 0;
	}
	if (l->heap_count == l->heap_cap) {
		size_t cap = l->heap_cap != 0 ? l->heap_cap * 2 : 64;
		struct loop_timer **p = realloc(l->heap, cap * sizeof(*p));

		if (p == NULL)
			return ERR_MEMORY;
		l->heap = p;
		l->heap_cap = cap;
	}
	t->at = at;
	place_timer(l, l->heap_count, t);
	l->heap_count++;
	sift_up(l, l->heap_count - 1);
	return 0;
}

/*
 * Clears a timer; does nothing when it is not set.
 */
void
clear_loop_timer(struct loop *l, struct loop_timer *t)
{
	struct loop_timer *last;
	size_t i;

	if (t->heap_pos == 0)
		return;
	i = t->heap_pos - 1;
	t->heap_pos = 0;
	l->heap_count--;
	if (i == l->heap_count)
		return;
	last = l->heap[l->heap_count];
	place_timer(l, i, last);
	sift_up(l, i);
	sift_down(l, last->heap_pos - 1);
}

/*
 * Adds a descriptor to the loop; events are those of epoll. Returns ERR_IO.
 */
int
watch_fd(struct loop *l, struct loop_watch *w, uint32_t events)
{
	struct epoll_event ev = {.events = events, .data.ptr = w};

	return epoll_ctl(l->epoll_fd, EPOLL_CTL_ADD, w->fd, &ev) == 0 ? 0 :
									ERR_IO;
}

/*
 * Removes a descriptor and its events that are still in ready_events, so that
 * the caller may free w.
 */
void
unwatch_fd(struct loop *l, struct loop_watch *w)
{
	epoll_ctl(l->epoll_fd, EPOLL_CTL_DEL, w->fd, NULL);
	for (int i = l->event_at; i < l->event_count; i++) {
		if (l->ready_events[i].data.ptr == w)
			l->ready_events[i].data.ptr = NULL;
	}
}

CURLM *
get_loop_curl(struct loop *l)
{
	return l->curl;
}

int64_t
get_loop_time(struct loop *l)
{
	return read_mono(&l->clock);
}

static void *
run_thread(void *arg)
{
	struct loop *l = arg;

	while (!l->stop)
		run_round(l);
	return NULL;
}

/*
 * Waits once and handles everything that is ready. Tasks, timers, curl and the
 * hook for deferred work create work for each other, so they repeat until none
 * makes progress, at most LOOP_ROUNDS_MAX times.
 */
static void
run_round(struct loop *l)
{
	int n = epoll_wait(
	    l->epoll_fd, l->ready_events, LOOP_EVENTS_MAX, get_wait_ms(l));

	l->event_count = n > 0 ? n : 0;
	for (l->event_at = 0; l->event_at < l->event_count;) {
		struct epoll_event *ev = &l->ready_events[l->event_at++];
		struct loop_watch *w = ev->data.ptr;

		if (w != NULL)
			w->ready(w, ev->events);
	}
	for (int i = 0; i < LOOP_ROUNDS_MAX; i++) {
		bool more = run_tasks(l);

		more |= fire_timers(l);
		more |= run_curl(l);
		more |= l->hooks.process_deferred(l->hooks.arg);
		if (!more)
			break;
	}
}

/*
 * Returns the milliseconds until the next timer, rounded up, and 0 when a task
 * is queued.
 */
static int
get_wait_ms(struct loop *l)
{
	int64_t now = read_mono(&l->clock), at = INT64_MAX, ms;
	bool queued;

	pthread_mutex_lock(&l->lock);
	queued = l->head != NULL;
	pthread_mutex_unlock(&l->lock);
	if (queued)
		return 0;
	if (l->heap_count > 0)
		at = l->heap[0]->at;
	if (l->curl_deadline >= 0 && l->curl_deadline < at)
		at = l->curl_deadline;
	if (at <= now)
		return 0;
	ms = (at - now) / NSEC_PER_MSEC + 1;
	return ms < LOOP_IDLE_MS ? (int)ms : LOOP_IDLE_MS;
}

static bool
run_tasks(struct loop *l)
{
	struct loop_task *t, *next;

	pthread_mutex_lock(&l->lock);
	t = l->head;
	l->head = NULL;
	l->tail = &l->head;
	pthread_mutex_unlock(&l->lock);
	if (t == NULL)
		return false;
	for (; t != NULL; t = next) {
		next = t->next;
		t->run(t);
	}
	return true;
}

static bool
fire_timers(struct loop *l)
{
	int64_t now = read_mono(&l->clock);
	bool fired = false;

	while (l->heap_count > 0 && l->heap[0]->at <= now) {
		struct loop_timer *t = l->heap[0];

		clear_loop_timer(l, t);
		t->fire(t);
		fired = true;
	}
	return fired;
}

/*
 * Calls curl when its timeout is due and reports the transfers that have ended.
 * Returns whether there was any work.
 */
static bool
run_curl(struct loop *l)
{
	int left, running;
	bool worked = false;
	CURLMsg *m;

	if (l->curl_deadline >= 0 && l->curl_deadline <= read_mono(&l->clock)) {
		l->curl_deadline = -1;
		curl_multi_socket_action(
		    l->curl, CURL_SOCKET_TIMEOUT, 0, &running);
		worked = true;
	}
	while ((m = curl_multi_info_read(l->curl, &left)) != NULL) {
		if (m->msg != CURLMSG_DONE)
			continue;
		l->hooks.transfer_done(m->easy_handle, m->data.result);
		worked = true;
	}
	return worked;
}

static void
clear_wakeup(struct loop_watch *w, uint32_t events)
{
	uint64_t n;

	(void)events;
	if (read(w->fd, &n, sizeof(n)) < 0) {
		/* already read in an earlier round */
	}
}

static void
request_stop(struct loop_task *t)
{
	struct loop *l =
	    (struct loop *)((char *)t - offsetof(struct loop, stop_task));

	l->stop = true;
}

/*
 * Curl's socket callback: watches a socket, changes its events or removes it.
 */
static int
update_curl_socket(
    CURL *easy, curl_socket_t s, int what, void *userp, void *socketp)
{
	struct loop *l = userp;
	struct curl_socket *w = socketp;
	struct epoll_event ev = {0};

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (w != NULL) {
			unwatch_fd(l, &w->watch);
			free(w);
		}
		curl_multi_assign(l->curl, s, NULL);
		return 0;
	}
	if (what != CURL_POLL_OUT)
		ev.events |= EPOLLIN;
	if (what != CURL_POLL_IN)
		ev.events |= EPOLLOUT;
	if (w != NULL) {
		ev.data.ptr = &w->watch;
		epoll_ctl(l->epoll_fd, EPOLL_CTL_MOD, s, &ev);
		return 0;
	}
	w = calloc(1, sizeof(*w));
	if (w == NULL)
		return -1;
	w->loop = l;
	w->watch = (struct loop_watch){s, handle_curl_socket};
	if (watch_fd(l, &w->watch, ev.events) != 0) {
		free(w);
		return -1;
	}
	curl_multi_assign(l->curl, s, w);
	return 0;
}

static void
handle_curl_socket(struct loop_watch *w, uint32_t events)
{
	struct loop *l = ((struct curl_socket *)w)->loop;
	int mask = 0, running;

	if (events & EPOLLIN)
		mask |= CURL_CSELECT_IN;
	if (events & EPOLLOUT)
		mask |= CURL_CSELECT_OUT;
	if (events & (EPOLLERR | EPOLLHUP))
		mask |= CURL_CSELECT_ERR;
	curl_multi_socket_action(l->curl, w->fd, mask, &running);
}

/*
 * Curl's timer callback: sets its next timeout, in ms from now.
 */
static int
update_curl_timer(CURLM *m, long timeout_ms, void *userp)
{
	struct loop *l = userp;

	(void)m;
	l->curl_deadline =
	    timeout_ms < 0 ? -1 :
			     read_mono(&l->clock) + timeout_ms * NSEC_PER_MSEC;
	return 0;
}

static void
place_timer(struct loop *l, size_t i, struct loop_timer *t)
{
	l->heap[i] = t;
	t->heap_pos = i + 1;
}

static void
sift_up(struct loop *l, size_t i)
{
	struct loop_timer *t = l->heap[i];

	while (i > 0 && l->heap[(i - 1) / 2]->at > t->at) {
		place_timer(l, i, l->heap[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	place_timer(l, i, t);
}

static void
sift_down(struct loop *l, size_t i)
{
	struct loop_timer *t = l->heap[i];

	for (;;) {
		size_t c = 2 * i + 1;

		if (c >= l->heap_count)
			break;
		if (c + 1 < l->heap_count &&
		    l->heap[c + 1]->at < l->heap[c]->at)
			c++;
		if (l->heap[c]->at >= t->at)
			break;
		place_timer(l, i, l->heap[c]);
		i = c;
	}
	place_timer(l, i, t);
}
