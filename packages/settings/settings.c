/*
 * Loads settings. A flag overrides the environment variable, which overrides
 * the default.
 */
#include <argp.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "validate.h"

#define ENV_NAME_BYTES 96
#define FLAG_KEY_BASE 256 /* above the characters of short options */
#define SECRET_MAX_BYTES 65536 /* longest secret file */

/* The value of one setting. */
struct setting_value {
	char *text;
	char *items; /* of a list: text with NULs instead of commas */
	int64_t number; /* ms, bytes, 0 or 1, or the integer */
	enum setting_source source;
	bool set;
};

struct settings {
	const struct settings_program *program;
	struct setting_value values[SETTINGS_MAX];
};

/* State of argp_parse(). */
struct parse_state {
	const struct settings_program *program;
	const char *values[SETTINGS_MAX]; /* of flags; NULL: not given */
	int first_arg; /* index in argv */
};

/* For --version, whose hook gets no input. */
static const struct settings_program *parsed;

static error_t read_flag(int key, char *arg, struct argp_state *state);
static void print_version(FILE *stream, struct argp_state *state);
static int parse_flags(const struct settings_program *p, int argc, char **argv,
    struct parse_state *out);
static int set_value(
    struct settings *s, size_t i, const char *flag, struct fault *f);
static void make_env_name(
    const struct settings_program *p, size_t i, char *out, size_t size);
static const struct setting_value *find_value(
    const struct settings *s, const char *name);

int
load_settings(const struct settings_program *program, int argc, char **argv,
    struct settings **out, int *first_arg, struct fault *f)
{
	struct parse_state parse_state = {
	    .program = program, .first_arg = argc};
	struct settings *s = calloc(1, sizeof(*s));
	int rc;

	if (s == NULL || program->spec_count > SETTINGS_MAX) {
		free(s);
		return set_fault(f, ERR_MEMORY, "out of memory for settings");
	}
	s->program = program;
	rc = parse_flags(program, argc, argv, &parse_state);
	if (rc != 0)
		rc = set_fault(f, ERR_INVALID,
		    "invalid command line; "
		    "see --help");
	for (size_t i = 0; i < program->spec_count && rc == 0; i++)
		rc = set_value(s, i, parse_state.values[i], f);
	if (rc != 0) {
		unload_settings(s);
		return rc;
	}
	*first_arg = parse_state.first_arg;
	*out = s;
	return 0;
}

void
unload_settings(struct settings *s)
{
	if (s == NULL)
		return;
	for (size_t i = 0; i < SETTINGS_MAX; i++) {
		free(s->values[i].text);
		free(s->values[i].items);
	}
	free(s);
}

bool
has_setting(const struct settings *s, const char *name)
{
	const struct setting_value *v = find_value(s, name);

	return v != NULL && v->set;
}

const char *
get_setting(const struct settings *s, const char *name)
{
	const struct setting_value *v = find_value(s, name);

	return v != NULL && v->set ? v->text : "";
}

/*
 * Returns a number, a duration in ms or a size in bytes; 0 when not set.
 */
int64_t
get_setting_number(const struct settings *s, const char *name)
{
	const struct setting_value *v = find_value(s, name);

	return v != NULL && v->set ? v->number : 0;
}

bool
get_setting_flag(const struct settings *s, const char *name)
{
	return get_setting_number(s, name) == 1;
}

/*
 * The items belong to s.
 */
int
get_setting_list(
    const struct settings *s, const char *name, const char **items, size_t max)
{
	const struct setting_value *v = find_value(s, name);
	const char *end;
	size_t n = 0;

	if (v == NULL || v->items == NULL)
		return 0;
	end = v->items + strlen(v->text);
	for (const char *t = v->items; t < end; t += strlen(t) + 1) {
		if (*t == '\0')
			continue;
		if (n == max)
			return ERR_LIMIT;
		items[n++] = t;
	}
	return (int)n;
}

int
render_settings(const struct settings *s, struct buf *out)
{
	const struct settings_program *p = s->program;
	char env[ENV_NAME_BYTES];
	int rc = 0;

	for (size_t i = 0; i < p->spec_count && rc == 0; i++) {
		const struct setting_value *v = &s->values[i];

		make_env_name(p, i, env, sizeof(env));
		rc = append_buf_fmt(out, "%-22s %-28s %s%s\n", p->specs[i].name,
		    v->set ? v->text : "(not set)",
		    v->source == SETTING_FROM_FLAG	  ? "flag" :
		    v->source == SETTING_FROM_ENVIRONMENT ? "variable " :
							    "default",
		    v->source == SETTING_FROM_ENVIRONMENT ? env : "");
	}
	return rc;
}

/*
 * Reads a secret and strips trailing line ends. Returns ERR_IO if the file
 * cannot be opened, ERR_DENIED if group or others have any permission on it,
 * ERR_LIMIT if it is longer than SECRET_MAX_BYTES, or ERR_MEMORY. The caller
 * frees out.
 */
int
load_secret(const char *path, struct buf *out, struct fault *f)
{
	char block[4096];
	struct stat st;
	ssize_t n;
	int fd = open(path, O_RDONLY | O_CLOEXEC), rc = 0;

	if (fd < 0 || fstat(fd, &st) != 0) {
		rc = set_fault(f, ERR_IO,
		    "cannot read '%s' (%s); create it "
		    "with mode 0600",
		    path, strerror(errno));
		goto out;
	}
	if ((st.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
		rc = set_fault(f, ERR_DENIED,
		    "'%s' can be read by others; run chmod 600 on it", path);
		goto out;
	}
	while (rc == 0 && (n = read(fd, block, sizeof(block))) > 0) {
		rc = out->len + (size_t)n > SECRET_MAX_BYTES ?
			 set_fault(f, ERR_LIMIT, "'%s' is longer than %d bytes",
			     path, SECRET_MAX_BYTES) :
			 append_buf(out, block, (size_t)n);
	}
	while (out->len > 0 && strchr("\r\n", out->data[out->len - 1]) != NULL)
		out->data[--out->len] = '\0';
out:
	if (fd >= 0)
		close(fd);
	return rc;
}

/*
 * Callback of argp: stores the value of a flag and stops at the first argument
 * that is not a flag.
 */
static error_t
read_flag(int key, char *arg, struct argp_state *state)
{
	struct parse_state *p = state->input;
	size_t i = (size_t)(key - FLAG_KEY_BASE);

	if (key == ARGP_KEY_ARG) {
		p->first_arg = state->next - 1;
		state->next = state->argc;
		return 0;
	}
	if (key < FLAG_KEY_BASE || i >= p->program->spec_count)
		return ARGP_ERR_UNKNOWN;
	p->values[i] = arg != NULL ? arg : "yes";
	return 0;
}

static void
print_version(FILE *stream, struct argp_state *state)
{
	fprintf(stream, "%s %s", state->name, GGS_VERSION);
	if (parsed != NULL && parsed->get_build != NULL)
		fprintf(stream, " (%s)", parsed->get_build());
	fputc('\n', stream);
}

/*
 * Parses the command line with argp, with one option per setting.
 */
static int
parse_flags(const struct settings_program *p, int argc, char **argv,
    struct parse_state *out)
{
	struct argp_option options[SETTINGS_MAX + 1] = {0};
	struct argp argp = {
	    options, read_flag, p->usage, p->about, NULL, NULL, NULL};

	parsed = p;
	argp_program_version_hook = print_version;
	argp_err_exit_status = SETTINGS_EXIT_INVALID;
	for (size_t i = 0; i < p->spec_count; i++) {
		options[i].name = p->specs[i].name;
		options[i].key = FLAG_KEY_BASE + (int)i;
		options[i].arg =
		    p->specs[i].type == SETTING_FLAG ? NULL : "VALUE";
		options[i].doc = p->specs[i].help;
	}
	return argp_parse(&argp, argc, argv, 0, NULL, out);
}

/*
 * Sets setting i from its flag, environment variable or default, and checks the
 * value. The error message for a bad variable names the variable.
 */
static int
set_value(struct settings *s, size_t i, const char *flag, struct fault *f)
{
	const struct setting_spec *spec = &s->program->specs[i];
	struct setting_value *v = &s->values[i];
	char env[ENV_NAME_BYTES], detail[FAULT_TEXT_BYTES];
	const char *text = flag;
	int rc;

	make_env_name(s->program, i, env, sizeof(env));
	v->source = SETTING_FROM_FLAG;
	if (text == NULL) {
		v->source = SETTING_FROM_ENVIRONMENT;
		text = getenv(env);
	}
	if (text == NULL) {
		v->source = SETTING_FROM_DEFAULT;
		text = spec->default_value;
	}
	if (text == NULL)
		return 0;
	rc = check_setting(spec, text, &v->number, f);
	if (rc != 0) {
		if (v->source == SETTING_FROM_ENVIRONMENT && f != NULL) {
			snprintf(detail, sizeof(detail), "%s", f->text);
			set_fault(f, rc, "%s: %.200s", env, detail);
		}
		return rc;
	}
	v->text = strdup(text);
	v->items = spec->type == SETTING_LIST ? strdup(text) : NULL;
	if (v->text == NULL || (spec->type == SETTING_LIST && v->items == NULL))
		return set_fault(f, ERR_MEMORY, "out of memory for settings");
	for (char *c = v->items; c != NULL && *c != '\0'; c++)
		*c = *c == ',' ? '\0' : *c;
	v->set = true;
	return 0;
}

/*
 * Builds the variable's name: the prefix and the setting's name in upper case
 * with _ for -.
 */
static void
make_env_name(
    const struct settings_program *p, size_t i, char *out, size_t size)
{
	snprintf(out, size, "%s%s", p->env_prefix, p->specs[i].name);
	for (char *c = out; *c != '\0'; c++)
		*c = *c == '-' ? '_' : (char)toupper((unsigned char)*c);
}

static const struct setting_value *
find_value(const struct settings *s, const char *name)
{
	for (size_t i = 0; i < s->program->spec_count; i++) {
		if (strcmp(s->program->specs[i].name, name) == 0)
			return &s->values[i];
	}
	return NULL;
}
