/*
 * Claims of calls that run at most once. A claim holds its key (table row and
 * idempotency key) until its retention ends; none is evicted earlier.
 */
#ifndef CLAIMS_H
#define CLAIMS_H

#include "command.h"
#include "hash_index.h"
#include "wire.h"

#define CLAIMS_MAX 131072 /* claims kept */
#define CLAIMS_ANSWER_BYTES (64 * 1024 * 1024) /* of their stored responses */
#define CLAIM_KEEP_MIN_S 60 /* least and longest retention */
#define CLAIM_KEEP_MAX_S 604800
#define CLAIMS_SWEEP_NS (10 * NSEC_PER_SEC) /* between sweeps, log time */

struct claim {
	struct hash_link link;
	struct stored_claim stored;
};

struct claims {
	struct hash_index index;
	size_t max;
	size_t answer_bytes;
	int64_t swept_ns; /* log time of the last sweep */
};

/*
 * Opens or closes a claim. The result's strings belong to the claim and are
 * valid until the next change.
 */
void apply_claim(struct claims *s, int64_t now_ns, const struct command *c,
    struct command_result *r);

const struct claim *find_claim(
    const struct claims *s, struct str kind, struct str key);
int load_claim(struct claims *s, struct stored_claim *c); /* takes c */
int save_claims(const struct claims *s, struct buf *out); /* sorted by key */
void clear_claims(struct claims *s);

#endif
