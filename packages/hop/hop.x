/*
 * Messages between the entry node and the serving node of a call. rpcgen
 * generates gen/hop_xdr.h and gen/hop_xdr.c from this file; both are committed
 * (gen.sh regenerates them).
 */

const HOP_NAME_MAX = 64;           /* bytes of a name */
/* Bytes of a path with its query; the longest head that the table allows. */
const HOP_TARGET_MAX = 1048576;
/* Bytes of header lines; those that are passed on may be written longer. */
const HOP_HEAD_MAX = 2097152;

/* Load of a serving node, from which entry nodes choose a peer. */
struct hop_load {
	int state;                 /* enum hop_state */
	int in_flight;             /* calls at the backend server */
	int queued;                /* calls that wait for a slot */
	int limit;                 /* most calls in flight at a time */
	unsigned int service_us;   /* recent mean service time; 0: unknown */
	unsigned int failed_ppm;   /* recent share of failed calls */
	unsigned int body_wait_us; /* until a new body can be accepted */
};

/*
 * What a backend server said of itself, in its answers or reports. Its serving
 * node appends it to HOP_WELCOME and HOP_LOAD, followed by one for each instance
 * before it that leaves or has left; start_ms of these is their latest start. In
 * case the serving node has started again meanwhile, other nodes append its last
 * notices to their HOP_HELLO, and to HOP_WELCOME behind their own.
 */
struct hop_notice {
	string node<HOP_NAME_MAX>;     /* serving node */
	string instance<HOP_NAME_MAX>; /* of the backend server */
	hyper start_ms;                /* of that instance, Unix ms */
	double rate_per_s;             /* limit of its calls; < 0: none */
	bool leaving;
};

/* First message on a link: identifies the entry node. */
struct hop_hello {
	string node<HOP_NAME_MAX>;
	string zone<HOP_NAME_MAX>;
};

/* Reply to hop_hello; HOP_LOAD follows whenever state changes. */
struct hop_welcome {
	string node<HOP_NAME_MAX>;
	string service<HOP_NAME_MAX>;
	hop_load load;
};

/* A call; the body follows in the same frame if body_here. */
struct hop_offer {
	string service<HOP_NAME_MAX>;
	string kind<HOP_NAME_MAX>; /* row of the table */
	opaque id<HOP_HEAD_MAX>;   /* of the call, complete; may be empty */
	string method<HOP_NAME_MAX>;
	string caller_service<HOP_NAME_MAX>;
	opaque target<HOP_TARGET_MAX>;
	opaque head<HOP_HEAD_MAX>; /* header lines to forward */
	int rank;
	bool repeatable;
	hyper target_us;           /* time left until the target; may be < 0 */
	hyper deadline_us;         /* time left until the deadline */
	unsigned hyper body_len;
	bool may_wait;             /* false: refuse it if no slot is free */
	bool body_here;            /* in this frame; else sent after GRANT */
};

/*
 * The client account of a call. Sent before the HOP_OFFER of the same stream,
 * and only for calls with an account, so that links of deployments without
 * accounts carry no further frames.
 */
struct hop_terms {
	string account<HOP_NAME_MAX>; /* of the client; "": none */
	unsigned int share;        /* weight among the accounts; 0: none */
};

/* The call has a slot; the entry node may send the body. */
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

/*
 * A piece of the body of a long answer. HOP_ANSWER with the last piece ends it;
 * the pieces sent before it begin at offset 0 and leave no gap.
 */
struct hop_answer_part {
	unsigned hyper offset;     /* of the piece that follows in the frame */
	unsigned hyper total;      /* bytes of the complete body */
};

/* The call has not run at this node and will not. */
struct hop_refuse {
	int reason;                /* enum refuse_reason */
	unsigned int retry_ms;     /* shortest delay before a retry */
	bool arrived;              /* refused by the backend server itself */
	hop_load load;
};

/* No answer will follow; the call may have run unless not_sent. */
struct hop_fail {
	int cause;                 /* enum attempt_end */
	bool not_sent;
	hop_load load;
};
