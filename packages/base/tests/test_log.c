/*
 * Log lines: escaping of hostile values, a reader that stalls and a reader that
 * closes its end of the pipe.
 */
#include <check.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#include "log.h"

#define OUTPUT_BYTES (4 * 1024 * 1024)

static int pipe_fds[2]; /* stands in for standard output */
static char *output; /* what was read from it */
static size_t output_len;

static void
open_log(void)
{
	signal(SIGPIPE, SIG_IGN);
	ck_assert_int_eq(pipe(pipe_fds), 0);
	output = calloc(1, OUTPUT_BYTES);
	output_len = 0;
	set_log_name("node-1");
	set_log_level(LOG_LEVEL_INFO);
	ck_assert_int_eq(start_log_writer(pipe_fds[1]), 0);
}

static void
close_log(void)
{
	stop_log_writer();
	close(pipe_fds[0]);
	close(pipe_fds[1]);
	free(output);
}

/* Stops the writer and reads all its output; lines up to now are flushed. */
static void
stop_and_read_log(void)
{
	ssize_t n;

	stop_log_writer();
	close(pipe_fds[1]);
	pipe_fds[1] = open("/dev/null", O_WRONLY);
	while ((n = read(pipe_fds[0], output + output_len,
		    OUTPUT_BYTES - 1 - output_len)) > 0)
		output_len += (size_t)n;
	output[output_len] = '\0';
}

static void *
read_until_eof(void *arg)
{
	(void)arg;
	for (;;) {
		ssize_t n = read(pipe_fds[0], output + output_len,
		    OUTPUT_BYTES - 1 - output_len);

		if (n <= 0)
			return NULL;
		output_len += (size_t)n;
	}
}

/* Parses the next line and advances at; NULL after the last line. */
static json_t *
next_line(char **at)
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

/* Guards against a value that breaks its line or injects another line. */
START_TEST(values_are_escaped)
{
	char *at;
	json_t *o;

	WRITE_EVENT(LOG_LEVEL_NOTICE, "test.value",
	    LOG_STR("value", make_str_n(values[_i].in, values[_i].len)),
	    LOG_INT("number", -5), LOG_REAL("real", 0.25),
	    LOG_REAL("nan", 0.0 / 0.0), LOG_BOOL("truth", 7));
	stop_and_read_log();
	at = output;
	o = next_line(&at);
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
	ck_assert_ptr_null(next_line(&at));
}
END_TEST

/* Guards against a long value that makes the fields after it disappear. */
START_TEST(long_values_are_omitted)
{
	char text[4 * GGS_LOG_LINE_BYTES];
	char *at;
	json_t *o;

	memset(text, '\\', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	WRITE_EVENT(LOG_LEVEL_INFO, "test.long", LOG_TEXT("value", text),
	    LOG_INT("after", 1));
	stop_and_read_log();
	at = output;
	o = next_line(&at);
	ck_assert_ptr_null(json_object_get(o, "value"));
	ck_assert_int_eq(json_integer_value(json_object_get(o, "after")), 1);
	ck_assert(json_is_true(json_object_get(o, "cut")));
	json_decref(o);
}
END_TEST

static const struct {
	size_t len;
	char last[2]; /* bytes in which the two ids differ */
	bool whole; /* the text is the id itself */
} id_pairs[] = {
    {1, {'a', 'b'}, true},
    {128, {'a', 'b'}, true},
    {129, {'a', 'b'}, false},
    {1000000, {'a', 'b'}, false},
    {16, {1, 2}, false},
    {16, {'\x80', '\x81'}, false},
};

/*
 * Guards against lines of two calls that bear the same id, or none, because
 * their ids are long or have bytes that a line cannot hold.
 */
START_TEST(ids_that_differ_have_different_texts)
{
	char text[2][LOG_ID_BYTES], again[LOG_ID_BYTES];
	size_t len = id_pairs[_i].len;
	char *id = malloc(len);

	memset(id, 'i', len);
	for (int i = 0; i < 2; i++) {
		id[len - 1] = id_pairs[_i].last[i];
		(void)format_log_id(text[i], make_str_n(id, len));
		ck_assert_str_eq(
		    format_log_id(again, make_str(text[i])), text[i]);
	}
	ck_assert_str_ne(text[0], text[1]);
	ck_assert(is_str_equal(make_str(text[1]), make_str_n(id, len)) ==
		  id_pairs[_i].whole);
	free(id);
}
END_TEST

/* Guards against lines that are less severe than the configured level. */
START_TEST(lines_below_the_level_are_dropped)
{
	char *at;
	json_t *o;

	set_log_level(LOG_LEVEL_WARNING);
	WRITE_EVENT(LOG_LEVEL_NOTICE, "test.less", LOG_INT("n", 1));
	write_log(LOG_LEVEL_ERR, "%d %s", 7, "texts");
	stop_and_read_log();
	at = output;
	o = next_line(&at);
	ck_assert_str_eq(
	    json_string_value(json_object_get(o, "event")), "message");
	ck_assert_str_eq(
	    json_string_value(json_object_get(o, "text")), "7 texts");
	json_decref(o);
	ck_assert_ptr_null(next_line(&at));
}
END_TEST

static int64_t
read_monotonic(void)
{
	struct clock_source c = get_real_clock();

	return read_mono(&c);
}

/*
 * Guards against a process that blocks when the reader of its log stalls, and
 * against dropped lines that are not counted.
 */
START_TEST(stopped_reader_does_not_block_writers)
{
	const int lines = 20000;
	struct timespec pause = {0, 300 * NSEC_PER_MSEC};
	int64_t start = read_monotonic();
	int received = 0, dropped = 0;
	pthread_t reader;
	char *at;
	json_t *o;

	for (int i = 0; i < lines; i++)
		WRITE_EVENT(LOG_LEVEL_INFO, "test.line", LOG_INT("n", i));
	ck_assert_int_lt(read_monotonic() - start, 2 * NSEC_PER_SEC);
	ck_assert_int_gt(count_dropped_lines(), 0);
	ck_assert_int_eq(
	    pthread_create(&reader, NULL, read_until_eof, NULL), 0);
	nanosleep(&pause, NULL);
	WRITE_EVENT(LOG_LEVEL_INFO, "test.line", LOG_INT("n", lines));
	stop_log_writer();
	close(pipe_fds[1]);
	pipe_fds[1] = open("/dev/null", O_WRONLY);
	pthread_join(reader, NULL);
	output[output_len] = '\0';
	at = output;
	while ((o = next_line(&at)) != NULL) {
		const char *event =
		    json_string_value(json_object_get(o, "event"));

		if (strcmp(event, "log.dropped") == 0)
			dropped += (int)json_integer_value(
			    json_object_get(o, "lines"));
		else
			received++;
		json_decref(o);
	}
	ck_assert_int_eq(received + dropped, lines + 1);
}
END_TEST

/*
 * Guards against a process that logs nothing any more after a write of its log
 * has failed once, for example to a full disk, and against lines that are lost
 * without being counted.
 */
START_TEST(log_goes_on_after_a_full_disk)
{
	struct timespec pause = {0, 600 * NSEC_PER_MSEC};
	char path[] = "/tmp/ggs-log-XXXXXX";
	struct rlimit r = {.rlim_max = RLIM_INFINITY};
	int file = mkstemp(path), lines = 0, received = 0, dropped = 0;
	uint64_t before = count_dropped_lines();
	json_int_t last = -1;
	char *at;
	json_t *o;

	ck_assert_int_ge(file, 0);
	signal(SIGXFSZ, SIG_IGN);
	stop_log_writer();
	ck_assert_int_eq(start_log_writer(file), 0);
	for (int round = 0; round < 3; round++) {
		/* The second round does not fit, not even its first line. */
		r.rlim_cur = round == 1 ? 1000 : RLIM_INFINITY;
		ck_assert_int_eq(setrlimit(RLIMIT_FSIZE, &r), 0);
		for (int i = 0; i < 4 + 40 * (round == 1); i++, lines++)
			WRITE_EVENT(
			    LOG_LEVEL_INFO, "test.line", LOG_INT("n", lines));
		nanosleep(&pause, NULL);
	}
	stop_log_writer();
	ck_assert_int_eq(start_log_writer(pipe_fds[1]), 0);
	output_len = (size_t)pread(file, output, OUTPUT_BYTES - 1, 0);
	output[output_len] = '\0';
	close(file);
	(void)unlink(path);
	for (at = output; *at != '\0';) {
		size_t len = strcspn(at, "\n");

		o = json_loadb(at, len, 0, NULL);
		at += len + (at[len] != '\0');
		if (o == NULL)
			continue; /* cut by the full disk */
		if (json_object_get(o, "lines") != NULL)
			dropped += (int)json_integer_value(
			    json_object_get(o, "lines"));
		else
			received++;
		last = json_integer_value(json_object_get(o, "n"));
		json_decref(o);
	}
	ck_assert_int_eq(last, lines - 1); /* of the last round */
	ck_assert_int_gt(dropped, 0);
	ck_assert_int_lt(received, lines);
	ck_assert_uint_ge(
	    count_dropped_lines() - before, (uint64_t)(lines - received));
}
END_TEST

/* Guards against a crash or a block when the reader closes the pipe. */
START_TEST(closed_pipe_does_not_block_or_kill)
{
	struct timespec pause = {0, 50 * NSEC_PER_MSEC};
	uint64_t before = count_dropped_lines();

	close(pipe_fds[0]);
	pipe_fds[0] = open("/dev/null", O_RDONLY);
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
	tcase_add_loop_test(
	    t, values_are_escaped, 0, sizeof(values) / sizeof(values[0]));
	tcase_add_test(t, long_values_are_omitted);
	tcase_add_loop_test(t, ids_that_differ_have_different_texts, 0,
	    sizeof(id_pairs) / sizeof(id_pairs[0]));
	tcase_add_test(t, lines_below_the_level_are_dropped);
	tcase_add_test(t, stopped_reader_does_not_block_writers);
	tcase_add_test(t, log_goes_on_after_a_full_disk);
	tcase_add_test(t, closed_pipe_does_not_block_or_kill);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
