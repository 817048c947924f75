/*
 * The ways to share slots between the rows of one backend server, as tables of
 * function pointers. Internal to the package.
 */
#ifndef SHARING_H
#define SHARING_H

#include "lane.h"

/* What a policy may look at. */
struct sharing_view {
	struct lane *lanes;
	size_t lane_count;
	int limit; /* slots in use at most */
	int in_flight; /* below limit when a lane is chosen */
	size_t waiting; /* over all lanes */
	double vtime; /* of the lane served last; weighted fair */
};

struct sharing_policy {
	const char *name;
	bool bounded; /* queue_max, limit_pct and the adaptive limit apply */
	bool by_deadline; /* order within a row; else by arrival */
	bool sheds; /* refuses calls that cannot meet their deadline */
	/* The lane to start a waiting call of, or -1 to leave slots free. */
	int (*choose_lane)(const struct sharing_view *v);
	/* Accounts for a started call. */
	void (*charge_lane)(struct sharing_view *v, struct lane *l);
};

const struct sharing_policy *get_sharing_policy(enum admission_policy_id id);
/* Whether others wait and the row is at its limit_pct. */
bool is_lane_capped(const struct sharing_view *v, const struct lane *l);

#endif
