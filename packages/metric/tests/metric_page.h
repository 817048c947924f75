/*
 * Compares the metrics that a process serves with the table in
 * docs/OPERATIONS.md: | `name` | counter, gauge or histogram | ... |
 */
#ifndef METRIC_PAGE_H
#define METRIC_PAGE_H

#include <check.h>
#include <stdio.h>
#include <string.h>

#include "base.h"

#define METRIC_PAGE "docs/OPERATIONS.md"
#define METRIC_PAGE_ROWS 256

struct metric_page {
	char names[METRIC_PAGE_ROWS][64];
	char kinds[METRIC_PAGE_ROWS][16];
	int count;
};

/*
 * Reads name and kind of each row in the page's table.
 */
static inline void
load_metric_page(struct metric_page *p)
{
	FILE *in = fopen(METRIC_PAGE, "r");
	char line[512];

	p->count = 0;
	ck_assert_msg(in != NULL, "%s", METRIC_PAGE);
	while (fgets(line, sizeof(line), in) != NULL &&
	       p->count < METRIC_PAGE_ROWS) {
		if (sscanf(line, "| `%63[a-z_]` | %15[a-z] |",
			p->names[p->count], p->kinds[p->count]) == 2)
			p->count++;
	}
	fclose(in);
}

/*
 * Returns the index of the row, or -1.
 */
static inline int
find_metric_row(const struct metric_page *p, const char *name)
{
	for (int i = 0; i < p->count; i++) {
		if (strcmp(p->names[i], name) == 0)
			return i;
	}
	return -1;
}

/*
 * Checks that the page lists every metric family in text with its kind, and
 * that text contains every row whose name begins with one of the prefixes, a
 * list that ends in NULL.
 */
static inline void
check_metric_page(const char *text, const char *const *prefixes)
{
	struct metric_page p;
	char name[64], kind[16], type[96];

	load_metric_page(&p);
	for (const char *at = strstr(text, "# TYPE "); at != NULL;
	     at = strstr(at + 1, "# TYPE ")) {
		int row;

		ck_assert_int_eq(sscanf(at, "# TYPE %63s %15s", name, kind), 2);
		row = find_metric_row(&p, name);
		ck_assert_msg(row >= 0, "%s is not in %s", name, METRIC_PAGE);
		ck_assert_msg(strcmp(p.kinds[row], kind) == 0,
		    "%s is a %s, not a %s", name, kind, p.kinds[row]);
	}
	for (int i = 0; i < p.count; i++) {
		for (int k = 0; prefixes[k] != NULL; k++) {
			if (strncmp(p.names[i], prefixes[k],
				strlen(prefixes[k])) != 0)
				continue;
			snprintf(type, sizeof(type), "# TYPE %s %s\n",
			    p.names[i], p.kinds[i]);
			ck_assert_msg(strstr(text, type) != NULL,
			    "%s is not served", p.names[i]);
		}
	}
}

#endif
