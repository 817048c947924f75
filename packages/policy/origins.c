/*
 * Each kind's shares of services are compared with the mean of all kinds'
 * shares. A kind that lacks a service which should have sent a good number of
 * its calls is an inner one.
 */
#include "origins.h"

#define LOOK_CALLS 16 /* calls between two looks at a kind */
#define KIND_CALLS_MIN 20.0F /* calls that a kind needs to be compared */
/* Counts are halved at this total, so that moved routes are learnt anew. */
#define TOTAL_MAX 2048.0F
/*
 * A service is missing when it was expected to send at least this many calls
 * and sent less than this share of them: by chance less than once in 20,000.
 */
#define EXPECTED_MIN 10.0F
#define MISSING_SHARE 0.05F

static int find_service(struct origins *o, struct str service);
static bool still_lacks_service(const struct origin_counts *k);
static bool lacks_service(
    const struct origins *o, const struct origin_counts *k, size_t *missing);
static float get_mean_share(const struct origins *o, size_t service);

void
count_origin(struct origins *o, struct origin_counts *k, struct str service)
{
	int i = find_service(o, service);

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
	if (++k->unseen < LOOK_CALLS)
		return;
	k->unseen = 0;
	k->inner = (k->inner && still_lacks_service(k)) ||
		   lacks_service(o, k, &k->missing);
}

bool
is_inner_kind(const struct origin_counts *k)
{
	return k->inner;
}

/*
 * Returns the index of a service, which is added when it is new, or
 * ERR_NOT_FOUND when there is no room.
 */
static int
find_service(struct origins *o, struct str service)
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
 * An inner kind stays one until the missing service calls, also when that has
 * become too rare to be missed.
 */
static bool
still_lacks_service(const struct origin_counts *k)
{
	return k->counts[k->missing] < MISSING_SHARE * EXPECTED_MIN;
}

static bool
lacks_service(
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
 * Kinds count alike, so that a frequent inner kind does not hide the others.
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
