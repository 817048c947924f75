/*
 * Recovery of a member whose disk has refused an operation, or whose state does
 * not load: it opens its log again, as a restart of the process would.
 */
#include <string.h>

#include "log.h"
#include "replica_core.h"

/* Between tries to open storage that failed; doubles up to the longest one. */
#define RECOVER_DELAY_NS (250 * NSEC_PER_MSEC)
#define RECOVER_DELAY_MAX_NS (1 * NSEC_PER_SEC)
/* For what the next try hardly changes, such as damaged data. */
#define RECOVER_DELAY_DAMAGED_NS (30 * NSEC_PER_SEC)
/* The data stays damaged if it is after tries until this delay, about 4 s. */
#define RECOVER_DELAY_LOST_NS (2 * NSEC_PER_SEC)
#define RECOVER_RESET_NS \
	(10 * NSEC_PER_SEC) /* a failure after it is a new one */

static int reopen_replica(struct replica *r, struct fault *f);
static void delay_recovery(struct replica *r, enum err kind, int64_t now);
static void abandon_recovery(struct replica *r, const struct fault *f);

/*
 * Marks the replica as failed and schedules its recovery. The delay doubles
 * while that fails, or when it has not held for RECOVER_RESET_NS. Pending
 * proposals end with ERR_UNKNOWN, since other members may have them.
 */
void
fail_replica(struct replica *r, enum err kind, const char *text)
{
	int64_t now = read_mono(&r->cfg.clock);

	if (r->failed)
		return;
	r->failed = true;
	(void)set_fault(&r->failure, kind, "%s", text);
	WRITE_EVENT(LOG_LEVEL_ERR, "replica.failed",
	    LOG_INT("member", r->cfg.id), LOG_TEXT("kind", get_err_name(kind)),
	    LOG_TEXT("reason", text));
	fail_requests(r);
	if (!r->recovering && now - r->recovered_at > RECOVER_RESET_NS)
		r->recover_delay = 0;
	r->recovering = true;
	delay_recovery(r, kind, now);
}

/*
 * Opens the log again when that is due, as a restart of the process would: the
 * member goes on with what is on its disk. A disk that has become empty, or has
 * another member's data, ends that: the member may have voted. So does damaged
 * data that stays damaged.
 */
void
recover_replica(struct replica *r, int64_t now)
{
	struct wal_config probe = {.dir = r->cfg.data_dir, .io = r->cfg.io};
	struct fault f = {0};
	int rc;

	r->last_tick_ns = now;
	if (r->recover_at == 0 || now < r->recover_at)
		return;
	rc = probe_wal_disk(&probe, &f);
	if (rc != 0) {
		delay_recovery(r, (enum err)rc, now);
		return;
	}
	rc = reopen_replica(r, &f);
	if (rc == 0) {
		r->recovered_at = now;
		r->recovering = false;
		WRITE_EVENT(LOG_LEVEL_NOTICE, "replica.recovered",
		    LOG_INT("member", r->cfg.id));
	} else if (rc == ERR_NOT_FOUND || rc == ERR_INVALID ||
		   (rc == ERR_CORRUPT &&
		       r->recover_delay >= RECOVER_DELAY_LOST_NS)) {
		abandon_recovery(r, &f);
	} else if (!r->failed) {
		fail_replica(r, (enum err)rc, f.text);
	}
}

/*
 * Closes the core and the log and opens them again.
 */
static int
reopen_replica(struct replica *r, struct fault *f)
{
	close_raft(r->raft);
	close_wal(r->wal);
	r->raft = NULL;
	r->wal = NULL;
	r->failed = false;
	r->recover_at = 0;
	r->members_notified = false;
	r->quorum_contacts = 0;
	memset(&r->log_time, 0, sizeof(r->log_time));
	r->cfg.need_data = r->has_stored;
	/* Before the new status shows: the state may be older than then. */
	pthread_mutex_lock(&r->lock);
	r->last_contact_ns = -1;
	pthread_mutex_unlock(&r->lock);
	return load_replica(r, f);
}

static void
delay_recovery(struct replica *r, enum err kind, int64_t now)
{
	int64_t longest = kind == ERR_IO || kind == ERR_MEMORY ?
			      RECOVER_DELAY_MAX_NS :
			      RECOVER_DELAY_DAMAGED_NS;

	r->recover_delay =
	    r->recover_delay == 0 ? RECOVER_DELAY_NS : 2 * r->recover_delay;
	if (r->recover_delay > longest)
		r->recover_delay = longest;
	r->recover_at = now + r->recover_delay;
}

/*
 * Only a new process can go on: it joins as a new member or says why it cannot.
 */
static void
abandon_recovery(struct replica *r, const struct fault *f)
{
	r->failed = true;
	r->recover_at = 0;
	write_log(LOG_LEVEL_ERR, "the member cannot use its data: %s", f->text);
	pthread_mutex_lock(&r->lock);
	r->unrecoverable = true;
	r->unrecoverable_fault = *f;
	pthread_mutex_unlock(&r->lock);
}
