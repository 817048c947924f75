/*
 * The watch plan as a state machine.
 */
#include "agent_follow.h"

#define MS(n) ((n)*NSEC_PER_MSEC)

static void shuffle_order(struct watch_plan *p, int from, int to);

/*
 * Orders the control processes: those of the node's own availability zone
 * first, both groups shuffled by the seed so that nodes spread evenly.
 */
void
start_watch_plan(struct watch_plan *p, int count, const bool *same_zone,
    uint64_t seed, int64_t now)
{
	int n = 0, same_zone_count;

	*p = (struct watch_plan){
	    .timing = {AGENT_OVERDUE_MS, WATCH_RECONNECT_MS,
		WATCH_RECONNECT_MAX_MS},
	    .count = count,
	    .next_watch_at = now,
	};
	seed_rng(&p->rng, seed);
	for (int i = 0; i < count; i++) {
		if (same_zone[i])
			p->order[n++] = i;
	}
	same_zone_count = n;
	for (int i = 0; i < count; i++) {
		if (!same_zone[i])
			p->order[n++] = i;
	}
	shuffle_order(p, 0, same_zone_count);
	shuffle_order(p, same_zone_count, count);
}

/*
 * Replaces the list. The current control process goes first, also when it is
 * no longer listed but has answered; the others follow in random order, so
 * that nodes spread evenly over them.
 */
void
set_watch_controls(struct watch_plan *p, const int *list, int count)
{
	int current = get_watch_control(p), order_count = 0;
	bool listed = false;

	for (int i = 0; i < count; i++)
		listed = listed || list[i] == current;
	p->current = 0;
	if (listed || p->attached)
		p->order[order_count++] = current;
	for (int i = 0; i < count && order_count < AGENT_KNOWN_CONTROLS_MAX;
	     i++) {
		if (list[i] != current)
			p->order[order_count++] = list[i];
	}
	p->count = order_count;
	shuffle_order(p, listed || p->attached ? 1 : 0, order_count);
}

/*
 * Decides what to do now. A change of the node is sent in another watch on the
 * same connection, which replaces the unanswered one.
 */
struct watch_step
get_watch_step(const struct watch_plan *p, int64_t now)
{
	int64_t overdue = p->no_reply_since + MS(p->timing.overdue_ms);
	int64_t due = p->changed_at + MS(WATCH_BATCH_MS);
	struct watch_step s = {WATCH_SEND, get_watch_control(p), now};

	if (!p->watching) {
		if (now < p->next_watch_at)
			s = (struct watch_step){
			    WATCH_WAIT, s.control, p->next_watch_at};
		return s;
	}
	if (now >= overdue) {
		s.action = WATCH_ABANDON;
		return s;
	}
	if (due < p->sent_at + MS(WATCH_SPACING_MS))
		due = p->sent_at + MS(WATCH_SPACING_MS);
	if (p->changed && (p->leaving || now >= due))
		return s;
	s.action = WATCH_WAIT;
	s.until = p->changed && due < overdue ? due : overdue;
	return s;
}

int
get_watch_control(const struct watch_plan *p)
{
	return p->order[p->current];
}

bool
is_watch_attached(const struct watch_plan *p)
{
	return p->attached;
}

/*
 * A watch that replaces an unanswered one does not extend its overdue time.
 */
void
record_watch_sent(struct watch_plan *p, int64_t now)
{
	if (!p->watching)
		p->no_reply_since = now;
	p->watching = true;
	p->changed = false;
	p->sent_at = now;
}

/*
 * The overdue time counts from the last bytes of a reply that is on its way: a
 * large table takes long over the link of a small machine, and asking another
 * control process would begin the transfer anew.
 */
void
record_watch_input(struct watch_plan *p, int64_t received_at)
{
	if (p->watching && received_at > p->no_reply_since)
		p->no_reply_since = received_at;
}

/*
 * Changes share the watch that is sent WATCH_BATCH_MS after the first of them.
 */
void
record_node_change(struct watch_plan *p, int64_t now)
{
	if (!p->changed)
		p->changed_at = now;
	p->changed = true;
}

void
record_node_leaving(struct watch_plan *p)
{
	p->changed = true;
	p->leaving = true;
}

/*
 * Handles an accepted reply. newest: it answers the last watch sent; news: it
 * brought a change. The watch after an early reply without news is delayed, so
 * that watches do not loop.
 */
void
handle_watch_reply(struct watch_plan *p, bool newest, bool news, int64_t now)
{
	p->attached = true;
	p->failures = 0;
	p->limit_answers = 0;
	p->no_reply_since = now;
	if (!newest)
		return;
	p->watching = false;
	p->next_watch_at = now;
	if (!news && now - p->sent_at < MS(WATCH_EMPTY_SPACING_MS))
		p->next_watch_at = p->sent_at + MS(WATCH_EMPTY_SPACING_MS);
}

/*
 * The control process is busy: retries it after retry_ms and as much jitter,
 * and moves on after WATCH_LIMIT_ANSWERS_MAX such answers. retry_ms is clamped
 * to WATCH_SPACING_MS and WATCH_RECONNECT_MAX_MS.
 */
void
handle_watch_limit(struct watch_plan *p, int retry_ms, int64_t now)
{
	int64_t wait;

	if (retry_ms < WATCH_SPACING_MS)
		retry_ms = WATCH_SPACING_MS;
	if (retry_ms > WATCH_RECONNECT_MAX_MS)
		retry_ms = WATCH_RECONNECT_MAX_MS;
	if (++p->limit_answers >= WATCH_LIMIT_ANSWERS_MAX) {
		handle_watch_failure(p, now);
		return;
	}
	wait = retry_ms + (int64_t)draw_below(&p->rng, (uint64_t)retry_ms + 1);
	p->watching = false;
	p->no_reply_since = now;
	p->next_watch_at = now + MS(wait);
}

/*
 * Moves on to the next control process after a delay of full jitter, whose
 * bound doubles with every failure in a row.
 */
void
handle_watch_failure(struct watch_plan *p, int64_t now)
{
	int64_t bound = p->timing.first_delay_ms,
		bound_max = p->timing.delay_max_ms;

	for (unsigned int i = 0; i < p->failures && bound < bound_max; i++)
		bound *= 2;
	if (bound > bound_max)
		bound = bound_max;
	p->failures++;
	p->limit_answers = 0;
	p->watching = false;
	p->attached = false;
	p->current = (p->current + 1) % p->count;
	p->next_watch_at =
	    now + (int64_t)draw_below(&p->rng, (uint64_t)MS(bound) + 1);
}

/*
 * Shuffles order[from] to order[to - 1].
 */
static void
shuffle_order(struct watch_plan *p, int from, int to)
{
	for (int i = to - 1; i > from; i--) {
		uint64_t span = (uint64_t)i - (uint64_t)from + 1;
		int j = from + (int)draw_below(&p->rng, span);
		int t = p->order[i];

		p->order[i] = p->order[j];
		p->order[j] = t;
	}
}
