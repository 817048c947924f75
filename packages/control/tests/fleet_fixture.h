/*
 * Control processes on loopback within one test program, network partitions
 * between them, and clients of their two listeners.
 */
#ifndef FLEET_FIXTURE_H
#define FLEET_FIXTURE_H

#include <arpa/inet.h>
#include <check.h>
#include <ftw.h>
#include <jansson.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include "control.h"
#include "rpc.h"
#include "table.h"
#include "wire.h"

#define FLEET_MAX 4
#define FLEET_KEY "0123456789abcdef0123456789abcdef"
#define FLEET_WAIT_S 30 /* timeout of every wait for a state */
#define FLEET_ROW(kind, rank) \
	kind ",svc," rank ",10,5,100,100,1000,100,1,10,0,yes,0,64,30\n"
#define FLEET_TABLE                                                           \
	"kind,service,rank,weight,floor_pct,limit_pct,target_ms,deadline_ms," \
	"queue_max,retries,retry_pct,hedge_ms,repeat,keep_s,body_max_kb,"     \
	"drain_s\n" FLEET_ROW("a", "1") FLEET_ROW("b", "2")                   \
	    FLEET_ROW("c", "3")

/* The messages between a control process and the others that are dropped. */
enum partition_kind {
	PARTITION_NONE = 0,
	PARTITION_ALL,
	PARTITION_VOTERS, /* all but the PULL calls of relays */
	PARTITION_COMMANDS, /* the commands that are forwarded to it */
};

struct member {
	struct control *control; /* NULL: stopped */
	struct rpc_fault_hooks hooks;
	struct event_log *events;
	size_t number;
	bool relay;
	atomic_int partition; /* enum partition_kind */
	char rpc_address[48];
	char http_address[48];
	char peer_setting[72]; /* "id=IP:port" */
	char dir[64]; /* data folder */
};

struct fleet {
	struct member members[FLEET_MAX];
	size_t count;
	size_t voters;
	char root[32];
	const char *token_file;
	const char *tls_cert_file;
	const char *tls_key_file;
	struct rpc_client *client;
};

/* Static: hooks run on other threads and must not outlive their fleet. */
static struct fleet fleet;

/* Monotonic time at which the clock of the fleet stands; 0: it runs. */
static atomic_llong fleet_paused_ns;

static inline int64_t
read_fleet_mono(void *arg)
{
	struct clock_source real = get_real_clock();
	long long paused_ns = atomic_load(&fleet_paused_ns);

	(void)arg;
	return paused_ns != 0 ? paused_ns : read_mono(&real);
}

static inline int64_t
read_fleet_wall(void *arg)
{
	struct clock_source real = get_real_clock();

	(void)arg;
	return read_wall(&real);
}

static inline void
pause_fleet_clock(void)
{
	struct clock_source real = get_real_clock();

	atomic_store(&fleet_paused_ns, read_mono(&real));
}

static inline void
sleep_ms(long ms)
{
	usleep((useconds_t)(ms * 1000));
}

static inline int
get_address_partition(const char *address)
{
	for (size_t i = 0; i < fleet.count; i++) {
		if (strcmp(fleet.members[i].rpc_address, address) == 0)
			return atomic_load(&fleet.members[i].partition);
	}
	return PARTITION_NONE;
}

/* Drops messages between partitioned control processes; node calls pass. */
static inline struct rpc_fault
drop_partitioned_message(void *arg, const struct rpc_message_info *info)
{
	struct member *m = arg;
	bool node = info->proc == GGS_WATCH || info->proc == GGS_WATCH_PACKED ||
		    info->proc == GGS_CLAIM || info->proc == GGS_LEAVINGS ||
		    info->proc == GGS_PING;
	int partition = atomic_load(&m->partition);
	struct rpc_fault f = {RPC_FAULT_PASS, 0};

	if (partition == PARTITION_NONE && !info->is_reply)
		partition = get_address_partition(info->peer);
	if (partition == PARTITION_COMMANDS) {
		if (info->proc == GGS_PROPOSE)
			f.kind = RPC_FAULT_DROP;
	} else if (!node && (partition == PARTITION_ALL ||
				(partition == PARTITION_VOTERS &&
				    info->proc != GGS_PULL)))
		f.kind = RPC_FAULT_DROP;
	return f;
}

static inline struct control_config
make_config(size_t i)
{
	struct member *m = &fleet.members[i];
	struct control_config c = {
	    .id = i + 1,
	    .zone = "z",
	    .rpc_listen = m->rpc_address,
	    .http_listen = m->http_address,
	    .data_dir = m->relay ? NULL : m->dir,
	    .key = make_str(FLEET_KEY),
	    .token_file = fleet.token_file,
	    .tls_cert_file = fleet.tls_cert_file,
	    .tls_key_file = fleet.tls_key_file,
	    .clock = {read_fleet_mono, read_fleet_wall, NULL},
	    .events = m->events,
	    .seed = 7,
	    .hooks = &m->hooks,
	    .rollouts = true,
	};

	for (size_t k = 0; k < fleet.voters; k++)
		c.peers[k] = fleet.members[k].peer_setting;
	c.peer_count = fleet.voters;
	return c;
}

static inline void
start_member(size_t i)
{
	struct control_config c = make_config(i);
	struct fault f = {0};

	ck_assert_msg(start_control(&c, &fleet.members[i].control, &f) == 0,
	    "%s", f.text);
}

static inline void
stop_member(size_t i)
{
	stop_control(fleet.members[i].control);
	fleet.members[i].control = NULL;
}

/*
 * Starts voters and relays. Every test program derives its addresses from its
 * process id, so programs that run at the same time do not collide.
 */
static inline void
open_fleet(size_t voters, size_t relays, const char *token_file)
{
	unsigned int net = (unsigned int)getpid();
	struct rpc_client_config cc = {
	    .clock = get_real_clock(), .key = make_str(FLEET_KEY)};
	struct fault f;

	memset(&fleet, 0, sizeof(fleet));
	atomic_store(&fleet_paused_ns, 0);
	strcpy(fleet.root, "/tmp/ggs-fleet-XXXXXX");
	ck_assert_ptr_nonnull(mkdtemp(fleet.root));
	fleet.voters = voters;
	fleet.count = voters + relays;
	fleet.token_file = token_file;
	for (size_t i = 0; i < fleet.count; i++) {
		struct member *m = &fleet.members[i];

		m->relay = i >= voters;
		m->number = i;
		snprintf(m->rpc_address, sizeof(m->rpc_address),
		    "127.%u.%u.%zu:7401", 100 + net / 250 % 100, 1 + net % 250,
		    i + 1);
		snprintf(m->http_address, sizeof(m->http_address),
		    "127.%u.%u.%zu:7400", 100 + net / 250 % 100, 1 + net % 250,
		    i + 1);
		snprintf(m->peer_setting, sizeof(m->peer_setting), "%zu=%s",
		    i + 1, m->rpc_address);
		snprintf(m->dir, sizeof(m->dir), "%s/%zu", fleet.root, i + 1);
		ck_assert_int_eq(mkdir(m->dir, 0700), 0);
		m->events =
		    open_event_log(get_real_clock(), m->peer_setting, 1024);
		m->hooks =
		    (struct rpc_fault_hooks){drop_partitioned_message, NULL, m};
	}
	for (size_t i = 0; i < fleet.count; i++)
		start_member(i);
	ck_assert_int_eq(open_rpc_client(&cc, &fleet.client, &f), 0);
}

static inline int
remove_file(const char *path, const struct stat *st, int type, struct FTW *at)
{
	(void)st;
	(void)type;
	(void)at;
	return remove(path);
}

static inline void
close_fleet(void)
{
	close_rpc_client(fleet.client);
	for (size_t i = 0; i < fleet.count; i++) {
		stop_member(i);
		close_event_log(fleet.members[i].events);
	}
	(void)nftw(fleet.root, remove_file, 8, FTW_DEPTH | FTW_PHYS);
}

/* Waits for a leader among the members that are not partitioned. */
static inline size_t
wait_leader(void)
{
	for (int i = 0; i < FLEET_WAIT_S * 50; i++) {
		for (size_t k = 0; k < fleet.voters; k++) {
			struct member *m = &fleet.members[k];

			if (m->control != NULL && !atomic_load(&m->partition) &&
			    is_control_leader(m->control))
				return k;
		}
		sleep_ms(20);
	}
	ck_abort_msg("no leader within %d s", FLEET_WAIT_S);
	return 0;
}

static inline void
wait_version(size_t i, uint64_t version)
{
	for (int k = 0; k < FLEET_WAIT_S * 100; k++) {
		if (get_control_version(fleet.members[i].control) >= version)
			return;
		sleep_ms(10);
	}
	ck_abort_msg("member %zu stays below version %llu", i + 1,
	    (unsigned long long)version);
}

/* Opens a connection to the operators' API. */
static inline int
connect_http(size_t i)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	const char *http = fleet.members[i].http_address;
	char ip[48] = "";
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	snprintf(ip, sizeof(ip), "%.*s", (int)strcspn(http, ":"), http);
	sa.sin_port = htons((uint16_t)atoi(strchr(http, ':') + 1));
	ck_assert_int_eq(inet_pton(AF_INET, ip, &sa.sin_addr), 1);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	return fd;
}

/* Sends a request to the operators' API; returns the status and the body. */
static inline int
send_http(size_t i, const char *method, const char *path, const char *token,
    const char *body, size_t body_len, struct buf *out)
{
	char chunk[4096];
	struct buf b = {0}, answer = {0};
	const char *end;
	int fd = connect_http(i), status = 0;
	size_t sent = 0;
	ssize_t n;

	append_buf_fmt(&b,
	    "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
	    "Content-Length: %zu\r\n",
	    method, path, body_len);
	if (token != NULL)
		append_buf_fmt(&b, "Authorization: Bearer %s\r\n", token);
	append_buf_fmt(&b, "\r\n");
	append_buf(&b, body, body_len);
	while (sent < b.len &&
	       (n = send(fd, b.data + sent, b.len - sent, MSG_NOSIGNAL)) > 0)
		sent += (size_t)n;
	while ((n = recv(fd, chunk, sizeof(chunk), 0)) > 0)
		append_buf(&answer, chunk, (size_t)n);
	close(fd);
	if (answer.len > 12)
		status = atoi(answer.data + 9);
	end = answer.len > 0 ? strstr(answer.data, "\r\n\r\n") : NULL;
	if (out != NULL) {
		out->len = 0;
		append_buf(out, "", 0);
		if (end != NULL)
			append_buf_str(out, make_str(end + 4));
	}
	unload_buf(&b);
	unload_buf(&answer);
	return status;
}

/* Sends a JSON text or no body; returns the status and the parsed answer. */
static inline int
send_json(size_t i, const char *method, const char *path, const char *token,
    const char *text, json_t **out)
{
	struct buf answer = {0};
	int status = send_http(i, method, path, token, text,
	    text != NULL ? strlen(text) : 0, &answer);

	if (out != NULL)
		*out = json_loadb(answer.data, answer.len, 0, NULL);
	unload_buf(&answer);
	return status;
}

static inline json_int_t
get_int(const json_t *o, const char *name)
{
	return json_integer_value(json_object_get(o, name));
}

static inline struct wire_watch_args
make_watch(const char *node, uint64_t held_version, int wait_ms)
{
	static char empty[1];

	return (struct wire_watch_args){
	    .node = (char *)(uintptr_t)node,
	    .zone = empty,
	    .held_version = held_version,
	    .refused_reason = empty,
	    .wait_ms = wait_ms,
	};
}

/* Opens the connection of a node; it is closed with the fleet. */
static inline struct rpc_peer *
open_node(size_t i)
{
	struct rpc_peer *p = NULL;
	struct fault f;

	ck_assert_int_eq(
	    open_rpc_peer(fleet.client, fleet.members[i].rpc_address, &p, &f),
	    0);
	return p;
}

/* Sends one WATCH; the caller frees the reply with unload_wire(). */
static inline struct wire_watch_reply
send_watch(struct rpc_peer *p, const struct wire_watch_args *a)
{
	struct wire_watch_reply r = {0};
	struct buf b = {0}, body = {0};

	ck_assert_int_eq(encode_wire((xdrproc_t)xdr_wire_watch_args, a, &b), 0);
	ck_assert_int_eq(
	    call_rpc_wait(p, GGS_WATCH, view_buf(&b), 15000, &body), 0);
	ck_assert_int_eq(
	    decode_wire((xdrproc_t)xdr_wire_watch_reply, view_buf(&body), &r),
	    0);
	unload_buf(&b);
	unload_buf(&body);
	return r;
}

/*
 * Sends a WATCH as a node does, again while the process is stale, as after its
 * start. A stale reply must not contain a table.
 */
static inline struct wire_watch_reply
send_watch_until_fresh(struct rpc_peer *p, const struct wire_watch_args *a)
{
	struct wire_watch_reply r = send_watch(p, a);

	for (int i = 0; i < FLEET_WAIT_S * 20 && r.status == WIRE_STALE; i++) {
		ck_assert_int_eq(r.table.form, WIRE_TABLE_NONE);
		unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);
		sleep_ms(50);
		r = send_watch(p, a);
	}
	ck_assert_int_eq(r.status, WIRE_OK);
	return r;
}

static inline struct wire_claim_reply
send_claim(struct rpc_peer *p, const char *key, char id,
    enum wire_claim_state state, const char *answer)
{
	struct wire_claim_args a = {.kind = (char *)(uintptr_t) "a",
	    .key = (char *)(uintptr_t)key,
	    .node = (char *)(uintptr_t) "n",
	    .state = state,
	    .keep_s = 60,
	    .wait_ms = 9000};
	struct wire_claim_reply r = {0};
	struct buf b = {0}, body = {0};

	memset(a.claim_id, id, sizeof(a.claim_id));
	a.answer.answer_val = (char *)(uintptr_t)answer;
	a.answer.answer_len = (unsigned int)strlen(answer);
	ck_assert_int_eq(
	    encode_wire((xdrproc_t)xdr_wire_claim_args, &a, &b), 0);
	ck_assert_int_eq(
	    call_rpc_wait(p, GGS_CLAIM, view_buf(&b), 15000, &body), 0);
	ck_assert_int_eq(
	    decode_wire((xdrproc_t)xdr_wire_claim_reply, view_buf(&body), &r),
	    0);
	unload_buf(&b);
	unload_buf(&body);
	return r;
}

/*
 * Sends a claim as a node does, again while its outcome is not known: a second
 * election in a row can take longer than a command waits without a quorum.
 */
static inline struct wire_claim_reply
send_claim_until_known(struct rpc_peer *p, const char *key, char id,
    enum wire_claim_state state, const char *answer)
{
	struct wire_claim_reply r = send_claim(p, key, id, state, answer);

	for (int i = 0;
	     i < FLEET_WAIT_S * 20 &&
	     (r.status == WIRE_UNKNOWN || r.status == WIRE_UNAVAILABLE);
	     i++) {
		unload_wire((xdrproc_t)xdr_wire_claim_reply, &r);
		sleep_ms(50);
		r = send_claim(p, key, id, state, answer);
	}
	return r;
}

#endif
