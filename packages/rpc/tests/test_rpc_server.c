/*
 * The server against peers that break the protocol: each costs one closed
 * connection, is counted under its reason and leaves others undisturbed.
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

#define WATCH_MAX (64 * 1024) /* limit of WATCH arguments */

/* A peer of the server that writes its own bytes. */
struct raw_client {
	int fd;
	unsigned char challenge[RPC_CHALLENGE_BYTES];
	struct rpc_session session;
	struct buf out;
};

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

static void
send_raw(struct raw_client *w)
{
	ck_assert_int_eq(send(w->fd, w->out.data, w->out.len, MSG_NOSIGNAL),
	    (ssize_t)w->out.len);
	w->out.len = 0;
}

static void
connect_raw(struct fixture *fx, struct raw_client *w)
{
	char hello[RPC_MARK_BYTES + RPC_SERVER_HELLO_BYTES];
	struct timeval limit = {.tv_sec = WAIT_MAX_MS / 1000};
	struct rpc_address a;

	memset(w, 0, sizeof(*w));
	ck_assert_int_eq(
	    parse_rpc_address(get_rpc_server_address(fx->server), &a), 0);
	w->fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_ge(w->fd, 0);
	ck_assert_int_eq(
	    connect(w->fd, (struct sockaddr *)&a.storage, a.len), 0);
	(void)setsockopt(w->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	receive_raw(w->fd, hello, sizeof(hello));
	ck_assert_int_eq(decode_server_hello(make_str_n(hello + RPC_MARK_BYTES,
						 RPC_SERVER_HELLO_BYTES),
			     w->challenge),
	    0);
}

static void
append_raw_hello(struct raw_client *w, const char *key)
{
	unsigned char nonce[RPC_NONCE_BYTES] = {1, 2, 3};
	struct rpc_keys k;

	ck_assert_int_eq(
	    load_rpc_keys(&k, make_str(key), (struct str){NULL, 0}), 0);
	ck_assert_int_eq(
	    encode_client_hello(k.keys[0], w->challenge, nonce, &w->out), 0);
	start_client_session(&w->session, k.keys[0], w->challenge, nonce);
}

static void
append_raw_call(
    struct raw_client *w, uint32_t xid, uint32_t proc, const char *args)
{
	ck_assert_int_eq(
	    encode_rpc_call(&w->session, xid, proc, make_str(args), &w->out),
	    0);
}

/* Reads until the server closes; a timeout fails the test. */
static void
await_raw_close(struct raw_client *w)
{
	char sink[4096];
	ssize_t n;

	do
		n = recv(w->fd, sink, sizeof(sink), 0);
	while (n > 0);
	ck_assert_msg(
	    n == 0 || errno == ECONNRESET, "the server kept the connection");
	close(w->fd);
	unload_buf(&w->out);
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
	int advance_ms; /* time that must pass before the close */
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
    {"hello byte by byte", SLOW_HELLO, STAT_OFFSET(refused_slow), 6000},
    {"call byte by byte", SLOW_CALL, STAT_OFFSET(refused_slow), 6000},
    {"idle", IDLE, STAT_OFFSET(refused_slow), 46000},
};

static void
append_bytes(struct raw_client *w, const char *data, size_t n)
{
	ck_assert_int_eq(append_buf(&w->out, data, n), 0);
}

static void
attack_hello(struct fixture *fx, struct raw_client *w, enum attack a)
{
	struct raw_client other;

	switch (a) {
	case SHORT_HELLO:
		append_bytes(w, "\x80\0\0\x04gggg", 8);
		break;
	case LONG_HELLO:
		append_bytes(w, "\x80\0\0\x29", 4);
		break;
	case FRAGMENT:
		append_bytes(w, "\0\0\0\x28", 4);
		break;
	case EMPTY_RECORD:
		append_bytes(w, "\x80\0\0\0", 4);
		break;
	case HUGE_RECORD_LENGTH:
		append_bytes(w, "\xff\xff\xff\xff", 4);
		break;
	case WRONG_MAGIC:
		append_raw_hello(w, fleet_key);
		w->out.data[4] ^= 1;
		break;
	case WRONG_KEY_HELLO:
		append_raw_hello(w, next_fleet_key);
		break;
	case REPLAYED_HELLO:
		connect_raw(fx, &other);
		append_raw_hello(&other, fleet_key);
		append_bytes(w, other.out.data, other.out.len);
		close(other.fd);
		unload_buf(&other.out);
		break;
	case RANDOM_BYTES:
		append_bytes(w, "GET / HTTP/1.1\r\n\r\n", 18);
		break;
	default:
		append_bytes(w, "\x80\0", 2);
		break;
	}
}

static void
attack_call(struct raw_client *w, enum attack a)
{
	struct buf copy = {0};
	size_t at;

	append_raw_hello(w, fleet_key);
	at = w->out.len;
	switch (a) {
	case REPLAYED_CALL:
		append_raw_call(w, 1, GGS_WATCH, "once");
		ck_assert_int_eq(
		    append_buf(&copy, w->out.data + at, w->out.len - at), 0);
		append_bytes(w, copy.data, copy.len);
		unload_buf(&copy);
		break;
	case CHANGED_BODY:
		append_raw_call(w, 1, GGS_WATCH, "body");
		w->out.data[w->out.len - 1] ^= 1;
		break;
	case OVERSIZED_CALL:
		/* only the head: the limit must not wait for the body */
		append_raw_call(w, 1, GGS_WATCH, "");
		w->out.data[at + 1] = WATCH_MAX >> 16;
		w->out.data[at + 3]++;
		break;
	case OVERSIZED_UNKNOWN:
		append_raw_call(w, 1, 99, "");
		w->out.data[at + 2] = 8;
		break;
	case REPLY_TO_SERVER:
		ck_assert_int_eq(
		    encode_rpc_reply(&w->session, 1, 0, make_str("x"), &w->out),
		    0);
		break;
	case SHORT_CALL:
		append_bytes(w, "\x80\0\0\x08zzzzzzzz", 12);
		break;
	case SLOW_CALL:
		append_raw_call(w, 1, GGS_WATCH, "slow");
		w->out.len -= 2;
		break;
	default:
		break;
	}
}

/*
 * Guards against a malformed, forged, replayed, oversized or slow message that
 * reaches a handler, keeps its connection or disturbs another one.
 */
START_TEST(attack_closes_only_its_connection)
{
	const struct attack_case *c = &attack_cases[_i];
	struct rpc_stats st;
	struct fixture fx;
	struct raw_client w;

	init_fixture(&fx);
	open_fixture_server(&fx, (struct rpc_server_config){0});
	open_fixture_client(&fx, (struct rpc_client_config){0});
	connect_raw(&fx, &w);
	if (c->attack >= REPLAYED_CALL && c->attack != NO_HELLO &&
	    c->attack != SLOW_HELLO && c->attack != RANDOM_BYTES)
		attack_call(&w, c->attack);
	else if (c->attack != NO_HELLO)
		attack_hello(&fx, &w, c->attack);
	if (w.out.len > 0)
		send_raw(&w);
	if (c->advance_ms > 0) {
		if (w.session.sent_counter > 0 || c->attack == IDLE)
			WAIT_UNTIL(get_rpc_server_stats(fx.server).bytes_in >=
				   RPC_CLIENT_HELLO_BYTES);
		advance_fixture_clock(&fx, c->advance_ms);
	}
	await_raw_close(&w);
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

/* Guards against a record that is lost when it arrives in pieces. */
START_TEST(call_received_byte_by_byte_is_answered)
{
	char reply[RPC_REPLY_OVERHEAD + 3];
	struct rpc_message m;
	struct fixture fx;
	struct raw_client w;

	init_fixture(&fx);
	open_fixture_server(&fx, (struct rpc_server_config){0});
	connect_raw(&fx, &w);
	append_raw_hello(&w, fleet_key);
	append_raw_call(&w, 77, GGS_PROPOSE, "abc");
	for (size_t i = 0; i < w.out.len; i++)
		ck_assert_int_eq(
		    send(w.fd, w.out.data + i, 1, MSG_NOSIGNAL), 1);
	receive_raw(w.fd, reply, sizeof(reply));
	ck_assert_int_eq(decode_rpc_reply(&w.session, reply + RPC_MARK_BYTES,
			     sizeof(reply) - RPC_MARK_BYTES, &m),
	    0);
	ck_assert_uint_eq(m.xid, 77);
	ck_assert(is_str_equal(m.body, make_str("abc")));
	close(w.fd);
	unload_buf(&w.out);
	close_fixture(&fx);
}
END_TEST

/* Guards against a peer that fills the server's memory with connections. */
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

/* Guards against a server that spins or stays deaf without descriptors. */
START_TEST(server_recovers_from_file_limit)
{
	struct rlimit full, none;
	struct rpc_address addr;
	struct fixture fx;
	char byte;
	int fd;

	init_fixture(&fx);
	open_fixture_server(&fx, (struct rpc_server_config){0});
	ck_assert_int_eq(
	    parse_rpc_address(get_rpc_server_address(fx.server), &addr), 0);
	ck_assert_int_eq(getrlimit(RLIMIT_NOFILE, &full), 0);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	none = full;
	none.rlim_cur = (rlim_t)fd + 1;
	ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &none), 0);
	ck_assert_int_eq(
	    connect(fd, (struct sockaddr *)&addr.storage, addr.len), 0);
	WAIT_UNTIL(get_rpc_server_stats(fx.server).refused_full == 1);
	for (int i = 0; i < 50; i++)
		sleep_1ms();
	ck_assert_uint_eq(get_rpc_server_stats(fx.server).refused_full, 1);
	ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &full), 0);
	advance_fixture_clock(&fx, 300);
	ck_assert_int_eq(recv(fd, &byte, 1, 0), 1);
	close(fd);
	close_fixture(&fx);
}
END_TEST

/* Guards against a reader that lets replies pile up in the server. */
START_TEST(unread_output_is_bounded)
{
	static char big[256 * 1024];
	struct rpc_stats st;
	struct fixture fx;
	struct raw_client w;

	init_fixture(&fx);
	open_fixture_server(
	    &fx, (struct rpc_server_config){.max_output = 512 * 1024});
	memset(big, 'x', sizeof(big) - 1);
	connect_raw(&fx, &w);
	append_raw_hello(&w, fleet_key);
	send_raw(&w);
	for (int i = 0; i < 256; i++) {
		append_raw_call(&w, (uint32_t)i, GGS_PROPOSE, big);
		if (send(w.fd, w.out.data, w.out.len, MSG_NOSIGNAL) < 0)
			break;
		w.out.len = 0;
	}
	WAIT_UNTIL(get_rpc_server_stats(fx.server).open == 0);
	st = get_rpc_server_stats(fx.server);
	ck_assert_uint_eq(st.refused_slow, 1);
	close(w.fd);
	unload_buf(&w.out);
	close_fixture(&fx);
}
END_TEST

/* Guards against a half-open connection that the server keeps for ever. */
START_TEST(stalled_reader_is_closed)
{
	static char big[1024 * 1024];
	struct fixture fx;
	struct raw_client w;

	init_fixture(&fx);
	open_fixture_server(
	    &fx, (struct rpc_server_config){.max_output = 64 * 1024 * 1024});
	memset(big, 'x', sizeof(big) - 1);
	connect_raw(&fx, &w);
	append_raw_hello(&w, fleet_key);
	send_raw(&w);
	for (int i = 0; i < 16; i++) {
		append_raw_call(&w, (uint32_t)i, GGS_PROPOSE, big);
		send_raw(&w);
	}
	WAIT_UNTIL(get_rpc_server_stats(fx.server).calls == 16);
	WAIT_UNTIL(
	    get_rpc_server_stats(fx.server).bytes_out > 15 * sizeof(big));
	advance_fixture_clock(&fx, 11000);
	WAIT_UNTIL(get_rpc_server_stats(fx.server).open == 0);
	ck_assert_uint_eq(get_rpc_server_stats(fx.server).refused_slow, 1);
	close(w.fd);
	unload_buf(&w.out);
	close_fixture(&fx);
}
END_TEST

/* Guards against sessions that outlive the key they were made with. */
START_TEST(retired_key_closes_its_connections)
{
	struct fixture fx;
	struct raw_client old, new;

	init_fixture(&fx);
	open_fixture_server(&fx,
	    (struct rpc_server_config){.next_key = make_str(next_fleet_key)});
	connect_raw(&fx, &old);
	append_raw_hello(&old, fleet_key);
	send_raw(&old);
	connect_raw(&fx, &new);
	append_raw_hello(&new, next_fleet_key);
	append_raw_call(&new, 1, GGS_WATCH, "stays");
	send_raw(&new);
	WAIT_UNTIL(count_pending(&fx) == 1);
	WAIT_UNTIL(get_rpc_server_stats(fx.server).bytes_in >
		   2 * RPC_CLIENT_HELLO_BYTES);
	ck_assert_int_eq(set_rpc_server_keys(fx.server,
			     make_str(next_fleet_key), (struct str){NULL, 0}),
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
