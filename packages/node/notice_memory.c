/*
 * The last notices of other nodes' backend servers. A serving node that starts
 * again has forgotten what its backend server said; it gets the last notice
 * back with the first message of each entry node.
 */
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "node_state.h"

/* Few servers are in need or leaving at a time; above, the oldest goes. */
#define KNOWN_NOTICES_MAX 512

struct known_notice {
	struct known_notice *next; /* newest first */
	char node[NODE_ID_BYTES]; /* serving node */
	struct buf message; /* of struct hop_notice, as received */
};

static struct str cut_own_notices(
    const char *node, struct str message, bool *kept);
static struct known_notice *take_notice(struct node *n, const char *node);
static void free_notice(struct known_notice *k);

/*
 * Keeps the notices behind a message of a serving node. Notices that name no
 * limit and no leaving remove the former ones. No notice is ignored: the server
 * has said nothing yet, or the node is of an older build.
 */
void
remember_notice(struct node *n, const char *node, struct str message)
{
	struct known_notice *k;
	bool kept;

	message = cut_own_notices(node, message, &kept);
	if (message.len == 0)
		return;
	k = take_notice(n, node);
	if (kept && k == NULL)
		k = calloc(1, sizeof(*k));
	if (k == NULL)
		return;
	k->message.len = 0;
	if (!kept || copy_str(k->node, sizeof(k->node), make_str(node)) != 0 ||
	    append_buf_str(&k->message, message) != 0) {
		free_notice(k);
		return;
	}
	k->next = n->known_notices;
	n->known_notices = k;
	if (++n->known_notice_count > KNOWN_NOTICES_MAX) {
		while (k->next != NULL)
			k = k->next;
		free_notice(take_notice(n, k->node));
	}
}

/*
 * Returns the notices at the start of a message that are the node's own. *kept
 * is set to whether one of them is worth returning to it.
 */
static struct str
cut_own_notices(const char *node, struct str message, bool *kept)
{
	struct str left = message, rest;
	bool own = true;

	*kept = false;
	while (own && left.len > 0) {
		struct hop_notice m = {0};

		if (decode_hop_message(
			left, (xdrproc_t)xdr_hop_notice, &m, &rest) != 0) {
			write_log(LOG_LEVEL_WARNING,
			    "a notice of node %s cannot be read and is ignored",
			    node);
			break;
		}
		own = strcmp(m.node, node) == 0;
		if (own) {
			*kept = *kept || m.rate_per_s >= 0 || m.leaving;
			left = rest;
		}
		unload_hop_message((xdrproc_t)xdr_hop_notice, &m);
	}
	return make_str_n(message.data, message.len - left.len);
}

/*
 * Returns the last notices of a serving node, to be sent behind HELLO; empty
 * when there is none.
 */
struct str
get_known_notice(const struct node *n, const char *node)
{
	const struct known_notice *k = n->known_notices;

	while (k != NULL && strcmp(k->node, node) != 0)
		k = k->next;
	return k != NULL ? view_buf(&k->message) : make_str("");
}

void
clear_known_notices(struct node *n)
{
	while (n->known_notices != NULL)
		free_notice(take_notice(n, n->known_notices->node));
}

/*
 * Takes a notice out of the list; NULL when there is none.
 */
static struct known_notice *
take_notice(struct node *n, const char *node)
{
	struct known_notice **at = &n->known_notices, *k;

	while (*at != NULL && strcmp((*at)->node, node) != 0)
		at = &(*at)->next;
	k = *at;
	if (k == NULL)
		return NULL;
	*at = k->next;
	n->known_notice_count--;
	return k;
}

static void
free_notice(struct known_notice *k)
{
	unload_buf(&k->message);
	free(k);
}
