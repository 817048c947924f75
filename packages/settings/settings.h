/*
 * Settings of a program from command-line flags, environment variables and
 * defaults. Values are checked and stored with their source.
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "base.h"

#define SETTINGS_MAX 48 /* settings of one program */
#define SETTING_VALUE_BYTES 1024 /* longest value, with NUL */
#define SETTINGS_EXIT_INVALID 2 /* exit status of an invalid command line */

/* Type of a setting's value. */
enum setting_type {
	SETTING_TEXT, /* any text */
	SETTING_NAME, /* a-z, 0-9 and -, 1 to 32 bytes */
	SETTING_CHOICE, /* one of spec.choices, separated by | */
	SETTING_NUMBER, /* integer from lo to hi */
	SETTING_DURATION, /* number with ms, s or m; lo and hi in ms */
	SETTING_SIZE, /* number with KB, MB or GB; lo and hi in bytes */
	SETTING_ADDRESS, /* IP:port */
	SETTING_LIST, /* texts separated by commas */
	SETTING_FILE, /* a readable file */
	SETTING_DIR, /* an existing folder that is writable */
	SETTING_FLAG, /* takes no value; yes or no in the environment */
};

/* Source of a value. */
enum setting_source {
	SETTING_FROM_DEFAULT,
	SETTING_FROM_ENVIRONMENT,
	SETTING_FROM_FLAG,
};

/* One setting. Its variable is the prefix and the name in upper case. */
struct setting_spec {
	const char *name; /* of the flag, without -- */
	enum setting_type type;
	const char *default_value; /* NULL: not set */
	int64_t lo;
	int64_t hi;
	const char *choices;
	const char *help;
};

/* A program's command line. */
struct settings_program {
	const char *name;
	const char *usage; /* of the arguments after the flags; may be NULL */
	const char *about; /* text of --help */
	const char *env_prefix; /* "GREENGAGESPUR_" */
	const struct setting_spec *specs;
	size_t spec_count;
	const char *(*get_build)(void); /* for --version; NULL: not shown */
};

struct settings;

/*
 * Reads and checks all settings. Exits the process for --help, --version and
 * unknown flags (status SETTINGS_EXIT_INVALID). first_arg is the index in argv
 * of the first argument after the flags. Returns ERR_INVALID or ERR_MEMORY.
 */
int load_settings(const struct settings_program *program, int argc, char **argv,
    struct settings **out, int *first_arg, struct fault *f);
void unload_settings(struct settings *s);

bool has_setting(const struct settings *s, const char *name);
const char *get_setting(const struct settings *s, const char *name); /* or "" */
int64_t get_setting_number(const struct settings *s, const char *name);
bool get_setting_flag(const struct settings *s, const char *name);

/* Returns the number of items, or ERR_LIMIT if there are more than max. */
int get_setting_list(
    const struct settings *s, const char *name, const char **items, size_t max);

/* Appends one line per setting: name, value, source. */
int render_settings(const struct settings *s, struct buf *out);

/* Checks "IP:port" with IPv4 or [IPv6]; ERR_INVALID. */
int check_address(struct str address);

/* Reads a secret from a file that others cannot read; strips line ends. */
int load_secret(const char *path, struct buf *out, struct fault *f);

#endif
