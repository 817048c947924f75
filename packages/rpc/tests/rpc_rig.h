/*
 * Test rig: a clock that the test moves, a server whose handler holds, echoes
 * or refuses, and a client, all on loopback.
 */
#ifndef RPC_RIG_H
#define RPC_RIG_H

#include <check.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "rpc.h"
#include "wire.h"

#define RIG_HELD_MAX 512
#define RIG_WAIT_MS 20000 /* a state that takes longer never comes */

static const char rig_key[] = "fleet key one, 32 bytes of text";
static const char rig_key_two[] = "fleet key two, 32 bytes of text";

/*
 * The handler holds WATCH calls until the test completes them, echoes PROPOSE,
 * blocks in ENDPOINT_SYNC while the test wants it,
 * refuses CLAIM with the status whose negative its first byte holds, and
 * answers READ_INDEX with more than its max_reply.
 */
struct rig {
	_Atomic int64_t now;
	struct rpc_server *server;
	struct rpc_client *client;
	struct rpc_peer *peer;
	pthread_mutex_t lock;
	struct rpc_reply *held[RIG_HELD_MAX];
	char held_args[RIG_HELD_MAX][16];
	uint64_t held_conn[RIG_HELD_MAX];
	int held_count;
	int closed_count; /* on_close calls */
	uint64_t closed_conn;
	atomic_int running; /* handlers */
	atomic_bool block; /* handlers of ENDPOINT_SYNC wait while it is set */
	/* What on_send does, by direction; conn_max bounds it. */
	_Atomic enum rpc_fault_kind call_fault, reply_fault;
	atomic_int delay_ms;
	_Atomic uint64_t fault_conn_max; /* 0: all connections */
	atomic_int sends; /* on_send calls */
	atomic_bool refuse_connect;
};

/* A call whose result the test reads. */
struct rig_call {
	struct rig *rig;
	atomic_int done; /* times the callback ran */
	int status;
	char body[64];
	size_t body_len;
};

static inline int64_t
read_rig_clock(void *arg)
{
	return atomic_load(&((struct rig *)arg)->now);
}

static inline struct clock_source
get_rig_clock(struct rig *r)
{
	return (struct clock_source){read_rig_clock, read_rig_clock, r};
}

static inline void
advance_rig(struct rig *r, int64_t ms)
{
	atomic_fetch_add(&r->now, ms * NSEC_PER_MSEC);
	if (r->server != NULL)
		wake_rpc_server(r->server);
	if (r->client != NULL)
		wake_rpc_client(r->client);
}

static inline void
pause_rig(void)
{
	struct timespec step = {0, 1000000};

	nanosleep(&step, NULL);
}

/* Polls a condition; the test fails when it does not come true. */
#define RIG_UNTIL(cond)                                  \
	do {                                             \
		int rig_left = RIG_WAIT_MS;              \
		while (!(cond) && rig_left-- > 0)        \
			pause_rig();                     \
		ck_assert_msg(cond, "never: %s", #cond); \
	} while (0)

static inline void
handle_rig_call(
    void *arg, const struct rpc_request *req, struct rpc_reply *reply)
{
	struct rig *r = arg;
	char big[2048] = {0};

	atomic_fetch_add(&r->running, 1);
	switch (req->proc) {
	case GGS_WATCH:
		pthread_mutex_lock(&r->lock);
		ck_assert_int_lt(r->held_count, RIG_HELD_MAX);
		(void)copy_str(r->held_args[r->held_count], 16, req->args);
		r->held_conn[r->held_count] = req->conn;
		r->held[r->held_count++] = reply;
		pthread_mutex_unlock(&r->lock);
		break;
	case GGS_ENDPOINT_SYNC:
		while (atomic_load(&r->block))
			pause_rig();
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
	atomic_fetch_sub(&r->running, 1);
}

static inline void
close_rig_conn(void *arg, uint64_t conn)
{
	struct rig *r = arg;

	pthread_mutex_lock(&r->lock);
	r->closed_count++;
	r->closed_conn = conn;
	pthread_mutex_unlock(&r->lock);
}

static inline int
count_rig_held(struct rig *r)
{
	int n;

	pthread_mutex_lock(&r->lock);
	n = r->held_count;
	pthread_mutex_unlock(&r->lock);
	return n;
}

static inline int
count_rig_closed(struct rig *r)
{
	int n;

	pthread_mutex_lock(&r->lock);
	n = r->closed_count;
	pthread_mutex_unlock(&r->lock);
	return n;
}

/* Completes the held call i; its body is that of the call. */
static inline void
complete_rig(struct rig *r, int i)
{
	struct rpc_reply *reply;

	pthread_mutex_lock(&r->lock);
	reply = r->held[i];
	r->held[i] = NULL;
	pthread_mutex_unlock(&r->lock);
	complete_rpc(reply, 0, make_str(r->held_args[i]));
}

static inline void
complete_rig_rest(struct rig *r)
{
	for (int i = 0; i < r->held_count; i++) {
		if (r->held[i] != NULL)
			complete_rig(r, i);
	}
}

static inline struct rpc_fault
fault_rig_message(void *arg, const struct rpc_message_info *info)
{
	struct rig *r = arg;
	struct rpc_fault f = {RPC_FAULT_PASS, atomic_load(&r->delay_ms)};
	uint64_t max = atomic_load(&r->fault_conn_max);

	if (max == 0 || info->conn <= max)
		f.kind = info->is_reply ? atomic_load(&r->reply_fault) :
					  atomic_load(&r->call_fault);
	atomic_fetch_add(&r->sends, 1);
	return f;
}

static inline bool
allow_rig_connect(void *arg, const char *address)
{
	(void)address;
	return !atomic_load(&((struct rig *)arg)->refuse_connect);
}

static inline struct rpc_fault_hooks
get_rig_hooks(struct rig *r)
{
	return (struct rpc_fault_hooks){
	    fault_rig_message, allow_rig_connect, r};
}

/* cfg may hold limits; the rig fills in the rest. */
static inline void
open_rig_server(struct rig *r, struct rpc_server_config cfg)
{
	struct rpc_fault_hooks hooks = get_rig_hooks(r);
	struct fault f = {0};

	cfg.clock = get_rig_clock(r);
	if (cfg.address == NULL)
		cfg.address = "127.0.0.1:0";
	if (cfg.key.len == 0)
		cfg.key = make_str(rig_key);
	cfg.handler = handle_rig_call;
	cfg.on_close = close_rig_conn;
	cfg.arg = r;
	cfg.hooks = &hooks;
	ck_assert_msg(
	    start_rpc_server(&cfg, &r->server, &f) == 0, "%s", f.text);
}

static inline void
open_rig_client(struct rig *r, struct rpc_client_config cfg)
{
	struct rpc_fault_hooks hooks = get_rig_hooks(r);
	struct fault f = {0};

	cfg.clock = get_rig_clock(r);
	if (cfg.key.len == 0)
		cfg.key = make_str(rig_key);
	cfg.hooks = &hooks;
	ck_assert_int_eq(open_rpc_client(&cfg, &r->client, &f), 0);
	ck_assert_int_eq(open_rpc_peer(r->client,
			     get_rpc_server_address(r->server), &r->peer, &f),
	    0);
}

static inline void
open_rig(struct rig *r)
{
	memset(r, 0, sizeof(*r));
	pthread_mutex_init(&r->lock, NULL);
	atomic_store(&r->now, 1000 * NSEC_PER_SEC);
}

static inline void
close_rig(struct rig *r)
{
	close_rpc_client(r->client);
	stop_rpc_server(r->server);
	complete_rig_rest(r);
	ck_assert_int_eq(atomic_load(&r->running), 0);
	pthread_mutex_destroy(&r->lock);
}

static inline void
end_rig_call(void *arg, const struct rpc_result *result)
{
	struct rig_call *c = arg;

	c->status = result->status;
	c->body_len = result->body.len;
	(void)copy_str(c->body, sizeof(c->body), result->body);
	atomic_fetch_add(&c->done, 1);
}

static inline void
start_rig_call(struct rig *r, struct rig_call *c, uint32_t proc,
    const char *args, int timeout_ms)
{
	*c = (struct rig_call){.rig = r};
	ck_assert_int_eq(call_rpc(r->peer, proc, make_str(args), timeout_ms,
			     end_rig_call, c),
	    0);
}

static inline void
await_rig_call(struct rig_call *c, int want)
{
	RIG_UNTIL(atomic_load(&c->done) > 0);
	ck_assert_int_eq(atomic_load(&c->done), 1);
	ck_assert_msg(c->status == want, "status %s, want %s",
	    get_err_name(c->status), get_err_name(want));
}

/* A call that must work, to show that the system recovered. */
static inline void
check_rig_works(struct rig *r)
{
	struct buf body = {0};

	ck_assert_int_eq(
	    call_rpc_wait(r->peer, GGS_PROPOSE, make_str("ok?"), 5000, &body),
	    0);
	ck_assert(is_str_equal(view_buf(&body), make_str("ok?")));
	unload_buf(&body);
}

#endif
