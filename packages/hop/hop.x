/*
 * Messages between nodes on the way of a call. rpcgen makes gen/hop_xdr.h and
 * gen/hop_xdr.c from this file; both are committed (gen.sh makes them anew).
 */

const HOP_NAME_MAX = 64;           /* bytes of a name */
const HOP_ID_MAX = 128;            /* bytes of a call's id */
const HOP_TARGET_MAX = 65536;      /* bytes of a path with its query */
const HOP_HEAD_MAX = 1048576;      /* bytes of header lines */

/* What the serving node can do; entry nodes choose by it. */
struct hop_load {
	int state;                 /* enum hop_state */
	int in_flight;             /* calls that the backend server runs */
	int queued;                /* calls that wait */
	int limit;                 /* calls that it may run at a time */
	unsigned int service_us;   /* recent mean of a run; 0: not known */
	unsigned int failed_ppm;   /* recent share of runs that failed */
	unsigned int body_wait_us; /* until a new body could begin to come */
};

/* The entry node introduces itself. */
struct hop_hello {
	string node<HOP_NAME_MAX>;
	string zone<HOP_NAME_MAX>;
};

/* The serving node's answer; load follows whenever its state changes. */
struct hop_welcome {
	string node<HOP_NAME_MAX>;
	string service<HOP_NAME_MAX>;
	hop_load load;
};

/* A call; a short body follows in the same frame. */
struct hop_offer {
	string service<HOP_NAME_MAX>;
	string kind<HOP_NAME_MAX>; /* row of the table */
	string id<HOP_ID_MAX>;
	string method<HOP_NAME_MAX>;
	string caller_service<HOP_NAME_MAX>;
	opaque target<HOP_TARGET_MAX>;
	opaque head<HOP_HEAD_MAX>; /* header lines that are passed on */
	int rank;
	bool repeatable;
	hyper target_us;           /* time left to answer in time; may be < 0 */
	hyper deadline_us;         /* time left at all */
	unsigned hyper body_len;
	bool may_wait;             /* else it is refused where it would wait */
	bool body_here;            /* in this frame; else sent after GRANT */
};

/* The call has a slot: send the body. */
struct hop_grant {
	hop_load load;
};

/* The backend server's answer; its body follows in the same frame. */
struct hop_answer {
	int status;
	opaque head<HOP_HEAD_MAX>;
	bool sealed;               /* the backend server signed it */
	unsigned int service_us;   /* time at the backend server */
	hop_load load;
};

/* The call has not run and will not. */
struct hop_refuse {
	int reason;                /* enum refuse_reason */
	unsigned int retry_ms;     /* when to come back */
	bool arrived;              /* the backend server itself refused it */
	hop_load load;
};

/* No answer will come; the call may have run unless not_sent. */
struct hop_fail {
	int cause;                 /* enum attempt_end */
	bool not_sent;
	hop_load load;
};
