/*
 * The server. One I/O thread owns all connections, which therefore need no
 * locks. Handlers run on the worker pool and return completed replies through a
 * locked list.
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
#include "rpc_workers.h"

/* Defaults of struct rpc_server_config */
#define DEFAULT_MAX_CONNECTIONS 2048
#define DEFAULT_MAX_UNANSWERED 256
#define DEFAULT_PARTIAL_MS 5000
#define DEFAULT_STALL_MS 10000
#define DEFAULT_IDLE_MS 45000
#define DEFAULT_MAX_OUTPUT (4 * 1024 * 1024)
#define LISTEN_BACKLOG 1024 /* connections; covers a reconnect storm */
#define CHECK_INTERVAL_NS (250 * NSEC_PER_MSEC) /* for timeouts */
#define UNKNOWN_CALL_MAX 1024 /* bytes of a call of an unknown procedure */
#define CONN_BUCKETS 1024

struct conn {
	struct conn *next; /* in the list of all or of closed ones */
	struct conn **prev_next; /* the pointer to this connection */
	struct conn *hash_next; /* in its bucket */
	struct rpc_link link;
	struct rpc_tracker *tracker;
	unsigned char challenge[RPC_CHALLENGE_BYTES];
	int unanswered; /* calls */
	int64_t opened_at; /* monotonic clock, ns */
	bool closed; /* freed after the current batch of events */
	bool want_write; /* epoll reports when the socket is writable */
	struct conn *dirty_next;
	bool dirty; /* in the list of connections to flush */
};

struct rpc_reply {
	struct rpc_reply *next; /* in the list of completed replies */
	struct rpc_server *server;
	uint64_t conn;
	uint32_t xid;
	uint32_t proc;
	int status;
	struct buf body;
};

struct rpc_server {
	struct rpc_server_config cfg;
	struct rpc_fault_hooks hooks;
	char address[RPC_ADDRESS_BYTES];
	struct rpc_meter meter;
	struct rpc_workers *workers;
	struct rpc_loop loop;
	pthread_t thread;
	int listen_fd;
	bool accept_paused; /* out of descriptors until the next check */
	struct conn *conns;
	struct conn *buckets[CONN_BUCKETS];
	struct conn *closed_conns; /* to be freed */
	struct conn *dirty; /* to be flushed */
	int conn_count;
	uint64_t last_conn_id; /* ID of the latest connection */
	int64_t next_check;

	pthread_mutex_t lock; /* protects the members below */
	struct rpc_reply *completed;
	struct rpc_reply **completed_tail;
	struct rpc_keys keys;
	bool keys_changed;
	uint64_t *close_requests; /* IDs, from close_rpc_connection() */
	size_t close_request_count;
	bool stopping;
	atomic_int refs; /* 1, and 1 for each reply that is not freed */
};

static void set_defaults(struct rpc_server_config *c);
static int open_listener(struct rpc_server *s, struct fault *f);
static void unref_server(struct rpc_server *s);
static void *run_server(void *arg);
static void accept_connections(struct rpc_server *s, int64_t now);
static void open_conn(
    struct rpc_server *s, int fd, const char *peer, int64_t now);
static void close_conn(struct rpc_server *s, struct conn *c);
static void free_closed_conns(struct rpc_server *s);
static struct conn *find_conn(struct rpc_server *s, uint64_t conn_id);
static void handle_conn_events(
    struct rpc_server *s, struct conn *c, uint32_t events, int64_t now);
static int read_conn(struct rpc_server *s, struct conn *c, int64_t now);
static int handle_hello(struct rpc_server *s, struct conn *c);
static int get_call_limit(void *arg, struct str head, size_t *max);
static int handle_call(struct rpc_server *s, struct conn *c, char *record,
    size_t len, int64_t now);
static int send_reply(struct rpc_server *s, struct conn *c, uint32_t xid,
    uint32_t proc, int status, struct str body, int64_t now);
static int dispatch_call(struct rpc_server *s, struct conn *c,
    const struct rpc_message *m, int64_t now);
static void mark_dirty(struct rpc_server *s, struct conn *c);
static void flush_dirty(struct rpc_server *s, int64_t now);
static void handle_requests(struct rpc_server *s, int64_t now);
static void send_completed_replies(struct rpc_server *s, int64_t now);
static void close_retired_conns(struct rpc_server *s);
static void check_conns(struct rpc_server *s, int64_t now);
static bool is_conn_timed_out(
    const struct rpc_server *s, const struct conn *c, int64_t now);
static int64_t get_wait_ns(const struct rpc_server *s, int64_t now);

/*
 * Opens the listening socket and starts the threads. Returns ERR_INVALID (bad
 * address or key), ERR_IO (port in use, no descriptors or threads) or
 * ERR_MEMORY.
 */
int
start_rpc_server(const struct rpc_server_config *cfg, struct rpc_server **out,
    struct fault *f)
{
	struct rpc_server *s = calloc(1, sizeof(*s));
	int rc;

	*out = NULL;
	if (s == NULL)
		return set_fault(f, ERR_MEMORY,
		    "out of memory; give the process more memory");
	s->cfg = *cfg;
	set_defaults(&s->cfg);
	if (cfg->hooks != NULL)
		s->hooks = *cfg->hooks;
	pthread_mutex_init(&s->lock, NULL);
	s->completed_tail = &s->completed;
	atomic_init(&s->refs, 1);
	s->listen_fd = -1;
	s->loop = (struct rpc_loop){-1, -1};
	init_rpc_meter(&s->meter, "server", s->cfg.procs);
	if (load_rpc_keys(&s->keys, cfg->key, cfg->next_key) != 0) {
		rc = set_fault(f, ERR_INVALID,
		    "fleet key must have %d to %d bytes", RPC_KEY_MIN_BYTES,
		    RPC_KEY_MAX_BYTES);
		goto fail;
	}
	rc = open_listener(s, f);
	if (rc != 0)
		goto fail;
	s->workers = start_rpc_workers(&s->cfg);
	if (s->workers == NULL ||
	    pthread_create(&s->thread, NULL, run_server, s) != 0) {
		rc = set_fault(
		    f, ERR_IO, "cannot start threads; raise the process limit");
		goto fail;
	}
	*out = s;
	return 0;
fail:
	stop_rpc_workers(s->workers);
	close_rpc_loop(&s->loop);
	if (s->listen_fd >= 0)
		close(s->listen_fd);
	unref_server(s);
	return rc;
}

/*
 * Closes all connections and waits for running handlers and on_close calls.
 * Pending replies stay valid and must still be passed to complete_rpc(); the
 * last one frees the server.
 */
void
stop_rpc_server(struct rpc_server *s)
{
	struct rpc_reply *r;

	if (s == NULL)
		return;
	pthread_mutex_lock(&s->lock);
	s->stopping = true;
	pthread_mutex_unlock(&s->lock);
	wake_rpc_loop(&s->loop);
	pthread_join(s->thread, NULL);
	stop_rpc_workers(s->workers);
	pthread_mutex_lock(&s->lock);
	r = s->completed;
	s->completed = NULL;
	close_rpc_loop(&s->loop);
	pthread_mutex_unlock(&s->lock);
	while (r != NULL) {
		struct rpc_reply *next = r->next;

		discard_rpc_reply(r);
		r = next;
	}
	unref_server(s);
}

const char *
get_rpc_server_address(const struct rpc_server *s)
{
	return s->address;
}

/*
 * Replaces the accepted keys and closes connections whose key is no longer
 * accepted. Returns ERR_INVALID, without any change, for a bad key.
 */
int
set_rpc_server_keys(struct rpc_server *s, struct str key, struct str next_key)
{
	struct rpc_keys keys;
	int rc = load_rpc_keys(&keys, key, next_key);

	if (rc != 0)
		return rc;
	pthread_mutex_lock(&s->lock);
	s->keys = keys;
	s->keys_changed = true;
	pthread_mutex_unlock(&s->lock);
	wake_rpc_loop(&s->loop);
	return 0;
}

struct rpc_stats
get_rpc_server_stats(struct rpc_server *s)
{
	return get_rpc_meter_stats(&s->meter);
}

/*
 * Requests that the I/O thread close a connection. Ignores an unknown ID; the
 * request is lost when memory runs out.
 */
void
close_rpc_connection(struct rpc_server *s, uint64_t conn)
{
	uint64_t *requests;

	pthread_mutex_lock(&s->lock);
	requests = realloc(s->close_requests,
	    (s->close_request_count + 1) * sizeof(*requests));
	if (requests != NULL) {
		s->close_requests = requests;
		s->close_requests[s->close_request_count++] = conn;
	}
	pthread_mutex_unlock(&s->lock);
	wake_rpc_loop(&s->loop);
}

/*
 * Makes the I/O thread read the clock again.
 */
void
wake_rpc_server(struct rpc_server *s)
{
	wake_rpc_loop(&s->loop);
}

/*
 * Passes the reply to the I/O thread. When memory for the body runs out,
 * nothing is sent, since an error status would promise that the call had no
 * effect.
 */
void
complete_rpc(struct rpc_reply *reply, int status, struct str body)
{
	struct rpc_server *s = reply->server;

	reply->status = status;
	if (status == 0 && append_buf_str(&reply->body, body) != 0) {
		discard_rpc_reply(reply);
		return;
	}
	reply->next = NULL;
	pthread_mutex_lock(&s->lock);
	if (s->stopping) {
		pthread_mutex_unlock(&s->lock);
		discard_rpc_reply(reply);
		return;
	}
	if (s->completed == NULL)
		wake_rpc_loop(&s->loop);
	*s->completed_tail = reply;
	s->completed_tail = &reply->next;
	pthread_mutex_unlock(&s->lock);
}

void
discard_rpc_reply(struct rpc_reply *reply)
{
	struct rpc_server *s = reply->server;

	unload_buf(&reply->body);
	free(reply);
	unref_server(s);
}

static void
set_defaults(struct rpc_server_config *c)
{
	if (c->clock.read_mono == NULL)
		c->clock = get_real_clock();
	if (c->procs == NULL)
		c->procs = get_ggs_procs();
	if (c->max_connections <= 0)
		c->max_connections = DEFAULT_MAX_CONNECTIONS;
	if (c->max_unanswered <= 0)
		c->max_unanswered = DEFAULT_MAX_UNANSWERED;
	if (c->partial_ms <= 0)
		c->partial_ms = DEFAULT_PARTIAL_MS;
	if (c->stall_ms <= 0)
		c->stall_ms = DEFAULT_STALL_MS;
	if (c->idle_ms <= 0)
		c->idle_ms = DEFAULT_IDLE_MS;
	if (c->max_output == 0)
		c->max_output = DEFAULT_MAX_OUTPUT;
}

/*
 * Opens the event loop and the listening socket and stores the bound address.
 * After an error, the caller closes what is open.
 */
static int
open_listener(struct rpc_server *s, struct fault *f)
{
	const char *text = s->cfg.address;
	struct rpc_address a;
	int one = 1, fd;

	if (parse_rpc_address(text, &a) != 0)
		return set_fault(f, ERR_INVALID,
		    "address \"%s\": write IP:port or [IPv6]:port",
		    text != NULL ? text : "");
	if (open_rpc_loop(&s->loop) != 0)
		return set_fault(f, ERR_IO,
		    "cannot create an epoll set; raise the file limit");
	fd = socket(
	    a.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	s->listen_fd = fd;
	if (fd < 0)
		return set_fault(
		    f, ERR_IO, "cannot open a socket; raise the file limit");
	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&a.storage, a.len) != 0 ||
	    listen(fd, LISTEN_BACKLOG) != 0)
		return set_fault(f, ERR_IO,
		    "cannot listen on %s: %s; choose another address", text,
		    strerror(errno));
	if (getsockname(fd, (struct sockaddr *)&a.storage, &a.len) != 0 ||
	    add_rpc_fd(&s->loop, fd, s, false) != 0)
		return set_fault(f, ERR_IO,
		    "cannot poll the listening socket of %s; "
		    "raise the file limit",
		    text);
	render_rpc_address(&a, s->address, sizeof(s->address));
	return 0;
}

/*
 * Drops a reference; the last one frees the server.
 */
static void
unref_server(struct rpc_server *s)
{
	if (atomic_fetch_sub(&s->refs, 1) != 1)
		return;
	free(s->close_requests);
	pthread_mutex_destroy(&s->lock);
	free(s);
}

/*
 * The I/O thread: handles events, requests of other threads and timeouts until
 * the server stops, and then closes all connections.
 */
static void *
run_server(void *arg)
{
	struct rpc_server *s = arg;
	struct epoll_event events[RPC_EVENTS_MAX];
	bool stopping = false;

	s->next_check = read_mono(&s->cfg.clock) + CHECK_INTERVAL_NS;
	while (!stopping) {
		int64_t now = read_mono(&s->cfg.clock);
		int n = wait_rpc_loop(&s->loop, events, get_wait_ns(s, now));

		now = read_mono(&s->cfg.clock);
		for (int i = 0; i < n; i++) {
			if (events[i].data.ptr == s)
				accept_connections(s, now);
			else if (events[i].data.ptr != NULL)
				handle_conn_events(s, events[i].data.ptr,
				    events[i].events, now);
		}
		handle_requests(s, now);
		if (now >= s->next_check)
			check_conns(s, now);
		flush_dirty(s, now);
		free_closed_conns(s);
		pthread_mutex_lock(&s->lock);
		stopping = s->stopping;
		pthread_mutex_unlock(&s->lock);
	}
	close(s->listen_fd);
	while (s->conns != NULL)
		close_conn(s, s->conns);
	free_closed_conns(s);
	return NULL;
}

/*
 * Accepts up to RPC_EVENTS_MAX connections. When descriptors or memory run out,
 * stops polling the listening socket until the next check, since it would
 * remain readable.
 */
static void
accept_connections(struct rpc_server *s, int64_t now)
{
	char peer[RPC_ADDRESS_BYTES];
	struct rpc_address a;
	int fd;

	for (int i = 0; i < RPC_EVENTS_MAX; i++) {
		a.len = sizeof(a.storage);
		fd = accept4(s->listen_fd, (struct sockaddr *)&a.storage,
		    &a.len, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0 && (errno == EMFILE || errno == ENFILE ||
				  errno == ENOBUFS || errno == ENOMEM)) {
			s->accept_paused = true;
			(void)epoll_ctl(s->loop.epoll_fd, EPOLL_CTL_DEL,
			    s->listen_fd, NULL);
			increment_rpc_count(&s->meter, RPC_COUNT_REFUSED_FULL);
		}
		if (fd < 0)
			return;
		if (s->conn_count >= s->cfg.max_connections) {
			increment_rpc_count(&s->meter, RPC_COUNT_REFUSED_FULL);
			close(fd);
			continue;
		}
		render_rpc_address(&a, peer, sizeof(peer));
		open_conn(s, fd, peer, now);
	}
}

/*
 * Adds an accepted connection and queues the server's hello. Closes fd when
 * memory runs out.
 */
static void
open_conn(struct rpc_server *s, int fd, const char *peer, int64_t now)
{
	struct conn *c = calloc(1, sizeof(*c));
	struct conn **bucket;

	if (c == NULL || (c->tracker = open_rpc_tracker(
			      s->last_conn_id + 1, peer)) == NULL) {
		free(c);
		close(fd);
		increment_rpc_count(&s->meter, RPC_COUNT_REFUSED_FULL);
		return;
	}
	set_rpc_socket_options(fd);
	s->last_conn_id++;
	open_rpc_link(
	    &c->link, fd, s->last_conn_id, peer, &s->hooks, &s->meter, now);
	c->opened_at = now;
	c->next = s->conns;
	c->prev_next = &s->conns;
	if (c->next != NULL)
		c->next->prev_next = &c->next;
	s->conns = c;
	bucket = &s->buckets[s->last_conn_id % CONN_BUCKETS];
	c->hash_next = *bucket;
	*bucket = c;
	s->conn_count++;
	increment_rpc_count(&s->meter, RPC_COUNT_ACCEPTED);
	increment_rpc_count(&s->meter, RPC_COUNT_OPEN);
	randombytes_buf(c->challenge, sizeof(c->challenge));
	if (add_rpc_fd(&s->loop, fd, c, false) != 0 ||
	    encode_server_hello(c->challenge, &c->link.stream.out) != 0) {
		close_conn(s, c);
		return;
	}
	count_rpc_bytes(&s->meter, true, RPC_CLASS_CONNECT,
	    RPC_MARK_BYTES + RPC_SERVER_HELLO_BYTES);
	mark_dirty(s, c);
}

/*
 * Closes a connection. free_closed_conns() frees it later, because other events
 * of the same batch may still refer to it.
 */
static void
close_conn(struct rpc_server *s, struct conn *c)
{
	struct conn **at = &s->buckets[c->link.conn_id % CONN_BUCKETS];

	if (c->closed)
		return;
	c->closed = true;
	while (*at != c)
		at = &(*at)->hash_next;
	*at = c->hash_next;
	*c->prev_next = c->next;
	if (c->next != NULL)
		c->next->prev_next = c->prev_next;
	s->conn_count--;
	decrement_rpc_open(&s->meter);
	close_rpc_link(&c->link);
	close_rpc_tracker(s->workers, c->tracker);
	c->next = s->closed_conns;
	s->closed_conns = c;
}

static void
free_closed_conns(struct rpc_server *s)
{
	struct conn *c;

	while ((c = s->closed_conns) != NULL) {
		s->closed_conns = c->next;
		free(c);
	}
}

/*
 * Returns NULL when the connection is closed or never existed.
 */
static struct conn *
find_conn(struct rpc_server *s, uint64_t conn_id)
{
	struct conn *c = s->buckets[conn_id % CONN_BUCKETS];

	while (c != NULL && c->link.conn_id != conn_id)
		c = c->hash_next;
	return c;
}

/*
 * Handles epoll events of a connection and closes it on errors.
 */
static void
handle_conn_events(
    struct rpc_server *s, struct conn *c, uint32_t events, int64_t now)
{
	int rc = 0;

	if (c->closed)
		return;
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		rc = read_conn(s, c, now);
	if (rc != 0) {
		count_rpc_refusal(&s->meter, rc);
		close_conn(s, c);
		return;
	}
	mark_dirty(s, c);
}

/*
 * Reads once and handles all complete records. Returns the error number for
 * which the connection must be closed.
 */
static int
read_conn(struct rpc_server *s, struct conn *c, int64_t now)
{
	struct rpc_stream *st = &c->link.stream;
	bool popped = false;
	char *record;
	size_t len;
	int rc = read_rpc_stream(st, now);

	if (rc != 0)
		return rc;
	if (!c->link.handshake_done) {
		rc = handle_hello(s, c);
		if (rc < 0)
			return rc;
		popped = rc > 0;
	}
	while (c->link.handshake_done) {
		rc = pop_rpc_record(
		    st, RPC_RECORD_MAX, get_call_limit, s, &record, &len);
		if (rc < 0)
			return rc;
		if (rc == 0)
			break;
		popped = true;
		rc = handle_call(s, c, record, len, now);
		if (rc != 0)
			return rc;
	}
	compact_rpc_stream(st, popped, now);
	return 0;
}

/*
 * Reads the client's hello, the only record that is read before the peer has
 * proved that it has a fleet key. Returns 1 when the hello has arrived, 0 when
 * more input is needed, or a negative error number.
 */
static int
handle_hello(struct rpc_server *s, struct conn *c)
{
	struct rpc_keys keys;
	char *record;
	size_t len;
	int rc = pop_rpc_record(
	    &c->link.stream, RPC_CLIENT_HELLO_BYTES, NULL, NULL, &record, &len);

	if (rc <= 0)
		return rc;
	count_rpc_bytes(
	    &s->meter, false, RPC_CLASS_CONNECT, RPC_MARK_BYTES + len);
	pthread_mutex_lock(&s->lock);
	keys = s->keys;
	pthread_mutex_unlock(&s->lock);
	rc = decode_client_hello(
	    make_str_n(record, len), &keys, c->challenge, &c->link.session);
	sodium_memzero(&keys, sizeof(keys));
	if (rc != 0)
		return rc;
	c->link.handshake_done = true;
	return 1;
}

/*
 * An rpc_limit_fn: sets *max by the procedure of a call, arg being the server.
 */
static int
get_call_limit(void *arg, struct str head, size_t *max)
{
	struct rpc_server *s = arg;
	uint32_t proc;
	int rc = peek_rpc_call(head, &proc);

	if (rc == ERR_CORRUPT)
		return rc;
	if (rc != 0 || s->cfg.procs[proc].name == NULL)
		*max = UNKNOWN_CALL_MAX;
	else
		*max = RPC_CALL_OVERHEAD - RPC_MARK_BYTES +
		       s->cfg.procs[proc].max_args;
	return 0;
}

/*
 * Handles one call record: answers ping and unknown procedures directly and
 * passes all others on to dispatch_call(). Returns the error number for which
 * the connection must be closed.
 */
static int
handle_call(
    struct rpc_server *s, struct conn *c, char *record, size_t len, int64_t now)
{
	struct rpc_message m;
	int rc = decode_rpc_call(&c->link.session, record, len, &m);
	bool known;

	if (rc != 0)
		return rc;
	known = m.proc < RPC_PROC_MAX && s->cfg.procs[m.proc].name != NULL;
	count_rpc_bytes(&s->meter, false, known ? m.proc : RPC_CLASS_OTHER,
	    RPC_MARK_BYTES + len);
	if (m.proc == 0)
		return send_reply(
		    s, c, m.xid, 0, 0, (struct str){NULL, 0}, now);
	if (!known)
		return send_reply(s, c, m.xid, RPC_CLASS_OTHER, ERR_NOT_FOUND,
		    (struct str){NULL, 0}, now);
	return dispatch_call(s, c, &m, now);
}

/*
 * Appends a reply to the output of c. Returns ERR_TIMEOUT when the unsent
 * output exceeds max_output, since the peer reads too slowly.
 */
static int
send_reply(struct rpc_server *s, struct conn *c, uint32_t xid, uint32_t proc,
    int status, struct str body, int64_t now)
{
	struct rpc_outgoing out = {true, xid, proc, status, body};
	int rc = send_rpc_message(&c->link, &out, now);

	if (rc == 0 &&
	    get_rpc_unsent_bytes(&c->link.stream) > s->cfg.max_output)
		rc = ERR_TIMEOUT;
	if (rc == 0)
		mark_dirty(s, c);
	return rc;
}

/*
 * Passes a call to the workers, or refuses it with ERR_LIMIT when the
 * connection has max_unanswered calls or memory runs out.
 */
static int
dispatch_call(struct rpc_server *s, struct conn *c, const struct rpc_message *m,
    int64_t now)
{
	struct rpc_reply *r;

	if (c->unanswered >= s->cfg.max_unanswered) {
		increment_rpc_count(&s->meter, RPC_COUNT_REFUSED_CALLS);
		return send_reply(s, c, m->xid, m->proc, ERR_LIMIT,
		    (struct str){NULL, 0}, now);
	}
	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return send_reply(s, c, m->xid, m->proc, ERR_LIMIT,
		    (struct str){NULL, 0}, now);
	r->server = s;
	r->conn = c->link.conn_id;
	r->xid = m->xid;
	r->proc = m->proc;
	atomic_fetch_add(&s->refs, 1);
	if (queue_rpc_call(s->workers, c->tracker, m->proc, m->body, r) != 0) {
		discard_rpc_reply(r);
		return send_reply(s, c, m->xid, m->proc, ERR_LIMIT,
		    (struct str){NULL, 0}, now);
	}
	c->unanswered++;
	increment_rpc_count(&s->meter, RPC_COUNT_CALLS);
	return 0;
}

/*
 * Adds a connection to the list that flush_dirty() handles.
 */
static void
mark_dirty(struct rpc_server *s, struct conn *c)
{
	if (c->dirty || c->closed)
		return;
	c->dirty = true;
	c->dirty_next = s->dirty;
	s->dirty = c;
}

/*
 * Writes the output of all dirty connections and watches for writability while
 * some remains.
 */
static void
flush_dirty(struct rpc_server *s, int64_t now)
{
	struct conn *c;
	bool has_output;

	while ((c = s->dirty) != NULL) {
		s->dirty = c->dirty_next;
		c->dirty = false;
		if (c->closed)
			continue;
		if (flush_rpc_stream(&c->link.stream, now) != 0) {
			close_conn(s, c);
			continue;
		}
		has_output = get_rpc_unsent_bytes(&c->link.stream) > 0;
		if (has_output == c->want_write)
			continue;
		c->want_write = has_output;
		if (modify_rpc_fd(&s->loop, c->link.stream.fd, c, has_output) !=
		    0)
			close_conn(s, c);
	}
}

/*
 * Handles what other threads have requested: replies to send, connections to
 * close and changed keys.
 */
static void
handle_requests(struct rpc_server *s, int64_t now)
{
	uint64_t *requests;
	size_t n;
	bool keys_changed;

	send_completed_replies(s, now);
	pthread_mutex_lock(&s->lock);
	requests = s->close_requests;
	n = s->close_request_count;
	s->close_requests = NULL;
	s->close_request_count = 0;
	keys_changed = s->keys_changed;
	s->keys_changed = false;
	pthread_mutex_unlock(&s->lock);
	for (size_t i = 0; i < n; i++) {
		struct conn *c = find_conn(s, requests[i]);

		if (c != NULL)
			close_conn(s, c);
	}
	free(requests);
	if (keys_changed)
		close_retired_conns(s);
}

/*
 * Sends the completed replies and frees them. A reply over the max_reply of its
 * procedure closes the connection.
 */
static void
send_completed_replies(struct rpc_server *s, int64_t now)
{
	struct rpc_reply *r, *next;

	pthread_mutex_lock(&s->lock);
	r = s->completed;
	s->completed = NULL;
	s->completed_tail = &s->completed;
	pthread_mutex_unlock(&s->lock);
	for (; r != NULL; r = next) {
		struct conn *c = find_conn(s, r->conn);
		size_t max = s->cfg.procs[r->proc].max_reply;
		int rc = 0;

		next = r->next;
		if (c != NULL) {
			c->unanswered--;
			if (r->body.len > max)
				rc = ERR_LIMIT;
			else
				rc = send_reply(s, c, r->xid, r->proc,
				    r->status, view_buf(&r->body), now);
		}
		if (rc != 0) {
			count_rpc_refusal(&s->meter, rc);
			close_conn(s, c);
		}
		discard_rpc_reply(r);
	}
}

/*
 * Closes the connections whose fleet key is no longer accepted.
 */
static void
close_retired_conns(struct rpc_server *s)
{
	struct rpc_keys keys;
	struct conn *c, *next;

	pthread_mutex_lock(&s->lock);
	keys = s->keys;
	pthread_mutex_unlock(&s->lock);
	for (c = s->conns; c != NULL; c = next) {
		next = c->next;
		if (!c->link.handshake_done ||
		    has_rpc_key(&keys, c->link.session.fleet_key))
			continue;
		increment_rpc_count(&s->meter, RPC_COUNT_RETIRED);
		close_conn(s, c);
	}
	sodium_memzero(&keys, sizeof(keys));
}

/*
 * Closes connections that have timed out, sends delayed messages that are due
 * and resumes polling the listening socket.
 */
static void
check_conns(struct rpc_server *s, int64_t now)
{
	struct conn *c, *next;

	s->next_check = now + CHECK_INTERVAL_NS;
	for (c = s->conns; c != NULL; c = next) {
		next = c->next;
		if (is_conn_timed_out(s, c, now)) {
			increment_rpc_count(&s->meter, RPC_COUNT_REFUSED_SLOW);
			close_conn(s, c);
			continue;
		}
		if (c->link.delayed == NULL)
			continue;
		if (send_rpc_delayed(&c->link, now) != 0)
			close_conn(s, c);
		else
			mark_dirty(s, c);
		if (!c->closed && get_rpc_delayed_due(&c->link) < s->next_check)
			s->next_check = get_rpc_delayed_due(&c->link);
	}
	if (s->accept_paused &&
	    add_rpc_fd(&s->loop, s->listen_fd, s, false) == 0)
		s->accept_paused = false;
}

/*
 * Checks the limits of handshake, incomplete message, stalled output and idle
 * connection.
 */
static bool
is_conn_timed_out(const struct rpc_server *s, const struct conn *c, int64_t now)
{
	const struct rpc_stream *st = &c->link.stream;
	int64_t partial_ns = s->cfg.partial_ms * NSEC_PER_MSEC;
	int64_t idle_ns = s->cfg.idle_ms * NSEC_PER_MSEC;

	if (!c->link.handshake_done)
		return now - c->opened_at >= partial_ns;
	if (st->partial_since != 0 && now - st->partial_since >= partial_ns)
		return true;
	if (st->stall_since != 0 &&
	    now - st->stall_since >= s->cfg.stall_ms * NSEC_PER_MSEC)
		return true;
	return c->unanswered == 0 && now - st->last_received >= idle_ns;
}

/*
 * Returns the time until the next check; without connections to check, the
 * longest wait.
 */
static int64_t
get_wait_ns(const struct rpc_server *s, int64_t now)
{
	if (s->conns == NULL && !s->accept_paused)
		return RPC_WAIT_MAX_MS * NSEC_PER_MSEC;
	return s->next_check > now ? s->next_check - now : 0;
}
