/*
 * Transfer of bodies to running calls over a link of known speed. Bodies beyond
 * what the link carries in a short time wait at their senders, so that frames
 * of other calls do not queue behind them. Pure.
 */
#ifndef INFLOW_H
#define INFLOW_H

#include "base.h"

struct inflow {
	int64_t rate; /* bytes per second; 0: unlimited */
	int64_t outstanding; /* bytes requested and not received yet */
	int64_t progress_at; /* mono ns; last change of outstanding */
};

/* Changes */
void add_inflow(struct inflow *f, int64_t bytes, int64_t now);
void remove_inflow(struct inflow *f, int64_t bytes, int64_t now);

/* Queries */
bool has_inflow_room(const struct inflow *f, int64_t now);
double get_inflow_wait_ns(
    const struct inflow *f, int64_t bytes); /* for outstanding + bytes */

#endif
