/*
 * The operators' API, independent of its HTTP transport.
 */
#ifndef API_H
#define API_H

#include <jansson.h>

#include "service.h"

#define API_BODY_MAX (4 * 1024 * 1024) /* bytes */
#define API_COMMAND_MS 5000 /* timeout of a change */

struct api_request {
	const char *method;
	const char *path;
	const char *author; /* name of the operator */
	struct str body;
	/* Returns the value of a query argument, or NULL. */
	const char *(*get_argument)(void *arg, const char *name);
	void *arg; /* of get_argument */
};

struct api_answer {
	int status; /* HTTP status code */
	const char *type; /* Content-Type */
	struct buf body; /* freed by the transport */
};

void serve_api(
    struct control *c, const struct api_request *q, struct api_answer *a);

/* Request handlers of serve_api() */
typedef void (*api_fn)(
    struct control *c, const struct api_request *q, struct api_answer *a);

void serve_edit(
    struct control *c, const struct api_request *q, struct api_answer *a);
void serve_import(
    struct control *c, const struct api_request *q, struct api_answer *a);
void serve_revert(
    struct control *c, const struct api_request *q, struct api_answer *a);
void serve_check(
    struct control *c, const struct api_request *q, struct api_answer *a);
void serve_members(
    struct control *c, const struct api_request *q, struct api_answer *a);
/* api_rollouts.c */
void serve_rollout_start(
    struct control *c, const struct api_request *q, struct api_answer *a);
void serve_rollout_status(
    struct control *c, const struct api_request *q, struct api_answer *a);

/* Both take the service lock; the caller frees the value. */
json_t *make_status_json(struct control *c);
json_t *make_endpoints_json(struct control *c);

/*
 * Submits a command and waits for its outcome: 0 with the encoded result in
 * out, or an error of submit_command(). The caller frees out.
 */
int wait_command(
    struct control *c, struct str bytes, int timeout_ms, struct buf *out);

/* Answers */
void answer_json(struct api_answer *a, int status, json_t *o); /* frees o */
void answer_error(struct api_answer *a, int status, const char *error,
    const char *text, bool retriable);
json_t *make_cells_json(struct str cells); /* from encode_cells() */

#endif
