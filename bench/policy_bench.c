/*
 * Compares the admission policies of one backend server in simulated time:
 * every policy with the least or the most urgent row of a service overloaded,
 * for each service of two tables.
 *
 * Arrivals are Poisson, service times lognormal with a mean of a tenth of the
 * row's target. Without overload the rows together offer 60% of the slots, in
 * proportion to their floors. An overload of factor k offers k times all slots.
 */
#include <argp.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy.h"

#define ROWS_MAX 16 /* rows of one service */
#define SLOTS_MAX 256
#define WARMUP_NS (10 * NSEC_PER_SEC) /* before measuring */
#define TARGET_DIVISOR 10.0 /* target / mean service time */
#define SERVICE_TIME_SIGMA 0.6 /* of the lognormal distribution */
#define BASE_LOAD 0.6 /* of all slots */
#define SATURATED_LOAD 2.0 /* of a floor; at 1.2 queues run empty at times */
#define FILE_MAX (512 * 1024) /* bytes of a table */

/* The load of a row and its results. */
struct flow {
	const struct row *row;
	int index; /* in the admission */
	double load; /* arrivals, as a multiple of all slots */
	double service_ns; /* mean */
	int64_t next_ns; /* next arrival */
	long offered, in_target, in_deadline, refused;
	double slot_ns; /* time in slots after the warm-up */
};

/* A simulated call. */
struct call {
	struct admission_call admission;
	struct flow *flow;
	int64_t service_ns;
	bool measured;
	struct call *next_free;
};

/* A call in a slot and the time at which it ends. */
struct running {
	int64_t done_ns;
	struct call *call;
};

/* The simulation of one scenario under one policy; now is simulated time. */
struct bench {
	struct admission *a;
	enum admission_policy_id policy;
	int slots;
	struct flow flows[ROWS_MAX];
	int flow_count;
	struct running running[SLOTS_MAX];
	int running_count;
	struct call *free_calls;
	struct rng rng;
	int64_t now, end_ns;
	int64_t wake_ns;
};

/* One experiment: the overloaded row, the factor and the load of the others. */
struct scenario {
	const char *deployment;
	const char *service;
	int slots;
	bool overload_urgent; /* else the least urgent row is overloaded */
	int factor; /* of all slots; 0: no overload */
	bool saturated; /* the others offer more than their floors */
};

struct options {
	const char *tables;
	const char *json;
	const char *commit;
	int seconds;
	uint64_t seed;
};

static const char *const deployments[] = {"grants", "workshop"};
static const int deployment_slots[] = {20, 6}; /* docs/design.md 1.6 */

static struct options opts = {"examples", NULL, "unknown", 40, 1};
static FILE *json;
static int missed_targets; /* of docs/design.md 1.8 */

static error_t parse_option(int key, char *arg, struct argp_state *state);
static struct table *load_file(const char *name);
static void run_deployment(int d);
static void run_service(const struct table *t, const struct scenario *base);
static void run_scenario(const struct table *t, const struct scenario *s);
static void open_bench(struct bench *b, const struct table *t,
    const struct scenario *s, enum admission_policy_id id);
static void set_loads(struct bench *b, const struct scenario *s);
static struct flow *find_overloaded(struct bench *b, bool urgent);
static void run_bench(struct bench *b);
static void handle_arrival(struct bench *b, struct flow *f);
static void apply_changes(struct bench *b, struct admission_changes *out);
static void start_running(struct bench *b, struct call *c);
static void finish_running(struct bench *b, int i);
static struct call *alloc_call(struct bench *b);
static void free_call(struct bench *b, struct call *c);
static double draw_exp(struct rng *r);
static double draw_service(struct rng *r, double mean);
static void print_scenario(const struct scenario *s, struct bench *by_policy);
static void print_json(const struct scenario *s, const struct bench *b,
    const struct flow *f, const char *metric, double value, const char *unit);
static void check_targets(const struct scenario *s, struct bench *b);
static double get_slot_share(const struct bench *b, const struct flow *f);
static double get_percent(long part, long whole);

static const struct argp_option options[] = {
    {"tables", 't', "DIR", 0, "Folder of grants.csv and workshop.csv", 0},
    {"json", 'j', "FILE", 0, "Write JSON lines here", 0},
    {"commit", 'c', "ID", 0, "Commit named in the JSON lines", 0},
    {"seconds", 's', "N", 0, "Measured time of each run", 0},
    {"seed", 'r', "N", 0, "Seed of arrivals and service times", 0},
    {0},
};

/*
 * Runs all scenarios. Exits with 1 if the policy in use misses a target of
 * docs/design.md 1.8.
 */
int
main(int argc, char **argv)
{
	struct argp argp = {options, parse_option, NULL,
	    "Compares admission policies in simulated time.", NULL, NULL, NULL};

	if (argp_parse(&argp, argc, argv, 0, NULL, NULL) != 0)
		return 2;
	if (opts.json != NULL && (json = fopen(opts.json, "w")) == NULL) {
		perror(opts.json);
		return 2;
	}
	for (int d = 0; d < 2; d++)
		run_deployment(d);
	if (json != NULL && fclose(json) != 0) {
		perror(opts.json);
		return 2;
	}
	printf("\n%s: %d targets missed\n", get_policy_name(ADMISSION_FLOORS),
	    missed_targets);
	return missed_targets == 0 ? 0 : 1;
}

/* Parses one option. */
static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	int64_t n = 0;

	switch (key) {
	case 't':
		opts.tables = arg;
		return 0;
	case 'j':
		opts.json = arg;
		return 0;
	case 'c':
		opts.commit = arg;
		return 0;
	case 's':
	case 'r':
		if (parse_i64(make_str(arg), 1, 3600, &n) != 0)
			argp_error(state, "give a number from 1 to 3600");
		if (key == 's')
			opts.seconds = (int)n;
		else
			opts.seed = (uint64_t)n;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Loads a deployment's table; exits the program if it is not valid. */
static struct table *
load_file(const char *name)
{
	static char text[FILE_MAX];
	char path[512];
	struct table *t = NULL;
	struct fault f = {0};
	size_t n;
	FILE *in;

	(void)snprintf(path, sizeof(path), "%s/%s.csv", opts.tables, name);
	in = fopen(path, "r");
	if (in == NULL) {
		perror(path);
		exit(2);
	}
	n = fread(text, 1, sizeof(text), in);
	(void)fclose(in);
	if (load_table_csv(make_str_n(text, n), 1, &t, &f) != 0) {
		(void)fprintf(stderr, "%s: %s\n", path, f.text);
		exit(2);
	}
	return t;
}

/* Runs each service of a deployment once. */
static void
run_deployment(int d)
{
	struct table *t = load_file(deployments[d]);

	for (size_t i = 0; i < t->row_count; i++) {
		struct scenario s = {.deployment = deployments[d],
		    .service = t->rows[i]->service,
		    .slots = deployment_slots[d]};
		bool seen = false;

		for (size_t k = 0; k < i; k++)
			seen =
			    seen || strcmp(t->rows[k]->service, s.service) == 0;
		if (!seen)
			run_service(t, &s);
	}
	unload_table(t);
}

/* Runs the scenarios of one service: none, least urgent, most urgent row. */
static void
run_service(const struct table *t, const struct scenario *base)
{
	static const int factors[] = {2, 5, 10};
	struct scenario s = *base;

	run_scenario(t, &s);
	for (int kind = 0; kind < 3; kind++) {
		s.overload_urgent = kind > 0;
		s.saturated = kind == 2;
		for (size_t i = 0; i < 3; i++) {
			s.factor = factors[i];
			run_scenario(t, &s);
		}
	}
}

/* Runs one scenario under every policy, with the same seed. */
static void
run_scenario(const struct table *t, const struct scenario *s)
{
	struct bench *by_policy =
	    calloc(ADMISSION_POLICY_COUNT, sizeof(*by_policy));

	if (by_policy == NULL)
		exit(2);
	for (int id = 0; id < ADMISSION_POLICY_COUNT; id++) {
		open_bench(&by_policy[id], t, s, id);
		set_loads(&by_policy[id], s);
		run_bench(&by_policy[id]);
		destroy_admission(by_policy[id].a);
		while (by_policy[id].free_calls != NULL) {
			struct call *c = by_policy[id].free_calls;

			by_policy[id].free_calls = c->next_free;
			free(c);
		}
	}
	print_scenario(s, by_policy);
	check_targets(s, &by_policy[ADMISSION_FLOORS]);
	free(by_policy);
}

/* Creates the admission and the flows of a service. */
static void
open_bench(struct bench *b, const struct table *t, const struct scenario *s,
    enum admission_policy_id id)
{
	struct admission_config cfg = {.policy = id, .slots = s->slots};
	struct admission_changes out = {0};

	b->policy = id;
	b->slots = s->slots;
	b->end_ns = WARMUP_NS + opts.seconds * NSEC_PER_SEC;
	seed_rng(&b->rng, opts.seed);
	if (create_admission(&cfg, 0, &b->a) != 0 ||
	    set_admission_table(b->a, t, make_str(s->service), 0, &out) != 0)
		exit(2);
	for (size_t i = 0; i < t->row_count; i++) {
		const struct row *r = t->rows[i];
		struct flow *f = &b->flows[b->flow_count];

		if (strcmp(r->service, s->service) != 0 ||
		    b->flow_count == ROWS_MAX)
			continue;
		f->row = r;
		f->index = find_admission_row(b->a, make_str(r->kind));
		f->service_ns = r->values[COL_TARGET_MS] *
				(double)NSEC_PER_MSEC / TARGET_DIVISOR;
		b->flow_count++;
	}
}

/* Sets the load of every row and draws its first arrival. */
static void
set_loads(struct bench *b, const struct scenario *s)
{
	struct flow *overloaded = find_overloaded(b, s->overload_urgent);
	double floors = 0;

	for (int i = 0; i < b->flow_count; i++)
		floors += b->flows[i].row->values[COL_FLOOR_PCT];
	for (int i = 0; i < b->flow_count; i++) {
		struct flow *f = &b->flows[i];
		double share = f->row->values[COL_FLOOR_PCT];

		f->load = s->saturated ? SATURATED_LOAD * share / 100 :
					 BASE_LOAD * share / floors;
		if (f == overloaded && s->factor != 0)
			f->load = s->factor;
		f->next_ns = (int64_t)(draw_exp(&b->rng) * f->service_ns /
				       (f->load * b->slots));
	}
}

/* Returns the flow with the lowest (most urgent) or highest rank. */
static struct flow *
find_overloaded(struct bench *b, bool urgent)
{
	struct flow *best = &b->flows[0];

	for (int i = 1; i < b->flow_count; i++) {
		int x = b->flows[i].row->values[COL_RANK];
		int y = best->row->values[COL_RANK];

		if (urgent ? x < y : x > y)
			best = &b->flows[i];
	}
	return best;
}

/* Runs the events in order of time until the end. */
static void
run_bench(struct bench *b)
{
	for (;;) {
		struct admission_changes out = {0};
		int64_t at = get_admission_wakeup(b->a, b->now);
		int finish = -1, flow = -1;

		for (int i = 0; i < b->running_count; i++) {
			if (b->running[i].done_ns < at) {
				at = b->running[i].done_ns;
				finish = i;
			}
		}
		for (int i = 0; i < b->flow_count; i++) {
			if (b->flows[i].next_ns < at) {
				at = b->flows[i].next_ns;
				flow = i;
			}
		}
		if (at >= b->end_ns)
			break;
		b->now = at;
		if (flow >= 0) {
			handle_arrival(b, &b->flows[flow]);
		} else if (finish >= 0) {
			finish_running(b, finish);
		} else {
			expire_calls(b->a, b->now, &out);
			apply_changes(b, &out);
		}
	}
	b->now = b->end_ns;
	while (b->running_count > 0) {
		struct call *c = b->running[--b->running_count].call;
		int64_t from = c->admission.started;

		from = from < WARMUP_NS ? WARMUP_NS : from;
		c->flow->slot_ns += (double)(b->now - from);
		free_call(b, c);
	}
}

/* Offers a call and draws the next arrival of its row. */
static void
handle_arrival(struct bench *b, struct flow *f)
{
	struct admission_changes out = {0};
	struct call *c = alloc_call(b);
	struct admit_verdict v;

	c->flow = f;
	c->measured = b->now >= WARMUP_NS;
	c->service_ns = (int64_t)draw_service(&b->rng, f->service_ns);
	c->admission.token = c;
	c->admission.deadline = start_deadline(
	    b->now, DEADLINE_ABSENT, f->row->values[COL_DEADLINE_MS]);
	f->offered += c->measured ? 1 : 0;
	f->next_ns =
	    b->now + 1 +
	    (int64_t)(draw_exp(&b->rng) * f->service_ns / (f->load * b->slots));
	v = offer_call(b->a, &c->admission, f->index, b->now, &out);
	apply_changes(b, &out);
	if (v.action == ADMIT_RUN)
		start_running(b, c);
	if (v.action == ADMIT_REFUSED) {
		f->refused += c->measured ? 1 : 0;
		free_call(b, c);
	}
}

/* Starts the calls that were admitted and frees those that were refused. */
static void
apply_changes(struct bench *b, struct admission_changes *out)
{
	struct admission_call *next;

	for (struct admission_call *c = out->run; c != NULL; c = next) {
		next = c->next;
		start_running(b, c->token);
	}
	for (struct admission_call *c = out->refused; c != NULL; c = next) {
		struct call *call = c->token;

		next = c->next;
		call->flow->refused += call->measured ? 1 : 0;
		free_call(b, call);
	}
	*out = (struct admission_changes){0};
}

/* Puts a call into a slot of the server. */
static void
start_running(struct bench *b, struct call *c)
{
	struct running r = {b->now + c->service_ns, c};

	if (b->running_count == b->slots) {
		(void)fprintf(stderr, "the admission started more calls than "
				      "there are slots\n");
		exit(3);
	}
	b->running[b->running_count++] = r;
}

/* Ends a running call and counts its result. */
static void
finish_running(struct bench *b, int i)
{
	struct admission_changes out = {0};
	struct call *c = b->running[i].call;
	const struct row *r = c->flow->row;
	int64_t from =
	    c->admission.started < WARMUP_NS ? WARMUP_NS : c->admission.started;
	int64_t took = b->now - c->admission.arrived;

	b->running[i] = b->running[--b->running_count];
	finish_call(
	    b->a, &c->admission, OUTCOME_RAN, c->service_ns, b->now, &out);
	if (b->now > from)
		c->flow->slot_ns += (double)(b->now - from);
	if (c->measured) {
		c->flow->in_target +=
		    took <= r->values[COL_TARGET_MS] * NSEC_PER_MSEC;
		c->flow->in_deadline +=
		    took <= r->values[COL_DEADLINE_MS] * NSEC_PER_MSEC;
	}
	free_call(b, c);
	apply_changes(b, &out);
}

/* Takes a call from the pool. */
static struct call *
alloc_call(struct bench *b)
{
	struct call *c = b->free_calls;

	if (c != NULL)
		b->free_calls = c->next_free;
	else
		c = malloc(sizeof(*c));
	if (c == NULL)
		exit(2);
	memset(c, 0, sizeof(*c));
	return c;
}

/* Returns a call to the pool. */
static void
free_call(struct bench *b, struct call *c)
{
	c->next_free = b->free_calls;
	b->free_calls = c;
}

/* Draws from the exponential distribution of mean 1. */
static double
draw_exp(struct rng *r)
{
	return -log(1 - draw_unit(r));
}

/* Draws a lognormal service time of the given mean. */
static double
draw_service(struct rng *r, double mean)
{
	double u = sqrt(-2 * log(1 - draw_unit(r)));
	double z = u * cos(2 * M_PI * draw_unit(r));

	return mean * exp(SERVICE_TIME_SIGMA * z -
			  SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2) +
	       1;
}

/* Prints one scenario: a line for each row, a column for each policy. */
static void
print_scenario(const struct scenario *s, struct bench *by_policy)
{
	const struct flow *overloaded =
	    find_overloaded(&by_policy[0], s->overload_urgent);

	printf("\n%s/%s, %d slots, ", s->deployment, s->service, s->slots);
	if (s->factor == 0)
		printf("no flood\n");
	else
		printf("%s flooded %dx, others %s\n", overloaded->row->kind,
		    s->factor,
		    s->saturated ? "at twice their floors" : "as usual");
	printf("%-18s %4s %5s", "row", "rank", "floor");
	for (int id = 0; id < ADMISSION_POLICY_COUNT; id++)
		printf(" | %-18s", get_policy_name(id));
	printf("\n%-18s %4s %5s", "", "", "");
	for (int id = 0; id < ADMISSION_POLICY_COUNT; id++)
		printf(" | %6s %6s %4s", "target", "good/s", "slot");
	printf("\n");
	for (int i = 0; i < by_policy[0].flow_count; i++) {
		const struct row *r = by_policy[0].flows[i].row;

		printf("%-18s %4d %4d%%", r->kind, r->values[COL_RANK],
		    r->values[COL_FLOOR_PCT]);
		for (int id = 0; id < ADMISSION_POLICY_COUNT; id++) {
			const struct bench *b = &by_policy[id];
			const struct flow *f = &b->flows[i];
			double in_target =
			    get_percent(f->in_target, f->offered);
			double good = (double)f->in_deadline / opts.seconds;
			double slot = get_slot_share(b, f);

			printf(
			    " | %5.1f%% %6.1f %3.0f%%", in_target, good, slot);
			print_json(s, b, f, "share_in_target", in_target, "%");
			print_json(s, b, f, "goodput", good, "calls/s");
			print_json(s, b, f, "slot_share", slot, "%");
		}
		printf("\n");
	}
}

/* Writes one JSON line. */
static void
print_json(const struct scenario *s, const struct bench *b,
    const struct flow *f, const char *metric, double value, const char *unit)
{
	if (json == NULL)
		return;
	(void)fprintf(json,
	    "{\"experiment\":\"policy\",\"params\":{\"deployment\":\"%s\","
	    "\"service\":\"%s\",\"slots\":%d,\"flood\":\"%s\",\"factor\":%d,"
	    "\"others\":\"%s\",\"policy\":\"%s\",\"row\":\"%s\",\"seed\":%llu},"
	    "\"metric\":\"%s\",\"value\":%.3f,\"unit\":\"%s\","
	    "\"commit\":\"%s\"}\n",
	    s->deployment, s->service, s->slots,
	    s->factor == 0     ? "none" :
	    s->overload_urgent ? "most_urgent" :
				 "least_urgent",
	    s->factor, s->saturated ? "saturated" : "usual",
	    get_policy_name(b->policy), f->row->kind,
	    (unsigned long long)opts.seed, metric, value, unit, opts.commit);
}

/*
 * Checks the policy in use against docs/design.md 1.8. When the least urgent
 * row is overloaded, 99% of the calls of the most urgent one are answered
 * within its target. When the most urgent row is overloaded, every other one
 * gets its floor of slot time, or all that it offers if that is less.
 */
static void
check_targets(const struct scenario *s, struct bench *b)
{
	struct flow *top = find_overloaded(b, true);

	if (s->factor == 0)
		return;
	if (!s->overload_urgent) {
		double in_target = get_percent(top->in_target, top->offered);

		if (in_target < 99) {
			printf("MISSED: %s %.2f%% within target\n",
			    top->row->kind, in_target);
			missed_targets++;
		}
		return;
	}
	for (int i = 0; i < b->flow_count; i++) {
		struct flow *f = &b->flows[i];
		double floor_pct = f->row->values[COL_FLOOR_PCT];
		double used = get_slot_share(b, f);

		if (f == top || used >= floor_pct)
			continue;
		if (!s->saturated && f->refused == 0)
			continue;
		printf("MISSED: %s %.2f%% of slot time, floor %.0f%%\n",
		    f->row->kind, used, floor_pct);
		missed_targets++;
	}
}

/* Returns the share of all slot time that a row used, in percent. */
static double
get_slot_share(const struct bench *b, const struct flow *f)
{
	return 100 * f->slot_ns / ((double)(b->end_ns - WARMUP_NS) * b->slots);
}

/* Returns part of whole in percent; 100 if whole is 0. */
static double
get_percent(long part, long whole)
{
	return whole == 0 ? 100 : 100.0 * (double)part / (double)whole;
}
