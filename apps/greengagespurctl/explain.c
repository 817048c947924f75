/*
 * Explains the outcome of one call from log files or standard input.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "explain.h"

static int add_lines(struct explanation *e, FILE *in, const char *name);
static int print_explanation(struct ctl *c, struct explanation *e);

/*
 * args: the id of the call, then log files; "-" or none: standard input.
 */
int
run_explain(struct ctl *c, char **args, int count)
{
	struct explanation *e = NULL;
	int status = CTL_OK;

	if (open_explanation(make_str(args[0]), &e) != 0) {
		fprintf(stderr, "explain: the id of the call is empty\n");
		return CTL_USAGE;
	}
	if (count == 1)
		status = add_lines(e, stdin, "standard input");
	for (int i = 1; i < count && status == CTL_OK; i++) {
		bool is_stdin = strcmp(args[i], "-") == 0;
		FILE *in = is_stdin ? stdin : fopen(args[i], "r");

		if (in == NULL) {
			perror(args[i]);
			status = CTL_USAGE;
			break;
		}
		status = add_lines(e, in, args[i]);
		if (!is_stdin)
			fclose(in);
	}
	if (status == CTL_OK)
		status = print_explanation(c, e);
	close_explanation(e);
	return status;
}

/*
 * Adds all lines of in. Prints errors and returns an exit status.
 */
static int
add_lines(struct explanation *e, FILE *in, const char *name)
{
	char *line = NULL;
	size_t size = 0;
	ssize_t n;
	int rc = 0;

	while (rc == 0 && (n = getline(&line, &size, in)) > 0)
		rc = add_explanation_line(e, make_str_n(line, (size_t)n));
	free(line);
	if (rc == 0 && !ferror(in))
		return CTL_OK;
	fprintf(stderr, "%s: %s\n", name,
	    rc != 0 ? get_err_name(rc) : "read error");
	return CTL_FAILED;
}

/*
 * Prints the explanation, or why there is none; returns an exit status.
 */
static int
print_explanation(struct ctl *c, struct explanation *e)
{
	struct explain_skipped skipped = get_explanation_skipped(e);
	struct buf out = {0};
	int rc = render_explanation(e, c->json, &out);

	if (rc == ERR_NOT_FOUND)
		fprintf(stderr,
		    "explain: no line has this call (skipped %llu damaged "
		    "lines and %llu of other programs); add the logs of its "
		    "entry node\n",
		    (unsigned long long)skipped.damaged,
		    (unsigned long long)skipped.foreign);
	else if (rc != 0)
		fprintf(stderr, "explain: %s\n", get_err_name(rc));
	else
		(void)fwrite(out.data, 1, out.len, stdout);
	unload_buf(&out);
	return rc == 0 ? CTL_OK : CTL_FAILED;
}
