/*
 * Checks a table update against the current table. No side effects. Internal to
 * the package.
 */
#ifndef AGENT_TABLE_H
#define AGENT_TABLE_H

#include "table.h"
#include "wire.h"

/*
 * Builds the table that the update leads to; current may be NULL. *out is NULL
 * when there is nothing to switch to.
 */
int check_table_update(const struct table *current,
    const struct wire_table_update *u, struct table **out, struct fault *f);

#endif
