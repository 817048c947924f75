/*
 * Event loop on epoll that other threads can wake, and socket addresses.
 * Internal to the package.
 */
#ifndef RPC_LOOP_H
#define RPC_LOOP_H

#include <sys/epoll.h>
#include <sys/socket.h>

#include "base.h"
#include "rpc.h"

#define RPC_EVENTS_MAX 64 /* per wait_rpc_loop() */
#define RPC_WAIT_MAX_MS 1000 /* longest wait_rpc_loop() */

struct rpc_loop {
	int epoll_fd;
	int wake_fd; /* eventfd that wake_rpc_loop() writes */
};

struct rpc_address {
	struct sockaddr_storage storage;
	socklen_t len;
};

int open_rpc_loop(struct rpc_loop *l);
void close_rpc_loop(struct rpc_loop *l);
void wake_rpc_loop(struct rpc_loop *l); /* from any thread */
int add_rpc_fd(struct rpc_loop *l, int fd, void *arg, bool write);
int modify_rpc_fd(struct rpc_loop *l, int fd, void *arg, bool write);
int wait_rpc_loop(struct rpc_loop *l, struct epoll_event *events,
    int64_t wait_ns); /* number of events; data.ptr NULL: woken */

int parse_rpc_address(const char *text, struct rpc_address *out);
void render_rpc_address(const struct rpc_address *a, char *out, size_t size);
void set_rpc_socket_options(int fd); /* TCP_NODELAY, keep-alive */

#endif
