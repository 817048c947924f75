/*
 * The services that an entry node routes to: for each, the current endpoint set
 * and the picker that chooses from it. Loop thread only.
 */
#include <stdlib.h>

#include "call.h"

struct service {
	char name[TABLE_NAME_BYTES];
	struct picker *picker;
	const struct endpoint_set *set; /* referenced; loaded into the picker */
	struct service *next;
};

static int fill_picker(struct proxy *p, struct service *s, int64_t now);

/*
 * Returns the state of a service and creates it on first use; NULL when out of
 * memory.
 */
struct service *
find_service(struct proxy *p, const char *name)
{
	struct picker_config cfg = {make_str(p->zone), draw_u64(&p->rng)};
	struct service *s;

	for (s = p->services; s != NULL; s = s->next) {
		if (is_str_equal(make_str(s->name), make_str(name)))
			return s;
	}
	s = calloc(1, sizeof(*s));
	if (s == NULL || create_picker(&cfg, &s->picker) != 0) {
		free(s);
		return NULL;
	}
	(void)copy_str(s->name, sizeof(s->name), make_str(name));
	s->next = p->services;
	p->services = s;
	return s;
}

/*
 * Switches to the agent's current endpoint set of the service. Returns
 * ERR_NOT_FOUND when the agent has none, which makes the agent fetch it, and
 * ERR_MEMORY.
 */
int
refresh_service(struct proxy *p, struct service *s, int64_t now)
{
	const struct endpoint_set *set =
	    acquire_endpoints(p->cfg.agent, make_str(s->name));
	int rc;

	if (set == NULL)
		return ERR_NOT_FOUND;
	if (set == s->set) {
		release_endpoints(p->cfg.agent, set);
		return 0;
	}
	if (s->set != NULL)
		release_endpoints(p->cfg.agent, s->set);
	s->set = set;
	rc = fill_picker(p, s, now);
	return rc;
}

struct picker *
get_service_picker(const struct service *s)
{
	return s->picker;
}

void
unload_services(struct proxy *p)
{
	struct service *s, *next;

	for (s = p->services; s != NULL; s = next) {
		next = s->next;
		if (s->set != NULL)
			release_endpoints(p->cfg.agent, s->set);
		destroy_picker(s->picker);
		free(s);
	}
	p->services = NULL;
}

/*
 * Appends the services as a JSON object with one member per service.
 */
int
render_services(struct proxy *p, struct buf *out)
{
	int64_t now = get_loop_time(p->loop);
	int rc = append_buf(out, "{", 1);

	for (struct service *s = p->services; s != NULL && rc == 0;
	     s = s->next) {
		struct picker_counts n = get_picker_counts(s->picker, now);

		rc = append_buf_fmt(out,
		    "%s\"%s\":{\"set_version\":%llu,\"listed\":%d,"
		    "\"selectable\":%d,\"ejected\":%d,\"in_flight\":%d}",
		    s == p->services ? "" : ",", s->name,
		    s->set != NULL ? (unsigned long long)s->set->set_version :
				     0ULL,
		    n.listed, n.selectable, n.ejected, n.in_flight);
	}
	return rc != 0 ? rc : append_buf(out, "}", 1);
}

/*
 * Replaces the picker's endpoints by those of s->set. Returns ERR_MEMORY or
 * what the picker returns.
 */
static int
fill_picker(struct proxy *p, struct service *s, int64_t now)
{
	const struct endpoint_set *set = s->set;
	struct picker_endpoint *eps;
	int rc;

	(void)p;
	eps = calloc(set->count + 1, sizeof(*eps));
	if (eps == NULL)
		return ERR_MEMORY;
	for (size_t i = 0; i < set->count; i++) {
		const struct wire_endpoint *e = &set->endpoints[i];

		eps[i] = (struct picker_endpoint){make_str(e->id),
		    e->incarnation, make_str(e->address), make_str(e->zone),
		    e->slots, (enum picker_state)e->state};
	}
	rc = set_picker_endpoints(s->picker, eps, set->count, now);
	free(eps);
	return rc;
}
