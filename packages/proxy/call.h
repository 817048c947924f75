/*
 * Objects of the call pipeline that the modules of this package share. A call
 * belongs to the listener's thread until its body is complete, then to the
 * loop, and from its answer on to the listener's thread again.
 */
#ifndef CALL_H
#define CALL_H

#include <microhttpd.h>
#include <pthread.h>

#include "budget.h"
#include "loop.h"
#include "policy.h"
#include "proxy.h"
#include "rows.h"
#include "transfer.h"

#define CALL_ID_BYTES 65 /* X-Ggs-Call-Id with NUL */
#define CALL_KEY_BYTES (WIRE_KEY_MAX + 1) /* Idempotency-Key with NUL */
#define CALL_METHOD_BYTES 16
#define CALL_NOTE_BYTES 48 /* X-Ggs-Reason with NUL */
#define CALL_ATTEMPTS_MAX 7 /* first, 5 retries, 1 hedge */
#define CALL_DEPTH_MAX 32 /* a longer chain is taken for a routing loop */
/* Time kept back from a deadline for the way back over one hop. */
#define CALL_HOP_NS (1 * NSEC_PER_MSEC)
#define CONNECT_MS 500 /* longest time to open a connection */

struct call;
struct claim;
struct service;

/* How an attempt ended, with the answer when there is one. */
struct result {
	struct attempt_verdict verdict;
	enum refuse_reason reason;
	char note[CALL_NOTE_BYTES]; /* X-Ggs-Reason when reason does not say */
	int64_t retry_after_ns;
	bool answered; /* a whole answer came from a peer */
	int chain_budget; /* from the answer, RETRY_BUDGET_ABSENT */
	struct returned_load load;
	struct buf head; /* headers of the answer */
	char *body;
	size_t body_len;
};

enum serve_state {
	SERVE_IDLE,
	SERVE_CLAIM, /* waits for the answer to its claim */
	SERVE_HELD, /* an earlier run holds the key; asks again later */
	SERVE_QUEUED, /* waits for a slot */
	SERVE_RUNNING, /* dispatched to the backend server */
};

/* An attempt at this node's own backend server. */
struct serve {
	enum serve_state state;
	struct admission_call admission;
	struct claim *claim; /* opening or granted */
	struct loop_timer timer; /* asks again for a held key */
	int64_t held_until; /* mono ns; 0: not held so far */
	int64_t offered; /* mono ns */
	int64_t dispatched; /* mono ns */
};

/* One attempt of a call at one endpoint. */
struct attempt {
	struct call *call;
	struct attempt *next_done; /* in the proxy's list of ended attempts */
	bool active; /* in flight, or ended and not yet looked at */
	bool picked; /* ref is to be given back */
	bool local;
	bool hedge;
	bool queued_done;
	struct pick_ref ref;
	int chain_sent; /* chain budget that the request carried */
	int64_t started; /* mono ns */
	struct transfer *transfer;
	struct serve serve;
	struct result result;
};

struct call {
	struct proxy *proxy;
	struct MHD_Connection *conn;
	struct call *next, **prev; /* in the proxy's list, loop thread */
	struct loop_task task;

	/* The request */
	char *target;
	char method[CALL_METHOD_BYTES];
	char kind[TABLE_NAME_BYTES];
	char id[CALL_ID_BYTES];
	char key[CALL_KEY_BYTES];
	struct buf head; /* end-to-end headers, each ended by NUL */
	char *body;
	size_t body_len, body_cap;
	int64_t reserved; /* bytes of the body budget */
	bool hop; /* from an entry node: serve it here */
	int depth;
	int chain_header; /* X-Ggs-Retry-Budget */
	int64_t arrived; /* mono ns */
	int64_t deadline; /* mono ns */
	const struct table *table; /* kept to the end of the call */
	const struct row *row; /* NULL: refused early */
	struct row_state *stats;

	/* The listener's state */
	bool begun;
	bool refused; /* the answer is set; discard the rest of the body */
	bool waits_budget;
	size_t discarded;

	/* The loop's state */
	struct loop_watch watch; /* the caller's connection */
	bool watching;
	struct loop_timer timer; /* deadline */
	struct loop_timer step; /* next retry, hedge or look at endpoints */
	void (*step_fn)(struct call *c);
	struct service *service;
	int64_t completed; /* mono ns, whole request here */
	int64_t outside_ns; /* spent in queues, claims and at peers */
	int64_t set_wait_until; /* mono ns, for a missing endpoint set */
	int chain_budget;
	int attempt_count;
	int retry_count;
	bool maybe_ran; /* an earlier attempt may have run */
	bool hedged;
	bool graced; /* past its deadline, waits for the serving node */
	struct attempt attempts[CALL_ATTEMPTS_MAX];

	/* The answer */
	bool ended;
	int status;
	enum call_outcome outcome;
	struct result answer;
};

/* The proxy and its parts. */
struct proxy {
	struct proxy_config cfg; /* strings below */
	char node[WIRE_NAME_MAX + 1];
	char zone[WIRE_NAME_MAX + 1];
	char listen[PROXY_ADDRESS_BYTES];
	char admin_listen[PROXY_ADDRESS_BYTES];
	char service[TABLE_NAME_BYTES];
	char backend[PROXY_ADDRESS_BYTES];
	char health_path[128];
	struct loop *loop;
	struct transfer_pool *transfers;
	struct budget *budget;
	struct MHD_Daemon *front;
	struct MHD_Daemon *admin;
	int port, admin_port;

	/* Any thread, atomic */
	bool draining;
	bool drain_asked;
	bool stopping;
	int active; /* calls begun and not yet answered */
	int suspended; /* connections that the loop has to resume */
	int budget_waiting; /* of these, bodies that wait for memory */
	int claims_open; /* claim requests without an answer */
	uint64_t body_version; /* table version that check_body_memory() saw */
	bool body_short; /* some of its rows allow longer bodies than fit */
	uint64_t id_count;
	uint64_t id_seed;

	/* Waiters for the end of calls */
	pthread_mutex_t lock;
	pthread_cond_t idle;

	/* Loop thread only */
	struct rng rng;
	struct call *calls;
	struct call *budget_calls; /* wait for the body budget */
	struct attempt *done, **done_tail;
	struct service *services;
	struct admission *admission; /* NULL: no backend server */
	uint64_t admission_version;
	struct loop_timer admission_timer;
	struct health *health;
	struct claim *claims;
	int64_t drain_started; /* mono ns; 0: not draining */
};

/* front.c */
int open_front(struct proxy *p, struct fault *f);
bool suspend_call(struct call *c); /* false: the proxy stops */
void resume_call(struct call *c); /* loop thread */
void refuse_early(struct call *c, int status, enum refuse_reason reason,
    const char *note); /* listener's thread: sets the answer */

/* listener.c */
int open_listener(const char *address, int *fd, int *port, struct fault *f);

/* request.c */
void read_request(struct call *c); /* headers, row, limits */
void count_end(struct call *c); /* counters of an answered call */

/* uploads.c */
/* Reports rows whose body_max_kb the node's body memory cannot hold. */
void check_body_memory(struct proxy *p, const struct table *t);
void wait_for_budget(struct call *c); /* listener's thread, suspended */
void release_body(struct call *c); /* any thread */

/* entry.c */
void start_call(struct loop_task *t); /* the whole request is here */
void end_attempt(struct attempt *a); /* result is set; looked at later */
bool settle_attempts(void *arg);
void cancel_calls(struct proxy *p); /* ends every call */
void limit_calls(struct proxy *p); /* drain: by the rows' drain_s */
void answer_call(struct call *c, struct result *r);
struct result make_refusal(
    enum refuse_reason reason, const char *note, int status);
void unload_result(struct result *r);

/* serve.c */
int open_admission(struct proxy *p, bool cold);
void start_serve(struct attempt *a);
void stop_serve(struct attempt *a, enum attempt_end end); /* sets result */
void update_admission(struct proxy *p);
void drain_queues(struct proxy *p);
void continue_serve(struct attempt *a, const struct claim_result *r);

/* message.c */
struct curl_slist *make_headers(
    const struct call *c, bool hop, int chain_budget, int64_t now);
void take_answer(struct result *r, struct transfer *t, bool repeatable,
    bool hop, enum attempt_end end);

/* claim.c */
int open_claim(struct attempt *a, struct claim **out);
void close_claim(struct claim *cl, enum wire_claim_state state,
    const struct result *r); /* gives cl up */
void forget_claim(struct claim *cl); /* the owner no longer waits */
void unload_claims(struct proxy *p);

/* services.c */
struct service *find_service(struct proxy *p, const char *name);
int refresh_service(struct proxy *p, struct service *s, int64_t now);
struct picker *get_service_picker(const struct service *s);
void unload_services(struct proxy *p);
int render_services(struct proxy *p, struct buf *out);

/* health.c */
int open_health(struct proxy *p);
void close_health(struct proxy *p);
void announce_drain(struct proxy *p);
void note_backend_result(struct proxy *p, enum attempt_end end);
const char *get_health_name(const struct proxy *p);

/* admin.c */
int open_admin(struct proxy *p, struct fault *f);

#endif
