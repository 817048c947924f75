/*
 * Outlier ejection of one endpoint: after failures it is not picked for a
 * while, then returns by probation. Internal to the package.
 */
#ifndef EJECTION_H
#define EJECTION_H

#include "base.h"

struct ejection {
	int consecutive_failures;
	double fail_rate; /* recent mean of failures, 0..1 */
	int64_t last_failure_at; /* mono ns */
	int result_count; /* since the last return */
	int ejection_count; /* in a row, for the backoff */
	int64_t ejected_until; /* mono ns; probation begins */
	/* Ejected, or limited to one call at a time until one succeeds. */
	bool on_probation;
	bool probe_in_flight; /* the call of the probation is in flight */
	int64_t readmitted_at; /* mono ns; last return */
};

void add_ejection_result(struct ejection *e, bool failed, int64_t now);
void eject(struct ejection *e, int64_t now);
void readmit(struct ejection *e, int64_t now);
void start_probe(struct ejection *e);
void cancel_probe(struct ejection *e);
bool is_ejected(const struct ejection *e, int64_t now);
bool may_select(const struct ejection *e, int64_t now);
bool is_outlier(const struct ejection *e);
bool is_worse(const struct ejection *a, const struct ejection *b);

#endif
