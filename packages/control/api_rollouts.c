/*
 * Requests that start a roll-out and show its state.
 */
#include <string.h>

#include "api.h"

static int get_rollout_status(int rc);

/*
 * Starts a roll-out: {service, version, duration_s}. The same order sent again
 * is accepted again.
 */
void
serve_rollout_start(
    struct control *c, const struct api_request *q, struct api_answer *a)
{
	json_t *o = json_loadb(
	    q->body.data != NULL ? q->body.data : "", q->body.len, 0, NULL);
	const char *service = json_string_value(json_object_get(o, "service"));
	const char *version = json_string_value(json_object_get(o, "version"));
	const json_t *duration = json_object_get(o, "duration_s");
	struct fault f = {0};
	int rc;

	if (service == NULL || version == NULL || !json_is_number(duration))
		rc = set_fault(&f, ERR_INVALID,
		    "send a JSON object with service and version as strings "
		    "and duration_s as a number");
	else
		rc = start_control_rollout(
		    c, service, version, json_number_value(duration), &f);
	if (rc == 0)
		answer_json(a, 200, json_pack("{s:b}", "accepted", 1));
	else
		answer_error(a, get_rollout_status(rc), get_err_name(rc),
		    f.text, get_rollout_status(rc) == 503);
	json_decref(o);
}

/*
 * Answers with the newest roll-out of the service named by the argument, after
 * a confirmed read.
 */
void
serve_rollout_status(
    struct control *c, const struct api_request *q, struct api_answer *a)
{
	const char *service = q->get_argument(q->arg, "service");
	struct control_rollout r;
	int rc;

	if (service == NULL) {
		answer_error(a, 400, "invalid",
		    "name the service: /v1/rollouts?service=NAME", false);
		return;
	}
	rc = read_control_rollout(c, service, &r);
	if (rc == 0)
		answer_json(a, 200,
		    json_pack("{s:s,s:s,s:s,s:f,s:s}", "service", service,
			"state", r.state, "version", r.target, "duration_s",
			r.duration_s, "reason", r.reason));
	else if (rc == ERR_NOT_FOUND)
		answer_error(a, 404, "not-found",
		    "no roll-out of this service was ordered", false);
	else
		answer_error(a, 503, "stale",
		    "this control process is cut off from the quorum; ask "
		    "another one",
		    true);
}

static int
get_rollout_status(int rc)
{
	switch (rc) {
	case ERR_INVALID:
		return 400;
	case ERR_CONFLICT:
		return 409;
	case ERR_NOT_FOUND:
		return 422;
	default:
		return 503;
	}
}
