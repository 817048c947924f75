/*
 * Backend server for tests. One thread serves all connections with poll().
 */
#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "fake_server.h"

#define CONNECTIONS_MAX 64
#define RUNS_MAX 4096
#define UNEVEN_NS (800 * NSEC_PER_MSEC)
#define SLOW_NS (150 * NSEC_PER_MSEC)
#define EARLY_RESET_BYTES (8 * 1000 * 1000) /* of an upload, read before */

struct fake_conn {
	int fd; /* -1: free */
	struct buf in;
	int64_t answer_at; /* mono ns; of a delayed answer; 0: none */
	bool reset_on_use; /* reset when the next bytes arrive */
	bool hangs; /* reads no more */
	char *id; /* of the last call; "": none */
	char *late_id; /* is answered again before the next call; NULL: none */
};

struct fake_server {
	bool slow; /* set_fake_slow() */
	pthread_t thread;
	pthread_mutex_t lock;
	bool stop;
	bool reset_all;
	int listener;
	char address[32];
	char instance[32];
	char notices[128]; /* header lines of its answers */
	struct fake_script script;
	struct fake_conn conns[CONNECTIONS_MAX];
	int accepted;
	int requests;
	char runs[RUNS_MAX][40];
	int run_count;
	char line[256];
	char head[4096];
	size_t body_len;
	size_t endless_bytes; /* sent by one endless answer, at most */
};

typedef void (*behave_fn)(struct fake_server *s, struct fake_conn *c);

static void *serve(void *arg);
static void accept_one(struct fake_server *s);
static void read_one(struct fake_server *s, struct fake_conn *c);
static bool handle_request(struct fake_server *s, struct fake_conn *c);
static bool run_early_script(
    struct fake_server *s, struct fake_conn *c, const char *head);
static void record_run(struct fake_server *s, const struct fake_conn *c);
static void answer_script(struct fake_server *s, struct fake_conn *c);
static void end_script(struct fake_server *s, struct fake_conn *c);
static void read_upload(struct fake_conn *c, size_t len);
static void run_behaviour(
    struct fake_server *s, struct fake_conn *c, const char *name);
static void set_call_id(struct fake_conn *c, const char *head);
static void clear_ids(struct fake_conn *c);
static const char *find_header(const char *head, const char *name, size_t *len);
static void copy_header(
    const char *head, const char *name, char *out, size_t size);
static void send_text(struct fake_conn *c, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
static void send_ok(struct fake_server *s, struct fake_conn *c);
static void close_fake_conn(struct fake_conn *c, bool reset);
static int64_t read_now(void);
static void answer_large(struct fake_server *s, struct fake_conn *c);
static void answer_slow(struct fake_server *s, struct fake_conn *c);
static void answer_uneven(struct fake_server *s, struct fake_conn *c);
static void fail_uneven(struct fake_server *s, struct fake_conn *c);
static void answer_failed(struct fake_server *s, struct fake_conn *c);
static void answer_full(struct fake_server *s, struct fake_conn *c);
static void answer_wrong_instance(struct fake_server *s, struct fake_conn *c);
static void answer_unsealed(struct fake_server *s, struct fake_conn *c);
static void answer_without_id(struct fake_server *s, struct fake_conn *c);
static void answer_cut(struct fake_server *s, struct fake_conn *c);
static void reset_connection(struct fake_server *s, struct fake_conn *c);
static void answer_doubled(struct fake_server *s, struct fake_conn *c);
static void answer_late(struct fake_server *s, struct fake_conn *c);
static void answer_unframed(struct fake_server *s, struct fake_conn *c);
static void answer_unframed_reset(struct fake_server *s, struct fake_conn *c);
static void never_answer(struct fake_server *s, struct fake_conn *c);
static void answer_garbage(struct fake_server *s, struct fake_conn *c);
static void answer_encoded(struct fake_server *s, struct fake_conn *c);
static void answer_closing(struct fake_server *s, struct fake_conn *c);
static void send_endless(struct fake_server *s, struct fake_conn *c,
    const char *start, const char *unit);
static void answer_endless_head(struct fake_server *s, struct fake_conn *c);
static void answer_endless_body(struct fake_server *s, struct fake_conn *c);
static void answer_endless_chunks(struct fake_server *s, struct fake_conn *c);
static void answer_endless_interim(struct fake_server *s, struct fake_conn *c);

static const struct {
	const char *name;
	bool runs; /* the call counts as executed */
	behave_fn fn;
} behaviours[] = {
    {"ok", true, send_ok}, /* signed 200 */
    {"large", true, answer_large}, /* signed 200, FAKE_LARGE_BYTES */
    {"slow", true, answer_slow}, /* the same after 150 ms */
    {"uneven", true, answer_uneven}, /* 200; late if named set_fake_slow() */
    {"uneven-failed", true, fail_uneven}, /* the same, and 500 by the others */
    {"failed", true, answer_failed}, /* a signed 500 */
    {"full", false, answer_full}, /* 503, marked as not run */
    {"other", false, answer_wrong_instance}, /* 421: not this instance */
    {"unsealed", true, answer_unsealed}, /* 200 without a signature */
    {"unnamed", true, answer_without_id}, /* 200 without the call's id */
    {"cut", true, answer_cut}, /* closes in the middle of the body */
    {"reset", true, reset_connection}, /* resets without an answer */
    {"doubled", true, answer_doubled}, /* a second answer follows at once */
    {"late", true, answer_late}, /* answers again before the next answer */
    {"unframed", true, answer_unframed}, /* no length; closes after the body */
    {"unframed-reset", true,
	answer_unframed_reset}, /* no length; resets after the body */
    {"silent", true, never_answer}, /* never answers */
    {"garbage", true, answer_garbage}, /* not an HTTP answer */
    {"encoded", true, answer_encoded}, /* 200 with Content-Encoding */
    {"script", true, answer_script}, /* as set_fake_script() says */
    {"closing", true, answer_closing}, /* signed 200 with Connection: close */
    /* until the node closes the connection */
    {"endless-head", true, answer_endless_head}, /* header lines */
    {"endless-body", true, answer_endless_body}, /* without a length */
    {"endless-chunks", true, answer_endless_chunks},
    {"endless-interim", true, answer_endless_interim}, /* 102 */
};

struct fake_server *
open_fake_server(const char *instance)
{
	struct fake_server *s = calloc(1, sizeof(*s));
	struct sockaddr_in sa = {.sin_family = AF_INET};
	socklen_t len = sizeof(sa);

	for (int i = 0; i < CONNECTIONS_MAX; i++)
		s->conns[i].fd = -1;
	snprintf(s->instance, sizeof(s->instance), "%s", instance);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->listener = socket(AF_INET, SOCK_STREAM, 0);
	if (s->listener < 0 ||
	    bind(s->listener, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
	    listen(s->listener, CONNECTIONS_MAX) != 0 ||
	    getsockname(s->listener, (struct sockaddr *)&sa, &len) != 0)
		abort();
	snprintf(
	    s->address, sizeof(s->address), "127.0.0.1:%d", ntohs(sa.sin_port));
	pthread_mutex_init(&s->lock, NULL);
	pthread_create(&s->thread, NULL, serve, s);
	return s;
}

void
close_fake_server(struct fake_server *s)
{
	if (s == NULL)
		return;
	pthread_mutex_lock(&s->lock);
	s->stop = true;
	pthread_mutex_unlock(&s->lock);
	pthread_join(s->thread, NULL);
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		if (s->conns[i].fd >= 0)
			close_fake_conn(&s->conns[i], false);
		unload_buf(&s->conns[i].in);
		clear_ids(&s->conns[i]);
	}
	close(s->listener);
	pthread_mutex_destroy(&s->lock);
	free(s);
}

const char *
get_fake_address(const struct fake_server *s)
{
	return s->address;
}

int
count_fake_runs(struct fake_server *s, const char *id)
{
	int n = 0;

	pthread_mutex_lock(&s->lock);
	for (int i = 0; i < s->run_count; i++)
		n += strcmp(s->runs[i], id) == 0 ? 1 : 0;
	pthread_mutex_unlock(&s->lock);
	return n;
}

int
count_fake_requests(struct fake_server *s)
{
	int n;

	pthread_mutex_lock(&s->lock);
	n = s->requests;
	pthread_mutex_unlock(&s->lock);
	return n;
}

int
count_fake_connections(struct fake_server *s)
{
	int n;

	pthread_mutex_lock(&s->lock);
	n = s->accepted;
	pthread_mutex_unlock(&s->lock);
	return n;
}

int
count_fake_open(struct fake_server *s)
{
	int n = 0;

	pthread_mutex_lock(&s->lock);
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		n += s->conns[i].fd >= 0 ? 1 : 0;
	pthread_mutex_unlock(&s->lock);
	return n;
}

void
set_fake_slow(struct fake_server *s, bool slow)
{
	pthread_mutex_lock(&s->lock);
	s->slow = slow;
	pthread_mutex_unlock(&s->lock);
}

void
set_fake_notices(struct fake_server *s, const char *lines)
{
	pthread_mutex_lock(&s->lock);
	snprintf(s->notices, sizeof(s->notices), "%s", lines);
	pthread_mutex_unlock(&s->lock);
}

void
set_fake_script(struct fake_server *s, const struct fake_script *script)
{
	pthread_mutex_lock(&s->lock);
	s->script = *script;
	pthread_mutex_unlock(&s->lock);
}

void
get_fake_header(struct fake_server *s, const char *name, char *out, size_t size)
{
	pthread_mutex_lock(&s->lock);
	copy_header(s->head, name, out, size);
	pthread_mutex_unlock(&s->lock);
}

void
get_fake_line(struct fake_server *s, char *out, size_t size)
{
	pthread_mutex_lock(&s->lock);
	snprintf(out, size, "%s", s->line);
	pthread_mutex_unlock(&s->lock);
}

size_t
get_fake_body_len(struct fake_server *s)
{
	size_t n;

	pthread_mutex_lock(&s->lock);
	n = s->body_len;
	pthread_mutex_unlock(&s->lock);
	return n;
}

void
reset_fake_connections(struct fake_server *s)
{
	pthread_mutex_lock(&s->lock);
	s->reset_all = true;
	pthread_mutex_unlock(&s->lock);
	usleep(50000);
}

void
reset_fake_connections_on_use(struct fake_server *s)
{
	pthread_mutex_lock(&s->lock);
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		s->conns[i].reset_on_use = s->conns[i].fd >= 0;
	pthread_mutex_unlock(&s->lock);
}

/*
 * Serves until stop is set. The lock is released only while it polls.
 */
static void *
serve(void *arg)
{
	struct fake_server *s = arg;
	struct pollfd p[CONNECTIONS_MAX + 1];
	bool stop = false;

	while (!stop) {
		for (int i = 0; i < CONNECTIONS_MAX; i++)
			p[i] = (struct pollfd){
			    s->conns[i].hangs ? -1 : s->conns[i].fd, POLLIN, 0};
		p[CONNECTIONS_MAX] = (struct pollfd){s->listener, POLLIN, 0};
		(void)poll(p, CONNECTIONS_MAX + 1, 5);
		pthread_mutex_lock(&s->lock);
		for (int i = 0; i < CONNECTIONS_MAX; i++) {
			struct fake_conn *c = &s->conns[i];

			if (c->fd >= 0 && s->reset_all)
				close_fake_conn(c, true);
			else if (c->fd >= 0 && p[i].fd >= 0 &&
				 p[i].revents != 0)
				read_one(s, c);
			if (c->fd >= 0 && c->answer_at != 0 &&
			    read_now() >= c->answer_at) {
				c->answer_at = 0;
				send_ok(s, c);
			}
		}
		s->reset_all = false;
		if (p[CONNECTIONS_MAX].revents != 0)
			accept_one(s);
		stop = s->stop;
		pthread_mutex_unlock(&s->lock);
	}
	return NULL;
}

static void
accept_one(struct fake_server *s)
{
	int fd = accept(s->listener, NULL, NULL);

	s->accepted++;
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		if (s->conns[i].fd >= 0)
			continue;
		s->conns[i].fd = fd;
		s->conns[i].in.len = 0;
		s->conns[i].answer_at = 0;
		s->conns[i].hangs = false;
		s->conns[i].reset_on_use = false;
		clear_ids(&s->conns[i]);
		return;
	}
	close(fd);
}

static void
read_one(struct fake_server *s, struct fake_conn *c)
{
	char bytes[65536];
	ssize_t n;

	if (c->reset_on_use) {
		close_fake_conn(c, true);
		return;
	}
	n = recv(c->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (n <= 0) {
		close_fake_conn(c, false);
		return;
	}
	(void)append_buf(&c->in, bytes, (size_t)n);
	while (c->fd >= 0 && handle_request(s, c))
		;
}

/*
 * Answers a complete request by its path. False when none is complete.
 */
static bool
handle_request(struct fake_server *s, struct fake_conn *c)
{
	char *end = c->in.len > 0 ? strstr(c->in.data, "\r\n\r\n") : NULL;
	char length[24] = "", name[64] = "", *text;
	size_t head, body, path;
	const char *slash;

	if (end == NULL)
		return false;
	head = (size_t)(end - c->in.data) + 4;
	text = strndup(c->in.data, head);
	if (run_early_script(s, c, text)) {
		free(text);
		return false;
	}
	copy_header(text, "Content-Length", length, sizeof(length));
	body = (size_t)strtoul(length, NULL, 10);
	if (c->in.len < head + body) {
		free(text);
		return false;
	}
	s->requests++;
	s->body_len = body;
	snprintf(s->head, sizeof(s->head), "%s", text);
	snprintf(
	    s->line, sizeof(s->line), "%.*s", (int)strcspn(text, "\r\n"), text);
	set_call_id(c, text);
	memmove(c->in.data, c->in.data + head + body, c->in.len - head - body);
	c->in.len -= head + body;
	c->in.data[c->in.len] = '\0';
	path = strcspn(text, " ") + 1;
	path += strcspn(text + path, "? ");
	slash = memrchr(text, '/', path);
	if (slash != NULL)
		snprintf(name, sizeof(name), "%.*s",
		    (int)(text + path - slash - 1), slash + 1);
	free(text);
	run_behaviour(s, c, name);
	return true;
}

static void
run_behaviour(struct fake_server *s, struct fake_conn *c, const char *name)
{
	if (c->late_id != NULL) {
		char *own = c->id;

		c->id = c->late_id;
		send_ok(s, c);
		free(c->id);
		c->late_id = NULL;
		c->id = own;
	}
	for (size_t i = 0; i < sizeof(behaviours) / sizeof(behaviours[0]);
	     i++) {
		if (strcmp(name, behaviours[i].name) != 0)
			continue;
		if (behaviours[i].runs)
			record_run(s, c);
		behaviours[i].fn(s, c);
		return;
	}
	send_text(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
}

static void
record_run(struct fake_server *s, const struct fake_conn *c)
{
	if (s->run_count < RUNS_MAX)
		snprintf(s->runs[s->run_count++], sizeof(s->runs[0]), "%.39s",
		    c->id);
}

/*
 * Answers a scripted call whose body may still be on its way. False when the
 * call has to be complete first. What follows is not read as a request.
 */
static bool
run_early_script(struct fake_server *s, struct fake_conn *c, const char *head)
{
	const char *path = strstr(head, "/script ");

	if (!s->script.early || path == NULL || path > strstr(head, "\r\n"))
		return false;
	set_call_id(c, head);
	record_run(s, c);
	c->in.len = 0;
	answer_script(s, c);
	return true;
}

static void
answer_script(struct fake_server *s, struct fake_conn *c)
{
	struct str a = s->script.answer;
	const char *line = memchr(a.data, '\n', a.len);
	size_t first = (size_t)(line - a.data) + 1;
	struct buf b = {0};

	(void)append_buf(&b, a.data, first);
	(void)append_buf_fmt(
	    &b, "Call-Id: %s\r\nSeal: %s\r\n", c->id, s->instance);
	(void)append_buf(&b, a.data + first, a.len - first);
	(void)send(c->fd, b.data, b.len, MSG_NOSIGNAL);
	unload_buf(&b);
	end_script(s, c);
}

/*
 * Unread bytes would turn a close into a reset, so the rest of the request is
 * read first.
 */
static void
end_script(struct fake_server *s, struct fake_conn *c)
{
	enum fake_end end = s->script.end;

	if (end == FAKE_KEEPS) {
		if (s->script.early)
			read_upload(c, SIZE_MAX);
		return;
	}
	if (end == FAKE_CLOSES) {
		shutdown(c->fd, SHUT_WR);
		read_upload(c, SIZE_MAX);
		close_fake_conn(c, false);
		return;
	}
	if (s->script.early)
		read_upload(c, EARLY_RESET_BYTES);
	else
		usleep(20000); /* so that the bytes arrive before the reset */
	if (end == FAKE_CLOSES_THEN_RESETS)
		shutdown(c->fd, SHUT_WR);
	close_fake_conn(c, true);
}

/* Reads len bytes of a request, or what comes until the connection ends. */
static void
read_upload(struct fake_conn *c, size_t len)
{
	struct timeval wait = {5, 0};
	char bytes[65536];
	ssize_t n = 0;

	setsockopt(c->fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	for (size_t got = 0; got < len; got += (size_t)n) {
		n = recv(c->fd, bytes, sizeof(bytes), 0);
		if (n <= 0)
			return;
	}
}

static void
set_call_id(struct fake_conn *c, const char *head)
{
	size_t len;
	const char *id = find_header(head, "Call-Id", &len);

	free(c->id);
	c->id = strndup(id, len);
}

static void
clear_ids(struct fake_conn *c)
{
	free(c->id);
	free(c->late_id);
	c->id = c->late_id = NULL;
}

static void
copy_header(const char *head, const char *name, char *out, size_t size)
{
	size_t len;
	const char *value = find_header(head, name, &len);

	snprintf(out, size, "%.*s", (int)len, value);
}

/* Returns the value, of len bytes; "" when the head has no such line. */
static const char *
find_header(const char *head, const char *name, size_t *len)
{
	size_t name_len = strlen(name);

	for (const char *p = head; p != NULL; p = strstr(p, "\r\n")) {
		if (p != head)
			p += 2;
		if (strncasecmp(p, name, name_len) != 0 || p[name_len] != ':')
			continue;
		p += name_len + 1;
		p += strspn(p, " ");
		*len = strcspn(p, "\r\n");
		return p;
	}
	*len = 0;
	return "";
}

static void
send_text(struct fake_conn *c, const char *fmt, ...)
{
	char *text = NULL;
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vasprintf(&text, fmt, ap);
	va_end(ap);
	if (n < 0 || send(c->fd, text, (size_t)n, MSG_NOSIGNAL) != n)
		close_fake_conn(c, false);
	free(text);
}

static void
send_ok(struct fake_server *s, struct fake_conn *c)
{
	send_text(c,
	    "HTTP/1.1 200 OK\r\nCall-Id: %s\r\nSeal: %s\r\n%s"
	    "Connection: keep-alive\r\nContent-Length: 2\r\n\r\nok",
	    c->id, s->instance, s->notices);
}

char
get_fake_large_byte(size_t at)
{
	return (char)(at % 64000 % 251);
}

static void
answer_large(struct fake_server *s, struct fake_conn *c)
{
	char part[64 * 1000];
	ssize_t n = 0;

	for (size_t i = 0; i < sizeof(part); i++)
		part[i] = get_fake_large_byte(i);
	send_text(c,
	    "HTTP/1.1 200 OK\r\nCall-Id: %s\r\nSeal: %s\r\n"
	    "Content-Length: %d\r\n\r\n",
	    c->id, s->instance, FAKE_LARGE_BYTES);
	for (size_t sent = 0; sent < FAKE_LARGE_BYTES; sent += (size_t)n) {
		size_t left = FAKE_LARGE_BYTES - sent;
		size_t at = sent % sizeof(part), len = sizeof(part) - at;

		n = send(
		    c->fd, part + at, left < len ? left : len, MSG_NOSIGNAL);
		if (n <= 0) {
			close_fake_conn(c, false);
			return;
		}
	}
}

static void
close_fake_conn(struct fake_conn *c, bool reset)
{
	struct linger l = {1, 0};

	if (reset)
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(c->fd);
	c->fd = -1;
}

static int64_t
read_now(void)
{
	struct clock_source c = get_real_clock();

	return read_mono(&c);
}

static void
answer_slow(struct fake_server *s, struct fake_conn *c)
{
	(void)s;
	c->answer_at = read_now() + SLOW_NS;
}

static void
answer_uneven(struct fake_server *s, struct fake_conn *c)
{
	if (s->slow)
		c->answer_at = read_now() + UNEVEN_NS;
	else
		send_ok(s, c);
}

static void
fail_uneven(struct fake_server *s, struct fake_conn *c)
{
	if (s->slow)
		c->answer_at = read_now() + UNEVEN_NS;
	else
		answer_failed(s, c);
}

static void
answer_failed(struct fake_server *s, struct fake_conn *c)
{
	send_text(c,
	    "HTTP/1.1 500 Internal Server Error\r\nCall-Id: %s\r\nSeal: %s\r\n"
	    "Content-Length: 4\r\n\r\nfail",
	    c->id, s->instance);
}

static void
answer_full(struct fake_server *s, struct fake_conn *c)
{
	(void)s;
	send_text(c,
	    "HTTP/1.1 503 Service Unavailable\r\nCall-Id: %s\r\nNot-Run: 1\r\n"
	    "Content-Length: 0\r\n\r\n",
	    c->id);
}

static void
answer_wrong_instance(struct fake_server *s, struct fake_conn *c)
{
	(void)s;
	send_text(
	    c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
}

static void
answer_unsealed(struct fake_server *s, struct fake_conn *c)
{
	(void)s;
	send_text(c,
	    "HTTP/1.1 200 OK\r\nCall-Id: %s\r\nContent-Length: 2\r\n\r\nok",
	    c->id);
}

static void
answer_without_id(struct fake_server *s, struct fake_conn *c)
{
	send_text(c,
	    "HTTP/1.1 200 OK\r\nSeal: %s\r\nContent-Length: 2\r\n\r\nok",
	    s->instance);
}

static void
answer_cut(struct fake_server *s, struct fake_conn *c)
{
	send_text(c,
	    "HTTP/1.1 200 OK\r\nCall-Id: %s\r\nSeal: %s\r\n"
	    "Content-Length: 10\r\n\r\ncut",
	    c->id, s->instance);
	close_fake_conn(c, false);
}

static void
reset_connection(struct fake_server *s, struct fake_conn *c)
{
	(void)s;
	close_fake_conn(c, true);
}

static void
answer_doubled(struct fake_server *s, struct fake_conn *c)
{
	send_text(c,
	    "HTTP/1.1 200 OK\r\nCall-Id: %s\r\nSeal: %s\r\n"
	    "Content-Length: 2\r\n\r\nok"
	    "HTTP/1.1 200 OK\r\nCall-Id: stray\r\nSeal: %s\r\n"
	    "Content-Length: 5\r\n\r\nstray",
	    c->id, s->instance, s->instance);
}

static void
answer_late(struct fake_server *s, struct fake_conn *c)
{
	send_ok(s, c);
	c->late_id = strdup(c->id);
}

static void
answer_unframed(struct fake_server *s, struct fake_conn *c)
{
	send_text(c, "HTTP/1.1 200 OK\r\nCall-Id: %s\r\nSeal: %s\r\n\r\nok",
	    c->id, s->instance);
	close_fake_conn(c, false);
}

static void
answer_unframed_reset(struct fake_server *s, struct fake_conn *c)
{
	send_text(c, "HTTP/1.1 200 OK\r\nCall-Id: %s\r\nSeal: %s\r\n\r\nok",
	    c->id, s->instance);
	usleep(20000); /* so that the bytes arrive before the reset */
	close_fake_conn(c, true);
}

static void
never_answer(struct fake_server *s, struct fake_conn *c)
{
	(void)s;
	c->hangs = false; /* keep reading to notice a close by the node */
}

static void
answer_garbage(struct fake_server *s, struct fake_conn *c)
{
	(void)s;
	send_text(c, "this is no answer\r\n\r\n");
}

static void
answer_encoded(struct fake_server *s, struct fake_conn *c)
{
	send_text(c,
	    "HTTP/1.1 200 OK\r\nCall-Id: %s\r\nSeal: %s\r\n"
	    "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
	    c->id, s->instance);
}

static void
answer_closing(struct fake_server *s, struct fake_conn *c)
{
	send_text(c,
	    "HTTP/1.1 200 OK\r\nCall-Id: %s\r\nSeal: %s\r\n"
	    "Connection: close\r\nContent-Length: 2\r\n\r\nok",
	    c->id, s->instance);
	close_fake_conn(c, false);
}

/*
 * Sends start, then unit again and again until the node closes the connection.
 */
static void
send_endless(struct fake_server *s, struct fake_conn *c, const char *start,
    const char *unit)
{
	struct buf b = {0};
	size_t sent = 0;
	ssize_t n;

	send_text(c, "%s", start);
	while (b.len < 64 * 1024)
		if (append_buf_str(&b, make_str(unit)) != 0)
			break;
	while (c->fd >= 0 &&
	       (n = send(c->fd, b.data, b.len, MSG_NOSIGNAL)) == (ssize_t)b.len)
		sent += (size_t)n;
	if (sent > s->endless_bytes)
		s->endless_bytes = sent;
	unload_buf(&b);
	if (c->fd >= 0)
		close_fake_conn(c, false);
}

static void
answer_endless_head(struct fake_server *s, struct fake_conn *c)
{
	send_endless(s, c, "HTTP/1.1 200 OK\r\n", "X-More: aaaaaaaaaa\r\n");
}

static void
answer_endless_body(struct fake_server *s, struct fake_conn *c)
{
	send_endless(s, c, "HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaaaaaaaaaa");
}

static void
answer_endless_chunks(struct fake_server *s, struct fake_conn *c)
{
	send_endless(s, c,
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	    "40\r\n"
	    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	    "\r\n");
}

static void
answer_endless_interim(struct fake_server *s, struct fake_conn *c)
{
	send_endless(s, c, "", "HTTP/1.1 102 Processing\r\n\r\n");
}

size_t
get_fake_endless_bytes(struct fake_server *s)
{
	size_t n;

	pthread_mutex_lock(&s->lock);
	n = s->endless_bytes;
	pthread_mutex_unlock(&s->lock);
	return n;
}
