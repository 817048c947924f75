/*
 * A sample table and helpers that apply commands, for tests of the state
 * machine.
 */
#ifndef STATE_FIXTURE_H
#define STATE_FIXTURE_H

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "state.h"

#define HEADER                                                                \
	"kind,service,rank,weight,floor_pct,limit_pct,target_ms,deadline_ms," \
	"queue_max,retries,retry_pct,hedge_ms,repeat,keep_s,body_max_kb,"     \
	"drain_s\n"
#define ROW(kind, rank) \
	kind ",svc," rank ",10,5,100,100,1000,100,1,10,0,yes,0,64,30\n"
#define SAMPLE HEADER ROW("a", "1") ROW("b", "2") ROW("c", "3")
#define T0 (1700000000 * NSEC_PER_SEC) /* time stamp of the first command */

static inline struct state *
open_sample(void)
{
	struct state *s = NULL;

	ck_assert_int_eq(open_state(CLAIMS_MAX, &s), 0);
	return s;
}

/* Applies a command; free the result with unload_command_result(). */
static inline struct command_result
apply_with_wall(
    struct state *s, int64_t log, int64_t wall, const struct command *c)
{
	struct buf bytes = {0}, result = {0};
	struct command_result r;

	ck_assert_int_eq(encode_command(c, &bytes), 0);
	apply_state(s, log, wall, view_buf(&bytes), &result);
	ck_assert_int_eq(decode_command_result(view_buf(&result), &r), 0);
	unload_buf(&bytes);
	unload_buf(&result);
	return r;
}

static inline struct command_result
apply_at(struct state *s, int64_t stamp, const struct command *c)
{
	return apply_with_wall(s, stamp, stamp, c);
}

static inline struct command
make_command(const char *author, const char *key, uint64_t base)
{
	return (struct command){.author = (char *)(uintptr_t)author,
	    .key = (char *)(uintptr_t)key,
	    .base = base};
}

static inline struct command_result
apply_edit(struct state *s, const char *author, const char *key, uint64_t base,
    const char *row, int column, const char *value)
{
	struct command_cell cell = {
	    (char *)(uintptr_t)row, column, (char *)(uintptr_t)value};
	struct command c = make_command(author, key, base);

	c.body.type = COMMAND_EDIT;
	c.body.command_body_u.edit.cells.cells_len = 1;
	c.body.command_body_u.edit.cells.cells_val = &cell;
	return apply_at(s, T0, &c);
}

static inline struct command_result
apply_import(struct state *s, const char *author, const char *key,
    uint64_t base, const char *csv)
{
	struct command c = make_command(author, key, base);

	c.body.type = COMMAND_IMPORT;
	c.body.command_body_u.import.csv.csv_val = (char *)(uintptr_t)csv;
	c.body.command_body_u.import.csv.csv_len = (unsigned int)strlen(csv);
	return apply_at(s, T0, &c);
}

static inline struct command_result
apply_revert(struct state *s, const char *author, const char *key,
    uint64_t base, uint64_t target)
{
	struct command c = make_command(author, key, base);

	c.body.type = COMMAND_REVERT;
	c.body.command_body_u.revert.target = target;
	return apply_at(s, T0, &c);
}

static inline int
run_suite(const char *name, TCase *t)
{
	Suite *s = suite_create(name);
	SRunner *r;
	int failed;

	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif
