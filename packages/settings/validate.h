/*
 * Checks of setting values. Internal to the package.
 */
#ifndef VALIDATE_H
#define VALIDATE_H

#include "settings.h"

/*
 * Checks text against the type and limits of spec. Sets number to the integer,
 * ms, bytes or 0/1 for numeric types, else to 0. Returns ERR_INVALID.
 */
int check_setting(const struct setting_spec *spec, const char *text,
    int64_t *number, struct fault *f);

#endif
