/*
 * JSON of the status (process, group, nodes, settings) and of the endpoints.
 */
#include "api.h"

static json_t *make_group_json(struct control *c);
static json_t *make_nodes_json(struct control *c, int64_t now);
static json_t *make_node_json(
    const struct node_report *n, uint64_t version, int64_t now);
static json_t *make_settings_json(const struct control *c);

json_t *
make_status_json(struct control *c)
{
	int64_t now = read_mono(&c->cfg.clock);
	json_t *o;

	pthread_mutex_lock(&c->lock);
	o = json_pack("{s:I,s:s,s:s,s:b,s:I,s:I,s:I,s:I,s:o}", "id",
	    (json_int_t)c->id, "zone", c->cfg.zone, "role",
	    is_relay(c) ? "relay" : "voter", "stale", is_control_stale(c),
	    "version", (json_int_t)c->state->table->version, "claims",
	    (json_int_t)c->state->claims.index.count, "held_watches",
	    (json_int_t)c->pending_watch_count, "keys",
	    (json_int_t)c->state->answers.index.count, "nodes",
	    make_nodes_json(c, now));
	pthread_mutex_unlock(&c->lock);
	if (!is_relay(c))
		json_object_set_new(o, "group", make_group_json(c));
	json_object_set_new(o, "settings", make_settings_json(c));
	return o;
}

json_t *
make_endpoints_json(struct control *c)
{
	static const char *const states[] = {
	    "starting", "ready", "draining", "gone", "suspect"};
	int64_t now = read_mono(&c->cfg.clock);
	struct registry_record r;
	const void *at = NULL;
	json_t *list = json_array(), *o;

	pthread_mutex_lock(&c->lock);
	while (next_record(c->registry, &at, &r))
		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:I,s:I,s:I,s:I}", "id",
			r.endpoint->id, "service", r.endpoint->service, "state",
			states[r.state], "address", r.endpoint->address, "zone",
			r.endpoint->zone, "slots", r.endpoint->slots,
			"incarnation", (json_int_t)r.endpoint->incarnation,
			"seq", (json_int_t)r.endpoint->seq, "owner",
			r.owner == REGISTRY_UPSTREAM ? (json_int_t)-1 :
						       (json_int_t)r.owner,
			"heard_ms",
			(json_int_t)((now - r.last_contact_ns) /
				     NSEC_PER_MSEC)));
	o = json_pack(
	    "{s:b,s:o}", "stale", is_control_stale(c), "endpoints", list);
	pthread_mutex_unlock(&c->lock);
	return o;
}

static json_t *
make_group_json(struct control *c)
{
	static const char *const roles[] = {
	    "follower", "pre-candidate", "candidate", "leader"};
	struct replica_status st;
	struct raft_members m = {0};
	json_t *list = json_array();

	(void)get_replication_status(c, &st);
	(void)get_replication_members(c, &m);
	for (size_t i = 0; i < m.count; i++)
		json_array_append_new(list,
		    json_pack("{s:I,s:b,s:s}", "id", (json_int_t)m.member[i].id,
			"voter", (int)m.member[i].voter, "address",
			m.member[i].address));
	return json_pack("{s:s,s:I,s:I,s:I,s:I,s:I,s:b,s:I,s:I,s:o}", "role",
	    roles[st.role], "leader", (json_int_t)st.leader, "term",
	    (json_int_t)st.term, "commit", (json_int_t)st.commit, "applied",
	    (json_int_t)st.applied, "snapshot", (json_int_t)st.snapshot,
	    "failed", (int)st.failed, "contact_ms",
	    st.contact_ns < 0 ? (json_int_t)-1 :
				(json_int_t)(st.contact_ns / NSEC_PER_MSEC),
	    "torn_records", (json_int_t)st.wal.torn_records, "members", list);
}

/*
 * Returns the last reports of all nodes. Lock held.
 */
static json_t *
make_nodes_json(struct control *c, int64_t now)
{
	json_t *list = json_array();
	const struct hash_link *l = get_first_link(&c->nodes.index);

	for (; l != NULL; l = get_next_link(&c->nodes.index, l))
		json_array_append_new(
		    list, make_node_json((const struct node_report *)l,
			      c->state->table->version, now));
	return list;
}

/*
 * Returns the last report of a node. The lag is the number of table versions
 * that the node is behind this process.
 */
static json_t *
make_node_json(const struct node_report *n, uint64_t version, int64_t now)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:I,s:I,s:s,s:I,s:I,s:b}", "node",
	    n->name, "zone", n->zone, "version", (json_int_t)n->version,
	    "since_ns", (json_int_t)n->version_wall_ns, "lag",
	    version > n->version ? (json_int_t)(version - n->version) :
				   (json_int_t)0,
	    "refused_version", (json_int_t)n->refused_version, "refused_reason",
	    n->refused_reason, "switch_ms", (json_int_t)n->switch_ms,
	    "heard_ms",
	    (json_int_t)((now - n->last_contact_ns) / NSEC_PER_MSEC),
	    "attached", n->conn != 0);
}

/*
 * Returns the settings that operators compare between processes, without
 * secrets.
 */
static json_t *
make_settings_json(const struct control *c)
{
	json_t *peers = json_array(), *relays = json_array();

	for (size_t i = 0; i < c->cfg.peer_count; i++)
		json_array_append_new(peers, json_string(c->cfg.peers[i]));
	for (size_t i = 0; i < c->cfg.relay_count; i++)
		json_array_append_new(relays, json_string(c->cfg.relays[i]));
	return json_pack("{s:s,s:s,s:b,s:b,s:o,s:o}", "rpc_listen",
	    c->cfg.rpc_listen, "http_listen", c->cfg.http_listen, "tokens",
	    c->tokens != NULL, "tls", c->cfg.tls_cert_file != NULL, "peers",
	    peers, "relays", relays);
}
