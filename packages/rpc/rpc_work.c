/*
 * Worker threads and their queue. One lock covers the queue and the trackers;
 * it is never held while a handler runs.
 */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "rpc_work.h"

#define WORKERS_DEFAULT 2

struct rpc_tracker {
	uint64_t conn;
	char peer[RPC_ADDRESS_BYTES];
	unsigned int running; /* calls queued or in a handler */
	bool closed;
	struct work_item *closing; /* kept ready, so that it cannot fail */
};

struct work_item {
	struct work_item *next;
	struct rpc_tracker *tracker;
	struct rpc_reply *reply; /* NULL: the connection closed */
	uint32_t proc;
	size_t len;
	char args[];
};

struct rpc_work {
	pthread_mutex_t lock;
	pthread_cond_t ready;
	struct work_item *head;
	struct work_item **tail;
	bool stopping;
	rpc_handler handler;
	rpc_close_fn on_close;
	void *arg;
	int count;
	pthread_t threads[];
};

static void *run_worker(void *arg);
static void run_item(struct rpc_work *w, struct work_item *it);
static void push_item(struct rpc_work *w, struct work_item *it);

/*
 * Starts the workers. Returns NULL when memory or threads run out.
 */
struct rpc_work *
open_rpc_work(const struct rpc_server_config *cfg)
{
	int n = cfg->workers > 0 ? cfg->workers : WORKERS_DEFAULT;
	struct rpc_work *w =
	    calloc(1, sizeof(*w) + (size_t)n * sizeof(w->threads[0]));

	if (w == NULL)
		return NULL;
	pthread_mutex_init(&w->lock, NULL);
	pthread_cond_init(&w->ready, NULL);
	w->tail = &w->head;
	w->handler = cfg->handler;
	w->on_close = cfg->on_close;
	w->arg = cfg->arg;
	while (w->count < n) {
		if (pthread_create(
			&w->threads[w->count], NULL, run_worker, w) != 0) {
			close_rpc_work(w);
			return NULL;
		}
		w->count++;
	}
	return w;
}

/*
 * Ends the workers once the queue is empty. Calls of closed connections are
 * discarded, their closings reported.
 */
void
close_rpc_work(struct rpc_work *w)
{
	if (w == NULL)
		return;
	pthread_mutex_lock(&w->lock);
	w->stopping = true;
	pthread_cond_broadcast(&w->ready);
	pthread_mutex_unlock(&w->lock);
	for (int i = 0; i < w->count; i++)
		pthread_join(w->threads[i], NULL);
	pthread_cond_destroy(&w->ready);
	pthread_mutex_destroy(&w->lock);
	free(w);
}

struct rpc_tracker *
open_rpc_tracker(uint64_t conn, const char *peer)
{
	struct rpc_tracker *t = calloc(1, sizeof(*t));

	if (t == NULL)
		return NULL;
	t->closing = calloc(1, sizeof(*t->closing));
	if (t->closing == NULL) {
		free(t);
		return NULL;
	}
	t->conn = conn;
	(void)copy_str(t->peer, sizeof(t->peer), make_str(peer));
	return t;
}

/*
 * Reports the closing after the last call of the connection and frees t.
 */
void
close_rpc_tracker(struct rpc_work *w, struct rpc_tracker *t)
{
	struct work_item *it = t->closing;

	it->tracker = t;
	pthread_mutex_lock(&w->lock);
	t->closed = true;
	t->running++;
	push_item(w, it);
	pthread_mutex_unlock(&w->lock);
}

int
push_rpc_work(struct rpc_work *w, struct rpc_tracker *t, uint32_t proc,
    struct str args, struct rpc_reply *reply)
{
	struct work_item *it = malloc(sizeof(*it) + args.len);

	if (it == NULL)
		return ERR_MEMORY;
	*it = (struct work_item){
	    .tracker = t, .reply = reply, .proc = proc, .len = args.len};
	if (args.len > 0)
		memcpy(it->args, args.data, args.len);
	pthread_mutex_lock(&w->lock);
	t->running++;
	push_item(w, it);
	pthread_mutex_unlock(&w->lock);
	return 0;
}

static void *
run_worker(void *arg)
{
	struct rpc_work *w = arg;
	struct work_item *it;

	for (;;) {
		pthread_mutex_lock(&w->lock);
		while (w->head == NULL && !w->stopping)
			pthread_cond_wait(&w->ready, &w->lock);
		it = w->head;
		if (it == NULL) {
			pthread_mutex_unlock(&w->lock);
			return NULL;
		}
		w->head = it->next;
		if (w->head == NULL)
			w->tail = &w->head;
		pthread_mutex_unlock(&w->lock);
		run_item(w, it);
	}
}

/*
 * Runs one call, or discards it when its connection has closed meanwhile: its
 * reply could reach nobody. Whoever ends the last item of a closed connection
 * reports the closing.
 */
static void
run_item(struct rpc_work *w, struct work_item *it)
{
	struct rpc_tracker *t = it->tracker;
	bool closed, last;

	pthread_mutex_lock(&w->lock);
	closed = t->closed;
	pthread_mutex_unlock(&w->lock);
	if (it->reply != NULL && closed) {
		discard_rpc_reply(it->reply);
	} else if (it->reply != NULL) {
		struct rpc_request req = {
		    t->conn, t->peer, it->proc, make_str_n(it->args, it->len)};

		w->handler(w->arg, &req, it->reply);
	}
	free(it);
	pthread_mutex_lock(&w->lock);
	last = --t->running == 0 && t->closed;
	pthread_mutex_unlock(&w->lock);
	if (!last)
		return;
	if (w->on_close != NULL)
		w->on_close(w->arg, t->conn);
	free(t);
}

static void
push_item(struct rpc_work *w, struct work_item *it)
{
	*w->tail = it;
	w->tail = &it->next;
	pthread_cond_signal(&w->ready);
}
