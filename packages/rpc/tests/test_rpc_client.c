/*
 * The client and held replies under network faults, with a clock that the test
 * moves.
 */
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "metric.h"
#include "rpc_loop.h"
#include "rpc_rig.h"

#define BURST_THREADS 8
#define BURST_CALLS 500 /* of each thread */

static void
open_both(struct rig *r)
{
	open_rig(r);
	open_rig_server(r, (struct rpc_server_config){0});
	open_rig_client(r, (struct rpc_client_config){0});
}

/* Guards against a reply that reaches another call. */
START_TEST(crossed_replies_reach_their_calls)
{
	struct rig_call calls[3];
	struct rig r;

	open_both(&r);
	start_rig_call(&r, &calls[0], GGS_WATCH, "zero", 5000);
	RIG_UNTIL(count_rig_held(&r) == 1);
	start_rig_call(&r, &calls[1], GGS_WATCH, "one", 5000);
	RIG_UNTIL(count_rig_held(&r) == 2);
	start_rig_call(&r, &calls[2], GGS_WATCH, "two", 5000);
	RIG_UNTIL(count_rig_held(&r) == 3);
	for (int i = 2; i >= 0; i--) {
		complete_rig(&r, i);
		await_rig_call(&calls[i], 0);
	}
	ck_assert_str_eq(calls[0].body, "zero");
	ck_assert_str_eq(calls[1].body, "one");
	ck_assert_str_eq(calls[2].body, "two");
	close_rig(&r);
}
END_TEST

/* Guards against a late reply that ends a later call. */
START_TEST(late_reply_is_dropped)
{
	struct rig_call late, other;
	struct rig r;

	open_both(&r);
	start_rig_call(&r, &other, GGS_WATCH, "other", 60000);
	RIG_UNTIL(count_rig_held(&r) == 1);
	start_rig_call(&r, &late, GGS_WATCH, "late", 500);
	RIG_UNTIL(count_rig_held(&r) == 2);
	advance_rig(&r, 600);
	await_rig_call(&late, ERR_TIMEOUT);
	complete_rig(&r, 1);
	RIG_UNTIL(get_rpc_client_stats(r.client).unmatched == 1);
	ck_assert_int_eq(atomic_load(&other.done), 0);
	complete_rig(&r, 0);
	await_rig_call(&other, 0);
	ck_assert_str_eq(other.body, "other");
	ck_assert_int_eq(atomic_load(&late.done), 1);
	ck_assert_uint_eq(get_rpc_client_stats(r.client).accepted, 1);
	close_rig(&r);
}
END_TEST

/* Guards against a callback that runs twice. */
START_TEST(doubled_reply_is_dropped)
{
	struct rig_call call;
	struct rig r;

	open_both(&r);
	atomic_store(&r.reply_fault, RPC_FAULT_DUPLICATE);
	start_rig_call(&r, &call, GGS_PROPOSE, "x", 5000);
	await_rig_call(&call, 0);
	RIG_UNTIL(get_rpc_client_stats(r.client).unmatched == 1);
	ck_assert_int_eq(atomic_load(&call.done), 1);
	atomic_store(&r.reply_fault, RPC_FAULT_PASS);
	check_rig_works(&r);
	close_rig(&r);
}
END_TEST

/* Guards against replayed bytes that are accepted, on either side. */
START_TEST(replayed_bytes_close_the_connection)
{
	struct rig_call call;
	struct rig r;

	open_both(&r);
	atomic_store(&r.reply_fault, RPC_FAULT_REPLAY);
	start_rig_call(&r, &call, GGS_PROPOSE, "x", 5000);
	await_rig_call(&call, 0);
	RIG_UNTIL(get_rpc_client_stats(r.client).refused_replay == 1);
	atomic_store(&r.reply_fault, RPC_FAULT_PASS);
	check_rig_works(&r);
	atomic_store(&r.call_fault, RPC_FAULT_REPLAY);
	start_rig_call(&r, &call, GGS_WATCH, "y", 5000);
	RIG_UNTIL(get_rpc_server_stats(r.server).refused_replay == 1);
	await_rig_call(&call, ERR_TIMEOUT);
	atomic_store(&r.call_fault, RPC_FAULT_PASS);
	check_rig_works(&r);
	close_rig(&r);
}
END_TEST

struct silence_case {
	const char *name;
	enum rpc_fault_kind call_fault, reply_fault;
};

static const struct silence_case silence_cases[] = {
    {"silent both ways", RPC_FAULT_DROP, RPC_FAULT_DROP},
    {"calls lost", RPC_FAULT_DROP, RPC_FAULT_PASS},
    {"replies lost (half open)", RPC_FAULT_PASS, RPC_FAULT_DROP},
};

/*
 * Guards against calls that keep using a connection that went silent while new
 * ones work, and against a caller that takes "unknown" for "not run".
 */
START_TEST(silent_connection_is_replaced)
{
	const struct silence_case *c = &silence_cases[_i];
	struct rig_call held, quick;
	struct rig r;

	open_both(&r);
	check_rig_works(&r);
	atomic_store(&r.call_fault, c->call_fault);
	atomic_store(&r.reply_fault, c->reply_fault);
	atomic_store(&r.fault_conn_max, 1);
	advance_rig(&r, 10);
	start_rig_call(&r, &held, GGS_WATCH, "held", 60000);
	start_rig_call(&r, &quick, GGS_PROPOSE, "quick", 1500);
	RIG_UNTIL(get_rpc_client_stats(r.client).calls == 3);
	RIG_UNTIL(
	    atomic_load(&r.sends) >= (c->call_fault == RPC_FAULT_DROP ? 4 : 5));
	advance_rig(&r, 1600);
	await_rig_call(&quick, ERR_TIMEOUT);
	await_rig_call(&held, ERR_TIMEOUT);
	check_rig_works(&r);
	ck_assert_uint_eq(get_rpc_client_stats(r.client).accepted, 2);
	close_rig(&r);
}
END_TEST

/* Guards against one slow call that breaks a working connection. */
START_TEST(slow_call_keeps_a_working_connection)
{
	struct rig_call slow;
	struct rig r;

	open_both(&r);
	start_rig_call(&r, &slow, GGS_WATCH, "slow", 3000);
	RIG_UNTIL(count_rig_held(&r) == 1);
	advance_rig(&r, 2900);
	check_rig_works(&r);
	advance_rig(&r, 200);
	await_rig_call(&slow, ERR_TIMEOUT);
	check_rig_works(&r);
	ck_assert_uint_eq(get_rpc_client_stats(r.client).accepted, 1);
	close_rig(&r);
}
END_TEST

/* Guards against a held reply that touches a stopped server. */
START_TEST(server_closing_fails_held_calls)
{
	struct rig_call held[2];
	struct rig r;

	open_both(&r);
	start_rig_call(&r, &held[0], GGS_WATCH, "a", 60000);
	start_rig_call(&r, &held[1], GGS_WATCH, "b", 60000);
	RIG_UNTIL(count_rig_held(&r) == 2);
	stop_rpc_server(r.server);
	r.server = NULL;
	await_rig_call(&held[0], ERR_TIMEOUT);
	await_rig_call(&held[1], ERR_TIMEOUT);
	ck_assert_int_eq(r.closed_count, 1);
	complete_rig_rest(&r);
	start_rig_call(&r, &held[0], GGS_PROPOSE, "c", 60000);
	await_rig_call(&held[0], ERR_UNAVAILABLE);
	close_rig(&r);
}
END_TEST

/* Guards against a reply to a closed connection that is sent elsewhere. */
START_TEST(reply_for_a_closed_connection_is_dropped)
{
	struct rig_call held;
	struct rig r;

	open_both(&r);
	start_rig_call(&r, &held, GGS_WATCH, "a", 60000);
	RIG_UNTIL(count_rig_held(&r) == 1);
	reset_rpc_peer(r.peer);
	await_rig_call(&held, ERR_TIMEOUT);
	RIG_UNTIL(count_rig_closed(&r) == 1);
	ck_assert_uint_eq(r.closed_conn, r.held_conn[0]);
	check_rig_works(&r);
	complete_rig(&r, 0);
	check_rig_works(&r);
	ck_assert_uint_eq(get_rpc_client_stats(r.client).unmatched, 0);
	close_rig(&r);
}
END_TEST

/* Guards against state of a connection that outlives its on_close. */
START_TEST(close_is_reported_after_the_last_handler)
{
	struct rig_call running, queued;
	struct rig r;

	open_rig(&r);
	open_rig_server(&r, (struct rpc_server_config){.workers = 3});
	open_rig_client(&r, (struct rpc_client_config){0});
	atomic_store(&r.block, true);
	start_rig_call(&r, &running, GGS_ENDPOINT_SYNC, "a", 60000);
	RIG_UNTIL(atomic_load(&r.running) == 1);
	start_rig_call(&r, &queued, GGS_WATCH, "b", 60000);
	RIG_UNTIL(count_rig_held(&r) == 1);
	reset_rpc_peer(r.peer);
	await_rig_call(&running, ERR_TIMEOUT);
	await_rig_call(&queued, ERR_TIMEOUT);
	RIG_UNTIL(get_rpc_server_stats(r.server).open == 0);
	check_rig_works(&r); /* a free worker took the closing by now */
	ck_assert_int_eq(count_rig_closed(&r), 0);
	atomic_store(&r.block, false);
	RIG_UNTIL(count_rig_closed(&r) == 1);
	close_rig(&r);
}
END_TEST

/* Guards against a server that cannot close one client's connection. */
START_TEST(server_closes_a_connection_on_request)
{
	struct rig_call held;
	struct rig r;

	open_both(&r);
	start_rig_call(&r, &held, GGS_WATCH, "a", 60000);
	RIG_UNTIL(count_rig_held(&r) == 1);
	close_rpc_connection(r.server, r.held_conn[0] + 1);
	close_rpc_connection(r.server, r.held_conn[0]);
	await_rig_call(&held, ERR_TIMEOUT);
	check_rig_works(&r);
	close_rig(&r);
}
END_TEST

/* Guards against "unknown" for a call that certainly was not sent. */
START_TEST(unsent_call_is_unavailable)
{
	struct rig_call call;
	struct rig r;

	open_both(&r);
	atomic_store(&r.refuse_connect, true);
	start_rig_call(&r, &call, GGS_PROPOSE, "x", 5000);
	await_rig_call(&call, ERR_UNAVAILABLE);
	atomic_store(&r.refuse_connect, false);
	atomic_store(&r.call_fault, RPC_FAULT_BREAK);
	start_rig_call(&r, &call, GGS_PROPOSE, "x", 5000);
	await_rig_call(&call, ERR_UNAVAILABLE);
	ck_assert_uint_eq(get_rpc_server_stats(r.server).calls, 0);
	atomic_store(&r.call_fault, RPC_FAULT_PASS);
	check_rig_works(&r);
	close_rig(&r);
}
END_TEST

/* Guards against a call that waits for ever for a hello. */
START_TEST(connecting_is_bounded)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	char address[RPC_ADDRESS_BYTES];
	struct rig_call call;
	struct rig r;
	struct fault f;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	open_both(&r);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	ck_assert_int_eq(listen(fd, 8), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&sin, &len), 0);
	snprintf(address, sizeof(address), "127.0.0.1:%d", ntohs(sin.sin_port));
	ck_assert_int_eq(open_rpc_peer(r.client, address, &r.peer, &f), 0);
	start_rig_call(&r, &call, GGS_PROPOSE, "x", 5000);
	RIG_UNTIL(get_rpc_client_stats(r.client).open == 1);
	advance_rig(&r, 1100);
	await_rig_call(&call, ERR_UNAVAILABLE);
	close(fd);
	start_rig_call(&r, &call, GGS_PROPOSE, "x", 5000);
	await_rig_call(&call, ERR_UNAVAILABLE);
	close_rig(&r);
}
END_TEST

struct opening_case {
	const char *what;
	bool taken; /* the peer's system takes the connection */
	int advance_ms;
	bool want_waiting;
};

static const struct opening_case opening_cases[] = {
    {"no answer, yet", false, 150, true},
    {"no answer", false, 250, false},
    {"a process that is slow to greet", true, 250, true},
    {"a process that does not greet", true, 1100, false},
};

/*
 * Guards against a call that waits a second for a lost SYN, which the system
 * repeats only then, and against giving up a process that is merely slow. A
 * full queue of connections makes the system drop a SYN.
 */
START_TEST(opening_is_bounded)
{
	const struct opening_case *c = &opening_cases[_i];
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	char address[RPC_ADDRESS_BYTES];
	int fd = socket(AF_INET, SOCK_STREAM, 0), fill[2];
	struct rig_call call;
	struct rig r;
	struct fault f;

	open_rig(&r);
	open_rig_server(&r, (struct rpc_server_config){0});
	open_rig_client(&r, (struct rpc_client_config){.open_ms = 200});
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	ck_assert_int_eq(listen(fd, c->taken ? 8 : 0), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&sin, &len), 0);
	for (int i = 0; i < 2; i++) {
		fill[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(fill[i], (struct sockaddr *)&sin, sizeof(sin));
	}
	snprintf(address, sizeof(address), "127.0.0.1:%d", ntohs(sin.sin_port));
	ck_assert_int_eq(open_rpc_peer(r.client, address, &r.peer, &f), 0);
	start_rig_call(&r, &call, GGS_PROPOSE, "x", 5000);
	RIG_UNTIL(get_rpc_client_stats(r.client).open == 1);
	advance_rig(&r, c->advance_ms);
	for (int i = 0; i < 50; i++)
		pause_rig();
	ck_assert_msg(
	    (get_rpc_client_stats(r.client).open == 1) == c->want_waiting, "%s",
	    c->what);
	for (int i = 0; i < 2; i++)
		close(fill[i]);
	close(fd);
	advance_rig(&r, 1100);
	await_rig_call(&call, ERR_UNAVAILABLE);
	close_rig(&r);
}
END_TEST

struct refusal_case {
	const char *name;
	uint32_t proc;
	const char *args;
	int want;
};

static const struct refusal_case refusal_cases[] = {
    {"ping", GGS_PING, "", 0},
    {"no such procedure", 12, "", ERR_NOT_FOUND},
    {"handler: invalid", GGS_CLAIM, "\x01", ERR_INVALID},
    {"handler: limit", GGS_CLAIM, "\x06", ERR_LIMIT},
    {"handler: other", GGS_CLAIM, "\x04", ERR_LIMIT},
    {"reply over its limit", GGS_READ_INDEX, "", ERR_TIMEOUT},
};

/* Guards against refusals that look like other outcomes. */
START_TEST(refusals_reach_the_caller)
{
	const struct refusal_case *c = &refusal_cases[_i];
	struct rig_call call;
	struct rig r;

	open_both(&r);
	start_rig_call(&r, &call, c->proc, c->args, 5000);
	await_rig_call(&call, c->want);
	check_rig_works(&r);
	ck_assert_uint_eq(get_rpc_server_stats(r.server).refused_size,
	    c->proc == GGS_READ_INDEX);
	close_rig(&r);
}
END_TEST

/* Guards against calls without bound, at the server and at the client. */
START_TEST(unanswered_calls_are_bounded)
{
	struct rig_call calls[4];
	struct rig r;

	open_rig(&r);
	open_rig_server(&r, (struct rpc_server_config){.max_unanswered = 2});
	open_rig_client(&r, (struct rpc_client_config){.max_in_flight = 3});
	start_rig_call(&r, &calls[0], GGS_WATCH, "0", 60000);
	RIG_UNTIL(count_rig_held(&r) == 1);
	start_rig_call(&r, &calls[1], GGS_WATCH, "1", 60000);
	RIG_UNTIL(count_rig_held(&r) == 2);
	start_rig_call(&r, &calls[2], GGS_WATCH, "2", 60000);
	await_rig_call(&calls[2], ERR_LIMIT);
	ck_assert_uint_eq(get_rpc_server_stats(r.server).refused_calls, 1);
	atomic_store(&r.call_fault, RPC_FAULT_DROP);
	start_rig_call(&r, &calls[2], GGS_WATCH, "2", 60000);
	ck_assert_int_eq(call_rpc(r.peer, GGS_WATCH, make_str("3"), 60000,
			     end_rig_call, &calls[3]),
	    ERR_LIMIT);
	RIG_UNTIL(atomic_load(&r.sends) >= 5);
	atomic_store(&r.call_fault, RPC_FAULT_PASS);
	complete_rig(&r, 0);
	await_rig_call(&calls[0], 0);
	check_rig_works(&r);
	close_rig(&r);
}
END_TEST

/* Guards against arguments that the server would close the connection for. */
START_TEST(oversized_arguments_are_refused_locally)
{
	static char big[64 * 1024 + 1];
	struct buf body = {0};
	struct rig r;

	open_both(&r);
	ck_assert_int_eq(call_rpc_wait(r.peer, GGS_WATCH,
			     make_str_n(big, sizeof(big)), 1000, &body),
	    ERR_LIMIT);
	ck_assert_int_eq(call_rpc_wait(r.peer, GGS_PROPOSE,
			     make_str_n(big, sizeof(big)), 5000, &body),
	    0);
	ck_assert_uint_eq(body.len, sizeof(big));
	unload_buf(&body);
	close_rig(&r);
}
END_TEST

/* Guards against a rotation during which some pair cannot talk. */
START_TEST(keys_rotate_without_an_outage)
{
	const struct str one = make_str(rig_key), two = make_str(rig_key_two);
	struct rig_call held;
	struct rig r;

	open_both(&r);
	check_rig_works(&r);
	ck_assert_int_eq(set_rpc_server_keys(r.server, one, two), 0);
	ck_assert_int_eq(set_rpc_client_keys(r.client, two, one), 0);
	check_rig_works(&r);
	start_rig_call(&r, &held, GGS_WATCH, "held", 60000);
	RIG_UNTIL(count_rig_held(&r) == 1);
	ck_assert_uint_eq(get_rpc_client_stats(r.client).accepted, 1);
	ck_assert_int_eq(
	    set_rpc_server_keys(r.server, two, (struct str){NULL, 0}), 0);
	await_rig_call(&held, ERR_TIMEOUT);
	ck_assert_uint_eq(get_rpc_server_stats(r.server).retired, 1);
	check_rig_works(&r);
	ck_assert_int_eq(
	    set_rpc_client_keys(r.client, two, (struct str){NULL, 0}), 0);
	check_rig_works(&r);
	ck_assert_uint_eq(get_rpc_client_stats(r.client).accepted, 2);
	ck_assert_uint_eq(get_rpc_client_stats(r.client).retired, 0);
	close_rig(&r);
}
END_TEST

/* Guards against a client of another fleet that gets an answer. */
START_TEST(wrong_key_gets_no_answer)
{
	struct rig_call call;
	struct rig r;

	open_rig(&r);
	open_rig_server(&r, (struct rpc_server_config){0});
	open_rig_client(
	    &r, (struct rpc_client_config){.key = make_str(rig_key_two)});
	start_rig_call(&r, &call, GGS_PROPOSE, "x", 5000);
	RIG_UNTIL(atomic_load(&call.done) == 1);
	ck_assert_int_ne(call.status, 0);
	ck_assert_uint_eq(get_rpc_server_stats(r.server).refused_auth, 1);
	ck_assert_uint_eq(get_rpc_server_stats(r.server).calls, 0);
	close_rig(&r);
}
END_TEST

/* Guards against a delayed message that is lost or blocks later ones. */
START_TEST(delayed_message_is_overtaken)
{
	struct rig_call slow, quick;
	struct rig r;

	open_both(&r);
	check_rig_works(&r);
	atomic_store(&r.delay_ms, 300);
	atomic_store(&r.call_fault, RPC_FAULT_DELAY);
	start_rig_call(&r, &slow, GGS_PROPOSE, "slow", 5000);
	RIG_UNTIL(atomic_load(&r.sends) >= 3);
	atomic_store(&r.call_fault, RPC_FAULT_PASS);
	start_rig_call(&r, &quick, GGS_PROPOSE, "quick", 5000);
	await_rig_call(&quick, 0);
	ck_assert_int_eq(atomic_load(&slow.done), 0);
	advance_rig(&r, 400);
	await_rig_call(&slow, 0);
	ck_assert_str_eq(slow.body, "slow");
	close_rig(&r);
}
END_TEST

/* Guards against connections that stay open without use. */
START_TEST(idle_connection_is_closed_by_the_client)
{
	struct rig r;

	open_both(&r);
	check_rig_works(&r);
	advance_rig(&r, 31000);
	RIG_UNTIL(get_rpc_client_stats(r.client).open == 0);
	RIG_UNTIL(get_rpc_server_stats(r.server).open == 0);
	ck_assert_uint_eq(get_rpc_server_stats(r.server).refused_slow, 0);
	check_rig_works(&r);
	close_rig(&r);
}
END_TEST

static void
call_inside(void *arg, const struct rpc_result *result)
{
	struct rig_call *c = arg;
	struct buf body = {0};

	(void)result;
	c->status =
	    call_rpc_wait(c->rig->peer, GGS_PING, make_str(""), 1000, &body);
	atomic_fetch_add(&c->done, 1);
}

/* Guards against a callback that waits for its own thread. */
START_TEST(blocking_call_in_a_callback_is_refused)
{
	struct rig_call c = {0};
	struct rig r;

	open_both(&r);
	c.rig = &r;
	ck_assert_int_eq(
	    call_rpc(r.peer, GGS_PING, make_str(""), 1000, call_inside, &c), 0);
	RIG_UNTIL(atomic_load(&c.done) == 1);
	ck_assert_int_eq(c.status, ERR_INVALID);
	close_rig(&r);
}
END_TEST

/* Guards against a close that leaves a caller waiting. */
START_TEST(client_close_ends_all_calls)
{
	struct rig_call sent, unsent;
	struct rig r;

	open_both(&r);
	start_rig_call(&r, &sent, GGS_WATCH, "a", 60000);
	RIG_UNTIL(count_rig_held(&r) == 1);
	close_rpc_client(r.client);
	await_rig_call(&sent, ERR_TIMEOUT);
	RIG_UNTIL(count_rig_closed(&r) == 1);
	atomic_store(&r.refuse_connect, false);
	open_rig_client(&r, (struct rpc_client_config){0});
	start_rig_call(&r, &unsent, GGS_WATCH, "b", 60000);
	close_rpc_client(r.client);
	r.client = NULL;
	ck_assert_int_eq(atomic_load(&unsent.done), 1);
	ck_assert_int_ne(unsent.status, 0);
	close_rig(&r);
}
END_TEST

/* Guards against control traffic that the product measure does not see. */
START_TEST(bytes_are_counted_by_class)
{
	const uint64_t hellos[2] = {4 + 32, 4 + 40};
	const struct {
		const char *side, *dir, *class;
		uint64_t want;
	} wants[] = {
	    {"client", "out", "propose", RPC_CALL_OVERHEAD + 3},
	    {"client", "in", "propose", RPC_REPLY_OVERHEAD + 3},
	    {"server", "out", "propose", RPC_REPLY_OVERHEAD + 3},
	    {"server", "in", "propose", RPC_CALL_OVERHEAD + 3},
	    {"client", "out", "connect", hellos[1]},
	    {"client", "in", "connect", hellos[0]},
	    {"server", "out", "connect", hellos[0]},
	    {"server", "in", "connect", hellos[1]},
	    {"client", "out", "watch", 0},
	};
	struct rpc_stats server, client;
	char name[METRIC_NAME_BYTES];
	struct rig r;

	open_both(&r);
	check_rig_works(&r);
	server = get_rpc_server_stats(r.server);
	client = get_rpc_client_stats(r.client);
	ck_assert_uint_eq(client.bytes_out, RPC_CALL_OVERHEAD + 3 + hellos[1]);
	ck_assert_uint_eq(client.bytes_in, RPC_REPLY_OVERHEAD + 3 + hellos[0]);
	ck_assert_uint_eq(client.bytes_out, server.bytes_in);
	ck_assert_uint_eq(client.bytes_in, server.bytes_out);
	for (size_t i = 0; i < sizeof(wants) / sizeof(wants[0]); i++) {
		snprintf(name, sizeof(name),
		    "ggs_rpc_bytes_total{side=\"%s\",dir=\"%s\",class=\"%s\"}",
		    wants[i].side, wants[i].dir, wants[i].class);
		ck_assert_msg((uint64_t)get_metric(register_metric(
				  METRIC_COUNTER, name, "")) == wants[i].want,
		    "%s", name);
	}
	close_rig(&r);
}
END_TEST

static void *
run_burst(void *arg)
{
	struct rig *r = arg;
	struct buf body = {0};
	char text[32];

	for (int i = 0; i < BURST_CALLS; i++) {
		snprintf(text, sizeof(text), "%p-%d", (void *)&body, i);
		body.len = 0;
		ck_assert_int_eq(call_rpc_wait(r->peer, GGS_PROPOSE,
				     make_str(text), 5000, &body),
		    0);
		ck_assert(is_str_equal(view_buf(&body), make_str(text)));
	}
	unload_buf(&body);
	return NULL;
}

/* Guards against mixed-up replies under load, and races (thread sanitizer). */
START_TEST(concurrent_calls_get_their_replies)
{
	pthread_t threads[BURST_THREADS];
	struct rig r;

	open_both(&r);
	for (int i = 0; i < BURST_THREADS; i++)
		ck_assert_int_eq(
		    pthread_create(&threads[i], NULL, run_burst, &r), 0);
	for (int i = 0; i < BURST_THREADS; i++)
		pthread_join(threads[i], NULL);
	ck_assert_uint_eq(
	    get_rpc_server_stats(r.server).calls, BURST_THREADS * BURST_CALLS);
	close_rig(&r);
}
END_TEST

#define COUNT(a) (int)(sizeof(a) / sizeof((a)[0]))

int
main(void)
{
	Suite *s = suite_create("rpc_client");
	TCase *t = tcase_create("calls");
	SRunner *run;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_test(t, crossed_replies_reach_their_calls);
	tcase_add_test(t, late_reply_is_dropped);
	tcase_add_test(t, doubled_reply_is_dropped);
	tcase_add_test(t, replayed_bytes_close_the_connection);
	tcase_add_loop_test(
	    t, silent_connection_is_replaced, 0, COUNT(silence_cases));
	tcase_add_test(t, slow_call_keeps_a_working_connection);
	tcase_add_test(t, server_closing_fails_held_calls);
	tcase_add_test(t, reply_for_a_closed_connection_is_dropped);
	tcase_add_test(t, close_is_reported_after_the_last_handler);
	tcase_add_test(t, server_closes_a_connection_on_request);
	tcase_add_test(t, unsent_call_is_unavailable);
	tcase_add_test(t, connecting_is_bounded);
	tcase_add_loop_test(t, opening_is_bounded, 0,
	    sizeof(opening_cases) / sizeof(opening_cases[0]));
	tcase_add_loop_test(
	    t, refusals_reach_the_caller, 0, COUNT(refusal_cases));
	tcase_add_test(t, unanswered_calls_are_bounded);
	tcase_add_test(t, oversized_arguments_are_refused_locally);
	tcase_add_test(t, keys_rotate_without_an_outage);
	tcase_add_test(t, wrong_key_gets_no_answer);
	tcase_add_test(t, delayed_message_is_overtaken);
	tcase_add_test(t, idle_connection_is_closed_by_the_client);
	tcase_add_test(t, blocking_call_in_a_callback_is_refused);
	tcase_add_test(t, client_close_ends_all_calls);
	tcase_add_test(t, bytes_are_counted_by_class);
	tcase_add_test(t, concurrent_calls_get_their_replies);
	suite_add_tcase(s, t);
	run = srunner_create(s);
	srunner_run_all(run, CK_ENV);
	failed = srunner_ntests_failed(run);
	srunner_free(run);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
