/*
 * Metrics of a control process. Counters are updated on each event; the gauges
 * of the replica are set on each scrape.
 */
#include "service.h"

static const struct {
	size_t at; /* offset of the id in struct control_metrics */
	enum metric_kind kind;
	const char *name;
	const char *help;
} specs[] = {
#define SPEC(field, kind, name, help)                                       \
	{                                                                   \
		offsetof(struct control_metrics, field), kind, "ggs_" name, \
		    help                                                    \
	}
    SPEC(version, METRIC_GAUGE, "control_version", "Table version held."),
    SPEC(watches, METRIC_COUNTER, "control_watches_total",
	"WATCH and PULL calls."),
    SPEC(pending_watches, METRIC_GAUGE, "control_held",
	"Watches that wait for news."),
    SPEC(stale, METRIC_COUNTER, "control_stale_total",
	"Watches refused for want of a leader."),
    SPEC(limited, METRIC_COUNTER, "control_limited_total",
	"Whole tables put off."),
    SPEC(full, METRIC_COUNTER, "control_whole_total", "Whole tables sent."),
    SPEC(delta, METRIC_COUNTER, "control_delta_total", "Deltas sent."),
    SPEC(encoded, METRIC_GAUGE, "control_encoded", "Replies encoded."),
    SPEC(refused, METRIC_COUNTER, "control_refused_total",
	"Versions refused by nodes."),
    SPEC(digest_mismatch, METRIC_COUNTER, "control_digest_mismatch_total",
	"Nodes with another table than this version's."),
    SPEC(commands, METRIC_COUNTER, "control_commands_total",
	"Commands submitted to the log."),
    SPEC(retries, METRIC_COUNTER, "control_retries_total",
	"Commands sent again."),
    SPEC(http_ended, METRIC_COUNTER, "control_http_ended_total",
	"Operators' connections ended for others."),
    SPEC(no_quorum, METRIC_COUNTER, "control_no_quorum_total",
	"Reads and commands refused or ended without a quorum."),
    SPEC(claims, METRIC_COUNTER, "control_claims_total", "CLAIM calls."),
    SPEC(resends, METRIC_COUNTER, "control_resends_total",
	"Digests of endpoint sets that differed between control processes."),
    SPEC(allotment_asks, METRIC_COUNTER, "control_allotment_asks_total",
	"Asks of nodes for allotments."),
    SPEC(allotment_tokens, METRIC_COUNTER, "control_allotment_tokens_total",
	"Calls of accounts with a rate that were granted to nodes."),
    SPEC(allotment_silent, METRIC_GAUGE, "control_allotment_silent",
	"Nodes whose share of each rate is kept for them."),
    SPEC(lag_us, METRIC_HISTOGRAM, "control_version_lag_us",
	"Time from a version at this process to its use by a node, us."),
    SPEC(nodes_behind, METRIC_GAUGE, "control_nodes_behind",
	"Attached nodes whose table has been outdated for over 1 s."),
    SPEC(rollouts, METRIC_GAUGE, "control_rollout_running",
	"1 while a roll-out of any service runs."),
    SPEC(role, METRIC_GAUGE, "replica_role",
	"0 follower, 1 asks for votes, 2 candidate, 3 leader."),
    SPEC(has_leader, METRIC_GAUGE, "replica_has_leader",
	"1 with a leader known."),
    SPEC(term, METRIC_GAUGE, "replica_term", "Term of the group."),
    SPEC(commit, METRIC_GAUGE, "replica_commit", "Highest committed entry."),
    SPEC(applied, METRIC_GAUGE, "replica_applied", "Highest applied entry."),
    SPEC(last, METRIC_GAUGE, "replica_last", "Last entry of the log."),
    SPEC(snapshot, METRIC_GAUGE, "replica_snapshot",
	"Entry of the newest snapshot."),
    SPEC(snapshot_errors, METRIC_GAUGE, "replica_snapshot_errors",
	"Snapshots that could not be made; the log grows."),
    SPEC(voter, METRIC_GAUGE, "replica_voter", "1 as a voter."),
    SPEC(failed, METRIC_GAUGE, "replica_failed", "1 while storage has failed."),
    SPEC(contact_ms, METRIC_GAUGE, "replica_contact_ms",
	"Time since the last contact to a quorum, ms; -1: none yet."),
    SPEC(dropped, METRIC_GAUGE, "replica_dropped",
	"Messages refused by a full inbox."),
    SPEC(syncs, METRIC_GAUGE, "wal_syncs", "Syncs of the log."),
    SPEC(append_bytes, METRIC_GAUGE, "wal_append_bytes",
	"Bytes written to the log."),
    SPEC(segments, METRIC_GAUGE, "wal_segments", "Files of the log."),
    SPEC(snapshots, METRIC_GAUGE, "wal_snapshots", "Snapshots written."),
    SPEC(torn, METRIC_GAUGE, "wal_torn_records",
	"Records cut from the end of the log when it was opened."),
#undef SPEC
};

void
open_control_metrics(struct control_metrics *m)
{
	for (size_t i = 0; i < sizeof(specs) / sizeof(specs[0]); i++)
		*(metric_id *)((char *)m + specs[i].at) = register_metric(
		    specs[i].kind, specs[i].name, specs[i].help);
}

/*
 * Sets the gauges; takes the service lock. A relay has no replica to report.
 */
void
refresh_control_metrics(struct control *c)
{
	struct control_metrics *m = &c->metrics;
	struct replica_status s;

	pthread_mutex_lock(&c->lock);
	set_metric(m->encoded, (int64_t)c->cache.encoded);
	set_metric(
	    m->nodes_behind, count_late_nodes(c, read_mono(&c->cfg.clock)));
	pthread_mutex_unlock(&c->lock);
	if (is_relay(c) || !get_replication_status(c, &s))
		return;
	set_metric(m->role, (int64_t)s.role);
	set_metric(m->has_leader, s.leader != 0);
	set_metric(m->term, (int64_t)s.term);
	set_metric(m->commit, (int64_t)s.commit);
	set_metric(m->applied, (int64_t)s.applied);
	set_metric(m->last, (int64_t)s.last);
	set_metric(m->snapshot, (int64_t)s.snapshot);
	set_metric(m->snapshot_errors, (int64_t)s.snapshot_errors);
	set_metric(m->voter, s.voter);
	set_metric(m->failed, s.failed);
	set_metric(m->contact_ms,
	    s.contact_ns < 0 ? -1 : s.contact_ns / NSEC_PER_MSEC);
	set_metric(m->dropped, (int64_t)s.dropped);
	set_metric(m->syncs, (int64_t)s.wal.syncs);
	set_metric(m->append_bytes, (int64_t)s.wal.append_bytes);
	set_metric(m->segments, (int64_t)s.wal.segments);
	set_metric(m->snapshots, (int64_t)s.wal.snapshots);
	set_metric(m->torn, (int64_t)s.wal.torn_records);
}
