/*
 * The server with peers that violate the protocol: it closes the connection of
 * each, counts the reason and continues to serve the others.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <stddef.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rpc_loop.h"
#include "rpc_message.h"
#include "rpc_fixture.h"

#define WATCH_MAX (64 * 1024) /* bytes, max_args of WATCH */

/* A peer that sends arbitrary bytes to the server. */
struct raw_client {
	int fd;
	unsigned char challenge[RPC_CHALLENGE_BYTES];
	struct rpc_session session;
	struct buf out;
};

/* Reads exactly n bytes. */
static void
receive_raw(int fd, char *p, size_t n)
{
	while (n > 0) {
		ssize_t got = recv(fd, p, n, 0);

		ck_assert_int_gt(got, 0);
		p += got;
		n -= (size_t)got;
	}
}

/* Sends the buffered output. */
static void
send_raw(struct raw_client *raw)
{
	ck_assert_int_eq(
	    send(raw->fd, raw->out.data, raw->out.len, MSG_NOSIGNAL),
	    (ssize_t)raw->out.len);
	raw->out.len = 0;
}

/* Connects and reads the server's hello; the peer does not answer it. */
static void
connect_raw(struct fixture *fx, struct raw_client *raw)
{
	char hello[RPC_MARK_BYTES + RPC_SERVER_HELLO_BYTES];
	struct timeval limit = {.tv_sec = WAIT_MAX_MS / 1000};
	struct rpc_address a;

	memset(raw, 0, sizeof(*raw));
	ck_assert_int_eq(
	    parse_rpc_address(get_rpc_server_address(fx->server), &a), 0);
	raw->fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_ge(raw->fd, 0);
	ck_assert_int_eq(
	    connect(raw->fd, (struct sockaddr *)&a.storage, a.len), 0);
	(void)setsockopt(
	    raw->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	receive_raw(raw->fd, hello, sizeof(hello));
	ck_assert_int_eq(decode_server_hello(make_str_n(hello + RPC_MARK_BYTES,
						 RPC_SERVER_HELLO_BYTES),
			     raw->challenge),
	    0);
}

/* Buffers a client hello with key and starts the session. */
static void
append_raw_hello(struct raw_client *raw, const char *key)
{
	unsigned char nonce[RPC_NONCE_BYTES] = {1, 2, 3};
	struct rpc_keys k;

	ck_assert_int_eq(
	    load_rpc_keys(&k, make_str(key), (struct str){NULL, 0}), 0);
	ck_assert_int_eq(
	    encode_client_hello(k.keys[0], raw->challenge, nonce, &raw->out),
	    0);
	start_client_session(&raw->session, k.keys[0], raw->challenge, nonce);
}

static void
append_raw_call(
    struct raw_client *raw, uint32_t xid, uint32_t proc, const char *args)
{
	ck_assert_int_eq(encode_rpc_call(&raw->session, xid, proc,
			     make_str(args), &raw->out),
	    0);
}

/* Reads until the server closes the connection; fails after WAIT_MAX_MS. */
static void
await_raw_close(struct raw_client *raw)
{
	char sink[4096];
	ssize_t n;

	do
		n = recv(raw->fd, sink, sizeof(sink), 0);
	while (n > 0);
	ck_assert_msg(
	    n == 0 || errno == ECONNRESET, "the server kept the connection");
	close(raw->fd);
	unload_buf(&raw->out);
}

enum attack {
	SHORT_HELLO,
	LONG_HELLO,
	FRAGMENT,
	EMPTY_RECORD,
	HUGE_RECORD_LENGTH,
	WRONG_MAGIC,
	WRONG_KEY_HELLO,
	REPLAYED_HELLO,
	REPLAYED_CALL,
	CHANGED_BODY,
	OVERSIZED_CALL,
	OVERSIZED_UNKNOWN,
	REPLY_TO_SERVER,
	SHORT_CALL,
	RANDOM_BYTES,
	NO_HELLO,
	SLOW_HELLO,
	SLOW_CALL,
	IDLE,
};

struct attack_case {
	const char *name;
	enum attack attack;
	size_t counter; /* offset in struct rpc_stats */
	int advance_ms; /* clock time after which the server closes */
};

#define STAT_OFFSET(member) offsetof(struct rpc_stats, member)

static const struct attack_case attack_cases[] = {
    {"hello too short", SHORT_HELLO, STAT_OFFSET(refused_format), 0},
    {"hello too long", LONG_HELLO, STAT_OFFSET(refused_size), 0},
    {"fragment of a record", FRAGMENT, STAT_OFFSET(refused_format), 0},
    {"empty record", EMPTY_RECORD, STAT_OFFSET(refused_format), 0},
    {"record of 2 GiB", HUGE_RECORD_LENGTH, STAT_OFFSET(refused_size), 0},
    {"hello of another protocol", WRONG_MAGIC, STAT_OFFSET(refused_format), 0},
    {"wrong key", WRONG_KEY_HELLO, STAT_OFFSET(refused_auth), 0},
    {"hello of another connection", REPLAYED_HELLO, STAT_OFFSET(refused_auth),
	0},
    {"call sent twice", REPLAYED_CALL, STAT_OFFSET(refused_replay), 0},
    {"changed call", CHANGED_BODY, STAT_OFFSET(refused_auth), 0},
    {"call over the procedure's limit", OVERSIZED_CALL,
	STAT_OFFSET(refused_size), 0},
    {"long unknown call", OVERSIZED_UNKNOWN, STAT_OFFSET(refused_size), 0},
    {"reply sent to the server", REPLY_TO_SERVER, STAT_OFFSET(refused_format),
	0},
    {"record shorter than a header", SHORT_CALL, STAT_OFFSET(refused_format),
	0},
    {"random bytes", RANDOM_BYTES, STAT_OFFSET(refused_format), 0},
    {"no hello", NO_HELLO, STAT_OFFSET(refused_slow), 6000},
    {"incomplete hello", SLOW_HELLO, STAT_OFFSET(refused_slow), 6000},
    {"incomplete call", SLOW_CALL, STAT_OFFSET(refused_slow), 6000},
    {"idle", IDLE, STAT_OFFSET(refused_slow), 46000},
};

static void
append_bytes(struct raw_client *raw, const char *data, size_t n)
{
	ck_assert_int_eq(append_buf(&raw->out, data, n), 0);
}

/* Buffers an invalid or incomplete hello. */
static void
attack_hello(struct fixture *fx, struct raw_client *raw, enum attack a)
{
	struct raw_client other;

	switch (a) {
	case SHORT_HELLO:
		append_bytes(raw, "\x80\0\0\x04gggg", 8);
		break;
	case LONG_HELLO:
		append_bytes(raw, "\x80\0\0\x29", 4);
		break;
	case FRAGMENT:
		append_bytes(raw, "\0\0\0\x28", 4);
		break;
	case EMPTY_RECORD:
		append_bytes(raw, "\x80\0\0\0", 4);
		break;
	case HUGE_RECORD_LENGTH:
		append_bytes(raw, "\xff\xff\xff\xff", 4);
		break;
	case WRONG_MAGIC:
		append_raw_hello(raw, fleet_key);
		raw->out.data[4] ^= 1;
		break;
	case WRONG_KEY_HELLO:
		append_raw_hello(raw, other_fleet_key);
		break;
	case REPLAYED_HELLO:
		connect_raw(fx, &other);
		append_raw_hello(&other, fleet_key);
		append_bytes(raw, other.out.data, other.out.len);
		close(other.fd);
		unload_buf(&other.out);
		break;
	case RANDOM_BYTES:
		append_bytes(raw, "GET / HTTP/1.1\r\n\r\n", 18);
		break;
	default:
		append_bytes(raw, "\x80\0", 2);
		break;
	}
}

/* Buffers a valid hello and an invalid or incomplete call. */
static void
attack_call(struct raw_client *raw, enum attack a)
{
	struct buf copy = {0};
	size_t at;

	append_raw_hello(raw, fleet_key);
	at = raw->out.len;
	switch (a) {
	case REPLAYED_CALL:
		append_raw_call(raw, 1, GGS_WATCH, "once");
		ck_assert_int_eq(
		    append_buf(&copy, raw->out.data + at, raw->out.len - at),
		    0);
		append_bytes(raw, copy.data, copy.len);
		unload_buf(&copy);
		break;
	case CHANGED_BODY:
		append_raw_call(raw, 1, GGS_WATCH, "body");
		raw->out.data[raw->out.len - 1] ^= 1;
		break;
	case OVERSIZED_CALL:
		/* header only: refused before the body arrives */
		append_raw_call(raw, 1, GGS_WATCH, "");
		raw->out.data[at + 1] = WATCH_MAX >> 16;
		raw->out.data[at + 3]++;
		break;
	case OVERSIZED_UNKNOWN:
		append_raw_call(raw, 1, 99, "");
		raw->out.data[at + 2] = 8;
		break;
	case REPLY_TO_SERVER:
		ck_assert_int_eq(encode_rpc_reply(&raw->session, 1, 0,
				     make_str("x"), &raw->out),
		    0);
		break;
	case SHORT_CALL:
		append_bytes(raw, "\x80\0\0\x08zzzzzzzz", 12);
		break;
	case SLOW_CALL:
		append_raw_call(raw, 1, GGS_WATCH, "slow");
		raw->out.len -= 2;
		break;
	default:
		break;
	}
}

/*
 * Guards against a malformed, forged, replayed, oversized or slow message that
 * reaches a handler, leaves its connection open or affects another connection.
 */
START_TEST(attack_closes_only_its_connection)
{
	const struct attack_case *c = &attack_cases[_i];
	struct rpc_stats st;
	struct fixture fx;
	struct raw_client raw;

	init_fixture(&fx);
	open_fixture_server(&fx, (struct rpc_server_config){0});
	open_fixture_client(&fx, (struct rpc_client_config){0});
	connect_raw(&fx, &raw);
	if (c->attack >= REPLAYED_CALL && c->attack != NO_HELLO &&
	    c->attack != SLOW_HELLO && c->attack != RANDOM_BYTES)
		attack_call(&raw, c->attack);
	else if (c->attack != NO_HELLO)
		attack_hello(&fx, &raw, c->attack);
	if (raw.out.len > 0)
		send_raw(&raw);
	if (c->advance_ms > 0) {
		if (raw.session.sent_counter > 0 || c->attack == IDLE)
			WAIT_UNTIL(get_rpc_server_stats(fx.server).bytes_in >=
				   RPC_CLIENT_HELLO_BYTES);
		advance_fixture_clock(&fx, c->advance_ms);
	}
	await_raw_close(&raw);
	st = get_rpc_server_stats(fx.server);
	ck_assert_msg(
	    *(uint64_t *)((char *)&st + c->counter) == 1, "%s", c->name);
	ck_assert_uint_eq(st.refused_auth + st.refused_replay +
			      st.refused_size + st.refused_format +
			      st.refused_slow,
	    1);
	ck_assert_uint_le(st.calls, c->attack == REPLAYED_CALL);
	check_call_succeeds(&fx);
	close_fixture(&fx);
}
END_TEST

/* Guards against losing a record that arrives in many reads. */
START_TEST(call_received_byte_by_byte_is_answered)
{
	char reply[RPC_REPLY_OVERHEAD + 3];
	struct rpc_message m;
	struct fixture fx;
	struct raw_client raw;

	init_fixture(&fx);
	open_fixture_server(&fx, (struct rpc_server_config){0});
	connect_raw(&fx, &raw);
	append_raw_hello(&raw, fleet_key);
	append_raw_call(&raw, 77, GGS_PROPOSE, "abc");
	for (size_t i = 0; i < raw.out.len; i++)
		ck_assert_int_eq(
		    send(raw.fd, raw.out.data + i, 1, MSG_NOSIGNAL), 1);
	receive_raw(raw.fd, reply, sizeof(reply));
	ck_assert_int_eq(decode_rpc_reply(&raw.session, reply + RPC_MARK_BYTES,
			     sizeof(reply) - RPC_MARK_BYTES, &m),
	    0);
	ck_assert_uint_eq(m.xid, 77);
	ck_assert(is_str_equal(m.body, make_str("abc")));
	close(raw.fd);
	unload_buf(&raw.out);
	close_fixture(&fx);
}
END_TEST

/* Guards against a peer that exhausts memory with connections. */
START_TEST(connections_over_the_limit_are_closed)
{
	struct fixture fx;
	struct raw_client a, b;
	char byte;

	init_fixture(&fx);
	open_fixture_server(
	    &fx, (struct rpc_server_config){.max_connections = 1});
	connect_raw(&fx, &a);
	memset(&b, 0, sizeof(b));
	struct rpc_address addr;
	ck_assert_int_eq(
	    parse_rpc_address(get_rpc_server_address(fx.server), &addr), 0);
	b.fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(
	    connect(b.fd, (struct sockaddr *)&addr.storage, addr.len), 0);
	ck_assert_int_le(recv(b.fd, &byte, 1, 0), 0);
	close(b.fd);
	ck_assert_uint_eq(get_rpc_server_stats(fx.server).refused_full, 1);
	close(a.fd);
	WAIT_UNTIL(get_rpc_server_stats(fx.server).open == 0);
	open_fixture_client(&fx, (struct rpc_client_config){0});
	check_call_succeeds(&fx);
	close_fixture(&fx);
}
END_TEST

/*
 * Guards against a server that runs out of descriptors and then polls in a busy
 * loop, or never accepts again.
 */
START_TEST(server_recovers_from_file_limit)
{
	struct rlimit original, lowered;
	struct rpc_address addr;
	struct fixture fx;
	char byte;
	int fd;

	init_fixture(&fx);
	open_fixture_server(&fx, (struct rpc_server_config){0});
	ck_assert_int_eq(
	    parse_rpc_address(get_rpc_server_address(fx.server), &addr), 0);
	ck_assert_int_eq(getrlimit(RLIMIT_NOFILE, &original), 0);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	lowered = original;
	lowered.rlim_cur = (rlim_t)fd + 1;
	ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &lowered), 0);
	ck_assert_int_eq(
	    connect(fd, (struct sockaddr *)&addr.storage, addr.len), 0);
	WAIT_UNTIL(get_rpc_server_stats(fx.server).refused_full == 1);
	for (int i = 0; i < 50; i++)
		sleep_1ms();
	ck_assert_uint_eq(get_rpc_server_stats(fx.server).refused_full, 1);
	ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &original), 0);
	advance_fixture_clock(&fx, 300);
	ck_assert_int_eq(recv(fd, &byte, 1, 0), 1);
	close(fd);
	close_fixture(&fx);
}
END_TEST

/* Guards against a slow reader whose replies exhaust the server's memory. */
START_TEST(unread_output_is_bounded)
{
	static char big[256 * 1024];
	struct rpc_stats st;
	struct fixture fx;
	struct raw_client raw;

	init_fixture(&fx);
	open_fixture_server(
	    &fx, (struct rpc_server_config){.max_output = 512 * 1024});
	memset(big, 'x', sizeof(big) - 1);
	connect_raw(&fx, &raw);
	append_raw_hello(&raw, fleet_key);
	send_raw(&raw);
	for (int i = 0; i < 256; i++) {
		append_raw_call(&raw, (uint32_t)i, GGS_PROPOSE, big);
		if (send(raw.fd, raw.out.data, raw.out.len, MSG_NOSIGNAL) < 0)
			break;
		raw.out.len = 0;
	}
	WAIT_UNTIL(get_rpc_server_stats(fx.server).open == 0);
	st = get_rpc_server_stats(fx.server);
	ck_assert_uint_eq(st.refused_slow, 1);
	close(raw.fd);
	unload_buf(&raw.out);
	close_fixture(&fx);
}
END_TEST

/* Guards against keeping a half-open connection forever. */
START_TEST(stalled_reader_is_closed)
{
	static char big[1024 * 1024];
	struct fixture fx;
	struct raw_client raw;

	init_fixture(&fx);
	open_fixture_server(
	    &fx, (struct rpc_server_config){.max_output = 64 * 1024 * 1024});
	memset(big, 'x', sizeof(big) - 1);
	connect_raw(&fx, &raw);
	append_raw_hello(&raw, fleet_key);
	send_raw(&raw);
	for (int i = 0; i < 16; i++) {
		append_raw_call(&raw, (uint32_t)i, GGS_PROPOSE, big);
		send_raw(&raw);
	}
	WAIT_UNTIL(get_rpc_server_stats(fx.server).calls == 16);
	WAIT_UNTIL(
	    get_rpc_server_stats(fx.server).bytes_out > 15 * sizeof(big));
	advance_fixture_clock(&fx, 11000);
	WAIT_UNTIL(get_rpc_server_stats(fx.server).open == 0);
	ck_assert_uint_eq(get_rpc_server_stats(fx.server).refused_slow, 1);
	close(raw.fd);
	unload_buf(&raw.out);
	close_fixture(&fx);
}
END_TEST

/* Guards against connections that stay open with a key no longer accepted. */
START_TEST(retired_key_closes_its_connections)
{
	struct fixture fx;
	struct raw_client old, new;

	init_fixture(&fx);
	open_fixture_server(&fx,
	    (struct rpc_server_config){.next_key = make_str(other_fleet_key)});
	connect_raw(&fx, &old);
	append_raw_hello(&old, fleet_key);
	send_raw(&old);
	connect_raw(&fx, &new);
	append_raw_hello(&new, other_fleet_key);
	append_raw_call(&new, 1, GGS_WATCH, "stays");
	send_raw(&new);
	WAIT_UNTIL(count_pending(&fx) == 1);
	WAIT_UNTIL(get_rpc_server_stats(fx.server).bytes_in >
		   2 * RPC_CLIENT_HELLO_BYTES);
	ck_assert_int_eq(set_rpc_server_keys(fx.server,
			     make_str(other_fleet_key), (struct str){NULL, 0}),
	    0);
	await_raw_close(&old);
	ck_assert_uint_eq(get_rpc_server_stats(fx.server).retired, 1);
	ck_assert_uint_eq(get_rpc_server_stats(fx.server).open, 1);
	close(new.fd);
	unload_buf(&new.out);
	close_fixture(&fx);
}
END_TEST

#define ARRAY_SIZE(a) (int)(sizeof(a) / sizeof((a)[0]))

int
main(void)
{
	Suite *s = suite_create("rpc_server");
	TCase *t = tcase_create("attacks");
	SRunner *run;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_loop_test(
	    t, attack_closes_only_its_connection, 0, ARRAY_SIZE(attack_cases));
	tcase_add_test(t, call_received_byte_by_byte_is_answered);
	tcase_add_test(t, connections_over_the_limit_are_closed);
	tcase_add_test(t, server_recovers_from_file_limit);
	tcase_add_test(t, unread_output_is_bounded);
	tcase_add_test(t, stalled_reader_is_closed);
	tcase_add_test(t, retired_key_closes_its_connections);
	suite_add_tcase(s, t);
	run = srunner_create(s);
	srunner_run_all(run, CK_ENV);
	failed = srunner_ntests_failed(run);
	srunner_free(run);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
