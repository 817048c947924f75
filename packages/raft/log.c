/*
 * The log in memory: the entries after a base index.
 */
#include <stdlib.h>
#include <string.h>

#include "raft_core.h"

#define LOG_MIN_ENTRIES 64 /* first allocation of a log */

uint64_t
get_log_last(const struct raft_log *l)
{
	return l->base_index + l->count;
}

/*
 * Returns the term of the entry at index, or of the base index, which precedes
 * the first entry; 0 when the log knows neither.
 */
uint64_t
get_log_term(const struct raft_log *l, uint64_t index)
{
	const struct raft_entry *e;

	if (index == l->base_index)
		return l->base_term;
	e = get_log_entry(l, index);
	return e != NULL ? e->term : 0;
}

const struct raft_entry *
get_log_entry(const struct raft_log *l, uint64_t index)
{
	if (index <= l->base_index || index > get_log_last(l))
		return NULL;
	return &l->entries[index - l->base_index - 1];
}

/*
 * Appends a copy of e. Returns ERR_MEMORY with the log unchanged.
 */
int
append_log(struct raft_log *l, const struct raft_entry *e)
{
	struct raft_entry copy = *e, *grown;
	size_t cap;

	if (l->count == l->cap) {
		cap = l->cap != 0 ? l->cap * 2 : LOG_MIN_ENTRIES;
		grown = realloc(l->entries, cap * sizeof(*grown));
		if (grown == NULL)
			return ERR_MEMORY;
		l->entries = grown;
		l->cap = cap;
	}
	if (copy_bytes(e->data, &copy.data) != 0)
		return ERR_MEMORY;
	l->entries[l->count++] = copy;
	l->bytes += get_entry_bytes(e);
	return 0;
}

/*
 * Drops the entries from first on.
 */
void
truncate_log(struct raft_log *l, uint64_t first)
{
	while (l->count > 0 && get_log_last(l) >= first) {
		l->count--;
		l->bytes -= get_entry_bytes(&l->entries[l->count]);
		free_bytes(&l->entries[l->count].data);
	}
}

/*
 * Drops the entries up to and including index. Does nothing when the log has no
 * entry at index.
 */
void
trim_log(struct raft_log *l, uint64_t index)
{
	size_t n;

	if (index <= l->base_index || index > get_log_last(l))
		return;
	n = (size_t)(index - l->base_index);
	l->base_term = l->entries[n - 1].term;
	l->base_index = index;
	for (size_t i = 0; i < n; i++) {
		l->bytes -= get_entry_bytes(&l->entries[i]);
		free_bytes(&l->entries[i].data);
	}
	memmove(
	    l->entries, l->entries + n, (l->count - n) * sizeof(*l->entries));
	l->count -= n;
}

/*
 * Empties the log; the next entry appended gets index + 1.
 */
void
reset_log(struct raft_log *l, uint64_t index, uint64_t term)
{
	truncate_log(l, 0);
	l->base_index = index;
	l->base_term = term;
}

void
unload_log(struct raft_log *l)
{
	truncate_log(l, 0);
	free(l->entries);
	*l = (struct raft_log){0};
}

/*
 * Returns the bytes that an entry counts for in all size limits.
 */
size_t
get_entry_bytes(const struct raft_entry *e)
{
	return e->data.len + RAFT_ENTRY_OVERHEAD;
}

/*
 * Returns the highest index, at most index, whose term is at most term, or the
 * base index. Both sides of a log mismatch use it to skip whole terms.
 */
uint64_t
find_last_at_term(const struct raft_log *l, uint64_t index, uint64_t term)
{
	if (index > get_log_last(l))
		index = get_log_last(l);
	while (index > l->base_index && get_log_term(l, index) > term)
		index--;
	return index;
}

/*
 * Copies s; the caller frees *out with free_bytes(). Returns ERR_MEMORY.
 */
int
copy_bytes(struct str s, struct str *out)
{
	char *data;

	*out = (struct str){NULL, 0};
	if (s.len == 0)
		return 0;
	data = malloc(s.len);
	if (data == NULL)
		return ERR_MEMORY;
	memcpy(data, s.data, s.len);
	out->data = data;
	out->len = s.len;
	return 0;
}

void
free_bytes(struct str *s)
{
	free((char *)(uintptr_t)s->data);
	*s = (struct str){NULL, 0};
}
