/*
 * One HTTP exchange over curl. Curl by itself resends a request when a reused
 * connection closes before the answer; the pre-request callback prevents that,
 * because the peer may have run the first one.
 */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "http.h"
#include "transfer.h"

#define POOL_HANDLES_MAX 256 /* idle easy handles for reuse */
#define POOL_CONNECTIONS_MAX 4096 /* connections kept open to all peers */
/*
 * Connections that were idle for longer are not reused. Below the 30 s after
 * which the listeners close idle connections, so that a request is not sent
 * while its peer closes the connection.
 */
#define POOL_IDLE_MAX_S 20
/*
 * Timeout of unacknowledged data, after which the connection is reset. A
 * middlebox that lost its state drops packets without any answer.
 */
#define UNACKED_TIMEOUT_MS 2000
#define KEEPALIVE_S 5 /* idle time before and between keepalive probes */
#define STATUS_SWITCHING_PROTOCOLS 101
#define URL_BYTES 96 /* "http://IP:port/" with NUL */

struct transfer {
	struct transfer_pool *pool;
	CURL *easy;
	struct transfer_request req;
	transfer_fn fn;
	void *arg;
	int send_attempts; /* times that curl was about to send it */
	bool in_multi; /* added to the loop's curl multi handle */
	bool bodyless; /* HEAD: the answer has no body */
	bool chunked;
	bool close_after; /* Connection: close in the answer */
	bool head_complete;
	int64_t length; /* Content-Length, -1: absent */
	struct buf head;
	struct buf body;
	struct buf reason_text;
	struct transfer_answer answer;
};

struct transfer_pool {
	struct loop *loop;
	CURL *free[POOL_HANDLES_MAX];
	size_t free_count;
};

static int prepare_easy(struct transfer *t);
static int set_body(struct transfer *t);
static int allow_first_send(
    void *arg, char *peer, char *local, int pport, int lport);
static int tune_socket(void *arg, curl_socket_t s, curlsocktype purpose);
static size_t receive_header(char *data, size_t size, size_t n, void *arg);
static bool parse_header(struct transfer *t, struct str name, struct str value);
static bool start_head(struct transfer *t, struct str line);
static size_t receive_answer_body(char *data, size_t size, size_t n, void *arg);
static void classify_transfer(struct transfer *t, CURLcode code);
static bool has_excess_bytes(struct transfer *t);
static struct str trim(struct str s);
static struct str strip_line_end(struct str s);
static bool is_equal_nocase(struct str a, const char *b);

/*
 * Creates the pool and sets the connection limits of the loop's curl handle.
 * Returns ERR_MEMORY.
 */
int
open_transfers(
    struct loop *l, int connections_per_peer, struct transfer_pool **out)
{
	struct transfer_pool *p = calloc(1, sizeof(*p));
	CURLM *m = get_loop_curl(l);

	if (p == NULL)
		return ERR_MEMORY;
	p->loop = l;
	curl_multi_setopt(
	    m, CURLMOPT_MAX_HOST_CONNECTIONS, (long)connections_per_peer);
	curl_multi_setopt(m, CURLMOPT_MAXCONNECTS, (long)POOL_CONNECTIONS_MAX);
	curl_multi_setopt(m, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
	*out = p;
	return 0;
}

/*
 * Frees the pool. All transfers must have been freed.
 */
void
close_transfers(struct transfer_pool *p)
{
	if (p == NULL)
		return;
	while (p->free_count > 0)
		curl_easy_cleanup(p->free[--p->free_count]);
	free(p);
}

/*
 * Starts an exchange. Takes over the header list, also on failure. Returns
 * ERR_MEMORY.
 */
int
start_transfer(struct transfer_pool *p, const struct transfer_request *req,
    transfer_fn fn, void *arg, struct transfer **out)
{
	struct transfer *t = calloc(1, sizeof(*t));

	if (t == NULL) {
		curl_slist_free_all(req->headers);
		return ERR_MEMORY;
	}
	t->pool = p;
	t->req = *req;
	t->fn = fn;
	t->arg = arg;
	t->length = -1;
	t->answer.chain_budget = RETRY_BUDGET_ABSENT;
	t->easy =
	    p->free_count > 0 ? p->free[--p->free_count] : curl_easy_init();
	if (t->easy == NULL || prepare_easy(t) != 0 ||
	    curl_multi_add_handle(get_loop_curl(p->loop), t->easy) !=
		CURLM_OK) {
		free_transfer(t);
		return ERR_MEMORY;
	}
	t->in_multi = true;
	*out = t;
	return 0;
}

/*
 * Frees t. Curl closes the connection of a transfer that has not ended, which
 * tells the peer that the call is cancelled.
 */
void
free_transfer(struct transfer *t)
{
	struct transfer_pool *p;

	if (t == NULL)
		return;
	p = t->pool;
	if (t->in_multi)
		curl_multi_remove_handle(get_loop_curl(p->loop), t->easy);
	if (t->easy != NULL && p->free_count < POOL_HANDLES_MAX) {
		curl_easy_reset(t->easy);
		p->free[p->free_count++] = t->easy;
	} else if (t->easy != NULL) {
		curl_easy_cleanup(t->easy);
	}
	curl_slist_free_all(t->req.headers);
	unload_buf(&t->head);
	unload_buf(&t->body);
	unload_buf(&t->reason_text);
	free(t);
}

bool
is_transfer_sent(const struct transfer *t)
{
	return t->send_attempts > 0;
}

const struct transfer_answer *
get_transfer_answer(struct transfer *t)
{
	t->answer.head = view_buf(&t->head);
	t->answer.body = view_buf(&t->body);
	t->answer.reason_text = view_buf(&t->reason_text);
	return &t->answer;
}

/*
 * Returns the answer's body, which the caller frees; NULL when it is empty.
 */
char *
detach_transfer_body(struct transfer *t)
{
	char *data = t->body.data;

	t->body = (struct buf){0};
	return data;
}

/*
 * Called by the loop when curl reports the end of a transfer. Fills the answer
 * and calls the transfer's fn, which may free it.
 */
void
end_transfer(CURL *easy, CURLcode code)
{
	struct transfer *t = NULL;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&t);
	if (t == NULL)
		return;
	classify_transfer(t, code);
	curl_multi_remove_handle(get_loop_curl(t->pool->loop), easy);
	t->in_multi = false;
	t->fn(t->arg, t);
}

/*
 * Whether a header concerns one connection only or is generated for each hop,
 * so that it is not forwarded.
 */
bool
is_hop_header(struct str name)
{
	static const char *const names[] = {"Connection", "Keep-Alive",
	    "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
	    "Host", "Content-Length", "Expect"};

	if (name.len >= 6 && strncasecmp(name.data, "X-Ggs-", 6) == 0)
		return true;
	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (is_equal_nocase(name, names[i]))
			return true;
	}
	return false;
}

static int
prepare_easy(struct transfer *t)
{
	char url[URL_BYTES];
	CURL *e = t->easy;

	snprintf(url, sizeof(url), "http://%s/", t->req.address);
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_REQUEST_TARGET, t->req.target);
	curl_easy_setopt(e, CURLOPT_PRIVATE, t);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_NOPROGRESS, 1L);
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, (long)t->req.connect_ms);
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, (long)POOL_IDLE_MAX_S);
	curl_easy_setopt(e, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(e, CURLOPT_TCP_KEEPIDLE, (long)KEEPALIVE_S);
	curl_easy_setopt(e, CURLOPT_TCP_KEEPINTVL, (long)KEEPALIVE_S);
	curl_easy_setopt(e, CURLOPT_SOCKOPTFUNCTION, tune_socket);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, allow_first_send);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, t);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, receive_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, receive_answer_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, t);
	if (t->req.new_connection)
		curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
	return set_body(t);
}

/*
 * Sets method, headers and body. A body is sent with its length and without
 * waiting for "100 Continue", because the peer reads bodies before it decides.
 */
static int
set_body(struct transfer *t)
{
	CURL *e = t->easy;

	curl_easy_setopt(e, CURLOPT_HTTPHEADER, t->req.headers);
	if (strcmp(t->req.method, "HEAD") == 0) {
		t->bodyless = true;
		curl_easy_setopt(e, CURLOPT_NOBODY, 1L);
		return 0;
	}
	if (t->req.body_len > 0 || strcmp(t->req.method, "POST") == 0 ||
	    strcmp(t->req.method, "PUT") == 0) {
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)t->req.body_len);
		curl_easy_setopt(e, CURLOPT_POSTFIELDS,
		    t->req.body_len > 0 ? t->req.body : "");
	}
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, t->req.method);
	return 0;
}

/*
 * Called by curl just before it sends the request on a connection. A second
 * call for the same transfer is curl's own resend and is refused.
 */
static int
allow_first_send(void *arg, char *peer, char *local, int pport, int lport)
{
	struct transfer *t = arg;

	(void)peer;
	(void)local;
	(void)pport;
	(void)lport;
	t->send_attempts++;
	return t->send_attempts == 1 ? CURL_PREREQFUNC_OK :
				       CURL_PREREQFUNC_ABORT;
}

/*
 * Curl's socket option callback: sets the timeout of unacknowledged data.
 */
static int
tune_socket(void *arg, curl_socket_t s, curlsocktype purpose)
{
	unsigned int ms = UNACKED_TIMEOUT_MS;

	(void)arg;
	if (purpose == CURLSOCKTYPE_IPCXN)
		setsockopt(s, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
	return CURL_SOCKOPT_OK;
}

/*
 * Curl's header callback: receives one header line, which curl does not check.
 * Returning less than the length makes curl abort the transfer and close its
 * connection.
 */
static size_t
receive_header(char *data, size_t size, size_t n, void *arg)
{
	struct transfer *t = arg;
	struct str line = strip_line_end(make_str_n(data, size * n));
	const char *colon;
	struct str name, value;

	if (!t->head_complete && line.len >= 5 &&
	    memcmp(line.data, "HTTP/", 5) == 0)
		return start_head(t, line) ? size * n : 0;
	if (line.len == 0) {
		t->head_complete = t->answer.facts.status >= 200;
		return size * n;
	}
	if (!is_http_field_line(line))
		return 0;
	if (t->head_complete)
		return size * n; /* a trailer */
	colon = memchr(line.data, ':', line.len);
	if (t->head.len + line.len > TRANSFER_HEAD_MAX)
		return 0;
	name = make_str_n(line.data, (size_t)(colon - line.data));
	value = trim(make_str_n(colon + 1, line.len - name.len - 1));
	if (!parse_header(t, name, value))
		return 0;
	if (!is_hop_header(name) &&
	    append_buf_fmt(&t->head, "%.*s: %.*s\r\n", (int)name.len, name.data,
		(int)value.len, value.data) != 0)
		return 0;
	return size * n;
}

/*
 * Starts a new head at a status line. An informational answer (1xx) may precede
 * the final one. Returns false if it cannot begin an answer: no call asks for a
 * change of the protocol.
 */
static bool
start_head(struct transfer *t, struct str line)
{
	struct attempt_facts *f = &t->answer.facts;
	int64_t status = 0;

	if (is_http_status_line(line))
		(void)parse_i64(
		    make_str_n(line.data + 9, 3), 100, 599, &status);
	t->head.len = 0;
	t->chunked = false;
	t->close_after = line.len >= 8 && memcmp(line.data, "HTTP/1.0", 8) == 0;
	t->length = -1;
	f->status = (int)status;
	f->has_outcome = false;
	f->has_call_id = false;
	return status != 0 && status != STATUS_SWITCHING_PROTOCOLS;
}

/*
 * Parses a header that the data path itself uses. Returns false, so that the
 * connection is closed at once, when the answer belongs to another call or does
 * not say in one way only where it ends. Curl decodes some other codings and
 * takes the last of several lengths.
 */
static bool
parse_header(struct transfer *t, struct str name, struct str value)
{
	struct attempt_facts *f = &t->answer.facts;
	int64_t n;

	if (is_equal_nocase(name, "Content-Length")) {
		if (t->length >= 0 || t->chunked ||
		    parse_i64(value, 0, INT64_MAX, &n) != 0)
			return false;
		t->length = n;
	} else if (is_equal_nocase(name, "Transfer-Encoding")) {
		if (t->length >= 0 || t->chunked ||
		    !is_equal_nocase(value, "chunked"))
			return false;
		t->chunked = true;
	} else if (is_equal_nocase(name, "Connection")) {
		t->close_after |= is_equal_nocase(value, "close");
	} else if (is_equal_nocase(name, "X-Ggs-Call-Id")) {
		f->has_call_id = true;
		f->call_id_matches =
		    is_str_equal(value, make_str(t->req.call_id));
		return f->call_id_matches;
	} else if (is_equal_nocase(name, "X-Ggs-Outcome")) {
		f->has_outcome = parse_outcome(value, &f->outcome) == 0;
	} else if (is_equal_nocase(name, "X-Ggs-Reason")) {
		(void)parse_refuse_reason(value, &t->answer.reason);
		t->reason_text.len = 0;
		(void)append_buf_str(&t->reason_text, value);
	} else if (is_equal_nocase(name, "X-Ggs-Load")) {
		(void)parse_load(value, &t->answer.load);
	} else if (is_equal_nocase(name, "X-Ggs-Retry-Budget")) {
		if (parse_i64(value, 0, 1000, &n) == 0)
			t->answer.chain_budget = (int)n;
	} else if (is_equal_nocase(name, "Retry-After")) {
		if (parse_i64(value, 0, 86400, &n) == 0)
			t->answer.retry_after_ns = n * NSEC_PER_SEC;
	}
	return true;
}

/*
 * Curl's body callback. Returns 0, which aborts the transfer, when the body
 * exceeds TRANSFER_BODY_MAX or no memory is left.
 */
static size_t
receive_answer_body(char *data, size_t size, size_t n, void *arg)
{
	struct transfer *t = arg;

	if ((int64_t)(t->body.len + size * n) > TRANSFER_BODY_MAX)
		return 0;
	if (append_buf(&t->body, data, size * n) != 0)
		return 0;
	return size * n;
}

/*
 * Fills the facts from curl's result. An answer that is neither chunked nor has
 * a length ends when the connection closes. That cannot be distinguished from a
 * broken connection, so its body does not count as ended.
 */
static void
classify_transfer(struct transfer *t, CURLcode code)
{
	struct attempt_facts *f = &t->answer.facts;
	long connects = 0;

	curl_easy_getinfo(t->easy, CURLINFO_NUM_CONNECTS, &connects);
	t->answer.reused = connects == 0;
	f->bytes_sent = t->send_attempts > 0;
	f->received = (int64_t)t->body.len;
	if (!f->bytes_sent) {
		f->end = ATTEMPT_NOT_CONNECTED;
	} else if (f->status < 200) {
		f->end = code == CURLE_OPERATION_TIMEDOUT ? ATTEMPT_TIMEOUT :
							    ATTEMPT_BROKEN;
	} else {
		f->end = ATTEMPT_ANSWERED;
		f->has_length = t->length >= 0 && !t->chunked && !t->bodyless;
		f->length = t->length;
		f->body_ended = code == CURLE_OK &&
				(t->bodyless || t->chunked || t->length >= 0 ||
				    f->status == 204 || f->status == 304);
		if (code == CURLE_OK && has_excess_bytes(t)) {
			f->received++;
			f->body_ended = false;
		}
	}
}

/*
 * Whether the peer sent more bytes than its answer. Curl discards excess bytes
 * that arrive with the answer and closes the connection, which is what is
 * checked here. Excess bytes that arrive later make curl close the connection
 * before its next use. The socket must not be read here: curl may already have
 * assigned the connection to a waiting transfer, whose answer would look like
 * excess bytes.
 */
static bool
has_excess_bytes(struct transfer *t)
{
	curl_socket_t s = CURL_SOCKET_BAD;
	curl_off_t sent = 0;

	if (t->close_after)
		return false;
	curl_easy_getinfo(t->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
	if (sent < (curl_off_t)t->req.body_len)
		return false; /* answered before the body was read */
	curl_easy_getinfo(t->easy, CURLINFO_ACTIVESOCKET, &s);
	return s == CURL_SOCKET_BAD;
}

static struct str
trim(struct str s)
{
	while (s.len > 0 && (unsigned char)s.data[0] <= ' ') {
		s.data++;
		s.len--;
	}
	while (s.len > 0 && (unsigned char)s.data[s.len - 1] <= ' ')
		s.len--;
	return s;
}

static struct str
strip_line_end(struct str s)
{
	if (s.len > 0 && s.data[s.len - 1] == '\n')
		s.len--;
	if (s.len > 0 && s.data[s.len - 1] == '\r')
		s.len--;
	return s;
}

static bool
is_equal_nocase(struct str a, const char *b)
{
	return a.len == strlen(b) && strncasecmp(a.data, b, a.len) == 0;
}
