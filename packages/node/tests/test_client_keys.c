/*
 * Keys of client accounts at the entry node: who may call, what the backend
 * server receives, and connections that stay open while keys change.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node_fixture.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define POLLS_MAX 300 /* of 10 ms */

static struct fixture fixture;

/* Adds the accounts to the fixture's rows; keys: NAME KEY pairs, then NULL. */
static void
set_accounts(uint64_t version, const char *const *keys)
{
	struct buf csv = {0};
	char print[KEY_PRINT_TEXT_BYTES];

	append_buf_fmt(&csv, "account.name,account.keys\n");
	for (; *keys != NULL; keys += 2) {
		struct key_print p = make_key_print(make_str(keys[1]));

		format_key_print(&p, print);
		append_buf_fmt(&csv, "%s,%s\n", keys[0], print);
	}
	set_fixture_table(&fixture, version, csv.data);
	unload_buf(&csv);
}

/* Puts a table in force whose rows say whether they need a key. */
static void
set_keyed_table(uint64_t version, const char *rows)
{
	struct buf csv = {0};

	append_buf_fmt(&csv,
	    "kind,service,rank,weight,floor_pct,limit_pct,target_ms,"
	    "deadline_ms,queue_max,retries,retry_pct,hedge_ms,repeat,keep_s,"
	    "body_max_kb,drain_s,host,path,split,head_max_kb,head_ms,idle_ms,"
	    "key\nread,svc,1,10,0,100,500,2000,100,0,10,0,yes,0,64,30,"
	    "test.example,/read/,,4,1000,2000,yes\n%s",
	    rows);
	set_fake_table(fixture.agent, csv.data, version);
	refresh_node(fixture.nodes[0]);
	unload_buf(&csv);
}

/* Waits until the node answers a call with this key as wanted. */
static void
wait_for_status(const char *headers, int want)
{
	struct test_reply r = {0};

	for (int k = 0; k < POLLS_MAX; k++) {
		send_test_call(fixture.calls[0], "GET", "/read/ok", "w",
		    headers, make_str(""), &r);
		if (r.status == want)
			break;
		unload_reply(&r);
		usleep(10000);
	}
	ck_assert_int_eq(r.status, want);
	unload_reply(&r);
}

static void
open_node(void)
{
	static const char *const keys[] = {
	    "acme", "key-a", "beta", "key-b", NULL};

	open_fixture(&fixture, 1);
	set_accounts(2, keys);
	wait_for_status("Key: Test key-c\r\n", 401);
}

static void
close_node(void)
{
	close_fixture(&fixture);
}

struct key_case {
	const char *path;
	const char *headers; /* of the client */
	int want_status;
	const char *want_account; /* at the backend server; "": no header */
};

static const struct key_case key_cases[] = {
    {"/read/ok", "Key: Test key-a\r\n", 200, "acme"},
    {"/read/ok", "key: test   key-b\r\n", 200, "beta"},
    {"/read/ok", "Key: Test key-a\r\nAccount: beta\r\n", 200, "acme"},
    {"/read/ok", "Key: Test key-c\r\n", 401, NULL},
    {"/read/ok", "", 401, NULL},
    {"/read/ok", "Account: acme\r\n", 401, NULL},
    {"/read/ok", "Key: key-a\r\n", 401, NULL},
    {"/read/ok", "Key: Basic key-a\r\n", 401, NULL},
    {"/read/ok", "Key: Test key-a\r\nKey: Test key-b\r\n", 401, NULL},
    {"/read/ok", "Key: Test \r\n", 401, NULL},
    {"/read/ok", "Key: Test key-a key-b\r\n", 401, NULL},
    {"/none/ok", "Key: Test key-c\r\n", 404, NULL},
    {"/pay/ok", "Key: Test key-a\r\n", 200, "acme"},
    {"/pay/ok", "Key: Test key-c\r\n", 401, NULL},
};

/*
 * Guards against a call that runs without a key or for another account, a key
 * that reaches a backend server, and an account's name that a client forged.
 */
START_TEST(calls_run_for_the_account_of_their_key)
{
	const struct key_case *c = &key_cases[_i];
	struct test_reply r = {0};
	char got[64];

	send_test_call(fixture.calls[0],
	    strncmp(c->path, "/pay/", 5) == 0 ? "POST" : "GET", c->path, "c",
	    c->headers, make_str(""), &r);
	ck_assert_int_eq(r.status, c->want_status);
	unload_reply(&r);
	if (c->want_account == NULL)
		return;
	get_fake_header(fixture.servers[0], "Account", got, sizeof(got));
	ck_assert_str_eq(got, c->want_account);
	get_fake_header(fixture.servers[0], "Key", got, sizeof(got));
	ck_assert_str_eq(got, "");
}
END_TEST

static void
send_bytes(int fd, const char *text)
{
	ck_assert_int_eq(
	    send(fd, text, strlen(text), MSG_NOSIGNAL), (ssize_t)strlen(text));
}

/*
 * Guards against a body that is read before its key is refused: the client sends
 * only a head that announces one.
 */
START_TEST(unknown_key_is_refused_before_the_body)
{
	static const char *const heads[] = {"Content-Length: 5000\r\n",
	    "Content-Length: 5000\r\nExpect: 100-continue\r\n",
	    "Transfer-Encoding: chunked\r\n"};
	struct test_reply r = {0};
	char text[256];
	int fd;

	wait_for_status("Key: Test key-a\r\n", 200);
	fd = connect_test_client(fixture.calls[0]);
	snprintf(text, sizeof(text),
	    "POST /pay/ok HTTP/1.1\r\nHost: test.example\r\nCall-Id: h\r\n"
	    "Key: Test key-c\r\n%s\r\n",
	    heads[_i]);
	send_bytes(fd, text);
	read_test_reply(fd, &r);
	ck_assert_int_eq(r.status, 401);
	ck_assert(has_header(&r, "Connection: close"));
	ck_assert_int_eq(count_fixture_runs(&fixture, "h"), 0);
	unload_reply(&r);
	close(fd);
}
END_TEST

/* Reads answers, which may arrive together, until so many have status 401. */
static void
wait_for_refusals(int fd, int want)
{
	char in[4096] = "";
	size_t len = 0;
	int found = 0;

	while (found < want) {
		ssize_t n = recv(fd, in + len, sizeof(in) - 1 - len, 0);

		ck_assert_int_gt(n, 0);
		len += (size_t)n;
		in[len] = '\0';
		found = 0;
		for (const char *p = in; (p = strstr(p, "HTTP/1.1 ")) != NULL;
		     p++) {
			ck_assert_int_eq(strncmp(p + 9, "401", 3), 0);
			found++;
		}
	}
}

/*
 * Guards against a key that is taken away and still works on a connection that
 * stays open, also for requests behind one that runs.
 */
START_TEST(keys_taken_away_are_refused_on_open_connections)
{
	static const char *const fewer[] = {"acme", "key-a", NULL};
	static const char call[] =
	    "GET /read/ok HTTP/1.1\r\nHost: test.example\r\nCall-Id: k%d\r\n"
	    "Key: Test key-b\r\n\r\n";
	char text[512];
	struct test_reply r = {0};
	int fd, hold;

	wait_for_status("Key: Test key-b\r\n", 200);
	fd = connect_test_client(fixture.calls[0]);
	snprintf(text, sizeof(text), call, 1);
	send_bytes(fd, text);
	read_test_reply(fd, &r);
	ck_assert_int_eq(r.status, 200);
	unload_reply(&r);
	hold = hold_fixture_node(&fixture, 0);
	set_accounts(3, fewer);
	release_fixture_node(hold);
	wait_for_status("Key: Test key-b\r\n", 401);
	for (int i = 2; i < 4; i++) {
		snprintf(text, sizeof(text), call, i);
		send_bytes(fd, text);
	}
	wait_for_refusals(fd, 2);
	ck_assert_int_eq(count_fixture_runs(&fixture, "k2"), 0);
	close(fd);
}
END_TEST

struct empty_case {
	const char *headers;
	const char *path;
	int want_status;
};

static const struct empty_case empty_cases[] = {
    {"Key: Test key-a\r\n", "/read/ok", 401},
    {"Key: Test key-c\r\n", "/read/ok", 401},
    {"", "/read/ok", 401},
    {"Account: acme\r\n", "/read/ok", 401},
    {"Key: Test key-a\r\nAccount: acme\r\n", "/open/ok", 200},
    {"", "/open/ok", 200},
};

/*
 * Guards against review 11: a new version took the last account away, and calls
 * with any key and with none ran, whose keys the backend server was shown; also
 * on rows that need none, and after an account has come back.
 */
START_TEST(last_account_taken_away_leaves_rows_closed)
{
	static const char sheet[] =
	    "open,svc,1,10,0,100,500,2000,100,0,10,0,yes,0,64,30,test.example,"
	    "/open/,,4,1000,2000,no\naccount.name,account.keys\n%s";
	static const char *const accounts[] = {"", "acme,%s\n", ""};
	char print[KEY_PRINT_TEXT_BYTES], rows[1024], account[64];
	struct key_print p = make_key_print(make_str("key-a"));

	format_key_print(&p, print);
	for (uint64_t i = 0; i < 3; i++) {
		bool empty = accounts[i][0] == '\0';

		snprintf(account, sizeof(account), accounts[i], print);
		snprintf(rows, sizeof(rows), sheet, account);
		set_keyed_table(3 + i, rows);
		wait_for_status("Key: Test key-a\r\n", empty ? 401 : 200);
		for (size_t k = 0; empty && k < COUNT(empty_cases); k++) {
			const struct empty_case *c = &empty_cases[k];
			struct test_reply r = {0};
			char got[64], id[32];

			snprintf(id, sizeof(id), "e-%d-%zu", (int)i, k);
			send_test_call(fixture.calls[0], "GET", c->path, id,
			    c->headers, make_str(""), &r);
			ck_assert_msg(r.status == c->want_status,
			    "case %zu: %d", k, r.status);
			unload_reply(&r);
			ck_assert_int_eq(count_fixture_runs(&fixture, id),
			    c->want_status == 200);
			get_fake_header(
			    fixture.servers[0], "Key", got, sizeof(got));
			ck_assert_str_eq(got, "");
		}
	}
}
END_TEST

/*
 * Guards against 401 for a key that a newer version may hold, from a node that
 * no control process answers, and against 503 for a call without any key.
 */
START_TEST(unknown_key_is_postponed_without_control)
{
	struct test_reply r = {0};

	wait_for_status("Key: Test key-c\r\n", 401);
	set_fake_attached(fixture.agent, false);
	send_test_call(fixture.calls[0], "GET", "/read/ok", "d",
	    "Key: Test key-c\r\n", make_str(""), &r);
	ck_assert_int_eq(r.status, 503);
	ck_assert(has_header(&r, "Retry-After: 0.500"));
	unload_reply(&r);
	wait_for_status("", 401);
	wait_for_status("Key: Test key-a\r\n", 200);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("client keys");
	TCase *t = tcase_create("client keys");
	SRunner *r;
	int failed;

	tcase_add_checked_fixture(t, open_node, close_node);
	tcase_set_timeout(t, 30);
	tcase_add_loop_test(t, calls_run_for_the_account_of_their_key, 0,
	    sizeof(key_cases) / sizeof(key_cases[0]));
	tcase_add_loop_test(t, unknown_key_is_refused_before_the_body, 0, 3);
	tcase_add_test(t, keys_taken_away_are_refused_on_open_connections);
	tcase_add_test(t, unknown_key_is_postponed_without_control);
	tcase_add_test(t, last_account_taken_away_leaves_rows_closed);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
