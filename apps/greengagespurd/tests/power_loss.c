/*
 * A layer below the daemon's file operations that models a loss of power. It
 * keeps a journal of all changes that no sync has covered, outside of the data
 * folder; files and journal survive a kill, as a page cache does. After a loss
 * of power, the next start takes back a part of these changes before main()
 * runs. Linked into greengagespurd_power_loss, whose calls it replaces by
 * symbol. Environment variables:
 *
 * GGS_POWER_DIR: only files in this folder are affected; it has no subfolders.
 * GGS_POWER_JOURNAL: an existing folder on the same file system, with
 *   journal: changes that are not synced
 *   ino-N: hard links that keep files alive whose name may come back
 *   lost: written by the test after a loss of power; a seed, and the word
 *     torn if all writes are to be torn. It is removed once the changes have
 *     been taken back, so that a start that is killed meanwhile does it again,
 *     with the same result.
 *
 * GGS_POWER_SYNC_MS: how long a sync takes; the longer, the more is not synced
 *   at a loss of power. SYNC_MS without it.
 *
 * The seed decides whether all changes are gone, all stay, or each is kept,
 * lost or torn at random. A sync of a file makes its content durable, and its
 * name if it is new; a sync of the folder makes all names durable.
 */
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#define DESCRIPTORS_MAX 4096 /* of files; a higher one is never affected */
#define NAME_BYTES 64 /* longest file name in the data folder, with NUL */
#define PATH_BYTES 600
#define SYNC_MS 1 /* a sync takes 1 ms, as on the platform's disks */
#define SECTOR_BYTES 512 /* a long torn write ends at a multiple of it */
#define MODE_TORN 4 /* of choose_kept() */

enum change_type {
	CHANGE_WRITE,
	CHANGE_CREATE,
	CHANGE_RENAME,
	CHANGE_REMOVE
};

/* Which sync has covered a change. */
enum cover {
	COVER_NONE,
	COVER_FILE,
	COVER_FOLDER
};

/* A change, or the sync that covers one; the journal is a list of these. */
struct change {
	uint32_t type; /* enum change_type */
	uint32_t covers; /* not 0: change number at is covered, enum cover */
	uint64_t ino;
	/* Offset of a write, a new length is one, too; or the replaced file. */
	uint64_t at;
	uint64_t len; /* of a write */
	uint64_t old_size; /* of the file, before a write */
	uint64_t saved; /* bytes that were there before; they follow */
	char from[NAME_BYTES]; /* name of a file */
	char to[NAME_BYTES]; /* new name, of CHANGE_RENAME */
};

/* A change in memory. */
struct pending {
	struct change c;
	char *old; /* saved bytes */
	enum cover covered;
	bool kept;
};

/* What a name stands for when changes are applied again. */
struct binding {
	char name[NAME_BYTES];
	uint64_t ino; /* 0: there is no such file */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static volatile bool affected[DESCRIPTORS_MAX]; /* files of the folder */
static volatile bool is_folder[DESCRIPTORS_MAX];
static struct pending *changes;
static size_t change_count, change_cap;
static int journal_fd = -1;
static uint64_t random_state;

static void __attribute__((constructor)) open_journal(void);
static void load_journal(void);
static void lose_power(const char *marker);
static void choose_kept(unsigned int mode);
static void take_back_writes(unsigned int mode);
static void take_back_names(void);
static void tear_write(int fd, const struct pending *p);
static void restore_bytes(int fd, const struct pending *p, uint64_t skip);
static struct binding *bind_name(struct binding *list, size_t *count,
    const char *name, uint64_t ino, bool replace);
static bool is_name_change(const struct pending *p);
static void unlink_kept_file(uint64_t ino);
static void add_change(const struct change *c, const char *old);
static void store_change(const struct change *c, const char *old);
static void cover_file(uint64_t ino);
static void cover_names(void);
static void cover(size_t i, enum cover by);
static void clear_journal_when_covered(void);
static void note_write(int fd, uint64_t at, uint64_t len);
static void keep_alive(const char *path, uint64_t ino);
static void get_kept_path(char *out, uint64_t ino);
static uint64_t get_inode(const char *path);
static const char *get_name(const char *path);
static void journal_path(char *out, const char *name);
static int open_inode(uint64_t ino);
static uint64_t draw(uint64_t n);
static int sync_descriptor(int fd);
static void fail_layer(const char *what);

int
open(const char *path, int flags, ...)
{
	const char *name = get_name(path), *dir = getenv("GGS_POWER_DIR");
	struct change c = {.type = CHANGE_CREATE};
	mode_t mode = 0;
	uint64_t old;
	va_list ap;
	int fd;

	va_start(ap, flags);
	if ((flags & O_CREAT) != 0)
		mode = va_arg(ap, mode_t);
	va_end(ap);
	if (name == NULL || (flags & (O_CREAT | O_TRUNC)) == 0) {
		fd = (int)syscall(SYS_openat, AT_FDCWD, path, flags, mode);
	} else {
		pthread_mutex_lock(&lock);
		old = get_inode(path);
		/* Shortened by note_write(), which keeps the old bytes. */
		fd = (int)syscall(
		    SYS_openat, AT_FDCWD, path, flags & ~O_TRUNC, mode);
		if (fd >= 0 && old == 0) {
			c.ino = get_inode(path);
			(void)snprintf(c.from, sizeof(c.from), "%s", name);
			keep_alive(path, c.ino);
			add_change(&c, NULL);
		} else if (fd >= 0 && (flags & O_TRUNC) != 0) {
			note_write(fd, 0, 0);
			(void)syscall(SYS_ftruncate, fd, 0);
		}
		pthread_mutex_unlock(&lock);
	}
	if (fd >= 0 && fd < DESCRIPTORS_MAX) {
		affected[fd] = name != NULL;
		is_folder[fd] = dir != NULL && strcmp(path, dir) == 0;
	}
	return fd;
}

int
close(int fd)
{
	if (fd >= 0 && fd < DESCRIPTORS_MAX)
		affected[fd] = is_folder[fd] = false;
	return (int)syscall(SYS_close, fd);
}

ssize_t
pwrite(int fd, const void *data, size_t len, off_t at)
{
	ssize_t n;

	if (fd < 0 || fd >= DESCRIPTORS_MAX || !affected[fd])
		return syscall(SYS_pwrite64, fd, data, len, at);
	pthread_mutex_lock(&lock);
	note_write(fd, (uint64_t)at, len);
	n = syscall(SYS_pwrite64, fd, data, len, at);
	pthread_mutex_unlock(&lock);
	return n;
}

ssize_t
write(int fd, const void *data, size_t len)
{
	ssize_t n;

	if (fd < 0 || fd >= DESCRIPTORS_MAX || !affected[fd])
		return syscall(SYS_write, fd, data, len);
	pthread_mutex_lock(&lock);
	note_write(fd, (uint64_t)syscall(SYS_lseek, fd, 0, SEEK_CUR), len);
	n = syscall(SYS_write, fd, data, len);
	pthread_mutex_unlock(&lock);
	return n;
}

int
ftruncate(int fd, off_t len)
{
	int rc;

	if (fd < 0 || fd >= DESCRIPTORS_MAX || !affected[fd])
		return (int)syscall(SYS_ftruncate, fd, len);
	pthread_mutex_lock(&lock);
	note_write(fd, (uint64_t)len, 0);
	rc = (int)syscall(SYS_ftruncate, fd, len);
	pthread_mutex_unlock(&lock);
	return rc;
}

int
fsync(int fd)
{
	return sync_descriptor(fd);
}

int
fdatasync(int fd)
{
	return sync_descriptor(fd);
}

int
rename(const char *from, const char *to)
{
	const char *old_name = get_name(from), *new_name = get_name(to);
	struct change c = {.type = CHANGE_RENAME};
	uint64_t replaced;
	int rc;

	if (old_name == NULL || new_name == NULL)
		return (int)syscall(
		    SYS_renameat2, AT_FDCWD, from, AT_FDCWD, to, 0);
	pthread_mutex_lock(&lock);
	c.ino = get_inode(from);
	replaced = get_inode(to);
	(void)snprintf(c.from, sizeof(c.from), "%s", old_name);
	(void)snprintf(c.to, sizeof(c.to), "%s", new_name);
	if (replaced != 0)
		keep_alive(to, replaced);
	keep_alive(from, c.ino);
	/* The replaced file, whose name may come back. */
	c.at = replaced;
	add_change(&c, NULL);
	rc = (int)syscall(SYS_renameat2, AT_FDCWD, from, AT_FDCWD, to, 0);
	if (rc != 0)
		fail_layer("rename");
	pthread_mutex_unlock(&lock);
	return rc;
}

int
unlink(const char *path)
{
	const char *name = get_name(path);
	struct change c = {.type = CHANGE_REMOVE};
	int rc;

	if (name == NULL || get_inode(path) == 0)
		return (int)syscall(SYS_unlinkat, AT_FDCWD, path, 0);
	pthread_mutex_lock(&lock);
	c.ino = get_inode(path);
	(void)snprintf(c.from, sizeof(c.from), "%s", name);
	keep_alive(path, c.ino);
	add_change(&c, NULL);
	rc = (int)syscall(SYS_unlinkat, AT_FDCWD, path, 0);
	pthread_mutex_unlock(&lock);
	return rc;
}

/*
 * Reads the journal of an earlier process and, after a loss of power, takes
 * back what is lost.
 */
static void
open_journal(void)
{
	char path[PATH_BYTES], marker[PATH_BYTES];

	if (getenv("GGS_POWER_DIR") == NULL ||
	    getenv("GGS_POWER_JOURNAL") == NULL)
		return;
	journal_path(path, "journal");
	journal_fd = (int)syscall(SYS_openat, AT_FDCWD, path,
	    O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	if (journal_fd < 0)
		fail_layer("journal");
	load_journal();
	journal_path(marker, "lost");
	if (syscall(SYS_faccessat, AT_FDCWD, marker, F_OK) == 0)
		lose_power(marker);
	clear_journal_when_covered();
}

/*
 * A record that a kill has cut short belongs to a change that was not made.
 */
static void
load_journal(void)
{
	struct change c;
	off_t end = 0;
	char *old;

	while (syscall(SYS_read, journal_fd, &c, sizeof(c)) ==
	       (ssize_t)sizeof(c)) {
		if (c.covers != COVER_NONE) {
			if (c.at < change_count)
				changes[c.at].covered = (enum cover)c.covers;
		} else {
			old = malloc(c.saved + 1);
			if (old == NULL)
				fail_layer("memory");
			if (syscall(SYS_read, journal_fd, old, c.saved) !=
			    (ssize_t)c.saved) {
				free(old);
				break;
			}
			store_change(&c, old);
			free(old);
		}
		end += (off_t)(sizeof(c) + c.saved);
	}
	(void)syscall(SYS_ftruncate, journal_fd, end);
}

/*
 * Takes back a part of the changes. Nothing here depends on what an earlier,
 * interrupted run has done.
 */
static void
lose_power(const char *marker)
{
	char text[32] = "";
	size_t live = 0, kept = 0;
	unsigned int mode;
	int fd = (int)syscall(SYS_openat, AT_FDCWD, marker, O_RDONLY, 0);

	(void)syscall(SYS_read, fd, text, sizeof(text) - 1);
	(void)syscall(SYS_close, fd);
	random_state = strtoull(text, NULL, 10) + 88172645463325252u;
	mode = strstr(text, "torn") != NULL ? MODE_TORN : (unsigned int)draw(4);
	choose_kept(mode);
	take_back_writes(mode);
	take_back_names();
	for (size_t i = 0; i < change_count; i++) {
		live += changes[i].covered ? 0 : 1;
		kept += !changes[i].covered && changes[i].kept ? 1 : 0;
		changes[i].covered = COVER_FOLDER;
	}
	(void)fprintf(stderr,
	    "power loss: %zu changes were not synced, %zu of them stay\n", live,
	    kept);
	clear_journal_when_covered();
	(void)syscall(SYS_unlinkat, AT_FDCWD, marker, 0);
}

/*
 * mode 0: all changes are gone; 1: all stay; MODE_TORN: all writes are torn;
 * otherwise at random. Writes that overlap share their fate.
 */
static void
choose_kept(unsigned int mode)
{
	for (size_t i = 0; i < change_count; i++) {
		struct pending *p = &changes[i];

		p->kept = mode == 1 || (mode > 1 && draw(2) == 0);
		if (mode == MODE_TORN)
			p->kept = p->c.type != CHANGE_WRITE;
		for (size_t k = 0; k < i && p->c.type == CHANGE_WRITE; k++) {
			const struct pending *q = &changes[k];

			if (!q->covered && q->c.type == CHANGE_WRITE &&
			    q->c.ino == p->c.ino &&
			    (p->c.at < q->c.at + q->c.len || p->c.len == 0 ||
				q->c.len == 0))
				p->kept = q->kept;
		}
	}
}

/*
 * Takes back the lost writes of each file, the last one first, and tears some.
 */
static void
take_back_writes(unsigned int mode)
{
	for (size_t i = change_count; i-- > 0;) {
		const struct pending *p = &changes[i];
		int fd;

		if (p->covered || p->c.type != CHANGE_WRITE || p->kept)
			continue;
		fd = open_inode(p->c.ino);
		if (fd < 0)
			continue; /* removed for good */
		if (mode > 1 && p->c.len > 1 &&
		    (draw(2) == 0 || mode == MODE_TORN))
			tear_write(fd, p);
		else
			restore_bytes(fd, p, 0);
		(void)syscall(SYS_close, fd);
	}
}

/*
 * Keeps the first part of a write, or, as the length of a file may be durable
 * before its data, leaves zeros in place of the rest.
 */
static void
tear_write(int fd, const struct pending *p)
{
	uint64_t part = draw(p->c.len), n;
	static const char zeros[SECTOR_BYTES];
	bool zero = draw(2) == 0;

	if (part > SECTOR_BYTES)
		part -= (p->c.at + part) % SECTOR_BYTES;
	if (!zero || p->c.at + p->c.len <= p->c.old_size) {
		restore_bytes(fd, p, part);
		return;
	}
	for (uint64_t at = part; at < p->c.len; at += n) {
		n = p->c.len - at < SECTOR_BYTES ? p->c.len - at : SECTOR_BYTES;
		(void)syscall(SYS_pwrite64, fd, zeros, n, p->c.at + at);
	}
}

/*
 * Restores what was there before a write, except for its first skip bytes. The
 * file keeps its length if a later write that stays is behind it.
 */
static void
restore_bytes(int fd, const struct pending *p, uint64_t skip)
{
	uint64_t size = p->c.old_size, end;
	static const char zeros[SECTOR_BYTES];

	if (p->c.at + skip > size)
		size = p->c.at + skip;
	for (const struct pending *q = p + 1; q < changes + change_count; q++) {
		end = q->c.at + q->c.len;
		if (!q->covered && q->c.type == CHANGE_WRITE &&
		    q->c.ino == p->c.ino && q->kept && end > size)
			size = end;
	}
	for (uint64_t at = skip; at < p->c.len; at += SECTOR_BYTES)
		(void)syscall(SYS_pwrite64, fd, zeros,
		    p->c.len - at < SECTOR_BYTES ? p->c.len - at : SECTOR_BYTES,
		    p->c.at + at);
	if (p->c.saved > skip)
		(void)syscall(SYS_pwrite64, fd, p->old + skip,
		    p->c.saved - skip, p->c.at + skip);
	(void)syscall(SYS_ftruncate, fd, size);
}

/*
 * Finds what each name stood for at the last sync of the folder, applies the
 * changes that are kept in their order, and gives the files these names.
 */
static void
take_back_names(void)
{
	struct binding *before, *after, *from;
	char path[PATH_BYTES], file[PATH_BYTES];
	size_t n = 0, m;

	before = calloc(2 * change_count + 1, sizeof(*before));
	after = calloc(2 * change_count + 1, sizeof(*after));
	if (before == NULL || after == NULL)
		fail_layer("memory");
	/* The first change of a name tells what it stood for. */
	for (size_t i = 0; i < change_count; i++) {
		const struct change *c = &changes[i].c;

		if (!is_name_change(&changes[i]))
			continue;
		(void)bind_name(before, &n, c->from,
		    c->type == CHANGE_CREATE ? 0 : c->ino, false);
		if (c->type == CHANGE_RENAME)
			(void)bind_name(before, &n, c->to, c->at, false);
	}
	memcpy(after, before, n * sizeof(*before));
	m = n;
	for (size_t i = 0; i < change_count; i++) {
		const struct change *c = &changes[i].c;

		if (!is_name_change(&changes[i]) ||
		    (!changes[i].kept && !changes[i].covered))
			continue;
		from = bind_name(after, &m, c->from, 0, false);
		if (c->type == CHANGE_RENAME && from->ino != 0)
			(void)bind_name(after, &m, c->to, from->ino, true);
		from->ino = c->type == CHANGE_CREATE ? c->ino : 0;
	}
	for (size_t i = 0; i < m; i++) {
		(void)snprintf(path, sizeof(path), "%s/%s",
		    getenv("GGS_POWER_DIR"), after[i].name);
		(void)syscall(SYS_unlinkat, AT_FDCWD, path, 0);
		if (after[i].ino == 0)
			continue;
		get_kept_path(file, after[i].ino);
		if (syscall(SYS_linkat, AT_FDCWD, file, AT_FDCWD, path, 0) != 0)
			fail_layer("link");
	}
	free(before);
	free(after);
}

/*
 * Returns the entry of a name, which is added if it is missing; its file is
 * changed with replace only.
 */
static struct binding *
bind_name(struct binding *list, size_t *count, const char *name, uint64_t ino,
    bool replace)
{
	size_t i = 0;

	while (i < *count && strcmp(list[i].name, name) != 0)
		i++;
	if (i == *count) {
		(void)snprintf(list[i].name, NAME_BYTES, "%s", name);
		(*count)++;
		replace = true;
	}
	if (replace)
		list[i].ino = ino;
	return &list[i];
}

/*
 * Tells whether the folder has not been synced since a change of a name. The
 * name of a new file that was synced itself is always kept, but an earlier
 * change of the same name may not be.
 */
static bool
is_name_change(const struct pending *p)
{
	return p->c.type != CHANGE_WRITE && p->covered != COVER_FOLDER;
}

/*
 * Stores a change in memory and in the journal. Lock held.
 */
static void
add_change(const struct change *c, const char *old)
{
	store_change(c, old);
	if (syscall(SYS_write, journal_fd, c, sizeof(*c)) !=
		(ssize_t)sizeof(*c) ||
	    (c->saved > 0 && syscall(SYS_write, journal_fd, old, c->saved) !=
				 (ssize_t)c->saved))
		fail_layer("journal");
}

static void
store_change(const struct change *c, const char *old)
{
	struct pending *p;

	if (change_count == change_cap) {
		change_cap = change_cap != 0 ? 2 * change_cap : 64;
		changes = realloc(changes, change_cap * sizeof(*changes));
		if (changes == NULL)
			fail_layer("memory");
	}
	p = &changes[change_count++];
	*p = (struct pending){.c = *c};
	if (c->saved == 0 || old == NULL)
		return;
	p->old = malloc(c->saved);
	if (p->old == NULL)
		fail_layer("memory");
	memcpy(p->old, old, c->saved);
}

/*
 * A sync of a file covers its writes, and its name if that is new. Lock held.
 */
static void
cover_file(uint64_t ino)
{
	for (size_t i = 0; i < change_count; i++) {
		if (changes[i].c.ino == ino &&
		    (changes[i].c.type == CHANGE_WRITE ||
			changes[i].c.type == CHANGE_CREATE))
			cover(i, COVER_FILE);
	}
	clear_journal_when_covered();
}

/*
 * A sync of the folder covers all names. Lock held.
 */
static void
cover_names(void)
{
	for (size_t i = 0; i < change_count; i++) {
		if (changes[i].c.type != CHANGE_WRITE)
			cover(i, COVER_FOLDER);
	}
	clear_journal_when_covered();
}

static void
cover(size_t i, enum cover by)
{
	struct change c = {.covers = by, .at = i};

	if (changes[i].covered >= by)
		return;
	changes[i].covered = by;
	if (syscall(SYS_write, journal_fd, &c, sizeof(c)) != (ssize_t)sizeof(c))
		fail_layer("journal");
}

static void
clear_journal_when_covered(void)
{
	for (size_t i = 0; i < change_count; i++) {
		if (!changes[i].covered)
			return;
	}
	(void)syscall(SYS_ftruncate, journal_fd, 0);
	for (size_t i = 0; i < change_count; i++) {
		unlink_kept_file(changes[i].c.ino);
		if (changes[i].c.type == CHANGE_RENAME)
			unlink_kept_file(changes[i].c.at);
		free(changes[i].old);
	}
	change_count = 0;
}

static void
unlink_kept_file(uint64_t ino)
{
	char path[PATH_BYTES];

	get_kept_path(path, ino);
	(void)syscall(SYS_unlinkat, AT_FDCWD, path, 0);
}

/*
 * Notes a write of len bytes at an offset, or with len 0 a new length, before it
 * is made. Lock held.
 */
static void
note_write(int fd, uint64_t at, uint64_t len)
{
	struct change c = {.type = CHANGE_WRITE, .at = at, .len = len};
	char path[64];
	struct stat st;
	char *old = NULL;

	if (fstat(fd, &st) != 0)
		fail_layer("stat");
	c.ino = (uint64_t)st.st_ino;
	c.old_size = (uint64_t)st.st_size;
	if (at < c.old_size)
		c.saved =
		    len == 0 || at + len > c.old_size ? c.old_size - at : len;
	(void)snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
	keep_alive(path, c.ino);
	if (c.saved > 0) {
		old = malloc(c.saved);
		fd = (int)syscall(SYS_openat, AT_FDCWD, path, O_RDONLY, 0);
		if (old == NULL || fd < 0 ||
		    syscall(SYS_pread64, fd, old, c.saved, at) !=
			(ssize_t)c.saved)
			fail_layer("read");
		(void)syscall(SYS_close, fd);
	}
	add_change(&c, old);
	free(old);
}

/*
 * Links a file into the journal's folder, so that it stays when its name in the
 * data folder goes. Lock held.
 */
static void
keep_alive(const char *path, uint64_t ino)
{
	char to[PATH_BYTES];

	get_kept_path(to, ino);
	if (syscall(SYS_linkat, AT_FDCWD, path, AT_FDCWD, to,
		AT_SYMLINK_FOLLOW) != 0 &&
	    errno != EEXIST)
		fail_layer("link");
}

static void
get_kept_path(char *out, uint64_t ino)
{
	char name[NAME_BYTES];

	(void)snprintf(name, sizeof(name), "ino-%llu", (unsigned long long)ino);
	journal_path(out, name);
}

/*
 * Returns 0 if there is no such file.
 */
static uint64_t
get_inode(const char *path)
{
	struct stat st;

	return stat(path, &st) == 0 ? (uint64_t)st.st_ino : 0;
}

/*
 * Returns the name of a file in the affected folder, or NULL.
 */
static const char *
get_name(const char *path)
{
	const char *dir = getenv("GGS_POWER_DIR");
	size_t len = dir != NULL ? strlen(dir) : 0;

	if (journal_fd < 0 || len == 0 || strncmp(path, dir, len) != 0 ||
	    path[len] != '/' || path[len + 1] == '\0')
		return NULL;
	return path + len + 1;
}

static void
journal_path(char *out, const char *name)
{
	(void)snprintf(
	    out, PATH_BYTES, "%s/%s", getenv("GGS_POWER_JOURNAL"), name);
}

/*
 * Opens a file that the journal keeps; -1 if it does not.
 */
static int
open_inode(uint64_t ino)
{
	char path[PATH_BYTES];

	get_kept_path(path, ino);
	return (int)syscall(SYS_openat, AT_FDCWD, path, O_RDWR, 0);
}

/*
 * Returns a random number below n (splitmix64).
 */
static uint64_t
draw(uint64_t n)
{
	uint64_t z = random_state += 0x9e3779b97f4a7c15u;

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9u;
	z = (z ^ z >> 27) * 0x94d049bb133111ebu;
	return (z ^ z >> 31) % n;
}

/*
 * Waits as a disk does; nothing here needs the real disk.
 */
static int
sync_descriptor(int fd)
{
	const char *text = getenv("GGS_POWER_SYNC_MS");
	long ms = text != NULL ? atol(text) : SYNC_MS;
	struct timespec t = {ms / 1000, ms % 1000 * 1000000};
	struct stat st;

	if (fd < 0 || fd >= DESCRIPTORS_MAX || journal_fd < 0 ||
	    (!affected[fd] && !is_folder[fd]))
		return (int)syscall(SYS_fsync, fd);
	nanosleep(&t, NULL);
	pthread_mutex_lock(&lock);
	if (is_folder[fd])
		cover_names();
	else if (fstat(fd, &st) == 0)
		cover_file((uint64_t)st.st_ino);
	pthread_mutex_unlock(&lock);
	return 0;
}

/*
 * A fault of the layer itself must not pass for one of the program.
 */
static void
fail_layer(const char *what)
{
	(void)fprintf(
	    stderr, "power_loss layer: %s: %s\n", what, strerror(errno));
	_exit(99);
}
