/*
 * Files that are read and replaced as a unit: the hard state and snapshots; the
 * lock file, file names and faults.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "wal_core.h"

#define LOCK_NAME "lock"
#define STATE_NAME "state"
#define STATE_MAGIC 0x54534747u /* "GGST" */
#define STATE_BYTES 40
#define SNAPSHOT_MAGIC 0x53534747u /* "GGSS" */
#define SNAPSHOT_HEADER_BYTES 56
#define TEMP_SUFFIX ".tmp"

/*
 * Puts the log into the failed state, which ends when it is opened again; rc is
 * the negative errno of operation op. No operation is retried before: after a
 * failed sync the system may have dropped the dirty pages and marked them clean,
 * so a second sync could succeed without the data.
 */
int
fail_wal(
    struct wal *w, struct fault *f, const char *op, const char *name, int rc)
{
	w->failed = true;
	if (rc == -ENOSPC || rc == -EDQUOT)
		return set_fault(f, ERR_IO,
		    "disk full (%s %s/%s); free space, the member then comes "
		    "back",
		    op, w->dir, name);
	return set_fault(f, ERR_IO,
	    "%s %s/%s: %s; check the disk; the member comes back when it works",
	    op, w->dir, name, strerror(-rc));
}

/*
 * Reports a damaged file or directory. Returns ERR_CORRUPT.
 */
int
set_damage_fault(struct fault *f, const char *name, const char *reason)
{
	return set_fault(f, ERR_CORRUPT,
	    "%s is damaged (%s); wipe the data directory and rejoin as a new "
	    "member",
	    name, reason);
}

int
make_path(const struct wal *w, const char *name, char *path)
{
	int len = snprintf(path, WAL_PATH_BYTES, "%s/%s", w->dir, name);

	return len < WAL_PATH_BYTES ? 0 : ERR_LIMIT;
}

void
format_segment_name(uint64_t number, char *name)
{
	snprintf(
	    name, WAL_PATH_BYTES, "log-%016llx", (unsigned long long)number);
}

void
format_snapshot_name(uint64_t index, char *name)
{
	snprintf(name, WAL_PATH_BYTES, "snapshot-%016llx",
	    (unsigned long long)index);
}

/*
 * Appends the content of a file to out. Returns ERR_NOT_FOUND when there is no
 * such file, ERR_IO when reading fails and ERR_MEMORY.
 */
int
read_whole_file(
    struct wal *w, const char *name, struct buf *out, struct fault *f)
{
	char path[WAL_PATH_BYTES], *chunk;
	const size_t chunk_bytes = 256 * 1024;
	ssize_t n;
	int fd, rc = make_path(w, name, path);

	if (rc != 0)
		return rc;
	fd = w->io.open_file(w->io.arg, path, O_RDONLY);
	if (fd == -ENOENT)
		return ERR_NOT_FOUND;
	if (fd < 0)
		return fail_wal(w, f, "open", name, fd);
	chunk = malloc(chunk_bytes);
	if (chunk == NULL)
		rc = ERR_MEMORY;
	while (rc == 0) {
		n = w->io.read_file(
		    w->io.arg, fd, chunk, chunk_bytes, (off_t)out->len);
		if (n <= 0) {
			rc = n < 0 ? fail_wal(w, f, "read", name, (int)n) : 0;
			break;
		}
		rc = append_buf(out, chunk, (size_t)n);
	}
	free(chunk);
	w->io.close_file(w->io.arg, fd);
	return rc;
}

/*
 * Writes all bytes at an offset and continues after short writes. Returns 0 or
 * a negative errno.
 */
int
write_at(struct wal *w, int fd, struct str bytes, off_t at)
{
	size_t done = 0;
	ssize_t n;

	while (done < bytes.len) {
		n = w->io.write_file(w->io.arg, fd, bytes.data + done,
		    bytes.len - done, at + (off_t)done);
		if (n == -EINTR)
			continue;
		if (n <= 0)
			return n < 0 ? (int)n : -ENOSPC;
		done += (size_t)n;
	}
	return 0;
}

/*
 * Atomically replaces the content of a file by a followed by b: after a power
 * cut the file has either the old or the new content. Returns ERR_IO or
 * ERR_LIMIT.
 */
int
replace_file(struct wal *w, const char *name, struct str a, struct str b,
    struct fault *f)
{
	char path[WAL_PATH_BYTES], temp[WAL_PATH_BYTES + sizeof(TEMP_SUFFIX)];
	int fd, rc;

	if (w->failed)
		return set_fault(
		    f, ERR_IO, "the log has failed; open it again");
	rc = make_path(w, name, path);
	if (rc != 0)
		return rc;
	snprintf(temp, sizeof(temp), "%s" TEMP_SUFFIX, path);
	fd = w->io.open_file(w->io.arg, temp, O_WRONLY | O_CREAT | O_TRUNC);
	if (fd < 0)
		return fail_wal(w, f, "create", name, fd);
	rc = write_at(w, fd, a, 0);
	if (rc == 0)
		rc = write_at(w, fd, b, (off_t)a.len);
	if (rc == 0)
		rc = w->io.sync_file(w->io.arg, fd);
	w->io.close_file(w->io.arg, fd);
	if (rc != 0)
		return fail_wal(w, f, "write", name, rc);
	w->counters.syncs++;
	rc = w->io.rename_file(w->io.arg, temp, path);
	if (rc == 0)
		rc = w->io.sync_dir(w->io.arg, w->dir);
	return rc != 0 ? fail_wal(w, f, "rename", name, rc) : 0;
}

/*
 * Removes a file without syncing the directory. A missing file is an error.
 * Returns ERR_IO or ERR_LIMIT.
 */
int
remove_wal_file(struct wal *w, const char *name, struct fault *f)
{
	char path[WAL_PATH_BYTES];
	int rc = make_path(w, name, path);

	if (rc != 0)
		return rc;
	rc = w->io.remove_file(w->io.arg, path);
	return rc != 0 ? fail_wal(w, f, "remove", name, rc) : 0;
}

/*
 * Locks the directory until close_wal(), so that no second process writes the
 * same log. Returns ERR_CONFLICT when another process has the lock.
 */
int
lock_wal(struct wal *w, struct fault *f)
{
	char path[WAL_PATH_BYTES];
	int rc = make_path(w, LOCK_NAME, path);

	if (rc != 0)
		return rc;
	w->lock_fd = w->io.lock_file(w->io.arg, path);
	if (w->lock_fd == -EWOULDBLOCK)
		return set_fault(f, ERR_CONFLICT,
		    "another process uses %s; stop it first", w->dir);
	return w->lock_fd < 0 ? fail_wal(w, f, "lock", LOCK_NAME, w->lock_fd) :
				0;
}

/*
 * Loads term and vote into w->hard. Returns ERR_NOT_FOUND for a new directory,
 * ERR_CORRUPT, and ERR_INVALID when it belongs to another member, whose term
 * and vote are then in w->hard.
 */
int
load_hard_state(struct wal *w, struct fault *f)
{
	struct buf b = {0};
	int rc = read_whole_file(w, STATE_NAME, &b, f);

	if (rc == 0 &&
	    (b.len != STATE_BYTES || get_u32(b.data) != STATE_MAGIC ||
		get_u32(b.data + 4) != WAL_FORMAT ||
		get_u64(b.data + 32) != hash_bytes(b.data, 32, 0)))
		rc = set_damage_fault(f, STATE_NAME, "checksum");
	if (rc == 0) {
		w->hard.term = get_u64(b.data + 16);
		w->hard.vote = get_u64(b.data + 24);
	}
	if (rc == 0 && get_u64(b.data + 8) != w->id)
		rc = set_fault(f, ERR_INVALID,
		    "%s belongs to member %llu; use its own data directory or "
		    "an empty one",
		    w->dir, (unsigned long long)get_u64(b.data + 8));
	unload_buf(&b);
	return rc;
}

/*
 * Stores term and vote durably. Returns ERR_IO or ERR_LIMIT.
 */
int
save_hard_state(struct wal *w, struct raft_hard_state hard, struct fault *f)
{
	char b[STATE_BYTES];

	put_u32(b, STATE_MAGIC);
	put_u32(b + 4, WAL_FORMAT);
	put_u64(b + 8, w->id);
	put_u64(b + 16, hard.term);
	put_u64(b + 24, hard.vote);
	put_u64(b + 32, hash_bytes(b, 32, 0));
	w->hard = hard;
	return replace_file(
	    w, STATE_NAME, make_str_n(b, sizeof(b)), make_str_n(NULL, 0), f);
}

/*
 * Loads the snapshot of that index into w->stored. Returns ERR_CORRUPT,
 * ERR_NOT_FOUND, ERR_IO or ERR_MEMORY.
 */
int
load_snapshot_file(struct wal *w, uint64_t index, struct fault *f)
{
	struct raft_snapshot *s = &w->stored.snapshot;
	char name[WAL_PATH_BYTES], *copy;
	struct buf b = {0};
	struct str body;
	uint64_t members_len;
	int rc;

	format_snapshot_name(index, name);
	rc = read_whole_file(w, name, &b, f);
	if (rc != 0)
		goto done;
	rc = set_damage_fault(f, name, "checksum");
	if (b.len < SNAPSHOT_HEADER_BYTES ||
	    get_u32(b.data) != SNAPSHOT_MAGIC ||
	    get_u32(b.data + 4) != WAL_FORMAT ||
	    get_u64(b.data + 48) != hash_bytes(b.data, 48, 0) ||
	    get_u64(b.data + 8) != index)
		goto done;
	body = make_str_n(
	    b.data + SNAPSHOT_HEADER_BYTES, b.len - SNAPSHOT_HEADER_BYTES);
	members_len = get_u64(b.data + 24);
	if (members_len > body.len ||
	    get_u64(b.data + 32) != body.len - members_len ||
	    get_u64(b.data + 40) != hash_bytes(body.data, body.len, 0) ||
	    decode_raft_members(
		make_str_n(body.data, (size_t)members_len), &s->members) != 0)
		goto done;
	s->index = index;
	s->term = get_u64(b.data + 16);
	s->data.len = body.len - (size_t)members_len;
	rc = ERR_MEMORY;
	copy = malloc(s->data.len + 1);
	if (copy == NULL)
		goto done;
	memcpy(copy, body.data + members_len, s->data.len);
	s->data.data = copy;
	rc = 0;
done:
	unload_buf(&b);
	return rc;
}

/*
 * Stores a snapshot durably in a file named by its index: header, encoded
 * members, data. Returns ERR_IO, ERR_LIMIT or ERR_MEMORY.
 */
int
save_snapshot_file(
    struct wal *w, const struct raft_snapshot *s, struct fault *f)
{
	char head[SNAPSHOT_HEADER_BYTES], name[WAL_PATH_BYTES];
	struct buf b = {0};
	size_t members_len;
	int rc;

	memset(head, 0, sizeof(head));
	rc = append_buf(&b, head, sizeof(head));
	if (rc == 0)
		rc = encode_raft_members(&s->members, &b);
	members_len = b.len - sizeof(head);
	if (rc == 0)
		rc = append_buf(&b, s->data.data, s->data.len);
	if (rc != 0) {
		unload_buf(&b);
		return set_fault(f, ERR_MEMORY,
		    "out of memory; give the process more memory");
	}
	put_u32(head, SNAPSHOT_MAGIC);
	put_u32(head + 4, WAL_FORMAT);
	put_u64(head + 8, s->index);
	put_u64(head + 16, s->term);
	put_u64(head + 24, members_len);
	put_u64(head + 32, s->data.len);
	put_u64(head + 40,
	    hash_bytes(b.data + sizeof(head), b.len - sizeof(head), 0));
	put_u64(head + 48, hash_bytes(head, 48, 0));
	memcpy(b.data, head, sizeof(head));
	format_snapshot_name(s->index, name);
	rc = replace_file(w, name, view_buf(&b), make_str_n(NULL, 0), f);
	unload_buf(&b);
	return rc;
}
