/*
 * The node's interest in services and their endpoint sets. Any thread may add
 * interest and acquire sets; one thread applies changes. Internal to the
 * package.
 */
#ifndef AGENT_SETS_H
#define AGENT_SETS_H

#include "agent.h"

#define SETS_INTEREST_NS (600 * NSEC_PER_SEC) /* from the last use to expiry */
#define SETS_TOMBSTONE_NS (60 * NSEC_PER_SEC) /* twice the lease of 30 s */
/*
 * How long endpoints are kept that a new registry does not list. A restarted
 * control process has the records of its peers after the digest interval of
 * 5 s; until then its sets are incomplete.
 */
#define SETS_RETAIN_NS (10 * NSEC_PER_SEC)
#define SETS_TOMBSTONE_MAX 256 /* removed endpoints per service */

struct set_store;

struct set_store *open_set_store(void); /* NULL: out of memory */
void close_set_store(struct set_store *s); /* all sets must be released */

/* Interest */
int add_interest(
    struct set_store *s, struct str service, bool pinned, int64_t now);
int expire_interest(struct set_store *s, int64_t now); /* number removed */
int list_interest(struct set_store *s, struct wire_interest *out,
    int max); /* names stay valid until the next expiry */

/* Sets */
const struct endpoint_set *acquire_set(
    struct set_store *s, struct str service, int64_t now);
void release_set(struct set_store *s, const struct endpoint_set *set);
int apply_set(struct set_store *s, const struct wire_endpoint_set *u,
    int64_t now); /* 1: changed; 0: nothing newer */
int expire_retained(struct set_store *s, int64_t now); /* sets changed */
void reset_set_versions(struct set_store *s); /* the registry has changed */
int render_sets(struct set_store *s, struct buf *out); /* JSON array */

#endif
