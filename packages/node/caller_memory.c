/*
 * The account of the bytes that callers' connections hold, and who gives way
 * when they exceed the budget. policy/memory_budget.h decides the order.
 */
#include <malloc.h>

#include "caller_state.h"
#include "log.h"

/*
 * Counted for a connection that is not read: its client may fill the socket's
 * receive buffer, which counts as the process's memory on the platform.
 */
#define STOPPED_BYTES (16 * 1024)
#define BUF_STEP_BYTES (1024 * 1024) /* by which a long buffer grows */
/* Free memory of the allocator is returned after a time of shortage. */
#define TRIM_CHECK_NS (500 * NSEC_PER_MSEC)

static bool may_yield(const struct caller *c, const struct memory_holder *h);
static void check_memory(struct timer *t);

size_t
get_used_memory(const struct node *n)
{
	return get_buf_bytes() + n->object_bytes +
	       (size_t)n->stopped_callers * STOPPED_BYTES;
}

bool
has_memory(const struct node *n, size_t more, size_t level)
{
	return n->budget.limit == 0 || get_used_memory(n) + more <= level;
}

bool
make_room(struct caller *c, size_t more, size_t level)
{
	struct node *n = c->node;
	int64_t now = get_reactor_now(n->reactor);
	struct memory_holder own;

	if (n->budget.limit == 0)
		return true;
	watch_memory(n);
	own = describe_holder(c);
	own.waits = false;
	while (!has_memory(n, more, level)) {
		struct memory_holder first = own, h;
		struct caller *v = c;

		for (struct caller *o = n->callers; o != NULL; o = o->next) {
			h = describe_holder(o);
			if (o == c || !may_yield(o, &h) ||
			    !yields_memory_before(&h, &first, now))
				continue;
			v = o;
			first = h;
		}
		if (v == c)
			return false;
		yield_caller(v);
	}
	return true;
}

bool
make_input_room(struct caller *c, size_t more)
{
	struct memory_holder h = describe_holder(c);

	return make_room(c, more,
	    get_memory_level(&c->node->budget, h.bytes + more, h.rank));
}

/*
 * A connection in use by a caller of this function, or without a message whose
 * memory could be freed, does not give way.
 */
static bool
may_yield(const struct caller *c, const struct memory_holder *h)
{
	return !c->busy && !c->lingering && !h->waits &&
	       h->bytes >= sizeof(struct request);
}

/*
 * Returns by how much the request being read may grow with len more bytes.
 */
size_t
get_input_growth(const struct caller *c, size_t len)
{
	const struct request *q = get_reading(c);
	const struct buf *b;
	size_t more;

	if (q == NULL)
		return len + sizeof(*q);
	b = q->reader.head_done ? &q->reader.body : &q->reader.head_bytes;
	if (b->cap - b->len > len)
		return 0;
	more = b->cap < BUF_STEP_BYTES ? b->cap : BUF_STEP_BYTES;
	return more > len ? more : len;
}

/*
 * A call that runs keeps its body until it ends, which the client cannot
 * hasten; all other bytes could be freed.
 */
struct memory_holder
describe_holder(const struct caller *c)
{
	const struct request *reading = get_reading(c);
	struct memory_holder h = {
	    .bytes = c->input.cap + c->out.cap,
	    .progress_at = c->progress_at,
	    .since = c->first != NULL ? c->first->arrived : c->progress_at,
	    .rank = reading != NULL ? c->rank : MEMORY_RANK_UNKNOWN,
	};

	for (const struct request *q = c->first; q != NULL;
	     q = q->next_request) {
		h.bytes += sizeof(*q) + q->reader.head_bytes.cap +
			   q->reader.body.cap + q->answer.cap + q->parts.cap;
	}
	if (c->stopped)
		h.bytes += STOPPED_BYTES;
	if (reading != NULL)
		h.since = reading->arrived;
	/* The client of a single call has nothing to do but wait for it. */
	h.waits = c->first != NULL && reading == NULL &&
		  c->out.len == c->out_sent && (!c->stopped || c->depth == 1);
	return h;
}

void
set_caller_stopped(struct caller *c, bool stopped)
{
	if (c->stopped == stopped)
		return;
	c->stopped = stopped;
	c->node->stopped_callers += stopped ? 1 : -1;
}

/*
 * Frees what the requests of a closed connection do not use any more; the rest
 * is freed at the end of the round.
 */
void
free_caller_buffers(struct caller *c)
{
	unload_buf(&c->input);
	unload_buf(&c->out);
	for (struct request *q = c->first; q != NULL; q = q->next_request) {
		if (q->state == REQUEST_READING) {
			c->node->body_bytes -= q->reader.body.len;
			unload_buf(&q->reader.body);
		} else if (q->state == REQUEST_DONE) {
			c->node->kept_bytes -= q->answer.len;
			unload_buf(&q->answer);
		}
	}
}

/*
 * Notes a shortage once, and looks for its end from then on.
 */
void
watch_memory(struct node *n)
{
	size_t used = get_used_memory(n);

	if (n->memory_short || n->budget.limit == 0 ||
	    used <= n->budget.common / 2)
		return;
	n->memory_short = true;
	WRITE_EVENT(LOG_LEVEL_WARNING, "memory.short", LOG_INT("bytes", used),
	    LOG_INT("limit", n->budget.limit));
	set_timer(n->reactor, &n->memory_timer,
	    get_reactor_now(n->reactor) + TRIM_CHECK_NS, check_memory);
}

/*
 * Returns free memory to the system after a shortage: gaps between buffers
 * would keep it.
 */
static void
check_memory(struct timer *t)
{
	struct node *n =
	    (struct node *)((char *)t - offsetof(struct node, memory_timer));
	size_t used = get_used_memory(n);

	if (used > n->budget.common / 4) {
		set_timer(n->reactor, &n->memory_timer,
		    get_reactor_now(n->reactor) + TRIM_CHECK_NS, check_memory);
		return;
	}
	n->memory_short = false;
	(void)malloc_trim(0);
	WRITE_EVENT(LOG_LEVEL_NOTICE, "memory.eased", LOG_INT("bytes", used));
}
