/*
 * The result of each table change, by operator and idempotency key. A resent
 * change gets the stored result and is not applied again.
 */
#ifndef ANSWERS_H
#define ANSWERS_H

#include "command.h"
#include "hash_index.h"

#define ANSWERS_MAX 4096 /* more: the oldest is evicted */
#define ANSWERS_KEEP_NS (24 * 3600 * NSEC_PER_SEC) /* in log time */

struct answer {
	struct hash_link link;
	struct answer *newer; /* NULL: the newest */
	struct stored_answer stored;
};

struct answers {
	struct hash_index index;
	struct answer *oldest; /* list in order of time */
	struct answer *newest;
};

const struct stored_answer *find_answer(
    const struct answers *a, struct str author, struct str key);
int append_answer(struct answers *a, struct str author, struct str key,
    uint64_t fingerprint, int64_t now_ns, struct str result);
int load_answer(struct answers *a, struct stored_answer *s); /* owns s */
void expire_answers(struct answers *a, int64_t now_ns);
void clear_answers(struct answers *a);

#endif
