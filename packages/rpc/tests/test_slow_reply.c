/*
 * Replies over a link that is slow for their size.
 */
#include "rpc_fixture.h"
#include "thin_link.h"

#define REPLY_BYTES (64 * 1024)
#define STEP_MS 250 /* of the simulated clock */
#define STEP_REAL_US 20000 /* the client reads what a step brought */
#define STEPS_MAX 400

struct slow_case {
	const char *name;
	int bytes_per_s;
	int want_status;
};

static const struct slow_case slow_cases[] = {
    {"within 10 s", 16384, 0},
    {"longer than 10 s, with progress", 5120, 0},
    {"hardly any progress", 512, ERR_TIMEOUT},
    {"stopped", 0, ERR_TIMEOUT},
};

struct slow_call {
	atomic_bool done;
	int status;
	size_t len;
};

static void
record_slow_result(void *arg, const struct rpc_result *result)
{
	struct slow_call *c = arg;

	c->status = result->status;
	c->len = result->body.len;
	atomic_store(&c->done, true);
}

/*
 * Guards against the class of issue 24, CONFIG: a reply that makes progress is
 * given up after a fixed time and begun anew. Also against a peer that holds a
 * connection with single bytes.
 */
START_TEST(slow_reply_ends_while_it_makes_progress)
{
	const struct slow_case *c = &slow_cases[_i];
	struct rpc_client_config cfg = {.key = make_str(fleet_key)};
	struct slow_call call = {0};
	char *bytes = calloc(1, REPLY_BYTES);
	struct thin_link link;
	struct rpc_peer *peer;
	struct fault f = {0};
	struct fixture fx;

	init_fixture(&fx);
	open_fixture_server(&fx, (struct rpc_server_config){0});
	open_thin_link(&link, get_rpc_server_address(fx.server));
	cfg.clock = get_fixture_clock(&fx);
	ck_assert_int_eq(open_rpc_client(&cfg, &fx.client, &f), 0);
	ck_assert_int_eq(open_rpc_peer(fx.client, link.address, &peer, &f), 0);
	ck_assert_int_eq(call_rpc(peer, GGS_WATCH, make_str("x"), 120000,
			     record_slow_result, &call),
	    0);
	WAIT_UNTIL(count_pending(&fx) == 1);
	atomic_store(&link.limited, true);
	atomic_store(&link.allowed, 100); /* the reply has begun */
	complete_rpc(fx.pending[0], 0, make_str_n(bytes, REPLY_BYTES));
	fx.pending_count = 0;
	for (int i = 0; i < STEPS_MAX && !atomic_load(&call.done); i++) {
		atomic_fetch_add(
		    &link.allowed, c->bytes_per_s * STEP_MS / 1000);
		usleep(STEP_REAL_US);
		advance_fixture_clock(&fx, STEP_MS);
	}
	ck_assert_msg(atomic_load(&call.done), "%s: not ended", c->name);
	ck_assert_msg(call.status == c->want_status, "%s: %s", c->name,
	    get_err_name(call.status));
	ck_assert(call.status != 0 || call.len == REPLY_BYTES);
	close_rpc_client(fx.client);
	stop_rpc_server(fx.server);
	close_thin_link(&link);
	pthread_mutex_destroy(&fx.lock);
	free(bytes);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("slow reply");
	TCase *t = tcase_create("client");
	SRunner *run;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_loop_test(t, slow_reply_ends_while_it_makes_progress, 0,
	    sizeof(slow_cases) / sizeof(slow_cases[0]));
	suite_add_tcase(s, t);
	run = srunner_create(s);
	srunner_run_all(run, CK_ENV);
	failed = srunner_ntests_failed(run);
	srunner_free(run);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
