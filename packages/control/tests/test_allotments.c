/*
 * Asks for allotments to a group of control processes: only the leader grants,
 * others name it, and no two leaders grant the same.
 */
#include "fleet_fixture.h"

#define RATE 100
#define LEASE_MS 1200 /* after it a new leader knows all leases */

static void
replace_table(size_t leader, const char *rate)
{
	struct table *t = NULL;
	struct table_builder *b;
	struct fault f = {0};

	ck_assert_int_eq(open_table_builder(&b), 0);
	ck_assert_int_eq(start_table_row(b, make_str("a"), &f), 0);
	ck_assert_int_eq(set_row_cell(b, COL_SERVICE, make_str("svc"), &f), 0);
	ck_assert_int_eq(start_table_account(b, make_str("acme"), &f), 0);
	ck_assert_int_eq(
	    set_account_cell(b, ACCOUNT_RATE, make_str(rate), &f), 0);
	ck_assert_int_eq(
	    set_account_cell(b, ACCOUNT_BURST, make_str(rate), &f), 0);
	ck_assert_msg(build_table(b, 1, &t, &f) == 0, "%s", f.text);
	ck_assert_msg(replace_control_table(fleet.members[leader].control, 0, t,
			  make_str("x"), &f) == 0,
	    "%s", f.text);
	unload_table(t);
	close_table_builder(b);
}

static struct wire_allotment_reply
send_ask(struct rpc_peer *p, uint64_t seq, unsigned int want)
{
	struct wire_allotment_ask ask = {.account = (char *)(uintptr_t) "acme",
	    .want = want,
	    .demand_milli = 1000};
	struct wire_allotment_args a = {.node = (char *)(uintptr_t) "n",
	    .run = 1,
	    .seq = seq,
	    .answered = seq - 1,
	    .asks = {1, &ask}};
	struct wire_allotment_reply r = {0};
	struct buf b = {0}, body = {0};

	ck_assert_int_eq(
	    encode_wire((xdrproc_t)xdr_wire_allotment_args, &a, &b), 0);
	ck_assert_int_eq(
	    call_rpc_wait(p, GGS_ALLOTMENT, view_buf(&b), 15000, &body), 0);
	ck_assert_int_eq(decode_wire((xdrproc_t)xdr_wire_allotment_reply,
			     view_buf(&body), &r),
	    0);
	unload_buf(&b);
	unload_buf(&body);
	return r;
}

/* Returns what a member grants, -1 without a grant. */
static int
ask_member(size_t i, uint64_t seq, unsigned int want)
{
	struct wire_allotment_reply r = send_ask(open_node(i), seq, want);
	int granted = -1;

	if (r.status == WIRE_OK && r.grants.grants_len == 1)
		granted = (int)r.grants.grants_val[0].tokens;
	unload_wire((xdrproc_t)xdr_wire_allotment_reply, &r);
	return granted;
}

START_TEST(only_leader_grants)
{
	struct wire_allotment_reply r;
	size_t leader, next;
	uint64_t seq = 1;
	int first = 0, second = 0;

	open_fleet(3, 0, NULL);
	leader = wait_leader();
	replace_table(leader, "100");
	next = (leader + 1) % 3;
	wait_version(next, 1);
	r = send_ask(open_node(next), seq, 10);
	ck_assert_int_eq(r.status, WIRE_UNAVAILABLE);
	ck_assert_str_eq(r.leader, fleet.members[leader].rpc_address);
	ck_assert_uint_eq(r.grants.grants_len, 0);
	unload_wire((xdrproc_t)xdr_wire_allotment_reply, &r);
	sleep_ms(3 * LEASE_MS);
	first = ask_member(leader, seq++, 1000);
	ck_assert_int_ge(first, RATE);
	ck_assert_int_le(first, RATE + RATE / 10);
	/* The burst is leased: there is little more at once. */
	ck_assert_int_lt(ask_member(leader, seq++, 1000), RATE / 2);

	stop_member(leader);
	next = wait_leader();
	while (second <= 0 && seq < 200) {
		second = ask_member(next, seq++, 1000);
		sleep_ms(20);
	}
	/* The new leader does not grant the burst again. */
	ck_assert_int_gt(second, 0);
	ck_assert_int_lt(second, RATE / 2);
	close_fleet();
}
END_TEST

START_TEST(accounts_without_rate_have_no_ledger)
{
	size_t leader;

	open_fleet(1, 0, NULL);
	leader = wait_leader();
	replace_table(leader, "0");
	sleep_ms(200);
	ck_assert_int_eq(ask_member(leader, 1, 10), -1);
	close_fleet();
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
	tcase_add_test(t, only_leader_grants);
	tcase_add_test(t, accounts_without_rate_have_no_ledger);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
