/*
 * When recent table versions came into force at this process, and how long a
 * node's table has been outdated. Pure: the time is passed in.
 */
#ifndef LAG_H
#define LAG_H

#include "base.h"

#define LAG_VERSIONS_MAX 256 /* recent versions; older ones are forgotten */

struct version_times {
	struct version_time {
		uint64_t version;
		int64_t at; /* mono ns */
	} list[LAG_VERSIONS_MAX]; /* ring, ascending from next */
	size_t count;
	size_t next; /* index in list of the next version */
};

void record_version_time(
    struct version_times *t, uint64_t version, int64_t now);
/* Time since the first version above held, ns; 0: none is known. */
int64_t get_version_lag(
    const struct version_times *t, uint64_t held, int64_t now);

#endif
