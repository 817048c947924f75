/*
 * The memory budget of buffered request bodies. A reservation covers the
 * complete body before its first byte is read, so that every upload that has
 * begun can finish.
 */
#ifndef BUDGET_H
#define BUDGET_H

#include "base.h"

#define BUDGET_SMALL_BYTES (64 * 1024) /* largest that may use the reserve */
#define BUDGET_RESERVE_DIVISOR 8 /* 1/8 is reserved for small bodies */

struct budget;

int open_budget(int64_t bytes, struct budget **out);
void close_budget(struct budget *b);
bool reserve_budget(struct budget *b, int64_t bytes); /* false: no room */
void release_budget(struct budget *b, int64_t bytes);
int64_t get_budget_used(struct budget *b); /* bytes */
int64_t get_budget_size(const struct budget *b); /* bytes */

#endif
