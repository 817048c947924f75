/*
 * Admission at the serving node: which call gets a slot of one backend server,
 * which one waits and which one is refused. Pure: the caller passes the
 * monotonic time and serializes access. Every offered call ends exactly once:
 * it runs until finish_call(), is refused, or is cancelled.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include "outcome.h"
#include "table.h"

struct admission;

/* How the slots are shared between the rows. */
enum admission_policy_id {
	ADMISSION_FCFS, /* first come, first served, no limits */
	ADMISSION_STRICT, /* strict priority by rank */
	ADMISSION_FAIR, /* weighted fair */
	ADMISSION_FLOORS, /* strict priority, floors, shedding: the default */
	ADMISSION_GAIN, /* largest marginal gain per slot */
	ADMISSION_POLICY_COUNT
};

enum call_state {
	CALL_NEW,
	CALL_WAITING,
	CALL_RUNNING,
	CALL_ENDED,
};

/*
 * A call, embedded in the caller's own object. The caller sets the fields up to
 * body_bytes, leaves the rest zero, and keeps the call until it ends.
 */
struct admission_call {
	void *token; /* the caller's object */
	int64_t deadline; /* mono ns */
	/*
	 * An answer after this is late, mono ns; 0: no target. Calls that will
	 * probably be late wait behind all others, and only while slots come
	 * free for late calls.
	 */
	int64_t target;
	bool no_wait; /* refused as busy instead of waiting */
	/*
	 * Client account, a hash of its name, and its weight among the
	 * accounts; 0: none. Calls beyond the account's share wait behind those
	 * of other accounts in the same row.
	 */
	uint64_t account;
	int share;
	int64_t body_bytes; /* requested when the call starts; 0: no body */
	/* This and all following fields are owned by the module. */
	enum call_state state;
	enum refuse_reason reason; /* when refused */
	int64_t retry_after_ns; /* when refused */
	int64_t arrived; /* mono ns */
	int64_t started; /* mono ns */
	uint64_t seq; /* order of arrival */
	int64_t
	    sort_key; /* sort key in its queue, mono ns: target or deadline */
	int64_t share_delay_ns; /* in sort_key; beyond the account's share */
	int64_t late_since; /* mono ns; when it joined the late queue */
	int queue;
	size_t heap_index;
	struct admission_call *next; /* in a list of changes */
};

enum admit_action {
	ADMIT_RUN, /* dispatch now */
	ADMIT_QUEUED, /* a later change says run or refused */
	ADMIT_REFUSED, /* not run */
};

/* The result of an offer. */
struct admit_verdict {
	enum admit_action action;
	enum refuse_reason reason; /* when refused */
	int64_t retry_after_ns; /* when refused */
};

/* Waiting calls whose state an operation changed, linked by next. */
struct admission_changes {
	struct admission_call *run; /* to dispatch now, in this order */
	struct admission_call *refused; /* with their reason set */
};

struct admission_config {
	enum admission_policy_id policy;
	int slots; /* announced by the backend server */
	bool cold; /* slow start: the limit rises from creation on */
	bool fixed_limit; /* no adaptive limit */
	int64_t link_rate; /* for bodies, bytes per second; 0: unlimited */
};

/* Counts for metrics and X-Ggs-Load. */
struct admission_load {
	int in_flight;
	int queued;
	int slots; /* announced */
	int limit; /* most slots that may be in use now */
	int64_t body_wait_ns; /* until the transfer of a new body could begin */
	double rate_per_s; /* limit of the rate of calls; 0: none */
	int64_t rate_wait_ns; /* until it admits the next call */
};

int create_admission(
    const struct admission_config *cfg, int64_t now, struct admission **out);
void destroy_admission(struct admission *a); /* all calls must have ended */

/*
 * Switches to the rows of a service; calls keep the row they began with.
 * Returns ERR_MEMORY.
 */
int set_admission_table(struct admission *a, const struct table *t,
    struct str service, int64_t now, struct admission_changes *out);
/*
 * For a service with very many rows: a row is opened when its first call
 * arrives. open_admission_row() returns the index for offer_call(), or
 * ERR_MEMORY; refresh_admission_rows() applies the cells of a new table. Only
 * calls of such rows may have a target. Calls of an urgent row go before all
 * others.
 */
int open_admission_row(struct admission *a, const struct row *r, bool urgent);
/* The same for calls of accounts with a rank of their own; rank 0: the row's. */
int open_account_row(
    struct admission *a, const struct row *r, int rank, bool urgent);
void refresh_admission_rows(struct admission *a, const struct table *t,
    int64_t now, struct admission_changes *out);
/*
 * Index of a kind for offer_call(), valid until the next table, or
 * ERR_NOT_FOUND.
 */
int find_admission_row(const struct admission *a, struct str kind);

/* Operations; out receives the waiting calls that start or are refused. */
struct admit_verdict offer_call(struct admission *a, struct admission_call *c,
    int row, int64_t now, struct admission_changes *out);
/*
 * Refuses a call that offer_call() would refuse now; ADMIT_QUEUED means that it
 * may be offered. For calls that are costly to prepare before the offer.
 */
struct admit_verdict check_offer(
    struct admission *a, int row, int64_t deadline, int64_t now);
void finish_call(struct admission *a, struct admission_call *c,
    enum call_outcome outcome, int64_t service_ns, int64_t now,
    struct admission_changes *out); /* NOT_RUN: the backend server shed it */
/* Counts received bytes of a running call's body. */
void record_body_bytes(struct admission *a, struct admission_call *c,
    int64_t bytes, int64_t now, struct admission_changes *out);
int cancel_call(struct admission *a, struct admission_call *c, int64_t now,
    struct admission_changes *out); /* ERR_INVALID: not waiting */
void expire_calls(
    struct admission *a, int64_t now, struct admission_changes *out);
void set_admission_slots(
    struct admission *a, int slots, int64_t now, struct admission_changes *out);
/* Calls per second that the backend server accepts; negative: unlimited. */
void set_admission_rate(struct admission *a, double per_s, int64_t now,
    struct admission_changes *out);
void record_resent_call(struct admission *a, int64_t now);
/* Refuses every waiting call as draining; later offers are admitted. */
void refuse_waiting_calls(
    struct admission *a, int64_t now, struct admission_changes *out);
void drain_admission(
    struct admission *a, int64_t now, struct admission_changes *out);

/* Queries */
struct admission_load get_admission_load(
    const struct admission *a, int64_t now);
int get_row_in_flight(const struct admission *a, int row);
int get_row_queued(const struct admission *a, int row);
int64_t get_row_service_ns(
    const struct admission *a, int row); /* recent mean; 0: unknown */
/* Mono ns at which expire_calls() should run next; INT64_MAX: never. */
int64_t get_admission_wakeup(const struct admission *a, int64_t now);
const char *get_policy_name(enum admission_policy_id id); /* "floors", ... */

#endif
