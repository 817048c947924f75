/*
 * Test rig: control processes whose answers the test chooses, an agent, and a
 * clock that the test moves.
 */
#ifndef AGENT_RIG_H
#define AGENT_RIG_H

#include <check.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "agent.h"
#include "rpc.h"

#define RIG_CONTROLS 5
#define RIG_SEEN_MAX 256 /* watches and claims remembered a control */
#define RIG_WAIT_MS 20000 /* a state that takes longer never comes */

#ifdef __SANITIZE_THREAD__
/*
 * libtirpc's xdr_opaque() writes the padding of every decoded message to one
 * static buffer that nothing reads.
 */
const char *__tsan_default_suppressions(void);
const char *
__tsan_default_suppressions(void)
{
	return "called_from_lib:libtirpc.so\n";
}
#endif

static const char rig_key[] = "fleet key one, 32 bytes of text";
static const char rig_header[] =
    "kind,service,rank,weight,floor_pct,limit_pct,target_ms,deadline_ms,"
    "queue_max,retries,retry_pct,hedge_ms,repeat,keep_s,body_max_kb,drain_s\n";

/* How a control process answers watches. */
enum rig_mode {
	RIG_SERVE, /* what is newer, else holds */
	RIG_HOLD, /* holds everything */
	RIG_STALE,
	RIG_LIMIT,
	RIG_LOWER, /* a whole table below the one held */
	RIG_BAD_DIGEST, /* a delta with a wrong digest; a whole table is right */
	RIG_BAD_ROW, /* a whole table with an invalid row */
	RIG_BAD_BASE, /* a delta from a base that the node never held */
	RIG_GARBAGE, /* bytes that are no reply */
};

/* How it answers claims. */
enum rig_claims {
	RIG_GRANT,
	RIG_LOSE, /* never answers */
	RIG_NO_QUORUM,
	RIG_HELD, /* ran, with a stored answer */
};

struct rig_watch {
	uint64_t held, refused, registry, conn;
	int wait_ms, interest_count;
	uint64_t set_version; /* of the first service */
	bool has_self;
	uint64_t self_seq, incarnation;
	int self_state;
};

struct rig_claim {
	unsigned char id[WIRE_CLAIM_ID_BYTES];
	int state;
	uint64_t incarnation;
};

struct rig;

struct rig_control {
	struct rig *rig;
	struct rpc_server *server;
	char address[64];
	uint64_t registry;
	_Atomic enum rig_mode mode;
	_Atomic enum rig_claims claims;
	struct rig_watch seen[RIG_SEEN_MAX];
	int seen_count;
	struct rpc_reply *held[RIG_SEEN_MAX];
	int held_count;
	struct rig_claim claimed[RIG_SEEN_MAX];
	int claim_count;
	int tables_sent;
};

struct rig {
	_Atomic int64_t now;
	pthread_mutex_t lock;
	struct rig_control controls[RIG_CONTROLS];
	int control_count;
	int weight; /* of the only row: what changes between versions */
	uint64_t version; /* at the control processes; 0: none */
	uint64_t set_version;
	struct agent *agent;
	_Atomic enum rpc_fault_kind reply_fault;
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
	if (r->agent != NULL)
		wake_agent(r->agent);
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

/*
 * The same while the clock moves by 10 ms a step, up to 60 s. A busy machine
 * may delay a reply by many steps, so no timeout under test may be close.
 */
#define RIG_ADVANCE_UNTIL(rig, cond)                     \
	do {                                             \
		int rig_left = 6000;                     \
		while (!(cond) && rig_left-- > 0) {      \
			advance_rig(rig, 10);            \
			pause_rig();                     \
		}                                        \
		ck_assert_msg(cond, "never: %s", #cond); \
	} while (0)

static inline struct table *
make_rig_table(int weight, uint64_t version, const char *rank)
{
	struct buf csv = {0};
	struct table *t = NULL;
	struct fault f;

	ck_assert_int_eq(append_buf_fmt(&csv,
			     "%sread,svc,%s,%d,10,100,100,1000,10,0,10,0,yes,"
			     "60,64,10\n",
			     rig_header, rank, weight),
	    0);
	ck_assert_int_eq(load_table_csv(view_buf(&csv), version, &t, &f), 0);
	unload_buf(&csv);
	return t;
}

static inline void
send_rig_watch(struct rpc_reply *reply, struct wire_watch_reply *w)
{
	struct buf out = {0};

	ck_assert_int_eq(
	    encode_wire((xdrproc_t)xdr_wire_watch_reply, w, &out), 0);
	complete_rpc(reply, 0, view_buf(&out));
	unload_buf(&out);
}

/* Fills the table of a reply; body backs it. */
static inline void
fill_rig_table(struct rig_control *c, uint64_t held,
    struct wire_table_update *u, struct buf *body)
{
	struct rig *r = c->rig;
	enum rig_mode mode = atomic_load(&c->mode);
	struct table *t = make_rig_table(r->weight, r->version, "1");
	bool delta;

	c->tables_sent++;
	delta = held != 0 && mode != RIG_BAD_ROW && mode != RIG_LOWER;

	u->table_version = mode == RIG_LOWER ? held - 1 : r->version;
	u->digest = t->digest + (mode == RIG_BAD_DIGEST && delta);
	u->form = delta ? WIRE_TABLE_DELTA : WIRE_TABLE_WHOLE;
	u->base = mode == RIG_BAD_BASE ? held + 7 : held;
	if (delta)
		ck_assert_int_eq(
		    append_buf_fmt(body, "read,weight,%d\n", r->weight), 0);
	else if (mode == RIG_BAD_ROW)
		ck_assert_int_eq(append_buf_fmt(body,
				     "%sread,svc,99,1,10,100,100,1000,10,0,10,"
				     "0,yes,60,64,10\n",
				     rig_header),
		    0);
	else
		ck_assert_int_eq(render_table_csv(t, body), 0);
	u->body.body_val = body->data;
	u->body.body_len = (unsigned int)body->len;
	unload_table(t);
}

static inline void
answer_rig_watch(struct rig_control *c, const struct wire_watch_args *args,
    struct rpc_reply *reply)
{
	static const char id[] = "n1", address[] = "127.0.0.1:99";
	enum rig_mode mode = atomic_load(&c->mode);
	struct wire_watch_reply w = {.registry_id = c->registry};
	struct wire_endpoint_set set = {0};
	struct wire_endpoint e = {.id = (char *)(uintptr_t)id,
	    .incarnation = 1,
	    .seq = 1,
	    .address = (char *)(uintptr_t)address,
	    .zone = (char *)(uintptr_t) "z",
	    .instance = (char *)(uintptr_t) "",
	    .backend = (char *)(uintptr_t) "",
	    .slots = 1,
	    .state = WIRE_ENDPOINT_READY};
	const struct wire_interest *i = args->interest.interest_val;
	struct buf body = {0};
	bool news = false;

	w.status = mode == RIG_STALE ? WIRE_STALE :
		   mode == RIG_LIMIT ? WIRE_LIMIT :
				       WIRE_OK;
	w.retry_ms = 200;
	if (w.status != WIRE_OK) {
		send_rig_watch(reply, &w);
		return;
	}
	if (mode == RIG_GARBAGE) {
		complete_rpc(reply, 0, make_str("no reply"));
		return;
	}
	if (mode != RIG_HOLD && c->rig->version != 0 &&
	    args->refused_version != c->rig->version &&
	    (args->held_version < c->rig->version || mode == RIG_LOWER)) {
		fill_rig_table(c, args->held_version, &w.table, &body);
		news = true;
	}
	if (mode != RIG_HOLD && args->interest.interest_len > 0 &&
	    (args->registry_id != c->registry ||
		i->set_version < c->rig->set_version)) {
		e.service = i->service;
		set.service = i->service;
		set.set_version = c->rig->set_version;
		set.whole = true;
		set.endpoints.endpoints_len = 1;
		set.endpoints.endpoints_val = &e;
		w.sets.sets_len = 1;
		w.sets.sets_val = &set;
		news = true;
	}
	if (news || args->wait_ms == 0)
		send_rig_watch(reply, &w);
	else
		c->held[c->held_count++] = reply;
	unload_buf(&body);
}

static inline void
handle_rig_watch(struct rig_control *c, const struct rpc_request *req,
    struct rpc_reply *reply)
{
	struct wire_watch_args args = {0};
	struct rig_watch *s;

	ck_assert_int_eq(
	    decode_wire((xdrproc_t)xdr_wire_watch_args, req->args, &args), 0);
	pthread_mutex_lock(&c->rig->lock);
	ck_assert_int_lt(c->seen_count, RIG_SEEN_MAX);
	s = &c->seen[c->seen_count++];
	*s = (struct rig_watch){.held = args.held_version,
	    .refused = args.refused_version,
	    .registry = args.registry_id,
	    .conn = req->conn,
	    .wait_ms = args.wait_ms,
	    .interest_count = (int)args.interest.interest_len,
	    .has_self = args.self != NULL};
	if (s->interest_count > 0)
		s->set_version = args.interest.interest_val[0].set_version;
	if (args.self != NULL) {
		s->self_seq = args.self->seq;
		s->incarnation = args.self->incarnation;
		s->self_state = (int)args.self->state;
	}
	answer_rig_watch(c, &args, reply);
	pthread_mutex_unlock(&c->rig->lock);
	unload_wire((xdrproc_t)xdr_wire_watch_args, &args);
}

static inline void
handle_rig_claim(struct rig_control *c, const struct rpc_request *req,
    struct rpc_reply *reply)
{
	struct wire_claim_args args = {0};
	struct wire_claim_reply out = {0};
	struct buf body = {0};

	ck_assert_int_eq(
	    decode_wire((xdrproc_t)xdr_wire_claim_args, req->args, &args), 0);
	pthread_mutex_lock(&c->rig->lock);
	ck_assert_int_lt(c->claim_count, RIG_SEEN_MAX);
	memcpy(c->claimed[c->claim_count].id, args.claim_id,
	    sizeof(args.claim_id));
	c->claimed[c->claim_count].state = (int)args.state;
	c->claimed[c->claim_count++].incarnation = args.incarnation;
	out.holder = (char *)(uintptr_t) "";
	switch (atomic_load(&c->claims)) {
	case RIG_LOSE:
		c->held[c->held_count++] = reply;
		reply = NULL;
		break;
	case RIG_NO_QUORUM:
		out.status = WIRE_UNAVAILABLE;
		break;
	case RIG_HELD:
		out.status = WIRE_CONFLICT;
		out.state = WIRE_CLAIM_RAN;
		out.http_status = 201;
		out.answer.answer_val = (char *)(uintptr_t) "paid";
		out.answer.answer_len = 4;
		out.answer_whole = true;
		break;
	case RIG_GRANT:
		out.state = args.state;
		break;
	}
	if (reply != NULL) {
		ck_assert_int_eq(
		    encode_wire((xdrproc_t)xdr_wire_claim_reply, &out, &body),
		    0);
		complete_rpc(reply, 0, view_buf(&body));
	}
	pthread_mutex_unlock(&c->rig->lock);
	unload_buf(&body);
	unload_wire((xdrproc_t)xdr_wire_claim_args, &args);
}

static inline void
handle_rig_call(
    void *arg, const struct rpc_request *req, struct rpc_reply *reply)
{
	if (req->proc == GGS_WATCH)
		handle_rig_watch(arg, req, reply);
	else
		handle_rig_claim(arg, req, reply);
}

static inline struct rpc_fault
fault_rig_reply(void *arg, const struct rpc_message_info *info)
{
	struct rig_control *c = arg;
	struct rpc_fault f = {RPC_FAULT_PASS, 0};

	if (info->is_reply)
		f.kind = atomic_load(&c->rig->reply_fault);
	return f;
}

/* Starts control process i at its earlier address, or at a free port. */
static inline void
start_rig_control(struct rig *r, int i)
{
	struct rig_control *c = &r->controls[i];
	struct rpc_fault_hooks hooks = {fault_rig_reply, NULL, c};
	struct rpc_server_config cfg = {.clock = get_rig_clock(r),
	    .address = c->address[0] != '\0' ? c->address : "127.0.0.1:0",
	    .key = make_str(rig_key),
	    .handler = handle_rig_call,
	    .arg = c,
	    .hooks = &hooks};
	struct fault f = {0};

	c->rig = r;
	c->registry = (uint64_t)i + 100;
	ck_assert_msg(
	    start_rpc_server(&cfg, &c->server, &f) == 0, "%s", f.text);
	snprintf(c->address, sizeof(c->address), "%s",
	    get_rpc_server_address(c->server));
}

static inline void
stop_rig_control(struct rig *r, int i)
{
	struct rig_control *c = &r->controls[i];
	int n;

	stop_rpc_server(c->server);
	c->server = NULL;
	pthread_mutex_lock(&r->lock);
	n = c->held_count;
	c->held_count = 0;
	pthread_mutex_unlock(&r->lock);
	for (int k = 0; k < n; k++)
		complete_rpc(c->held[k], 0, make_str(""));
}

static inline void
open_rig(struct rig *r, int controls)
{
	memset(r, 0, sizeof(*r));
	pthread_mutex_init(&r->lock, NULL);
	atomic_store(&r->now, 1000 * NSEC_PER_SEC);
	r->weight = 10;
	r->version = 5;
	r->set_version = 3;
	r->control_count = controls;
	for (int i = 0; i < controls; i++)
		start_rig_control(r, i);
}

/* Control 0 is in the node's availability zone, so it is tried first. */
static inline void
start_rig_agent(struct rig *r, const char *interest)
{
	struct agent_config cfg = {.clock = get_rig_clock(r),
	    .node = "node-1",
	    .zone = "near",
	    .control_count = (size_t)r->control_count,
	    .key = make_str(rig_key),
	    .seed = 3,
	    .connect_ms = 10000};
	struct fault f = {0};

	for (int i = 0; i < r->control_count; i++) {
		cfg.controls[i] = r->controls[i].address;
		cfg.control_zones[i] = i == 0 ? "near" : "far";
	}
	if (interest != NULL) {
		cfg.interest[0] = interest;
		cfg.interest_count = 1;
	}
	ck_assert_msg(start_agent(&cfg, &r->agent, &f) == 0, "%s", f.text);
}

static inline void
close_rig(struct rig *r)
{
	stop_agent(r->agent);
	for (int i = 0; i < r->control_count; i++) {
		if (r->controls[i].server != NULL)
			stop_rig_control(r, i);
	}
	pthread_mutex_destroy(&r->lock);
}

/* A new version; watches held by control i are answered with it. */
static inline void
change_rig(struct rig *r, int i, int weight)
{
	struct rig_control *c = &r->controls[i];

	pthread_mutex_lock(&r->lock);
	r->weight = weight;
	r->version++;
	for (int k = 0; k < c->held_count; k++) {
		struct wire_watch_reply w = {.registry_id = c->registry};
		struct buf body = {0};

		fill_rig_table(c, r->version - 1, &w.table, &body);
		send_rig_watch(c->held[k], &w);
		unload_buf(&body);
	}
	c->held_count = 0;
	pthread_mutex_unlock(&r->lock);
}

/* The heartbeat of control i: held watches are answered without news. */
static inline void
beat_rig(struct rig *r, int i)
{
	struct rig_control *c = &r->controls[i];

	pthread_mutex_lock(&r->lock);
	for (int k = 0; k < c->held_count; k++) {
		struct wire_watch_reply w = {.registry_id = c->registry};

		send_rig_watch(c->held[k], &w);
	}
	c->held_count = 0;
	pthread_mutex_unlock(&r->lock);
}

static inline uint64_t
get_rig_version(struct rig *r)
{
	const struct table *t = acquire_table(r->agent);
	uint64_t v = t != NULL ? t->version : 0;

	release_table(r->agent, t);
	return v;
}

static inline int
count_rig_seen(struct rig *r, int i)
{
	int n;

	pthread_mutex_lock(&r->lock);
	n = r->controls[i].seen_count;
	pthread_mutex_unlock(&r->lock);
	return n;
}

static inline int
count_rig_claims(struct rig *r, int i)
{
	int n;

	pthread_mutex_lock(&r->lock);
	n = r->controls[i].claim_count;
	pthread_mutex_unlock(&r->lock);
	return n;
}

/* Tables and deltas that all control processes sent. */
static inline int
count_rig_tables(struct rig *r)
{
	int n = 0;

	pthread_mutex_lock(&r->lock);
	for (int i = 0; i < r->control_count; i++)
		n += r->controls[i].tables_sent;
	pthread_mutex_unlock(&r->lock);
	return n;
}

/* The watch that control i saw last. */
static inline struct rig_watch
get_rig_seen(struct rig *r, int i)
{
	struct rig_watch w = {0};

	pthread_mutex_lock(&r->lock);
	if (r->controls[i].seen_count > 0)
		w = r->controls[i].seen[r->controls[i].seen_count - 1];
	pthread_mutex_unlock(&r->lock);
	return w;
}

#endif
