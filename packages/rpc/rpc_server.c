/*
 * The server. One thread owns all connections; handlers run on the worker
 * pool and pass completed replies back through a locked list, so connections
 * need no locks.
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
#include "rpc_work.h"

#define MAX_CONNECTIONS 2048
#define MAX_UNANSWERED 256
#define PARTIAL_MS 5000
#define STALL_MS 10000
#define IDLE_MS 45000
#define MAX_OUTPUT (4 * 1024 * 1024)
#define LISTEN_BACKLOG 1024 /* a reconnect storm arrives at once */
#define SCAN_NS (250 * NSEC_PER_MSEC) /* between two checks of deadlines */
#define UNKNOWN_PROC_BYTES 1024 /* longest record of an unknown procedure */
#define CONN_BUCKETS 1024

struct conn {
	struct conn *next; /* of all connections */
	struct conn **prev;
	struct conn *hash_next;
	struct rpc_link link;
	struct rpc_tracker *tracker;
	unsigned char challenge[RPC_CHALLENGE_BYTES];
	int unanswered;
	int64_t opened_at;
	bool closed; /* waits to be freed after the batch of events */
	bool want_write;
	struct conn *dirty_next; /* has output to flush */
	bool dirty;
};

struct rpc_reply {
	struct rpc_reply *next;
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
	struct rpc_work *work;
	struct rpc_loop loop;
	pthread_t thread;
	int listen_fd;
	bool listen_paused; /* out of descriptors until the next scan */
	struct conn *conns;
	struct conn *buckets[CONN_BUCKETS];
	struct conn *dead;
	struct conn *dirty;
	int conn_count;
	uint64_t last_conn;
	int64_t next_scan;

	pthread_mutex_t lock; /* of the members below */
	struct rpc_reply *completed;
	struct rpc_reply **completed_tail;
	struct rpc_keys keys;
	bool keys_changed;
	uint64_t *closing; /* connections that close_rpc_connection() names */
	size_t closing_count;
	bool stopping;
	atomic_int refs; /* 1, and 1 for every reply not yet completed */
};

static void fill_defaults(struct rpc_server_config *c);
static int open_listener(struct rpc_server *s, struct fault *f);
static void unref_server(struct rpc_server *s);
static void *run_server(void *arg);
static void accept_connections(struct rpc_server *s, int64_t now);
static void open_conn(
    struct rpc_server *s, int fd, const char *peer, int64_t now);
static void close_conn(struct rpc_server *s, struct conn *c);
static void free_dead(struct rpc_server *s);
static struct conn *find_conn(struct rpc_server *s, uint64_t number);
static void serve_conn(
    struct rpc_server *s, struct conn *c, uint32_t events, int64_t now);
static int read_conn(struct rpc_server *s, struct conn *c, int64_t now);
static int take_hello(struct rpc_server *s, struct conn *c);
static int limit_call(void *arg, struct str head, size_t *max);
static int take_call(struct rpc_server *s, struct conn *c, char *record,
    size_t len, int64_t now);
static int answer_call(struct rpc_server *s, struct conn *c, uint32_t xid,
    uint32_t proc, int status, struct str body, int64_t now);
static int dispatch_call(struct rpc_server *s, struct conn *c,
    const struct rpc_message *m, int64_t now);
static void mark_dirty(struct rpc_server *s, struct conn *c);
static void flush_dirty(struct rpc_server *s, int64_t now);
static void take_requests(struct rpc_server *s, int64_t now);
static void send_completed(struct rpc_server *s, int64_t now);
static void retire_keys(struct rpc_server *s);
static void scan_conns(struct rpc_server *s, int64_t now);
static bool is_conn_overdue(
    const struct rpc_server *s, const struct conn *c, int64_t now);
static int64_t get_wait(const struct rpc_server *s, int64_t now);

/*
 * Binds, listens and starts the threads. Returns ERR_INVALID (bad address or
 * key), ERR_IO (port in use, no descriptors) or ERR_MEMORY.
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
	fill_defaults(&s->cfg);
	if (cfg->hooks != NULL)
		s->hooks = *cfg->hooks;
	pthread_mutex_init(&s->lock, NULL);
	s->completed_tail = &s->completed;
	atomic_init(&s->refs, 1);
	s->listen_fd = -1;
	s->loop = (struct rpc_loop){-1, -1};
	open_rpc_meter(&s->meter, "server", s->cfg.procs);
	if (load_rpc_keys(&s->keys, cfg->key, cfg->next_key) != 0) {
		rc = set_fault(f, ERR_INVALID, "fleet key: give %d to %d bytes",
		    RPC_KEY_MIN_BYTES, RPC_KEY_MAX_BYTES);
		goto fail;
	}
	rc = open_listener(s, f);
	if (rc != 0)
		goto fail;
	s->work = open_rpc_work(&s->cfg);
	if (s->work == NULL ||
	    pthread_create(&s->thread, NULL, run_server, s) != 0) {
		rc = set_fault(
		    f, ERR_IO, "cannot start threads; raise the process limit");
		goto fail;
	}
	*out = s;
	return 0;
fail:
	close_rpc_work(s->work);
	close_rpc_loop(&s->loop);
	if (s->listen_fd >= 0)
		close(s->listen_fd);
	unref_server(s);
	return rc;
}

/*
 * Closes all connections and waits for running handlers and on_close calls.
 * Replies that handlers still hold stay valid and must still be completed.
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
	close_rpc_work(s->work);
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
 * Replaces the accepted keys. Connections that were made with a key no longer
 * accepted are closed. Returns ERR_INVALID, with no change, for a bad key.
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
	return get_rpc_meter(&s->meter);
}

/*
 * Asks the I/O thread to close a connection; an unknown number is ignored.
 */
void
close_rpc_connection(struct rpc_server *s, uint64_t conn)
{
	uint64_t *p;

	pthread_mutex_lock(&s->lock);
	p = realloc(s->closing, (s->closing_count + 1) * sizeof(*p));
	if (p != NULL) {
		s->closing = p;
		s->closing[s->closing_count++] = conn;
	}
	pthread_mutex_unlock(&s->lock);
	wake_rpc_loop(&s->loop);
}

void
wake_rpc_server(struct rpc_server *s)
{
	wake_rpc_loop(&s->loop);
}

/*
 * Passes the reply to the I/O thread. When memory for the body runs out, the
 * reply is lost, since a refusal would promise that the call had no effect.
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
fill_defaults(struct rpc_server_config *c)
{
	if (c->clock.read_mono == NULL)
		c->clock = get_real_clock();
	if (c->procs == NULL)
		c->procs = get_ggs_procs();
	if (c->max_connections <= 0)
		c->max_connections = MAX_CONNECTIONS;
	if (c->max_unanswered <= 0)
		c->max_unanswered = MAX_UNANSWERED;
	if (c->partial_ms <= 0)
		c->partial_ms = PARTIAL_MS;
	if (c->stall_ms <= 0)
		c->stall_ms = STALL_MS;
	if (c->idle_ms <= 0)
		c->idle_ms = IDLE_MS;
	if (c->max_output == 0)
		c->max_output = MAX_OUTPUT;
}

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
		return set_fault(
		    f, ERR_IO, "cannot open epoll; raise the file limit");
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
	    watch_rpc_fd(&s->loop, fd, s, false) != 0)
		return set_fault(f, ERR_IO,
		    "cannot watch the socket of %s; "
		    "raise the file limit",
		    text);
	render_rpc_address(&a, s->address, sizeof(s->address));
	return 0;
}

static void
unref_server(struct rpc_server *s)
{
	if (atomic_fetch_sub(&s->refs, 1) != 1)
		return;
	free(s->closing);
	pthread_mutex_destroy(&s->lock);
	free(s);
}

static void *
run_server(void *arg)
{
	struct rpc_server *s = arg;
	struct epoll_event events[RPC_LOOP_BATCH];
	bool stopping = false;

	s->next_scan = read_mono(&s->cfg.clock) + SCAN_NS;
	while (!stopping) {
		int64_t now = read_mono(&s->cfg.clock);
		int n = wait_rpc_loop(&s->loop, events, get_wait(s, now));

		now = read_mono(&s->cfg.clock);
		for (int i = 0; i < n; i++) {
			if (events[i].data.ptr == s)
				accept_connections(s, now);
			else if (events[i].data.ptr != NULL)
				serve_conn(s, events[i].data.ptr,
				    events[i].events, now);
		}
		take_requests(s, now);
		if (now >= s->next_scan)
			scan_conns(s, now);
		flush_dirty(s, now);
		free_dead(s);
		pthread_mutex_lock(&s->lock);
		stopping = s->stopping;
		pthread_mutex_unlock(&s->lock);
	}
	close(s->listen_fd);
	while (s->conns != NULL)
		close_conn(s, s->conns);
	free_dead(s);
	return NULL;
}

/*
 * Accepts what waits. When descriptors run out, the listener rests until the
 * next scan, since it would stay readable.
 */
static void
accept_connections(struct rpc_server *s, int64_t now)
{
	char peer[RPC_ADDRESS_BYTES];
	struct rpc_address a;
	int fd;

	for (int i = 0; i < RPC_LOOP_BATCH; i++) {
		a.len = sizeof(a.storage);
		fd = accept4(s->listen_fd, (struct sockaddr *)&a.storage,
		    &a.len, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0 && (errno == EMFILE || errno == ENFILE ||
				  errno == ENOBUFS || errno == ENOMEM)) {
			s->listen_paused = true;
			(void)epoll_ctl(s->loop.epoll_fd, EPOLL_CTL_DEL,
			    s->listen_fd, NULL);
			count_rpc(&s->meter, RPC_COUNT_FULL);
		}
		if (fd < 0)
			return;
		if (s->conn_count >= s->cfg.max_connections) {
			count_rpc(&s->meter, RPC_COUNT_FULL);
			close(fd);
			continue;
		}
		render_rpc_address(&a, peer, sizeof(peer));
		open_conn(s, fd, peer, now);
	}
}

static void
open_conn(struct rpc_server *s, int fd, const char *peer, int64_t now)
{
	struct conn *c = calloc(1, sizeof(*c));
	struct conn **bucket;

	if (c == NULL ||
	    (c->tracker = open_rpc_tracker(s->last_conn + 1, peer)) == NULL) {
		free(c);
		close(fd);
		count_rpc(&s->meter, RPC_COUNT_FULL);
		return;
	}
	set_rpc_socket_options(fd);
	s->last_conn++;
	open_rpc_link(
	    &c->link, fd, s->last_conn, peer, &s->hooks, &s->meter, now);
	c->opened_at = now;
	c->next = s->conns;
	c->prev = &s->conns;
	if (c->next != NULL)
		c->next->prev = &c->next;
	s->conns = c;
	bucket = &s->buckets[s->last_conn % CONN_BUCKETS];
	c->hash_next = *bucket;
	*bucket = c;
	s->conn_count++;
	count_rpc(&s->meter, RPC_COUNT_ACCEPTED);
	count_rpc(&s->meter, RPC_COUNT_OPEN);
	randombytes_buf(c->challenge, sizeof(c->challenge));
	if (watch_rpc_fd(&s->loop, fd, c, false) != 0 ||
	    encode_server_hello(c->challenge, &c->link.st.out) != 0) {
		close_conn(s, c);
		return;
	}
	count_rpc_bytes(&s->meter, true, RPC_CLASS_CONNECT,
	    RPC_MARK_BYTES + RPC_SERVER_HELLO_BYTES);
	mark_dirty(s, c);
}

/*
 * Closes a connection; its memory stays until free_dead(), because later
 * events of the same batch may name it.
 */
static void
close_conn(struct rpc_server *s, struct conn *c)
{
	struct conn **at = &s->buckets[c->link.number % CONN_BUCKETS];

	if (c->closed)
		return;
	c->closed = true;
	while (*at != c)
		at = &(*at)->hash_next;
	*at = c->hash_next;
	*c->prev = c->next;
	if (c->next != NULL)
		c->next->prev = c->prev;
	s->conn_count--;
	drop_rpc_open(&s->meter);
	close_rpc_link(&c->link);
	close_rpc_tracker(s->work, c->tracker);
	c->next = s->dead;
	s->dead = c;
}

static void
free_dead(struct rpc_server *s)
{
	struct conn *c;

	while ((c = s->dead) != NULL) {
		s->dead = c->next;
		free(c);
	}
}

static struct conn *
find_conn(struct rpc_server *s, uint64_t number)
{
	struct conn *c = s->buckets[number % CONN_BUCKETS];

	while (c != NULL && c->link.number != number)
		c = c->hash_next;
	return c;
}

static void
serve_conn(struct rpc_server *s, struct conn *c, uint32_t events, int64_t now)
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
 * Reads once and handles all whole records. Returns the error number that the
 * connection must be closed for.
 */
static int
read_conn(struct rpc_server *s, struct conn *c, int64_t now)
{
	struct rpc_stream *st = &c->link.st;
	bool taken = false;
	char *record;
	size_t len;
	int rc = read_rpc_stream(st, now);

	if (rc != 0)
		return rc;
	if (!c->link.ready) {
		rc = take_hello(s, c);
		if (rc < 0)
			return rc;
		taken = rc > 0;
	}
	while (c->link.ready) {
		rc = take_rpc_record(
		    st, RPC_RECORD_MAX, limit_call, s, &record, &len);
		if (rc < 0)
			return rc;
		if (rc == 0)
			break;
		taken = true;
		rc = take_call(s, c, record, len, now);
		if (rc != 0)
			return rc;
	}
	compact_rpc_stream(st, taken, now);
	return 0;
}

/*
 * Takes the client's hello, the only record that is read before the peer has
 * proved that it holds a fleet key. Returns 1 when it was there.
 */
static int
take_hello(struct rpc_server *s, struct conn *c)
{
	struct rpc_keys keys;
	char *record;
	size_t len;
	int rc = take_rpc_record(
	    &c->link.st, RPC_CLIENT_HELLO_BYTES, NULL, NULL, &record, &len);

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
	c->link.ready = true;
	return 1;
}

static int
limit_call(void *arg, struct str head, size_t *max)
{
	struct rpc_server *s = arg;
	uint32_t proc;
	int rc = peek_rpc_call(head, &proc);

	if (rc == ERR_CORRUPT)
		return rc;
	if (rc != 0 || s->cfg.procs[proc].name == NULL)
		*max = UNKNOWN_PROC_BYTES;
	else
		*max = RPC_CALL_OVERHEAD - RPC_MARK_BYTES +
		       s->cfg.procs[proc].max_args;
	return 0;
}

/*
 * Handles one call record: ping, unknown procedures and calls over the limit
 * are answered at once, all others go to the workers.
 */
static int
take_call(
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
		return answer_call(
		    s, c, m.xid, 0, 0, (struct str){NULL, 0}, now);
	if (!known)
		return answer_call(s, c, m.xid, RPC_CLASS_OTHER, ERR_NOT_FOUND,
		    (struct str){NULL, 0}, now);
	return dispatch_call(s, c, &m, now);
}

static int
answer_call(struct rpc_server *s, struct conn *c, uint32_t xid, uint32_t proc,
    int status, struct str body, int64_t now)
{
	struct rpc_outgoing out = {true, xid, proc, status, body};
	int rc = send_rpc_message(&c->link, &out, now);

	if (rc == 0 && get_rpc_unsent(&c->link.st) > s->cfg.max_output)
		rc = ERR_TIMEOUT;
	if (rc == 0)
		mark_dirty(s, c);
	return rc;
}

static int
dispatch_call(struct rpc_server *s, struct conn *c, const struct rpc_message *m,
    int64_t now)
{
	struct rpc_reply *r;

	if (c->unanswered >= s->cfg.max_unanswered) {
		count_rpc(&s->meter, RPC_COUNT_REFUSED_CALLS);
		return answer_call(s, c, m->xid, m->proc, ERR_LIMIT,
		    (struct str){NULL, 0}, now);
	}
	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return answer_call(s, c, m->xid, m->proc, ERR_LIMIT,
		    (struct str){NULL, 0}, now);
	r->server = s;
	r->conn = c->link.number;
	r->xid = m->xid;
	r->proc = m->proc;
	atomic_fetch_add(&s->refs, 1);
	if (push_rpc_work(s->work, c->tracker, m->proc, m->body, r) != 0) {
		discard_rpc_reply(r);
		return answer_call(s, c, m->xid, m->proc, ERR_LIMIT,
		    (struct str){NULL, 0}, now);
	}
	c->unanswered++;
	count_rpc(&s->meter, RPC_COUNT_CALLS);
	return 0;
}

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
 * Writes the output of all marked connections and watches for writability
 * where the socket is full.
 */
static void
flush_dirty(struct rpc_server *s, int64_t now)
{
	struct conn *c;
	bool want;

	while ((c = s->dirty) != NULL) {
		s->dirty = c->dirty_next;
		c->dirty = false;
		if (c->closed)
			continue;
		if (flush_rpc_stream(&c->link.st, now) != 0) {
			close_conn(s, c);
			continue;
		}
		want = get_rpc_unsent(&c->link.st) > 0;
		if (want == c->want_write)
			continue;
		c->want_write = want;
		if (rewatch_rpc_fd(&s->loop, c->link.st.fd, c, want) != 0)
			close_conn(s, c);
	}
}

/*
 * Does what other threads asked for.
 */
static void
take_requests(struct rpc_server *s, int64_t now)
{
	uint64_t *closing;
	size_t n;
	bool keys_changed;

	send_completed(s, now);
	pthread_mutex_lock(&s->lock);
	closing = s->closing;
	n = s->closing_count;
	s->closing = NULL;
	s->closing_count = 0;
	keys_changed = s->keys_changed;
	s->keys_changed = false;
	pthread_mutex_unlock(&s->lock);
	for (size_t i = 0; i < n; i++) {
		struct conn *c = find_conn(s, closing[i]);

		if (c != NULL)
			close_conn(s, c);
	}
	free(closing);
	if (keys_changed)
		retire_keys(s);
}

static void
send_completed(struct rpc_server *s, int64_t now)
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
				rc = answer_call(s, c, r->xid, r->proc,
				    r->status, view_buf(&r->body), now);
		}
		if (rc != 0) {
			count_rpc_refusal(&s->meter, rc);
			close_conn(s, c);
		}
		discard_rpc_reply(r);
	}
}

static void
retire_keys(struct rpc_server *s)
{
	struct rpc_keys keys;
	struct conn *c, *next;

	pthread_mutex_lock(&s->lock);
	keys = s->keys;
	pthread_mutex_unlock(&s->lock);
	for (c = s->conns; c != NULL; c = next) {
		next = c->next;
		if (!c->link.ready ||
		    has_rpc_key(&keys, c->link.session.fleet_key))
			continue;
		count_rpc(&s->meter, RPC_COUNT_RETIRED);
		close_conn(s, c);
	}
	sodium_memzero(&keys, sizeof(keys));
}

/*
 * Closes overdue connections, sends delayed messages and lets a paused
 * listener accept again.
 */
static void
scan_conns(struct rpc_server *s, int64_t now)
{
	struct conn *c, *next;

	s->next_scan = now + SCAN_NS;
	for (c = s->conns; c != NULL; c = next) {
		next = c->next;
		if (is_conn_overdue(s, c, now)) {
			count_rpc(&s->meter, RPC_COUNT_SLOW);
			close_conn(s, c);
			continue;
		}
		if (c->link.delayed == NULL)
			continue;
		if (send_rpc_delayed(&c->link, now) != 0)
			close_conn(s, c);
		else
			mark_dirty(s, c);
		if (!c->closed && get_rpc_delayed_due(&c->link) < s->next_scan)
			s->next_scan = get_rpc_delayed_due(&c->link);
	}
	if (s->listen_paused &&
	    watch_rpc_fd(&s->loop, s->listen_fd, s, false) == 0)
		s->listen_paused = false;
}

static bool
is_conn_overdue(const struct rpc_server *s, const struct conn *c, int64_t now)
{
	const struct rpc_stream *st = &c->link.st;
	int64_t partial = s->cfg.partial_ms * NSEC_PER_MSEC;
	int64_t idle = s->cfg.idle_ms * NSEC_PER_MSEC;

	if (!c->link.ready)
		return now - c->opened_at >= partial;
	if (st->partial_since != 0 && now - st->partial_since >= partial)
		return true;
	if (st->stall_since != 0 &&
	    now - st->stall_since >= s->cfg.stall_ms * NSEC_PER_MSEC)
		return true;
	return c->unanswered == 0 && now - st->received_at >= idle;
}

static int64_t
get_wait(const struct rpc_server *s, int64_t now)
{
	if (s->conns == NULL && !s->listen_paused)
		return RPC_TICK_MS * NSEC_PER_MSEC;
	return s->next_scan > now ? s->next_scan - now : 0;
}
