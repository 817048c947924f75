/*
 * Keys of clients: which account a call belongs to, and calls without a valid
 * key. A key is only compared by its fingerprint and never leaves this file.
 */
#include <string.h>

#include "node_state.h"

/*
 * Retry-After for an unknown key while the node has no control process: it may
 * be in a table that has not arrived.
 */
#define RETRY_AFTER_UNKNOWN_NS (500 * NSEC_PER_MSEC)

static struct str find_client_key(struct request *q);
static bool has_body(const struct http_head *h);

/*
 * Says whether the call may run as far as its key is concerned, and finds its
 * account: NULL if the row needs no key and no valid one came.
 */
bool
identify_account(
    struct request *q, const struct row *r, const struct account **out)
{
	const struct table *t = q->node->table;

	*out = NULL;
	if (!has_accounts(t))
		return true;
	*out = find_key_account(t, find_client_key(q));
	return *out != NULL || !needs_key(t, r);
}

/*
 * Refuses a call without a valid key. An unknown key is answered 503 while no
 * control process answers, because the node may lack the version that has it.
 */
void
refuse_key(struct request *q)
{
	struct node *n = q->node;

	count_metric(n->metrics.key_refusals_total, 1);
	if (find_client_key(q).len > 0 && !is_agent_attached(n->cfg.agent))
		refuse_request(q, 503, REFUSE_KEY, RETRY_AFTER_UNKNOWN_NS);
	else
		refuse_request(q, 401, REFUSE_KEY, 0);
}

/*
 * Refuses a call by its head if a body follows and it has no valid key: the
 * body is not read, and the connection ends with the answer. Calls without a
 * body are decided in route_call(), which leaves the connection open.
 */
bool
refuse_head(struct node *n, struct request *q)
{
	const struct account *a;
	const struct row *r;

	if (n->table == NULL || !has_accounts(n->table) ||
	    !has_body(&q->reader.head))
		return false;
	r = find_call_row(n, q);
	if (r == NULL || identify_account(q, r, &a))
		return false;
	begin_call(n, q);
	refuse_key(q);
	return true;
}

/*
 * Sets the account, its share and its rank for the call.
 */
void
set_call_account(struct request *q, const struct account *a)
{
	struct call_policy *p = &q->policy;

	if (a == NULL)
		return;
	memcpy(p->account, a->name, sizeof(p->account));
	p->share = get_account_share(q->node->table, a);
	if (a->rank != 0)
		p->rank = a->rank;
}

/*
 * Returns the key in "SCHEME KEY"; empty if there is none, if the header comes
 * twice or if it is malformed.
 */
static struct str
find_client_key(struct request *q)
{
	const struct call_names *names = &q->node->cfg.names;
	const struct http_head *h = &q->reader.head;
	struct str v = make_str(""), scheme;
	size_t at = 0;
	int found = 0;

	for (size_t i = 0; names->key != NULL && i < h->header_count; i++) {
		if (is_http_name_equal(h->headers[i].name, names->key)) {
			v = h->headers[i].value;
			found++;
		}
	}
	while (at < v.len && v.data[at] != ' ')
		at++;
	scheme = make_str_n(v.data, at);
	if (found != 1 || names->key_scheme == NULL ||
	    !is_http_name_equal(scheme, names->key_scheme))
		return make_str("");
	while (at < v.len && v.data[at] == ' ')
		at++;
	v = make_str_n(v.data + at, v.len - at);
	return check_account_key(v, NULL) == 0 ? v : make_str("");
}

static bool
has_body(const struct http_head *h)
{
	struct str len = find_http_header(h, "content-length");

	return find_http_header(h, "transfer-encoding").data != NULL ||
	       (len.data != NULL && !is_str_equal(len, make_str("0")));
}
