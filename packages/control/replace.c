/*
 * Replacement of the whole table by an operator, and reads of the text that the
 * table was read from.
 */
#include <string.h>

#include "api.h"
#include "log.h"
#include "replacement.h"

#define REPLACE_TIMEOUT_MS 3000 /* wait for a quorum */

_Static_assert(API_BODY_MAX <= COMMAND_SOURCE_MAX, "every body can be stored");

static int lock_state_from(struct control *c, uint64_t base);
static void log_read(
    struct control *c, int rc, uint64_t version, int64_t start);
static int decode_result(struct str bytes, struct fault *f);

/*
 * Replaces the table if base is the current version, and waits for the result.
 * ERR_CONFLICT: another change came first; ERR_UNKNOWN: it may still take
 * effect; ERR_UNAVAILABLE: no quorum; ERR_LIMIT: source or its change is too
 * long. f names the remedy.
 */
int
replace_control_table(struct control *c, uint64_t base, const struct table *t,
    struct str source, struct fault *f)
{
	struct buf bytes = {0}, result = {0};
	struct replacement r = {0};
	int rc = lock_state_from(c, base);

	if (rc == 0) {
		rc = make_replacement(c->state, base, t, source, &r);
		pthread_mutex_unlock(&c->lock);
	}
	if (rc == 0)
		rc = encode_replacement(&r, source, &bytes);
	if (rc == 0)
		rc = wait_command(
		    c, view_buf(&bytes), REPLACE_TIMEOUT_MS, &result);
	if (rc == 0)
		rc = decode_result(view_buf(&result), f);
	else if (rc == ERR_LIMIT)
		(void)set_fault(f, ERR_LIMIT,
		    "the text of %zu bytes, or its change, is too long; "
		    "shorten it, or send it in smaller steps",
		    source.len);
	else
		(void)set_fault(f, (enum err)rc,
		    rc == ERR_UNKNOWN ?
			"no quorum answered in time; the change may still "
			"take effect: send it again" :
			"there is no contact to a quorum; send the change "
			"again, to another control process");
	unload_replacement(&r);
	unload_buf(&bytes);
	unload_buf(&result);
	return rc;
}

/*
 * Appends the text of the current table, after a confirmed read. Returns
 * ERR_UNAVAILABLE, or ERR_NOT_FOUND when the table was not read from a text.
 */
int
read_control_source(struct control *c, struct buf *out, uint64_t *version)
{
	int64_t start = read_mono(&c->cfg.clock);
	int rc = lock_confirmed_state(c, SERVICE_READ_TIMEOUT_MS);

	*version = 0;
	if (rc == 0) {
		*version = c->state->table->version;
		if (c->state->source.len > 0)
			rc = append_buf_str(out, view_buf(&c->state->source));
		else
			rc = ERR_NOT_FOUND;
		pthread_mutex_unlock(&c->lock);
	}
	log_read(c, rc, *version, start);
	return rc;
}

/*
 * Returns 0 with the lock held. The difference is computed from the local
 * version, which may be behind the base; a confirmed read brings it up to date.
 */
static int
lock_state_from(struct control *c, uint64_t base)
{
	pthread_mutex_lock(&c->lock);
	if (c->state->table->version >= base)
		return 0;
	pthread_mutex_unlock(&c->lock);
	return lock_confirmed_state(c, SERVICE_READ_TIMEOUT_MS);
}

/*
 * Logs an operator's read that began at the monotonic time start, in ns, with
 * what tells a lost quorum from a leader that does not confirm, and an older
 * version from a newer one.
 */
static void
log_read(struct control *c, int rc, uint64_t version, int64_t start)
{
	struct replica_status st;
	int64_t waited = read_mono(&c->cfg.clock) - start;

	(void)get_replication_status(c, &st);
	WRITE_EVENT(rc == 0 ? LOG_LEVEL_INFO : LOG_LEVEL_NOTICE, "read.ended",
	    LOG_INT("version", version),
	    LOG_TEXT("outcome", rc == 0 ? "answered" : get_err_name(rc)),
	    LOG_INT("waited_ms", waited / NSEC_PER_MSEC),
	    LOG_INT("applied", st.applied), LOG_INT("term", st.term),
	    LOG_INT("leader", st.leader),
	    LOG_INT("contact_ms",
		st.contact_ns < 0 ? -1 : st.contact_ns / NSEC_PER_MSEC));
}

/*
 * Returns the status of an encoded result with its text in f; ERR_STALE becomes
 * ERR_CONFLICT.
 */
static int
decode_result(struct str bytes, struct fault *f)
{
	struct command_result r;
	int rc = decode_command_result(bytes, &r);

	if (rc != 0)
		return set_fault(f, ERR_UNKNOWN,
		    "the result is damaged; send the change again");
	rc = r.status == ERR_STALE ? ERR_CONFLICT : r.status;
	if (rc != 0)
		(void)set_fault(f, (enum err)rc, "%s", r.text);
	unload_command_result(&r);
	return rc;
}
