/*
 * Listening sockets of a node.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node_state.h"

#define LISTEN_BACKLOG 1024
/* Before the next accept, when no descriptor is left and none can be freed. */
#define ACCEPT_PAUSE_NS (100 * NSEC_PER_MSEC)

/* Receive buffer of a connection until it is accepted; the system doubles it. */
static const int waiting_bytes = 16 * 1024;

static void resume_listener(struct timer *t);

/*
 * Listens on an address and serves requests with handle; links of other nodes
 * when handle is NULL. Does nothing for a NULL address. Returns ERR_INVALID for
 * a malformed address and ERR_IO when the system refuses it.
 */
int
add_listener(
    struct node *n, const char *address, request_fn handle, struct fault *f)
{
	struct listener *l = &n->listeners[n->listener_count];
	int fd = -1, rc;

	if (address == NULL)
		return 0;
	rc = bind_listener(address, &fd, f);
	if (rc != 0)
		return rc;
	/* Connections that wait to be accepted also hold bytes. */
	if (handle != NULL && n->budget.limit != 0)
		(void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &waiting_bytes,
		    sizeof(waiting_bytes));
	l->node = n;
	l->handle = handle;
	l->open_max =
	    handle == route_call ? n->budget.callers : n->budget.others;
	if (start_watch(n->reactor, &l->watch, fd, EPOLLIN,
		handle != NULL ? accept_callers : accept_links) != 0) {
		close(fd);
		return set_fault(f, ERR_IO,
		    "listen address %s: cannot be watched; raise the limit of "
		    "descriptors",
		    address);
	}
	n->listener_count++;
	return 0;
}

/*
 * Opens a non-blocking listening socket; the caller closes *fd. Returns
 * ERR_INVALID for a malformed address and ERR_IO when the system refuses it.
 */
int
bind_listener(const char *address, int *fd, struct fault *f)
{
	struct sockaddr_storage sa;
	socklen_t len;
	int one = 1, s;

	if (parse_hop_address(address, &sa, &len) != 0)
		return set_fault(f, ERR_INVALID,
		    "listen address %s: write it as IP:port", address);
	s = socket(sa.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (s >= 0 &&
	    setsockopt(s, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) == 0 &&
	    bind(s, (struct sockaddr *)&sa, len) == 0 &&
	    listen(s, LISTEN_BACKLOG) == 0) {
		*fd = s;
		return 0;
	}
	set_fault(f, ERR_IO,
	    "listen address %s: %s; free the port or choose another one",
	    address, strerror(errno));
	if (s >= 0)
		close(s);
	return ERR_IO;
}

/*
 * Accepts the callers that have connected. Closing a listener resets them.
 */
void
accept_pending_callers(struct node *n)
{
	for (size_t i = 0; i < n->listener_count; i++) {
		if (n->listeners[i].handle != NULL)
			accept_callers(&n->listeners[i].watch, EPOLLIN);
	}
}

/*
 * Without a descriptor the connection that needs its own least is closed. If
 * there is none, the listener pauses: its socket stays readable, and the node
 * would do nothing else.
 */
int
accept_connection(struct listener *l)
{
	struct node *n = l->node;
	int fd = accept4(l->watch.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd >= 0 || (errno != EMFILE && errno != ENFILE && errno != ENOMEM &&
			   errno != ENOBUFS))
		return fd;
	if (free_caller_descriptor(n, NULL))
		fd = accept4(
		    l->watch.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd < 0) {
		change_watch(n->reactor, &l->watch, 0);
		set_timer(n->reactor, &l->pause,
		    get_reactor_now(n->reactor) + ACCEPT_PAUSE_NS,
		    resume_listener);
	}
	return fd;
}

static void
resume_listener(struct timer *t)
{
	struct listener *l =
	    (struct listener *)((char *)t - offsetof(struct listener, pause));

	change_watch(l->node->reactor, &l->watch, EPOLLIN);
}

void
close_listeners(struct node *n)
{
	for (size_t i = 0; i < n->listener_count; i++) {
		cancel_timer(n->reactor, &n->listeners[i].pause);
		stop_watch(n->reactor, &n->listeners[i].watch);
		close(n->listeners[i].watch.fd);
	}
	n->listener_count = 0;
}
