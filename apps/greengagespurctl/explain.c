/*
 * The account of one call from log files or standard input.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "explain.h"

static int read_lines(struct explanation *e, FILE *in, const char *name);
static int print_explanation(struct ctl *c, struct explanation *e);

/*
 * words: the call's id, then files; "-" or none: standard input.
 */
int
run_explain(struct ctl *c, char **words, int count)
{
	struct explanation *e = NULL;
	int status = CTL_OK;

	if (open_explanation(make_str(words[0]), &e) != 0) {
		fprintf(
		    stderr, "explain: give the id of a call, 1 to 128 bytes\n");
		return CTL_USAGE;
	}
	if (count == 1)
		status = read_lines(e, stdin, "standard input");
	for (int i = 1; i < count && status == CTL_OK; i++) {
		bool own = strcmp(words[i], "-") == 0;
		FILE *in = own ? stdin : fopen(words[i], "r");

		if (in == NULL) {
			perror(words[i]);
			status = CTL_USAGE;
			break;
		}
		status = read_lines(e, in, words[i]);
		if (!own)
			fclose(in);
	}
	if (status == CTL_OK)
		status = print_explanation(c, e);
	close_explanation(e);
	return status;
}

static int
read_lines(struct explanation *e, FILE *in, const char *name)
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
	    rc != 0 ? get_err_name(rc) : "cannot be read to its end");
	return CTL_FAILED;
}

static int
print_explanation(struct ctl *c, struct explanation *e)
{
	struct explain_skipped skipped = get_explanation_skipped(e);
	struct buf out = {0};
	int rc = render_explanation(e, c->json, &out);

	if (rc == ERR_NOT_FOUND)
		fprintf(stderr,
		    "explain: no line names the call (%llu damaged lines and "
		    "%llu of other programs were skipped); give the logs of "
		    "its entry node\n",
		    (unsigned long long)skipped.damaged,
		    (unsigned long long)skipped.foreign);
	else if (rc != 0)
		fprintf(stderr, "explain: %s\n", get_err_name(rc));
	else
		(void)fwrite(out.data, 1, out.len, stdout);
	unload_buf(&out);
	return rc == 0 ? CTL_OK : CTL_FAILED;
}
