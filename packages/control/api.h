/*
 * The operators' API without its transport: requests in, answers out.
 */
#ifndef API_H
#define API_H

#include <jansson.h>

#include "service.h"

#define API_BODY_MAX (4 * 1024 * 1024) /* bytes of a request */
#define API_COMMAND_MS 5000 /* longest wait for a change */

struct api_request {
	const char *method;
	const char *path;
	const char *author; /* operator */
	struct str body;
	/* Value of a query argument or NULL. */
	const char *(*get_argument)(void *arg, const char *name);
	void *arg;
};

struct api_answer {
	int status; /* of HTTP */
	const char *type; /* of the body */
	struct buf body;
};

void run_api(
    struct control *c, const struct api_request *q, struct api_answer *a);

/* Parts of run_api() */
typedef void (*api_fn)(
    struct control *c, const struct api_request *q, struct api_answer *a);

void run_edit(
    struct control *c, const struct api_request *q, struct api_answer *a);
void run_import(
    struct control *c, const struct api_request *q, struct api_answer *a);
void run_revert(
    struct control *c, const struct api_request *q, struct api_answer *a);
void run_check(
    struct control *c, const struct api_request *q, struct api_answer *a);
void run_members(
    struct control *c, const struct api_request *q, struct api_answer *a);

json_t *make_status_json(struct control *c);
json_t *make_endpoints_json(struct control *c);

/* Brings a command to the leader and waits for its result. */
int wait_command(
    struct control *c, struct str bytes, int timeout_ms, struct buf *out);

/* Answers */
void answer_json(struct api_answer *a, int status, json_t *o); /* takes o */
void answer_error(struct api_answer *a, int status, const char *error,
    const char *text, bool retriable);
json_t *make_cells_json(struct str cells); /* of encode_cells() */

#endif
