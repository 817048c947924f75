/*
 * Connections between nodes: frames of many calls on one connection. A frame
 * is a head of 12 bytes (payload length, type, stream; big endian) and a
 * payload, mostly one message of hop.x. All functions belong to the reactor's
 * thread.
 */
#ifndef HOP_H
#define HOP_H

#include <rpc/rpc.h>

#include "base.h"
#include "gen/hop_xdr.h"
#include "reactor.h"

#define HOP_PAYLOAD_MAX (64 * 1024 * 1024) /* bytes; a longer one closes */
#define HOP_PIECE_BYTES (16 * 1024) /* of a body that is sent in pieces */
/*
 * A link with calls under way that hears nothing sends a ping after the first
 * time and counts as silent after the second. The sum of both stays below the
 * time that a call with a target of a second can lose.
 */
#define HOP_PING_NS (250 * NSEC_PER_MSEC)
#define HOP_SILENT_NS (600 * NSEC_PER_MSEC)

enum hop_type {
	HOP_HELLO = 1, /* struct hop_hello */
	HOP_WELCOME, /* struct hop_welcome */
	HOP_OFFER, /* struct hop_offer, and the body if body_here */
	HOP_GRANT, /* struct hop_grant */
	HOP_BODY, /* bytes of a body */
	HOP_ANSWER, /* struct hop_answer and the body */
	HOP_REFUSE, /* struct hop_refuse */
	HOP_FAIL, /* struct hop_fail */
	HOP_CANCEL, /* empty: the answer is not wanted any more */
	HOP_LOAD, /* struct hop_load */
	HOP_PING, /* empty */
	HOP_PONG, /* empty */
};

/* State of the backend server beside a serving node. */
enum hop_state {
	HOP_STATE_DOWN = 0, /* no backend server that takes calls */
	HOP_STATE_READY = 1,
	HOP_STATE_LEAVING = 2, /* it ends, or its node does */
};

struct hop_link;

struct hop_frame {
	enum hop_type type;
	uint32_t stream; /* chosen by the entry node; 0: of the link */
	struct str payload; /* valid during the callback */
};

/* Callbacks of a link; after on_close the owner calls close_hop(). */
struct hop_events {
	void (*on_frame)(void *arg, const struct hop_frame *f);
	void (*on_close)(void *arg, const char *why);
	void (*on_silent)(void *arg); /* once until something is heard */
	void (*on_drained)(void *arg); /* unsent bytes are few again */
};

/* Opens a connection; frames may be sent at once. address is "IP:port". */
int connect_hop(struct reactor *r, const char *address,
    const struct hop_events *events, void *arg, struct hop_link **out);
int accept_hop(struct reactor *r, int fd, const struct hop_events *events,
    void *arg, struct hop_link **out); /* takes fd, also on error */
void close_hop(struct hop_link *l); /* frees it; may run in a callback */

/* Queues a frame: an XDR value (proc may be NULL) and raw bytes behind it. */
void send_hop(struct hop_link *l, enum hop_type type, uint32_t stream,
    xdrproc_t proc, const void *value, struct str tail);
/* Watches for silence while calls are under way. */
void set_hop_busy(struct hop_link *l, bool busy);

/* Queries */
size_t get_hop_unsent(const struct hop_link *l); /* bytes */
bool was_hop_connected(const struct hop_link *l); /* frames may have left */
bool is_hop_silent(const struct hop_link *l);

/* Decodes the message at the start of a payload; rest is what follows it. */
int decode_hop(
    struct str payload, xdrproc_t proc, void *value, struct str *rest);
void unload_hop(xdrproc_t proc, void *value); /* of decode_hop() */

/* Sockets, shared by all connections of a node */
int parse_hop_address(const char *address, struct sockaddr_storage *out,
    socklen_t *len); /* "IP:port"; ERR_INVALID */
int start_connect(const char *address, int *fd); /* does not block */

#endif
