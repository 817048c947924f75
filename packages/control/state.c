/*
 * Applies commands to the state; saves and loads snapshots.
 */
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "state.h"
#include "wire.h"

/* A longer record could be saved, but not loaded again. */
_Static_assert(COMMAND_CSV_MAX + COMMAND_SOURCE_MAX + 64 <= WIRE_VALUE_MAX,
    "the head of a snapshot fits");

static void apply_change(struct state *s, int64_t wall_ns,
    const struct command *c, struct buf *result);
static void install_change(struct state *s, int64_t wall_ns,
    const struct command *c, struct edit_outcome *o, struct buf *result);
static int encode_outcome(const struct edit_outcome *o, struct buf *out);
static int encode_status(
    const struct state *s, int status, const char *text, struct buf *out);
static int encode_leavings(
    const struct state *s, const char *node, struct buf *out);
static int find_stored_answer(
    const struct state *s, const struct command *c, struct buf *out);
static void abort_on_error(int rc);
static int save_head(const struct state *s, struct buf *out);
static int load_record(struct state *s, enum stored_type type, struct str body);
static int load_head(struct state *s, struct str body);
static int load_version(struct state *s, struct str body);
static int load_stored_answer(struct state *s, struct str body);
static int load_stored_claim(struct state *s, struct str body);
static int check_history(const struct state *s);

int
open_state(size_t claims_max, struct state **out)
{
	struct state *s = calloc(1, sizeof(*s));

	if (s == NULL)
		return ERR_MEMORY;
	s->table = make_empty_table();
	s->claims.max = claims_max;
	if (s->table == NULL) {
		free(s);
		return ERR_MEMORY;
	}
	*out = s;
	return 0;
}

void
close_state(struct state *s)
{
	if (s == NULL)
		return;
	reset_state(s);
	unload_table(s->table);
	free(s);
}

/*
 * Empties the state. Out of memory, the old table stays, as s->table must never
 * be NULL.
 */
void
reset_state(struct state *s)
{
	struct table *t = make_empty_table();

	clear_history(&s->history);
	clear_answers(&s->answers);
	clear_claims(&s->claims);
	unload_buf(&s->source);
	s->rollouts = (struct rollout_list){0};
	clear_leavings(&s->leavings);
	s->log_ns = 0;
	if (t == NULL)
		return;
	unload_table(s->table);
	s->table = t;
}

void
apply_state(struct state *s, int64_t log_ns, int64_t wall_ns, struct str bytes,
    struct buf *result)
{
	struct command_result r = {.table_version = s->table->version};
	const char *text = "";
	struct command c;

	if (log_ns > s->log_ns)
		s->log_ns = log_ns;
	if (decode_command(bytes, &c) != 0) {
		abort_on_error(encode_status(s, ERR_INVALID,
		    "the command is malformed; upgrade the control processes "
		    "to one release",
		    result));
		return;
	}
	expire_answers(&s->answers, s->log_ns);
	if (c.body.type == COMMAND_CLAIM) {
		apply_claim(&s->claims, s->log_ns, &c, &r);
		abort_on_error(r.status == ERR_MEMORY ? ERR_MEMORY : 0);
		abort_on_error(encode_command_result(&r, result));
	} else if (c.body.type == COMMAND_ROLLOUT) {
		int rc = apply_rollout(&s->rollouts, s->table, s->log_ns,
		    &c.body.command_body_u.rollout, &text);

		abort_on_error(encode_status(s, rc, text, result));
	} else if (c.body.type == COMMAND_ROLLOUT_STEP) {
		apply_rollout_step(
		    &s->rollouts, &c.body.command_body_u.rollout_step);
		abort_on_error(encode_status(s, 0, "", result));
	} else if (c.body.type == COMMAND_LEAVINGS) {
		const struct command_leavings *l =
		    &c.body.command_body_u.leavings;

		abort_on_error(apply_leavings(&s->leavings, s->log_ns, l));
		abort_on_error(encode_leavings(s, l->node, result));
	} else {
		apply_change(s, wall_ns, &c, result);
	}
	unload_command(&c);
}

/*
 * Conflicts are not answered early; they go through the log. So does what this
 * leader may refuse only because it has not applied yet what another process
 * had when it made the command: a replacement, which holds no difference then,
 * and an edit of a later version. It may have been accepted already. So the
 * table of a replacement isn't built here: with 2,000 rows that takes tens of
 * ms, for which the replica's thread would wait for the lock.
 */
bool
answer_early(const struct state *s, struct str bytes, struct buf *result)
{
	struct edit_outcome o;
	struct command c;
	bool early;
	int rc;

	if (decode_command(bytes, &c) != 0)
		return encode_status(s, ERR_INVALID, "the command is malformed",
			   result) == 0;
	if (c.body.type == COMMAND_CLAIM || c.body.type == COMMAND_ROLLOUT ||
	    c.body.type == COMMAND_ROLLOUT_STEP ||
	    c.body.type == COMMAND_LEAVINGS) {
		unload_command(&c);
		return false;
	}
	rc = find_stored_answer(s, &c, result);
	early = rc == 0;
	if (rc == ERR_NOT_FOUND && c.body.type == COMMAND_REPLACE) {
		early = find_accepted_replacement(&s->history, &c, &o) &&
			encode_outcome(&o, result) == 0;
	} else if (rc == ERR_NOT_FOUND && c.base <= s->table->version) {
		decide_edit(
		    &s->history, s->table, view_buf(&s->source), &c, &o);
		early = (o.status == ERR_INVALID || o.status == ERR_NOT_FOUND ||
			    o.status == ERR_LIMIT) &&
			encode_outcome(&o, result) == 0;
		unload_outcome(&o);
	}
	unload_command(&c);
	return early;
}

/*
 * Appends the complete state as snapshot records. Equal states give equal
 * bytes.
 */
int
save_state(const struct state *s, struct buf *out)
{
	int rc = save_head(s, out);

	for (size_t i = 0; i < s->history.count && rc == 0; i++)
		rc = append_stored(out, STORED_VERSION,
		    (xdrproc_t)xdr_stored_version, get_version(&s->history, i));
	for (const struct answer *a = s->answers.oldest; a != NULL && rc == 0;
	     a = a->newer)
		rc = append_stored(out, STORED_ANSWER,
		    (xdrproc_t)xdr_stored_answer, &a->stored);
	if (rc == 0)
		rc = save_claims(&s->claims, out);
	if (rc == 0)
		rc = save_rollouts(&s->rollouts, out);
	if (rc == 0)
		rc = save_leavings(&s->leavings, out);
	if (rc == 0)
		rc = append_stored(out, STORED_END, NULL, NULL);
	return rc;
}

/*
 * Replaces the state by a saved one. Returns ERR_CORRUPT, after which the state
 * is empty, or ERR_MEMORY.
 */
int
load_state(struct state *s, struct str data, struct fault *f)
{
	enum stored_type type = STORED_HEAD;
	struct str body;
	bool first = true;
	int rc = 0;

	reset_state(s);
	while (rc == 0 && type != STORED_END) {
		rc = read_stored(&data, &type, &body);
		if (rc == 0 && first != (type == STORED_HEAD))
			rc = ERR_CORRUPT;
		if (rc == 0)
			rc = load_record(s, type, body);
		first = false;
	}
	if (rc == 0 && data.len != 0)
		rc = ERR_CORRUPT;
	if (rc == 0)
		rc = check_history(s);
	if (rc == 0)
		return 0;
	reset_state(s);
	return set_fault(f, rc,
	    "the snapshot of the state machine is damaged or of another "
	    "release; wipe the data directory and rejoin as a new member");
}

/*
 * Applies a change of the table and stores its result under the command's key,
 * also when the change is refused. A repeated key gets the stored result.
 */
static void
apply_change(struct state *s, int64_t wall_ns, const struct command *c,
    struct buf *result)
{
	size_t at = result->len;
	struct edit_outcome o;
	int rc = find_stored_answer(s, c, result);

	if (rc == 0)
		return;
	abort_on_error(rc == ERR_MEMORY ? rc : 0);
	decide_edit(&s->history, s->table, view_buf(&s->source), c, &o);
	abort_on_error(o.status == ERR_MEMORY ? o.status : 0);
	if (o.new_table != NULL)
		install_change(s, wall_ns, c, &o, result);
	else
		abort_on_error(encode_outcome(&o, result));
	if (c->key[0] != '\0')
		abort_on_error(append_answer(&s->answers, make_str(c->author),
		    make_str(c->key), fingerprint_command(c), s->log_ns,
		    make_str_n(result->data + at, result->len - at)));
}

/*
 * Appends an accepted change to the history and makes its table the current
 * one. Takes the table and the source text out of o.
 */
static void
install_change(struct state *s, int64_t wall_ns, const struct command *c,
    struct edit_outcome *o, struct buf *result)
{
	struct stored_version *v = NULL;

	abort_on_error(make_version(s->table, o->new_table, &v));
	free(v->author);
	v->author = strdup(c->author);
	abort_on_error(v->author == NULL ? ERR_MEMORY : 0);
	v->base = c->base;
	v->time_ns = wall_ns;
	v->type = (int)c->body.type;
	if (c->body.type == COMMAND_REPLACE)
		v->source_digest = c->body.command_body_u.replace.source_digest;
	append_version(&s->history, v);
	unload_table(s->table);
	s->table = o->new_table;
	o->new_table = NULL;
	unload_buf(&s->source);
	s->source = o->source;
	o->source = (struct buf){0};
	abort_on_error(encode_outcome(o, result));
}

/*
 * Makes a voter's newer table the current one and records the change, so that a
 * relay can send deltas too. Takes ownership of next, also on error. Returns
 * ERR_STALE or ERR_MEMORY.
 */
int
adopt_table(struct state *s, struct table *next)
{
	struct stored_version *v = NULL;
	int rc = next->version > s->table->version ?
		     make_version(s->table, next, &v) :
		     ERR_STALE;

	if (rc != 0) {
		unload_table(next);
		return rc;
	}
	append_version(&s->history, v);
	unload_table(s->table);
	unload_buf(&s->source);
	s->table = next;
	return 0;
}

static int
encode_outcome(const struct edit_outcome *o, struct buf *out)
{
	struct command_result r = {
	    .status = o->status,
	    .table_version = o->version,
	    .unchanged = o->unchanged,
	    .winner_version = o->winner_version,
	};

	r.winner.row = (char *)(uintptr_t)o->winner.row;
	r.winner.column = (int)o->winner.column;
	r.winner.value = (char *)(uintptr_t)o->winner.value;
	r.winner_author = (char *)(uintptr_t)o->winner_author;
	r.text = (char *)(uintptr_t)o->text;
	return encode_command_result(&r, out);
}

static int
encode_status(
    const struct state *s, int status, const char *text, struct buf *out)
{
	struct command_result r = {
	    .status = status, .table_version = s->table->version};

	r.text = (char *)(uintptr_t)text;
	return encode_command_result(&r, out);
}

/*
 * Appends a result whose answer holds the leavings that are kept for a node.
 */
static int
encode_leavings(const struct state *s, const char *node, struct buf *out)
{
	struct command_leaving items[COMMAND_LEAVINGS_MAX];
	struct command_leavings l = {.node = (char *)(uintptr_t)node};
	struct command_result r = {.table_version = s->table->version};
	struct buf b = {0};
	int rc;

	l.items.items_len = list_leavings(&s->leavings, node, items);
	l.items.items_val = items;
	rc = encode_wire((xdrproc_t)xdr_command_leavings, &l, &b);
	r.answer.answer_val = b.data;
	r.answer.answer_len = (unsigned int)b.len;
	if (rc == 0)
		rc = encode_command_result(&r, out);
	unload_buf(&b);
	return rc;
}

/*
 * Appends the stored answer to the command's key, or a refusal if the key was
 * used for another change. Returns ERR_NOT_FOUND: no answer; ERR_MEMORY.
 */
static int
find_stored_answer(
    const struct state *s, const struct command *c, struct buf *out)
{
	const struct stored_answer *a =
	    find_answer(&s->answers, make_str(c->author), make_str(c->key));

	if (a == NULL || c->key[0] == '\0')
		return ERR_NOT_FOUND;
	if (a->fingerprint != fingerprint_command(c))
		return encode_status(s, ERR_INVALID,
		    "the key was used for another change; send this one with "
		    "a new key",
		    out);
	return append_buf(out, a->result.result_val, a->result.result_len);
}

/*
 * Aborts the process on an error, so that it does not diverge from the other
 * replicas.
 */
static void
abort_on_error(int rc)
{
	if (rc == 0)
		return;
	write_log(LOG_LEVEL_ERR,
	    "cannot apply a committed command (%s); the process ends so that "
	    "it does not differ from the others; give it more memory",
	    get_err_name(rc));
	abort();
}

static int
save_head(const struct state *s, struct buf *out)
{
	struct stored_head h = {
	    .format = STATE_FORMAT,
	    .log_ns = s->log_ns,
	    .claims_swept_ns = s->claims.swept_ns,
	    .table_version = s->table->version,
	    .table_digest = s->table->digest,
	};
	struct buf csv = {0};
	int rc = render_table_csv(s->table, &csv);

	h.csv.csv_val = csv.data;
	h.csv.csv_len = (unsigned int)csv.len;
	h.source.source_val = s->source.data;
	h.source.source_len = (unsigned int)s->source.len;
	if (rc == 0)
		rc = append_stored(
		    out, STORED_HEAD, (xdrproc_t)xdr_stored_head, &h);
	unload_buf(&csv);
	return rc;
}

static int
load_record(struct state *s, enum stored_type type, struct str body)
{
	switch (type) {
	case STORED_HEAD:
		return load_head(s, body);
	case STORED_VERSION:
		return load_version(s, body);
	case STORED_ANSWER:
		return load_stored_answer(s, body);
	case STORED_CLAIM:
		return load_stored_claim(s, body);
	case STORED_ROLLOUT:
		return load_rollout(&s->rollouts, body);
	case STORED_LEAVING:
		return load_leaving(&s->leavings, body);
	case STORED_END:
		return body.len == 0 ? 0 : ERR_CORRUPT;
	}
	return ERR_CORRUPT;
}

/*
 * Loads the table and the log time; ERR_CORRUPT for another format or a digest
 * that does not match.
 */
static int
load_head(struct state *s, struct str body)
{
	struct stored_head h = {0};
	struct table *t = NULL;
	int rc = decode_wire((xdrproc_t)xdr_stored_head, body, &h);

	if (rc != 0)
		return rc;
	rc = h.format == STATE_FORMAT ? 0 : ERR_CORRUPT;
	if (rc == 0)
		rc = load_table_csv(make_str_n(h.csv.csv_val, h.csv.csv_len),
		    h.table_version, &t, NULL);
	if (rc == 0 && t->digest != h.table_digest)
		rc = ERR_CORRUPT;
	if (rc == 0) {
		unload_buf(&s->source);
		rc = append_buf(
		    &s->source, h.source.source_val, h.source.source_len);
	}
	if (rc == 0) {
		unload_table(s->table);
		s->table = t;
		t = NULL;
		s->log_ns = h.log_ns;
		s->claims.swept_ns = h.claims_swept_ns;
	}
	unload_table(t);
	unload_wire((xdrproc_t)xdr_stored_head, &h);
	return rc == 0 || rc == ERR_MEMORY ? rc : ERR_CORRUPT;
}

/*
 * Each version must follow the one before it; else ERR_CORRUPT.
 */
static int
load_version(struct state *s, struct str body)
{
	struct stored_version *v = calloc(1, sizeof(*v));
	const struct stored_version *last;
	int rc;

	if (v == NULL)
		return ERR_MEMORY;
	rc = decode_wire((xdrproc_t)xdr_stored_version, body, v);
	if (rc != 0) {
		free(v);
		return rc;
	}
	last = get_version(&s->history, s->history.count - 1);
	if (v->number <= v->after ||
	    (last != NULL && v->after != last->number)) {
		unload_version(v);
		return ERR_CORRUPT;
	}
	append_version(&s->history, v);
	return 0;
}

static int
load_stored_answer(struct state *s, struct str body)
{
	struct stored_answer a = {0};
	int rc = decode_wire((xdrproc_t)xdr_stored_answer, body, &a);

	return rc == 0 ? load_answer(&s->answers, &a) : rc;
}

static int
load_stored_claim(struct state *s, struct str body)
{
	struct stored_claim c = {0};
	int rc = decode_wire((xdrproc_t)xdr_stored_claim, body, &c);

	if (rc != 0)
		return rc;
	if (find_claim(&s->claims, make_str(c.kind), make_str(c.key)) != NULL) {
		unload_wire((xdrproc_t)xdr_stored_claim, &c);
		return ERR_CORRUPT;
	}
	return load_claim(&s->claims, &c);
}

/*
 * The newest version of the history must be that of the current table.
 */
static int
check_history(const struct state *s)
{
	const struct stored_version *v =
	    get_version(&s->history, s->history.count - 1);
	uint64_t newest = v != NULL ? v->number : 0;

	return newest == s->table->version ? 0 : ERR_CORRUPT;
}
