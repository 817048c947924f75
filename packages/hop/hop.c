/*
 * Links between nodes: framing, buffered output, and liveness checks.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "hop.h"
#include "log.h"

#define FRAME_HEAD_BYTES 12
#define READS_PER_EVENT_MAX 4 /* so that no link starves others */
#define IDLE_BUF_BYTES (128 * 1024) /* kept of a buffer without bytes */
#define LOW_WATER_BYTES (32 * 1024) /* above it, on_drained follows */
#define CHECK_INTERVAL_NS (100 * NSEC_PER_MSEC) /* of liveness checks */
/*
 * TCP_USER_TIMEOUT: closes a connection whose output is not acknowledged for
 * this time, for example during a network partition. The kernel's default is
 * several minutes.
 */
#define USER_TIMEOUT_MS 4000

struct hop_link {
	struct reactor *reactor;
	const struct hop_events *events;
	void *arg;
	struct watch watch;
	struct timer check_timer;
	struct task flush_task;
	struct buf in; /* start of an incomplete frame */
	struct buf out; /* queued frames */
	size_t out_sent; /* bytes of out that are sent */
	int64_t last_contact_ns; /* mono, of the last read */
	int64_t ping_sent_ns; /* mono; 0: no ping is pending */
	bool connecting;
	bool busy;
	bool unresponsive;
	bool above_low_water; /* call on_drained when out is sent */
	bool closed; /* by on_close or close_hop() */
	bool in_callback;
	bool free_pending; /* close_hop() was called */
};

static int make_link(struct reactor *r, int fd, bool connecting,
    const struct hop_events *events, void *arg, struct hop_link **out);
static void handle_link_events(struct watch *w, uint32_t events);
static bool finish_connect(struct hop_link *l);
static void read_link(struct hop_link *l);
static bool read_once(struct hop_link *l, char *bytes);
static bool handle_bytes(struct hop_link *l, struct str in);
static size_t handle_frames(struct hop_link *l, struct str in);
static void handle_frame(struct hop_link *l, const struct hop_frame *f);
static void flush_link(struct task *t);
static void write_link(struct hop_link *l);
static void drop_sent_output(struct hop_link *l);
static void check_link_liveness(struct timer *t);
static void fail_link(struct hop_link *l, const char *why);
static void free_link(struct hop_link *l);
static void put_u32(char *p, uint32_t v);
static uint32_t get_u32(const char *p);

int
connect_hop(struct reactor *r, const char *address,
    const struct hop_events *events, void *arg, struct hop_link **out)
{
	int fd, rc = start_connect(address, &fd);

	*out = NULL;
	return rc == 0 ? make_link(r, fd, true, events, arg, out) : rc;
}

int
accept_hop(struct reactor *r, int fd, const struct hop_events *events,
    void *arg, struct hop_link **out)
{
	*out = NULL;
	return make_link(r, fd, false, events, arg, out);
}

/*
 * Drops unsent frames. Within a callback, or while a flush is queued, the
 * memory and the descriptor are released only afterwards.
 */
void
close_hop(struct hop_link *l)
{
	if (l == NULL || l->free_pending)
		return;
	l->free_pending = true;
	l->closed = true;
	stop_watch(l->reactor, &l->watch);
	cancel_timer(l->reactor, &l->check_timer);
	if (!l->in_callback && !l->flush_task.queued)
		free_link(l);
}

/*
 * The frame is sent at the end of the reactor's round, together with all
 * others queued in that round. If memory runs out, the frame is dropped and an
 * error is logged; the link stays open.
 */
void
send_hop(struct hop_link *l, enum hop_type type, uint32_t stream,
    xdrproc_t proc, const void *value, struct str tail)
{
	char head[FRAME_HEAD_BYTES];
	size_t at = l->out.len, size = 0;
	int rc;

	if (l->closed)
		return;
	if (proc != NULL)
		size = xdr_sizeof(proc, (void *)(uintptr_t)value);
	put_u32(head, (uint32_t)(size + tail.len));
	put_u32(head + 4, (uint32_t)type);
	put_u32(head + 8, stream);
	rc = reserve_buf(&l->out, sizeof(head) + size + tail.len);
	if (rc == 0)
		rc = append_buf(&l->out, head, sizeof(head));
	if (rc == 0 && proc != NULL)
		rc = append_hop_message(&l->out, proc, value);
	if (rc == 0)
		rc = append_buf_str(&l->out, tail);
	if (rc != 0) {
		l->out.len = at;
		write_log(LOG_LEVEL_ERR, "link: dropped a frame of type %d: %s",
		    (int)type, get_err_name(rc));
	}
	if (l->out.len - l->out_sent > LOW_WATER_BYTES)
		l->above_low_water = true;
	if (!l->connecting)
		defer_task(l->reactor, &l->flush_task, flush_link);
}

void
set_hop_busy(struct hop_link *l, bool busy)
{
	if (l->closed || l->busy == busy)
		return;
	l->busy = busy;
	if (!busy) {
		cancel_timer(l->reactor, &l->check_timer);
		return;
	}
	/* Earlier contact is no evidence for the new calls. */
	l->last_contact_ns = get_reactor_now(l->reactor);
	l->ping_sent_ns = 0;
	set_timer(l->reactor, &l->check_timer,
	    l->last_contact_ns + CHECK_INTERVAL_NS, check_link_liveness);
}

size_t
get_hop_unsent(const struct hop_link *l)
{
	return l->out.len - l->out_sent;
}

bool
was_hop_connected(const struct hop_link *l)
{
	return !l->connecting;
}

bool
is_hop_unresponsive(const struct hop_link *l)
{
	return l->unresponsive;
}

/*
 * Returns ERR_LIMIT for a value that breaks a bound of hop.x, or ERR_MEMORY.
 */
int
append_hop_message(struct buf *b, xdrproc_t proc, const void *value)
{
	size_t size = xdr_sizeof(proc, (void *)(uintptr_t)value);
	XDR x;
	int rc;

	/* xdr_sizeof() returns 0 for a value that breaks a bound. */
	if (size == 0)
		return ERR_LIMIT;
	rc = reserve_buf(b, size);
	if (rc != 0)
		return rc;
	xdrmem_create(&x, b->data + b->len, (unsigned int)size, XDR_ENCODE);
	if (proc(&x, (void *)(uintptr_t)value))
		b->len += size;
	else
		rc = ERR_INVALID;
	xdr_destroy(&x);
	return rc;
}

/*
 * Returns ERR_CORRUPT for an incomplete or invalid message; value is freed
 * then. Otherwise the caller frees it with unload_hop_message().
 */
int
decode_hop_message(
    struct str payload, xdrproc_t proc, void *value, struct str *rest)
{
	XDR x;
	bool ok;

	xdrmem_create(&x, (char *)(uintptr_t)payload.data,
	    (unsigned int)payload.len, XDR_DECODE);
	ok = proc(&x, value);
	if (ok) {
		size_t used = xdr_getpos(&x);

		*rest = make_str_n(payload.data + used, payload.len - used);
	}
	xdr_destroy(&x);
	if (ok)
		return 0;
	xdr_free(proc, (char *)value);
	return ERR_CORRUPT;
}

void
unload_hop_message(xdrproc_t proc, void *value)
{
	xdr_free(proc, (char *)value);
}

/*
 * Accepts IPv4 addresses only.
 */
int
parse_hop_address(
    const char *address, struct sockaddr_storage *out, socklen_t *len)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)out;
	const char *colon = strrchr(address, ':');
	char host[INET_ADDRSTRLEN];
	int64_t port;

	memset(out, 0, sizeof(*out));
	if (colon == NULL ||
	    copy_str(host, sizeof(host),
		make_str_n(address, (size_t)(colon - address))) != 0 ||
	    parse_i64(make_str(colon + 1), 0, 65535, &port) != 0 ||
	    inet_pton(AF_INET, host, &v4->sin_addr) != 1)
		return ERR_INVALID;
	v4->sin_family = AF_INET;
	v4->sin_port = htons((uint16_t)port);
	*len = sizeof(*v4);
	return 0;
}

/*
 * Starts a TCP connection with Nagle's algorithm off; the caller owns fd.
 * Returns ERR_INVALID for a bad address, ERR_UNAVAILABLE when the connection
 * fails at once, ERR_LIMIT when no descriptor is left.
 */
int
start_connect(const char *address, int *fd)
{
	struct sockaddr_storage sa;
	socklen_t len;
	int rc = parse_hop_address(address, &sa, &len), one = 1;

	if (rc != 0)
		return rc;
	*fd =
	    socket(sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (*fd < 0)
		return ERR_LIMIT;
	(void)setsockopt(*fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(*fd, (struct sockaddr *)&sa, len) != 0 &&
	    errno != EINPROGRESS) {
		close(*fd);
		return ERR_UNAVAILABLE;
	}
	return 0;
}

/*
 * Takes over fd; closes it on error. Returns ERR_MEMORY, or ERR_LIMIT when
 * epoll cannot watch it.
 */
static int
make_link(struct reactor *r, int fd, bool connecting,
    const struct hop_events *events, void *arg, struct hop_link **out)
{
	struct hop_link *l = calloc(1, sizeof(*l));
	unsigned int timeout = USER_TIMEOUT_MS;

	if (l == NULL) {
		close(fd);
		return ERR_MEMORY;
	}
	(void)setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
	l->reactor = r;
	l->events = events;
	l->arg = arg;
	l->connecting = connecting;
	l->last_contact_ns = get_reactor_now(r);
	if (start_watch(r, &l->watch, fd, connecting ? EPOLLOUT : EPOLLIN,
		handle_link_events) != 0) {
		close(fd);
		free(l);
		return ERR_LIMIT;
	}
	*out = l;
	return 0;
}

/*
 * Handles events from epoll; releases a link that a callback closed.
 */
static void
handle_link_events(struct watch *w, uint32_t events)
{
	struct hop_link *l =
	    (struct hop_link *)((char *)w - offsetof(struct hop_link, watch));

	l->in_callback = true;
	if (l->connecting && !finish_connect(l))
		goto out;
	if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 && !l->closed)
		read_link(l);
	if ((events & EPOLLOUT) != 0 && !l->closed)
		write_link(l);
out:
	l->in_callback = false;
	if (l->free_pending && !l->flush_task.queued)
		free_link(l);
}

/*
 * Returns false when the connection failed or the link was closed.
 */
static bool
finish_connect(struct hop_link *l)
{
	socklen_t len = sizeof(int);
	int error = 0;

	if (getsockopt(l->watch.fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0 ||
	    error != 0) {
		fail_link(l, "not connected");
		return false;
	}
	l->connecting = false;
	l->last_contact_ns = get_reactor_now(l->reactor);
	change_watch(l->reactor, &l->watch, EPOLLIN);
	write_link(l);
	return !l->closed;
}

/*
 * Reads a bounded number of times and handles the frames.
 */
static void
read_link(struct hop_link *l)
{
	struct reactor *r = l->reactor;
	char *bytes = acquire_scratch(r);

	if (bytes == NULL) {
		write_log(LOG_LEVEL_ERR,
		    "out of memory for reading a link; it is closed");
		fail_link(l, "out of memory");
		return;
	}
	for (int i = 0; i < READS_PER_EVENT_MAX && !l->closed; i++) {
		if (!read_once(l, bytes))
			break;
	}
	release_scratch(r);
}

/*
 * Returns whether more bytes may be pending.
 */
static bool
read_once(struct hop_link *l, char *bytes)
{
	ssize_t n = recv(l->watch.fd, bytes, REACTOR_SCRATCH_BYTES, 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return false;
	if (n <= 0) {
		fail_link(l, n == 0 ? "closed" : "reset");
		return false;
	}
	l->last_contact_ns = get_reactor_now(l->reactor);
	l->ping_sent_ns = 0;
	l->unresponsive = false;
	if (!handle_bytes(l, make_str_n(bytes, (size_t)n))) {
		fail_link(l, "damaged frame");
		return false;
	}
	return n == REACTOR_SCRATCH_BYTES;
}

/*
 * Handles the complete frames and keeps the rest for the next read. Returns
 * false on an invalid frame, or when memory runs out.
 */
static bool
handle_bytes(struct hop_link *l, struct str in)
{
	size_t used;

	if (l->in.len == 0) {
		used = handle_frames(l, in);
		if (used == SIZE_MAX || l->closed)
			return used != SIZE_MAX;
		return append_buf(&l->in, in.data + used, in.len - used) == 0;
	}
	if (append_buf_str(&l->in, in) != 0)
		return false;
	used = handle_frames(l, view_buf(&l->in));
	if (used == SIZE_MAX || l->closed)
		return used != SIZE_MAX;
	memmove(l->in.data, l->in.data + used, l->in.len - used);
	l->in.len -= used;
	trim_buf(&l->in, IDLE_BUF_BYTES);
	return true;
}

/*
 * Returns the number of bytes handled, or SIZE_MAX on an invalid frame.
 */
static size_t
handle_frames(struct hop_link *l, struct str in)
{
	size_t at = 0;

	while (!l->closed && in.len - at >= FRAME_HEAD_BYTES) {
		const char *p = in.data + at;
		uint32_t len = get_u32(p);
		struct hop_frame f = {.type = (enum hop_type)get_u32(p + 4),
		    .stream = get_u32(p + 8),
		    .payload = make_str_n(p + FRAME_HEAD_BYTES, len)};

		if (len > HOP_PAYLOAD_MAX || f.type < HOP_HELLO ||
		    f.type >= HOP_TYPE_END)
			return SIZE_MAX;
		if (in.len - at - FRAME_HEAD_BYTES < len)
			break;
		handle_frame(l, &f);
		at += FRAME_HEAD_BYTES + len;
	}
	return at;
}

/*
 * Answers pings; passes all other frames but pongs to the owner.
 */
static void
handle_frame(struct hop_link *l, const struct hop_frame *f)
{
	if (f->type == HOP_PING)
		send_hop(l, HOP_PONG, 0, NULL, NULL, make_str_n(NULL, 0));
	else if (f->type != HOP_PONG)
		l->events->on_frame(l->arg, f);
}

/*
 * Deferred task: sends the frames of this round, or releases a link that was
 * closed meanwhile.
 */
static void
flush_link(struct task *t)
{
	struct hop_link *l =
	    (struct hop_link *)((char *)t -
				offsetof(struct hop_link, flush_task));

	if (l->free_pending) {
		if (!l->in_callback)
			free_link(l);
		return;
	}
	l->in_callback = true;
	if (!l->closed && !l->connecting)
		write_link(l);
	l->in_callback = false;
	if (l->free_pending && !l->flush_task.queued)
		free_link(l);
}

/*
 * Sends queued output until the socket buffer is full, and waits for EPOLLOUT
 * then.
 */
static void
write_link(struct hop_link *l)
{
	while (l->out_sent < l->out.len) {
		ssize_t n = send(l->watch.fd, l->out.data + l->out_sent,
		    l->out.len - l->out_sent, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
			drop_sent_output(l);
			change_watch(l->reactor, &l->watch, EPOLLIN | EPOLLOUT);
			return;
		}
		if (n < 0) {
			fail_link(l, "reset");
			return;
		}
		l->out_sent += (size_t)n;
	}
	l->out.len = l->out_sent = 0;
	trim_buf(&l->out, IDLE_BUF_BYTES);
	change_watch(l->reactor, &l->watch, EPOLLIN);
	if (l->above_low_water) {
		l->above_low_water = false;
		l->events->on_drained(l->arg);
	}
}

/*
 * Drops the sent bytes once they are at least as many as the unsent ones, so
 * that each byte is moved a bounded number of times.
 */
static void
drop_sent_output(struct hop_link *l)
{
	size_t left = l->out.len - l->out_sent;

	if (l->out_sent < left)
		return;
	memmove(l->out.data, l->out.data + l->out_sent, left);
	l->out.len = left;
	l->out_sent = 0;
}

/*
 * Timer of a busy link: pings an idle peer, and reports it as unresponsive
 * when no bytes arrive.
 */
static void
check_link_liveness(struct timer *t)
{
	struct hop_link *l =
	    (struct hop_link *)((char *)t -
				offsetof(struct hop_link, check_timer));
	int64_t now = get_reactor_now(l->reactor);
	int64_t idle_ns = now - l->last_contact_ns;

	set_timer(l->reactor, &l->check_timer, now + CHECK_INTERVAL_NS,
	    check_link_liveness);
	if (idle_ns >= HOP_PING_NS && l->ping_sent_ns == 0 && !l->connecting) {
		l->ping_sent_ns = now;
		send_hop(l, HOP_PING, 0, NULL, NULL, make_str_n(NULL, 0));
	}
	if (idle_ns < HOP_UNRESPONSIVE_NS || l->unresponsive)
		return;
	l->unresponsive = true;
	l->in_callback = true;
	l->events->on_unresponsive(l->arg);
	l->in_callback = false;
	if (l->free_pending && !l->flush_task.queued)
		free_link(l);
}

/*
 * Stops the link and reports it to the owner, who calls close_hop().
 */
static void
fail_link(struct hop_link *l, const char *why)
{
	if (l->closed)
		return;
	l->closed = true;
	stop_watch(l->reactor, &l->watch);
	cancel_timer(l->reactor, &l->check_timer);
	l->events->on_close(l->arg, why);
}

static void
free_link(struct hop_link *l)
{
	close(l->watch.fd);
	unload_buf(&l->in);
	unload_buf(&l->out);
	free(l);
}

/*
 * Frame headers are big endian.
 */
static void
put_u32(char *p, uint32_t v)
{
	for (int i = 0; i < 4; i++)
		p[i] = (char)(v >> (24 - 8 * i));
}

static uint32_t
get_u32(const char *p)
{
	const unsigned char *b = (const unsigned char *)p;

	return (uint32_t)b[0] << 24 | (uint32_t)b[1] << 16 |
	       (uint32_t)b[2] << 8 | b[3];
}
