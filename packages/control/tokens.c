/*
 * Bearer tokens of the operators, loaded from the token file and kept hashed.
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include <sodium.h>

#include "service.h"

#define TOKEN_LINE_BYTES 512
#define TOKEN_MIN_BYTES 16 /* shorter tokens can be guessed */
#define OPERATORS_MAX 256

struct operator_token {
	char name[COMMAND_AUTHOR_MAX + 1];
	unsigned char hash[crypto_generichash_BYTES];
};

struct operator_tokens {
	size_t count;
	struct operator_token items[OPERATORS_MAX];
};

static int parse_line(struct operator_tokens *t, char *line, int number,
    const char *path, struct fault *f);
static void hash_token(struct str token, unsigned char *out);

/*
 * Loads lines of "name token"; empty lines and lines that start with # are
 * skipped. ERR_DENIED when group or others have access to the file, ERR_IO,
 * ERR_INVALID or ERR_LIMIT. Freed by unload_tokens().
 */
int
load_tokens(const char *path, struct operator_tokens **out, struct fault *f)
{
	struct operator_tokens *t = calloc(1, sizeof(*t));
	char line[TOKEN_LINE_BYTES];
	struct stat st;
	FILE *in = fopen(path, "re");
	int rc = 0, number = 0;

	if (t == NULL)
		rc = set_fault(f, ERR_MEMORY, "out of memory");
	else if (in == NULL || fstat(fileno(in), &st) != 0)
		rc = set_fault(f, ERR_IO,
		    "cannot open the token file %s: %s; create it with mode "
		    "0600",
		    path, strerror(errno));
	else if ((st.st_mode & 077) != 0)
		rc = set_fault(f, ERR_DENIED,
		    "the token file %s has mode %03o; run chmod 600 on it",
		    path, (unsigned int)st.st_mode & 0777);
	while (t != NULL && rc == 0 && fgets(line, sizeof(line), in) != NULL)
		rc = parse_line(t, line, ++number, path, f);
	sodium_memzero(line, sizeof(line));
	if (in != NULL)
		fclose(in);
	if (t != NULL && rc == 0 && t->count == 0)
		rc = set_fault(f, ERR_INVALID,
		    "the token file %s lists no operator; write a name and a "
		    "token per line",
		    path);
	if (rc != 0) {
		unload_tokens(t);
		return rc;
	}
	*out = t;
	return 0;
}

void
unload_tokens(struct operator_tokens *t)
{
	if (t == NULL)
		return;
	sodium_memzero(t, sizeof(*t));
	free(t);
}

/*
 * Compares the hashes of all tokens in constant time, so that the duration
 * reveals nothing about the tokens.
 */
const char *
find_operator(const struct operator_tokens *t, struct str token)
{
	unsigned char hash[crypto_generichash_BYTES];
	const char *name = NULL;

	hash_token(token, hash);
	for (size_t i = 0; i < t->count; i++) {
		if (sodium_memcmp(hash, t->items[i].hash, sizeof(hash)) == 0)
			name = t->items[i].name;
	}
	return name;
}

/*
 * Adds the operator of one line, which it modifies. number is the line number
 * for messages.
 */
static int
parse_line(struct operator_tokens *t, char *line, int number, const char *path,
    struct fault *f)
{
	char *rest = NULL, *name = strtok_r(line, " \t\r\n", &rest);
	char *token = strtok_r(NULL, " \t\r\n", &rest);

	if (name == NULL || name[0] == '#')
		return 0;
	if (token == NULL || strlen(token) < TOKEN_MIN_BYTES ||
	    strtok_r(NULL, " \t\r\n", &rest) != NULL ||
	    strlen(name) > COMMAND_AUTHOR_MAX)
		return set_fault(f, ERR_INVALID,
		    "%s line %d: write a name and a token of %d bytes or more",
		    path, number, TOKEN_MIN_BYTES);
	if (t->count == OPERATORS_MAX)
		return set_fault(f, ERR_LIMIT,
		    "%s line %d: at most %d operators are accepted", path,
		    number, OPERATORS_MAX);
	(void)copy_str(
	    t->items[t->count].name, sizeof(t->items[0].name), make_str(name));
	hash_token(make_str(token), t->items[t->count].hash);
	t->count++;
	return 0;
}

static void
hash_token(struct str token, unsigned char *out)
{
	(void)crypto_generichash(out, crypto_generichash_BYTES,
	    (const unsigned char *)token.data, token.len, NULL, 0);
}
