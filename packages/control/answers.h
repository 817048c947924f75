/*
 * First answers to changes of the table, by operator and idempotency key.
 */
#ifndef ANSWERS_H
#define ANSWERS_H

#include "command.h"
#include "hash_index.h"

#define ANSWERS_MAX 4096 /* keys kept */
#define ANSWERS_KEEP_NS (24 * 3600 * NSEC_PER_SEC) /* in log time */

struct answer {
	struct hash_link link;
	struct answer *newer;
	struct stored_answer stored;
};

struct answers {
	struct hash_index index;
	struct answer *oldest; /* in order of time */
	struct answer *newest;
};

const struct stored_answer *find_answer(
    const struct answers *a, struct str author, struct str key);
int append_answer(struct answers *a, struct str author, struct str key,
    uint64_t fingerprint, int64_t now_ns, struct str result);
int load_answer(struct answers *a, struct stored_answer *s); /* takes s */
void expire_answers(struct answers *a, int64_t now_ns);
void clear_answers(struct answers *a);

#endif
