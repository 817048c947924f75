/*
 * Calls of accounts with a rate at an entry node: tokens are drawn for what is
 * sent, asked for by the call, and given back for what was not sent.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "node_fixture.h"

#define KEY "Key: Test key-a\r\n"
#define POLLS_MAX 300 /* of 10 ms */

static struct fixture fixture;

static void
set_rate(uint64_t version, const char *rate)
{
	struct buf csv = {0};
	char print[KEY_PRINT_TEXT_BYTES];
	struct key_print p = make_key_print(make_str("key-a"));
	struct test_reply r = {0};

	format_key_print(&p, print);
	append_buf_fmt(&csv,
	    "account.name,account.keys,account.rate_per_s,account.burst\n"
	    "acme,%s,%s,%s\n",
	    print, rate, rate);
	set_fixture_table(&fixture, version, csv.data);
	unload_buf(&csv);
	for (int i = 0; i < POLLS_MAX; i++) {
		send_test_call(fixture.calls[0], "GET", "/read/ok", "w", "",
		    make_str(""), &r);
		if (r.status == 401)
			break;
		unload_reply(&r);
		usleep(10000);
	}
	ck_assert_int_eq(r.status, 401);
	unload_reply(&r);
}

static int
call(const char *path, const char *id, bool *retry_after)
{
	struct test_reply r = {0};
	int status;

	send_test_call(
	    fixture.calls[0], "GET", path, id, KEY, make_str(""), &r);
	status = r.status;
	if (retry_after != NULL)
		*retry_after = strstr(r.head, "Retry-After: ") != NULL;
	unload_reply(&r);
	return status;
}

static void
open_node(void)
{
	open_fixture(&fixture, 2);
}

static void
close_node(void)
{
	close_fixture(&fixture);
}

/* A flood gets what was granted, and 429 with a Retry-After beyond. */
START_TEST(calls_beyond_grants_are_refused)
{
	bool retry_after = false;
	int ok = 0, refused = 0;
	char id[16];

	set_rate(2, "100");
	grant_fake_calls(fixture.agent, 5);
	for (int i = 0; i < 40; i++) {
		int status;

		snprintf(id, sizeof(id), "c%d", i);
		status = call("/read/ok", id, &retry_after);
		ok += status == 200;
		refused += status == 429;
		if (status == 429) {
			ck_assert(retry_after);
			ck_assert_int_eq(count_fixture_runs(&fixture, id), 0);
		}
	}
	ck_assert_int_eq(ok, 5);
	ck_assert_int_eq(refused, 35);
}
END_TEST

/* A retry is a second arrival: without a token the first answer goes back. */
START_TEST(retry_draws_another_token)
{
	set_rate(2, "0");
	ck_assert_int_eq(call("/read/failed", "free", NULL), 500);
	ck_assert_int_eq(count_fixture_runs(&fixture, "free"), 2);
	set_rate(3, "100");
	for (int i = 0; i < POLLS_MAX && call("/read/ok", "w", NULL) != 429;
	     i++)
		usleep(10000);
	grant_fake_calls(fixture.agent, 1);
	usleep(600000);
	ck_assert_int_eq(call("/read/failed", "one", NULL), 500);
	ck_assert_int_eq(count_fixture_runs(&fixture, "one"), 1);
}
END_TEST

/* A call that no server has run gives its token to the next one. */
START_TEST(call_not_run_returns_its_token)
{
	set_rate(2, "100");
	grant_fake_calls(fixture.agent, 1);
	ck_assert_int_eq(call("/read/full", "full", NULL), 503);
	ck_assert_int_eq(call("/read/ok", "next", NULL), 200);
	ck_assert_int_eq(call("/read/ok", "beyond", NULL), 429);
}
END_TEST

/* Accounts without a rate cause no ask, and no refusal. */
START_TEST(without_rate_nothing_is_asked)
{
	set_rate(2, "0");
	for (int i = 0; i < 10; i++)
		ck_assert_int_eq(call("/read/ok", "c", NULL), 200);
	usleep(500000);
	ck_assert_uint_eq(count_fake_asks(fixture.agent), 0);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("allotments");
	TCase *t = tcase_create("allotments");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_checked_fixture(t, open_node, close_node);
	tcase_add_test(t, calls_beyond_grants_are_refused);
	tcase_add_test(t, retry_draws_another_token);
	tcase_add_test(t, call_not_run_returns_its_token);
	tcase_add_test(t, without_rate_nothing_is_asked);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
