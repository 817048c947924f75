/*
 * Worker threads and their queue. One lock protects the queue and the trackers;
 * it is not held while a handler runs.
 */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "rpc_workers.h"

#define DEFAULT_WORKERS 2

struct rpc_tracker {
	uint64_t conn;
	char peer[RPC_ADDRESS_BYTES];
	unsigned int unfinished; /* items queued or in a handler */
	bool closed;
	struct work_item *close_item; /* allocated early: closing cannot fail */
};

/* A queued call, or the closing of a connection. */
struct work_item {
	struct work_item *next;
	struct rpc_tracker *tracker;
	struct rpc_reply *reply; /* NULL: the connection is closed */
	uint32_t proc;
	size_t len;
	char args[];
};

struct rpc_workers {
	pthread_mutex_t lock;
	pthread_cond_t work_queued;
	struct work_item *queue;
	struct work_item **queue_tail;
	bool stopping;
	rpc_handler handler;
	rpc_close_fn on_close;
	void *arg;
	int thread_count;
	pthread_t threads[];
};

static void *run_worker(void *arg);
static void run_item(struct rpc_workers *w, struct work_item *it);
static void push_item(struct rpc_workers *w, struct work_item *it);

/*
 * Starts the threads. Returns NULL when memory or threads run out.
 */
struct rpc_workers *
start_rpc_workers(const struct rpc_server_config *cfg)
{
	int n = cfg->workers > 0 ? cfg->workers : DEFAULT_WORKERS;
	struct rpc_workers *w =
	    calloc(1, sizeof(*w) + (size_t)n * sizeof(w->threads[0]));

	if (w == NULL)
		return NULL;
	pthread_mutex_init(&w->lock, NULL);
	pthread_cond_init(&w->work_queued, NULL);
	w->queue_tail = &w->queue;
	w->handler = cfg->handler;
	w->on_close = cfg->on_close;
	w->arg = cfg->arg;
	while (w->thread_count < n) {
		if (pthread_create(&w->threads[w->thread_count], NULL,
			run_worker, w) != 0) {
			stop_rpc_workers(w);
			return NULL;
		}
		w->thread_count++;
	}
	return w;
}

/*
 * Stops the threads once the queue is empty and frees w. Queued calls of closed
 * connections are discarded; on_close still runs for the connections.
 */
void
stop_rpc_workers(struct rpc_workers *w)
{
	if (w == NULL)
		return;
	pthread_mutex_lock(&w->lock);
	w->stopping = true;
	pthread_cond_broadcast(&w->work_queued);
	pthread_mutex_unlock(&w->lock);
	for (int i = 0; i < w->thread_count; i++)
		pthread_join(w->threads[i], NULL);
	pthread_cond_destroy(&w->work_queued);
	pthread_mutex_destroy(&w->lock);
	free(w);
}

/*
 * Returns NULL when memory runs out; close_rpc_tracker() frees the tracker.
 */
struct rpc_tracker *
open_rpc_tracker(uint64_t conn, const char *peer)
{
	struct rpc_tracker *t = calloc(1, sizeof(*t));

	if (t == NULL)
		return NULL;
	t->close_item = calloc(1, sizeof(*t->close_item));
	if (t->close_item == NULL) {
		free(t);
		return NULL;
	}
	t->conn = conn;
	(void)copy_str(t->peer, sizeof(t->peer), make_str(peer));
	return t;
}

/*
 * Queues the closing of the connection. on_close runs after its last call, and
 * then t is freed; the caller must not use t any more.
 */
void
close_rpc_tracker(struct rpc_workers *w, struct rpc_tracker *t)
{
	struct work_item *it = t->close_item;

	it->tracker = t;
	pthread_mutex_lock(&w->lock);
	t->closed = true;
	t->unfinished++;
	push_item(w, it);
	pthread_mutex_unlock(&w->lock);
}

/*
 * Queues a call with a copy of args. Returns ERR_MEMORY; reply still belongs to
 * the caller then.
 */
int
queue_rpc_call(struct rpc_workers *w, struct rpc_tracker *t, uint32_t proc,
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
	t->unfinished++;
	push_item(w, it);
	pthread_mutex_unlock(&w->lock);
	return 0;
}

/*
 * A worker thread: runs queued items; ends when the queue is empty and the
 * workers are being stopped.
 */
static void *
run_worker(void *arg)
{
	struct rpc_workers *w = arg;
	struct work_item *it;

	for (;;) {
		pthread_mutex_lock(&w->lock);
		while (w->queue == NULL && !w->stopping)
			pthread_cond_wait(&w->work_queued, &w->lock);
		it = w->queue;
		if (it == NULL) {
			pthread_mutex_unlock(&w->lock);
			return NULL;
		}
		w->queue = it->next;
		if (w->queue == NULL)
			w->queue_tail = &w->queue;
		pthread_mutex_unlock(&w->lock);
		run_item(w, it);
	}
}

/*
 * Runs one call, or discards it if its connection is already closed, since its
 * reply cannot be delivered. The last item of a closed connection runs on_close
 * and frees the tracker.
 */
static void
run_item(struct rpc_workers *w, struct work_item *it)
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
	last = --t->unfinished == 0 && t->closed;
	pthread_mutex_unlock(&w->lock);
	if (!last)
		return;
	if (w->on_close != NULL)
		w->on_close(w->arg, t->conn);
	free(t);
}

/*
 * Appends an item to the queue; the caller holds the lock.
 */
static void
push_item(struct rpc_workers *w, struct work_item *it)
{
	*w->queue_tail = it;
	w->queue_tail = &it->next;
	pthread_cond_signal(&w->work_queued);
}
