/*
 * Checks setting values by type; each error message says what is accepted.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "validate.h"

#define NAME_MAX_LEN 32 /* bytes */
#define PORT_MAX 65535

/* A unit suffix and its factor to ms or bytes. */
struct unit {
	const char *name;
	int64_t factor;
};

static const struct unit duration_units[] = {
    {"ms", 1},
    {"s", 1000},
    {"m", 60000},
    {NULL, 0},
};

static const struct unit size_units[] = {
    {"KB", 1024},
    {"MB", 1024 * 1024},
    {"GB", 1024 * 1024 * 1024},
    {NULL, 0},
};

static int check_name(const char *name, const char *text, struct fault *f);
static int check_choice(
    const struct setting_spec *spec, const char *text, struct fault *f);
static int check_number(const struct setting_spec *spec, const char *text,
    int64_t *number, struct fault *f);
static int check_quantity(const struct setting_spec *spec, const char *text,
    const struct unit *units, const char *expected, int64_t *number,
    struct fault *f);
static int check_path(
    const struct setting_spec *spec, const char *text, struct fault *f);
static int check_flag(
    const char *name, const char *text, int64_t *number, struct fault *f);

int
check_setting(const struct setting_spec *spec, const char *text,
    int64_t *number, struct fault *f)
{
	*number = 0;
	if (strlen(text) >= SETTING_VALUE_BYTES)
		return set_fault(f, ERR_INVALID,
		    "--%s: the value is too long; use fewer than %d bytes",
		    spec->name, SETTING_VALUE_BYTES);
	switch (spec->type) {
	case SETTING_NAME:
		return check_name(spec->name, text, f);
	case SETTING_CHOICE:
		return check_choice(spec, text, f);
	case SETTING_NUMBER:
		return check_number(spec, text, number, f);
	case SETTING_DURATION:
		return check_quantity(spec, text, duration_units,
		    "a number with ms, s or m, such as 500ms", number, f);
	case SETTING_SIZE:
		return check_quantity(spec, text, size_units,
		    "a number with KB, MB or GB, such as 64MB", number, f);
	case SETTING_ADDRESS:
		if (check_address(make_str(text)) != 0)
			return set_fault(f, ERR_INVALID,
			    "--%s: '%s' is not an address; use IP:port, such "
			    "as 127.0.0.1:7400",
			    spec->name, text);
		return 0;
	case SETTING_FILE:
	case SETTING_DIR:
		return check_path(spec, text, f);
	case SETTING_FLAG:
		return check_flag(spec->name, text, number, f);
	default:
		return 0;
	}
}

/*
 * Accepts port 0, which lets the system choose a port.
 */
int
check_address(struct str address)
{
	char text[INET6_ADDRSTRLEN + 16], *colon;
	unsigned char ip[sizeof(struct in6_addr)];
	int64_t port;
	size_t len;

	if (copy_str(text, sizeof(text), address) != 0)
		return ERR_INVALID;
	colon = strrchr(text, ':');
	if (colon == NULL ||
	    parse_i64(make_str(colon + 1), 0, PORT_MAX, &port) != 0)
		return ERR_INVALID;
	*colon = '\0';
	len = strlen(text);
	if (len > 2 && text[0] == '[' && text[len - 1] == ']') {
		text[len - 1] = '\0';
		return inet_pton(AF_INET6, text + 1, ip) == 1 ? 0 : ERR_INVALID;
	}
	return inet_pton(AF_INET, text, ip) == 1 ? 0 : ERR_INVALID;
}

static int
check_name(const char *name, const char *text, struct fault *f)
{
	size_t len = strlen(text);

	if (len > 0 && len <= NAME_MAX_LEN &&
	    strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-") == len)
		return 0;
	return set_fault(f, ERR_INVALID,
	    "--%s: '%s' is not a name; use 1 to %d of a-z, 0-9 and -", name,
	    text, NAME_MAX_LEN);
}

static int
check_choice(const struct setting_spec *spec, const char *text, struct fault *f)
{
	size_t len = strlen(text);
	const char *at = spec->choices;

	while (*at != '\0') {
		size_t n = strcspn(at, "|");

		if (n == len && strncmp(at, text, n) == 0)
			return 0;
		at += n + (at[n] == '|');
	}
	return set_fault(f, ERR_INVALID, "--%s: '%s' is not known; use %s",
	    spec->name, text, spec->choices);
}

static int
check_number(const struct setting_spec *spec, const char *text, int64_t *number,
    struct fault *f)
{
	if (parse_i64(make_str(text), spec->lo, spec->hi, number) == 0)
		return 0;
	return set_fault(f, ERR_INVALID,
	    "--%s: '%s' is not accepted; use an integer from %lld to %lld",
	    spec->name, text, (long long)spec->lo, (long long)spec->hi);
}

/*
 * Parses a number with a unit suffix and converts it to ms or bytes. expected
 * describes the accepted form in the error message.
 */
static int
check_quantity(const struct setting_spec *spec, const char *text,
    const struct unit *units, const char *expected, int64_t *number,
    struct fault *f)
{
	size_t digits = strspn(text, "0123456789");
	int64_t v;

	for (const struct unit *u = units; u->name != NULL; u++) {
		if (strcmp(text + digits, u->name) != 0 ||
		    parse_i64(make_str_n(text, digits), 0, INT32_MAX, &v) != 0)
			continue;
		*number = v * u->factor;
		if (*number >= spec->lo && *number <= spec->hi)
			return 0;
		return set_fault(f, ERR_INVALID,
		    "--%s: '%s' is out of range; use %lld%s to %lld%s",
		    spec->name, text, (long long)(spec->lo / u->factor),
		    u->name, (long long)(spec->hi / u->factor), u->name);
	}
	return set_fault(f, ERR_INVALID, "--%s: '%s' is not accepted; use %s",
	    spec->name, text, expected);
}

/*
 * Checks that a file is readable or a folder writable.
 */
static int
check_path(const struct setting_spec *spec, const char *text, struct fault *f)
{
	struct stat st;

	if (spec->type == SETTING_FILE) {
		if (stat(text, &st) == 0 && S_ISREG(st.st_mode) &&
		    access(text, R_OK) == 0)
			return 0;
		return set_fault(f, ERR_INVALID,
		    "--%s: '%s' is not a readable file; create it or correct "
		    "the path",
		    spec->name, text);
	}
	if (stat(text, &st) == 0 && S_ISDIR(st.st_mode) &&
	    access(text, W_OK | X_OK) == 0)
		return 0;
	return set_fault(f, ERR_INVALID,
	    "--%s: '%s' is not a writable folder; create it or change its "
	    "owner",
	    spec->name, text);
}

static int
check_flag(const char *name, const char *text, int64_t *number, struct fault *f)
{
	*number = strcmp(text, "yes") == 0;
	if (*number == 1 || strcmp(text, "no") == 0)
		return 0;
	return set_fault(f, ERR_INVALID,
	    "--%s: '%s' is not accepted; use yes or no", name, text);
}
