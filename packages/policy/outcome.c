/*
 * Outcome of an attempt. The rule behind every case: the outcome is "not run"
 * only if no byte of the request can have reached the backend server or the
 * server itself said so, and a damaged answer never counts as a success.
 */
#include "outcome.h"

#define STATUS_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT 504
#define STATUS_NOT_FOUND 404
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304

static const char *const outcome_names[] = {
    [OUTCOME_RAN] = "ran",
    [OUTCOME_FAILED] = "failed",
    [OUTCOME_NOT_RUN] = "not-run",
    [OUTCOME_UNKNOWN] = "unknown",
};

static const char *const refuse_names[] = {
    [REFUSE_NONE] = "none",
    [REFUSE_OVERLOAD] = "overload",
    [REFUSE_DEADLINE] = "deadline",
    [REFUSE_DRAINING] = "draining",
    [REFUSE_NO_ENDPOINT] = "no-endpoint",
    [REFUSE_NO_TABLE] = "no-table",
    [REFUSE_NO_QUORUM] = "no-quorum",
    [REFUSE_UNKNOWN_KIND] = "unknown-kind",
    [REFUSE_BUSY] = "busy",
    [REFUSE_BODY_MEMORY] = "body-memory",
    [REFUSE_KEY] = "key",
    [REFUSE_ALLOTMENT] = "allotment",
};

static struct attempt_verdict make_not_run(const char *why, bool close);
static struct attempt_verdict make_unknown(
    const struct attempt_facts *f, const char *why);
static struct attempt_verdict make_failed(const struct attempt_facts *f);
static struct attempt_verdict classify_answer(const struct attempt_facts *f);
static struct attempt_verdict classify_header(const struct attempt_facts *f);
static const char *find_defect(const struct attempt_facts *f);
static int find_name(
    struct str name, const char *const *names, size_t count, int *out);

/*
 * Classifies an attempt. An answer that arrives before any byte of the request
 * was sent belongs to an earlier use of the connection, so the attempt has not
 * run and the connection is closed.
 */
struct attempt_verdict
classify_attempt(const struct attempt_facts *f)
{
	struct attempt_verdict v;

	if (f->end == ATTEMPT_NOT_CONNECTED)
		return make_not_run("no connection to the endpoint", true);
	if (!f->bytes_sent) {
		v = make_not_run("nothing of the request was sent", true);
		if (f->end == ATTEMPT_CANCELLED)
			v.may_retry = false;
		return v;
	}
	switch (f->end) {
	case ATTEMPT_BROKEN:
		return make_unknown(f, "the connection broke before an answer");
	case ATTEMPT_TIMEOUT:
		return make_unknown(f, "no complete answer in time");
	case ATTEMPT_CANCELLED:
		v = make_unknown(f, "cancelled after the request was sent");
		v.may_retry = false;
		return v;
	case ATTEMPT_NOT_CONNECTED:
	case ATTEMPT_ANSWERED:
		break;
	}
	return classify_answer(f);
}

/* Returns the X-Ggs-Outcome value of an outcome. */
const char *
get_outcome_name(enum call_outcome o)
{
	return outcome_names[o];
}

/* Parses an X-Ggs-Outcome value. Returns ERR_NOT_FOUND for other text. */
int
parse_outcome(struct str name, enum call_outcome *out)
{
	int i = 0;
	int rc = find_name(name, outcome_names,
	    sizeof(outcome_names) / sizeof(outcome_names[0]), &i);

	if (rc == 0)
		*out = (enum call_outcome)i;
	return rc;
}

/* Returns the X-Ggs-Reason value of a refusal. */
const char *
get_refuse_name(enum refuse_reason r)
{
	return refuse_names[r];
}

/* Parses an X-Ggs-Reason value. Returns ERR_NOT_FOUND for other text. */
int
parse_refuse_reason(struct str name, enum refuse_reason *out)
{
	int i = 0;
	int rc = find_name(name, refuse_names,
	    sizeof(refuse_names) / sizeof(refuse_names[0]), &i);

	if (rc == 0)
		*out = (enum refuse_reason)i;
	return rc;
}

/* Returns the verdict "not run"; such a call may always be sent again. */
static struct attempt_verdict
make_not_run(const char *why, bool close)
{
	return (struct attempt_verdict){.outcome = OUTCOME_NOT_RUN,
	    .may_retry = true,
	    .close_connection = close,
	    .status = STATUS_UNAVAILABLE,
	    .why = why};
}

/*
 * Returns the verdict "unknown"; a call that may have run is sent again only if
 * its row is repeatable.
 */
static struct attempt_verdict
make_unknown(const struct attempt_facts *f, const char *why)
{
	return (struct attempt_verdict){.outcome = OUTCOME_UNKNOWN,
	    .may_retry = f->repeatable,
	    .close_connection = true,
	    .status = STATUS_GATEWAY_TIMEOUT,
	    .why = why};
}

/*
 * Returns the verdict "failed". A 5xx answer permits another attempt if the row
 * is repeatable; a 4xx answer would only be repeated.
 */
static struct attempt_verdict
make_failed(const struct attempt_facts *f)
{
	return (struct attempt_verdict){.outcome = OUTCOME_FAILED,
	    .may_retry = f->repeatable && f->status >= 500,
	    .status = f->status,
	    .why = "the backend server failed the call"};
}

/* Classifies an attempt whose status line and headers arrived. */
static struct attempt_verdict
classify_answer(const struct attempt_facts *f)
{
	const char *defect = find_defect(f);

	if (defect != NULL)
		return make_unknown(f, defect);
	if (f->has_outcome)
		return classify_header(f);
	if (f->call_id_required)
		return make_unknown(f, "the node's answer has no outcome");
	if (f->status >= 400)
		return make_failed(f);
	return (struct attempt_verdict){
	    .outcome = OUTCOME_RAN, .status = f->status, .why = "ran"};
}

/*
 * Classifies an answer by X-Ggs-Outcome. A header that contradicts the status
 * is not trusted: "not run" with status 200 may hide that the call ran.
 */
static struct attempt_verdict
classify_header(const struct attempt_facts *f)
{
	struct attempt_verdict v;

	switch (f->outcome) {
	case OUTCOME_NOT_RUN:
		if (f->status != STATUS_UNAVAILABLE &&
		    f->status != STATUS_NOT_FOUND)
			return make_unknown(
			    f, "outcome not-run contradicts the status");
		v = make_not_run("refused by the endpoint", false);
		v.status = f->status;
		return v;
	case OUTCOME_FAILED:
		if (f->status < 400)
			return make_unknown(
			    f, "outcome failed contradicts the status");
		return make_failed(f);
	case OUTCOME_RAN:
		if (f->status >= 500)
			return make_failed(f);
		return (struct attempt_verdict){
		    .outcome = OUTCOME_RAN, .status = f->status, .why = "ran"};
	case OUTCOME_UNKNOWN:
		break;
	}
	v = make_unknown(f, "the endpoint does not know the outcome");
	v.close_connection = false;
	return v;
}

/*
 * Returns why an answer cannot be the complete answer to this call, or NULL if
 * it can. 204 and 304 have no body, regardless of their Content-Length.
 */
static const char *
find_defect(const struct attempt_facts *f)
{
	bool bodyless =
	    f->status == STATUS_NO_CONTENT || f->status == STATUS_NOT_MODIFIED;

	if (f->status < 200 || f->status > 599)
		return "the answer has no final status";
	if (f->has_call_id && !f->call_id_matches)
		return "the answer belongs to another call";
	if (f->call_id_required && !f->has_call_id)
		return "the node's answer has no call id";
	if (!f->body_ended)
		return "the answer is cut off";
	if (f->has_length && !bodyless && f->received != f->length)
		return "the answer's length differs from its header";
	return NULL;
}

/* Finds the index of a name, or returns ERR_NOT_FOUND. */
static int
find_name(struct str name, const char *const *names, size_t count, int *out)
{
	for (size_t i = 0; i < count; i++) {
		if (is_str_equal(name, make_str(names[i]))) {
			*out = (int)i;
			return 0;
		}
	}
	return ERR_NOT_FOUND;
}
