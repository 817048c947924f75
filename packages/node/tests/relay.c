/*
 * Relay for tests. One thread polls the listener and both sockets of each
 * connection.
 */
#include <arpa/inet.h>
#include <check.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "hop.h"
#include "relay.h"

#define RELAY_CONNECTIONS_MAX 16
#define POLL_MS 5

struct relay {
	int listener;
	char address[32];
	char target[32];
	int conns[RELAY_CONNECTIONS_MAX][2]; /* accepted, opened; -1: closed */
	size_t pairs;
	atomic_bool paused;
	atomic_bool stopped;
	pthread_t thread;
};

static void *run_relay(void *arg);
static void accept_pair(struct relay *r);
static void forward(struct relay *r, size_t pair, int from);
static void close_pair(struct relay *r, size_t pair);

struct relay *
open_relay(const char *target)
{
	struct relay *r = calloc(1, sizeof(*r));
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);

	ck_assert_ptr_nonnull(r);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	r->listener = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(r->listener, (void *)&sin, len), 0);
	ck_assert_int_eq(listen(r->listener, RELAY_CONNECTIONS_MAX), 0);
	ck_assert_int_eq(getsockname(r->listener, (void *)&sin, &len), 0);
	snprintf(r->address, sizeof(r->address), "127.0.0.1:%d",
	    ntohs(sin.sin_port));
	snprintf(r->target, sizeof(r->target), "%s", target);
	ck_assert_int_eq(pthread_create(&r->thread, NULL, run_relay, r), 0);
	return r;
}

void
close_relay(struct relay *r)
{
	atomic_store(&r->stopped, true);
	pthread_join(r->thread, NULL);
	for (size_t i = 0; i < r->pairs; i++)
		close_pair(r, i);
	close(r->listener);
	free(r);
}

void
set_relay_paused(struct relay *r, bool paused)
{
	atomic_store(&r->paused, paused);
}

const char *
get_relay_address(const struct relay *r)
{
	return r->address;
}

static void *
run_relay(void *arg)
{
	struct relay *r = arg;

	while (!atomic_load(&r->stopped)) {
		struct pollfd p[1 + 2 * RELAY_CONNECTIONS_MAX];
		size_t pairs = r->pairs;

		if (atomic_load(&r->paused)) {
			usleep(POLL_MS * 1000);
			continue;
		}
		p[0] = (struct pollfd){.fd = r->listener, .events = POLLIN};
		for (size_t i = 0; i < 2 * pairs; i++)
			p[1 + i] = (struct pollfd){
			    .fd = r->conns[i / 2][i % 2], .events = POLLIN};
		if (poll(p, 1 + 2 * pairs, POLL_MS) <= 0)
			continue;
		for (size_t i = 0; i < 2 * pairs; i++) {
			if (p[1 + i].revents != 0)
				forward(r, i / 2, (int)(i % 2));
		}
		if (p[0].revents != 0)
			accept_pair(r);
	}
	return NULL;
}

static void
accept_pair(struct relay *r)
{
	struct sockaddr_storage sa;
	int in = accept(r->listener, NULL, NULL), out;
	socklen_t len;

	ck_assert_uint_lt(r->pairs, RELAY_CONNECTIONS_MAX);
	ck_assert_int_eq(parse_hop_address(r->target, &sa, &len), 0);
	out = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(out, (void *)&sa, len) != 0) {
		close(in); /* the target has stopped */
		close(out);
		return;
	}
	r->conns[r->pairs][0] = in;
	r->conns[r->pairs][1] = out;
	r->pairs++;
}

/*
 * Forwards available bytes, and closes both sockets when either has closed.
 */
static void
forward(struct relay *r, size_t pair, int from)
{
	char bytes[16384];
	ssize_t n, sent = 0;

	if (r->conns[pair][from] < 0)
		return;
	n = recv(r->conns[pair][from], bytes, sizeof(bytes), 0);
	while (n > 0 && sent < n) {
		ssize_t k = send(r->conns[pair][1 - from], bytes + sent,
		    (size_t)(n - sent), MSG_NOSIGNAL);

		if (k <= 0)
			break;
		sent += k;
	}
	if (n <= 0 || sent < n)
		close_pair(r, pair);
}

static void
close_pair(struct relay *r, size_t pair)
{
	for (int i = 0; i < 2; i++) {
		if (r->conns[pair][i] >= 0)
			close(r->conns[pair][i]);
		r->conns[pair][i] = -1;
	}
}
