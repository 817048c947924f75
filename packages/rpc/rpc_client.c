/*
 * The client. One I/O thread owns all connections; other threads pass calls to
 * it through a locked list, and it runs their callbacks.
 */
#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "rpc_link.h"
#include "rpc_loop.h"

/* Defaults of struct rpc_client_config */
#define DEFAULT_CONNECT_MS 1000
#define DEFAULT_UNRESPONSIVE_MS 1000
#define DEFAULT_IDLE_MS 30000
/*
 * A reply must be complete within this time, and that which its bytes so far
 * take at the rate below. A fixed time alone would end the transfer of a large
 * table over a thin link, which would then begin anew.
 */
#define PARTIAL_REPLY_MAX_MS 10000
#define PARTIAL_REPLY_BYTES_PER_S 4096
#define DEFAULT_MAX_IN_FLIGHT 1024
#define DEFAULT_MAX_OUTPUT (8 * 1024 * 1024)
#define CALL_BUCKETS 256

enum peer_state {
	PEER_DISCONNECTED,
	PEER_CONNECTING, /* until the server's hello has arrived */
	PEER_OPEN,
};

/*
 * A call, or a request to reset the peer when fn is NULL. Times are in ns of
 * the monotonic clock.
 */
struct call {
	struct call *next;
	struct rpc_peer *peer;
	uint32_t proc;
	uint32_t xid;
	struct buf args;
	int64_t timeout_ns;
	int64_t deadline;
	int64_t sent_at; /* 0: not yet sent */
	uint64_t stream_end; /* total output bytes up to its end */
	rpc_done_fn fn;
	void *arg;
};

struct rpc_peer {
	struct rpc_peer *next;
	struct rpc_client *client;
	char address[RPC_ADDRESS_BYTES];
	struct rpc_address socket_address;
	enum peer_state state;
	struct rpc_link link;
	int64_t connect_deadline; /* of TCP; then handshake_deadline */
	int64_t handshake_deadline;
	int64_t last_active; /* last time with a call in flight */
	struct call *queue; /* calls to send once connected, in order */
	struct call **queue_tail;
	struct call *sent[CALL_BUCKETS]; /* calls without a reply, by xid */
	unsigned int sent_count;
	uint32_t next_xid;
	bool want_write; /* epoll reports when the socket is writable */
	atomic_int in_flight; /* calls not yet completed */
	_Atomic int64_t partial_input; /* see get_rpc_partial_input() */
	atomic_size_t unsent_bytes; /* arguments not yet encoded */

	/* Under the client's lock: the address of later connections */
	bool moved;
	char next_address[RPC_ADDRESS_BYTES];
	struct rpc_address next_socket_address;
};

struct rpc_client {
	struct rpc_client_config cfg;
	struct rpc_fault_hooks hooks;
	struct rpc_meter meter;
	struct rpc_loop loop;
	pthread_t thread;
	uint64_t last_conn_id; /* ID of the latest connection */
	int64_t next_deadline; /* of the next check; no deadline is earlier */

	pthread_mutex_t lock; /* protects the members below */
	struct rpc_peer *peers;
	struct call *submitted;
	struct call **submitted_tail;
	struct rpc_keys keys;
	bool keys_changed;
	bool stopping;
};

/* A thread that waits in call_rpc_wait() for its call. */
struct waiter {
	pthread_mutex_t lock;
	pthread_cond_t ready;
	bool done;
	int status;
	struct buf *body;
};

static int set_address_fault(struct fault *f, const char *address);
static void set_defaults(struct rpc_client_config *c);
static int submit_call(struct rpc_client *c, struct call *call);
static void complete_wait(void *arg, const struct rpc_result *result);
static void *run_client(void *arg);
static bool start_submitted(struct rpc_client *c, int64_t now);
static void start_call(struct call *call, int64_t now);
static void connect_peer(struct rpc_peer *p, int64_t now);
static void disconnect_peer(struct rpc_peer *p, int status);
static void complete_call(struct call *call, int status, struct str body);
static void handle_peer_events(
    struct rpc_peer *p, uint32_t events, int64_t now);
static int read_peer(struct rpc_peer *p, int64_t now);
static int handle_hello(struct rpc_peer *p, int64_t now);
static int get_reply_limit(void *arg, struct str head, size_t *max);
static int handle_reply(struct rpc_peer *p, char *record, size_t len);
static int send_call(struct rpc_peer *p, struct call *call, int64_t now);
static int send_queued(struct rpc_peer *p, int64_t now);
static void flush_peer(struct rpc_peer *p, int64_t now);
static struct call **find_call(struct rpc_peer *p, uint32_t xid);
static void disconnect_retired_peers(struct rpc_client *c);
static void check_peers(struct rpc_client *c, int64_t now);
static void check_peer(struct rpc_peer *p, int64_t now);
static int64_t get_partial_deadline(const struct rpc_stream *st);
static bool extend_connect_deadline(struct rpc_peer *p, int64_t now);
static bool time_out_sent(struct rpc_peer *p, int64_t now);
static void time_out_queued(struct rpc_peer *p, int64_t now);
static void lower_next_deadline(struct rpc_client *c, int64_t deadline);

/*
 * Starts the client's thread. Returns ERR_INVALID (bad key), ERR_IO (no
 * descriptors or threads) or ERR_MEMORY.
 */
int
open_rpc_client(const struct rpc_client_config *cfg, struct rpc_client **out,
    struct fault *f)
{
	struct rpc_client *c = calloc(1, sizeof(*c));

	*out = NULL;
	if (c == NULL)
		return set_fault(f, ERR_MEMORY,
		    "out of memory; give the process more memory");
	c->cfg = *cfg;
	set_defaults(&c->cfg);
	if (cfg->hooks != NULL)
		c->hooks = *cfg->hooks;
	c->submitted_tail = &c->submitted;
	c->next_deadline = INT64_MAX;
	if (load_rpc_keys(&c->keys, cfg->key, (struct str){NULL, 0}) != 0) {
		free(c);
		return set_fault(f, ERR_INVALID,
		    "fleet key must have %d to %d bytes", RPC_KEY_MIN_BYTES,
		    RPC_KEY_MAX_BYTES);
	}
	pthread_mutex_init(&c->lock, NULL);
	init_rpc_meter(&c->meter, "client", c->cfg.procs);
	if (open_rpc_loop(&c->loop) != 0 ||
	    pthread_create(&c->thread, NULL, run_client, c) != 0) {
		close_rpc_loop(&c->loop);
		pthread_mutex_destroy(&c->lock);
		free(c);
		return set_fault(f, ERR_IO,
		    "cannot start the RPC client; raise the limits of "
		    "files and processes");
	}
	*out = c;
	return 0;
}

/*
 * Fails all calls, with callbacks on the I/O thread, and frees client and
 * peers. Not allowed in callbacks.
 */
void
close_rpc_client(struct rpc_client *c)
{
	struct rpc_peer *p;

	if (c == NULL)
		return;
	pthread_mutex_lock(&c->lock);
	c->stopping = true;
	pthread_mutex_unlock(&c->lock);
	wake_rpc_loop(&c->loop);
	pthread_join(c->thread, NULL);
	while ((p = c->peers) != NULL) {
		c->peers = p->next;
		free(p);
	}
	close_rpc_loop(&c->loop);
	pthread_mutex_destroy(&c->lock);
	sodium_memzero(&c->keys, sizeof(c->keys));
	free(c);
}

/*
 * New connections use key; open ones stay open if their key is one of the two.
 * Returns ERR_INVALID, without any change, for a bad key.
 */
int
set_rpc_client_keys(struct rpc_client *c, struct str key, struct str next_key)
{
	struct rpc_keys keys;
	int rc = load_rpc_keys(&keys, key, next_key);

	if (rc != 0)
		return rc;
	pthread_mutex_lock(&c->lock);
	c->keys = keys;
	c->keys_changed = true;
	pthread_mutex_unlock(&c->lock);
	wake_rpc_loop(&c->loop);
	return 0;
}

struct rpc_stats
get_rpc_client_stats(struct rpc_client *c)
{
	return get_rpc_meter_stats(&c->meter);
}

int64_t
get_rpc_partial_input(struct rpc_peer *p)
{
	return atomic_load(&p->partial_input);
}

/*
 * Makes the I/O thread read the clock again.
 */
void
wake_rpc_client(struct rpc_client *c)
{
	wake_rpc_loop(&c->loop);
}

/*
 * Adds a peer without connecting. Returns ERR_INVALID for a bad address or
 * ERR_MEMORY.
 */
int
open_rpc_peer(struct rpc_client *c, const char *address, struct rpc_peer **out,
    struct fault *f)
{
	struct rpc_peer *p = calloc(1, sizeof(*p));

	*out = NULL;
	if (p == NULL)
		return set_fault(f, ERR_MEMORY,
		    "out of memory; give the process more memory");
	if (parse_rpc_address(address, &p->socket_address) != 0 ||
	    copy_str(p->address, sizeof(p->address), make_str(address)) != 0) {
		free(p);
		return set_address_fault(f, address);
	}
	p->client = c;
	p->link.stream.fd = -1;
	p->queue_tail = &p->queue;
	p->next_xid = randombytes_random();
	pthread_mutex_lock(&c->lock);
	p->next = c->peers;
	c->peers = p;
	pthread_mutex_unlock(&c->lock);
	*out = p;
	return 0;
}

/*
 * Closes the peer's connection: earlier calls fail, later calls use a new
 * connection. Does nothing when memory runs out or the client is closing.
 */
void
reset_rpc_peer(struct rpc_peer *p)
{
	struct call *call = calloc(1, sizeof(*call));

	if (call == NULL)
		return;
	call->peer = p;
	if (submit_call(p->client, call) != 0)
		free(call);
}

/*
 * Gives the peer another address: its connection is closed, and later calls go
 * to that address.
 */
int
move_rpc_peer(struct rpc_peer *p, const char *address, struct fault *f)
{
	struct rpc_address parsed;
	char copy[RPC_ADDRESS_BYTES];

	if (parse_rpc_address(address, &parsed) != 0 ||
	    copy_str(copy, sizeof(copy), make_str(address)) != 0)
		return set_address_fault(f, address);
	pthread_mutex_lock(&p->client->lock);
	p->moved = true;
	memcpy(p->next_address, copy, sizeof(copy));
	p->next_socket_address = parsed;
	pthread_mutex_unlock(&p->client->lock);
	reset_rpc_peer(p);
	return 0;
}

int
call_rpc(struct rpc_peer *p, uint32_t proc, struct str args, int timeout_ms,
    rpc_done_fn fn, void *arg)
{
	struct rpc_client *c = p->client;
	struct call *call;
	int rc;

	if (proc >= RPC_PROC_MAX || fn == NULL || timeout_ms <= 0)
		return ERR_INVALID;
	if (c->cfg.procs[proc].name != NULL &&
	    args.len > c->cfg.procs[proc].max_args)
		return ERR_LIMIT;
	if (atomic_load(&p->unsent_bytes) + args.len > c->cfg.max_output)
		return ERR_LIMIT;
	call = calloc(1, sizeof(*call));
	if (call == NULL)
		return ERR_MEMORY;
	*call = (struct call){.peer = p,
	    .proc = proc,
	    .timeout_ns = timeout_ms * NSEC_PER_MSEC,
	    .fn = fn,
	    .arg = arg};
	rc = append_buf_str(&call->args, args);
	if (rc == 0 &&
	    atomic_fetch_add(&p->in_flight, 1) >= c->cfg.max_in_flight) {
		atomic_fetch_sub(&p->in_flight, 1);
		rc = ERR_LIMIT;
	}
	if (rc == 0) {
		atomic_fetch_add(&p->unsent_bytes, args.len);
		rc = submit_call(c, call);
		if (rc != 0) {
			atomic_fetch_sub(&p->unsent_bytes, args.len);
			atomic_fetch_sub(&p->in_flight, 1);
		}
	}
	if (rc != 0) {
		unload_buf(&call->args);
		free(call);
	}
	return rc;
}

int
call_rpc_wait(struct rpc_peer *p, uint32_t proc, struct str args,
    int timeout_ms, struct buf *body)
{
	struct waiter w = {.body = body};
	int rc;

	if (pthread_equal(pthread_self(), p->client->thread))
		return ERR_INVALID;
	pthread_mutex_init(&w.lock, NULL);
	pthread_cond_init(&w.ready, NULL);
	rc = call_rpc(p, proc, args, timeout_ms, complete_wait, &w);
	if (rc == 0) {
		pthread_mutex_lock(&w.lock);
		while (!w.done)
			pthread_cond_wait(&w.ready, &w.lock);
		rc = w.status;
		pthread_mutex_unlock(&w.lock);
	}
	pthread_cond_destroy(&w.ready);
	pthread_mutex_destroy(&w.lock);
	return rc;
}

static int
set_address_fault(struct fault *f, const char *address)
{
	return set_fault(f, ERR_INVALID,
	    "address \"%s\": write IP:port or [IPv6]:port",
	    address != NULL ? address : "");
}

static void
set_defaults(struct rpc_client_config *c)
{
	if (c->clock.read_mono == NULL)
		c->clock = get_real_clock();
	if (c->procs == NULL)
		c->procs = get_ggs_procs();
	if (c->connect_ms <= 0)
		c->connect_ms = DEFAULT_CONNECT_MS;
	if (c->tcp_connect_ms <= 0 || c->tcp_connect_ms > c->connect_ms)
		c->tcp_connect_ms = c->connect_ms;
	if (c->unresponsive_ms <= 0)
		c->unresponsive_ms = DEFAULT_UNRESPONSIVE_MS;
	if (c->idle_ms <= 0)
		c->idle_ms = DEFAULT_IDLE_MS;
	if (c->max_in_flight <= 0)
		c->max_in_flight = DEFAULT_MAX_IN_FLIGHT;
	if (c->max_output == 0)
		c->max_output = DEFAULT_MAX_OUTPUT;
}

/*
 * Passes a call to the I/O thread, which frees it. Returns ERR_CLOSED when the
 * client is closing; the call still belongs to the caller then.
 */
static int
submit_call(struct rpc_client *c, struct call *call)
{
	bool wake;

	pthread_mutex_lock(&c->lock);
	if (c->stopping) {
		pthread_mutex_unlock(&c->lock);
		return ERR_CLOSED;
	}
	wake = c->submitted == NULL;
	*c->submitted_tail = call;
	c->submitted_tail = &call->next;
	pthread_mutex_unlock(&c->lock);
	if (wake)
		wake_rpc_loop(&c->loop);
	return 0;
}

/*
 * Callback of call_rpc_wait(). When memory for the body runs out, the status is
 * ERR_TIMEOUT, since the call has been executed.
 */
static void
complete_wait(void *arg, const struct rpc_result *result)
{
	struct waiter *w = arg;

	pthread_mutex_lock(&w->lock);
	w->status = result->status;
	if (w->status == 0 && w->body != NULL &&
	    append_buf_str(w->body, result->body) != 0)
		w->status = ERR_TIMEOUT;
	w->done = true;
	pthread_cond_signal(&w->ready);
	pthread_mutex_unlock(&w->lock);
}

/*
 * The I/O thread: handles events, submitted calls and deadlines until the
 * client is closing, and then fails all calls.
 */
static void *
run_client(void *arg)
{
	struct rpc_client *c = arg;
	struct epoll_event events[RPC_EVENTS_MAX];
	bool running = true;

	while (running) {
		int64_t now = read_mono(&c->cfg.clock);
		int64_t wait = c->next_deadline - now;
		int n = wait_rpc_loop(&c->loop, events, wait);

		now = read_mono(&c->cfg.clock);
		for (int i = 0; i < n; i++) {
			if (events[i].data.ptr != NULL)
				handle_peer_events(
				    events[i].data.ptr, events[i].events, now);
		}
		running = start_submitted(c, now);
		if (now >= c->next_deadline)
			check_peers(c, now);
	}
	for (struct rpc_peer *p = c->peers; p != NULL; p = p->next)
		disconnect_peer(p, ERR_CLOSED);
	return NULL;
}

/*
 * Starts the submitted calls, applies changed keys and flushes the peers.
 * Returns false when the client is closing.
 */
static bool
start_submitted(struct rpc_client *c, int64_t now)
{
	struct rpc_peer *peers;
	struct call *call, *next;
	bool keys_changed, stopping;

	pthread_mutex_lock(&c->lock);
	call = c->submitted;
	c->submitted = NULL;
	c->submitted_tail = &c->submitted;
	keys_changed = c->keys_changed;
	c->keys_changed = false;
	stopping = c->stopping;
	peers = c->peers;
	pthread_mutex_unlock(&c->lock);
	if (keys_changed)
		disconnect_retired_peers(c);
	for (; call != NULL; call = next) {
		next = call->next;
		call->next = NULL;
		if (call->fn == NULL) {
			disconnect_peer(call->peer, ERR_UNAVAILABLE);
			free(call);
		} else if (stopping) {
			complete_call(call, ERR_CLOSED, (struct str){NULL, 0});
		} else {
			start_call(call, now);
		}
	}
	for (struct rpc_peer *p = peers; p != NULL; p = p->next) {
		if (get_rpc_unsent_bytes(&p->link.stream) > 0 &&
		    !p->want_write && p->state == PEER_OPEN)
			flush_peer(p, now);
	}
	return !stopping;
}

/*
 * Sends a call, or queues it until the connection is open.
 */
static void
start_call(struct call *call, int64_t now)
{
	struct rpc_peer *p = call->peer;

	call->deadline = now + call->timeout_ns;
	lower_next_deadline(p->client, call->deadline);
	increment_rpc_count(&p->client->meter, RPC_COUNT_CALLS);
	if (p->state == PEER_OPEN) {
		if (send_call(p, call, now) != 0)
			disconnect_peer(p, ERR_UNAVAILABLE);
		return;
	}
	*p->queue_tail = call;
	p->queue_tail = &call->next;
	if (p->state == PEER_DISCONNECTED)
		connect_peer(p, now);
}

/*
 * Starts a TCP connection. An error fails all queued calls.
 */
static void
connect_peer(struct rpc_peer *p, int64_t now)
{
	struct rpc_client *c = p->client;
	int fd;

	pthread_mutex_lock(&c->lock);
	if (p->moved) {
		memcpy(p->address, p->next_address, sizeof(p->address));
		p->socket_address = p->next_socket_address;
		p->moved = false;
	}
	pthread_mutex_unlock(&c->lock);
	fd = socket(p->socket_address.storage.ss_family,
	    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0) {
		disconnect_peer(p, ERR_UNAVAILABLE);
		return;
	}
	set_rpc_socket_options(fd);
	c->last_conn_id++;
	open_rpc_link(&p->link, fd, c->last_conn_id, p->address, &c->hooks,
	    &c->meter, now);
	increment_rpc_count(&c->meter, RPC_COUNT_ACCEPTED);
	increment_rpc_count(&c->meter, RPC_COUNT_OPEN);
	p->state = PEER_CONNECTING;
	p->want_write = false;
	p->handshake_deadline = now + c->cfg.connect_ms * NSEC_PER_MSEC;
	p->connect_deadline = now + c->cfg.tcp_connect_ms * NSEC_PER_MSEC;
	lower_next_deadline(c, p->connect_deadline);
	if ((c->hooks.on_connect != NULL &&
		!c->hooks.on_connect(c->hooks.arg, p->address)) ||
	    (connect(fd, (struct sockaddr *)&p->socket_address.storage,
		 p->socket_address.len) != 0 &&
		errno != EINPROGRESS) ||
	    add_rpc_fd(&c->loop, fd, p, false) != 0)
		disconnect_peer(p, ERR_UNAVAILABLE);
}

/*
 * Closes the connection, if any, and fails all calls: those that are completely
 * written to the socket with ERR_TIMEOUT, since they may have run, the others
 * with status. Closing resets total_written, so it is read first.
 */
static void
disconnect_peer(struct rpc_peer *p, int status)
{
	uint64_t written = p->link.stream.total_written;
	struct call *list = p->queue, *call;

	if (p->state != PEER_DISCONNECTED) {
		close_rpc_link(&p->link);
		decrement_rpc_open(&p->client->meter);
	}
	p->state = PEER_DISCONNECTED;
	atomic_store(&p->partial_input, 0);
	p->queue = NULL;
	p->queue_tail = &p->queue;
	for (int i = 0; i < CALL_BUCKETS; i++) {
		while ((call = p->sent[i]) != NULL) {
			p->sent[i] = call->next;
			p->sent_count--;
			complete_call(call,
			    call->stream_end <= written ? ERR_TIMEOUT : status,
			    (struct str){NULL, 0});
		}
	}
	while ((call = list) != NULL) {
		list = call->next;
		complete_call(call, status, (struct str){NULL, 0});
	}
}

/*
 * Runs the callback of a call, which must be in no list any more, and frees the
 * call.
 */
static void
complete_call(struct call *call, int status, struct str body)
{
	struct rpc_result result = {status, body};
	struct rpc_peer *p = call->peer;

	if (call->sent_at == 0)
		atomic_fetch_sub(&p->unsent_bytes, call->args.len);
	atomic_fetch_sub(&p->in_flight, 1);
	call->fn(call->arg, &result);
	unload_buf(&call->args);
	free(call);
}

/*
 * Handles epoll events of a connection and closes it on errors.
 */
static void
handle_peer_events(struct rpc_peer *p, uint32_t events, int64_t now)
{
	int rc = 0;

	if (p->state == PEER_DISCONNECTED)
		return;
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		rc = read_peer(p, now);
	if (rc != 0) {
		count_rpc_refusal(&p->client->meter, rc);
		disconnect_peer(p, ERR_UNAVAILABLE);
		return;
	}
	flush_peer(p, now);
}

/*
 * Reads once and handles all complete records. Returns the error number for
 * which the connection must be closed.
 */
static int
read_peer(struct rpc_peer *p, int64_t now)
{
	struct rpc_stream *st = &p->link.stream;
	bool popped = false;
	char *record;
	size_t len;
	int rc = read_rpc_stream(st, now);

	if (rc != 0)
		return rc;
	if (p->state == PEER_CONNECTING) {
		rc = handle_hello(p, now);
		if (rc < 0)
			return rc;
		popped = rc > 0;
	}
	while (p->state == PEER_OPEN) {
		rc = pop_rpc_record(
		    st, RPC_RECORD_MAX, get_reply_limit, p, &record, &len);
		if (rc < 0)
			return rc;
		if (rc == 0)
			break;
		popped = true;
		rc = handle_reply(p, record, len);
		if (rc != 0)
			return rc;
	}
	compact_rpc_stream(st, popped, now);
	atomic_store(&p->partial_input, st->partial_since != 0 ? now : 0);
	lower_next_deadline(p->client, get_partial_deadline(st));
	return 0;
}

/*
 * Reads the server's hello, answers it with the client's and sends the queued
 * calls. Returns 1 when the hello has arrived, 0 when more input is needed, or
 * a negative error number.
 */
static int
handle_hello(struct rpc_peer *p, int64_t now)
{
	struct rpc_client *c = p->client;
	unsigned char challenge[RPC_CHALLENGE_BYTES], nonce[RPC_NONCE_BYTES];
	unsigned char key[RPC_FLEET_KEY_BYTES];
	char *record;
	size_t len;
	int rc = pop_rpc_record(
	    &p->link.stream, RPC_SERVER_HELLO_BYTES, NULL, NULL, &record, &len);

	if (rc <= 0)
		return rc;
	rc = decode_server_hello(make_str_n(record, len), challenge);
	if (rc != 0)
		return rc;
	count_rpc_bytes(
	    &c->meter, false, RPC_CLASS_CONNECT, RPC_MARK_BYTES + len);
	pthread_mutex_lock(&c->lock);
	memcpy(key, c->keys.keys[0], sizeof(key));
	pthread_mutex_unlock(&c->lock);
	randombytes_buf(nonce, sizeof(nonce));
	rc = encode_client_hello(key, challenge, nonce, &p->link.stream.out);
	start_client_session(&p->link.session, key, challenge, nonce);
	sodium_memzero(key, sizeof(key));
	if (rc != 0)
		return rc;
	count_rpc_bytes(&c->meter, true, RPC_CLASS_CONNECT,
	    RPC_MARK_BYTES + RPC_CLIENT_HELLO_BYTES);
	p->link.handshake_done = true;
	p->state = PEER_OPEN;
	p->last_active = now;
	lower_next_deadline(c, now + c->cfg.idle_ms * NSEC_PER_MSEC);
	rc = send_queued(p, now);
	return rc != 0 ? rc : 1;
}

/*
 * An rpc_limit_fn: sets *max by the procedure of the call that a reply belongs
 * to. Without such a call, *max remains RPC_RECORD_MAX.
 */
static int
get_reply_limit(void *arg, struct str head, size_t *max)
{
	struct rpc_peer *p = arg;
	struct call **call;
	uint32_t xid;
	int rc = peek_rpc_reply(head, &xid);

	if (rc != 0)
		return rc;
	call = find_call(p, xid);
	if (*call != NULL)
		*max = RPC_REPLY_OVERHEAD - RPC_MARK_BYTES +
		       p->client->cfg.procs[(*call)->proc].max_reply;
	return 0;
}

/*
 * Completes the call that a reply belongs to. A reply without a call came after
 * a timeout or is a duplicate; it is counted and dropped.
 */
static int
handle_reply(struct rpc_peer *p, char *record, size_t len)
{
	struct rpc_message m;
	struct call **at, *call;
	int rc = decode_rpc_reply(&p->link.session, record, len, &m);

	if (rc != 0)
		return rc;
	at = find_call(p, m.xid);
	call = *at;
	count_rpc_bytes(&p->client->meter, false,
	    call != NULL ? call->proc : RPC_CLASS_OTHER, RPC_MARK_BYTES + len);
	if (call == NULL) {
		increment_rpc_count(&p->client->meter, RPC_COUNT_UNMATCHED);
		return 0;
	}
	*at = call->next;
	p->sent_count--;
	p->last_active = p->link.stream.last_received;
	complete_call(call, m.status, m.body);
	return 0;
}

/*
 * Encodes a call into the output and frees its arguments. On an error, the call
 * is in the sent list, from which disconnect_peer() removes it.
 */
static int
send_call(struct rpc_peer *p, struct call *call, int64_t now)
{
	struct rpc_outgoing out = {
	    false, 0, call->proc, 0, view_buf(&call->args)};
	struct call **bucket;
	int rc;

	call->xid = p->next_xid++;
	out.xid = call->xid;
	bucket = &p->sent[call->xid % CALL_BUCKETS];
	call->next = *bucket;
	*bucket = call;
	p->sent_count++;
	call->stream_end = UINT64_MAX;
	rc = send_rpc_message(&p->link, &out, now);
	if (rc != 0)
		return rc;
	lower_next_deadline(p->client, get_rpc_delayed_due(&p->link));
	call->stream_end = get_rpc_queued_total(&p->link.stream);
	call->sent_at = now;
	atomic_fetch_sub(&p->unsent_bytes, call->args.len);
	unload_buf(&call->args);
	return 0;
}

/*
 * Sends the queued calls in order, until the first error.
 */
static int
send_queued(struct rpc_peer *p, int64_t now)
{
	struct call *call;
	int rc = 0;

	while (rc == 0 && (call = p->queue) != NULL) {
		p->queue = call->next;
		if (p->queue == NULL)
			p->queue_tail = &p->queue;
		rc = send_call(p, call, now);
	}
	return rc;
}

/*
 * Writes pending output and watches for writability while some remains.
 */
static void
flush_peer(struct rpc_peer *p, int64_t now)
{
	bool has_output;

	if (p->state != PEER_OPEN)
		return;
	if (flush_rpc_stream(&p->link.stream, now) != 0) {
		disconnect_peer(p, ERR_UNAVAILABLE);
		return;
	}
	has_output = get_rpc_unsent_bytes(&p->link.stream) > 0;
	if (has_output == p->want_write)
		return;
	p->want_write = has_output;
	if (modify_rpc_fd(&p->client->loop, p->link.stream.fd, p, has_output) !=
	    0)
		disconnect_peer(p, ERR_UNAVAILABLE);
}

/*
 * Returns the pointer to the sent call with this xid, or to the NULL at the end
 * of its bucket, so that the caller can unlink the call.
 */
static struct call **
find_call(struct rpc_peer *p, uint32_t xid)
{
	struct call **at = &p->sent[xid % CALL_BUCKETS];

	while (*at != NULL && (*at)->xid != xid)
		at = &(*at)->next;
	return at;
}

/*
 * Closes the connections whose fleet key is no longer accepted.
 */
static void
disconnect_retired_peers(struct rpc_client *c)
{
	struct rpc_keys keys;
	struct rpc_peer *p;

	pthread_mutex_lock(&c->lock);
	keys = c->keys;
	p = c->peers;
	pthread_mutex_unlock(&c->lock);
	for (; p != NULL; p = p->next) {
		if (p->state != PEER_OPEN ||
		    has_rpc_key(&keys, p->link.session.fleet_key))
			continue;
		increment_rpc_count(&c->meter, RPC_COUNT_RETIRED);
		disconnect_peer(p, ERR_UNAVAILABLE);
	}
	sodium_memzero(&keys, sizeof(keys));
}

/*
 * Handles expired deadlines of all peers and computes the next deadline.
 */
static void
check_peers(struct rpc_client *c, int64_t now)
{
	struct rpc_peer *p;

	c->next_deadline = INT64_MAX;
	pthread_mutex_lock(&c->lock);
	p = c->peers;
	pthread_mutex_unlock(&c->lock);
	for (; p != NULL; p = p->next)
		check_peer(p, now);
}

/*
 * Handles the expired deadlines of one peer, sends delayed messages that are
 * due and lowers next_deadline to the peer's next deadline.
 */
static void
check_peer(struct rpc_peer *p, int64_t now)
{
	struct rpc_client *c = p->client;
	int64_t idle_ns = c->cfg.idle_ms * NSEC_PER_MSEC, partial_deadline;

	if (p->state == PEER_CONNECTING && now >= p->connect_deadline &&
	    !extend_connect_deadline(p, now)) {
		disconnect_peer(p, ERR_UNAVAILABLE);
		return;
	}
	time_out_queued(p, now);
	if (p->state == PEER_CONNECTING)
		lower_next_deadline(c, p->connect_deadline);
	if (p->state != PEER_OPEN)
		return;
	partial_deadline = get_partial_deadline(&p->link.stream);
	if (now >= partial_deadline) {
		count_rpc_refusal(&c->meter, ERR_TIMEOUT);
		disconnect_peer(p, ERR_UNAVAILABLE);
		return;
	}
	lower_next_deadline(c, partial_deadline);
	if (time_out_sent(p, now) || send_rpc_delayed(&p->link, now) != 0) {
		disconnect_peer(p, ERR_UNAVAILABLE);
		return;
	}
	lower_next_deadline(c, get_rpc_delayed_due(&p->link));
	if (p->sent_count > 0)
		p->last_active = now;
	if (now - p->last_active >= idle_ns) {
		disconnect_peer(p, ERR_UNAVAILABLE);
		return;
	}
	lower_next_deadline(c, p->last_active + idle_ns);
	flush_peer(p, now);
}

/*
 * Returns the time in ns until which the reply that is being received must be
 * complete, which further bytes extend; INT64_MAX: none is being received.
 */
static int64_t
get_partial_deadline(const struct rpc_stream *st)
{
	if (st->partial_since == 0)
		return INT64_MAX;
	return st->partial_since + PARTIAL_REPLY_MAX_MS * NSEC_PER_MSEC +
	       (int64_t)st->in.len * NSEC_PER_SEC / PARTIAL_REPLY_BYTES_PER_S;
}

/*
 * Extends the deadline to handshake_deadline if the peer's host has accepted
 * the TCP connection, so that a busy process has time to send its hello.
 * Returns false when the connection must be closed.
 */
static bool
extend_connect_deadline(struct rpc_peer *p, int64_t now)
{
	struct sockaddr_storage a;
	socklen_t len = sizeof(a);

	if (now >= p->handshake_deadline ||
	    getpeername(p->link.stream.fd, (struct sockaddr *)&a, &len) != 0)
		return false;
	p->connect_deadline = p->handshake_deadline;
	return true;
}

/*
 * Fails sent calls that have timed out, but none while a reply is arriving,
 * which may be that of the oldest call. Returns true when the connection is
 * unresponsive: without input since such a call was sent and for
 * unresponsive_ms.
 */
static bool
time_out_sent(struct rpc_peer *p, int64_t now)
{
	int64_t unresponsive_ns =
	    p->client->cfg.unresponsive_ms * NSEC_PER_MSEC;
	int64_t received = p->link.stream.last_received;
	bool is_unresponsive = false;

	if (p->link.stream.partial_since != 0 &&
	    now - received < unresponsive_ns) {
		lower_next_deadline(p->client, received + unresponsive_ns);
		return false;
	}
	for (int i = 0; i < CALL_BUCKETS && p->sent_count > 0; i++) {
		struct call **at = &p->sent[i], *call;

		while ((call = *at) != NULL) {
			if (call->deadline > now) {
				lower_next_deadline(p->client, call->deadline);
				at = &call->next;
				continue;
			}
			if (received <= call->sent_at &&
			    now - received >= unresponsive_ns)
				is_unresponsive = true;
			*at = call->next;
			p->sent_count--;
			complete_call(call, ERR_TIMEOUT, (struct str){NULL, 0});
		}
	}
	return is_unresponsive;
}

/*
 * Fails queued calls that have timed out; they were never sent.
 */
static void
time_out_queued(struct rpc_peer *p, int64_t now)
{
	struct call **at = &p->queue, *call;

	while ((call = *at) != NULL) {
		if (call->deadline > now) {
			lower_next_deadline(p->client, call->deadline);
			at = &call->next;
			continue;
		}
		*at = call->next;
		if (*at == NULL)
			p->queue_tail = at;
		complete_call(call, ERR_UNAVAILABLE, (struct str){NULL, 0});
	}
}

static void
lower_next_deadline(struct rpc_client *c, int64_t deadline)
{
	if (deadline < c->next_deadline)
		c->next_deadline = deadline;
}
