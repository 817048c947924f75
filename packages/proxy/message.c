/*
 * Builds the request headers for the next hop and converts answers to results.
 */
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "call.h"

#define HEADER_BYTES 256 /* of a generated header line, with NUL */

static struct curl_slist *add_number(
    struct curl_slist *l, const char *name, int64_t n);
static struct curl_slist *add_text(
    struct curl_slist *l, const char *name, const char *value);
static struct curl_slist *add_passed_headers(
    struct curl_slist *l, const struct call *c);

/*
 * Builds the headers of a request to another node (hop) or to the backend
 * server. Headers that curl would add by itself are disabled. now is mono ns;
 * the caller frees the list.
 */
struct curl_slist *
make_headers(const struct call *c, bool hop, int chain_budget, int64_t now)
{
	struct curl_slist *l = NULL;

	l = add_text(l, "X-Ggs-Kind", c->kind);
	l = add_text(l, "X-Ggs-Call-Id", c->id);
	l = add_number(l, "X-Ggs-Deadline-Ms",
	    get_next_hop_deadline_ms(now, c->deadline, CALL_HOP_MARGIN_NS));
	l = add_number(l, "X-Ggs-Depth", c->depth);
	l = add_number(l, "X-Ggs-Retry-Budget", chain_budget);
	if (c->key[0] != '\0')
		l = add_text(l, "Idempotency-Key", c->key);
	if (hop)
		l = add_text(l, "X-Ggs-Hop", "serve");
	l = curl_slist_append(l, "Expect:");
	return add_passed_headers(l, c);
}

/*
 * Moves a transfer's answer into r and classifies it. For a transfer that is
 * aborted before its end, end is the reason; ATTEMPT_ANSWERED keeps the facts
 * that the transfer itself recorded.
 */
void
consume_answer(struct result *r, struct transfer *t, bool repeatable, bool hop,
    enum attempt_end end)
{
	const struct transfer_answer *ans = get_transfer_answer(t);
	struct attempt_facts f = ans->facts;

	if (end != ATTEMPT_ANSWERED) {
		f = (struct attempt_facts){
		    .end = end, .bytes_sent = is_transfer_sent(t)};
	}
	f.repeatable = repeatable;
	f.call_id_required = hop;
	r->verdict = classify_attempt(&f);
	r->reason = REFUSE_NONE;
	r->chain_budget = RETRY_BUDGET_ABSENT;
	if (f.end != ATTEMPT_ANSWERED || r->verdict.close_connection) {
		snprintf(r->reason_text, sizeof(r->reason_text), "%s",
		    r->verdict.why);
		return;
	}
	r->answered = true;
	r->reason = ans->reason;
	r->retry_after_ns = ans->retry_after_ns;
	r->chain_budget = ans->chain_budget;
	r->load = ans->load;
	snprintf(r->reason_text, sizeof(r->reason_text), "%.*s",
	    (int)ans->reason_text.len,
	    ans->reason_text.data != NULL ? ans->reason_text.data : "");
	(void)append_buf_str(&r->head, ans->head);
	r->body_len = ans->body.len;
	r->body = detach_transfer_body(t);
}

static struct curl_slist *
add_number(struct curl_slist *l, const char *name, int64_t n)
{
	char line[HEADER_BYTES];

	snprintf(line, sizeof(line), "%s: %lld", name, (long long)n);
	return curl_slist_append(l, line);
}

static struct curl_slist *
add_text(struct curl_slist *l, const char *name, const char *value)
{
	char line[HEADER_BYTES];

	snprintf(line, sizeof(line), "%s: %s", name, value);
	return curl_slist_append(l, line);
}

/*
 * Adds the caller's own headers. Curl's Accept and Content-Type are disabled
 * unless the caller sent these headers.
 */
static struct curl_slist *
add_passed_headers(struct curl_slist *l, const struct call *c)
{
	const char *at = c->head.data;
	const char *end = c->head.data + c->head.len;
	bool accept = false, type = false;

	for (; at < end; at += strlen(at) + 1) {
		accept |= strncasecmp(at, "Accept:", 7) == 0;
		type |= strncasecmp(at, "Content-Type:", 13) == 0;
		l = curl_slist_append(l, at);
	}
	if (!accept)
		l = curl_slist_append(l, "Accept:");
	if (!type)
		l = curl_slist_append(l, "Content-Type:");
	return l;
}
