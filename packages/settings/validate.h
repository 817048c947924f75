/*
 * Checks of setting values.
 */
#ifndef VALIDATE_H
#define VALIDATE_H

#include "settings.h"

/* Checks text; number is set for the numeric types (ms, bytes, 0 or 1). */
int check_setting(const struct setting_spec *spec, const char *text,
    int64_t *number, struct fault *f);

#endif
