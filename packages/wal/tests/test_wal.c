/*
 * Tests of the write-ahead log with power cuts, damaged files and failing
 * disks.
 */
#include <check.h>
#include <stdio.h>

#include "mem_io.h"
#include "wal_core.h"

#define FUZZ_RUNS 200000

/* State that a log must have after the operations that succeeded. */
struct expected_state {
	struct raft_hard_state hard;
	uint64_t snapshot; /* index */
	uint64_t last; /* index of the last entry */
	uint64_t term_at[256]; /* by index */
	bool last_op_uncertain; /* it failed; its effect may be on disk */
};

static int
open_mem_wal(struct mem_disk *d, struct wal **w, struct fault *f)
{
	struct wal_io io = get_mem_io(d);
	struct wal_config cfg = {
	    .dir = "/data", .id = 7, .segment_bytes = 400, .io = &io};

	return open_wal(&cfg, w, f);
}

/*
 * Stores at most 16 entries, the first at index first, each with the data
 * "entry INDEX TERM".
 */
static int
store_entries_at(
    struct wal *w, uint64_t first, uint64_t term, size_t count, struct fault *f)
{
	char text[16][32];
	struct raft_entry e[16];
	struct raft_store s = {.first = first, .entry_count = count};

	for (size_t i = 0; i < count; i++) {
		int n = snprintf(text[i], sizeof(text[i]), "entry %d %d",
		    (int)(first + i), (int)term);

		e[i] = (struct raft_entry){
		    term, RAFT_ENTRY_COMMAND, make_str_n(text[i], (size_t)n)};
	}
	s.entries = e;
	return store_wal(w, &s, f);
}

static int
store_hard(struct wal *w, uint64_t term, uint64_t vote, struct fault *f)
{
	struct raft_store s = {.has_hard = true, .hard = {term, vote}};

	return store_wal(w, &s, f);
}

/*
 * Saves a snapshot as taken by the member itself.
 */
static int
save_snapshot(struct wal *w, uint64_t index, uint64_t term, struct fault *f)
{
	struct raft_snapshot s = {
	    index, term, {1, {{7, true, "a:1"}}}, {"snapshot bytes", 14}};

	return save_wal_snapshot(w, &s, f);
}

/*
 * Stores a snapshot as received from a leader.
 */
static int
install_snapshot(struct wal *w, uint64_t index, uint64_t term, struct fault *f)
{
	struct raft_snapshot s = {
	    index, term, {1, {{7, true, "a:1"}}}, {"snapshot bytes", 14}};
	struct raft_store st = {.snapshot = &s, .first = index + 1};

	return store_wal(w, &st, f);
}

/*
 * Checks that the log has exactly these entries and that its snapshot ends
 * before the first one.
 */
static void
check_entries(const struct wal *w, uint64_t first, size_t count, uint64_t term)
{
	const struct raft_stored *s = get_wal_stored(w);
	char want[32];

	ck_assert_uint_eq(s->snapshot.index + 1, first);
	ck_assert_uint_eq(s->entry_count, count);
	for (size_t i = 0; i < count; i++) {
		snprintf(want, sizeof(want), "entry %d %d", (int)(first + i),
		    (int)term);
		ck_assert(is_str_equal(s->entries[i].data, make_str(want)));
	}
}

static struct mem_file *
find_last_segment(struct mem_disk *d)
{
	struct mem_file *last = NULL;

	for (int i = 0; i < MEM_FILES; i++) {
		struct mem_file *f = &d->file[i];

		if (f->used && strncmp(f->name, "log-", 4) == 0 &&
		    (last == NULL || strcmp(f->name, last->name) > 0))
			last = f;
	}
	return last;
}

/*
 * Guards against losing entries, hard state or the snapshot at a restart, also
 * when entries span several segments or replace a tail.
 */
START_TEST(stored_state_survives_a_restart)
{
	struct mem_disk *d = calloc(1, sizeof(*d));
	struct wal *w;

	ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
	ck_assert(is_wal_empty(w));
	ck_assert_int_eq(store_hard(w, 3, 2, NULL), 0);
	for (uint64_t i = 1; i <= 40; i += 4)
		ck_assert_int_eq(store_entries_at(w, i, 3, 4, NULL), 0);
	ck_assert_uint_gt(get_wal_counters(w).segments, 3);
	close_wal(w);
	cut_power(d, NULL);
	ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
	ck_assert(!is_wal_empty(w));
	ck_assert_uint_eq(get_wal_stored(w)->hard.term, 3);
	ck_assert_uint_eq(get_wal_stored(w)->hard.vote, 2);
	check_entries(w, 1, 40, 3);
	ck_assert_int_eq(store_entries_at(w, 11, 4, 2, NULL), 0);
	close_wal(w);
	ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
	ck_assert_uint_eq(get_wal_stored(w)->entry_count, 12);
	ck_assert_uint_eq(get_wal_stored(w)->entries[10].term, 4);
	ck_assert_int_eq(save_snapshot(w, 12, 4, NULL), 0);
	ck_assert_int_eq(store_entries_at(w, 13, 4, 1, NULL), 0);
	close_wal(w);
	ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
	check_entries(w, 13, 1, 4);
	ck_assert(is_str_equal(
	    get_wal_stored(w)->snapshot.data, make_str("snapshot bytes")));
	ck_assert_uint_eq(get_wal_stored(w)->snapshot.members.count, 1);
	ck_assert_uint_eq(get_wal_counters(w).torn_records, 0);
	close_wal(w);
	unload_mem_disk(d);
	free(d);
}
END_TEST

/*
 * Guards against losing entries after a snapshot: its compaction must not
 * remove a segment that also has later entries.
 */
START_TEST(snapshot_keeps_the_entries_after_it)
{
	struct mem_disk *d = calloc(1, sizeof(*d));
	struct wal *w;

	for (uint64_t at = 1; at < 40; at++) {
		unload_mem_disk(d);
		ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
		ck_assert_int_eq(store_hard(w, 3, 2, NULL), 0);
		for (uint64_t i = 1; i <= 40; i += 4)
			ck_assert_int_eq(store_entries_at(w, i, 3, 4, NULL), 0);
		ck_assert_int_eq(save_snapshot(w, at, 3, NULL), 0);
		close_wal(w);
		ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
		check_entries(w, at + 1, 40 - at, 3);
		close_wal(w);
	}
	unload_mem_disk(d);
	free(d);
}
END_TEST

/*
 * Guards against old entries that reappear after a restart although a leader's
 * snapshot replaced them.
 */
START_TEST(installed_snapshot_replaces_the_log)
{
	struct mem_disk *d = calloc(1, sizeof(*d));
	struct wal *w;

	ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
	ck_assert_int_eq(store_hard(w, 1, 1, NULL), 0);
	for (uint64_t i = 1; i <= 40; i += 4)
		ck_assert_int_eq(store_entries_at(w, i, 1, 4, NULL), 0);
	ck_assert_int_eq(install_snapshot(w, 30, 2, NULL), 0);
	ck_assert_int_eq(store_entries_at(w, 31, 2, 2, NULL), 0);
	close_wal(w);
	ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
	check_entries(w, 31, 2, 2);
	ck_assert_int_eq(install_snapshot(w, 50, 3, NULL), 0);
	ck_assert_int_eq(store_entries_at(w, 51, 3, 1, NULL), 0);
	close_wal(w);
	ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
	check_entries(w, 51, 1, 3);
	close_wal(w);
	unload_mem_disk(d);
	free(d);
}
END_TEST

static void
store_sample_log(struct mem_disk *d)
{
	struct wal *w;

	ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
	ck_assert_int_eq(store_hard(w, 1, 7, NULL), 0);
	ck_assert_int_eq(store_entries_at(w, 1, 1, 5, NULL), 0);
	ck_assert_int_eq(store_entries_at(w, 6, 1, 1, NULL), 0);
	close_wal(w);
}

/*
 * Guards against a torn last record, as a power cut leaves it, that prevents
 * the start or is replayed.
 */
START_TEST(last_record_torn_at_any_byte_is_truncated)
{
	struct mem_disk *d = calloc(1, sizeof(*d));
	size_t size = 0, cut = 1;
	struct wal *w;

	do {
		struct mem_file *f;

		unload_mem_disk(d);
		ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
		ck_assert_int_eq(store_hard(w, 1, 7, NULL), 0);
		ck_assert_int_eq(store_entries_at(w, 1, 1, 5, NULL), 0);
		size = find_last_segment(d)->now.len;
		ck_assert_int_eq(store_entries_at(w, 6, 1, 8, NULL), 0);
		close_wal(w);
		f = find_last_segment(d);
		size = f->now.len - size;
		f->now.len -= cut;
		ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
		check_entries(w, 1, 5, 1);
		ck_assert_uint_eq(
		    get_wal_counters(w).torn_records, cut < size ? 1 : 0);
		/* New records follow the last complete one. */
		ck_assert_int_eq(store_entries_at(w, 6, 2, 1, NULL), 0);
		close_wal(w);
		ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
		ck_assert_uint_eq(get_wal_stored(w)->entry_count, 6);
		close_wal(w);
	} while (cut++ < size);
	ck_assert_uint_gt(size, RECORD_HEADER_BYTES);
	unload_mem_disk(d);
	free(d);
}
END_TEST

/*
 * Guards against a member that never starts again after a power cut: the file
 * had its new length, but only the first bytes of the last record, whose rest
 * reads as zeros from any byte on.
 */
START_TEST(last_record_with_zeros_from_any_byte_is_truncated)
{
	struct mem_disk *d = calloc(1, sizeof(*d));
	struct fault f = {0};
	size_t size = 0, cut = 1;
	struct wal *w;

	do {
		struct mem_file *m;

		unload_mem_disk(d);
		ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
		ck_assert_int_eq(store_hard(w, 1, 7, NULL), 0);
		ck_assert_int_eq(store_entries_at(w, 1, 1, 5, NULL), 0);
		size = find_last_segment(d)->now.len;
		if (_i == 0)
			ck_assert_int_eq(store_entries_at(w, 6, 1, 8, NULL), 0);
		else /* its payload ends with zeros */
			ck_assert_int_eq(write_reset(w, 5, 1, &f), 0);
		close_wal(w);
		m = find_last_segment(d);
		size = m->now.len - size;
		memset(m->now.data + m->now.len - cut, 0, cut);
		ck_assert_msg(open_mem_wal(d, &w, &f) == 0,
		    "%d of %d bytes: %s", (int)cut, (int)size, f.text);
		check_entries(w, 1, 5, 1);
		ck_assert_uint_eq(get_wal_counters(w).torn_records, 1);
		ck_assert_int_eq(store_entries_at(w, 6, 2, 1, NULL), 0);
		close_wal(w);
		ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
		ck_assert_uint_eq(get_wal_stored(w)->entry_count, 6);
		close_wal(w);
	} while (cut++ < size);
	ck_assert_uint_gt(size, RECORD_HEADER_BYTES);
	unload_mem_disk(d);
	free(d);
}
END_TEST

/*
 * Guards against a bit error in a last record whose payload ends with zeros that
 * is mistaken for a torn record and cut off.
 */
START_TEST(flipped_bit_before_zeros_is_detected)
{
	struct mem_disk *d = calloc(1, sizeof(*d));
	struct mem_file *m;
	struct wal *w;
	size_t start;

	ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
	ck_assert_int_eq(store_hard(w, 1, 7, NULL), 0);
	ck_assert_int_eq(store_entries_at(w, 1, 1, 5, NULL), 0);
	start = find_last_segment(d)->now.len;
	ck_assert_int_eq(write_reset(w, 5, 1, NULL), 0);
	close_wal(w);
	m = find_last_segment(d);
	for (size_t bit = 8 * start; bit < 8 * m->now.len; bit++) {
		m->now.data[bit / 8] ^= (char)(1 << bit % 8);
		ck_assert_msg(open_mem_wal(d, &w, NULL) == ERR_CORRUPT,
		    "bit %d", (int)(bit - 8 * start));
		m->now.data[bit / 8] ^= (char)(1 << bit % 8);
	}
	unload_mem_disk(d);
	free(d);
}
END_TEST

/*
 * Guards against a log of an earlier version, without end bytes, that cannot be
 * read any more.
 */
START_TEST(records_without_an_end_byte_are_read)
{
	static const char payload[] = "payload";
	char bytes[RECORD_HEADER_BYTES + sizeof(payload)] = {0};
	struct record rec;

	put_u32(bytes, RECORD_MAGIC);
	put_u32(bytes + 4, RECORD_BATCH);
	put_u32(bytes + 8, sizeof(payload));
	put_u64(bytes + 16, 9);
	put_u64(bytes + 24, hash_bytes(payload, sizeof(payload), 3));
	put_u32(
	    bytes + 12, (uint32_t)hash_bytes(bytes, RECORD_HEADER_BYTES, 3));
	memcpy(bytes + RECORD_HEADER_BYTES, payload, sizeof(payload));
	ck_assert_int_eq(
	    decode_record(make_str_n(bytes, sizeof(bytes)), 0, 3, 9, &rec),
	    RECORD_OK);
	ck_assert_int_eq(rec.type, RECORD_BATCH);
	ck_assert_uint_eq(rec.size, sizeof(bytes));
	ck_assert(
	    is_str_equal(rec.payload, make_str_n(payload, sizeof(payload))));
	bytes[RECORD_HEADER_BYTES] ^= 1;
	ck_assert_int_eq(
	    decode_record(make_str_n(bytes, sizeof(bytes)), 0, 3, 9, &rec),
	    RECORD_CORRUPT);
}
END_TEST

/*
 * Guards against bit errors in any file that go undetected or are mistaken for
 * a torn record and cut off.
 */
START_TEST(any_flipped_byte_is_detected)
{
	struct mem_disk *d = calloc(1, sizeof(*d));
	struct fault f = {0};
	uint64_t flips = 0;
	struct wal *w;

	ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
	ck_assert_int_eq(store_hard(w, 1, 7, NULL), 0);
	for (uint64_t i = 1; i <= 24; i += 4)
		ck_assert_int_eq(store_entries_at(w, i, 1, 4, NULL), 0);
	ck_assert_int_eq(save_snapshot(w, 5, 1, NULL), 0);
	close_wal(w);
	for (int i = 0; i < MEM_FILES; i++) {
		struct mem_file *m = &d->file[i];

		for (size_t at = 0;
		     m->used && m->name[0] != '\0' && at < m->now.len; at++) {
			m->now.data[at] ^= 0x20;
			w = NULL;
			ck_assert_msg(open_mem_wal(d, &w, &f) == ERR_CORRUPT,
			    "%s byte %d", m->name, (int)at);
			ck_assert_ptr_nonnull(strstr(f.text,
			    "wipe the data directory and rejoin as a new "
			    "member"));
			m->now.data[at] ^= 0x20;
			flips++;
		}
	}
	ck_assert_uint_gt(flips, 500);
	ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
	check_entries(w, 6, 19, 1);
	close_wal(w);
	unload_mem_disk(d);
	free(d);
}
END_TEST

/*
 * Guards against a start with the state file or a segment missing, which would
 * lose a vote or acknowledged entries.
 */
START_TEST(missing_state_or_segment_is_refused)
{
	static const char *const missing[] = {
	    "state", "log-0000000000000002", "log-0000000000000001"};
	struct mem_disk *d = calloc(1, sizeof(*d));
	struct fault f = {0};
	struct wal *w;

	for (size_t i = 0; i < sizeof(missing) / sizeof(missing[0]); i++) {
		ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
		ck_assert_int_eq(store_hard(w, 1, 7, NULL), 0);
		for (uint64_t k = 1; k <= 48; k += 4)
			ck_assert_int_eq(store_entries_at(w, k, 1, 4, NULL), 0);
		close_wal(w);
		find_mem_file(d, missing[i])->name[0] = '\0';
		ck_assert_int_eq(open_mem_wal(d, &w, &f), ERR_CORRUPT);
		ck_assert_ptr_nonnull(strstr(f.text, "rejoin as a new member"));
		unload_mem_disk(d);
	}
	free(d);
}
END_TEST

static int
open_mem_wal_of(
    struct mem_disk *d, uint64_t id, struct wal **w, struct fault *f)
{
	struct wal_io io = get_mem_io(d);
	struct wal_config cfg = {
	    .dir = "/data", .id = id, .segment_bytes = 400, .io = &io};

	return open_wal(&cfg, w, f);
}

/*
 * Guards against a process that can never start again: it was killed before its
 * log had stored anything, and chooses another id when it starts again. That
 * log is given to the new id, whatever fails meanwhile, and only as long as it
 * is empty.
 */
START_TEST(empty_log_of_another_member_is_taken_over)
{
	static const enum mem_fault ways[] = {MEM_FAULT_NONE, MEM_FAULT_ONCE,
	    MEM_FAULT_CRASH, MEM_FAULT_FULL, MEM_FAULT_SYNC, MEM_FAULT_NAMES};
	struct mem_disk *d = calloc(1, sizeof(*d));
	struct fault f = {0};
	struct wal *w;
	struct rng rng;
	int rc;

	for (uint64_t seed = 0; seed < 20 * 30 * 6; seed++) {
		seed_rng(&rng, seed);
		ck_assert_int_eq(open_mem_wal_of(d, 7, &w, &f), 0);
		close_wal(w);
		cut_power(d, &rng);
		d->fault = ways[seed % 6];
		d->fault_at = 1 + seed / 6 % 30;
		rc = open_mem_wal_of(d, 8, &w, &f);
		ck_assert_msg(rc == 0 || rc == ERR_IO, "%s", f.text);
		if (rc == 0)
			close_wal(w);
		cut_power(d, &rng);
		ck_assert_msg(open_mem_wal_of(d, 8, &w, &f) == 0, "seed %d: %s",
		    (int)seed, f.text);
		ck_assert(is_wal_empty(w));
		ck_assert_int_eq(store_hard(w, 1, 8, &f), 0);
		ck_assert_int_eq(store_entries_at(w, 1, 1, 2, &f), 0);
		close_wal(w);
		cut_power(d, &rng);
		ck_assert_int_eq(open_mem_wal_of(d, 7, &w, &f), ERR_INVALID);
		ck_assert_int_eq(open_mem_wal_of(d, 8, &w, &f), 0);
		check_entries(w, 1, 2, 1);
		close_wal(w);
		unload_mem_disk(d);
	}
	free(d);
}
END_TEST

/*
 * Guards against taking over a log that has stored a vote, or the members of a
 * bootstrap only: its id may not be forgotten.
 */
START_TEST(used_log_of_another_member_is_not_taken_over)
{
	struct mem_disk *d = calloc(1, sizeof(*d));
	struct fault f = {0};
	struct wal *w;

	ck_assert_int_eq(open_mem_wal_of(d, 7, &w, &f), 0);
	if (_i == 0)
		ck_assert_int_eq(store_hard(w, 1, 9, &f), 0);
	else
		ck_assert_int_eq(save_snapshot(w, 0, 0, &f), 0);
	close_wal(w);
	ck_assert_int_eq(open_mem_wal_of(d, 8, &w, &f), ERR_INVALID);
	ck_assert_int_eq(open_mem_wal_of(d, 7, &w, &f), 0);
	ck_assert(!is_wal_empty(w));
	close_wal(w);
	unload_mem_disk(d);
	free(d);
}
END_TEST

/*
 * Guards against a member that starts with another member's data directory and
 * so votes with its term and vote.
 */
START_TEST(directory_of_another_member_is_refused)
{
	struct mem_disk *d = calloc(1, sizeof(*d));
	struct wal_io io = get_mem_io(d);
	struct wal_config cfg = {.dir = "/data", .id = 8, .io = &io};
	struct fault f = {0};
	struct wal *w;

	store_sample_log(d);
	ck_assert_int_eq(open_wal(&cfg, &w, &f), ERR_INVALID);
	ck_assert_ptr_nonnull(strstr(f.text, "belongs to member 7"));
	unload_mem_disk(d);
	free(d);
}
END_TEST

/*
 * Runs operation op of a fixed sequence and updates m if it succeeds. Returns
 * ERR_NOT_FOUND after the last one.
 */
static int
run_operation(struct wal *w, int op, struct expected_state *m, struct fault *f)
{
	struct expected_state next = *m;
	int rc;

	switch (op) {
	case 0:
		next.hard = (struct raft_hard_state){1, 7};
		rc = store_hard(w, 1, 7, f);
		break;
	case 5:
		next.hard = (struct raft_hard_state){2, 1};
		rc = store_hard(w, 2, 1, f);
		break;
	case 6: /* replaces the tail */
		next.last = 10;
		for (uint64_t i = 9; i <= 10; i++)
			next.term_at[i] = 2;
		rc = store_entries_at(w, 9, 2, 2, f);
		break;
	case 7:
		next.snapshot = 8;
		rc = save_snapshot(w, 8, next.term_at[8], f);
		break;
	case 10:
		next.snapshot = 40;
		next.last = 40;
		rc = install_snapshot(w, 40, 2, f);
		break;
	case 13:
		return ERR_NOT_FOUND;
	default:
		for (uint64_t i = 1; i <= 4; i++)
			next.term_at[next.last + i] = next.hard.term;
		rc = store_entries_at(w, next.last + 1, next.hard.term, 4, f);
		next.last += 4;
	}
	if (rc == 0)
		*m = next;
	else
		m->last_op_uncertain = true;
	return rc;
}

/*
 * Checks that the log has at least the state m. fault_at and op name the failed
 * operation in messages.
 */
static void
check_expected_state(const struct wal *w, const struct expected_state *m,
    uint64_t fault_at, int op)
{
	const struct raft_stored *s = get_wal_stored(w);
	uint64_t last = s->snapshot.index + s->entry_count;

	ck_assert_msg(s->hard.term >= m->hard.term, "term, fault %d op %d",
	    (int)fault_at, op);
	if (s->hard.term == m->hard.term)
		ck_assert_uint_eq(s->hard.vote, m->hard.vote);
	ck_assert_uint_ge(s->snapshot.index, m->snapshot);
	if (s->snapshot.index == m->snapshot && op != 6)
		ck_assert_msg(last >= m->last, "lost entries, fault %d op %d",
		    (int)fault_at, op);
	for (uint64_t i = s->snapshot.index + 1; i <= m->last && i <= last;
	     i++) {
		/* Operation 6 replaces entries 9 and above, or failed. */
		if (op == 6 && i >= 9)
			break;
		ck_assert_uint_eq(
		    s->entries[i - s->snapshot.index - 1].term, m->term_at[i]);
	}
}

/*
 * Runs the sequence with a fault at file operation fault_at, then cuts the
 * power and opens the log again. Returns false when the sequence ended before
 * the fault.
 */
static bool
run_with_fault(enum mem_fault fault, uint64_t fault_at, struct rng *rng)
{
	struct mem_disk *d = calloc(1, sizeof(*d));
	struct expected_state m = {0};
	struct fault f = {0}, later_fault = {0};
	struct wal *w = NULL;
	int rc, op = 0;
	bool fault_hit;

	d->fault = fault;
	d->fault_at = fault_at;
	rc = open_mem_wal(d, &w, &f);
	if (rc == 0) {
		for (op = 0; rc == 0; op++)
			rc = run_operation(w, op, &m, &f);
		op--;
		if (rc == ERR_IO) {
			/* The log stays failed and repeats no sync. */
			d->fault = MEM_FAULT_NONE;
			ck_assert(has_wal_failed(w));
			ck_assert_int_eq(
			    store_hard(w, 9, 9, &later_fault), ERR_IO);
			ck_assert_int_eq(
			    store_entries_at(w, m.last + 1, 9, 1, &later_fault),
			    ERR_IO);
			ck_assert_int_eq(
			    save_snapshot(w, m.last, 1, &later_fault), ERR_IO);
			ck_assert_uint_eq(d->syncs_after_failure, 0);
		}
		close_wal(w);
	}
	fault_hit = rc != ERR_NOT_FOUND;
	if (fault_hit)
		ck_assert_int_eq(rc, ERR_IO);
	if (fault == MEM_FAULT_FULL && fault_hit)
		ck_assert_ptr_nonnull(strstr(f.text, "free space"));
	cut_power(d, rng);
	rc = open_mem_wal(d, &w, &f);
	ck_assert_msg(rc == 0, "fault %d at %d op %d: %s", (int)fault,
	    (int)fault_at, op, f.text);
	check_expected_state(w, &m, fault_at, op);
	/* The log accepts new writes, and they survive a restart. */
	{
		const struct raft_stored *s = get_wal_stored(w);
		uint64_t last = s->snapshot.index + s->entry_count;

		ck_assert_int_eq(store_hard(w, 8, 7, NULL), 0);
		ck_assert_int_eq(store_entries_at(w, last + 1, 8, 3, NULL), 0);
		close_wal(w);
		ck_assert_int_eq(open_mem_wal(d, &w, &f), 0);
		s = get_wal_stored(w);
		ck_assert_uint_eq(s->snapshot.index + s->entry_count, last + 3);
		ck_assert_uint_eq(s->hard.term, 8);
		close_wal(w);
	}
	unload_mem_disk(d);
	free(d);
	return fault_hit;
}

/* Guards against opening the log again while the disk still refuses writes. */
START_TEST(probe_tells_whether_the_disk_takes_writes)
{
	static const struct {
		enum mem_fault fault;
		int want;
	} cases[] = {{MEM_FAULT_NONE, 0}, {MEM_FAULT_FULL, ERR_IO},
	    {MEM_FAULT_SYNC, ERR_IO}, {MEM_FAULT_NONE, 0}};
	struct mem_disk *d = calloc(1, sizeof(*d));
	struct wal_io io = get_mem_io(d);
	struct wal_config cfg = {.dir = "/data", .id = 1, .io = &io};
	struct fault f = {0};
	struct wal *w = NULL;

	ck_assert_int_eq(open_mem_wal(d, &w, &f), 0);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		d->fault = cases[i].fault;
		d->fault_at = d->ops + 1;
		ck_assert_int_eq(probe_wal_disk(&cfg, &f), cases[i].want);
	}
	close_wal(w);
	ck_assert_int_eq(open_mem_wal(d, &w, &f), 0);
	close_wal(w);
	unload_mem_disk(d);
	free(d);
}
END_TEST

static const enum mem_fault faults[] = {MEM_FAULT_ONCE, MEM_FAULT_CRASH,
    MEM_FAULT_FULL, MEM_FAULT_SYNC, MEM_FAULT_NAMES};

/*
 * Guards against losing durable state: every file operation of the sequence
 * fails in five ways, each followed by eleven different power cuts.
 */
START_TEST(fault_at_any_operation_loses_no_durable_state)
{
	struct rng rng;
	uint64_t at;

	for (at = 1; at < 1000 && run_with_fault(faults[_i], at, NULL); at++) {
		for (uint64_t seed = 1; seed <= 10; seed++) {
			seed_rng(&rng, at * 100 + seed);
			run_with_fault(faults[_i], at, &rng);
		}
	}
	ck_assert_uint_gt(at, 30);
}
END_TEST

/*
 * Runs the sequence with a fault at file operation fault_at, opens the log again
 * when the disk works, and cuts the power right after. What the opened log
 * reported must be there. Returns false when the sequence ended before the
 * fault.
 */
static bool
reopen_before_power_cut(
    enum mem_fault fault, uint64_t fault_at, struct rng *rng)
{
	struct mem_disk *d = calloc(1, sizeof(*d));
	struct expected_state m = {0};
	struct fault f = {0};
	struct raft_stored opened;
	struct wal *w = NULL, *again = NULL;
	const struct raft_stored *s;
	int rc, op = 0;

	d->fault = fault;
	d->fault_at = fault_at;
	rc = open_mem_wal(d, &w, &f);
	for (op = 0; rc == 0; op++)
		rc = run_operation(w, op, &m, &f);
	close_wal(w);
	d->fault = MEM_FAULT_NONE;
	if (rc == ERR_IO) {
		w = NULL;
		ck_assert_msg(open_mem_wal(d, &w, &f) == 0, "%s", f.text);
		check_expected_state(w, &m, fault_at, op - 1);
		opened = *get_wal_stored(w);
		cut_power(d, rng);
		ck_assert_msg(open_mem_wal(d, &again, &f) == 0,
		    "fault %d at %d op %d: %s", (int)fault, (int)fault_at, op,
		    f.text);
		s = get_wal_stored(again);
		ck_assert_uint_eq(s->hard.term, opened.hard.term);
		ck_assert_uint_eq(s->hard.vote, opened.hard.vote);
		ck_assert_uint_eq(s->snapshot.index, opened.snapshot.index);
		ck_assert_msg(s->entry_count == opened.entry_count,
		    "fault %d at %d op %d: %d of %d entries", (int)fault,
		    (int)fault_at, op, (int)s->entry_count,
		    (int)opened.entry_count);
		close_wal(again);
		close_wal(w);
	}
	unload_mem_disk(d);
	free(d);
	return rc == ERR_IO;
}

/*
 * Guards against depending on what is only in the page cache: after a failed
 * sync the dirty pages and names count as clean, and a power cut right after
 * the recovery loses them unless they are written anew.
 */
START_TEST(reopened_log_survives_a_power_cut)
{
	struct rng rng;
	uint64_t at;

	for (at = 1; at < 1000 && reopen_before_power_cut(faults[_i], at, NULL);
	     at++) {
		for (uint64_t seed = 1; seed <= 10; seed++) {
			seed_rng(&rng, at * 100 + seed);
			reopen_before_power_cut(faults[_i], at, &rng);
		}
	}
	ck_assert_uint_gt(at, 30);
}
END_TEST

/*
 * Guards against a member that can never start again: segments that a snapshot
 * covers were removed, and a power cut has brought back one of them with a gap
 * after it.
 */
START_TEST(removed_segment_that_returns_is_ignored)
{
	struct mem_disk *d = calloc(1, sizeof(*d));
	struct buf first = {0};
	struct mem_file *file;
	struct fault f = {0};
	struct wal *w;

	ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
	ck_assert_int_eq(store_hard(w, 1, 7, NULL), 0);
	for (uint64_t k = 1; k <= 48; k += 4)
		ck_assert_int_eq(store_entries_at(w, k, 1, 4, NULL), 0);
	file = find_mem_file(d, "log-0000000000000001");
	copy_to_mem_buf(&first, view_buf(&file->now));
	ck_assert_int_eq(save_snapshot(w, 40, 1, NULL), 0);
	close_wal(w);
	ck_assert_ptr_null(find_mem_file(d, "log-0000000000000001"));
	ck_assert_ptr_null(find_mem_file(d, "log-0000000000000002"));
	file = create_mem_file(d, "log-0000000000000001");
	copy_to_mem_buf(&file->now, view_buf(&first));
	ck_assert_msg(open_mem_wal(d, &w, &f) == 0, "%s", f.text);
	check_entries(w, 41, 8, 1);
	ck_assert_ptr_null(find_mem_file(d, "log-0000000000000001"));
	close_wal(w);
	unload_buf(&first);
	unload_mem_disk(d);
	free(d);
}
END_TEST

/*
 * Stores a snapshot of index 40 with a fault at that file operation. Returns
 * whether it was stored and the removal of an older one was refused.
 */
static bool
refuse_removal(struct mem_disk *d, uint64_t fault_at)
{
	struct mem_file *file;
	struct wal *w;
	int rc;

	ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
	ck_assert_int_eq(store_hard(w, 1, 7, NULL), 0);
	for (uint64_t k = 1; k <= 48; k += 4)
		ck_assert_int_eq(store_entries_at(w, k, 1, 4, NULL), 0);
	ck_assert_int_eq(save_snapshot(w, 8, 1, NULL), 0);
	file = create_mem_file(d, "snapshot-0000000000000004");
	copy_to_mem_buf(&file->now, make_str("older"));
	d->fault = MEM_FAULT_ONCE;
	d->fault_at = d->ops + fault_at;
	rc = save_snapshot(w, 40, 1, NULL);
	d->fault = MEM_FAULT_NONE;
	close_wal(w);
	return rc == ERR_IO &&
	       find_mem_file(d, "snapshot-0000000000000028") != NULL &&
	       find_mem_file(d, "snapshot-0000000000000008") != NULL;
}

/*
 * Guards against a disk that fills up with files that a snapshot covers: their
 * removal was refused, and the log was opened again.
 */
START_TEST(covered_files_are_removed_at_the_next_opening)
{
	struct mem_disk *d = calloc(1, sizeof(*d));
	uint64_t at = 1;
	struct wal *w;

	while (at < 100 && !refuse_removal(d, at)) {
		unload_mem_disk(d);
		at++;
	}
	ck_assert_uint_lt(at, 100);
	ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
	check_entries(w, 41, 8, 1);
	ck_assert_ptr_null(find_mem_file(d, "snapshot-0000000000000004"));
	ck_assert_ptr_null(find_mem_file(d, "snapshot-0000000000000008"));
	ck_assert_ptr_null(find_mem_file(d, "log-0000000000000001"));
	ck_assert_ptr_null(find_mem_file(d, "log-0000000000000002"));
	close_wal(w);
	ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
	check_entries(w, 41, 8, 1);
	close_wal(w);
	unload_mem_disk(d);
	free(d);
}
END_TEST

/*
 * Guards against losing an entry that was replayed after a failed sync: it may
 * have been in the page cache only, so the start must write and sync it again.
 */
START_TEST(last_record_is_written_again_at_start)
{
	struct mem_disk *d = calloc(1, sizeof(*d));
	struct wal *w;

	ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
	ck_assert_int_eq(store_hard(w, 1, 7, NULL), 0);
	ck_assert_int_eq(store_entries_at(w, 1, 1, 2, NULL), 0);
	d->fault = MEM_FAULT_SYNC;
	d->fault_at = d->ops;
	ck_assert_int_eq(store_entries_at(w, 3, 1, 2, NULL), ERR_IO);
	close_wal(w);
	/* The process restarts without a power cut: the cache survives. */
	d->fault = MEM_FAULT_NONE;
	ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
	ck_assert_uint_eq(get_wal_stored(w)->entry_count, 4);
	close_wal(w);
	cut_power(d, NULL);
	ck_assert_int_eq(open_mem_wal(d, &w, NULL), 0);
	ck_assert_uint_eq(get_wal_stored(w)->entry_count, 4);
	close_wal(w);
	unload_mem_disk(d);
	free(d);
}
END_TEST

/*
 * Guards against a record decoder that reads out of bounds or accepts damaged
 * bytes. Fixed seed; damages 1 to 4 bytes and sometimes cuts the end.
 */
START_TEST(mutated_records_never_decode_as_others)
{
	struct buf valid = {0}, copy = {0};
	struct record rec;
	struct rng r;
	uint64_t refused = 0;

	seed_rng(&r, 42);
	for (uint64_t i = 1; i <= 6; i++) {
		char data[100];

		memset(data, (int)('a' + i), sizeof(data));
		ck_assert_int_eq(append_record(&valid, RECORD_BATCH, i, 3,
				     make_str_n(data, 10 * i)),
		    0);
	}
	for (int i = 0; i < FUZZ_RUNS; i++) {
		enum record_result res = RECORD_OK;
		size_t at = 0;

		copy_to_mem_buf(&copy, view_buf(&valid));
		for (uint64_t k = 1 + draw_below(&r, 4); k > 0; k--)
			copy.data[draw_below(&r, copy.len)] =
			    (char)draw_u64(&r);
		copy.len -=
		    draw_below(&r, 8) == 0 ? draw_below(&r, copy.len) : 0;
		for (uint64_t seq = 1; res == RECORD_OK; seq++) {
			res = decode_record(view_buf(&copy), at, 3, seq, &rec);
			if (res != RECORD_OK)
				break;
			ck_assert_uint_le(at + rec.size, copy.len);
			ck_assert_int_eq(
			    memcmp(copy.data + at, valid.data + at, rec.size),
			    0);
			at += rec.size;
		}
		refused += res == RECORD_CORRUPT || res == RECORD_TORN;
	}
	ck_assert_uint_gt(refused, FUZZ_RUNS / 2);
	unload_buf(&valid);
	unload_buf(&copy);
}
END_TEST

/*
 * Guards against a crash or extra entries when a log with damaged bytes is
 * replayed.
 */
START_TEST(mutated_segment_never_crashes)
{
	struct mem_disk *d = calloc(1, sizeof(*d));
	struct mem_file *f;
	struct wal *w;
	struct rng r;

	seed_rng(&r, 5);
	for (int i = 0; i < 5000; i++) {
		unload_mem_disk(d);
		store_sample_log(d);
		f = find_last_segment(d);
		for (uint64_t k = 1 + draw_below(&r, 6); k > 0; k--)
			f->now.data[draw_below(&r, f->now.len)] =
			    (char)draw_u64(&r);
		f->now.len -=
		    draw_below(&r, 3) == 0 ? draw_below(&r, f->now.len) : 0;
		if (open_mem_wal(d, &w, NULL) == 0) {
			ck_assert_uint_le(get_wal_stored(w)->entry_count, 6);
			close_wal(w);
		}
	}
	unload_mem_disk(d);
	free(d);
}
END_TEST

/*
 * Guards against two processes that write the same log, for example when an
 * operator starts a member twice.
 */
START_TEST(second_process_is_refused)
{
	char dir[] = "/tmp/ggs-wal-XXXXXX", path[64];
	struct wal_config cfg = {.id = 7};
	struct fault f = {0};
	struct wal *w, *second;
	static const char *const names[] = {
	    "lock", "state", "log-0000000000000001"};

	ck_assert_ptr_nonnull(mkdtemp(dir));
	cfg.dir = dir;
	ck_assert_int_eq(open_wal(&cfg, &w, NULL), 0);
	ck_assert_int_eq(open_wal(&cfg, &second, &f), ERR_CONFLICT);
	ck_assert_ptr_nonnull(strstr(f.text, "stop it first"));
	close_wal(w);
	ck_assert_int_eq(open_wal(&cfg, &w, NULL), 0);
	close_wal(w);
	for (int i = 0; i < 3; i++) {
		snprintf(path, sizeof(path), "%s/%s", dir, names[i]);
		ck_assert_int_eq(remove(path), 0);
	}
	ck_assert_int_eq(remove(dir), 0);
}
END_TEST

/*
 * Guards against system file operations that behave differently from the ones
 * in memory that the other tests use.
 */
START_TEST(log_works_on_system_files)
{
	char dir[] = "/tmp/ggs-wal-XXXXXX", path[64];
	struct wal_config cfg = {.id = 7, .segment_bytes = 400};
	struct wal *w;

	ck_assert_ptr_nonnull(mkdtemp(dir));
	cfg.dir = dir;
	ck_assert_int_eq(open_wal(&cfg, &w, NULL), 0);
	ck_assert_int_eq(store_hard(w, 2, 7, NULL), 0);
	for (uint64_t i = 1; i <= 40; i += 4)
		ck_assert_int_eq(store_entries_at(w, i, 2, 4, NULL), 0);
	ck_assert_int_eq(save_snapshot(w, 38, 2, NULL), 0);
	ck_assert_uint_le(get_wal_counters(w).segments, 2);
	close_wal(w);
	ck_assert_int_eq(open_wal(&cfg, &w, NULL), 0);
	check_entries(w, 39, 2, 2);
	for (uint64_t n = 1; n < 20; n++) {
		snprintf(path, sizeof(path), "%s/log-%016llx", dir,
		    (unsigned long long)n);
		remove(path);
	}
	close_wal(w);
	snprintf(path, sizeof(path), "%s/snapshot-%016x", dir, 38);
	ck_assert_int_eq(remove(path), 0);
	snprintf(path, sizeof(path), "%s/lock", dir);
	ck_assert_int_eq(remove(path), 0);
	snprintf(path, sizeof(path), "%s/state", dir);
	ck_assert_int_eq(remove(path), 0);
	ck_assert_int_eq(remove(dir), 0);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("wal");
	TCase *t = tcase_create("log");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_test(t, stored_state_survives_a_restart);
	tcase_add_test(t, snapshot_keeps_the_entries_after_it);
	tcase_add_test(t, installed_snapshot_replaces_the_log);
	tcase_add_test(t, last_record_torn_at_any_byte_is_truncated);
	tcase_add_loop_test(
	    t, last_record_with_zeros_from_any_byte_is_truncated, 0, 2);
	tcase_add_test(t, flipped_bit_before_zeros_is_detected);
	tcase_add_test(t, records_without_an_end_byte_are_read);
	tcase_add_test(t, any_flipped_byte_is_detected);
	tcase_add_test(t, missing_state_or_segment_is_refused);
	tcase_add_test(t, empty_log_of_another_member_is_taken_over);
	tcase_add_loop_test(
	    t, used_log_of_another_member_is_not_taken_over, 0, 2);
	tcase_add_test(t, directory_of_another_member_is_refused);
	tcase_add_test(t, probe_tells_whether_the_disk_takes_writes);
	tcase_add_loop_test(t, fault_at_any_operation_loses_no_durable_state, 0,
	    (int)(sizeof(faults) / sizeof(faults[0])));
	tcase_add_loop_test(t, reopened_log_survives_a_power_cut, 0,
	    sizeof(faults) / sizeof(faults[0]));
	tcase_add_test(t, removed_segment_that_returns_is_ignored);
	tcase_add_test(t, covered_files_are_removed_at_the_next_opening);
	tcase_add_test(t, last_record_is_written_again_at_start);
	tcase_add_test(t, mutated_records_never_decode_as_others);
	tcase_add_test(t, mutated_segment_never_crashes);
	tcase_add_test(t, second_process_is_refused);
	tcase_add_test(t, log_works_on_system_files);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? 0 : 1;
}
