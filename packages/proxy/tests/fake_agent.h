/*
 * A test double of the agent: tables and endpoint sets that the test provides,
 * and a claim store in memory whose answers can be lost, delayed or refused.
 */
#ifndef FAKE_AGENT_H
#define FAKE_AGENT_H

#include "agent.h"

enum fake_claim_mode {
	FAKE_CLAIM_NORMAL,
	FAKE_CLAIM_LOST, /* granted, but reported as a timeout */
	FAKE_CLAIM_DELAYED, /* granted; the test releases the answer */
	FAKE_CLAIM_NO_QUORUM, /* no quorum */
	FAKE_CLAIM_FULL, /* the store is full */
};

enum fake_leavings_mode {
	FAKE_LEAVINGS_KEPT,
	FAKE_LEAVINGS_NO_QUORUM,
	FAKE_LEAVINGS_OLD, /* control processes of an earlier build */
};

struct agent *open_fake_agent(void);
void close_fake_agent(struct agent *a);
void set_fake_table(struct agent *a, const char *csv, uint64_t version);
void clear_fake_table(struct agent *a);
void set_fake_attached(struct agent *a, bool attached); /* at first: it is */
void clear_fake_endpoints(struct agent *a, const char *service);
void add_fake_endpoint(struct agent *a, const char *service, const char *id,
    const char *address, int slots, enum wire_endpoint_state state);
void set_fake_claims(struct agent *a, enum fake_claim_mode mode);
void release_fake_claims(struct agent *a); /* sends delayed answers */
void hold_fake_key(struct agent *a, const char *key); /* for another node */
int get_fake_claim(struct agent *a, const char *key); /* state; -1: none */
int count_fake_table_refs(
    struct agent *a); /* table references not yet released */
int get_fake_state(struct agent *a); /* announced endpoint state; -1: none */
/* The endpoint's instance, with its version after a space. */
void set_fake_instance(
    struct agent *a, const char *service, const char *id, const char *instance);
/* The only roll-out; number 0: none. contact: mono ns of the last answer. */
void set_fake_rollout(struct agent *a, const char *service, const char *target,
    uint64_t number, int phase);
void set_fake_contact(struct agent *a, int64_t contact);
void take_fake_report(struct agent *a, struct buf *out); /* the last one */
uint64_t count_fake_opens(struct agent *a); /* claim open requests */
void grant_fake_calls(struct agent *a, unsigned int calls);
uint64_t count_fake_asks(struct agent *a); /* for allotments */
void set_fake_leavings(struct agent *a, enum fake_leavings_mode mode);
uint64_t count_fake_leaving_requests(struct agent *a);

#endif
