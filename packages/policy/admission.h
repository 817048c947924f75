/*
 * Admission at the serving node: which call gets a slot of one backend server,
 * which waits and which is refused. Pure: the caller passes the monotonic time
 * and serializes access. Every offered call has exactly one end: it runs until
 * finish_call(), is refused, or is cancelled.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include "outcome.h"
#include "table.h"

struct admission;

/* Ways to share the slots. */
enum admission_policy_id {
	ADMISSION_FCFS, /* first come, first served, no limits */
	ADMISSION_STRICT, /* strict priority by rank */
	ADMISSION_FAIR, /* weighted fair */
	ADMISSION_FLOORS, /* strict priority, floors, shedding: the default */
	ADMISSION_GAIN, /* marginal gain */
	ADMISSION_POLICY_COUNT
};

enum call_state {
	CALL_NEW,
	CALL_WAITING,
	CALL_RUNNING,
	CALL_ENDED,
};

/*
 * A call, embedded in the caller's own object. The caller sets token, deadline
 * and perhaps target, leaves the rest zero, and keeps it until its end.
 */
struct admission_call {
	void *token; /* the caller's object */
	int64_t deadline; /* mono ns */
	/*
	 * An answer after this is late, mono ns; 0: none. Calls that are late
	 * wait behind all others, and only while slots come free for them.
	 */
	int64_t target;
	bool no_wait; /* refused as busy where it would wait */
	int64_t body_bytes; /* asked for when the call runs; 0: none */
	enum call_state state; /* from here on owned by the module */
	enum refuse_reason reason; /* when refused */
	int64_t retry_after_ns; /* when refused */
	int64_t arrived; /* mono ns */
	int64_t started; /* mono ns */
	uint64_t seq; /* order of arrival */
	int64_t order; /* in its lane: target or deadline */
	int64_t late_since; /* mono ns; in a lane of late calls */
	int lane;
	size_t heap_index;
	struct admission_call *next; /* in a list of changes */
};

enum admit_action {
	ADMIT_RUN, /* dispatch now */
	ADMIT_QUEUED, /* a later change says run or refused */
	ADMIT_REFUSED, /* not run */
};

/* The answer to an offer. */
struct admit_verdict {
	enum admit_action action;
	enum refuse_reason reason; /* when refused */
	int64_t retry_after_ns; /* when refused */
};

/* Waiting calls whose state an operation changed, linked by next. */
struct admission_changes {
	struct admission_call *run; /* dispatch now, in this order */
	struct admission_call *refused; /* see their reason */
};

struct admission_config {
	enum admission_policy_id policy;
	int slots; /* announced by the backend server */
	bool cold; /* slow start from creation */
	bool fixed_limit; /* no adaptive limit */
	int64_t link_rate; /* bytes a second that bodies share; 0: no bound */
};

/* Counts for metrics and X-Ggs-Load. */
struct admission_load {
	int in_flight;
	int queued;
	int slots; /* announced */
	int limit; /* slots in use at most now */
	int64_t body_wait_ns; /* until a new body could begin to come */
};

int create_admission(
    const struct admission_config *cfg, int64_t now, struct admission **out);
void destroy_admission(struct admission *a); /* no call may be left */

/* Switches to the rows of a service; calls keep the row they began with. */
int set_admission_table(struct admission *a, const struct table *t,
    struct str service, int64_t now, struct admission_changes *out);
/*
 * For a service with very many rows: rows are taken up when calls of them
 * come. open_admission_row() returns the index for offer_call(), or ERR_MEMORY;
 * refresh_admission_rows() takes over the cells of a new table. Only calls of
 * such rows may have a target. Calls of an urgent row go before all others.
 */
int open_admission_row(struct admission *a, const struct row *r, bool urgent);
void refresh_admission_rows(struct admission *a, const struct table *t,
    int64_t now, struct admission_changes *out);
/* Index of a kind for offer_call(), valid until the next table. */
int find_admission_row(const struct admission *a, struct str kind);

/* Operations; out receives other calls that start or are refused. */
struct admit_verdict offer_call(struct admission *a, struct admission_call *c,
    int row, int64_t now, struct admission_changes *out);
/*
 * Refuses a call that offer_call() would refuse now; ADMIT_QUEUED says that it
 * may be offered. For calls that cost something before they are offered.
 */
struct admit_verdict check_offer(
    struct admission *a, int row, int64_t deadline, int64_t now);
void finish_call(struct admission *a, struct admission_call *c,
    enum call_outcome outcome, int64_t service_ns, int64_t now,
    struct admission_changes *out); /* NOT_RUN: the server itself shed it */
/* Bytes of a running call's body came. */
void note_body_bytes(struct admission *a, struct admission_call *c,
    int64_t bytes, int64_t now, struct admission_changes *out);
int cancel_call(struct admission *a, struct admission_call *c, int64_t now,
    struct admission_changes *out); /* ERR_INVALID: not waiting */
void expire_calls(
    struct admission *a, int64_t now, struct admission_changes *out);
void set_admission_slots(
    struct admission *a, int slots, int64_t now, struct admission_changes *out);
/* Refuses every waiting call as draining; later offers are admitted. */
void refuse_waiting(
    struct admission *a, int64_t now, struct admission_changes *out);
void drain_admission(
    struct admission *a, int64_t now, struct admission_changes *out);

/* Queries */
struct admission_load get_admission_load(
    const struct admission *a, int64_t now);
int get_row_in_flight(const struct admission *a, int row);
int get_row_queued(const struct admission *a, int row);
int64_t get_row_service_ns(const struct admission *a, int row); /* estimate */
/* Time at which expire_calls() is next useful; INT64_MAX: never. */
int64_t get_admission_wakeup(const struct admission *a, int64_t now);
const char *get_policy_name(enum admission_policy_id id); /* "floors", ... */

#endif
