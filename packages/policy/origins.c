/*
 * Compares the origin services of each kind with the mean over all kinds. A
 * kind is internal when a service that should have originated a good number of
 * its calls is missing.
 */
#include "origins.h"

#define CHECK_INTERVAL_CALLS 16 /* calls of a kind between two checks */
#define KIND_CALLS_MIN 20.0F /* calls needed to compare a kind */
/* Counts are halved at this total, so that they follow a route that moves. */
#define TOTAL_MAX 2048.0F
/*
 * A service is missing when at least this many calls of the kind were expected
 * from it and fewer than this share of them came, which happens by chance less
 * than once in 20,000 cases.
 */
#define EXPECTED_MIN 10.0F
#define MISSING_SHARE 0.05F

static int find_or_add_service(struct origins *o, struct str service);
static bool still_lacks_calls(const struct origin_counts *k);
static bool find_missing_service(
    const struct origins *o, const struct origin_counts *k, size_t *missing);
static float get_mean_share(const struct origins *o, size_t service);

/*
 * Counts a call of a kind that began beside a service, and checks every
 * CHECK_INTERVAL_CALLS whether the kind is internal. Calls from services beyond
 * ORIGINS_MAX are not counted.
 */
void
count_origin(struct origins *o, struct origin_counts *k, struct str service)
{
	int i = find_or_add_service(o, service);

	if (i < 0)
		return;
	if (!k->listed) {
		k->next = o->kinds;
		o->kinds = k;
		k->listed = true;
	}
	if (k->total >= TOTAL_MAX) {
		for (size_t n = 0; n < ORIGINS_MAX; n++)
			k->counts[n] /= 2;
		k->total /= 2;
	}
	k->counts[i]++;
	k->total++;
	if (++k->calls_since_check < CHECK_INTERVAL_CALLS)
		return;
	k->calls_since_check = 0;
	k->internal = (k->internal && still_lacks_calls(k)) ||
		      find_missing_service(o, k, &k->missing_service);
}

bool
is_internal_kind(const struct origin_counts *k)
{
	return k->internal;
}

/*
 * Returns the index of a service and adds it if it is new, or ERR_NOT_FOUND
 * when there is no room.
 */
static int
find_or_add_service(struct origins *o, struct str service)
{
	for (size_t i = 0; i < o->service_count; i++) {
		if (is_str_equal(make_str(o->services[i]), service))
			return (int)i;
	}
	if (o->service_count == ORIGINS_MAX ||
	    copy_str(
		o->services[o->service_count], TABLE_NAME_BYTES, service) != 0)
		return ERR_NOT_FOUND;
	return (int)o->service_count++;
}

/*
 * Says whether the missing service still sends no calls. An internal kind stays
 * internal until it does, even if the service has become too rare to be
 * detected as missing.
 */
static bool
still_lacks_calls(const struct origin_counts *k)
{
	return k->counts[k->missing_service] < MISSING_SHARE * EXPECTED_MIN;
}

/*
 * Finds a service that should have originated calls of the kind and did not;
 * false when there is none.
 */
static bool
find_missing_service(
    const struct origins *o, const struct origin_counts *k, size_t *missing)
{
	if (k->total < KIND_CALLS_MIN)
		return false;
	for (size_t i = 0; i < o->service_count; i++) {
		float expected = k->total * get_mean_share(o, i);

		if (expected >= EXPECTED_MIN &&
		    k->counts[i] < MISSING_SHARE * expected) {
			*missing = i;
			return true;
		}
	}
	return false;
}

/*
 * Returns the mean share of a service over all kinds with enough calls. All
 * kinds have the same weight, so that a frequent internal kind does not
 * dominate the mean.
 */
static float
get_mean_share(const struct origins *o, size_t service)
{
	float sum = 0, kinds = 0;

	for (const struct origin_counts *k = o->kinds; k != NULL; k = k->next) {
		if (k->total < KIND_CALLS_MIN)
			continue;
		sum += k->counts[service] / k->total;
		kinds++;
	}
	return kinds > 0 ? sum / kinds : 0;
}
