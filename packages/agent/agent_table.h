/*
 * Checks of a table update against the table held. Pure. Internal to the
 * package.
 */
#ifndef AGENT_TABLE_H
#define AGENT_TABLE_H

#include "table.h"
#include "wire.h"

/*
 * Makes the table that the update leads to; held may be NULL. out stays NULL
 * when there is nothing to switch to.
 */
int check_table_update(const struct table *held,
    const struct wire_table_update *u, struct table **out, struct fault *f);

#endif
