/*
 * Tests of the difference between two versions, and the order of phases.
 */
#include <math.h>

#include "rollout.h"

#define BUCKETS_PER_DOUBLING 2.0
#define SLOT_FIRST_MS 1.0 /* upper end of the first bucket */
/*
 * Share of the permitted exposure that the trial uses. The rest is for the time
 * in which all calls have moved and the version may still turn out bad.
 */
#define TRIAL_USE 0.5
#define WARMUP_USE 0.2 /* while servers that have just started are slow */
#define CREDIT_MAX 2.0 /* no burst after a time without new servers */
/*
 * Calls move when this share of the time is left, within the two bounds: the
 * longest calls at the old version need that to end.
 */
#define SETTLE_SHARE 0.3
#define SETTLE_MIN_NS (2500 * NSEC_PER_MSEC)
#define SETTLE_MAX_NS (5 * NSEC_PER_SEC)
#define GIVE_UP_NS (1500 * NSEC_PER_MSEC) /* before the deadline */
#define ANSWERS_MIN 20 /* of the new version, before all calls move */
/* All calls at the new version for this long show what it does under load. */
#define MOVED_MIN_NS (1 * NSEC_PER_SEC)
#define MOVED_MAX_NS (2500 * NSEC_PER_MSEC) /* wait for the old version */
#define LAST_MOMENT_NS (400 * NSEC_PER_MSEC) /* for the commit of the end */
/* Failures: least number, least difference of the shares, least deviation. */
#define FAILED_MIN 8
#define FAILED_SHARE_MIN 0.08
#define DEVIATION_MIN 4.0
#define COMPARED_MIN 20 /* answers of a version that are compared */
/*
 * Latency: a part of the answers beyond twice what nine of ten answers of the
 * old version take, or a median that is twice as high.
 */
#define SLOW_ANSWERS_MIN 40
#define SLOW_SHARE_MIN 0.15
#define MEDIAN_BUCKETS 2
#define MEDIAN_BUCKETS_MOVED 4 /* under the load of all calls */
#define DISTANCE_MIN 0.4 /* of the two distributions */

static const char *find_fault(const struct rollout_facts *f);
static const char *compare(const struct rollout_counts *before,
    const struct rollout_counts *after, bool moved);
static bool is_failing(
    const struct rollout_counts *before, const struct rollout_counts *after);
static bool is_slower(const struct rollout_counts *before,
    const struct rollout_counts *after, bool moved);
static double get_deviation(double p, double n, double q, double m);
static uint64_t count_latencies(const struct rollout_counts *c);
static int get_quantile(
    const struct rollout_counts *c, uint64_t total, double share);
static double get_share_above(
    const struct rollout_counts *c, uint64_t total, int bucket);
static void add_counts(
    struct rollout_counts *sum, const struct rollout_counts *c);
static int64_t get_settle_ns(const struct rollout_facts *f);

/*
 * A fault ends a roll-out at any time. A trial without evidence until shortly
 * before the deadline ends, too: it cannot be told from a bad version.
 */
enum rollout_phase
decide_rollout(const struct rollout_facts *f, const char **reason)
{
	int64_t left = f->duration_ns - f->elapsed_ns;
	uint64_t answers = 0;

	*reason = "";
	if (f->phase != ROLLOUT_TRIAL && f->phase != ROLLOUT_MOVED)
		return f->phase;
	*reason = find_fault(f);
	if (*reason != NULL)
		return ROLLOUT_ROLLED_BACK;
	*reason = "";
	if (f->phase == ROLLOUT_MOVED) {
		bool idle = f->old_told && f->old_running == 0;
		bool late = left < LAST_MOMENT_NS || f->moved_ns > MOVED_MAX_NS;

		if (f->moved_ns < MOVED_MIN_NS || (!idle && !late))
			return ROLLOUT_MOVED;
		*reason = idle ? "nothing runs at the old version" :
				 "the old version had time to end its calls";
		return ROLLOUT_COMPLETED;
	}
	for (size_t i = 0; i < f->row_count; i++)
		answers += f->rows[i].new_all.answers;
	if (left > get_settle_ns(f))
		return ROLLOUT_TRIAL;
	if (answers >= ANSWERS_MIN) {
		*reason = "no fault was seen during the trial";
		return ROLLOUT_MOVED;
	}
	if (left > GIVE_UP_NS)
		return ROLLOUT_TRIAL;
	*reason = "too few answers of the new version to judge it";
	return ROLLOUT_ROLLED_BACK;
}

double
get_trial_share(double share_max, int64_t since_ns, int64_t warmup_ns)
{
	return share_max * (since_ns < warmup_ns ? WARMUP_USE : TRIAL_USE);
}

double
add_trial_call(double credit, double share)
{
	credit += share;
	return credit > CREDIT_MAX ? CREDIT_MAX : credit;
}

enum rollout_side
choose_rollout_side(enum rollout_phase phase, double credit, bool in_touch)
{
	switch (phase) {
	case ROLLOUT_TRIAL:
		return in_touch && credit >= 1 ? ROLLOUT_NEW : ROLLOUT_OLD;
	case ROLLOUT_MOVED:
		return ROLLOUT_NEW;
	case ROLLOUT_COMPLETED:
		return ROLLOUT_PREFER_NEW;
	case ROLLOUT_ROLLED_BACK:
		return ROLLOUT_OLD;
	}
	return ROLLOUT_OLD;
}

int
get_rollout_bucket(int64_t latency_ns)
{
	double ms = (double)latency_ns / NSEC_PER_MSEC;
	int i;

	if (ms <= SLOT_FIRST_MS)
		return 0;
	i = (int)ceil(BUCKETS_PER_DOUBLING * log2(ms / SLOT_FIRST_MS));
	return i < ROLLOUT_BUCKETS ? i : ROLLOUT_BUCKETS - 1;
}

const char *
get_rollout_phase_name(enum rollout_phase p)
{
	switch (p) {
	case ROLLOUT_TRIAL:
	case ROLLOUT_MOVED:
		return "running";
	case ROLLOUT_COMPLETED:
		return "completed";
	case ROLLOUT_ROLLED_BACK:
		return "rolled_back";
	}
	return "unknown";
}

/*
 * Compares the versions over all rows together and over each row, in the recent
 * past and since the order. Once all calls have moved, the old version has no
 * recent answers and its earlier ones stand in.
 */
static const char *
find_fault(const struct rollout_facts *f)
{
	struct rollout_row sum = {0};
	const char *fault = NULL;

	for (size_t i = 0; i <= f->row_count && fault == NULL; i++) {
		const struct rollout_row *r =
		    i < f->row_count ? &f->rows[i] : &sum;
		const struct rollout_counts *recent =
		    r->old_recent.answers >= COMPARED_MIN ? &r->old_recent :
							    &r->old_all;
		bool moved = f->phase == ROLLOUT_MOVED;

		fault = compare(recent, &r->new_recent, moved);
		if (fault == NULL)
			fault = compare(&r->old_all, &r->new_all, moved);
		if (i == f->row_count)
			break;
		add_counts(&sum.old_all, &r->old_all);
		add_counts(&sum.new_all, &r->new_all);
		add_counts(&sum.old_recent, &r->old_recent);
		add_counts(&sum.new_recent, &r->new_recent);
	}
	return fault;
}

static const char *
compare(const struct rollout_counts *before, const struct rollout_counts *after,
    bool moved)
{
	if (is_failing(before, after))
		return "the new version fails more calls than the old one";
	if (is_slower(before, after, moved))
		return "the new version is slower than the old one";
	return NULL;
}

/*
 * A version that the old one cannot be compared with is held against one
 * without failures, and needs twice the share.
 */
static bool
is_failing(
    const struct rollout_counts *before, const struct rollout_counts *after)
{
	bool known = before->answers >= COMPARED_MIN;
	double least = known ? FAILED_SHARE_MIN : 2 * FAILED_SHARE_MIN;
	double n = (double)after->answers;
	double m = known ? (double)before->answers : n;
	double p, q;

	if (after->answers < COMPARED_MIN || after->failed < FAILED_MIN)
		return false;
	p = (double)after->failed / n;
	q = known ? (double)before->failed / m : 0;
	return p - q >= least && get_deviation(p, n, q, m) >= DEVIATION_MIN;
}

static bool
is_slower(const struct rollout_counts *before,
    const struct rollout_counts *after, bool moved)
{
	uint64_t m = count_latencies(before), n = count_latencies(after);
	int shift, median_before, median_after, limit;
	double p, q, distance;

	if (m < SLOW_ANSWERS_MIN || n < SLOW_ANSWERS_MIN)
		return false;
	median_before = get_quantile(before, m, 0.5);
	median_after = get_quantile(after, n, 0.5);
	shift = moved ? MEDIAN_BUCKETS_MOVED : MEDIAN_BUCKETS;
	distance = get_share_above(after, n, median_after - 1) -
		   get_share_above(before, m, median_after - 1);
	if (median_after - median_before >= shift && distance >= DISTANCE_MIN)
		return true;
	limit = get_quantile(before, m, 0.9) + shift;
	p = get_share_above(after, n, limit);
	q = get_share_above(before, m, limit);
	return p - q >= SLOW_SHARE_MIN &&
	       get_deviation(p, (double)n, q, (double)m) >= DEVIATION_MIN;
}

/*
 * Difference of two shares p of n and q of m, in standard deviations that equal
 * shares would have.
 */
static double
get_deviation(double p, double n, double q, double m)
{
	double both = (p * n + q * m) / (n + m);
	double variance = both * (1 - both) * (1 / n + 1 / m);

	if (variance <= 0)
		return p > q ? HUGE_VAL : 0;
	return (p - q) / sqrt(variance);
}

static uint64_t
count_latencies(const struct rollout_counts *c)
{
	uint64_t n = 0;

	for (int i = 0; i < ROLLOUT_BUCKETS; i++)
		n += c->latency[i];
	return n;
}

/*
 * Returns the bucket below whose upper end that share of the answers is.
 */
static int
get_quantile(const struct rollout_counts *c, uint64_t total, double share)
{
	uint64_t n = 0;
	int i;

	for (i = 0; i < ROLLOUT_BUCKETS - 1; i++) {
		n += c->latency[i];
		if ((double)n >= share * (double)total)
			break;
	}
	return i;
}

static double
get_share_above(const struct rollout_counts *c, uint64_t total, int bucket)
{
	uint64_t n = 0;

	for (int i = bucket + 1; i < ROLLOUT_BUCKETS; i++)
		n += i >= 0 ? c->latency[i] : 0;
	return (double)n / (double)total;
}

static void
add_counts(struct rollout_counts *sum, const struct rollout_counts *c)
{
	sum->answers += c->answers;
	sum->failed += c->failed;
	for (int i = 0; i < ROLLOUT_BUCKETS; i++)
		sum->latency[i] += c->latency[i];
}

/*
 * Returns the time before the deadline at which all calls move.
 */
static int64_t
get_settle_ns(const struct rollout_facts *f)
{
	int64_t ns = (int64_t)(SETTLE_SHARE * (double)f->duration_ns);

	if (ns < SETTLE_MIN_NS)
		return SETTLE_MIN_NS;
	return ns > SETTLE_MAX_NS ? SETTLE_MAX_NS : ns;
}
