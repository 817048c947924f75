/*
 * Ring of the times of recent versions.
 */
#include "lag.h"

/*
 * Records that a version came into force. Versions that are not above the
 * newest one are ignored.
 */
void
record_version_time(struct version_times *t, uint64_t version, int64_t now)
{
	size_t newest = (t->next + LAG_VERSIONS_MAX - 1) % LAG_VERSIONS_MAX;

	if (t->count > 0 && version <= t->list[newest].version)
		return;
	t->list[t->next] = (struct version_time){version, now};
	t->next = (t->next + 1) % LAG_VERSIONS_MAX;
	if (t->count < LAG_VERSIONS_MAX)
		t->count++;
}

/*
 * Returns how long a table of version held has been outdated, in ns; 0 if the
 * version came into force after now was read, on another thread. When the
 * version after it is forgotten, the time since the oldest known one is
 * returned, which is too short.
 */
int64_t
get_version_lag(const struct version_times *t, uint64_t held, int64_t now)
{
	size_t newest = (t->next + LAG_VERSIONS_MAX - 1) % LAG_VERSIONS_MAX;
	size_t oldest =
	    (t->next + LAG_VERSIONS_MAX - t->count) % LAG_VERSIONS_MAX;

	if (t->count == 0 || t->list[newest].version <= held)
		return 0; /* the usual case, without a search */
	for (size_t i = 0; i < t->count; i++) {
		const struct version_time *v =
		    &t->list[(oldest + i) % LAG_VERSIONS_MAX];

		if (v->version > held)
			return now > v->at ? now - v->at : 0;
	}
	return 0;
}
