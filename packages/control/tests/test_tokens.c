/*
 * The operators' token file and the lookup of tokens.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "service.h"

#define GOOD "0123456789abcdef"
#define OTHER "fedcba9876543210"

struct file_case {
	const char *text;
	mode_t mode;
	int want;
};

static const struct file_case file_cases[] = {
    {"anna " GOOD "\n", 0600, 0},
    {"anna " GOOD "\n", 0400, 0},
    {"# comment\n\nanna " GOOD "\nbert\t" OTHER "\r\n", 0600, 0},
    /* readable by others */
    {"anna " GOOD "\n", 0640, ERR_DENIED},
    {"anna " GOOD "\n", 0604, ERR_DENIED},
    {"anna " GOOD "\n", 0660, ERR_DENIED},
    /* no operator, no token, or a token that can be guessed */
    {"", 0600, ERR_INVALID},
    {"# anna " GOOD "\n", 0600, ERR_INVALID},
    {"anna\n", 0600, ERR_INVALID},
    {"anna 0123456789abcde\n", 0600, ERR_INVALID}, /* 15 bytes */
    {"anna " GOOD " more\n", 0600, ERR_INVALID},
};

static int
load_text(const char *text, mode_t mode, struct operator_tokens **out)
{
	char path[] = "/tmp/ggs-tokens-XXXXXX";
	int fd = mkstemp(path), rc;
	struct fault f = {0};

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	ck_assert_int_eq(fchmod(fd, mode), 0);
	close(fd);
	rc = load_tokens(path, out, &f);
	unlink(path);
	ck_assert(rc == 0 || f.text[0] != '\0');
	return rc;
}

/* Guards against token files that others can read, and weak tokens. */
START_TEST(token_file_is_checked)
{
	const struct file_case *c = &file_cases[_i];
	struct operator_tokens *t = NULL;

	ck_assert_int_eq(load_text(c->text, c->mode, &t), c->want);
	unload_tokens(t);
}
END_TEST

struct token_case {
	const char *token;
	const char *want; /* operator or NULL */
};

static const struct token_case token_cases[] = {
    {GOOD, "anna"},
    {OTHER, "bert"},
    {"", NULL},
    {"0123456789abcde", NULL}, /* a prefix */
    {GOOD "0", NULL},
    {"0123456789ABCDEF", NULL},
    {"anna", NULL},
};

/* Guards against a wrong token that is accepted, or a wrong operator name. */
START_TEST(only_complete_tokens_identify_an_operator)
{
	const struct token_case *c = &token_cases[_i];
	struct operator_tokens *t = NULL;
	const char *name;

	ck_assert_int_eq(
	    load_text("anna " GOOD "\nbert " OTHER "\n", 0600, &t), 0);
	name = find_operator(t, make_str(c->token));
	if (c->want == NULL)
		ck_assert_ptr_null(name);
	else
		ck_assert_str_eq(name, c->want);
	unload_tokens(t);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("tokens");
	TCase *t = tcase_create("tokens");
	SRunner *r;
	int failed;

	tcase_add_loop_test(t, token_file_is_checked, 0,
	    sizeof(file_cases) / sizeof(file_cases[0]));
	tcase_add_loop_test(t, only_complete_tokens_identify_an_operator, 0,
	    sizeof(token_cases) / sizeof(token_cases[0]));
	suite_add_tcase(suite, t);
	r = srunner_create(suite);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
