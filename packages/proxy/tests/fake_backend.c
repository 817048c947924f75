/*
 * The scripted backend server and the blocking HTTP client of the tests.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "fake_backend.h"

#define FAKE_CONNECTIONS 512
#define FAKE_HEAD_BYTES 16384
#define FAKE_WAIT_MS 30000 /* timeout of wait_fake() */

struct fake_backend {
	pthread_mutex_t lock;
	pthread_cond_t wake;
	pthread_t accepter;
	pthread_t threads[FAKE_CONNECTIONS];
	int fds[FAKE_CONNECTIONS];
	int count;
	int listen_fd;
	bool stop;
	bool released; /* blocked calls may go on */
	char address[32];
	enum fake_mode mode;
	int times; /* calls that still get mode */
	enum fake_mode later_mode; /* mode of the calls after these */
	const char *text; /* of FAKE_TEXT */
	bool text_closes;
	char health[128];
	int health_status;
	int runs, arrivals, disconnects, depth;
};

struct fake_connection {
	struct fake_backend *b;
	int fd;
};

static void *accept_connections(void *arg);
static void *serve_connection(void *arg);
static bool serve_request(struct fake_backend *b, int fd, const char *head);
static bool answer_mode(
    struct fake_backend *b, int fd, enum fake_mode mode, const char *id);
static bool wait_blocked(struct fake_backend *b, int fd);
static int read_head(int fd, char *head, size_t size);
static void skip_body(int fd, const char *head);
static void find_value(
    const char *head, const char *name, char *out, size_t size);
static void send_fake_fmt(int fd, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
static enum fake_mode consume_mode(struct fake_backend *b);

struct fake_backend *
open_fake_backend(void)
{
	struct fake_backend *b = calloc(1, sizeof(*b));
	struct sockaddr_in sa = {.sin_family = AF_INET};
	socklen_t len = sizeof(sa);

	pthread_mutex_init(&b->lock, NULL);
	pthread_cond_init(&b->wake, NULL);
	b->health_status = 200;
	snprintf(b->health, sizeof(b->health), "{\"state\":\"ready\"}");
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	b->listen_fd = socket(AF_INET, SOCK_STREAM, 0);
	if (b->listen_fd < 0 ||
	    bind(b->listen_fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
	    listen(b->listen_fd, 256) != 0)
		abort();
	getsockname(b->listen_fd, (struct sockaddr *)&sa, &len);
	snprintf(
	    b->address, sizeof(b->address), "127.0.0.1:%d", ntohs(sa.sin_port));
	pthread_create(&b->accepter, NULL, accept_connections, b);
	return b;
}

void
close_fake_backend(struct fake_backend *b)
{
	pthread_mutex_lock(&b->lock);
	b->stop = true;
	b->released = true;
	pthread_cond_broadcast(&b->wake);
	shutdown(b->listen_fd, SHUT_RDWR);
	for (int i = 0; i < b->count; i++)
		shutdown(b->fds[i], SHUT_RDWR);
	pthread_mutex_unlock(&b->lock);
	pthread_join(b->accepter, NULL);
	for (int i = 0; i < b->count; i++) {
		pthread_join(b->threads[i], NULL);
		close(b->fds[i]);
	}
	close(b->listen_fd);
	free(b);
}

const char *
get_fake_address(const struct fake_backend *b)
{
	return b->address;
}

void
set_fake_mode(struct fake_backend *b, enum fake_mode mode, int times)
{
	pthread_mutex_lock(&b->lock);
	b->mode = mode;
	b->times = times;
	b->later_mode = FAKE_OK;
	b->released = false;
	pthread_mutex_unlock(&b->lock);
}

void
set_fake_later_mode(struct fake_backend *b, enum fake_mode mode)
{
	pthread_mutex_lock(&b->lock);
	b->later_mode = mode;
	pthread_mutex_unlock(&b->lock);
}

void
set_fake_text(struct fake_backend *b, const char *text, bool closes)
{
	pthread_mutex_lock(&b->lock);
	b->text = text;
	b->text_closes = closes;
	pthread_mutex_unlock(&b->lock);
}

void
set_fake_health(struct fake_backend *b, const char *body, int status)
{
	pthread_mutex_lock(&b->lock);
	snprintf(b->health, sizeof(b->health), "%s", body);
	b->health_status = status;
	pthread_mutex_unlock(&b->lock);
}

void
release_fake_blocked(struct fake_backend *b)
{
	pthread_mutex_lock(&b->lock);
	b->released = true;
	pthread_cond_broadcast(&b->wake);
	pthread_mutex_unlock(&b->lock);
}

int
count_fake_runs(struct fake_backend *b)
{
	return __atomic_load_n(&b->runs, __ATOMIC_SEQ_CST);
}

int
count_fake_arrivals(struct fake_backend *b)
{
	return __atomic_load_n(&b->arrivals, __ATOMIC_SEQ_CST);
}

int
count_fake_disconnects(struct fake_backend *b)
{
	return __atomic_load_n(&b->disconnects, __ATOMIC_SEQ_CST);
}

int
count_fake_connections(struct fake_backend *b)
{
	return __atomic_load_n(&b->count, __ATOMIC_SEQ_CST);
}

int
get_fake_depth(struct fake_backend *b)
{
	return __atomic_load_n(&b->depth, __ATOMIC_SEQ_CST);
}

void
call_fake(const struct fake_request *req, struct fake_reply *out)
{
	char head[2048], lines[1024] = "";
	const char *at = req->headers;
	size_t n = 0;
	int fd = connect_fake(req->port);

	for (; at != NULL && *at != '\0' && n < sizeof(lines) - 2; at++) {
		if (*at == '\n')
			lines[n++] = '\r';
		lines[n++] = *at;
	}
	lines[n] = '\0';
	n = (size_t)snprintf(head, sizeof(head),
	    "%s %s HTTP/1.1\r\nHost: test\r\nConnection: close\r\n%s"
	    "Content-Length: %zu\r\n\r\n",
	    req->method != NULL ? req->method : "POST",
	    req->path != NULL ? req->path : "/x", lines, req->body_len);
	send_fake(fd, head, n);
	if (req->body_len > 0)
		send_fake(fd, req->body, req->body_len);
	read_fake_reply(fd, out);
	close(fd);
}

int
connect_fake(int port)
{
	struct sockaddr_in sa = {
	    .sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || connect(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0)
		abort();
	return fd;
}

void
send_fake(int fd, const char *text, size_t len)
{
	while (len > 0) {
		ssize_t n = send(fd, text, len, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		text += n;
		len -= (size_t)n;
	}
}

void
read_fake_reply(int fd, struct fake_reply *out)
{
	char head[FAKE_HEAD_BYTES], text[32];
	size_t want;

	*out = (struct fake_reply){0};
	if (read_head(fd, head, sizeof(head)) != 0)
		return;
	if (sscanf(head, "HTTP/1.1 %d", &out->status) != 1)
		out->status = 0;
	find_value(head, "X-Ggs-Outcome", out->outcome, sizeof(out->outcome));
	find_value(head, "X-Ggs-Reason", out->reason, sizeof(out->reason));
	find_value(head, "X-Ggs-Call-Id", out->call_id, sizeof(out->call_id));
	find_value(head, "X-Ggs-Load", out->load, sizeof(out->load));
	find_value(head, "Content-Length", text, sizeof(text));
	want = (size_t)strtoul(text, NULL, 10);
	while (out->body_len < want && out->body_len < sizeof(out->body) - 1) {
		ssize_t n = recv(fd, out->body + out->body_len,
		    sizeof(out->body) - 1 - out->body_len, 0);

		if (n <= 0)
			break;
		out->body_len += (size_t)n;
	}
	out->complete = out->body_len == want;
}

bool
wait_fake(bool (*is_done)(void *arg), void *arg)
{
	struct timespec ts = {0, 2000000};

	for (int i = 0; i < FAKE_WAIT_MS / 2; i++) {
		if (is_done(arg))
			return true;
		nanosleep(&ts, NULL);
	}
	return false;
}

static void *
accept_connections(void *arg)
{
	struct fake_backend *b = arg;
	struct fake_connection *c;
	int fd;

	while ((fd = accept(b->listen_fd, NULL, NULL)) >= 0) {
		pthread_mutex_lock(&b->lock);
		if (b->stop || b->count == FAKE_CONNECTIONS) {
			pthread_mutex_unlock(&b->lock);
			close(fd);
			continue;
		}
		c = calloc(1, sizeof(*c));
		c->b = b;
		c->fd = fd;
		b->fds[b->count] = fd;
		pthread_create(
		    &b->threads[b->count], NULL, serve_connection, c);
		__atomic_add_fetch(&b->count, 1, __ATOMIC_SEQ_CST);
		pthread_mutex_unlock(&b->lock);
	}
	return NULL;
}

static void *
serve_connection(void *arg)
{
	struct fake_connection conn = *(struct fake_connection *)arg;
	char head[FAKE_HEAD_BYTES];

	free(arg);
	for (;;) {
		struct pollfd pfd = {conn.fd, POLLIN, 0};
		char c;
		bool first;

		if (poll(&pfd, 1, -1) < 0 ||
		    recv(conn.fd, &c, 1, MSG_PEEK) <= 0)
			break;
		pthread_mutex_lock(&conn.b->lock);
		first = conn.b->mode == FAKE_CLOSE_BEFORE && conn.b->times > 0;
		pthread_mutex_unlock(&conn.b->lock);
		/* Health checks are exempt from this mode. */
		if (first) {
			char peek[16] = "";

			recv(conn.fd, peek, sizeof(peek) - 1, MSG_PEEK);
			if (strstr(peek, "/health") == NULL) {
				(void)consume_mode(conn.b);
				break;
			}
		}
		if (read_head(conn.fd, head, sizeof(head)) != 0)
			break;
		skip_body(conn.fd, head);
		if (!serve_request(conn.b, conn.fd, head))
			break;
	}
	shutdown(conn.fd, SHUT_RDWR);
	return NULL;
}

static bool
serve_request(struct fake_backend *b, int fd, const char *head)
{
	char id[80], depth[16];
	enum fake_mode mode;

	if (strstr(head, " /health ") != NULL) {
		char body[128];
		int status;

		pthread_mutex_lock(&b->lock);
		snprintf(body, sizeof(body), "%s", b->health);
		status = b->health_status;
		pthread_mutex_unlock(&b->lock);
		send_fake_fmt(fd,
		    "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n\r\n%s", status,
		    strlen(body), body);
		return true;
	}
	find_value(head, "X-Ggs-Call-Id", id, sizeof(id));
	find_value(head, "X-Ggs-Depth", depth, sizeof(depth));
	__atomic_store_n(&b->depth, atoi(depth), __ATOMIC_SEQ_CST);
	__atomic_add_fetch(&b->arrivals, 1, __ATOMIC_SEQ_CST);
	mode = consume_mode(b);
	if (mode == FAKE_BLOCKED && !wait_blocked(b, fd))
		return false;
	if (mode != FAKE_SHED)
		__atomic_add_fetch(&b->runs, 1, __ATOMIC_SEQ_CST);
	return answer_mode(b, fd, mode, id);
}

/*
 * Answers according to mode; false: the connection has to be closed.
 */
static bool
answer_mode(struct fake_backend *b, int fd, enum fake_mode mode, const char *id)
{
	const char *ok = "HTTP/1.1 200 OK\r\nContent-Type: text/x-test\r\n"
			 "X-Ggs-Call-Id: ";
	int first;

	switch (mode) {
	case FAKE_OK:
	case FAKE_BLOCKED:
		send_fake_fmt(fd, "%s%s\r\nContent-Length: %zu\r\n\r\nran:%s",
		    ok, id, strlen(id) + 4, id);
		return true;
	case FAKE_TRUNCATED:
		send_fake_fmt(fd, "%s%s\r\nContent-Length: 100\r\n\r\nran:%s",
		    ok, id, id);
		return false;
	case FAKE_OVER_LONG:
		send_fake_fmt(
		    fd, "%s%s\r\nContent-Length: 4\r\n\r\nran:%s", ok, id, id);
		return true;
	case FAKE_WRONG_ID:
		send_fake_fmt(
		    fd, "%sanother\r\nContent-Length: 4\r\n\r\nran:", ok);
		return true;
	case FAKE_CLOSE_IN_HEADERS:
		send_fake_fmt(fd, "%s", ok);
		return false;
	case FAKE_CLOSE_IN_CHUNKS:
		send_fake_fmt(fd,
		    "%s%s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nran:\r\n",
		    ok, id);
		return false;
	case FAKE_NO_LENGTH:
		send_fake_fmt(
		    fd, "%s%s\r\nConnection: close\r\n\r\nran:", ok, id);
		return false;
	case FAKE_SHED:
		send_fake_fmt(fd,
		    "HTTP/1.1 503 Busy\r\nX-Ggs-Outcome: not-run\r\n"
		    "Content-Length: 0\r\n\r\n");
		return true;
	case FAKE_FALSE_NOT_RUN:
		send_fake_fmt(fd,
		    "%s%s\r\nX-Ggs-Outcome: not-run\r\n"
		    "Content-Length: 4\r\n\r\nran:",
		    ok, id);
		return true;
	case FAKE_FAIL:
		send_fake_fmt(fd,
		    "HTTP/1.1 500 Failed\r\nX-Ggs-Call-Id: %s\r\n"
		    "Content-Length: 4\r\n\r\nbad.",
		    id);
		return true;
	case FAKE_NOT_FOUND:
		send_fake_fmt(fd,
		    "HTTP/1.1 404 Missing\r\nX-Ggs-Call-Id: %s\r\n"
		    "Content-Length: 4\r\n\r\nnone",
		    id);
		return true;
	case FAKE_TWICE:
		send_fake_fmt(fd,
		    "%s%s\r\nContent-Length: 4\r\n\r\nran:"
		    "%s%s\r\nContent-Length: 5\r\n\r\nlate:",
		    ok, id, ok, id);
		return true;
	case FAKE_TEXT:
		first = (int)strcspn(b->text, "\n") + 1;
		send_fake_fmt(fd, "%.*sX-Ggs-Call-Id: %s\r\n%s", first, b->text,
		    id, b->text + first);
		return !b->text_closes;
	case FAKE_CLOSE_BEFORE:
	case FAKE_CLOSE_AFTER:
		return false;
	}
	return false;
}

/*
 * Waits until the test releases blocked calls. Returns false when the peer
 * closes the connection first: then the call is cancelled and does not run.
 */
static bool
wait_blocked(struct fake_backend *b, int fd)
{
	struct pollfd pfd = {fd, POLLIN | POLLRDHUP, 0};
	bool done = false;

	while (!done) {
		if (poll(&pfd, 1, 5) > 0) {
			__atomic_add_fetch(
			    &b->disconnects, 1, __ATOMIC_SEQ_CST);
			return false;
		}
		pthread_mutex_lock(&b->lock);
		done = b->released;
		pthread_mutex_unlock(&b->lock);
	}
	return true;
}

static int
read_head(int fd, char *head, size_t size)
{
	size_t n = 0;

	while (n < size - 1) {
		if (recv(fd, head + n, 1, 0) != 1)
			return -1;
		n++;
		head[n] = '\0';
		if (n >= 4 && memcmp(head + n - 4, "\r\n\r\n", 4) == 0)
			return 0;
	}
	return -1;
}

static void
skip_body(int fd, const char *head)
{
	char text[32], part[65536];
	size_t left;

	find_value(head, "Content-Length", text, sizeof(text));
	left = strtoul(text, NULL, 10);
	while (left > 0) {
		ssize_t n = recv(
		    fd, part, left < sizeof(part) ? left : sizeof(part), 0);

		if (n <= 0)
			return;
		left -= (size_t)n;
	}
}

static void
find_value(const char *head, const char *name, char *out, size_t size)
{
	char line[96];
	const char *at;

	out[0] = '\0';
	snprintf(line, sizeof(line), "\r\n%s: ", name);
	at = strcasestr(head, line);
	if (at == NULL)
		return;
	at += strlen(line);
	snprintf(out, size, "%.*s", (int)strcspn(at, "\r"), at);
}

static void
send_fake_fmt(int fd, const char *fmt, ...)
{
	char text[1024];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	send_fake(fd, text, (size_t)n);
}

/*
 * Returns the mode of the next call and counts it.
 */
static enum fake_mode
consume_mode(struct fake_backend *b)
{
	enum fake_mode mode;

	pthread_mutex_lock(&b->lock);
	mode = b->later_mode;
	if (b->times > 0) {
		mode = b->mode;
		b->times--;
	}
	pthread_mutex_unlock(&b->lock);
	return mode;
}
