/*
 * Causes found for call ids in recorded log lines, in lines made for each cause
 * and in damaged lines.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "explain.h"
#include "log.h"

#ifndef LINES_DIR
#define LINES_DIR "packages/explain/tests/lines"
#endif

struct recording_case {
	const char *file;
	const char *call;
	const char *want;
	const char *why[4]; /* parts of the reason */
};

static const struct recording_case recordings[] = {
    {"refusal.log", "9d6e166a1f21e5aa", "overload",
	{"running and", "waiting on 18 slots", "was the last of"}},
    {"lost-answer.log", "be56f3b95a20e1cb", "answer-lost",
	{"may have run there", "was not sent again",
	    "connection ended broken"}},
    {"restart.log", "f762518f6463bb5b", "no-table",
	{"had no table yet", "after its start", "its first one came"}},
};

static void
add_log_file(struct explanation *e, const char *name)
{
	char path[256], line[4096];
	FILE *in;

	snprintf(path, sizeof(path), "%s/%s", LINES_DIR, name);
	in = fopen(path, "r");
	ck_assert_msg(in != NULL, "%s", path);
	while (fgets(line, sizeof(line), in) != NULL)
		ck_assert_int_eq(add_explanation_line(e, make_str(line)), 0);
	fclose(in);
}

/*
 * Guards against a wrong cause or reason when the input mixes the lines of many
 * processes and calls: each case reads all three recordings.
 */
START_TEST(cause_is_found_by_call_id)
{
	const struct recording_case *c = &recordings[_i];
	struct explanation *e;
	struct buf text = {0}, json = {0};
	json_t *o;

	ck_assert_int_eq(open_explanation(make_str(c->call), &e), 0);
	for (size_t i = 0; i < sizeof(recordings) / sizeof(recordings[0]); i++)
		add_log_file(e, recordings[i].file);
	ck_assert_int_eq(render_explanation(e, false, &text), 0);
	ck_assert_str_eq(get_explanation_cause(e), c->want);
	for (int i = 0; i < 4 && c->why[i] != NULL; i++)
		ck_assert_msg(strstr(text.data, c->why[i]) != NULL, "%s: %s",
		    c->why[i], text.data);
	ck_assert_int_eq(render_explanation(e, true, &json), 0);
	o = json_loadb(json.data, json.len, 0, NULL);
	ck_assert_str_eq(
	    json_string_value(json_object_get(o, "cause")), c->want);
	ck_assert_uint_gt(json_array_size(json_object_get(o, "decisions")), 0);
	json_decref(o);
	unload_buf(&text);
	unload_buf(&json);
	close_explanation(e);
}
END_TEST

#define LINE(process, event, rest)                                         \
	"{\"time\":\"2026-01-01T00:00:00.000001Z\",\"process\":\"" process \
	"\",\"event\":\"" event "\"" rest "}"
#define ENDED(rest) LINE("n1", "call.ended", ",\"call\":\"c\"" rest)

struct cause_case {
	const char *lines[6];
	const char *want;
	uint64_t damaged, foreign;
};

static const struct cause_case causes[] = {
    {{ENDED(",\"status\":200,\"outcome\":\"answered\"")}, "served", 0, 0},
    {{ENDED(",\"status\":200,\"outcome\":\"answered\",\"late\":true")},
	"served-late", 0, 0},
    {{ENDED(",\"status\":500,\"outcome\":\"answered\"")}, "backend-failed", 0,
	0},
    {{ENDED(",\"status\":0,\"outcome\":\"left\"")}, "caller-left", 0, 0},
    {{ENDED(",\"status\":404,\"outcome\":\"unknown-kind\"")}, "unknown-route",
	0, 0},
    {{ENDED(",\"status\":503,\"reason\":\"no-endpoint\"")}, "no-endpoint", 0,
	0},
    {{ENDED(",\"status\":503,\"reason\":\"draining\"")}, "draining", 0, 0},
    {{ENDED(",\"status\":503,\"reason\":\"deadline\"")}, "deadline", 0, 0},
    {{LINE("n1", "call.declined",
	  ",\"call\":\"c\",\"at_us\":5,\"node\":\"n2\",\"by_backend\":true"),
	 ENDED(",\"status\":503,\"reason\":\"overload\"")},
	"backend-refused", 0, 0},
    {{LINE("n1", "call.failed",
	  ",\"call\":\"c\",\"at_us\":5,\"node\":\"n2\",\"cause\":\"timeout\""),
	 ENDED(",\"status\":504,\"outcome\":\"none\"")},
	"deadline", 0, 0},
    {{LINE("n2", "serve.ended",
	 ",\"call\":\"c\",\"outcome\":\"answered\",\"status\":200")},
	"no-end", 0, 0},
    /* lines of other calls and programs, truncated and interleaved lines */
    {{LINE("n1", "call.ended", ",\"call\":\"other\",\"status\":503"),
	 "Jan 1 other[1]: text", "<29>2026 old-release: call c: 503",
	 "{\"time\":\"2026-01-01T00:00:00Z\",\"eve",
	 "{\"time\":\"20{\"time\":\"2026\",\"event\":\"call.ended\"}",
	 ENDED(",\"status\":200,\"outcome\":\"answered\"")},
	"served", 2, 2},
    {{"{\"event\":\"call.ended\",\"call\":\"c\"}", "[1,2]", "{}",
	 ENDED(",\"status\":\"200\",\"outcome\":7")},
	"deadline", 0, 3},
    /* bench output: time and machine name before the JSON object */
    {{"  33.1 node-1 " ENDED(",\"status\":404")}, "unknown-route", 0, 0},
};

/* Guards against a wrong cause, and a crash on lines of other programs. */
START_TEST(cause_follows_from_decisions)
{
	const struct cause_case *c = &causes[_i];
	struct explanation *e;
	struct buf out = {0};

	ck_assert_int_eq(open_explanation(make_str("c"), &e), 0);
	for (int i = 0; i < 6 && c->lines[i] != NULL; i++)
		ck_assert_int_eq(
		    add_explanation_line(e, make_str(c->lines[i])), 0);
	ck_assert_int_eq(render_explanation(e, false, &out), 0);
	ck_assert_str_eq(get_explanation_cause(e), c->want);
	ck_assert_uint_eq(get_explanation_skipped(e).damaged, c->damaged);
	ck_assert_uint_eq(get_explanation_skipped(e).foreign, c->foreign);
	unload_buf(&out);
	close_explanation(e);
}
END_TEST

/* Guards against an explanation of a call that no line names. */
START_TEST(unknown_call_is_not_found)
{
	struct explanation *e;
	struct buf out = {0};

	ck_assert_int_eq(open_explanation(make_str(""), &e), ERR_INVALID);
	ck_assert_int_eq(open_explanation(make_str("d"), &e), 0);
	ck_assert_int_eq(
	    add_explanation_line(e, make_str(ENDED(",\"status\":200"))), 0);
	ck_assert_int_eq(render_explanation(e, false, &out), ERR_NOT_FOUND);
	close_explanation(e);
}
END_TEST

/*
 * Guards against a long id that is refused, or explained by the lines of another
 * call whose id differs at the end.
 */
START_TEST(long_id_is_found)
{
	char id[201], text[LOG_ID_BYTES], line[512];
	struct explanation *e;
	struct buf out = {0};

	memset(id, 'i', sizeof(id) - 1);
	id[sizeof(id) - 1] = '\0';
	snprintf(line, sizeof(line),
	    LINE("entry", "call.ended", ",\"call\":\"%s\",\"status\":200"),
	    format_log_id(text, make_str(id)));
	for (int i = 0; i < 2; i++) {
		id[sizeof(id) - 2] = (char)('i' + i);
		ck_assert_int_eq(open_explanation(make_str(id), &e), 0);
		ck_assert_int_eq(add_explanation_line(e, make_str(line)), 0);
		ck_assert_int_eq(render_explanation(e, false, &out),
		    i == 0 ? 0 : ERR_NOT_FOUND);
		close_explanation(e);
	}
	unload_buf(&out);
}
END_TEST

/* Guards against a crash on damaged input. */
START_TEST(mutated_lines_are_skipped)
{
	static const char good[] =
	    ENDED(",\"status\":503,\"reason\":\"overload\"");
	struct explanation *e;
	struct buf out = {0};
	struct rng r;

	seed_rng(&r, 5);
	ck_assert_int_eq(open_explanation(make_str("c"), &e), 0);
	for (int i = 0; i < 20000; i++) {
		char line[sizeof(good)];
		size_t n = draw_below(&r, sizeof(good));

		memcpy(line, good, sizeof(good));
		for (int k = 0; k < 3; k++)
			line[draw_below(&r, sizeof(good) - 1)] =
			    (char)draw_below(&r, 256);
		(void)add_explanation_line(e, make_str_n(line, n));
	}
	(void)render_explanation(e, false, &out);
	unload_buf(&out);
	close_explanation(e);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("explain");
	TCase *t = tcase_create("explain");
	SRunner *r;
	int failed;

	tcase_add_loop_test(t, cause_is_found_by_call_id, 0,
	    sizeof(recordings) / sizeof(recordings[0]));
	tcase_add_loop_test(t, cause_follows_from_decisions, 0,
	    sizeof(causes) / sizeof(causes[0]));
	tcase_add_test(t, unknown_call_is_not_found);
	tcase_add_test(t, long_id_is_found);
	tcase_add_test(t, mutated_lines_are_skipped);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
