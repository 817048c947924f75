/*
 * Transport of the operators' API: libmicrohttpd with one thread per
 * connection. Operators are few and a change waits for the quorum, so blocking
 * threads cost less than suspended connections.
 */
#include <netdb.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <microhttpd.h>

#include "api.h"

#define HTTP_CONNECTIONS_MAX 64
/*
 * From so many connections on, each further one ends the one that needs its
 * own least, so that clients that hold connections do not shut operators out.
 */
#define HTTP_CONNECTIONS_FULL 56
#define HTTP_HEADER_MAX_BYTES (32 * 1024)
#define HTTP_IDLE_TIMEOUT_S 15
#define HTTP_REQUEST_TIMEOUT_NS (30 * NSEC_PER_SEC) /* headers to last byte */
#define PEM_MAX_BYTES (64 * 1024)
/* A stop waits this long for the last answers to be sent. */
#define HTTP_STOP_WAIT_NS (1 * NSEC_PER_SEC)
#define HTTP_STOP_POLL_US 2000

/* A request whose body is being received. */
struct http_request {
	struct http_request *next, **prev; /* in control.http_requests */
	struct http_peer *peer;
	struct buf body; /* control.http_lock, until serving */
	int64_t started_ns; /* receipt of the headers */
	bool too_large; /* the body was discarded */
	bool yielded; /* likewise, since memory was short */
	bool serving; /* complete; counted in control.http_serving */
};

/* A connection of the operators' listener; control.http_lock */
struct http_peer {
	struct http_peer *next, **prev; /* in control.http_peers */
	const struct MHD_Daemon *listener;
	int fd;
	int64_t started_ns; /* of the connection */
	int64_t progress_ns; /* its client last sent bytes of a request */
	int requests; /* whose headers have arrived */
	bool serving; /* a request is being served */
	bool ended; /* was shut down for another connection */
};

/* PEM contents, needed only until libmicrohttpd has started. */
struct tls_files {
	struct buf cert;
	struct buf key;
};

static int parse_listen_address(
    const char *text, struct sockaddr_storage *out, struct fault *f);
static bool is_loopback(const struct sockaddr *sa);
static int load_tls(
    const struct control *c, struct tls_files *t, struct fault *f);
static int load_pem(
    const char *path, bool secret, struct buf *out, struct fault *f);
static int start_metrics(struct control *c, struct fault *f);
static struct MHD_Daemon *start_daemon(struct control *c,
    const struct sockaddr *sa, struct tls_files *t,
    MHD_AccessHandlerCallback handler);
static enum MHD_Result handle_metrics(void *arg, struct MHD_Connection *conn,
    const char *url, const char *method, const char *version, const char *data,
    size_t *size, void **state);
static enum MHD_Result handle_http(void *arg, struct MHD_Connection *conn,
    const char *url, const char *method, const char *version, const char *data,
    size_t *size, void **state);
static enum MHD_Result receive_body(
    struct control *c, struct http_request *r, const char *data, size_t *size);
static bool make_body_room(
    struct control *c, struct http_request *r, size_t more, int64_t now);
static void drop_body(struct control *c, struct http_request *r);
static struct memory_holder describe_request(const struct http_request *r);
static void watch_connection(void *arg, struct MHD_Connection *conn,
    void **state, enum MHD_ConnectionNotificationCode code);
static void end_least_needed_peer(
    struct control *c, const struct MHD_Daemon *listener, int64_t now);
static struct memory_holder describe_peer(const struct http_peer *p);
static struct http_peer *get_peer(struct MHD_Connection *conn);
static enum MHD_Result serve_request(struct control *c,
    struct MHD_Connection *conn, const char *url, const char *method,
    struct http_request *r);
static const char *find_author(struct control *c, struct MHD_Connection *conn);
static const char *get_argument(void *arg, const char *name);
static bool serve_custom_api(
    struct control *c, const struct api_request *q, struct api_answer *a);
static const char *get_header(void *arg, const char *name);
static enum MHD_Result send_answer(
    struct MHD_Connection *conn, struct api_answer *a);
static void finish_request(void *arg, struct MHD_Connection *conn, void **state,
    enum MHD_RequestTerminationCode code);

/*
 * Starts the listeners of the API and of the metrics. Without a token file any
 * client is an operator, so only loopback addresses are accepted then, unless
 * allow_unauthenticated is set.
 */
int
start_http(struct control *c, struct fault *f)
{
	struct sockaddr_storage sa = {0};
	struct tls_files t = {0};
	int rc = parse_listen_address(c->cfg.http_listen, &sa, f);

	/* Half of the memory is left to the table, the log and the nodes. */
	c->http_budget = plan_memory(c->cfg.memory / 2, c->cfg.descriptors);
	if (rc == 0 && c->tokens == NULL && !c->cfg.allow_unauthenticated &&
	    !is_loopback((const struct sockaddr *)&sa))
		rc = set_fault(f, ERR_DENIED,
		    "%s is not a loopback address; give a token file, or "
		    "listen on 127.0.0.1",
		    c->cfg.http_listen);
	if (rc == 0)
		rc = load_tls(c, &t, f);
	if (rc == 0) {
		c->http = start_daemon(
		    c, (const struct sockaddr *)&sa, &t, handle_http);
		if (c->http == NULL)
			rc = set_fault(f, ERR_IO,
			    "cannot listen on %s; check that the address is "
			    "free and the certificate matches its key",
			    c->cfg.http_listen);
	}
	if (t.key.data != NULL)
		memset(t.key.data, 0, t.key.len);
	unload_buf(&t.cert);
	unload_buf(&t.key);
	return rc == 0 && c->cfg.metrics_listen != NULL ? start_metrics(c, f) :
							  rc;
}

/*
 * libmicrohttpd closes connections whose answer is queued but not sent yet, so
 * these are waited for. The handlers return soon, since c->stopping is set.
 */
void
stop_http(struct control *c)
{
	int64_t until = read_mono(&c->cfg.clock) + HTTP_STOP_WAIT_NS;

	while (atomic_load(&c->http_serving) > 0 &&
	       read_mono(&c->cfg.clock) < until)
		usleep(HTTP_STOP_POLL_US);
	if (c->http != NULL)
		MHD_stop_daemon(c->http);
	if (c->metrics_http != NULL)
		MHD_stop_daemon(c->metrics_http);
	c->http = c->metrics_http = NULL;
}

/*
 * Starts the listener that serves only metrics, without authentication or TLS.
 */
static int
start_metrics(struct control *c, struct fault *f)
{
	struct sockaddr_storage sa = {0};
	struct tls_files none = {0};
	int rc = parse_listen_address(c->cfg.metrics_listen, &sa, f);

	if (rc != 0)
		return rc;
	c->metrics_http = start_daemon(
	    c, (const struct sockaddr *)&sa, &none, handle_metrics);
	if (c->metrics_http != NULL)
		return 0;
	return set_fault(f, ERR_IO,
	    "cannot listen on %s for metrics; check that the address is free",
	    c->cfg.metrics_listen);
}

/*
 * Parses "IP:port" or "[IPv6]:port"; no name is resolved.
 */
static int
parse_listen_address(
    const char *text, struct sockaddr_storage *out, struct fault *f)
{
	const char *colon = strrchr(text, ':');
	char host[RPC_ADDRESS_BYTES];
	struct str name = make_str_n(
	    text, colon != NULL ? (size_t)(colon - text) : strlen(text));
	struct addrinfo hints = {
	    .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE,
	    .ai_socktype = SOCK_STREAM};
	struct addrinfo *found = NULL;

	if (name.len > 2 && name.data[0] == '[' &&
	    name.data[name.len - 1] == ']')
		name = make_str_n(name.data + 1, name.len - 2);
	if (colon == NULL || copy_str(host, sizeof(host), name) != 0 ||
	    getaddrinfo(host, colon + 1, &hints, &found) != 0)
		return set_fault(f, ERR_INVALID,
		    "'%s' is not an address; write IP:port or [IPv6]:port",
		    text);
	memcpy(out, found->ai_addr, found->ai_addrlen);
	freeaddrinfo(found);
	return 0;
}

static bool
is_loopback(const struct sockaddr *sa)
{
	if (sa->sa_family == AF_INET) {
		const struct sockaddr_in *v4 = (const struct sockaddr_in *)sa;

		return (ntohl(v4->sin_addr.s_addr) >> 24) == 127;
	}
	return sa->sa_family == AF_INET6 &&
	       IN6_IS_ADDR_LOOPBACK(
		   &((const struct sockaddr_in6 *)sa)->sin6_addr);
}

static int
load_tls(const struct control *c, struct tls_files *t, struct fault *f)
{
	int rc;

	if (c->cfg.tls_cert_file == NULL)
		return 0;
	if (MHD_is_feature_supported(MHD_FEATURE_TLS) != MHD_YES)
		return set_fault(f, ERR_INVALID,
		    "this libmicrohttpd has no TLS; install one with GnuTLS");
	rc = load_pem(c->cfg.tls_cert_file, false, &t->cert, f);
	if (rc == 0)
		rc = load_pem(c->cfg.tls_key_file, true, &t->key, f);
	return rc;
}

/*
 * Appends the content of a file of at most PEM_MAX_BYTES. A secret file must
 * not be accessible to group and others (ERR_DENIED).
 */
static int
load_pem(const char *path, bool secret, struct buf *out, struct fault *f)
{
	char chunk[4096];
	struct stat st;
	FILE *in = fopen(path, "re");
	size_t n;
	int rc = 0;

	if (in == NULL || fstat(fileno(in), &st) != 0)
		rc = set_fault(
		    f, ERR_IO, "cannot read %s; check its path and mode", path);
	else if (secret && (st.st_mode & 077) != 0)
		rc = set_fault(f, ERR_DENIED,
		    "the key file %s has mode %03o; run chmod 600 on it", path,
		    (unsigned int)st.st_mode & 0777);
	while (rc == 0 && (n = fread(chunk, 1, sizeof(chunk), in)) > 0) {
		rc = out->len + n <= PEM_MAX_BYTES ? append_buf(out, chunk, n) :
						     ERR_LIMIT;
		if (rc != 0)
			(void)set_fault(
			    f, rc, "%s exceeds 64 KiB; give a PEM file", path);
	}
	if (in != NULL)
		fclose(in);
	return rc;
}

/*
 * Starts a listener, with TLS if t has a certificate. NULL: it cannot listen,
 * or the certificate does not match its key.
 */
static struct MHD_Daemon *
start_daemon(struct control *c, const struct sockaddr *sa, struct tls_files *t,
    MHD_AccessHandlerCallback handler)
{
	unsigned int flags = MHD_USE_INTERNAL_POLLING_THREAD |
			     MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL;
	struct MHD_OptionItem tls[] = {
	    {MHD_OPTION_HTTPS_MEM_CERT, 0, t->cert.data},
	    {MHD_OPTION_HTTPS_MEM_KEY, 0, t->key.data},
	    {MHD_OPTION_END, 0, NULL},
	};

	if (sa->sa_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	if (t->cert.len > 0)
		flags |= MHD_USE_TLS;
	return MHD_start_daemon(flags, 0, NULL, NULL, handler, c,
	    MHD_OPTION_SOCK_ADDR, sa, MHD_OPTION_CONNECTION_LIMIT,
	    (unsigned int)HTTP_CONNECTIONS_MAX,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)HTTP_HEADER_MAX_BYTES,
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)HTTP_IDLE_TIMEOUT_S,
	    MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_NOTIFY_COMPLETED,
	    finish_request, c, MHD_OPTION_NOTIFY_CONNECTION, watch_connection,
	    c, MHD_OPTION_ARRAY, t->cert.len > 0 ? tls : tls + 2,
	    MHD_OPTION_END);
}

/*
 * Called by libmicrohttpd when the headers, each part of the body and the end
 * of a request have arrived; *state is the http_request.
 */
static enum MHD_Result
handle_http(void *arg, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **state)
{
	struct control *c = arg;
	struct http_request *r = *state;

	(void)version;
	if (r == NULL) {
		r = calloc(1, sizeof(*r));
		if (r == NULL)
			return MHD_NO;
		r->started_ns = read_mono(&c->cfg.clock);
		r->peer = get_peer(conn);
		pthread_mutex_lock(&c->http_lock);
		r->next = c->http_requests;
		r->prev = &c->http_requests;
		if (r->next != NULL)
			r->next->prev = &r->next;
		c->http_requests = r;
		if (r->peer != NULL) {
			r->peer->requests++;
			r->peer->progress_ns = r->started_ns;
		}
		pthread_mutex_unlock(&c->http_lock);
		*state = r;
		return MHD_YES;
	}
	if (*size > 0)
		return receive_body(c, r, data, size);
	pthread_mutex_lock(&c->http_lock);
	r->serving = true;
	if (r->peer != NULL)
		r->peer->serving = true;
	pthread_mutex_unlock(&c->http_lock);
	atomic_fetch_add(&c->http_serving, 1);
	return serve_request(c, conn, url, method, r);
}

static enum MHD_Result
handle_metrics(void *arg, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **state)
{
	struct api_request q = {.method = method,
	    .path = url,
	    .author = "metrics",
	    .get_argument = get_argument,
	    .arg = conn};
	struct api_answer a = {0};

	(void)version;
	(void)data;
	(void)state;
	if (*size > 0) {
		*size = 0; /* discards the body */
		return MHD_YES;
	}
	if (strcmp(url, "/metrics") != 0 || strcmp(method, "GET") != 0)
		answer_error(
		    &a, 404, "not-found", "only /metrics is here", false);
	else
		serve_api(arg, &q, &a);
	return send_answer(conn, &a);
}

/*
 * Appends a part of the body. A body that is too large is still read to its
 * end, so that the client receives the 413, but discarded. The connection is
 * closed when the body is incomplete HTTP_REQUEST_TIMEOUT_NS after the headers.
 */
static enum MHD_Result
receive_body(
    struct control *c, struct http_request *r, const char *data, size_t *size)
{
	int64_t now = read_mono(&c->cfg.clock);
	size_t before;
	int rc = 0;

	if (now - r->started_ns > HTTP_REQUEST_TIMEOUT_NS)
		return MHD_NO;
	pthread_mutex_lock(&c->http_lock);
	if (r->peer != NULL)
		r->peer->progress_ns = now;
	if (r->body.len + *size > API_BODY_MAX) {
		r->too_large = true;
		drop_body(c, r);
	}
	if (!r->too_large && !r->yielded && !make_body_room(c, r, *size, now)) {
		r->yielded = true;
		drop_body(c, r);
	}
	if (!r->too_large && !r->yielded) {
		before = r->body.cap;
		rc = reserve_buf_within(&r->body, *size, API_BODY_MAX);
		c->http_bytes += r->body.cap - before;
		if (rc == 0)
			rc = append_buf(&r->body, data, *size);
	}
	pthread_mutex_unlock(&c->http_lock);
	*size = 0;
	return rc == 0 ? MHD_YES : MHD_NO;
}

/*
 * Drops the bodies of requests that give way before r, until r may grow by more
 * bytes. Returns false when r itself has to give way.
 */
static bool
make_body_room(
    struct control *c, struct http_request *r, size_t more, int64_t now)
{
	struct memory_holder own = describe_request(r);

	while (
	    c->http_budget.limit != 0 &&
	    c->http_bytes + more > get_memory_level(&c->http_budget,
				       own.bytes + more, MEMORY_RANK_UNKNOWN)) {
		struct memory_holder first = own, h;
		struct http_request *v = r;

		for (struct http_request *o = c->http_requests; o != NULL;
		     o = o->next) {
			h = describe_request(o);
			if (o == r || h.waits || h.bytes == 0 ||
			    !yields_memory_before(&h, &first, now))
				continue;
			v = o;
			first = h;
		}
		if (v == r)
			return false;
		v->yielded = true;
		drop_body(c, v);
	}
	return true;
}

static void
drop_body(struct control *c, struct http_request *r)
{
	c->http_bytes -= r->body.cap;
	unload_buf(&r->body);
}

static struct memory_holder
describe_request(const struct http_request *r)
{
	return (struct memory_holder){
	    .bytes = r->body.cap,
	    .progress_at =
		r->peer != NULL ? r->peer->progress_ns : r->started_ns,
	    .since = r->started_ns,
	    .rank = MEMORY_RANK_UNKNOWN,
	    .waits = r->serving,
	};
}

/*
 * Called by libmicrohttpd when a connection begins and before it is closed.
 */
static void
watch_connection(void *arg, struct MHD_Connection *conn, void **state,
    enum MHD_ConnectionNotificationCode code)
{
	const union MHD_ConnectionInfo *info;
	struct control *c = arg;
	struct http_peer *p = *state;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		p = calloc(1, sizeof(*p));
		info = MHD_get_connection_info(
		    conn, MHD_CONNECTION_INFO_CONNECTION_FD);
		*state = p;
		if (p == NULL || info == NULL)
			return;
		p->fd = info->connect_fd;
		info =
		    MHD_get_connection_info(conn, MHD_CONNECTION_INFO_DAEMON);
		p->listener = info != NULL ? info->daemon : NULL;
		p->started_ns = p->progress_ns = read_mono(&c->cfg.clock);
		pthread_mutex_lock(&c->http_lock);
		end_least_needed_peer(c, p->listener, p->started_ns);
		p->next = c->http_peers;
		p->prev = &c->http_peers;
		if (p->next != NULL)
			p->next->prev = &p->next;
		c->http_peers = p;
		pthread_mutex_unlock(&c->http_lock);
		return;
	}
	if (p == NULL)
		return;
	pthread_mutex_lock(&c->http_lock);
	if (p->prev != NULL) {
		*p->prev = p->next;
		if (p->next != NULL)
			p->next->prev = p->prev;
	}
	pthread_mutex_unlock(&c->http_lock);
	free(p);
	*state = NULL;
}

/*
 * At HTTP_CONNECTIONS_FULL, shuts down one connection of the listener. Its thread then closes
 * it.
 */
static void
end_least_needed_peer(
    struct control *c, const struct MHD_Daemon *listener, int64_t now)
{
	struct http_peer *v = NULL;
	struct memory_holder first, h;
	int open = 0;

	for (struct http_peer *p = c->http_peers; p != NULL; p = p->next) {
		if (p->ended || p->listener != listener)
			continue;
		open++;
		h = describe_peer(p);
		if (h.waits ||
		    (v != NULL && !yields_descriptor_before(&h, &first, now)))
			continue;
		v = p;
		first = h;
	}
	if (open < HTTP_CONNECTIONS_FULL || v == NULL)
		return;
	v->ended = true;
	(void)shutdown(v->fd, SHUT_RDWR);
	count_metric(c->metrics.http_ended, 1);
}

static struct memory_holder
describe_peer(const struct http_peer *p)
{
	return (struct memory_holder){
	    .bytes = (size_t)(p->requests > 0),
	    .progress_at = p->progress_ns,
	    .since = p->started_ns,
	    .waits = p->serving,
	};
}

static struct http_peer *
get_peer(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info != NULL ? info->socket_context : NULL;
}

/*
 * Answers a request that has arrived in full: 401 without a valid token, 413
 * for a body above API_BODY_MAX, else by the custom or the built-in API.
 */
static enum MHD_Result
serve_request(struct control *c, struct MHD_Connection *conn, const char *url,
    const char *method, struct http_request *r)
{
	struct api_answer a = {0};
	struct api_request q = {
	    .method = method,
	    .path = url,
	    .author = find_author(c, conn),
	    .body = view_buf(&r->body),
	    .get_argument = get_argument,
	    .arg = conn,
	};

	if (q.author == NULL)
		answer_error(&a, 401, "denied",
		    "send Authorization: Bearer with a token of the token file",
		    false);
	else if (r->too_large)
		answer_error(&a, 413, "limit", "the body exceeds 4 MiB", false);
	else if (r->yielded)
		answer_error(&a, 503, "memory",
		    "memory is short; the request has not run, send it again",
		    true);
	else if (!serve_custom_api(c, &q, &a))
		serve_api(c, &q, &a);
	return send_answer(conn, &a);
}

/*
 * Returns the operator's name, "loopback" without authentication, or NULL when
 * the token is missing or wrong.
 */
static const char *
find_author(struct control *c, struct MHD_Connection *conn)
{
	static const char scheme[] = "Bearer ";
	const char *value;

	if (c->tokens == NULL)
		return "loopback";
	value = MHD_lookup_connection_value(
	    conn, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION);
	if (value == NULL ||
	    strncasecmp(value, scheme, sizeof(scheme) - 1) != 0)
		return NULL;
	return find_operator(c->tokens, make_str(value + sizeof(scheme) - 1));
}

/*
 * Passes the request to the API of the embedding program (cfg.api), if any.
 * Returns false when that does not serve it.
 */
static bool
serve_custom_api(
    struct control *c, const struct api_request *q, struct api_answer *a)
{
	struct control_request r = {
	    .method = q->method,
	    .path = q->path,
	    .body = q->body,
	    .get_header = get_header,
	    .arg = q->arg,
	};
	struct control_answer o = {.type = "application/json"};

	if (c->cfg.api == NULL || !c->cfg.api(c, &r, &o))
		return false;
	a->status = o.status;
	a->type = o.type;
	a->body = o.body;
	return true;
}

static const char *
get_header(void *arg, const char *name)
{
	return MHD_lookup_connection_value(arg, MHD_HEADER_KIND, name);
}

static const char *
get_argument(void *arg, const char *name)
{
	return MHD_lookup_connection_value(arg, MHD_GET_ARGUMENT_KIND, name);
}

/*
 * Queues the response and frees the body of the answer.
 */
static enum MHD_Result
send_answer(struct MHD_Connection *conn, struct api_answer *a)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
	    a->body.len, a->body.data, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc = MHD_NO;

	if (r != NULL) {
		(void)MHD_add_response_header(
		    r, MHD_HTTP_HEADER_CONTENT_TYPE, a->type);
		if (a->status == 401)
			(void)MHD_add_response_header(
			    r, MHD_HTTP_HEADER_WWW_AUTHENTICATE, "Bearer");
		if (a->status == 503)
			(void)MHD_add_response_header(
			    r, MHD_HTTP_HEADER_RETRY_AFTER, "1");
		rc = MHD_queue_response(conn, (unsigned int)a->status, r);
		MHD_destroy_response(r);
	}
	unload_buf(&a->body);
	return rc;
}

/*
 * Called by libmicrohttpd at the end of a request; frees its http_request.
 */
static void
finish_request(void *arg, struct MHD_Connection *conn, void **state,
    enum MHD_RequestTerminationCode code)
{
	struct http_request *r = *state;
	struct control *c = arg;

	(void)conn;
	(void)code;
	if (r == NULL)
		return;
	if (r->serving)
		atomic_fetch_sub(&c->http_serving, 1);
	pthread_mutex_lock(&c->http_lock);
	*r->prev = r->next;
	if (r->next != NULL)
		r->next->prev = r->prev;
	if (r->peer != NULL) {
		r->peer->requests--;
		r->peer->serving = false;
	}
	drop_body(c, r);
	pthread_mutex_unlock(&c->http_lock);
	free(r);
	*state = NULL;
}
