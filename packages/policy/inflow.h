/*
 * Bodies on their way to calls that have a slot, over a link of known speed.
 * Bodies beyond what the link carries in a short time wait at their senders, so
 * that frames of other calls do not wait behind them. Pure.
 */
#ifndef INFLOW_H
#define INFLOW_H

#include "base.h"

struct inflow {
	int64_t rate; /* bytes a second; 0: no bound */
	int64_t due; /* bytes that were asked for and have not come */
	int64_t moved_at; /* mono ns; last time at which due changed */
};

/* Changes */
void add_inflow(struct inflow *f, int64_t bytes, int64_t now);
void take_inflow(struct inflow *f, int64_t bytes, int64_t now);

/* Queries */
bool has_inflow_room(const struct inflow *f, int64_t now);
double get_inflow_ns(const struct inflow *f, int64_t bytes); /* behind due */

#endif
