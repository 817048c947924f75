/*
 * Error numbers with their names, and error messages.
 */
#include <stdio.h>

#include "base.h"

/* Indexed by the negated error number. */
static const char *const err_names[] = {"none", "invalid", "not-found",
    "conflict", "unavailable", "timeout", "limit", "corrupt", "io", "denied",
    "memory", "stale", "closed", "unknown"};

/*
 * Fills f with kind and a formatted message, which should name the remedy. f
 * may be NULL. Returns kind, so that callers can return the result.
 */
int
set_fault(struct fault *f, enum err kind, const char *fmt, ...)
{
	va_list ap;

	if (f == NULL)
		return kind;
	f->kind = kind;
	va_start(ap, fmt);
	vsnprintf(f->text, sizeof(f->text), fmt, ap);
	va_end(ap);
	return kind;
}

/*
 * Returns the name of an error number, "unknown" for a number out of range.
 */
const char *
get_err_name(int kind)
{
	int i = -kind;

	if (i < 0 || i >= (int)(sizeof(err_names) / sizeof(err_names[0])))
		return "unknown";
	return err_names[i];
}
