/*
 * Budget of memory and descriptors; see memory_budget.h.
 */
#include "memory_budget.h"

/* Of a process without connections: code, table, stacks and endpoint sets. */
#define PROCESS_BYTES (16LL * 1024 * 1024)
/*
 * Share of the rest that buffers take. The others are the allocator's gaps and
 * bytes that have arrived and were not read.
 */
#define BUFFER_SHARE 0.7
/*
 * Of the budget. One body of the longest legal size, 64 MiB, fits into the
 * common share on the smallest VM of the pages, 160 MB.
 */
#define COMMON_SHARE 0.7
#define URGENT_SHARE 0.8
#define ANSWERS_SHARE 0.35
#define ANSWERS_MAX_BYTES (32 * 1024 * 1024)
/* Of a VM so small that nothing would be left. */
#define LIMIT_MIN_BYTES (4 * 1024 * 1024)
#define URGENT_RANK 1 /* of the table: the most urgent one */
/* Messages up to this size may use the whole budget: ordinary calls. */
#define SMALL_BYTES (64 * 1024)
/*
 * A client that sends or reads nothing for this time is stalled. Callers leave
 * a connection that is not read after one second.
 */
#define STALL_NS (1 * NSEC_PER_SEC)
#define FILE_DESCRIPTORS 200 /* reserved for files by the platform */
#define CALLERS_SHARE 0.5 /* of the sockets; the rest: nodes and servers */
#define OTHERS_SHARE (1.0 / 12)
#define OTHERS_MIN 4
#define OTHERS_MAX 64
/* Share of the budget for bytes that have arrived and were not read. */
#define UNREAD_SHARE 0.25
#define RECEIVE_MIN_BYTES (8 * 1024)
#define RECEIVE_MAX_BYTES (128 * 1024)

static int compare_time(int64_t a, int64_t b);

struct memory_budget
plan_memory(int64_t memory_bytes, int64_t descriptors)
{
	struct memory_budget b = {0};
	double sockets = (double)(descriptors - FILE_DESCRIPTORS);

	if (memory_bytes > 0) {
		double bytes =
		    (double)(memory_bytes - PROCESS_BYTES) * BUFFER_SHARE;

		if (bytes < LIMIT_MIN_BYTES)
			bytes = LIMIT_MIN_BYTES;
		b.limit = (size_t)bytes;
		b.urgent = (size_t)(bytes * URGENT_SHARE);
		b.common = (size_t)(bytes * COMMON_SHARE);
		b.answers = (size_t)(bytes * ANSWERS_SHARE);
		if (b.answers > ANSWERS_MAX_BYTES)
			b.answers = ANSWERS_MAX_BYTES;
	}
	if (descriptors > 0) {
		b.callers = (int)(sockets * CALLERS_SHARE);
		b.others = (int)(sockets * OTHERS_SHARE);
		if (b.callers < OTHERS_MIN)
			b.callers = OTHERS_MIN;
		if (b.others < OTHERS_MIN)
			b.others = OTHERS_MIN;
		if (b.others > OTHERS_MAX)
			b.others = OTHERS_MAX;
	}
	return b;
}

/*
 * held: bytes of the holder, with those that it asks for. Small messages use
 * the whole budget, so that ordinary calls pass beside a crowd of long ones.
 */
size_t
get_memory_level(const struct memory_budget *b, size_t held, int rank)
{
	if (b->limit == 0)
		return SIZE_MAX;
	if (held <= SMALL_BYTES)
		return b->limit;
	return rank <= URGENT_RANK ? b->urgent : b->common;
}

/*
 * Stalled holders give way first, the longest stalled one before others. Among
 * those that make progress, long messages go before small ones, then the less
 * urgent, then the newest, so that the oldest reach their end.
 */
bool
yields_memory_before(
    const struct memory_holder *a, const struct memory_holder *b, int64_t now)
{
	bool stalled = is_holder_stalled(a, now);
	int order;

	if (a->waits || b->waits)
		return !a->waits;
	if (stalled != is_holder_stalled(b, now))
		return stalled;
	if ((a->bytes > SMALL_BYTES) != (b->bytes > SMALL_BYTES))
		return a->bytes > SMALL_BYTES;
	if (stalled)
		return a->progress_at < b->progress_at;
	if (a->rank != b->rank)
		return a->rank > b->rank;
	order = compare_time(b->since, a->since);
	return order != 0 ? order < 0 : a->bytes > b->bytes;
}

/*
 * Connections whose message has stalled go first, then those without a message,
 * the one unused for longest first, then the newest message.
 */
bool
yields_descriptor_before(
    const struct memory_holder *a, const struct memory_holder *b, int64_t now)
{
	bool stalled = is_holder_stalled(a, now) && a->bytes > 0;

	if (a->waits || b->waits)
		return !a->waits;
	if (stalled != (is_holder_stalled(b, now) && b->bytes > 0))
		return stalled;
	if ((a->bytes == 0) != (b->bytes == 0))
		return a->bytes == 0;
	if (stalled || a->bytes == 0)
		return a->progress_at < b->progress_at;
	return a->since > b->since;
}

bool
is_holder_stalled(const struct memory_holder *h, int64_t now)
{
	return !h->waits && now - h->progress_at >= STALL_NS;
}

/*
 * Bytes that arrive before they are read count as the process's memory, so that
 * many connections share a part of it.
 */
int
choose_receive_bytes(const struct memory_budget *b, int connections)
{
	double each;

	if (b->limit == 0 || connections < 1)
		return 0;
	/* The system doubles the size that it is given. */
	each = (double)b->limit * UNREAD_SHARE / connections / 2;
	if (each > RECEIVE_MAX_BYTES)
		return RECEIVE_MAX_BYTES;
	return each < RECEIVE_MIN_BYTES ? RECEIVE_MIN_BYTES : (int)each;
}

static int
compare_time(int64_t a, int64_t b)
{
	return a < b ? -1 : a > b;
}
