/*
 * Recovery of a member whose disk has refused writes: it opens its log again,
 * as a restart of the process would.
 */
#include <string.h>

#include "log.h"
#include "replica_core.h"

/* Between tries to open storage that failed; doubles up to the second one. */
#define RECOVER_DELAY_NS (250 * NSEC_PER_MSEC)
#define RECOVER_DELAY_MAX_NS (1 * NSEC_PER_SEC)
#define RECOVER_RESET_NS \
	(10 * NSEC_PER_SEC) /* a failure after it is a new one */

static void delay_recovery(struct replica *r, int64_t now);

/*
 * Like fail_replica(), but the storage is opened again after a delay, unless a
 * sync has failed. The delay doubles while that fails, or when it has not held
 * for RECOVER_RESET_NS.
 */
void
fail_storage(struct replica *r, const char *text)
{
	int64_t now = read_mono(&r->cfg.clock);

	if (r->failed)
		return;
	fail_replica(r, text);
	if (!may_reopen_wal(r->wal))
		return;
	if (now - r->recovered_at > RECOVER_RESET_NS)
		r->recover_delay = 0;
	delay_recovery(r, now);
}

/*
 * Opens the log again when that is due, as a restart of the process would: the
 * member goes on with what is on its disk. An empty disk ends that, since the
 * member may have voted.
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
		delay_recovery(r, now);
		return;
	}
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
	rc = load_replica(r, &f);
	if (rc == 0) {
		r->recovered_at = now;
		pthread_mutex_lock(&r->lock);
		r->last_contact_ns = -1;
		pthread_mutex_unlock(&r->lock);
		WRITE_EVENT(LOG_LEVEL_NOTICE, "replica.recovered",
		    LOG_INT("member", r->cfg.id));
		return;
	}
	r->failed = true;
	if (rc == ERR_IO || rc == ERR_MEMORY) {
		delay_recovery(r, now);
		return;
	}
	r->recover_at = 0;
	write_log(
	    LOG_LEVEL_ERR, "the member stays out of its group: %s", f.text);
}

static void
delay_recovery(struct replica *r, int64_t now)
{
	r->recover_delay =
	    r->recover_delay == 0 ? RECOVER_DELAY_NS : 2 * r->recover_delay;
	if (r->recover_delay > RECOVER_DELAY_MAX_NS)
		r->recover_delay = RECOVER_DELAY_MAX_NS;
	r->recover_at = now + r->recover_delay;
}
