/*
 * State of a node and the functions that its modules share. Everything belongs
 * to the reactor's thread, but for what node.c says.
 */
#ifndef NODE_STATE_H
#define NODE_STATE_H

#include <pthread.h>

#include "hop.h"
#include "metric.h"
#include "node.h"
#include "origins.h"
#include "placement.h"
#include "policy.h"
#include "reactor.h"

#define NODE_LISTENERS_MAX 5
#define NODE_STREAM_SLOTS 64 /* of a link's table of calls */
#define REQUEST_TRIED_MAX 12 /* serving nodes that a call was offered to */
#define REQUEST_LOOKS_MAX 5 /* serving nodes that it looks at before */
#define REQUEST_NOTES_MAX 24 /* decisions remembered of a call */
#define CALL_ID_BYTES 129

struct caller;
struct request;
struct job;
struct peer;
struct peer_link;
struct service;
struct kind_stats;

/* Answers on one listening address. */
typedef void (*request_fn)(struct node *n, struct request *q);

struct listener {
	struct node *node;
	struct watch watch;
	request_fn handle;
};

/* What happened to a call, for the log. */
enum note_kind {
	NOTE_ROUTED, /* a: table version, b: time left ms */
	NOTE_OFFERED, /* text: peer, a: its in-flight, b: queued, c: age ms */
	NOTE_GRANTED, /* a: ms since offered */
	NOTE_REFUSED, /* text: peer, a: reason, b: retry ms, c: arrived */
	NOTE_FAILED, /* text: peer, a: cause, b: not sent */
	NOTE_ANSWERED, /* text: peer, a: status, b: backend us */
	NOTE_SILENT, /* text: peer */
	NOTE_NO_RETRY, /* text: why, a: arrivals */
	NOTE_CALLER_LEFT, /* a: ms since arrival */
	NOTE_EXPIRED, /* a: ms since arrival */
};

struct note {
	int64_t at; /* mono ns */
	enum note_kind kind;
	int32_t a, b, c;
	char text[24];
};

/* The cells of the row that a call follows, as of its arrival. */
struct call_terms {
	char kind[TABLE_NAME_BYTES];
	int rank;
	bool repeatable;
	int attempts; /* backend servers at most */
	int64_t target_ns;
	int64_t deadline_ns;
	uint64_t version; /* of the table */
};

/* One try of a call at a serving node. */
struct attempt {
	bool active;
	bool look; /* only for a slot that is free */
	struct peer *peer;
	struct peer_link *link; /* NULL: local */
	uint32_t stream;
	struct request *next_stream; /* in the link's table */
	struct job *job; /* local */
	int64_t started;
	bool body_sent; /* it may run from now on */
	bool granted;
	size_t body_at; /* bytes of the body that were queued */
	struct request *next_upload; /* of the link */
	bool uploading;
};

enum request_state {
	REQUEST_READING,
	REQUEST_RUNNING, /* an attempt is active or due */
	REQUEST_DONE,
};

/* A request of a caller, from its first byte to its answer. */
struct request {
	struct node *node;
	struct caller *caller; /* NULL: it hung up */
	enum request_state state;
	struct http_reader reader;
	int64_t arrived; /* mono ns; first byte */
	int64_t complete; /* mono ns; last byte */

	struct call_terms terms;
	struct service *service;
	struct kind_stats *stats;
	char id[CALL_ID_BYTES];
	struct buf head; /* header lines that are passed on */
	int64_t target_at; /* an answer is in time until; mono ns */
	int64_t deadline; /* mono ns */
	struct timer timer;
	struct attempt attempt;
	const struct peer *tried[REQUEST_TRIED_MAX];
	size_t tried_count;
	const struct peer *looked[REQUEST_LOOKS_MAX]; /* nothing was free */
	int looks;
	int offers; /* to serving nodes */
	int arrivals; /* at backend servers, as far as known */
	bool unknown; /* an attempt may have run */
	enum refuse_reason reason; /* of the last refusal */
	int64_t retry_after; /* ns; of the last refusal */
	struct job_answer *fallback; /* a failure, while another try runs */
	bool placed; /* counted in node->requests */
	struct note notes[REQUEST_NOTES_MAX];
	size_t note_count;
};

/* An answer of a backend server, whole. */
struct job_answer {
	int status;
	struct str head; /* header lines that are passed on */
	struct str body;
	bool sealed;
	int64_t service_ns; /* at the backend server */
};

/* How a job ends; exactly one of answered, refused and failed runs, last. */
struct job_events {
	void (*granted)(void *owner); /* the body may be given */
	void (*answered)(void *owner, const struct job_answer *a);
	void (*refused)(void *owner, enum refuse_reason reason,
	    int64_t retry_after, bool arrived);
	void (*failed)(void *owner, enum attempt_end cause, bool not_sent);
};

/* A call at the serving node. Strings live as long as the owner's job. */
struct job_spec {
	struct str kind;
	struct str id;
	struct str method;
	struct str target;
	struct str head;
	struct str caller_service;
	int rank;
	bool repeatable;
	bool may_wait; /* else it is refused as busy where it would wait */
	int64_t target_at; /* mono ns */
	int64_t deadline; /* mono ns */
	size_t body_len;
	struct str body; /* data NULL: given after granted() */
};

enum job_state {
	JOB_WAITING, /* for a slot, or for its first event */
	JOB_GRANTED, /* has a slot, waits for its body */
	JOB_RUNNING, /* handed to the backend connection */
	JOB_ENDED,
};

struct backend_conn; /* backend_conn.c */

/* A call at this node's backend server. */
struct job {
	struct node *node;
	struct job *next, **prev; /* in the node's list */
	enum job_state state;
	struct admission_call admission;
	struct job_spec spec;
	const struct job_events *events; /* NULL: nobody waits */
	void *owner;
	struct task task; /* the outcome of admission */
	bool refused; /* by admission */
	enum refuse_reason reason;
	int64_t retry_after;
	struct timer timer; /* deadline, or longest wait for the body */
	int64_t offered; /* mono ns */
	int64_t started; /* mono ns; has a slot */
	struct backend_conn *conn; /* while it runs */
	bool sent; /* bytes may have reached the backend server */
	bool resent; /* after the server had forgotten the connection */
};

/* A serving node as this entry node sees it. */
struct peer {
	struct peer *next; /* in the node's list */
	struct node *node;
	char id[NODE_ID_BYTES];
	char address[NODE_ADDRESS_BYTES];
	char service[TABLE_NAME_BYTES];
	uint64_t incarnation;
	bool local;
	bool same_zone;
	bool listed; /* in the present set */
	bool usable; /* by its announced state */
	int slots; /* announced */
	struct peer_link *link; /* for new calls; NULL: none */
	bool has_load;
	struct hop_load load;
	int64_t load_at;
	int own_at_load; /* calls of this node when it came */
	int in_flight; /* calls of this node */
	bool replaced; /* another node answers at its address */
	int failures; /* in a row, since it was heard; above 0: avoided */
	struct timer probe; /* opens a link without calls after failures */
};

/* A connection to a serving node. */
struct peer_link {
	bool welcomed; /* offers may be sent */
	struct peer_link *next; /* in the node's list */
	struct peer *peer; /* NULL once the peer is gone */
	struct node *node;
	struct hop_link *hop;
	struct timer timer; /* longest connecting */
	struct request *streams[NODE_STREAM_SLOTS];
	size_t stream_count;
	uint32_t last_stream;
	bool retired; /* takes no new calls; closes with its last one */
	struct request *uploads; /* bodies on their way, in turn */
	struct request **uploads_tail;
};

/* A service of the table: its serving nodes and its retry budget. */
struct service {
	struct service *next;
	char name[TABLE_NAME_BYTES];
	struct peer **peers;
	size_t peer_count;
	double tokens; /* retries that are left */
	int64_t tokens_at;
	bool wanted; /* named by the present table */
};

/* Calls of a window whose lines are written and left out. */
struct log_budget {
	const char *of; /* which calls */
	int64_t window; /* its number since the clock's start */
	int written, omitted;
};

/* What a node learnt of a kind of work. */
struct kind_stats {
	struct kind_stats *next;
	char kind[TABLE_NAME_BYTES];
	int64_t patience_ns; /* longest time that its callers wait */
	int64_t longest_ns; /* from a call's arrival to its deadline */
	int64_t run_ns; /* recent mean of a run; 0: not known */
	struct split_turn {
		char service[TABLE_NAME_BYTES];
		double credit;
	} turns[TABLE_SPLIT_MAX];
	size_t turn_count;
	uint64_t turn_split; /* hash of the cell; 0: none */
	struct origin_counts origin; /* of calls that this node served */
	struct log_budget routine_lines;
	uint64_t calls; /* of callers that ended */
	metric_id latency_us; /* 0: none */
};

struct backend; /* backend.c */
struct inbound_link; /* inbound.c */

struct node_metrics {
	metric_id calls_total, answers_total, refused_total, failed_total;
	metric_id retries_total, cancelled_total, served_total, shed_total;
	metric_id busy_total, body_wait_us;
	metric_id backend_connects_total, links_total, avoided_total;
	metric_id latency_us, queue_us, run_us;
	metric_id table_version, requests, runs, queued, in_flight, slots;
	metric_id backend_connections, backend_state, mean_run_us, failed_ppm;
	metric_id peers, peers_usable, peers_avoided, body_bytes;
	metric_id log_dropped_lines;
};

struct node {
	struct node_config cfg; /* strings below */
	char *texts[16];
	size_t text_count;
	struct reactor *reactor;
	pthread_t thread;
	struct rng rng;
	struct node_metrics metrics;
	struct listener listeners[NODE_LISTENERS_MAX];
	size_t listener_count;
	struct task refresh; /* posted by refresh_node() */

	const struct table *table; /* held; NULL before the first */
	int64_t idle_ns; /* limits of callers' connections, by the table */
	int64_t head_ns;
	size_t head_max, body_max;

	struct caller *callers;
	int requests; /* calls not yet answered */
	int64_t last_call; /* mono ns; arrival of the newest */
	size_t body_bytes; /* of bodies in memory */
	struct service *services;
	struct peer *peers;
	struct peer_link *links;
	struct kind_stats *kinds;

	struct admission *admission; /* NULL: no backend server */
	struct timer admission_timer;
	struct timer leaving_timer; /* waiting calls are refused */
	struct job *jobs;
	int job_count;
	struct backend *backend;
	struct inbound_link *inbound;
	enum hop_state state; /* of serving */
	int64_t service_ns; /* recent mean of a run; 0: not known */
	double failed_share; /* recent share of failed runs */
	struct origins origins; /* of the calls that it serves */
	struct log_budget failed_lines, late_lines; /* of callers' calls */
	struct log_budget failed_jobs, served_lines; /* of calls served */

	/* Stop */
	struct task drain; /* posted by drain_node() */
	struct timer leave_timer;
	int64_t leaving_at; /* mono ns; 0: not leaving */
	bool serve_ended; /* other nodes' calls are refused */
	pthread_mutex_t lock; /* of drained */
	pthread_cond_t drained_cond;
	bool drained;
};

/* node.c */
void note_idle(struct node *n); /* a call or job ended: maybe drained */

/* listen.c */
int add_listener(
    struct node *n, const char *address, request_fn handle, struct fault *f);
int bind_listener(const char *address, int *fd, struct fault *f);
void close_listeners(struct node *n);

/* caller.c */
void accept_callers(struct watch *w, uint32_t events);
void close_callers(struct node *n);
void close_idle_callers(struct node *n); /* no request is under way */
/* Sends an answer; frees the request. head holds header lines. */
void send_answer(
    struct request *q, int status, struct str head, struct str body);
void free_request(struct request *q);

/* request.c */
void take_call(struct node *n, struct request *q); /* whole request */
void abandon_request(struct request *q); /* the caller hung up */
void refuse_request(struct request *q, int status, enum refuse_reason reason,
    int64_t retry_after);

/* attempt.c */
void try_request(struct request *q); /* the next serving node */
void stop_attempt(struct request *q); /* its outcome is not wanted */
bool may_be_running(const struct request *q); /* at a backend server */
void note_refused(struct request *q, enum refuse_reason reason,
    int64_t retry_after, bool arrived);
void note_answered(struct request *q, const struct job_answer *a);
/* For calls on a link that went silent */
bool may_move_request(struct request *q);
void move_request(struct request *q);
void note_failed(struct request *q, enum attempt_end cause, bool not_sent);
void expire_request(struct timer *t);

/* services.c */
void refresh_services(struct node *n);
void clear_services(struct node *n);
struct service *find_node_service(struct node *n, const char *name);
struct kind_stats *find_kind(struct node *n, const char *kind);
const char *choose_part(
    struct node *n, struct kind_stats *k, const struct row *r);
bool take_retry(struct node *n, struct service *s); /* from the budget */
void add_retry_share(struct node *n, struct service *s); /* a new call */

/* links.c */
int offer_remote(struct request *q, struct peer *p);
void cancel_remote(struct request *q);
void take_load(struct peer *p, const struct hop_load *load);
void close_links(struct node *n);
void drop_peer_links(struct peer *p); /* the peer is being freed */

/* serve.c */
/* No event runs before it returns. */
int start_job(struct node *n, const struct job_spec *spec,
    const struct job_events *events, void *owner, struct job **out);
bool is_job_sent(const struct job *j); /* the backend server may run it */
void note_body(struct job *j, size_t bytes);
void give_body(struct job *j, struct str body); /* after granted() */
/* The owner is gone. A job that may not repeat runs on once it was sent. */
void cancel_job(struct job *j);
void limit_leaving(struct node *n); /* the backend server leaves */
void refresh_admission(struct node *n);
void drop_jobs(struct node *n);
struct hop_load get_own_load(struct node *n);
/* Outcomes from the backend connection */
void finish_job(struct job *j, const struct job_answer *a);
void fail_job(struct job *j, enum attempt_end cause, bool not_sent);
void reject_job(struct job *j); /* the backend server did not run it */

/* backend.c */
int open_backend(struct node *n);
void close_backend(struct node *n);
int run_at_backend(struct node *n, struct job *j); /* sends the call */
void abort_at_backend(struct node *n, struct job *j); /* closes */
void take_report(struct node *n, const struct backend_report *r);
int get_backend_slots(const struct node *n);
int count_backend_connections(const struct node *n);
const char *get_backend_instance(const struct node *n);

/* inbound.c */
void accept_links(struct watch *w, uint32_t events);
void tell_load(struct node *n); /* to all entry nodes */
void close_inbound(struct node *n);

/* own.c: ready, reports, metrics */
void answer_ready(struct node *n, struct request *q);
void answer_report(struct node *n, struct request *q);
void answer_metrics(struct node *n, struct request *q);

/* node_metrics.c */
void open_node_metrics(struct node_metrics *m);
void count_call_end(struct request *q, int status);
void refresh_node_metrics(struct node *n); /* gauges */

/* call_log.c */
void add_note(struct request *q, enum note_kind kind, const char *text, int a,
    int b, int c);
void log_request(struct request *q, int status, const char *outcome);
const char *get_end_name(enum attempt_end cause);
void log_job(const struct job *j, const char *outcome, const char *reason,
    int status, int64_t run_ns);

#endif
