/*
 * Metric registry with per-thread counter slots: a thread adds to its own slot
 * without locks, a reader sums all slots. A slot outlives its thread, so that
 * no count is lost.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include <ck_pr.h>

#include "metric.h"

#define SUB_BUCKET_BITS 3 /* log2 of the buckets per power of two */
#define SUB_BUCKETS (1u << SUB_BUCKET_BITS)
#define INDEX_ENTRIES 65536u /* power of two, 1.5 times METRIC_MAX */

/* The metrics of one name with different labels, rendered together. */
struct family {
	char name[METRIC_NAME_BYTES];
	char help[METRIC_NAME_BYTES];
	enum metric_kind kind;
	atomic_uint first; /* metric, id plus 1; 0: none; published */
	unsigned int last; /* under registry_lock */
};

struct metric {
	char name[METRIC_NAME_BYTES];
	enum metric_kind kind;
	atomic_uint next; /* in its family, id plus 1; 0: last; published */
	int64_t gauge;
	uint64_t *buckets; /* HISTOGRAM_BUCKETS, shared by all threads */
	uint64_t sum;
};

struct thread_slot {
	uint64_t counts[METRIC_MAX];
};

/*
 * Readers take no lock. What they read is written before a release store to one
 * of the published words (slot_count, family_count, first, next), which they
 * load with acquire order; a count that is only compared orders nothing on a
 * weakly ordered processor.
 */

static pthread_mutex_t registry_lock = PTHREAD_MUTEX_INITIALIZER;
static struct metric metrics[METRIC_MAX];
static unsigned int metric_count;
static struct family families[METRIC_FAMILIES_MAX];
static atomic_uint family_count;
static unsigned int histogram_count;
static unsigned int index_ids[INDEX_ENTRIES]; /* by name: id plus 1; 0: free */
static uint64_t refusals;
static struct thread_slot *slots[GGS_MAX_THREADS];
static atomic_uint slot_count;
static struct thread_slot shared_slot; /* of threads above the limit */
static __thread struct thread_slot *own_slot;
static __thread bool own_slot_shared;

static unsigned int load_published(const atomic_uint *word);
static void publish(atomic_uint *word, unsigned int value);
static struct thread_slot *get_own_slot(void);
static unsigned int get_bucket_index(uint64_t value);
static uint64_t get_bucket_max(unsigned int bucket);
static uint64_t find_quantile(const uint64_t *counts, uint64_t total, double q);
static unsigned int *find_index_entry(const char *name);
static metric_id add_metric(
    enum metric_kind kind, const char *name, const char *help);
static struct family *find_family(
    enum metric_kind kind, const char *name, const char *help);
static int render_family(struct buf *out, const struct family *f);
static int render_family_header(struct buf *out, const struct family *f);
static int render_histogram(struct buf *out, metric_id id);
static int render_sample(struct buf *out, const struct metric *m,
    const char *suffix, const char *label, uint64_t value);

/*
 * Registers under registry_lock. Readers take no lock: they see a metric only
 * once it is complete.
 */
metric_id
register_metric(enum metric_kind kind, const char *name, const char *help)
{
	unsigned int *at;
	metric_id id;

	pthread_mutex_lock(&registry_lock);
	at = find_index_entry(name);
	if (*at != 0) {
		id = (metric_id)(*at - 1);
	} else {
		id = add_metric(kind, name, help);
		if (id >= 0)
			*at = (unsigned int)id + 1;
		else
			ck_pr_inc_64(&refusals);
	}
	pthread_mutex_unlock(&registry_lock);
	return id;
}

uint64_t
get_metric_refusals(void)
{
	return ck_pr_load_64(&refusals);
}

/*
 * Adds n to the counter in the calling thread's slot.
 */
void
count_metric(metric_id id, uint64_t n)
{
	struct thread_slot *slot;

	if (id < 0)
		return;
	slot = get_own_slot();
	if (own_slot_shared)
		ck_pr_add_64(&slot->counts[id], n);
	else
		ck_pr_store_64(&slot->counts[id], slot->counts[id] + n);
}

void
set_metric(metric_id id, int64_t value)
{
	if (id >= 0)
		ck_pr_store_64((uint64_t *)&metrics[id].gauge, (uint64_t)value);
}

/*
 * Adds value to a histogram. The bucket's upper bound is at most 12.5% above
 * the value.
 */
void
observe_metric(metric_id id, uint64_t value)
{
	if (id < 0 || metrics[id].buckets == NULL)
		return;
	ck_pr_inc_64(&metrics[id].buckets[get_bucket_index(value)]);
	ck_pr_add_64(&metrics[id].sum, value);
}

/*
 * Returns a gauge's value or a counter's sum over all threads.
 */
int64_t
get_metric(metric_id id)
{
	uint64_t sum;
	unsigned int n;

	if (id < 0)
		return 0;
	if (metrics[id].kind == METRIC_GAUGE)
		return (int64_t)ck_pr_load_64((uint64_t *)&metrics[id].gauge);
	sum = ck_pr_load_64(&shared_slot.counts[id]);
	n = load_published(&slot_count);
	for (unsigned int i = 0; i < n; i++)
		sum += ck_pr_load_64(&slots[i]->counts[id]);
	return (int64_t)sum;
}

/*
 * Returns all zeros when the id is negative or no histogram. Quantiles and max
 * are upper bounds of buckets.
 */
struct histogram_summary
get_histogram(metric_id id)
{
	struct histogram_summary s = {0};
	uint64_t counts[HISTOGRAM_BUCKETS];

	if (id < 0 || metrics[id].buckets == NULL)
		return s;
	for (unsigned int i = 0; i < HISTOGRAM_BUCKETS; i++) {
		counts[i] = ck_pr_load_64(&metrics[id].buckets[i]);
		s.count += counts[i];
		if (counts[i] > 0)
			s.max = get_bucket_max(i);
	}
	s.sum = ck_pr_load_64(&metrics[id].sum);
	s.p50 = find_quantile(counts, s.count, 0.5);
	s.p99 = find_quantile(counts, s.count, 0.99);
	s.p999 = find_quantile(counts, s.count, 0.999);
	return s;
}

/*
 * Appends all metrics in the Prometheus text format, histograms as summaries.
 * The format requires the samples of one name to be adjacent. Returns
 * ERR_MEMORY.
 */
int
render_metrics(struct buf *out)
{
	unsigned int n = load_published(&family_count);
	int rc = append_buf_fmt(out,
	    "# HELP ggs_metrics_refused_total Metrics above the limits\n"
	    "# TYPE ggs_metrics_refused_total counter\n"
	    "ggs_metrics_refused_total %llu\n",
	    (unsigned long long)get_metric_refusals());

	for (unsigned int i = 0; i < n && rc == 0; i++)
		rc = render_family(out, &families[i]);
	return rc;
}

/*
 * Returns the index entry of a name, or the free entry for it (linear probing).
 * Call with registry_lock held.
 */
static unsigned int *
find_index_entry(const char *name)
{
	uint64_t at = hash_str(make_str(name), 0);

	for (;; at++) {
		unsigned int *p = &index_ids[at % INDEX_ENTRIES];

		if (*p == 0 || strcmp(metrics[*p - 1].name, name) == 0)
			return p;
	}
}

/*
 * Adds a metric to the end of its family. Returns its id, ERR_LIMIT or
 * ERR_MEMORY. Call with registry_lock held.
 */
static metric_id
add_metric(enum metric_kind kind, const char *name, const char *help)
{
	unsigned int id = metric_count;
	struct metric *m = &metrics[id];
	struct family *f;

	if (id == METRIC_MAX || strlen(name) >= sizeof(m->name) ||
	    (kind == METRIC_HISTOGRAM &&
		histogram_count == METRIC_HISTOGRAMS_MAX))
		return ERR_LIMIT;
	f = find_family(kind, name, help);
	if (f == NULL)
		return ERR_LIMIT;
	if (kind == METRIC_HISTOGRAM) {
		m->buckets = calloc(HISTOGRAM_BUCKETS, sizeof(*m->buckets));
		if (m->buckets == NULL)
			return ERR_MEMORY;
		histogram_count++;
	}
	(void)copy_str(m->name, sizeof(m->name), make_str(name));
	m->kind = kind;
	metric_count++;
	publish(f->last != 0 ? &metrics[f->last - 1].next : &f->first, id + 1);
	f->last = id + 1;
	return (metric_id)id;
}

/*
 * Finds or adds the family of a metric; NULL above METRIC_FAMILIES_MAX. Call
 * with registry_lock held.
 */
static struct family *
find_family(enum metric_kind kind, const char *name, const char *help)
{
	struct str base = make_str_n(name, strcspn(name, "{"));
	unsigned int n = load_published(&family_count);
	struct family *f = families;

	for (unsigned int i = 0; i < n; i++, f++) {
		if (is_str_equal(make_str(f->name), base))
			return f;
	}
	if (n == METRIC_FAMILIES_MAX)
		return NULL;
	(void)copy_str(f->name, sizeof(f->name), base);
	(void)copy_str(f->help, sizeof(f->help), make_str(help));
	f->kind = kind;
	publish(&family_count, n + 1);
	return f;
}

/*
 * Appends the header and all samples of a family.
 */
static int
render_family(struct buf *out, const struct family *f)
{
	unsigned int next = load_published(&f->first);
	int rc = next != 0 ? render_family_header(out, f) : 0;

	while (next != 0 && rc == 0) {
		metric_id id = (metric_id)(next - 1);

		if (metrics[id].kind == METRIC_HISTOGRAM)
			rc = render_histogram(out, id);
		else
			rc = append_buf_fmt(out, "%s %lld\n", metrics[id].name,
			    (long long)get_metric(id));
		next = load_published(&metrics[id].next);
	}
	return rc;
}

static int
render_family_header(struct buf *out, const struct family *f)
{
	return append_buf_fmt(out, "# HELP %s %s\n# TYPE %s %s\n", f->name,
	    f->help, f->name,
	    f->kind == METRIC_COUNTER ? "counter" :
	    f->kind == METRIC_GAUGE   ? "gauge" :
					"summary");
}

/*
 * After it, the caller sees what was written before publish().
 */
static unsigned int
load_published(const atomic_uint *word)
{
	return atomic_load_explicit(word, memory_order_acquire);
}

static void
publish(atomic_uint *word, unsigned int value)
{
	atomic_store_explicit(word, value, memory_order_release);
}

/*
 * Returns the calling thread's slot and allocates it on first use. Threads
 * above GGS_MAX_THREADS, or without memory for a slot, share one and add
 * atomically.
 */
static struct thread_slot *
get_own_slot(void)
{
	unsigned int n;

	if (own_slot != NULL)
		return own_slot;
	pthread_mutex_lock(&registry_lock);
	n = load_published(&slot_count);
	if (n < GGS_MAX_THREADS)
		own_slot = calloc(1, sizeof(*own_slot));
	if (own_slot != NULL) {
		slots[n] = own_slot;
		publish(&slot_count, n + 1);
	} else {
		own_slot = &shared_slot;
		own_slot_shared = true;
	}
	pthread_mutex_unlock(&registry_lock);
	return own_slot;
}

/*
 * Maps a value to its bucket. Values below SUB_BUCKETS have a bucket each;
 * above, every power of two has SUB_BUCKETS buckets of equal width.
 */
static unsigned int
get_bucket_index(uint64_t value)
{
	unsigned int shift;

	if (value < SUB_BUCKETS)
		return (unsigned int)value;
	shift = 63u - (unsigned int)__builtin_clzll(value) - SUB_BUCKET_BITS;
	return (shift + 1) * SUB_BUCKETS +
	       (unsigned int)((value >> shift) & (SUB_BUCKETS - 1));
}

/*
 * Returns the highest value that falls into the bucket.
 */
static uint64_t
get_bucket_max(unsigned int bucket)
{
	unsigned int shift;

	if (bucket < SUB_BUCKETS)
		return bucket;
	shift = bucket / SUB_BUCKETS - 1;
	return ((uint64_t)(SUB_BUCKETS + bucket % SUB_BUCKETS) << shift) +
	       (((uint64_t)1 << shift) - 1);
}

/*
 * Returns the upper bound of the bucket that holds quantile q of total values.
 */
static uint64_t
find_quantile(const uint64_t *counts, uint64_t total, double q)
{
	uint64_t rank = (uint64_t)((double)total * q), cumulative = 0;

	for (unsigned int i = 0; i < HISTOGRAM_BUCKETS; i++) {
		cumulative += counts[i];
		if (cumulative > rank || (cumulative == total && total > 0))
			return get_bucket_max(i);
	}
	return 0;
}

/*
 * Appends quantiles, sum and count of a histogram as a Prometheus summary.
 */
static int
render_histogram(struct buf *out, metric_id id)
{
	struct histogram_summary s = get_histogram(id);
	const struct metric *m = &metrics[id];
	int rc = render_sample(out, m, "", "quantile=\"0.5\"", s.p50);

	if (rc == 0)
		rc = render_sample(out, m, "", "quantile=\"0.99\"", s.p99);
	if (rc == 0)
		rc = render_sample(out, m, "", "quantile=\"0.999\"", s.p999);
	if (rc == 0)
		rc = render_sample(out, m, "_sum", NULL, s.sum);
	if (rc == 0)
		rc = render_sample(out, m, "_count", NULL, s.count);
	return rc;
}

/*
 * Appends one sample line: suffix goes between the metric's name and its
 * labels, label (may be NULL) after the labels in the name.
 */
static int
render_sample(struct buf *out, const struct metric *m, const char *suffix,
    const char *label, uint64_t value)
{
	size_t base_len = strcspn(m->name, "{");
	const char *labels = m->name + base_len;
	size_t labels_len = labels[0] == '{' ? strlen(labels) - 2 : 0;
	const char *comma = labels_len > 0 && label != NULL ? "," : "";

	if (label == NULL && labels_len == 0)
		return append_buf_fmt(out, "%s%s %llu\n", m->name, suffix,
		    (unsigned long long)value);
	return append_buf_fmt(out, "%.*s%s{%.*s%s%s} %llu\n", (int)base_len,
	    m->name, suffix, (int)labels_len, labels + (labels_len > 0), comma,
	    label != NULL ? label : "", (unsigned long long)value);
}
