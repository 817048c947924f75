/*
 * Test fixture: control processes whose replies the test chooses, an agent, and
 * a clock that the test moves.
 */
#ifndef AGENT_FIXTURE_H
#define AGENT_FIXTURE_H

#include <check.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "agent.h"
#include "rpc.h"

#define CONTROLS_MAX 5
#define SEEN_MAX 256 /* watches and claims recorded per control process */
#define WAIT_MAX_MS 20000 /* then WAIT_UNTIL() fails */

#ifdef __SANITIZE_THREAD__
/*
 * libtirpc's xdr_opaque() writes the padding of every decoded message to one
 * static buffer that is never read: a harmless data race.
 */
const char *__tsan_default_suppressions(void);
const char *
__tsan_default_suppressions(void)
{
	return "called_from_lib:libtirpc.so\n";
}
#endif

static const char fleet_key[] = "fleet key one, 32 bytes of text";
static const char table_header[] =
    "kind,service,rank,weight,floor_pct,limit_pct,target_ms,deadline_ms,"
    "queue_max,retries,retry_pct,hedge_ms,repeat,keep_s,body_max_kb,drain_s\n";

/* How a control process answers watches. */
enum fake_watch_mode {
	WATCH_MODE_SERVE, /* sends what is newer, else leaves it pending */
	WATCH_MODE_PENDING, /* leaves every watch pending */
	WATCH_MODE_STALE, /* WIRE_STALE */
	WATCH_MODE_LIMIT, /* WIRE_LIMIT */
	WATCH_MODE_LOWER, /* a full table below the node's version */
	WATCH_MODE_BAD_DIGEST, /* a wrong digest, in deltas only */
	WATCH_MODE_BAD_ROW, /* a full table with an invalid row */
	WATCH_MODE_BAD_BASE, /* a delta from a base that the node never had */
	WATCH_MODE_GARBAGE, /* bytes that cannot be decoded */
};

/* How a control process answers claims. */
enum fake_claim_mode {
	CLAIM_MODE_GRANT,
	CLAIM_MODE_NO_REPLY, /* never answers */
	CLAIM_MODE_NO_QUORUM,
	CLAIM_MODE_CONFLICT, /* the call ran, with a stored answer */
};

/* The arguments of a received watch. */
struct seen_watch {
	uint64_t table_version, refused, registry, conn;
	int wait_ms, interest_count;
	uint64_t set_version; /* of the first service */
	bool has_self;
	uint64_t self_seq, incarnation;
	int self_state;
};

/* The arguments of a received claim. */
struct seen_claim {
	unsigned char id[WIRE_CLAIM_ID_BYTES];
	int state;
	uint64_t incarnation;
};

struct fixture;

struct fake_control {
	struct fixture *fixture;
	struct rpc_server *server;
	char address[64];
	uint64_t registry;
	_Atomic enum fake_watch_mode watch_mode;
	_Atomic enum fake_claim_mode claim_mode;
	atomic_bool old_build; /* knows no packed replies */
	struct seen_watch watches[SEEN_MAX];
	int watch_count;
	struct rpc_reply *pending[SEEN_MAX]; /* calls without a reply */
	int pending_count;
	struct seen_claim claims[SEEN_MAX];
	int claim_count;
	int tables_sent; /* full tables and deltas */
};

struct fixture {
	_Atomic int64_t now; /* of the paused clock, ns */
	pthread_mutex_t lock; /* of the members below and of controls */
	struct fake_control controls[CONTROLS_MAX];
	int control_count;
	int weight; /* of the only row; it differs between versions */
	uint64_t version; /* at the control processes; 0: none */
	uint64_t set_version; /* of the only service */
	uint64_t known_incarnation; /* of the node's record; 0: none */
	int64_t stamp_ns; /* of the replies */
	struct event_log *events; /* of the agent; NULL: it has no such clock */
	struct agent *agent;
	int overdue_ms; /* of the agent's watches; 0: its default */
	_Atomic enum rpc_fault_kind reply_fault;
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
advance_fixture(struct fixture *fx, int64_t ms)
{
	atomic_fetch_add(&fx->now, ms * NSEC_PER_MSEC);
	if (fx->agent != NULL)
		wake_agent(fx->agent);
}

static inline void
sleep_one_ms(void)
{
	struct timespec step = {0, 1000000};

	nanosleep(&step, NULL);
}

/* Polls a condition with the clock paused; fails after WAIT_MAX_MS. */
#define WAIT_UNTIL(cond)                                     \
	do {                                                 \
		int steps_left = WAIT_MAX_MS;                \
		while (!(cond) && steps_left-- > 0)          \
			sleep_one_ms();                      \
		ck_assert_msg(cond, "timed out: %s", #cond); \
	} while (0)

/*
 * The same while the clock moves by 10 ms a step, up to 60 s. A busy machine
 * may delay a reply by many steps, so tests need timeouts far above one step.
 */
#define ADVANCE_UNTIL(fx, cond)                              \
	do {                                                 \
		int steps_left = 6000;                       \
		while (!(cond) && steps_left-- > 0) {        \
			advance_fixture(fx, 10);             \
			sleep_one_ms();                      \
		}                                            \
		ck_assert_msg(cond, "timed out: %s", #cond); \
	} while (0)

/* A table with one row; the caller unloads it. */
static inline struct table *
make_test_table(int weight, uint64_t version, const char *rank)
{
	struct buf csv = {0};
	struct table *t = NULL;
	struct fault f;

	ck_assert_int_eq(append_buf_fmt(&csv,
			     "%sread,svc,%s,%d,10,100,100,1000,10,0,10,0,yes,"
			     "60,64,10\n",
			     table_header, rank, weight),
	    0);
	ck_assert_int_eq(load_table_csv(view_buf(&csv), version, &t, &f), 0);
	unload_buf(&csv);
	return t;
}

static inline void
send_watch_reply(
    struct fake_control *c, struct rpc_reply *reply, struct wire_watch_reply *w)
{
	struct buf plain = {0}, packed = {0};

	ck_assert_int_eq(
	    encode_wire((xdrproc_t)xdr_wire_watch_reply, w, &plain), 0);
	ck_assert_int_eq(pack_wire(view_buf(&plain), &packed), 0);
	complete_rpc(
	    reply, 0, view_buf(atomic_load(&c->old_build) ? &plain : &packed));
	unload_buf(&plain);
	unload_buf(&packed);
}

/* Fills the table of a reply as the mode says; body backs it. */
static inline void
fill_table_update(struct fake_control *c, uint64_t base_version,
    struct wire_table_update *u, struct buf *body)
{
	struct fixture *fx = c->fixture;
	enum fake_watch_mode mode = atomic_load(&c->watch_mode);
	struct table *t = make_test_table(fx->weight, fx->version, "1");
	bool delta;

	c->tables_sent++;
	delta = base_version != 0 && mode != WATCH_MODE_BAD_ROW &&
		mode != WATCH_MODE_LOWER;

	u->table_version =
	    mode == WATCH_MODE_LOWER ? base_version - 1 : fx->version;
	u->digest = t->digest + (mode == WATCH_MODE_BAD_DIGEST && delta);
	u->form = delta ? WIRE_TABLE_DELTA : WIRE_TABLE_WHOLE;
	u->base = mode == WATCH_MODE_BAD_BASE ? base_version + 7 : base_version;
	if (delta)
		ck_assert_int_eq(
		    append_buf_fmt(body, "read,weight,%d\n", fx->weight), 0);
	else if (mode == WATCH_MODE_BAD_ROW)
		ck_assert_int_eq(append_buf_fmt(body,
				     "%sread,svc,99,1,10,100,100,1000,10,0,10,"
				     "0,yes,60,64,10\n",
				     table_header),
		    0);
	else
		ck_assert_int_eq(render_table_csv(t, body), 0);
	u->body.body_val = body->data;
	u->body.body_len = (unsigned int)body->len;
	unload_table(t);
}

static inline void
answer_watch(struct fake_control *c, const struct wire_watch_args *args,
    struct rpc_reply *reply)
{
	static const char id[] = "n1", address[] = "127.0.0.1:99";
	enum fake_watch_mode mode = atomic_load(&c->watch_mode);
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

	w.status = mode == WATCH_MODE_STALE ? WIRE_STALE :
		   mode == WATCH_MODE_LIMIT ? WIRE_LIMIT :
					      WIRE_OK;
	w.retry_ms = 200;
	w.stamp.wall_ns = c->fixture->stamp_ns;
	if (w.status != WIRE_OK) {
		send_watch_reply(c, reply, &w);
		return;
	}
	if (mode == WATCH_MODE_GARBAGE) {
		complete_rpc(reply, 0, make_str("no reply"));
		return;
	}
	if (mode != WATCH_MODE_PENDING && c->fixture->version != 0 &&
	    args->refused_version != c->fixture->version &&
	    (args->held_version < c->fixture->version ||
		mode == WATCH_MODE_LOWER)) {
		fill_table_update(c, args->held_version, &w.table, &body);
		news = true;
	}
	if (mode != WATCH_MODE_PENDING && args->interest.interest_len > 0 &&
	    (args->registry_id != c->registry ||
		i->set_version < c->fixture->set_version)) {
		e.service = i->service;
		set.service = i->service;
		set.set_version = c->fixture->set_version;
		set.whole = true;
		set.endpoints.endpoints_len = 1;
		set.endpoints.endpoints_val = &e;
		w.sets.sets_len = 1;
		w.sets.sets_val = &set;
		news = true;
	}
	if (args->self != NULL &&
	    args->self->incarnation < c->fixture->known_incarnation) {
		w.retry_ms = WIRE_RETRY_ANNOUNCE;
		w.stamp.wall_ns = (int64_t)c->fixture->known_incarnation;
		news = true;
	}
	if (news || args->wait_ms == 0)
		send_watch_reply(c, reply, &w);
	else
		c->pending[c->pending_count++] = reply;
	unload_buf(&body);
}

static inline void
handle_watch(struct fake_control *c, const struct rpc_request *req,
    struct rpc_reply *reply)
{
	struct wire_watch_args args = {0};
	struct seen_watch *s;

	ck_assert_int_eq(
	    decode_wire((xdrproc_t)xdr_wire_watch_args, req->args, &args), 0);
	pthread_mutex_lock(&c->fixture->lock);
	ck_assert_int_lt(c->watch_count, SEEN_MAX);
	s = &c->watches[c->watch_count++];
	*s = (struct seen_watch){.table_version = args.held_version,
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
	answer_watch(c, &args, reply);
	pthread_mutex_unlock(&c->fixture->lock);
	unload_wire((xdrproc_t)xdr_wire_watch_args, &args);
}

static inline void
handle_claim(struct fake_control *c, const struct rpc_request *req,
    struct rpc_reply *reply)
{
	struct wire_claim_args args = {0};
	struct wire_claim_reply out = {0};
	struct buf body = {0};

	ck_assert_int_eq(
	    decode_wire((xdrproc_t)xdr_wire_claim_args, req->args, &args), 0);
	pthread_mutex_lock(&c->fixture->lock);
	ck_assert_int_lt(c->claim_count, SEEN_MAX);
	memcpy(
	    c->claims[c->claim_count].id, args.claim_id, sizeof(args.claim_id));
	c->claims[c->claim_count].state = (int)args.state;
	c->claims[c->claim_count++].incarnation = args.incarnation;
	out.holder = (char *)(uintptr_t) "";
	switch (atomic_load(&c->claim_mode)) {
	case CLAIM_MODE_NO_REPLY:
		c->pending[c->pending_count++] = reply;
		reply = NULL;
		break;
	case CLAIM_MODE_NO_QUORUM:
		out.status = WIRE_UNAVAILABLE;
		break;
	case CLAIM_MODE_CONFLICT:
		out.status = WIRE_CONFLICT;
		out.state = WIRE_CLAIM_RAN;
		out.http_status = 201;
		out.answer.answer_val = (char *)(uintptr_t) "paid";
		out.answer.answer_len = 4;
		out.answer_whole = true;
		break;
	case CLAIM_MODE_GRANT:
		out.state = args.state;
		break;
	}
	if (reply != NULL) {
		ck_assert_int_eq(
		    encode_wire((xdrproc_t)xdr_wire_claim_reply, &out, &body),
		    0);
		complete_rpc(reply, 0, view_buf(&body));
	}
	pthread_mutex_unlock(&c->fixture->lock);
	unload_buf(&body);
	unload_wire((xdrproc_t)xdr_wire_claim_args, &args);
}

static inline void
handle_call(void *arg, const struct rpc_request *req, struct rpc_reply *reply)
{
	struct fake_control *c = arg;

	if (req->proc == GGS_WATCH_PACKED && atomic_load(&c->old_build))
		complete_rpc(reply, ERR_NOT_FOUND, make_str(""));
	else if (req->proc == GGS_WATCH || req->proc == GGS_WATCH_PACKED)
		handle_watch(arg, req, reply);
	else
		handle_claim(arg, req, reply);
}

static inline struct rpc_fault
inject_reply_fault(void *arg, const struct rpc_message_info *info)
{
	struct fake_control *c = arg;
	struct rpc_fault f = {RPC_FAULT_PASS, 0};

	if (info->is_reply)
		f.kind = atomic_load(&c->fixture->reply_fault);
	return f;
}

/* Starts control process i at its former address, or at a free port. */
static inline void
start_fake_control(struct fixture *fx, int i)
{
	struct fake_control *c = &fx->controls[i];
	struct rpc_fault_hooks hooks = {inject_reply_fault, NULL, c};
	struct rpc_server_config cfg = {.clock = get_fixture_clock(fx),
	    .address = c->address[0] != '\0' ? c->address : "127.0.0.1:0",
	    .key = make_str(fleet_key),
	    .handler = handle_call,
	    .arg = c,
	    .hooks = &hooks};
	struct fault f = {0};

	c->fixture = fx;
	c->registry = (uint64_t)i + 100;
	ck_assert_msg(
	    start_rpc_server(&cfg, &c->server, &f) == 0, "%s", f.text);
	snprintf(c->address, sizeof(c->address), "%s",
	    get_rpc_server_address(c->server));
}

static inline void
stop_fake_control(struct fixture *fx, int i)
{
	struct fake_control *c = &fx->controls[i];
	int n;

	stop_rpc_server(c->server);
	c->server = NULL;
	pthread_mutex_lock(&fx->lock);
	n = c->pending_count;
	c->pending_count = 0;
	pthread_mutex_unlock(&fx->lock);
	for (int k = 0; k < n; k++)
		complete_rpc(c->pending[k], 0, make_str(""));
}

static inline void
open_fixture(struct fixture *fx, int controls)
{
	memset(fx, 0, sizeof(*fx));
	pthread_mutex_init(&fx->lock, NULL);
	atomic_store(&fx->now, 1000 * NSEC_PER_SEC);
	fx->weight = 10;
	fx->version = 5;
	fx->set_version = 3;
	fx->control_count = controls;
	for (int i = 0; i < controls; i++)
		start_fake_control(fx, i);
}

/* Only control 0 is in the node's availability zone, so it is tried first. */
static inline void
start_fixture_agent(struct fixture *fx, const char *interest)
{
	struct agent_config cfg = {.clock = get_fixture_clock(fx),
	    .events = fx->events,
	    .node = "node-1",
	    .zone = "near",
	    .control_count = (size_t)fx->control_count,
	    .key = make_str(fleet_key),
	    .seed = 3,
	    .overdue_ms = fx->overdue_ms,
	    .connect_ms = 10000};
	struct fault f = {0};

	for (int i = 0; i < fx->control_count; i++) {
		cfg.controls[i] = fx->controls[i].address;
		cfg.control_zones[i] = i == 0 ? "near" : "far";
	}
	if (interest != NULL) {
		cfg.interest[0] = interest;
		cfg.interest_count = 1;
	}
	ck_assert_msg(start_agent(&cfg, &fx->agent, &f) == 0, "%s", f.text);
}

static inline void
close_fixture(struct fixture *fx)
{
	stop_agent(fx->agent);
	for (int i = 0; i < fx->control_count; i++) {
		if (fx->controls[i].server != NULL)
			stop_fake_control(fx, i);
	}
	pthread_mutex_destroy(&fx->lock);
}

/* Publishes a new version and sends it to the pending watches of control i. */
static inline void
publish_next_version(struct fixture *fx, int i, int weight)
{
	struct fake_control *c = &fx->controls[i];

	pthread_mutex_lock(&fx->lock);
	fx->weight = weight;
	fx->version++;
	for (int k = 0; k < c->pending_count; k++) {
		struct wire_watch_reply w = {.registry_id = c->registry};
		struct buf body = {0};

		fill_table_update(c, fx->version - 1, &w.table, &body);
		send_watch_reply(c, c->pending[k], &w);
		unload_buf(&body);
	}
	c->pending_count = 0;
	pthread_mutex_unlock(&fx->lock);
}

/* Publishes the next set and sends it to the pending watches of control i. */
static inline void
publish_next_set(struct fixture *fx, int i, const char *service)
{
	struct fake_control *c = &fx->controls[i];
	struct wire_endpoint_set set = {
	    .service = (char *)(uintptr_t)service, .whole = true};

	pthread_mutex_lock(&fx->lock);
	set.set_version = ++fx->set_version;
	for (int k = 0; k < c->pending_count; k++) {
		struct wire_watch_reply w = {.registry_id = c->registry};

		w.sets.sets_len = 1;
		w.sets.sets_val = &set;
		send_watch_reply(c, c->pending[k], &w);
	}
	c->pending_count = 0;
	pthread_mutex_unlock(&fx->lock);
}

/* Answers the pending watches of control i without news. */
static inline void
send_heartbeats(struct fixture *fx, int i)
{
	struct fake_control *c = &fx->controls[i];

	pthread_mutex_lock(&fx->lock);
	for (int k = 0; k < c->pending_count; k++) {
		struct wire_watch_reply w = {.registry_id = c->registry};

		send_watch_reply(c, c->pending[k], &w);
	}
	c->pending_count = 0;
	pthread_mutex_unlock(&fx->lock);
}

static inline uint64_t
get_agent_version(struct fixture *fx)
{
	const struct table *t = acquire_table(fx->agent);
	uint64_t v = t != NULL ? t->version : 0;

	release_table(fx->agent, t);
	return v;
}

static inline int
count_watches(struct fixture *fx, int i)
{
	int n;

	pthread_mutex_lock(&fx->lock);
	n = fx->controls[i].watch_count;
	pthread_mutex_unlock(&fx->lock);
	return n;
}

static inline int
count_claims(struct fixture *fx, int i)
{
	int n;

	pthread_mutex_lock(&fx->lock);
	n = fx->controls[i].claim_count;
	pthread_mutex_unlock(&fx->lock);
	return n;
}

/* Full tables and deltas that all control processes sent. */
static inline int
count_sent_tables(struct fixture *fx)
{
	int n = 0;

	pthread_mutex_lock(&fx->lock);
	for (int i = 0; i < fx->control_count; i++)
		n += fx->controls[i].tables_sent;
	pthread_mutex_unlock(&fx->lock);
	return n;
}

/* The last watch that control i received; zeros when there is none. */
static inline struct seen_watch
get_last_watch(struct fixture *fx, int i)
{
	struct seen_watch w = {0};

	pthread_mutex_lock(&fx->lock);
	if (fx->controls[i].watch_count > 0)
		w = fx->controls[i].watches[fx->controls[i].watch_count - 1];
	pthread_mutex_unlock(&fx->lock);
	return w;
}

#endif
