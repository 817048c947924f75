/*
 * Event loop on epoll and eventfd; parsing and formatting of socket addresses.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "rpc_loop.h"

#define KEEPALIVE_IDLE_S 20 /* then TCP probes for a half-open connection */
#define KEEPALIVE_INTERVAL_S 5
#define KEEPALIVE_PROBES 3
#define USER_TIMEOUT_MS 15000 /* without a TCP ACK: the connection breaks */

static int set_fd_events(
    struct rpc_loop *l, int op, int fd, void *arg, bool write);

/*
 * Returns ERR_IO when descriptors run out; closing l again is harmless then.
 */
int
open_rpc_loop(struct rpc_loop *l)
{
	l->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	l->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (l->epoll_fd < 0 || l->wake_fd < 0 ||
	    add_rpc_fd(l, l->wake_fd, NULL, false) != 0) {
		close_rpc_loop(l);
		return ERR_IO;
	}
	return 0;
}

void
close_rpc_loop(struct rpc_loop *l)
{
	if (l->epoll_fd >= 0)
		close(l->epoll_fd);
	if (l->wake_fd >= 0)
		close(l->wake_fd);
	l->epoll_fd = -1;
	l->wake_fd = -1;
}

/*
 * Ends the current or next wait_rpc_loop(). Callable from any thread.
 */
void
wake_rpc_loop(struct rpc_loop *l)
{
	uint64_t one = 1;

	if (write(l->wake_fd, &one, sizeof(one)) < 0) {
		/* a full eventfd counter is readable and wakes the loop */
	}
}

/*
 * Polls fd for input and, if write is set, for writability. Its events have arg
 * as data.ptr. Returns ERR_IO on failure.
 */
int
add_rpc_fd(struct rpc_loop *l, int fd, void *arg, bool write)
{
	return set_fd_events(l, EPOLL_CTL_ADD, fd, arg, write);
}

/*
 * Changes arg and write of an fd that was added. Returns ERR_IO on failure.
 */
int
modify_rpc_fd(struct rpc_loop *l, int fd, void *arg, bool write)
{
	return set_fd_events(l, EPOLL_CTL_MOD, fd, arg, write);
}

/*
 * Waits for at most RPC_EVENTS_MAX events, up to wait_ns nanoseconds and never
 * longer than RPC_WAIT_MAX_MS. Returns 0 after a timeout or a signal.
 */
int
wait_rpc_loop(struct rpc_loop *l, struct epoll_event *events, int64_t wait_ns)
{
	int ms = RPC_WAIT_MAX_MS, n;
	uint64_t count;

	if (wait_ns < RPC_WAIT_MAX_MS * NSEC_PER_MSEC)
		ms = wait_ns <= 0 ?
			 0 :
			 (int)((wait_ns + NSEC_PER_MSEC - 1) / NSEC_PER_MSEC);
	n = epoll_wait(l->epoll_fd, events, RPC_EVENTS_MAX, ms);
	for (int i = 0; i < n; i++) {
		if (events[i].data.ptr != NULL)
			continue;
		if (read(l->wake_fd, &count, sizeof(count)) < 0) {
			/* already reset by an earlier event */
		}
	}
	return n < 0 ? 0 : n;
}

/*
 * Parses "IP:port" or "[IPv6]:port". Returns ERR_INVALID for any other text;
 * host names are not resolved.
 */
int
parse_rpc_address(const char *text, struct rpc_address *out)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)&out->storage;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)&out->storage;
	const char *colon = text != NULL ? strrchr(text, ':') : NULL;
	char host[RPC_ADDRESS_BYTES];
	int64_t port;
	size_t n;

	memset(out, 0, sizeof(*out));
	if (colon == NULL ||
	    parse_i64(make_str(colon + 1), 0, 65535, &port) != 0)
		return ERR_INVALID;
	n = (size_t)(colon - text);
	if (n > 2 && text[0] == '[' && text[n - 1] == ']') {
		if (copy_str(host, sizeof(host), make_str_n(text + 1, n - 2)) !=
			0 ||
		    inet_pton(AF_INET6, host, &v6->sin6_addr) != 1)
			return ERR_INVALID;
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons((uint16_t)port);
		out->len = sizeof(*v6);
		return 0;
	}
	if (copy_str(host, sizeof(host), make_str_n(text, n)) != 0 ||
	    inet_pton(AF_INET, host, &v4->sin_addr) != 1)
		return ERR_INVALID;
	v4->sin_family = AF_INET;
	v4->sin_port = htons((uint16_t)port);
	out->len = sizeof(*v4);
	return 0;
}

/*
 * Writes the address in the form that parse_rpc_address() reads.
 */
void
render_rpc_address(const struct rpc_address *a, char *out, size_t size)
{
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)&a->storage;
	const struct sockaddr_in6 *v6 =
	    (const struct sockaddr_in6 *)&a->storage;
	char host[INET6_ADDRSTRLEN] = "";

	if (a->storage.ss_family == AF_INET6) {
		inet_ntop(AF_INET6, &v6->sin6_addr, host, sizeof(host));
		snprintf(out, size, "[%s]:%d", host, ntohs(v6->sin6_port));
		return;
	}
	inet_ntop(AF_INET, &v4->sin_addr, host, sizeof(host));
	snprintf(out, size, "%s:%d", host, ntohs(v4->sin_port));
}

/*
 * Sends small messages without delay (TCP_NODELAY) and lets the kernel detect a
 * peer that vanished without closing. Errors are ignored: a missing option only
 * delays messages or detection.
 */
void
set_rpc_socket_options(int fd)
{
	const int opts[][3] = {
	    {IPPROTO_TCP, TCP_NODELAY, 1},
	    {SOL_SOCKET, SO_KEEPALIVE, 1},
	    {IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S},
	    {IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S},
	    {IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES},
	    {IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS},
	};

	for (size_t i = 0; i < sizeof(opts) / sizeof(opts[0]); i++)
		(void)setsockopt(fd, opts[i][0], opts[i][1], &opts[i][2],
		    sizeof(opts[i][2]));
}

/*
 * Calls epoll_ctl() with op. Returns ERR_IO on failure.
 */
static int
set_fd_events(struct rpc_loop *l, int op, int fd, void *arg, bool write)
{
	struct epoll_event ev = {
	    .events = EPOLLIN | (write ? EPOLLOUT : 0), .data.ptr = arg};

	return epoll_ctl(l->epoll_fd, op, fd, &ev) == 0 ? 0 : ERR_IO;
}
