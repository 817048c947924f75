/*
 * Test fixture: a simulated clock, a server whose handler delays, echoes or
 * refuses calls, and a client, connected over loopback.
 */
#ifndef RPC_FIXTURE_H
#define RPC_FIXTURE_H

#include <check.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "rpc.h"
#include "wire.h"

#define PENDING_MAX 512 /* WATCH calls per test */
#define WAIT_MAX_MS 20000 /* limit of WAIT_UNTIL() */

static const char fleet_key[] = "fleet key one, 32 bytes of text";
static const char other_fleet_key[] = "fleet key two, 32 bytes of text";

/*
 * The handler keeps WATCH calls pending until the test completes them, echoes
 * PROPOSE, blocks in ENDPOINT_SYNC while block_sync is set, completes CLAIM
 * with the error number -args[0], and answers READ_INDEX with more than its
 * max_reply.
 */
struct fixture {
	_Atomic int64_t now; /* simulated clock, ns */
	struct rpc_server *server;
	struct rpc_client *client;
	struct rpc_peer *peer;
	pthread_mutex_t lock; /* protects the next six members */
	struct rpc_reply *pending[PENDING_MAX];
	char pending_args[PENDING_MAX][16];
	uint64_t pending_conn[PENDING_MAX];
	int pending_count;
	int closed_count; /* on_close calls */
	uint64_t closed_conn;
	atomic_int running_handlers;
	atomic_bool block_sync; /* ENDPOINT_SYNC waits while it is set */
	/* Fault of all messages on connections up to last_faulty_conn. */
	_Atomic enum rpc_fault_kind call_fault, reply_fault;
	atomic_int delay_ms;
	_Atomic uint64_t last_faulty_conn; /* 0: all connections */
	atomic_int send_count; /* on_send calls */
	atomic_bool refuse_connect;
};

/* A call whose result the test reads. */
struct fixture_call {
	struct fixture *fixture;
	atomic_int done_count; /* runs of the callback */
	int status;
	char body[64];
	size_t body_len;
};

static inline int64_t
read_fixture_clock(void *arg)
{
	return atomic_load(&((struct fixture *)arg)->now);
}

static inline struct clock_source
get_fixture_clock(struct fixture *fx)
{
	return (struct clock_source){
	    read_fixture_clock, read_fixture_clock, fx};
}

static inline void
advance_fixture_clock(struct fixture *fx, int64_t ms)
{
	atomic_fetch_add(&fx->now, ms * NSEC_PER_MSEC);
	if (fx->server != NULL)
		wake_rpc_server(fx->server);
	if (fx->client != NULL)
		wake_rpc_client(fx->client);
}

static inline void
sleep_1ms(void)
{
	struct timespec step = {0, 1000000};

	nanosleep(&step, NULL);
}

/* Polls a condition; fails the test when it stays false for WAIT_MAX_MS. */
#define WAIT_UNTIL(cond)                                 \
	do {                                             \
		int attempts_left = WAIT_MAX_MS;         \
		while (!(cond) && attempts_left-- > 0)   \
			sleep_1ms();                     \
		ck_assert_msg(cond, "unmet: %s", #cond); \
	} while (0)

static inline void
handle_fixture_call(
    void *arg, const struct rpc_request *req, struct rpc_reply *reply)
{
	struct fixture *fx = arg;
	char big[2048] = {0};

	atomic_fetch_add(&fx->running_handlers, 1);
	switch (req->proc) {
	case GGS_WATCH:
		pthread_mutex_lock(&fx->lock);
		ck_assert_int_lt(fx->pending_count, PENDING_MAX);
		(void)copy_str(
		    fx->pending_args[fx->pending_count], 16, req->args);
		fx->pending_conn[fx->pending_count] = req->conn;
		fx->pending[fx->pending_count++] = reply;
		pthread_mutex_unlock(&fx->lock);
		break;
	case GGS_ENDPOINT_SYNC:
		while (atomic_load(&fx->block_sync))
			sleep_1ms();
		complete_rpc(reply, 0, req->args);
		break;
	case GGS_CLAIM:
		complete_rpc(reply, -req->args.data[0], req->args);
		break;
	case GGS_READ_INDEX:
		complete_rpc(reply, 0, make_str_n(big, sizeof(big)));
		break;
	default:
		complete_rpc(reply, 0, req->args);
		break;
	}
	atomic_fetch_sub(&fx->running_handlers, 1);
}

static inline void
record_conn_close(void *arg, uint64_t conn)
{
	struct fixture *fx = arg;

	pthread_mutex_lock(&fx->lock);
	fx->closed_count++;
	fx->closed_conn = conn;
	pthread_mutex_unlock(&fx->lock);
}

static inline int
count_pending(struct fixture *fx)
{
	int n;

	pthread_mutex_lock(&fx->lock);
	n = fx->pending_count;
	pthread_mutex_unlock(&fx->lock);
	return n;
}

static inline int
count_closed(struct fixture *fx)
{
	int n;

	pthread_mutex_lock(&fx->lock);
	n = fx->closed_count;
	pthread_mutex_unlock(&fx->lock);
	return n;
}

/* Completes pending call i with its own arguments as the body. */
static inline void
complete_pending(struct fixture *fx, int i)
{
	struct rpc_reply *reply;

	pthread_mutex_lock(&fx->lock);
	reply = fx->pending[i];
	fx->pending[i] = NULL;
	pthread_mutex_unlock(&fx->lock);
	complete_rpc(reply, 0, make_str(fx->pending_args[i]));
}

static inline void
complete_all_pending(struct fixture *fx)
{
	for (int i = 0; i < fx->pending_count; i++) {
		if (fx->pending[i] != NULL)
			complete_pending(fx, i);
	}
}

/* The on_send hook. */
static inline struct rpc_fault
apply_message_fault(void *arg, const struct rpc_message_info *info)
{
	struct fixture *fx = arg;
	struct rpc_fault f = {RPC_FAULT_PASS, atomic_load(&fx->delay_ms)};
	uint64_t max = atomic_load(&fx->last_faulty_conn);

	if (max == 0 || info->conn <= max)
		f.kind = info->is_reply ? atomic_load(&fx->reply_fault) :
					  atomic_load(&fx->call_fault);
	atomic_fetch_add(&fx->send_count, 1);
	return f;
}

static inline bool
allow_connect(void *arg, const char *address)
{
	(void)address;
	return !atomic_load(&((struct fixture *)arg)->refuse_connect);
}

static inline struct rpc_fault_hooks
get_fixture_hooks(struct fixture *fx)
{
	return (struct rpc_fault_hooks){apply_message_fault, allow_connect, fx};
}

/* cfg may set limits, address and key; the fixture sets the rest. */
static inline void
open_fixture_server(struct fixture *fx, struct rpc_server_config cfg)
{
	struct rpc_fault_hooks hooks = get_fixture_hooks(fx);
	struct fault f = {0};

	cfg.clock = get_fixture_clock(fx);
	if (cfg.address == NULL)
		cfg.address = "127.0.0.1:0";
	if (cfg.key.len == 0)
		cfg.key = make_str(fleet_key);
	cfg.handler = handle_fixture_call;
	cfg.on_close = record_conn_close;
	cfg.arg = fx;
	cfg.hooks = &hooks;
	ck_assert_msg(
	    start_rpc_server(&cfg, &fx->server, &f) == 0, "%s", f.text);
}

static inline void
open_fixture_client(struct fixture *fx, struct rpc_client_config cfg)
{
	struct rpc_fault_hooks hooks = get_fixture_hooks(fx);
	struct fault f = {0};

	cfg.clock = get_fixture_clock(fx);
	if (cfg.key.len == 0)
		cfg.key = make_str(fleet_key);
	cfg.hooks = &hooks;
	ck_assert_int_eq(open_rpc_client(&cfg, &fx->client, &f), 0);
	ck_assert_int_eq(open_rpc_peer(fx->client,
			     get_rpc_server_address(fx->server), &fx->peer, &f),
	    0);
}

static inline void
init_fixture(struct fixture *fx)
{
	memset(fx, 0, sizeof(*fx));
	pthread_mutex_init(&fx->lock, NULL);
	atomic_store(&fx->now, 1000 * NSEC_PER_SEC);
}

static inline void
close_fixture(struct fixture *fx)
{
	close_rpc_client(fx->client);
	stop_rpc_server(fx->server);
	complete_all_pending(fx);
	ck_assert_int_eq(atomic_load(&fx->running_handlers), 0);
	pthread_mutex_destroy(&fx->lock);
}

static inline void
record_result(void *arg, const struct rpc_result *result)
{
	struct fixture_call *c = arg;

	c->status = result->status;
	c->body_len = result->body.len;
	(void)copy_str(c->body, sizeof(c->body), result->body);
	atomic_fetch_add(&c->done_count, 1);
}

static inline void
start_call(struct fixture *fx, struct fixture_call *c, uint32_t proc,
    const char *args, int timeout_ms)
{
	*c = (struct fixture_call){.fixture = fx};
	ck_assert_int_eq(call_rpc(fx->peer, proc, make_str(args), timeout_ms,
			     record_result, c),
	    0);
}

/* Waits for the callback, which must run once with this status. */
static inline void
await_call(struct fixture_call *c, int want)
{
	WAIT_UNTIL(atomic_load(&c->done_count) > 0);
	ck_assert_int_eq(atomic_load(&c->done_count), 1);
	ck_assert_msg(c->status == want, "status %s, want %s",
	    get_err_name(c->status), get_err_name(want));
}

/* A call that must work, to show that the system recovered. */
static inline void
check_call_succeeds(struct fixture *fx)
{
	struct buf body = {0};

	ck_assert_int_eq(
	    call_rpc_wait(fx->peer, GGS_PROPOSE, make_str("ok?"), 5000, &body),
	    0);
	ck_assert(is_str_equal(view_buf(&body), make_str("ok?")));
	unload_buf(&body);
}

#endif
