/*
 * A link on loopback between a client and a server that carries bytes towards
 * the client only as far as the test allows.
 */
#ifndef THIN_LINK_H
#define THIN_LINK_H

#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define THIN_LINK_POLL_MS 2
#define LINK_COPY_MAX 4096 /* bytes */

struct thin_link {
	char address[64]; /* for the client */
	struct sockaddr_in server;
	int listener;
	pthread_t thread;
	atomic_bool limited; /* only allowed bytes pass towards the client */
	atomic_long allowed; /* bytes; those of a closed connection stay */
	atomic_int connections; /* of the client, so far */
	atomic_bool stopping;
};

static inline long
get_link_room(struct thin_link *l)
{
	return atomic_load(&l->limited) ? atomic_load(&l->allowed) :
					  LINK_COPY_MAX;
}

/* Copies up to max bytes; returns their number, 0 when an end has closed. */
static inline long
copy_link_bytes(int from, int to, long max)
{
	char bytes[LINK_COPY_MAX];
	size_t room = (size_t)max < sizeof(bytes) ? (size_t)max : sizeof(bytes);
	ssize_t n = recv(from, bytes, room, 0);

	return n > 0 && send(to, bytes, (size_t)n, MSG_NOSIGNAL) == n ? n : 0;
}

/* Carries one connection until an end closes it. */
static inline void
carry_connection(struct thin_link *l, int client, int server)
{
	struct pollfd p[2] = {{client, POLLIN, 0}, {server, POLLIN, 0}};

	while (!atomic_load(&l->stopping)) {
		long n, room = get_link_room(l);

		p[1].events = room > 0 ? POLLIN : 0;
		p[0].revents = p[1].revents = 0;
		if (poll(p, 2, THIN_LINK_POLL_MS) <= 0)
			continue;
		if (p[0].revents != 0 &&
		    copy_link_bytes(client, server, LINK_COPY_MAX) == 0)
			return;
		room = get_link_room(l); /* may have been limited meanwhile */
		if ((p[1].revents & POLLIN) == 0 || room <= 0)
			continue;
		n = copy_link_bytes(server, client, room);
		if (n == 0)
			return;
		if (atomic_load(&l->limited))
			atomic_fetch_sub(&l->allowed, n);
	}
}

static inline void *
run_thin_link(void *arg)
{
	struct thin_link *l = arg;

	while (!atomic_load(&l->stopping)) {
		struct pollfd p = {l->listener, POLLIN, 0};
		int client, server;

		if (poll(&p, 1, THIN_LINK_POLL_MS) <= 0)
			continue;
		client = accept(l->listener, NULL, NULL);
		server = socket(AF_INET, SOCK_STREAM, 0);
		atomic_fetch_add(&l->connections, 1);
		if (connect(server, (struct sockaddr *)&l->server,
			sizeof(l->server)) == 0)
			carry_connection(l, client, server);
		close(server);
		close(client);
	}
	return NULL;
}

/* server: "IP:port" */
static inline void
open_thin_link(struct thin_link *l, const char *server)
{
	struct sockaddr_in at = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	const char *port = strrchr(server, ':');
	socklen_t len = sizeof(at);

	memset(l, 0, sizeof(*l));
	ck_assert_ptr_nonnull(port);
	l->server = at;
	l->server.sin_port = htons((uint16_t)atoi(port + 1));
	l->listener = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(
	    bind(l->listener, (struct sockaddr *)&at, sizeof(at)), 0);
	ck_assert_int_eq(listen(l->listener, 16), 0);
	ck_assert_int_eq(
	    getsockname(l->listener, (struct sockaddr *)&at, &len), 0);
	snprintf(
	    l->address, sizeof(l->address), "127.0.0.1:%u", ntohs(at.sin_port));
	ck_assert_int_eq(pthread_create(&l->thread, NULL, run_thin_link, l), 0);
}

static inline void
close_thin_link(struct thin_link *l)
{
	atomic_store(&l->stopping, true);
	pthread_join(l->thread, NULL);
	close(l->listener);
}

#endif
