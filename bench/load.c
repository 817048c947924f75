/*
 * An open-loop load generator over the curl multi interface. The latency of a
 * call counts from its scheduled start, so that delays of the generator or of a
 * slow system are included.
 */
#include <math.h>
#include <semaphore.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "load.h"

#define LOAD_DRAIN_NS (20 * NSEC_PER_SEC) /* wait for the last answers */
#define RESEND_DELAY_MAX_NS (50 * NSEC_PER_MSEC) /* the pause is random */
#define IDLE_HANDLES_MAX 1024

/* One call with all its resends. */
struct call {
	struct load_row *row;
	struct loop_timer timer; /* resend */
	CURL *easy;
	struct curl_slist *headers;
	char id[LOAD_ID_BYTES];
	int64_t due; /* scheduled start, mono ns */
	int entry; /* index of the entry node */
	int sends;
	bool measured; /* was due after the warm-up */
	bool may_have_run; /* an answer was missing or other than not-run */
	enum load_outcome outcome;
};

static struct load_options opts = {.seconds = 10,
    .resends = 3,
    .in_flight_max = 20000,
    .seed = 1,
    .experiment = "load",
    .commit = "unknown"};
static struct clock_source clk;
static struct loop *loop;
static struct rng rng;
static struct loop_task begin_task;
static struct loop_timer arrival_timer, end_timer;
static int64_t measure_from, measure_until; /* mono ns */
static uint64_t call_number;
static int in_flight;
static char *body_filler;
static CURL *idle_handles[IDLE_HANDLES_MAX];
static int idle_handle_count;
static sem_t done;

static void start_load(struct loop_task *t);
static void handle_arrival(struct loop_timer *t);
static void finish_load(struct loop_timer *t);
static void start_call(struct load_row *r, int64_t due);
static void send_call(struct call *c);
static struct curl_slist *make_headers(const struct call *c);
static size_t parse_header(char *data, size_t size, size_t n, void *arg);
static size_t discard_body(char *data, size_t size, size_t n, void *arg);
static void finish_send(CURL *easy, CURLcode code);
static void resend_call(struct loop_timer *t);
static void end_call(struct call *c);
static int64_t draw_gap(const struct load_row *r);
static bool skip_deferred(void *arg);

int
main(int argc, char **argv)
{
	struct loop_hooks hooks = {finish_send, skip_deferred, NULL};
	int body_max = 1;

	read_load_flags(argc, argv, &opts);
	clk = get_real_clock();
	seed_rng(&rng, opts.seed);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_NOTHING);
	for (int i = 0; i < opts.row_count; i++) {
		if (opts.rows[i].body_bytes > body_max)
			body_max = opts.rows[i].body_bytes;
	}
	body_filler = calloc(1, (size_t)body_max);
	sem_init(&done, 0, 0);
	if (body_filler == NULL || open_loop(clk, &hooks, &loop) != 0)
		return EXIT_FAILURE;
	curl_multi_setopt(get_loop_curl(loop), CURLMOPT_MAXCONNECTS, 4096L);
	begin_task.run = start_load;
	post_loop_task(loop, &begin_task);
	if (start_loop(loop) != 0)
		return EXIT_FAILURE;
	while (sem_wait(&done) != 0)
		;
	print_report(&opts, opts.seconds);
	return EXIT_SUCCESS;
}

/*
 * Sets the measured time and schedules the first arrival of every row.
 */
static void
start_load(struct loop_task *t)
{
	int64_t now = read_mono(&clk);

	(void)t;
	measure_from =
	    now + (int64_t)(opts.warmup_seconds * (double)NSEC_PER_SEC);
	measure_until =
	    measure_from + (int64_t)(opts.seconds * (double)NSEC_PER_SEC);
	for (int i = 0; i < opts.row_count; i++)
		opts.rows[i].next_at = now + draw_gap(&opts.rows[i]);
	arrival_timer.fire = handle_arrival;
	end_timer.fire = finish_load;
	(void)set_loop_timer(loop, &arrival_timer, now);
	(void)set_loop_timer(loop, &end_timer, measure_until + LOAD_DRAIN_NS);
}

/*
 * Starts the calls that are due and sets the timer to the next arrival.
 */
static void
handle_arrival(struct loop_timer *t)
{
	int64_t now = read_mono(&clk), next = INT64_MAX;

	for (int i = 0; i < opts.row_count; i++) {
		struct load_row *r = &opts.rows[i];

		while (r->next_at <= now && r->next_at < measure_until) {
			start_call(r, r->next_at);
			r->next_at += draw_gap(r);
		}
		if (r->next_at < next)
			next = r->next_at;
	}
	if (next < measure_until)
		(void)set_loop_timer(loop, t, next);
	else if (in_flight == 0)
		finish_load(&end_timer);
}

/*
 * Wakes main to print the report, after the last call or after LOAD_DRAIN_NS.
 */
static void
finish_load(struct loop_timer *t)
{
	clear_loop_timer(loop, t);
	sem_post(&done);
}

/*
 * Starts a call at a random entry node. A call beyond in_flight_max is counted
 * as sent and unanswered, but not sent.
 */
static void
start_call(struct load_row *r, int64_t due)
{
	struct call *c;

	if (in_flight >= opts.in_flight_max) {
		if (due >= measure_from) {
			r->sent++;
			r->outcomes[LOAD_NONE]++;
		}
		return;
	}
	c = calloc(1, sizeof(*c));
	if (c == NULL)
		return;
	c->row = r;
	c->due = due;
	c->measured = due >= measure_from;
	c->entry = (int)draw_below(&rng, (uint64_t)opts.entry_count);
	snprintf(c->id, sizeof(c->id), "load-%llu-%llu",
	    (unsigned long long)opts.seed, (unsigned long long)++call_number);
	c->timer.fire = resend_call;
	in_flight++;
	if (c->measured)
		r->sent++;
	send_call(c);
}

/*
 * Sends a call, or sends it again, on an idle curl handle or a new one.
 */
static void
send_call(struct call *c)
{
	char url[160];

	c->easy = idle_handle_count > 0 ? idle_handles[--idle_handle_count] :
					  curl_easy_init();
	c->outcome = LOAD_NONE;
	c->sends++;
	snprintf(url, sizeof(url), "http://%s/call/%s", opts.entries[c->entry],
	    c->row->kind);
	c->headers = make_headers(c);
	curl_easy_setopt(c->easy, CURLOPT_URL, url);
	curl_easy_setopt(c->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->easy, CURLOPT_PRIVATE, c);
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
	curl_easy_setopt(c->easy, CURLOPT_HEADERFUNCTION, parse_header);
	curl_easy_setopt(c->easy, CURLOPT_HEADERDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, discard_body);
	curl_easy_setopt(c->easy, CURLOPT_MAXAGE_CONN, 20L);
	/* Wait beyond the deadline to receive the answer sent when it passes. */
	curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS,
	    c->row->deadline_ms > 0 ? c->row->deadline_ms + 2000L : 30000L);
	if (c->row->body_bytes > 0) {
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, body_filler);
		curl_easy_setopt(
		    c->easy, CURLOPT_POSTFIELDSIZE, (long)c->row->body_bytes);
	}
	curl_multi_add_handle(get_loop_curl(loop), c->easy);
}

/*
 * Makes the headers of one send. Every send has its own call id; resends share
 * the idempotency key.
 */
static struct curl_slist *
make_headers(const struct call *c)
{
	struct curl_slist *l = curl_slist_append(NULL, "Expect:");
	char line[128];

	snprintf(line, sizeof(line), "X-Ggs-Call-Id: %s.%d", c->id, c->sends);
	l = curl_slist_append(l, line);
	if (c->row->deadline_ms > 0) {
		snprintf(line, sizeof(line), "X-Ggs-Deadline-Ms: %d",
		    c->row->deadline_ms);
		l = curl_slist_append(l, line);
	}
	if (c->row->once) {
		snprintf(line, sizeof(line), "Idempotency-Key: %s", c->id);
		l = curl_slist_append(l, line);
	}
	return l;
}

/*
 * Sets the outcome of a call from its X-Ggs-Outcome header. The order of the
 * names is that of enum load_outcome.
 */
static size_t
parse_header(char *data, size_t size, size_t n, void *arg)
{
	static const char *const names[] = {
	    "ran", "failed", "not-run", "unknown"};
	static const char name[] = "X-Ggs-Outcome: ";
	struct call *c = arg;
	size_t len = size * n;

	if (len <= strlen(name) || strncasecmp(data, name, strlen(name)) != 0)
		return len;
	for (int i = 0; i < 4; i++) {
		size_t m = strlen(names[i]);

		if (len - strlen(name) >= m + 2 &&
		    strncmp(data + strlen(name), names[i], m) == 0 &&
		    data[strlen(name) + m] == '\r')
			c->outcome = (enum load_outcome)i;
	}
	return len;
}

static size_t
discard_body(char *data, size_t size, size_t n, void *arg)
{
	(void)data;
	(void)arg;
	return size * n;
}

/*
 * Handles an answer or a failed transfer. A call that must run only once is
 * sent again with its key through another entry node, until its outcome is
 * known or its resends are used up.
 */
static void
finish_send(CURL *easy, CURLcode code)
{
	struct call *c = NULL;
	int64_t now = read_mono(&clk);

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&c);
	curl_multi_remove_handle(get_loop_curl(loop), easy);
	curl_slist_free_all(c->headers);
	if (idle_handle_count < IDLE_HANDLES_MAX) {
		curl_easy_reset(easy);
		idle_handles[idle_handle_count++] = easy;
	} else {
		curl_easy_cleanup(easy);
	}
	c->easy = NULL;
	if (code != CURLE_OK)
		c->outcome = LOAD_NONE;
	if (c->outcome != LOAD_NOT_RUN)
		c->may_have_run = true;
	if (c->row->once && c->sends <= opts.resends &&
	    c->outcome != LOAD_RAN && c->outcome != LOAD_FAILED) {
		c->entry = (c->entry + 1) % opts.entry_count;
		if (c->measured)
			c->row->resent++;
		(void)set_loop_timer(loop, &c->timer,
		    now + (int64_t)draw_below(
			      &rng, (uint64_t)RESEND_DELAY_MAX_NS));
		return;
	}
	end_call(c);
}

static void
resend_call(struct loop_timer *t)
{
	send_call((struct call *)((char *)t - offsetof(struct call, timer)));
}

/*
 * Counts the outcome of a call and frees it.
 */
static void
end_call(struct call *c)
{
	struct load_row *r = c->row;
	int64_t ns = read_mono(&clk) - c->due;
	char id[LOAD_ID_BYTES + 16];

	if (c->outcome == LOAD_NOT_RUN && !c->may_have_run) {
		snprintf(id, sizeof(id), c->row->once ? "%s" : "%s.%d", c->id,
		    c->sends);
		record_not_run(id, c->row->once);
	}
	if (c->measured) {
		r->outcomes[c->outcome]++;
		if (c->outcome == LOAD_RAN) {
			record_latency(r, ns);
			if (r->target_ms > 0 &&
			    ns > r->target_ms * NSEC_PER_MSEC)
				r->late++;
		}
	}
	free(c);
	in_flight--;
	if (in_flight == 0 && arrival_timer.heap_pos == 0)
		finish_load(&end_timer);
}

/*
 * Draws the time to the next arrival of a Poisson process, in ns.
 */
static int64_t
draw_gap(const struct load_row *r)
{
	double u = 1.0 - draw_unit(&rng);

	return (int64_t)(-log(u) / r->rate * (double)NSEC_PER_SEC) + 1;
}

/*
 * The loop hook for deferred work, of which the load generator has none.
 */
static bool
skip_deferred(void *arg)
{
	(void)arg;
	return false;
}
