/*
 * The client and pending replies under network faults, with a simulated clock.
 */
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "metric.h"
#include "rpc_loop.h"
#include "rpc_fixture.h"

#define BURST_THREADS 8
#define BURST_CALLS 500 /* per thread */

static void
open_fixture(struct fixture *fx)
{
	init_fixture(fx);
	open_fixture_server(fx, (struct rpc_server_config){0});
	open_fixture_client(fx, (struct rpc_client_config){0});
}

/* Guards against out-of-order replies that complete the wrong calls. */
START_TEST(out_of_order_replies_reach_their_calls)
{
	struct fixture_call calls[3];
	struct fixture fx;

	open_fixture(&fx);
	start_call(&fx, &calls[0], GGS_WATCH, "zero", 5000);
	WAIT_UNTIL(count_pending(&fx) == 1);
	start_call(&fx, &calls[1], GGS_WATCH, "one", 5000);
	WAIT_UNTIL(count_pending(&fx) == 2);
	start_call(&fx, &calls[2], GGS_WATCH, "two", 5000);
	WAIT_UNTIL(count_pending(&fx) == 3);
	for (int i = 2; i >= 0; i--) {
		complete_pending(&fx, i);
		await_call(&calls[i], 0);
	}
	ck_assert_str_eq(calls[0].body, "zero");
	ck_assert_str_eq(calls[1].body, "one");
	ck_assert_str_eq(calls[2].body, "two");
	close_fixture(&fx);
}
END_TEST

/* Guards against a reply after its timeout that completes another call. */
START_TEST(reply_after_timeout_is_dropped)
{
	struct fixture_call late, other;
	struct fixture fx;

	open_fixture(&fx);
	start_call(&fx, &other, GGS_WATCH, "other", 60000);
	WAIT_UNTIL(count_pending(&fx) == 1);
	start_call(&fx, &late, GGS_WATCH, "late", 500);
	WAIT_UNTIL(count_pending(&fx) == 2);
	advance_fixture_clock(&fx, 600);
	await_call(&late, ERR_TIMEOUT);
	complete_pending(&fx, 1);
	WAIT_UNTIL(get_rpc_client_stats(fx.client).unmatched == 1);
	ck_assert_int_eq(atomic_load(&other.done_count), 0);
	complete_pending(&fx, 0);
	await_call(&other, 0);
	ck_assert_str_eq(other.body, "other");
	ck_assert_int_eq(atomic_load(&late.done_count), 1);
	ck_assert_uint_eq(get_rpc_client_stats(fx.client).accepted, 1);
	close_fixture(&fx);
}
END_TEST

/* Guards against a callback that runs twice for a duplicate reply. */
START_TEST(duplicate_reply_is_dropped)
{
	struct fixture_call call;
	struct fixture fx;

	open_fixture(&fx);
	atomic_store(&fx.reply_fault, RPC_FAULT_DUPLICATE);
	start_call(&fx, &call, GGS_PROPOSE, "x", 5000);
	await_call(&call, 0);
	WAIT_UNTIL(get_rpc_client_stats(fx.client).unmatched == 1);
	ck_assert_int_eq(atomic_load(&call.done_count), 1);
	atomic_store(&fx.reply_fault, RPC_FAULT_PASS);
	check_call_succeeds(&fx);
	close_fixture(&fx);
}
END_TEST

/* Guards against a client or server that accepts replayed bytes. */
START_TEST(replayed_bytes_close_the_connection)
{
	struct fixture_call call;
	struct fixture fx;

	open_fixture(&fx);
	atomic_store(&fx.reply_fault, RPC_FAULT_REPLAY);
	start_call(&fx, &call, GGS_PROPOSE, "x", 5000);
	await_call(&call, 0);
	WAIT_UNTIL(get_rpc_client_stats(fx.client).refused_replay == 1);
	atomic_store(&fx.reply_fault, RPC_FAULT_PASS);
	check_call_succeeds(&fx);
	atomic_store(&fx.call_fault, RPC_FAULT_REPLAY);
	start_call(&fx, &call, GGS_WATCH, "y", 5000);
	WAIT_UNTIL(get_rpc_server_stats(fx.server).refused_replay == 1);
	await_call(&call, ERR_TIMEOUT);
	atomic_store(&fx.call_fault, RPC_FAULT_PASS);
	check_call_succeeds(&fx);
	close_fixture(&fx);
}
END_TEST

struct message_loss_case {
	const char *name;
	enum rpc_fault_kind call_fault, reply_fault;
};

static const struct message_loss_case message_loss_cases[] = {
    {"calls and replies lost", RPC_FAULT_DROP, RPC_FAULT_DROP},
    {"calls lost", RPC_FAULT_DROP, RPC_FAULT_PASS},
    {"replies lost (half open)", RPC_FAULT_PASS, RPC_FAULT_DROP},
};

/*
 * Guards against calls that stay on an unresponsive connection although a new
 * one would work, and against lost calls reported as not executed, although
 * they may have run.
 */
START_TEST(unresponsive_connection_is_replaced)
{
	const struct message_loss_case *c = &message_loss_cases[_i];
	struct fixture_call pending, quick;
	struct fixture fx;

	open_fixture(&fx);
	check_call_succeeds(&fx);
	atomic_store(&fx.call_fault, c->call_fault);
	atomic_store(&fx.reply_fault, c->reply_fault);
	atomic_store(&fx.last_faulty_conn, 1);
	advance_fixture_clock(&fx, 10);
	start_call(&fx, &pending, GGS_WATCH, "held", 60000);
	start_call(&fx, &quick, GGS_PROPOSE, "quick", 1500);
	WAIT_UNTIL(get_rpc_client_stats(fx.client).calls == 3);
	WAIT_UNTIL(atomic_load(&fx.send_count) >=
		   (c->call_fault == RPC_FAULT_DROP ? 4 : 5));
	advance_fixture_clock(&fx, 1600);
	await_call(&quick, ERR_TIMEOUT);
	await_call(&pending, ERR_TIMEOUT);
	check_call_succeeds(&fx);
	ck_assert_uint_eq(get_rpc_client_stats(fx.client).accepted, 2);
	close_fixture(&fx);
}
END_TEST

/* Guards against the timeout of one slow call closing a working connection. */
START_TEST(slow_call_keeps_a_working_connection)
{
	struct fixture_call slow;
	struct fixture fx;

	open_fixture(&fx);
	start_call(&fx, &slow, GGS_WATCH, "slow", 3000);
	WAIT_UNTIL(count_pending(&fx) == 1);
	advance_fixture_clock(&fx, 2900);
	check_call_succeeds(&fx);
	advance_fixture_clock(&fx, 200);
	await_call(&slow, ERR_TIMEOUT);
	check_call_succeeds(&fx);
	ck_assert_uint_eq(get_rpc_client_stats(fx.client).accepted, 1);
	close_fixture(&fx);
}
END_TEST

/* Guards against a pending reply that uses the memory of a stopped server. */
START_TEST(server_stop_fails_pending_calls)
{
	struct fixture_call pending[2];
	struct fixture fx;

	open_fixture(&fx);
	start_call(&fx, &pending[0], GGS_WATCH, "a", 60000);
	start_call(&fx, &pending[1], GGS_WATCH, "b", 60000);
	WAIT_UNTIL(count_pending(&fx) == 2);
	stop_rpc_server(fx.server);
	fx.server = NULL;
	await_call(&pending[0], ERR_TIMEOUT);
	await_call(&pending[1], ERR_TIMEOUT);
	ck_assert_int_eq(fx.closed_count, 1);
	complete_all_pending(&fx);
	start_call(&fx, &pending[0], GGS_PROPOSE, "c", 60000);
	await_call(&pending[0], ERR_UNAVAILABLE);
	close_fixture(&fx);
}
END_TEST

/* Guards against a reply that is sent on another, newer connection. */
START_TEST(reply_for_closed_connection_is_dropped)
{
	struct fixture_call pending;
	struct fixture fx;

	open_fixture(&fx);
	start_call(&fx, &pending, GGS_WATCH, "a", 60000);
	WAIT_UNTIL(count_pending(&fx) == 1);
	reset_rpc_peer(fx.peer);
	await_call(&pending, ERR_TIMEOUT);
	WAIT_UNTIL(count_closed(&fx) == 1);
	ck_assert_uint_eq(fx.closed_conn, fx.pending_conn[0]);
	check_call_succeeds(&fx);
	complete_pending(&fx, 0);
	check_call_succeeds(&fx);
	ck_assert_uint_eq(get_rpc_client_stats(fx.client).unmatched, 0);
	close_fixture(&fx);
}
END_TEST

/* Guards against on_close during a handler of the same connection. */
START_TEST(on_close_runs_after_last_handler)
{
	struct fixture_call running, queued;
	struct fixture fx;

	init_fixture(&fx);
	open_fixture_server(&fx, (struct rpc_server_config){.workers = 3});
	open_fixture_client(&fx, (struct rpc_client_config){0});
	atomic_store(&fx.block_sync, true);
	start_call(&fx, &running, GGS_ENDPOINT_SYNC, "a", 60000);
	WAIT_UNTIL(atomic_load(&fx.running_handlers) == 1);
	start_call(&fx, &queued, GGS_WATCH, "b", 60000);
	WAIT_UNTIL(count_pending(&fx) == 1);
	reset_rpc_peer(fx.peer);
	await_call(&running, ERR_TIMEOUT);
	await_call(&queued, ERR_TIMEOUT);
	WAIT_UNTIL(get_rpc_server_stats(fx.server).open == 0);
	check_call_succeeds(&fx); /* a free worker has handled the closing */
	ck_assert_int_eq(count_closed(&fx), 0);
	atomic_store(&fx.block_sync, false);
	WAIT_UNTIL(count_closed(&fx) == 1);
	close_fixture(&fx);
}
END_TEST

/* Guards against close_rpc_connection() without effect or on the wrong ID. */
START_TEST(server_closes_connection_on_request)
{
	struct fixture_call pending;
	struct fixture fx;

	open_fixture(&fx);
	start_call(&fx, &pending, GGS_WATCH, "a", 60000);
	WAIT_UNTIL(count_pending(&fx) == 1);
	close_rpc_connection(fx.server, fx.pending_conn[0] + 1);
	close_rpc_connection(fx.server, fx.pending_conn[0]);
	await_call(&pending, ERR_TIMEOUT);
	check_call_succeeds(&fx);
	close_fixture(&fx);
}
END_TEST

/* Guards against ERR_TIMEOUT for a call that was certainly not sent. */
START_TEST(unsent_call_is_unavailable)
{
	struct fixture_call call;
	struct fixture fx;

	open_fixture(&fx);
	atomic_store(&fx.refuse_connect, true);
	start_call(&fx, &call, GGS_PROPOSE, "x", 5000);
	await_call(&call, ERR_UNAVAILABLE);
	atomic_store(&fx.refuse_connect, false);
	atomic_store(&fx.call_fault, RPC_FAULT_BREAK);
	start_call(&fx, &call, GGS_PROPOSE, "x", 5000);
	await_call(&call, ERR_UNAVAILABLE);
	ck_assert_uint_eq(get_rpc_server_stats(fx.server).calls, 0);
	atomic_store(&fx.call_fault, RPC_FAULT_PASS);
	check_call_succeeds(&fx);
	close_fixture(&fx);
}
END_TEST

/* Guards against a call that waits forever for the server's hello. */
START_TEST(handshake_times_out)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	char address[RPC_ADDRESS_BYTES];
	struct fixture_call call;
	struct fixture fx;
	struct fault f;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	open_fixture(&fx);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	ck_assert_int_eq(listen(fd, 8), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&sin, &len), 0);
	snprintf(address, sizeof(address), "127.0.0.1:%d", ntohs(sin.sin_port));
	ck_assert_int_eq(open_rpc_peer(fx.client, address, &fx.peer, &f), 0);
	start_call(&fx, &call, GGS_PROPOSE, "x", 5000);
	WAIT_UNTIL(get_rpc_client_stats(fx.client).open == 1);
	advance_fixture_clock(&fx, 1100);
	await_call(&call, ERR_UNAVAILABLE);
	close(fd);
	start_call(&fx, &call, GGS_PROPOSE, "x", 5000);
	await_call(&call, ERR_UNAVAILABLE);
	close_fixture(&fx);
}
END_TEST

struct connect_case {
	const char *what;
	bool accepted; /* the listen queue has room for the connection */
	int advance_ms;
	bool want_open;
};

static const struct connect_case connect_cases[] = {
    {"no SYN-ACK, within the limit", false, 150, true},
    {"no SYN-ACK, over the limit", false, 250, false},
    {"no hello, within the limit", true, 250, true},
    {"no hello, over the limit", true, 1100, false},
};

/*
 * Guards against a call that waits for the retransmission of a lost SYN, which
 * takes a second, and against giving up on a process that is only slow to send
 * its hello. The kernel drops SYNs when the listen queue is full.
 */
START_TEST(tcp_connect_times_out)
{
	const struct connect_case *c = &connect_cases[_i];
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	char address[RPC_ADDRESS_BYTES];
	int fd = socket(AF_INET, SOCK_STREAM, 0), fill[2];
	struct fixture_call call;
	struct fixture fx;
	struct fault f;

	init_fixture(&fx);
	open_fixture_server(&fx, (struct rpc_server_config){0});
	open_fixture_client(
	    &fx, (struct rpc_client_config){.tcp_connect_ms = 200});
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	ck_assert_int_eq(listen(fd, c->accepted ? 8 : 0), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&sin, &len), 0);
	for (int i = 0; i < 2; i++) {
		fill[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(fill[i], (struct sockaddr *)&sin, sizeof(sin));
	}
	snprintf(address, sizeof(address), "127.0.0.1:%d", ntohs(sin.sin_port));
	ck_assert_int_eq(open_rpc_peer(fx.client, address, &fx.peer, &f), 0);
	start_call(&fx, &call, GGS_PROPOSE, "x", 5000);
	WAIT_UNTIL(get_rpc_client_stats(fx.client).open == 1);
	advance_fixture_clock(&fx, c->advance_ms);
	for (int i = 0; i < 50; i++)
		sleep_1ms();
	ck_assert_msg(
	    (get_rpc_client_stats(fx.client).open == 1) == c->want_open, "%s",
	    c->what);
	for (int i = 0; i < 2; i++)
		close(fill[i]);
	close(fd);
	advance_fixture_clock(&fx, 1100);
	await_call(&call, ERR_UNAVAILABLE);
	close_fixture(&fx);
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

/* Guards against a refusal that reaches the caller as another outcome. */
START_TEST(refusal_status_reaches_caller)
{
	const struct refusal_case *c = &refusal_cases[_i];
	struct fixture_call call;
	struct fixture fx;

	open_fixture(&fx);
	start_call(&fx, &call, c->proc, c->args, 5000);
	await_call(&call, c->want);
	check_call_succeeds(&fx);
	ck_assert_uint_eq(get_rpc_server_stats(fx.server).refused_size,
	    c->proc == GGS_READ_INDEX);
	close_fixture(&fx);
}
END_TEST

/* Guards against an unlimited number of calls at the server or the client. */
START_TEST(unanswered_calls_are_bounded)
{
	struct fixture_call calls[4];
	struct fixture fx;

	init_fixture(&fx);
	open_fixture_server(
	    &fx, (struct rpc_server_config){.max_unanswered = 2});
	open_fixture_client(
	    &fx, (struct rpc_client_config){.max_in_flight = 3});
	start_call(&fx, &calls[0], GGS_WATCH, "0", 60000);
	WAIT_UNTIL(count_pending(&fx) == 1);
	start_call(&fx, &calls[1], GGS_WATCH, "1", 60000);
	WAIT_UNTIL(count_pending(&fx) == 2);
	start_call(&fx, &calls[2], GGS_WATCH, "2", 60000);
	await_call(&calls[2], ERR_LIMIT);
	ck_assert_uint_eq(get_rpc_server_stats(fx.server).refused_calls, 1);
	atomic_store(&fx.call_fault, RPC_FAULT_DROP);
	start_call(&fx, &calls[2], GGS_WATCH, "2", 60000);
	ck_assert_int_eq(call_rpc(fx.peer, GGS_WATCH, make_str("3"), 60000,
			     record_result, &calls[3]),
	    ERR_LIMIT);
	WAIT_UNTIL(atomic_load(&fx.send_count) >= 5);
	atomic_store(&fx.call_fault, RPC_FAULT_PASS);
	complete_pending(&fx, 0);
	await_call(&calls[0], 0);
	check_call_succeeds(&fx);
	close_fixture(&fx);
}
END_TEST

/* Guards against sending arguments for which the server would disconnect. */
START_TEST(oversized_arguments_are_refused_by_client)
{
	static char big[64 * 1024 + 1];
	struct buf body = {0};
	struct fixture fx;

	open_fixture(&fx);
	ck_assert_int_eq(call_rpc_wait(fx.peer, GGS_WATCH,
			     make_str_n(big, sizeof(big)), 1000, &body),
	    ERR_LIMIT);
	ck_assert_int_eq(call_rpc_wait(fx.peer, GGS_PROPOSE,
			     make_str_n(big, sizeof(big)), 5000, &body),
	    0);
	ck_assert_uint_eq(body.len, sizeof(big));
	unload_buf(&body);
	close_fixture(&fx);
}
END_TEST

/* Guards against a key rotation with a step at which calls fail. */
START_TEST(key_rotation_keeps_calls_working)
{
	const struct str one = make_str(fleet_key),
			 two = make_str(other_fleet_key);
	struct fixture_call pending;
	struct fixture fx;

	open_fixture(&fx);
	check_call_succeeds(&fx);
	ck_assert_int_eq(set_rpc_server_keys(fx.server, one, two), 0);
	ck_assert_int_eq(set_rpc_client_keys(fx.client, two, one), 0);
	check_call_succeeds(&fx);
	start_call(&fx, &pending, GGS_WATCH, "wait", 60000);
	WAIT_UNTIL(count_pending(&fx) == 1);
	ck_assert_uint_eq(get_rpc_client_stats(fx.client).accepted, 1);
	ck_assert_int_eq(
	    set_rpc_server_keys(fx.server, two, (struct str){NULL, 0}), 0);
	await_call(&pending, ERR_TIMEOUT);
	ck_assert_uint_eq(get_rpc_server_stats(fx.server).retired, 1);
	check_call_succeeds(&fx);
	ck_assert_int_eq(
	    set_rpc_client_keys(fx.client, two, (struct str){NULL, 0}), 0);
	check_call_succeeds(&fx);
	ck_assert_uint_eq(get_rpc_client_stats(fx.client).accepted, 2);
	ck_assert_uint_eq(get_rpc_client_stats(fx.client).retired, 0);
	close_fixture(&fx);
}
END_TEST

/* Guards against answering a client that has another fleet key. */
START_TEST(wrong_key_gets_no_reply)
{
	struct fixture_call call;
	struct fixture fx;

	init_fixture(&fx);
	open_fixture_server(&fx, (struct rpc_server_config){0});
	open_fixture_client(
	    &fx, (struct rpc_client_config){.key = make_str(other_fleet_key)});
	start_call(&fx, &call, GGS_PROPOSE, "x", 5000);
	WAIT_UNTIL(atomic_load(&call.done_count) == 1);
	ck_assert_int_ne(call.status, 0);
	ck_assert_uint_eq(get_rpc_server_stats(fx.server).refused_auth, 1);
	ck_assert_uint_eq(get_rpc_server_stats(fx.server).calls, 0);
	close_fixture(&fx);
}
END_TEST

/* Guards against a delay fault that loses a message or blocks later ones. */
START_TEST(delayed_message_does_not_block_later_ones)
{
	struct fixture_call slow, quick;
	struct fixture fx;

	open_fixture(&fx);
	check_call_succeeds(&fx);
	atomic_store(&fx.delay_ms, 300);
	atomic_store(&fx.call_fault, RPC_FAULT_DELAY);
	start_call(&fx, &slow, GGS_PROPOSE, "slow", 5000);
	WAIT_UNTIL(atomic_load(&fx.send_count) >= 3);
	atomic_store(&fx.call_fault, RPC_FAULT_PASS);
	start_call(&fx, &quick, GGS_PROPOSE, "quick", 5000);
	await_call(&quick, 0);
	ck_assert_int_eq(atomic_load(&slow.done_count), 0);
	advance_fixture_clock(&fx, 400);
	await_call(&slow, 0);
	ck_assert_str_eq(slow.body, "slow");
	close_fixture(&fx);
}
END_TEST

/* Guards against unused connections that stay open. */
START_TEST(client_closes_idle_connection)
{
	struct fixture fx;

	open_fixture(&fx);
	check_call_succeeds(&fx);
	advance_fixture_clock(&fx, 31000);
	WAIT_UNTIL(get_rpc_client_stats(fx.client).open == 0);
	WAIT_UNTIL(get_rpc_server_stats(fx.server).open == 0);
	ck_assert_uint_eq(get_rpc_server_stats(fx.server).refused_slow, 0);
	check_call_succeeds(&fx);
	close_fixture(&fx);
}
END_TEST

static void
call_from_callback(void *arg, const struct rpc_result *result)
{
	struct fixture_call *c = arg;
	struct buf body = {0};

	(void)result;
	c->status = call_rpc_wait(
	    c->fixture->peer, GGS_PING, make_str(""), 1000, &body);
	atomic_fetch_add(&c->done_count, 1);
}

/* Guards against a deadlock: an I/O thread that waits for itself. */
START_TEST(blocking_call_in_callback_is_refused)
{
	struct fixture_call c = {0};
	struct fixture fx;

	open_fixture(&fx);
	c.fixture = &fx;
	ck_assert_int_eq(call_rpc(fx.peer, GGS_PING, make_str(""), 1000,
			     call_from_callback, &c),
	    0);
	WAIT_UNTIL(atomic_load(&c.done_count) == 1);
	ck_assert_int_eq(c.status, ERR_INVALID);
	close_fixture(&fx);
}
END_TEST

/* Guards against a closed client that leaves a call without its callback. */
START_TEST(client_close_completes_all_calls)
{
	struct fixture_call sent, unsent;
	struct fixture fx;

	open_fixture(&fx);
	start_call(&fx, &sent, GGS_WATCH, "a", 60000);
	WAIT_UNTIL(count_pending(&fx) == 1);
	close_rpc_client(fx.client);
	await_call(&sent, ERR_TIMEOUT);
	WAIT_UNTIL(count_closed(&fx) == 1);
	atomic_store(&fx.refuse_connect, false);
	open_fixture_client(&fx, (struct rpc_client_config){0});
	start_call(&fx, &unsent, GGS_WATCH, "b", 60000);
	close_rpc_client(fx.client);
	fx.client = NULL;
	ck_assert_int_eq(atomic_load(&unsent.done_count), 1);
	ck_assert_int_ne(unsent.status, 0);
	close_fixture(&fx);
}
END_TEST

/* Guards against control traffic that the byte metrics miss. */
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
	struct fixture fx;

	open_fixture(&fx);
	check_call_succeeds(&fx);
	server = get_rpc_server_stats(fx.server);
	client = get_rpc_client_stats(fx.client);
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
	close_fixture(&fx);
}
END_TEST

/* A thread that makes BURST_CALLS calls with distinct arguments. */
static void *
run_burst(void *arg)
{
	struct fixture *fx = arg;
	struct buf body = {0};
	char text[32];

	for (int i = 0; i < BURST_CALLS; i++) {
		snprintf(text, sizeof(text), "%p-%d", (void *)&body, i);
		body.len = 0;
		ck_assert_int_eq(call_rpc_wait(fx->peer, GGS_PROPOSE,
				     make_str(text), 5000, &body),
		    0);
		ck_assert(is_str_equal(view_buf(&body), make_str(text)));
	}
	unload_buf(&body);
	return NULL;
}

/* Guards against mixed-up replies, and data races (thread sanitizer). */
START_TEST(concurrent_calls_get_their_own_replies)
{
	pthread_t threads[BURST_THREADS];
	struct fixture fx;

	open_fixture(&fx);
	for (int i = 0; i < BURST_THREADS; i++)
		ck_assert_int_eq(
		    pthread_create(&threads[i], NULL, run_burst, &fx), 0);
	for (int i = 0; i < BURST_THREADS; i++)
		pthread_join(threads[i], NULL);
	ck_assert_uint_eq(
	    get_rpc_server_stats(fx.server).calls, BURST_THREADS * BURST_CALLS);
	close_fixture(&fx);
}
END_TEST

#define ARRAY_SIZE(a) (int)(sizeof(a) / sizeof((a)[0]))

int
main(void)
{
	Suite *s = suite_create("rpc_client");
	TCase *t = tcase_create("calls");
	SRunner *run;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_test(t, out_of_order_replies_reach_their_calls);
	tcase_add_test(t, reply_after_timeout_is_dropped);
	tcase_add_test(t, duplicate_reply_is_dropped);
	tcase_add_test(t, replayed_bytes_close_the_connection);
	tcase_add_loop_test(t, unresponsive_connection_is_replaced, 0,
	    ARRAY_SIZE(message_loss_cases));
	tcase_add_test(t, slow_call_keeps_a_working_connection);
	tcase_add_test(t, server_stop_fails_pending_calls);
	tcase_add_test(t, reply_for_closed_connection_is_dropped);
	tcase_add_test(t, on_close_runs_after_last_handler);
	tcase_add_test(t, server_closes_connection_on_request);
	tcase_add_test(t, unsent_call_is_unavailable);
	tcase_add_test(t, handshake_times_out);
	tcase_add_loop_test(t, tcp_connect_times_out, 0,
	    sizeof(connect_cases) / sizeof(connect_cases[0]));
	tcase_add_loop_test(
	    t, refusal_status_reaches_caller, 0, ARRAY_SIZE(refusal_cases));
	tcase_add_test(t, unanswered_calls_are_bounded);
	tcase_add_test(t, oversized_arguments_are_refused_by_client);
	tcase_add_test(t, key_rotation_keeps_calls_working);
	tcase_add_test(t, wrong_key_gets_no_reply);
	tcase_add_test(t, delayed_message_does_not_block_later_ones);
	tcase_add_test(t, client_closes_idle_connection);
	tcase_add_test(t, blocking_call_in_callback_is_refused);
	tcase_add_test(t, client_close_completes_all_calls);
	tcase_add_test(t, bytes_are_counted_by_class);
	tcase_add_test(t, concurrent_calls_get_their_own_replies);
	suite_add_tcase(s, t);
	run = srunner_create(s);
	srunner_run_all(run, CK_ENV);
	failed = srunner_ntests_failed(run);
	srunner_free(run);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
