/*
 * Opens listening sockets.
 */
#include <errno.h>
#include <netdb.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "call.h"

#define LISTEN_BACKLOG 1024 /* connections not yet accepted */

static int split_address(
    const char *address, char *host, size_t size, const char **port);
static int bind_socket(
    const struct addrinfo *ai, const char *address, int *fd, struct fault *f);

/*
 * Binds and listens on address ("IP:port" or "[IPv6]:port"); port 0 lets the
 * system choose. Returns ERR_INVALID for a bad address and ERR_IO when the
 * system refuses it.
 */
int
open_listener(const char *address, int *fd, int *port, struct fault *f)
{
	struct addrinfo hints = {.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV,
	    .ai_socktype = SOCK_STREAM};
	struct addrinfo *ai = NULL;
	struct sockaddr_storage ss = {0};
	socklen_t len = sizeof(ss);
	char host[PROXY_ADDRESS_BYTES];
	char bound[NI_MAXSERV];
	const char *service;
	int rc;

	if (split_address(address, host, sizeof(host), &service) != 0 ||
	    getaddrinfo(host, service, &hints, &ai) != 0)
		return set_fault(f, ERR_INVALID,
		    "listen address %s: write it as IP:port", address);
	rc = bind_socket(ai, address, fd, f);
	freeaddrinfo(ai);
	if (rc != 0)
		return rc;
	if (getsockname(*fd, (struct sockaddr *)&ss, &len) != 0 ||
	    getnameinfo((struct sockaddr *)&ss, len, NULL, 0, bound,
		sizeof(bound), NI_NUMERICSERV) != 0) {
		close(*fd);
		return set_fault(f, ERR_IO,
		    "listen address %s: the bound port cannot be read",
		    address);
	}
	*port = (int)strtol(bound, NULL, 10);
	return 0;
}

/*
 * Copies the host without brackets and points port into address. Returns
 * ERR_INVALID when there is no colon, or the error of copy_str().
 */
static int
split_address(const char *address, char *host, size_t size, const char **port)
{
	const char *colon = strrchr(address, ':');
	const char *from = address;
	size_t len;

	if (colon == NULL)
		return ERR_INVALID;
	len = (size_t)(colon - address);
	if (len >= 2 && address[0] == '[' && colon[-1] == ']') {
		from++;
		len -= 2;
	}
	*port = colon + 1;
	return copy_str(host, size, make_str_n(from, len));
}

/*
 * Creates a non-blocking listening socket. Returns ERR_IO with a fault that
 * names address.
 */
static int
bind_socket(
    const struct addrinfo *ai, const char *address, int *fd, struct fault *f)
{
	int one = 1;
	int s = socket(
	    ai->ai_family, ai->ai_socktype | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (s >= 0 &&
	    setsockopt(s, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) == 0 &&
	    bind(s, ai->ai_addr, ai->ai_addrlen) == 0 &&
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
