/*
 * Leavings of backend servers in the replicated state: what is kept for a node,
 * for how long, and through a snapshot.
 */
#include <stdio.h>

#include "state_fixture.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define STEPS_MAX 5
#define WANT_BYTES 256

struct leaving_step {
	int64_t at_s; /* log time */
	const char *node; /* NULL: end */
	const char *instance; /* NULL: only reads */
	int64_t born_until_ms;
	const char *want; /* of the node, oldest first: "INSTANCE:BORN ..." */
};

struct leaving_case {
	const char *what;
	struct leaving_step steps[STEPS_MAX];
};

static const struct leaving_case cases[] = {
    {"none", {{0, "n1", NULL, 0, ""}}},
    {"one is kept for its node",
	{{0, "n1", "i-1", 5, "i-1:5 "}, {0, "n2", NULL, 0, ""},
	    {1, "n1", NULL, 0, "i-1:5 "}}},
    {"sent again",
	{{0, "n1", "i-1", 5, "i-1:5 "}, {1, "n1", "i-1", 5, "i-1:5 "}}},
    {"a later start is covered, an earlier one stays so",
	{{0, "n1", "i-1", 5, "i-1:5 "}, {1, "n1", "i-1", 9, "i-1:9 "},
	    {2, "n1", "i-1", 7, "i-1:9 "}}},
    {"two servers",
	{{0, "n1", "i-1", 5, "i-1:5 "}, {1, "n1", "i-2", 6, "i-1:5 i-2:6 "},
	    {2, "n1", "i-1", 5, "i-2:6 i-1:5 "}}},
    {"dropped after their time",
	{{0, "n1", "i-1", 5, "i-1:5 "}, {599, "n2", NULL, 0, ""},
	    {599, "n1", NULL, 0, "i-1:5 "}, {600, "n1", NULL, 0, ""}}},
    {"kept from the last word of them",
	{{0, "n1", "i-1", 5, "i-1:5 "}, {400, "n1", "i-1", 5, "i-1:5 "},
	    {999, "n1", NULL, 0, "i-1:5 "}, {1000, "n1", NULL, 0, ""}}},
};

/* Applies a command; writes the leavings in its answer to want. */
static void
send_leaving(struct state *s, int64_t at_s, const char *node,
    const char *instance, int64_t born_until_ms, char *out, size_t size)
{
	struct command c = make_command("", "", 0);
	struct command_leaving item = {
	    (char *)(uintptr_t)instance, born_until_ms};
	struct command_leavings l = {0};
	struct command_result r;

	c.body.type = COMMAND_LEAVINGS;
	c.body.command_body_u.leavings.node = (char *)(uintptr_t)node;
	c.body.command_body_u.leavings.items.items_len = instance != NULL;
	c.body.command_body_u.leavings.items.items_val = &item;
	r = apply_at(s, T0 + at_s * NSEC_PER_SEC, &c);
	ck_assert_int_eq(r.status, 0);
	ck_assert_int_eq(
	    decode_wire((xdrproc_t)xdr_command_leavings,
		make_str_n(r.answer.answer_val, r.answer.answer_len), &l),
	    0);
	out[0] = '\0';
	for (unsigned int i = 0; i < l.items.items_len; i++)
		snprintf(out + strlen(out), size - strlen(out), "%s:%lld ",
		    l.items.items_val[i].instance,
		    (long long)l.items.items_val[i].born_until_ms);
	unload_wire((xdrproc_t)xdr_command_leavings, &l);
	unload_command_result(&r);
}

/* Loads a snapshot of a state into a new one. */
static struct state *
copy_state(struct state *s)
{
	struct state *copy = open_sample();
	struct buf saved = {0}, again = {0};
	struct fault f = {0};

	ck_assert_int_eq(save_state(s, &saved), 0);
	ck_assert_msg(
	    load_state(copy, view_buf(&saved), &f) == 0, "%s", f.text);
	ck_assert_int_eq(save_state(copy, &again), 0);
	ck_assert(is_str_equal(view_buf(&saved), view_buf(&again)));
	unload_buf(&saved);
	unload_buf(&again);
	return copy;
}

/*
 * Guards against reviews 13 and 14: nothing outside the node's process knew what
 * it had acknowledged.
 */
START_TEST(leavings_are_kept_for_their_node)
{
	const struct leaving_case *c = &cases[_i];
	struct state *s = open_sample();

	for (size_t i = 0; i < STEPS_MAX && c->steps[i].node != NULL; i++) {
		const struct leaving_step *p = &c->steps[i];
		struct state *loaded = copy_state(s);
		char got[WANT_BYTES];

		send_leaving(loaded, p->at_s, p->node, p->instance,
		    p->born_until_ms, got, sizeof(got));
		ck_assert_msg(strcmp(got, p->want) == 0,
		    "%s, step %zu from a snapshot: %s", c->what, i, got);
		close_state(loaded);
		send_leaving(s, p->at_s, p->node, p->instance, p->born_until_ms,
		    got, sizeof(got));
		ck_assert_msg(strcmp(got, p->want) == 0, "%s, step %zu: %s",
		    c->what, i, got);
	}
	close_state(s);
}
END_TEST

/* Guards against a state that grows without a bound, and against wrong ends. */
START_TEST(oldest_leavings_go_first)
{
	struct state *s = open_sample();
	char got[WANT_BYTES], id[32];

	for (int i = 0; i < COMMAND_LEAVINGS_MAX + 2; i++) {
		snprintf(id, sizeof(id), "i-%d", i);
		send_leaving(s, i, "n1", id, i, got, sizeof(got));
	}
	ck_assert_str_eq(
	    got, "i-2:2 i-3:3 i-4:4 i-5:5 i-6:6 i-7:7 i-8:8 i-9:9 ");
	for (int i = 0; i < LEAVINGS_MAX; i++) {
		snprintf(id, sizeof(id), "m%d", i);
		send_leaving(s, 20, id, "i-0", 1, got, sizeof(got));
	}
	ck_assert_uint_eq(s->leavings.count, LEAVINGS_MAX);
	send_leaving(s, 20, "n1", NULL, 0, got, sizeof(got));
	ck_assert_str_eq(got, "");
	reset_state(s);
	ck_assert_uint_eq(s->leavings.count, 0);
	send_leaving(s, 20, "n1", "i-1", 1, got, sizeof(got));
	ck_assert_str_eq(got, "i-1:1 ");
	close_state(s);
}
END_TEST

int
main(void)
{
	TCase *t = tcase_create("leavings");

	tcase_set_timeout(t, 30);
	tcase_add_loop_test(
	    t, leavings_are_kept_for_their_node, 0, COUNT(cases));
	tcase_add_test(t, oldest_leavings_go_first);
	return run_suite("leavings", t);
}
