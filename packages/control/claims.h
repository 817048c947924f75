/*
 * Claims of calls that run at most once. A claim occupies its key (table row
 * and idempotency key) until its retention ends and is never evicted earlier.
 */
#ifndef CLAIMS_H
#define CLAIMS_H

#include "command.h"
#include "hash_index.h"
#include "wire.h"

#define CLAIMS_MAX 131072 /* more: ERR_LIMIT */
#define CLAIMS_ANSWER_BYTES (64 * 1024 * 1024) /* all stored responses */
#define CLAIM_KEEP_MIN_S 60 /* bounds of the retention */
#define CLAIM_KEEP_MAX_S 604800
#define CLAIMS_SWEEP_NS (10 * NSEC_PER_SEC) /* between sweeps, in log time */

struct claim {
	struct hash_link link;
	struct stored_claim stored;
};

struct claims {
	struct hash_index index;
	size_t max; /* claims */
	size_t answer_bytes; /* of all stored responses */
	int64_t swept_ns; /* log time of the last sweep */
};

/*
 * Opens or closes a claim; r->status is 0, ERR_CONFLICT, ERR_LIMIT, ERR_INVALID
 * or ERR_MEMORY. The strings of r belong to the claim and stay valid until the
 * next change.
 */
void apply_claim(struct claims *s, int64_t now_ns, const struct command *c,
    struct command_result *r);

const struct claim *find_claim(
    const struct claims *s, struct str kind, struct str key);
int load_claim(struct claims *s, struct stored_claim *c); /* owns c */
int save_claims(const struct claims *s, struct buf *out); /* sorted */
void clear_claims(struct claims *s);

#endif
