/*
 * Settings: precedence of sources, checks of values, and secret files.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "settings.h"

static const struct setting_spec specs[] = {
    {"zone", SETTING_NAME, NULL, 0, 0, NULL, "zone"},
    {"role", SETTING_CHOICE, "node", 0, 0, "node|control", "role"},
    {"slots", SETTING_NUMBER, "20", 1, 1000, NULL, "slots"},
    {"wait", SETTING_DURATION, "10s", 100, 60000, NULL, "wait"},
    {"memory", SETTING_SIZE, "64MB", 1024, 1 << 30, NULL, "memory"},
    {"listen", SETTING_ADDRESS, "127.0.0.1:0", 0, 0, NULL, "address"},
    {"data-dir", SETTING_DIR, NULL, 0, 0, NULL, "folder"},
    {"interest", SETTING_LIST, NULL, 0, 0, NULL, "services"},
    {"quiet", SETTING_FLAG, NULL, 0, 0, NULL, "flag"},
};

static const struct settings_program program = {"test", NULL, NULL, "GGSTEST_",
    specs, sizeof(specs) / sizeof(specs[0]), NULL};

struct value_case {
	const char *flag; /* one flag with its value, or NULL */
	const char *env_name;
	const char *env_value;
	const char *name;
	const char *want; /* value, or part of the error message */
	int want_rc;
};

static const struct value_case value_cases[] = {
    {NULL, NULL, NULL, "slots", "20", 0},
    {NULL, "GGSTEST_SLOTS", "6", "slots", "6", 0},
    {"--slots=7", "GGSTEST_SLOTS", "6", "slots", "7", 0},
    {"--slots=0", NULL, NULL, "slots", "integer from 1 to 1000", ERR_INVALID},
    {NULL, "GGSTEST_SLOTS", "x", "slots", "GGSTEST_SLOTS: --slots",
	ERR_INVALID},
    {"--wait=500ms", NULL, NULL, "wait", "500ms", 0},
    {"--wait=500", NULL, NULL, "wait", "with ms, s or m", ERR_INVALID},
    {"--wait=2h", NULL, NULL, "wait", "with ms, s or m", ERR_INVALID},
    {"--wait=2m", NULL, NULL, "wait", "out of range", ERR_INVALID},
    {"--memory=1MB", NULL, NULL, "memory", "1MB", 0},
    {"--memory=1mb", NULL, NULL, "memory", "KB, MB or GB", ERR_INVALID},
    {"--listen=10.0.0.1:80", NULL, NULL, "listen", "10.0.0.1:80", 0},
    {"--listen=[::1]:80", NULL, NULL, "listen", "[::1]:80", 0},
    {"--listen=localhost:80", NULL, NULL, "listen", "use IP:port", ERR_INVALID},
    {"--listen=10.0.0.1:70000", NULL, NULL, "listen", "use IP:port",
	ERR_INVALID},
    {"--zone=Nord_1", NULL, NULL, "zone", "not a name", ERR_INVALID},
    {"--role=relay", NULL, NULL, "role", "use node|control", ERR_INVALID},
    {"--data-dir=/nonexistent", NULL, NULL, "data-dir", "not a writable folder",
	ERR_INVALID},
    {"--quiet", NULL, NULL, "quiet", "yes", 0},
};

/* Guards against a wrong precedence and values that are not checked. */
START_TEST(values_follow_precedence_and_are_checked)
{
	const struct value_case *c = &value_cases[_i];
	char name[] = "test", flag[64] = "";
	char *argv[] = {name, flag, NULL};
	struct settings *s = NULL;
	struct fault f = {0};
	int first_arg;

	if (c->flag != NULL)
		snprintf(flag, sizeof(flag), "%s", c->flag);
	if (c->env_name != NULL)
		setenv(c->env_name, c->env_value, 1);
	ck_assert_int_eq(load_settings(&program, c->flag != NULL ? 2 : 1, argv,
			     &s, &first_arg, &f),
	    c->want_rc);
	if (c->want_rc == 0)
		ck_assert_str_eq(get_setting(s, c->name), c->want);
	else
		ck_assert_msg(strstr(f.text, c->want) != NULL, "%s", f.text);
	unload_settings(s);
}
END_TEST

/*
 * Guards against units that are ignored, lists that are split wrongly and a
 * wrong index of the first argument after the flags.
 */
START_TEST(numbers_and_lists_are_parsed)
{
	char name[] = "test", list[] = "--interest=a,b,c", word[] = "status";
	char *argv[] = {name, list, word, NULL};
	const char *items[3];
	struct settings *s = NULL;
	int first_arg;

	ck_assert_int_eq(
	    load_settings(&program, 3, argv, &s, &first_arg, NULL), 0);
	ck_assert_int_eq(first_arg, 2);
	ck_assert_int_eq(get_setting_number(s, "wait"), 10000);
	ck_assert_int_eq(get_setting_number(s, "memory"), 64 << 20);
	ck_assert_int_eq(get_setting_list(s, "interest", items, 3), 3);
	ck_assert_str_eq(items[2], "c");
	ck_assert_int_eq(get_setting_list(s, "interest", items, 2), ERR_LIMIT);
	ck_assert(!has_setting(s, "zone"));
	unload_settings(s);
}
END_TEST

/* Guards against secrets that other users of the VM can read. */
START_TEST(secret_file_must_be_private)
{
	char path[] = "/tmp/ggs-secret-XXXXXX";
	int fd = mkstemp(path);
	struct buf b = {0};
	struct fault f = {0};

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(write(fd, "key\n", 4), 4);
	ck_assert_int_eq(fchmod(fd, 0644), 0);
	ck_assert_int_eq(load_secret(path, &b, &f), ERR_DENIED);
	ck_assert_ptr_nonnull(strstr(f.text, "chmod 600"));
	ck_assert_int_eq(fchmod(fd, 0600), 0);
	ck_assert_int_eq(load_secret(path, &b, &f), 0);
	ck_assert_str_eq(b.data, "key");
	unload_buf(&b);
	close(fd);
	unlink(path);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("settings");
	TCase *t = tcase_create("settings");
	SRunner *r;
	int failed;

	tcase_add_loop_test(t, values_follow_precedence_and_are_checked, 0,
	    sizeof(value_cases) / sizeof(value_cases[0]));
	tcase_add_test(t, numbers_and_lists_are_parsed);
	tcase_add_test(t, secret_file_must_be_private);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
