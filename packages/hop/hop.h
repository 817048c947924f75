/*
 * Links between nodes: one TCP connection that carries the frames of many
 * calls. A frame is a header of 12 bytes (payload length, type, stream; big
 * endian) and a payload, usually one message of hop.x. Call all functions on
 * the reactor's thread only.
 */
#ifndef HOP_H
#define HOP_H

#include <rpc/rpc.h>

#include "base.h"
#include "gen/hop_xdr.h"
#include "reactor.h"

/* Bytes; more closes the link. The longest body fits with its message. */
#define HOP_PAYLOAD_MAX (68 * 1024 * 1024)
#define HOP_BODY_CHUNK_BYTES (16 * 1024) /* bytes of a body in one HOP_BODY */
/*
 * Times since the last bytes from the peer, on a link with calls in flight:
 * after the first a ping is sent, after the second the link is reported as
 * unresponsive. Their sum is below the delay that a call with a target of 1 s
 * can afford.
 */
#define HOP_PING_NS (250 * NSEC_PER_MSEC)
#define HOP_UNRESPONSIVE_NS (600 * NSEC_PER_MSEC)

enum hop_type {
	/* HELLO, WELCOME and LOAD may be followed by a struct hop_notice. */
	HOP_HELLO = 1, /* struct hop_hello */
	HOP_WELCOME, /* struct hop_welcome */
	HOP_OFFER, /* struct hop_offer, and the body if body_here */
	HOP_GRANT, /* struct hop_grant */
	HOP_BODY, /* part of a body */
	HOP_ANSWER, /* struct hop_answer and the body */
	HOP_REFUSE, /* struct hop_refuse */
	HOP_FAIL, /* struct hop_fail */
	HOP_CANCEL, /* empty: the answer is no longer needed */
	HOP_LOAD, /* struct hop_load */
	HOP_PING, /* empty */
	HOP_PONG, /* empty */
	HOP_TERMS, /* struct hop_terms, of the offer that follows */
	HOP_ANSWER_PART, /* struct hop_answer_part and the piece */
	HOP_TYPE_END
};

/* State of the backend server beside a serving node. */
enum hop_state {
	HOP_STATE_DOWN = 0, /* no backend server accepts calls */
	HOP_STATE_READY = 1,
	HOP_STATE_LEAVING = 2, /* it or its node is shutting down */
};

struct hop_link;

struct hop_frame {
	enum hop_type type;
	uint32_t stream; /* call, numbered by the entry node; 0: the link */
	struct str payload; /* valid during the callback */
};

/*
 * Callbacks of a link, on the reactor's thread. All may call close_hop(); the
 * owner has to call it after on_close.
 */
struct hop_events {
	void (*on_frame)(void *arg, const struct hop_frame *f);
	void (*on_close)(void *arg, const char *why); /* why: for logs */
	void (*on_unresponsive)(void *arg); /* once, until bytes arrive */
	void (*on_drained)(void *arg); /* a backlog has been sent */
};

/*
 * Opens a link; frames can be queued at once. address is "IP:port". Errors as
 * of start_connect(), and ERR_MEMORY.
 */
int connect_hop(struct reactor *r, const char *address,
    const struct hop_events *events, void *arg, struct hop_link **out);
int accept_hop(struct reactor *r, int fd, const struct hop_events *events,
    void *arg, struct hop_link **out); /* takes over fd, also on error */
void close_hop(struct hop_link *l); /* frees it */

/* Queues a frame: an XDR value (none if proc is NULL), then the bytes tail. */
void send_hop(struct hop_link *l, enum hop_type type, uint32_t stream,
    xdrproc_t proc, const void *value, struct str tail);
/* Checks that the peer responds while busy (calls are in flight). */
void set_hop_busy(struct hop_link *l, bool busy);

/* Queries */
size_t get_hop_unsent(const struct hop_link *l); /* bytes */
bool was_hop_connected(const struct hop_link *l); /* may have sent frames */
bool is_hop_unresponsive(const struct hop_link *l);

/* Appends a message, to be the tail of a frame; ERR_MEMORY, ERR_INVALID. */
int append_hop_message(struct buf *b, xdrproc_t proc, const void *value);
/* Decodes the message at the start of a payload; rest is the remainder. */
int decode_hop_message(
    struct str payload, xdrproc_t proc, void *value, struct str *rest);
void unload_hop_message(xdrproc_t proc, void *value); /* frees its memory */

/* Sockets, for all outgoing connections of a node */
int parse_hop_address(const char *address, struct sockaddr_storage *out,
    socklen_t *len); /* "IP:port"; ERR_INVALID */
int start_connect(const char *address, int *fd); /* does not block */

#endif
