/*
 * Log lines: what a reader gets, also from hostile values, a reader that stops
 * and one that goes away.
 */
#include <check.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#include "log.h"

#define READ_BYTES (4 * 1024 * 1024)

static int ends[2]; /* of the pipe that is standard output here */
static char *bytes; /* what was read from it */
static size_t len;

static void
open_log(void)
{
	signal(SIGPIPE, SIG_IGN);
	ck_assert_int_eq(pipe(ends), 0);
	bytes = calloc(1, READ_BYTES);
	len = 0;
	set_log_name("node-1");
	set_log_level(LOG_LEVEL_INFO);
	ck_assert_int_eq(start_log_writer(ends[1]), 0);
}

static void
close_log(void)
{
	stop_log_writer();
	close(ends[0]);
	close(ends[1]);
	free(bytes);
}

/* Ends the writer and reads all that it wrote. */
static void
finish_log(void)
{
	ssize_t n;

	stop_log_writer();
	close(ends[1]);
	ends[1] = open("/dev/null", O_WRONLY);
	while ((n = read(ends[0], bytes + len, READ_BYTES - 1 - len)) > 0)
		len += (size_t)n;
	bytes[len] = '\0';
}

static void *
read_on(void *arg)
{
	(void)arg;
	for (;;) {
		ssize_t n = read(ends[0], bytes + len, READ_BYTES - 1 - len);

		if (n <= 0)
			return NULL;
		len += (size_t)n;
	}
}

/* The next line as JSON; NULL after the last one. */
static json_t *
take_line(char **at)
{
	char *end = strchr(*at, '\n');
	json_t *o;

	if (end == NULL)
		return NULL;
	*end = '\0';
	o = json_loads(*at, 0, NULL);
	ck_assert_msg(o != NULL, "not JSON: %s", *at);
	*at = end + 1;
	return o;
}

struct value_case {
	const char *in;
	size_t len;
	const char *want;
};

static const struct value_case values[] = {
    {"plain", 5, "plain"},
    {"", 0, ""},
    {"a\"b\\c", 5, "a\"b\\c"},
    {"two\nlines\r\n", 11, "two?lines??"},
    {"nul\0inside", 10, "nul?inside"},
    {"\xff\xfe\xc3", 3, "???"},
    {"{\"event\":\"x\"}", 13, "{\"event\":\"x\"}"},
};

/* Guards against a value that breaks its line or forges another one. */
START_TEST(values_stay_inside_their_line)
{
	char *at;
	json_t *o;

	WRITE_EVENT(LOG_LEVEL_NOTICE, "test.value",
	    LOG_STR("value", make_str_n(values[_i].in, values[_i].len)),
	    LOG_INT("number", -5), LOG_REAL("real", 0.25),
	    LOG_REAL("nan", 0.0 / 0.0), LOG_BOOL("truth", 7));
	finish_log();
	at = bytes;
	o = take_line(&at);
	ck_assert_str_eq(
	    json_string_value(json_object_get(o, "value")), values[_i].want);
	ck_assert_str_eq(
	    json_string_value(json_object_get(o, "event")), "test.value");
	ck_assert_str_eq(
	    json_string_value(json_object_get(o, "level")), "notice");
	ck_assert_str_eq(
	    json_string_value(json_object_get(o, "process")), "node-1");
	ck_assert_int_eq(json_integer_value(json_object_get(o, "number")), -5);
	ck_assert(json_is_true(json_object_get(o, "truth")));
	ck_assert(json_is_number(json_object_get(o, "nan")));
	json_decref(o);
	ck_assert_ptr_null(take_line(&at));
}
END_TEST

/* Guards against a long value that takes the fields after it along. */
START_TEST(long_values_are_left_out)
{
	char text[4 * GGS_LOG_LINE_BYTES];
	char *at;
	json_t *o;

	memset(text, '\\', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	WRITE_EVENT(LOG_LEVEL_INFO, "test.long", LOG_TEXT("value", text),
	    LOG_INT("after", 1));
	finish_log();
	at = bytes;
	o = take_line(&at);
	ck_assert_ptr_null(json_object_get(o, "value"));
	ck_assert_int_eq(json_integer_value(json_object_get(o, "after")), 1);
	ck_assert(json_is_true(json_object_get(o, "cut")));
	json_decref(o);
}
END_TEST

/* Guards against lines that the level should hold back. */
START_TEST(level_holds_lines_back)
{
	char *at;
	json_t *o;

	set_log_level(LOG_LEVEL_WARNING);
	WRITE_EVENT(LOG_LEVEL_NOTICE, "test.less", LOG_INT("n", 1));
	write_log(LOG_LEVEL_ERR, "%d %s", 7, "texts");
	finish_log();
	at = bytes;
	o = take_line(&at);
	ck_assert_str_eq(
	    json_string_value(json_object_get(o, "event")), "message");
	ck_assert_str_eq(
	    json_string_value(json_object_get(o, "text")), "7 texts");
	json_decref(o);
	ck_assert_ptr_null(take_line(&at));
}
END_TEST

static int64_t
read_now(void)
{
	struct clock_source c = get_real_clock();

	return read_mono(&c);
}

/*
 * Guards against a process that stands still because nobody reads its lines,
 * and against lines that are lost without a count.
 */
START_TEST(stopped_reader_holds_up_nobody)
{
	const int lines = 20000;
	struct timespec pause = {0, 300 * NSEC_PER_MSEC};
	int64_t began = read_now();
	int got = 0, told = 0;
	pthread_t reader;
	char *at;
	json_t *o;

	for (int i = 0; i < lines; i++)
		WRITE_EVENT(LOG_LEVEL_INFO, "test.line", LOG_INT("n", i));
	ck_assert_int_lt(read_now() - began, 2 * NSEC_PER_SEC);
	ck_assert_int_gt(count_dropped_lines(), 0);
	ck_assert_int_eq(pthread_create(&reader, NULL, read_on, NULL), 0);
	nanosleep(&pause, NULL);
	WRITE_EVENT(LOG_LEVEL_INFO, "test.line", LOG_INT("n", lines));
	stop_log_writer();
	close(ends[1]);
	ends[1] = open("/dev/null", O_WRONLY);
	pthread_join(reader, NULL);
	bytes[len] = '\0';
	at = bytes;
	while ((o = take_line(&at)) != NULL) {
		const char *event =
		    json_string_value(json_object_get(o, "event"));

		if (strcmp(event, "log.dropped") == 0)
			told += (int)json_integer_value(
			    json_object_get(o, "lines"));
		else
			got++;
		json_decref(o);
	}
	ck_assert_int_eq(got + told, lines + 1);
}
END_TEST

/* Guards against an end or a stand-still when the reader goes away. */
START_TEST(lost_reader_ends_nothing)
{
	struct timespec pause = {0, 50 * NSEC_PER_MSEC};
	uint64_t before = count_dropped_lines();

	close(ends[0]);
	ends[0] = open("/dev/null", O_RDONLY);
	WRITE_EVENT(LOG_LEVEL_INFO, "test.line", LOG_INT("n", 0));
	nanosleep(&pause, NULL);
	for (int i = 0; i < 10000; i++)
		WRITE_EVENT(LOG_LEVEL_INFO, "test.line", LOG_INT("n", i));
	ck_assert_uint_gt(count_dropped_lines(), before);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("log");
	TCase *t = tcase_create("log");
	SRunner *r;
	int failed;

	tcase_add_checked_fixture(t, open_log, close_log);
	tcase_add_loop_test(t, values_stay_inside_their_line, 0,
	    sizeof(values) / sizeof(values[0]));
	tcase_add_test(t, long_values_are_left_out);
	tcase_add_test(t, level_holds_lines_back);
	tcase_add_test(t, stopped_reader_holds_up_nobody);
	tcase_add_test(t, lost_reader_ends_nothing);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
