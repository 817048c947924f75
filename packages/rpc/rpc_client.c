/*
 * The client. One thread owns all peers and their connections; calls reach it
 * through a locked list and their callbacks run on it.
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

#define CONNECT_MS 1000
#define SILENT_MS 1000
#define IDLE_MS 30000
#define PARTIAL_MS 10000 /* a reply must arrive whole within */
#define MAX_IN_FLIGHT 1024
#define MAX_OUTPUT (8 * 1024 * 1024)
#define CALL_BUCKETS 256

enum peer_state {
	PEER_IDLE, /* no connection */
	PEER_CONNECTING, /* until the server's hello has arrived */
	PEER_OPEN,
};

/* A call, or a request to reset the peer when fn is NULL. */
struct call {
	struct call *next;
	struct rpc_peer *peer;
	uint32_t proc;
	uint32_t xid;
	struct buf args;
	int64_t timeout_ns;
	int64_t deadline;
	int64_t sent_at;
	uint64_t end; /* queued bytes of the stream after the call */
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
	int64_t connect_deadline;
	int64_t hello_deadline; /* the same once the peer's system answers */
	int64_t active_at; /* last time with a call in flight */
	struct call *waiting; /* for the connection, in order */
	struct call **waiting_tail;
	struct call *sent[CALL_BUCKETS]; /* by xid */
	unsigned int sent_count;
	uint32_t next_xid;
	bool want_write;
	atomic_int in_flight;
	atomic_size_t unsent_bytes; /* arguments not yet written */
};

struct rpc_client {
	struct rpc_client_config cfg;
	struct rpc_fault_hooks hooks;
	struct rpc_meter meter;
	struct rpc_loop loop;
	pthread_t thread;
	uint64_t last_conn;
	int64_t next_deadline; /* no deadline is earlier */

	pthread_mutex_t lock; /* of the members below */
	struct rpc_peer *peers;
	struct call *submitted;
	struct call **submitted_tail;
	struct rpc_keys keys;
	bool keys_changed;
	bool stopping;
};

/* A thread that waits in call_rpc_wait(). */
struct waiter {
	pthread_mutex_t lock;
	pthread_cond_t ready;
	bool done;
	int status;
	struct buf *body;
};

static void fill_defaults(struct rpc_client_config *c);
static int submit_call(struct rpc_client *c, struct call *call);
static void finish_wait(void *arg, const struct rpc_result *result);
static void *run_client(void *arg);
static bool take_submitted(struct rpc_client *c, int64_t now);
static void start_call(struct call *call, int64_t now);
static void connect_peer(struct rpc_peer *p, int64_t now);
static void drop_peer(struct rpc_peer *p, int status);
static void end_call(struct call *call, int status, struct str body);
static void serve_peer(struct rpc_peer *p, uint32_t events, int64_t now);
static int read_peer(struct rpc_peer *p, int64_t now);
static int take_hello(struct rpc_peer *p, int64_t now);
static int limit_reply(void *arg, struct str head, size_t *max);
static int take_reply(struct rpc_peer *p, char *record, size_t len);
static int send_call(struct rpc_peer *p, struct call *call, int64_t now);
static int send_waiting(struct rpc_peer *p, int64_t now);
static void flush_peer(struct rpc_peer *p, int64_t now);
static struct call **find_call(struct rpc_peer *p, uint32_t xid);
static void retire_keys(struct rpc_client *c);
static void scan_peers(struct rpc_client *c, int64_t now);
static void scan_peer(struct rpc_peer *p, int64_t now);
static bool extend_connecting(struct rpc_peer *p, int64_t now);
static bool time_out_sent(struct rpc_peer *p, int64_t now);
static void time_out_waiting(struct rpc_peer *p, int64_t now);
static void lower_deadline(struct rpc_client *c, int64_t deadline);

/*
 * Starts the client's thread. Returns ERR_INVALID (bad key) or ERR_IO.
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
	fill_defaults(&c->cfg);
	if (cfg->hooks != NULL)
		c->hooks = *cfg->hooks;
	c->submitted_tail = &c->submitted;
	c->next_deadline = INT64_MAX;
	if (load_rpc_keys(&c->keys, cfg->key, (struct str){NULL, 0}) != 0) {
		free(c);
		return set_fault(f, ERR_INVALID,
		    "fleet key: give %d to %d bytes", RPC_KEY_MIN_BYTES,
		    RPC_KEY_MAX_BYTES);
	}
	pthread_mutex_init(&c->lock, NULL);
	open_rpc_meter(&c->meter, "client", c->cfg.procs);
	if (open_rpc_loop(&c->loop) != 0 ||
	    pthread_create(&c->thread, NULL, run_client, c) != 0) {
		close_rpc_loop(&c->loop);
		pthread_mutex_destroy(&c->lock);
		free(c);
		return set_fault(f, ERR_IO,
		    "cannot start the client; raise file and process limits");
	}
	*out = c;
	return 0;
}

/*
 * Fails all calls, with callbacks on the I/O thread, and frees client and
 * peers. Not for callbacks.
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
 * New connections use key; open ones stay as long as their key is one of the
 * two. Returns ERR_INVALID, with no change, for a bad key.
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
	return get_rpc_meter(&c->meter);
}

void
wake_rpc_client(struct rpc_client *c)
{
	wake_rpc_loop(&c->loop);
}

/*
 * Adds a peer without connecting. Returns ERR_INVALID for a bad address.
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
		return set_fault(f, ERR_INVALID,
		    "address \"%s\": write IP:port or [IPv6]:port",
		    address != NULL ? address : "");
	}
	p->client = c;
	p->link.st.fd = -1;
	p->waiting_tail = &p->waiting;
	p->next_xid = randombytes_random();
	pthread_mutex_lock(&c->lock);
	p->next = c->peers;
	c->peers = p;
	pthread_mutex_unlock(&c->lock);
	*out = p;
	return 0;
}

/*
 * Closes the peer's connection; calls made before fail, calls made afterwards
 * use a new connection.
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
	rc = call_rpc(p, proc, args, timeout_ms, finish_wait, &w);
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

static void
fill_defaults(struct rpc_client_config *c)
{
	if (c->clock.read_mono == NULL)
		c->clock = get_real_clock();
	if (c->procs == NULL)
		c->procs = get_ggs_procs();
	if (c->connect_ms <= 0)
		c->connect_ms = CONNECT_MS;
	if (c->open_ms <= 0 || c->open_ms > c->connect_ms)
		c->open_ms = c->connect_ms;
	if (c->silent_ms <= 0)
		c->silent_ms = SILENT_MS;
	if (c->idle_ms <= 0)
		c->idle_ms = IDLE_MS;
	if (c->max_in_flight <= 0)
		c->max_in_flight = MAX_IN_FLIGHT;
	if (c->max_output == 0)
		c->max_output = MAX_OUTPUT;
}

/*
 * Queues a call for the I/O thread, which frees it. Returns ERR_CLOSED, with
 * the call still owned by the caller, when the client is closing.
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

static void
finish_wait(void *arg, const struct rpc_result *result)
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

static void *
run_client(void *arg)
{
	struct rpc_client *c = arg;
	struct epoll_event events[RPC_LOOP_BATCH];
	bool running = true;

	while (running) {
		int64_t now = read_mono(&c->cfg.clock);
		int64_t wait = c->next_deadline - now;
		int n = wait_rpc_loop(&c->loop, events, wait);

		now = read_mono(&c->cfg.clock);
		for (int i = 0; i < n; i++) {
			if (events[i].data.ptr != NULL)
				serve_peer(
				    events[i].data.ptr, events[i].events, now);
		}
		running = take_submitted(c, now);
		if (now >= c->next_deadline)
			scan_peers(c, now);
	}
	for (struct rpc_peer *p = c->peers; p != NULL; p = p->next)
		drop_peer(p, ERR_CLOSED);
	return NULL;
}

/*
 * Starts the submitted calls and flushes their peers. Returns false when the
 * client is closing.
 */
static bool
take_submitted(struct rpc_client *c, int64_t now)
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
		retire_keys(c);
	for (; call != NULL; call = next) {
		next = call->next;
		call->next = NULL;
		if (call->fn == NULL) {
			drop_peer(call->peer, ERR_UNAVAILABLE);
			free(call);
		} else if (stopping) {
			end_call(call, ERR_CLOSED, (struct str){NULL, 0});
		} else {
			start_call(call, now);
		}
	}
	for (struct rpc_peer *p = peers; p != NULL; p = p->next) {
		if (get_rpc_unsent(&p->link.st) > 0 && !p->want_write &&
		    p->state == PEER_OPEN)
			flush_peer(p, now);
	}
	return !stopping;
}

static void
start_call(struct call *call, int64_t now)
{
	struct rpc_peer *p = call->peer;

	call->deadline = now + call->timeout_ns;
	lower_deadline(p->client, call->deadline);
	count_rpc(&p->client->meter, RPC_COUNT_CALLS);
	if (p->state == PEER_OPEN) {
		if (send_call(p, call, now) != 0)
			drop_peer(p, ERR_UNAVAILABLE);
		return;
	}
	*p->waiting_tail = call;
	p->waiting_tail = &call->next;
	if (p->state == PEER_IDLE)
		connect_peer(p, now);
}

/*
 * Starts to connect. A failure ends all waiting calls.
 */
static void
connect_peer(struct rpc_peer *p, int64_t now)
{
	struct rpc_client *c = p->client;
	int fd = socket(p->socket_address.storage.ss_family,
	    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0) {
		drop_peer(p, ERR_UNAVAILABLE);
		return;
	}
	set_rpc_socket_options(fd);
	c->last_conn++;
	open_rpc_link(
	    &p->link, fd, c->last_conn, p->address, &c->hooks, &c->meter, now);
	count_rpc(&c->meter, RPC_COUNT_ACCEPTED);
	count_rpc(&c->meter, RPC_COUNT_OPEN);
	p->state = PEER_CONNECTING;
	p->want_write = false;
	p->hello_deadline = now + c->cfg.connect_ms * NSEC_PER_MSEC;
	p->connect_deadline = now + c->cfg.open_ms * NSEC_PER_MSEC;
	lower_deadline(c, p->connect_deadline);
	if ((c->hooks.on_connect != NULL &&
		!c->hooks.on_connect(c->hooks.arg, p->address)) ||
	    (connect(fd, (struct sockaddr *)&p->socket_address.storage,
		 p->socket_address.len) != 0 &&
		errno != EINPROGRESS) ||
	    watch_rpc_fd(&c->loop, fd, p, false) != 0)
		drop_peer(p, ERR_UNAVAILABLE);
}

/*
 * Closes the connection and ends all calls: with status when they were not
 * handed to the connection whole, else with ERR_TIMEOUT.
 */
static void
drop_peer(struct rpc_peer *p, int status)
{
	uint64_t written = p->link.st.written;
	struct call *list = p->waiting, *call;

	if (p->state != PEER_IDLE) {
		close_rpc_link(&p->link);
		drop_rpc_open(&p->client->meter);
	}
	p->state = PEER_IDLE;
	p->waiting = NULL;
	p->waiting_tail = &p->waiting;
	for (int i = 0; i < CALL_BUCKETS; i++) {
		while ((call = p->sent[i]) != NULL) {
			p->sent[i] = call->next;
			p->sent_count--;
			end_call(call,
			    call->end <= written ? ERR_TIMEOUT : status,
			    (struct str){NULL, 0});
		}
	}
	while ((call = list) != NULL) {
		list = call->next;
		end_call(call, status, (struct str){NULL, 0});
	}
}

static void
end_call(struct call *call, int status, struct str body)
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

static void
serve_peer(struct rpc_peer *p, uint32_t events, int64_t now)
{
	int rc = 0;

	if (p->state == PEER_IDLE)
		return;
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		rc = read_peer(p, now);
	if (rc != 0) {
		count_rpc_refusal(&p->client->meter, rc);
		drop_peer(p, ERR_UNAVAILABLE);
		return;
	}
	flush_peer(p, now);
}

static int
read_peer(struct rpc_peer *p, int64_t now)
{
	struct rpc_stream *st = &p->link.st;
	bool taken = false;
	char *record;
	size_t len;
	int rc = read_rpc_stream(st, now);

	if (rc != 0)
		return rc;
	if (p->state == PEER_CONNECTING) {
		rc = take_hello(p, now);
		if (rc < 0)
			return rc;
		taken = rc > 0;
	}
	while (p->state == PEER_OPEN) {
		rc = take_rpc_record(
		    st, RPC_RECORD_MAX, limit_reply, p, &record, &len);
		if (rc < 0)
			return rc;
		if (rc == 0)
			break;
		taken = true;
		rc = take_reply(p, record, len);
		if (rc != 0)
			return rc;
	}
	compact_rpc_stream(st, taken, now);
	if (st->partial_since != 0)
		lower_deadline(
		    p->client, st->partial_since + PARTIAL_MS * NSEC_PER_MSEC);
	return 0;
}

/*
 * Takes the server's challenge, answers it and sends the waiting calls.
 * Returns 1 when the hello was there.
 */
static int
take_hello(struct rpc_peer *p, int64_t now)
{
	struct rpc_client *c = p->client;
	unsigned char challenge[RPC_CHALLENGE_BYTES], nonce[RPC_NONCE_BYTES];
	unsigned char key[RPC_FLEET_KEY_BYTES];
	char *record;
	size_t len;
	int rc = take_rpc_record(
	    &p->link.st, RPC_SERVER_HELLO_BYTES, NULL, NULL, &record, &len);

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
	rc = encode_client_hello(key, challenge, nonce, &p->link.st.out);
	start_client_session(&p->link.session, key, challenge, nonce);
	sodium_memzero(key, sizeof(key));
	if (rc != 0)
		return rc;
	count_rpc_bytes(&c->meter, true, RPC_CLASS_CONNECT,
	    RPC_MARK_BYTES + RPC_CLIENT_HELLO_BYTES);
	p->link.ready = true;
	p->state = PEER_OPEN;
	p->active_at = now;
	lower_deadline(c, now + c->cfg.idle_ms * NSEC_PER_MSEC);
	rc = send_waiting(p, now);
	return rc != 0 ? rc : 1;
}

static int
limit_reply(void *arg, struct str head, size_t *max)
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
 * Ends the call that the reply belongs to. A reply without a call is late or
 * doubled and is counted.
 */
static int
take_reply(struct rpc_peer *p, char *record, size_t len)
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
		count_rpc(&p->client->meter, RPC_COUNT_UNMATCHED);
		return 0;
	}
	*at = call->next;
	p->sent_count--;
	p->active_at = p->link.st.received_at;
	end_call(call, m.status, m.body);
	return 0;
}

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
	call->end = UINT64_MAX;
	rc = send_rpc_message(&p->link, &out, now);
	if (rc != 0)
		return rc;
	lower_deadline(p->client, get_rpc_delayed_due(&p->link));
	call->end = get_rpc_queued(&p->link.st);
	call->sent_at = now;
	atomic_fetch_sub(&p->unsent_bytes, call->args.len);
	unload_buf(&call->args);
	return 0;
}

static int
send_waiting(struct rpc_peer *p, int64_t now)
{
	struct call *call;
	int rc = 0;

	while (rc == 0 && (call = p->waiting) != NULL) {
		p->waiting = call->next;
		if (p->waiting == NULL)
			p->waiting_tail = &p->waiting;
		rc = send_call(p, call, now);
	}
	return rc;
}

static void
flush_peer(struct rpc_peer *p, int64_t now)
{
	bool want;

	if (p->state != PEER_OPEN)
		return;
	if (flush_rpc_stream(&p->link.st, now) != 0) {
		drop_peer(p, ERR_UNAVAILABLE);
		return;
	}
	want = get_rpc_unsent(&p->link.st) > 0;
	if (want == p->want_write)
		return;
	p->want_write = want;
	if (rewatch_rpc_fd(&p->client->loop, p->link.st.fd, p, want) != 0)
		drop_peer(p, ERR_UNAVAILABLE);
}

/*
 * Returns the place of the call with this xid, or of the NULL that ends its
 * bucket.
 */
static struct call **
find_call(struct rpc_peer *p, uint32_t xid)
{
	struct call **at = &p->sent[xid % CALL_BUCKETS];

	while (*at != NULL && (*at)->xid != xid)
		at = &(*at)->next;
	return at;
}

static void
retire_keys(struct rpc_client *c)
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
		count_rpc(&c->meter, RPC_COUNT_RETIRED);
		drop_peer(p, ERR_UNAVAILABLE);
	}
	sodium_memzero(&keys, sizeof(keys));
}

/*
 * Ends what is overdue and computes the next deadline.
 */
static void
scan_peers(struct rpc_client *c, int64_t now)
{
	struct rpc_peer *p;

	c->next_deadline = INT64_MAX;
	pthread_mutex_lock(&c->lock);
	p = c->peers;
	pthread_mutex_unlock(&c->lock);
	for (; p != NULL; p = p->next)
		scan_peer(p, now);
}

static void
scan_peer(struct rpc_peer *p, int64_t now)
{
	struct rpc_client *c = p->client;
	int64_t idle = c->cfg.idle_ms * NSEC_PER_MSEC, partial;

	if (p->state == PEER_CONNECTING && now >= p->connect_deadline &&
	    !extend_connecting(p, now)) {
		drop_peer(p, ERR_UNAVAILABLE);
		return;
	}
	time_out_waiting(p, now);
	if (p->state == PEER_CONNECTING)
		lower_deadline(c, p->connect_deadline);
	if (p->state != PEER_OPEN)
		return;
	partial = p->link.st.partial_since != 0 ?
		      p->link.st.partial_since + PARTIAL_MS * NSEC_PER_MSEC :
		      INT64_MAX;
	if (now >= partial) {
		count_rpc_refusal(&c->meter, ERR_TIMEOUT);
		drop_peer(p, ERR_UNAVAILABLE);
		return;
	}
	lower_deadline(c, partial);
	if (time_out_sent(p, now) || send_rpc_delayed(&p->link, now) != 0) {
		drop_peer(p, ERR_UNAVAILABLE);
		return;
	}
	lower_deadline(c, get_rpc_delayed_due(&p->link));
	if (p->sent_count > 0)
		p->active_at = now;
	if (now - p->active_at >= idle) {
		drop_peer(p, ERR_UNAVAILABLE);
		return;
	}
	lower_deadline(c, p->active_at + idle);
	flush_peer(p, now);
}

/*
 * Waits on for the hello of a peer whose system has taken the connection.
 */
static bool
extend_connecting(struct rpc_peer *p, int64_t now)
{
	struct sockaddr_storage a;
	socklen_t len = sizeof(a);

	if (now >= p->hello_deadline ||
	    getpeername(p->link.st.fd, (struct sockaddr *)&a, &len) != 0)
		return false;
	p->connect_deadline = p->hello_deadline;
	return true;
}

/*
 * Ends overdue sent calls. Returns true when the connection is silent: nothing
 * arrived since an overdue call was sent and for silent_ms.
 */
static bool
time_out_sent(struct rpc_peer *p, int64_t now)
{
	int64_t silent = p->client->cfg.silent_ms * NSEC_PER_MSEC;
	int64_t received = p->link.st.received_at;
	bool is_silent = false;

	for (int i = 0; i < CALL_BUCKETS && p->sent_count > 0; i++) {
		struct call **at = &p->sent[i], *call;

		while ((call = *at) != NULL) {
			if (call->deadline > now) {
				lower_deadline(p->client, call->deadline);
				at = &call->next;
				continue;
			}
			if (received <= call->sent_at &&
			    now - received >= silent)
				is_silent = true;
			*at = call->next;
			p->sent_count--;
			end_call(call, ERR_TIMEOUT, (struct str){NULL, 0});
		}
	}
	return is_silent;
}

static void
time_out_waiting(struct rpc_peer *p, int64_t now)
{
	struct call **at = &p->waiting, *call;

	while ((call = *at) != NULL) {
		if (call->deadline > now) {
			lower_deadline(p->client, call->deadline);
			at = &call->next;
			continue;
		}
		*at = call->next;
		if (*at == NULL)
			p->waiting_tail = at;
		end_call(call, ERR_UNAVAILABLE, (struct str){NULL, 0});
	}
}

static void
lower_deadline(struct rpc_client *c, int64_t deadline)
{
	if (deadline < c->next_deadline)
		c->next_deadline = deadline;
}
