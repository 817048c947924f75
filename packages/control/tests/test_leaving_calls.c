/*
 * LEAVINGS calls to a group of control processes: over followers and a relay,
 * through the loss of a leader and the restart of all, with and without a
 * quorum.
 */
#include "fleet_fixture.h"

#define POLLS_MAX (FLEET_WAIT_S * 20) /* of 50 ms */

/* One call of node "n1"; instance NULL: only reads. Frees nothing of *out. */
static int
call_leavings(
    struct rpc_peer *p, const char *instance, struct wire_leavings_reply *out)
{
	struct wire_leaving item = {(char *)(uintptr_t)instance, 1000};
	struct wire_leavings_args a = {
	    .node = (char *)(uintptr_t) "n1", .wait_ms = 2000};
	struct buf b = {0}, body = {0};
	int rc;

	memset(out, 0, sizeof(*out));
	a.leavings.leavings_len = instance != NULL;
	a.leavings.leavings_val = &item;
	ck_assert_int_eq(
	    encode_wire((xdrproc_t)xdr_wire_leavings_args, &a, &b), 0);
	rc = call_rpc_wait(p, GGS_LEAVINGS, view_buf(&b), 15000, &body);
	if (rc == 0)
		rc = decode_wire(
		    (xdrproc_t)xdr_wire_leavings_reply, view_buf(&body), out);
	if (rc == 0)
		rc = -(int)out->status;
	unload_buf(&b);
	unload_buf(&body);
	return rc;
}

/* Calls until it is done, and returns the number of leavings in the answer. */
static unsigned int
count_leavings(struct rpc_peer *p, const char *instance)
{
	struct wire_leavings_reply r;
	int rc = call_leavings(p, instance, &r);
	unsigned int count;

	for (int i = 0; i < POLLS_MAX && rc != 0; i++) {
		sleep_ms(50);
		rc = call_leavings(p, instance, &r);
	}
	ck_assert_int_eq(rc, 0);
	count = r.leavings.leavings_len;
	unload_wire((xdrproc_t)xdr_wire_leavings_reply, &r);
	return count;
}

/*
 * Guards against reviews 13 and 14: a leaving that was acknowledged is gone
 * after a restart of all processes, or of a new leader or a process that is
 * behind.
 */
START_TEST(recorded_leavings_survive_a_restart_of_all)
{
	static const char *const ids[] = {"i-0", "i-1", "i-2", "i-3"};
	struct rpc_peer *n[4] = {NULL};
	size_t leader;

	open_fleet(3, 1, NULL);
	leader = wait_leader();
	for (size_t i = 0; i < 4; i++)
		n[i] = open_node(i);
	for (unsigned int i = 0; i < 4; i++) {
		ck_assert_uint_eq(count_leavings(n[i], ids[i]), i + 1);
		ck_assert_uint_eq(count_leavings(n[i], ids[i]), i + 1);
	}
	for (size_t i = 0; i < 4; i++)
		ck_assert_uint_eq(count_leavings(n[i], NULL), 4);
	stop_member(leader);
	ck_assert_uint_eq(count_leavings(n[(leader + 1) % 3], "i-4"), 5);
	start_member(leader);
	ck_assert_uint_eq(count_leavings(n[leader], NULL), 5);
	for (size_t i = 0; i < 4; i++)
		stop_member(i);
	for (size_t i = 0; i < 4; i++)
		start_member(i);
	for (size_t i = 0; i < 4; i++)
		ck_assert_uint_eq(count_leavings(n[i], NULL), 5);
	close_fleet();
}
END_TEST

/*
 * Guards against a process without a quorum that says it has recorded a
 * leaving, or that none is known.
 */
START_TEST(no_quorum_neither_records_nor_reads)
{
	struct wire_leavings_reply r;
	struct rpc_peer *n[3] = {NULL};
	size_t leader, next;

	open_fleet(3, 0, NULL);
	leader = wait_leader();
	next = (leader + 1) % 3;
	for (size_t i = 0; i < 3; i++)
		n[i] = open_node(i);
	ck_assert_uint_eq(count_leavings(n[leader], "i-0"), 1);
	atomic_store(&fleet.members[leader].partition, PARTITION_ALL);
	ck_assert_uint_eq(count_leavings(n[next], "i-1"), 2);
	ck_assert_int_ne(call_leavings(n[leader], "i-2", &r), 0);
	ck_assert_int_ne(call_leavings(n[leader], NULL, &r), 0);
	atomic_store(&fleet.members[leader].partition, PARTITION_NONE);
	ck_assert_uint_ge(count_leavings(n[leader], NULL), 2);
	close_fleet();
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("leaving calls");
	TCase *t = tcase_create("leaving calls");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_test(t, recorded_leavings_survive_a_restart_of_all);
	tcase_add_test(t, no_quorum_neither_records_nor_reads);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
