/*
 * Outlier ejection of one endpoint: it leaves the choice after failures and
 * returns by probation. Internal to the package.
 */
#ifndef EJECTION_H
#define EJECTION_H

#include "base.h"

struct ejection {
	int failures; /* in a row */
	double fail_rate; /* recent mean of failures, 0..1 */
	int64_t last_bad; /* time of the last failure */
	int results; /* seen since the last return */
	int times; /* ejections in a row, for the backoff */
	int64_t until; /* end of the ejection, then probation */
	bool
	    on_probation; /* ejected, or one call at a time until it succeeds */
	bool probing; /* that call is in flight */
	int64_t good_since; /* last return */
};

void add_ejection_result(struct ejection *e, bool bad, int64_t now);
void eject(struct ejection *e, int64_t now);
void readmit(struct ejection *e, int64_t now);
void start_probe(struct ejection *e);
void cancel_probe(struct ejection *e);
bool is_ejected(const struct ejection *e, int64_t now);
bool may_select(const struct ejection *e, int64_t now);
bool deserves_ejection(const struct ejection *e);
bool is_worse(const struct ejection *a, const struct ejection *b);

#endif
