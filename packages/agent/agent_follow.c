/*
 * The watch loop as a state machine.
 */
#include "agent_follow.h"

#define MS(n) ((n)*NSEC_PER_MSEC)

static void shuffle_order(struct follow *f, int from, int to);

/*
 * Orders the control processes: those of the node's own availability zone
 * first, both groups shuffled by the seed so that nodes spread evenly.
 */
void
start_follow(
    struct follow *f, int count, const bool *near, uint64_t seed, int64_t now)
{
	int n = 0, own;

	*f = (struct follow){
	    .timing = {AGENT_OVERDUE_MS, FOLLOW_JITTER_MS,
		FOLLOW_JITTER_MAX_MS},
	    .count = count,
	    .next_at = now,
	};
	seed_rng(&f->rng, seed);
	for (int i = 0; i < count; i++) {
		if (near[i])
			f->order[n++] = i;
	}
	own = n;
	for (int i = 0; i < count; i++) {
		if (!near[i])
			f->order[n++] = i;
	}
	shuffle_order(f, 0, own);
	shuffle_order(f, own, count);
}

/*
 * The others are tried in random order, so that nodes spread evenly over them.
 * The current one leads the list, and keeps its place when it is not listed any
 * more but answers.
 */
void
update_follow(struct follow *f, const int *list, int count)
{
	int current = get_follow_control(f), n = 0;
	bool listed = false;

	for (int i = 0; i < count; i++)
		listed = listed || list[i] == current;
	f->at = 0;
	if (listed || f->attached)
		f->order[n++] = current;
	for (int i = 0; i < count && n < AGENT_SLOTS; i++) {
		if (list[i] != current)
			f->order[n++] = list[i];
	}
	f->count = n;
	shuffle_order(f, listed || f->attached ? 1 : 0, n);
}

/*
 * Tells what to do now. A change is told by a further watch on the same
 * connection, which replaces the unanswered one.
 */
struct follow_step
get_follow_step(const struct follow *f, int64_t now)
{
	int64_t overdue = f->waiting_since + MS(f->timing.overdue_ms);
	int64_t due = f->changed_at + MS(FOLLOW_BATCH_MS);
	struct follow_step s = {FOLLOW_SEND, get_follow_control(f), now};

	if (!f->watching) {
		if (now < f->next_at)
			s = (struct follow_step){
			    FOLLOW_WAIT, s.control, f->next_at};
		return s;
	}
	if (now >= overdue) {
		s.action = FOLLOW_ABANDON;
		return s;
	}
	if (due < f->sent_at + MS(FOLLOW_SPACING_MS))
		due = f->sent_at + MS(FOLLOW_SPACING_MS);
	if (f->changed && (f->leaving || now >= due))
		return s;
	s.action = FOLLOW_WAIT;
	s.until = f->changed && due < overdue ? due : overdue;
	return s;
}

int
get_follow_control(const struct follow *f)
{
	return f->order[f->at];
}

bool
is_follow_attached(const struct follow *f)
{
	return f->attached;
}

void
note_follow_sent(struct follow *f, int64_t now)
{
	if (!f->watching)
		f->waiting_since = now;
	f->watching = true;
	f->changed = false;
	f->sent_at = now;
}

void
note_follow_changed(struct follow *f, int64_t now)
{
	if (!f->changed)
		f->changed_at = now;
	f->changed = true;
}

void
note_follow_leaving(struct follow *f)
{
	f->changed = true;
	f->leaving = true;
}

/*
 * An accepted reply. newest tells that it answers the last watch sent, news
 * that it brought something. A reply without news that comes early must not
 * lead to a fast loop of watches.
 */
void
note_follow_reply(struct follow *f, bool newest, bool news, int64_t now)
{
	f->attached = true;
	f->failures = 0;
	f->limits = 0;
	f->waiting_since = now;
	if (!newest)
		return;
	f->watching = false;
	f->next_at = now;
	if (!news && now - f->sent_at < MS(FOLLOW_EMPTY_MS))
		f->next_at = f->sent_at + MS(FOLLOW_EMPTY_MS);
}

/*
 * The control process is busy: asks it again after retry_ms and as much jitter,
 * and moves on after FOLLOW_LIMIT_MAX such answers.
 */
void
note_follow_limit(struct follow *f, int retry_ms, int64_t now)
{
	int64_t wait;

	if (retry_ms < FOLLOW_SPACING_MS)
		retry_ms = FOLLOW_SPACING_MS;
	if (retry_ms > FOLLOW_JITTER_MAX_MS)
		retry_ms = FOLLOW_JITTER_MAX_MS;
	if (++f->limits >= FOLLOW_LIMIT_MAX) {
		note_follow_failure(f, now);
		return;
	}
	wait = retry_ms + (int64_t)draw_below(&f->rng, (uint64_t)retry_ms + 1);
	f->watching = false;
	f->waiting_since = now;
	f->next_at = now + MS(wait);
}

/*
 * Moves on to the next control process after a delay of full jitter, whose
 * bound doubles with every failure in a row.
 */
void
note_follow_failure(struct follow *f, int64_t now)
{
	int64_t bound = f->timing.jitter_ms, most = f->timing.jitter_max_ms;

	for (unsigned int i = 0; i < f->failures && bound < most; i++)
		bound *= 2;
	if (bound > most)
		bound = most;
	f->failures++;
	f->limits = 0;
	f->watching = false;
	f->attached = false;
	f->at = (f->at + 1) % f->count;
	f->next_at =
	    now + (int64_t)draw_below(&f->rng, (uint64_t)MS(bound) + 1);
}

static void
shuffle_order(struct follow *f, int from, int to)
{
	for (int i = to - 1; i > from; i--) {
		uint64_t span = (uint64_t)i - (uint64_t)from + 1;
		int j = from + (int)draw_below(&f->rng, span);
		int t = f->order[i];

		f->order[i] = f->order[j];
		f->order[j] = t;
	}
}
