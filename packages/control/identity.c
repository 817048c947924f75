/*
 * The files with the id of a control process and with the initial voters, and
 * how ids are chosen.
 */
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "identity.h"

#define FILE_NAME "identity"
#define VOTERS_FILE_NAME "initial-voters"
#define PATH_BYTES 512
#define RANDOM_BIT (1ULL << 62) /* set in random ids, clear in derived ones */
#define ASIDE_PREFIX "damaged." /* of files that are kept for an operator */
#define LOCK_NAME "lock" /* of the log */

static int replace_text(
    const char *dir, const char *name, const char *text, struct fault *f);
static int remove_kept_files(const char *dir);
static int move_files(const char *dir, bool kept_before);
static int move_file(const char *dir, const char *name, bool kept_before);
static int sync_dir(const char *dir);
static int write_file(const char *path, const char *text);

int
load_identity(const char *dir, uint64_t *out, struct fault *f)
{
	char path[PATH_BYTES], text[32] = "";
	int64_t v = 0;
	ssize_t n;
	int fd;

	snprintf(path, sizeof(path), "%s/" FILE_NAME, dir);
	fd = open(path, O_RDONLY | O_CLOEXEC);
	if (fd < 0 && errno == ENOENT)
		return ERR_NOT_FOUND;
	if (fd < 0)
		return set_fault(f, ERR_IO,
		    "cannot read %s: %s; check the disk", path,
		    strerror(errno));
	n = read(fd, text, sizeof(text) - 1);
	if (n < 0)
		set_fault(f, ERR_IO, "cannot read %s: %s; check the disk", path,
		    strerror(errno));
	close(fd);
	if (n < 0)
		return ERR_IO;
	if (n == 0 || text[n - 1] != '\n' ||
	    parse_i64(make_str_n(text, (size_t)n - 1), 1, INT64_MAX, &v) != 0)
		return set_fault(f, ERR_CORRUPT,
		    "%s contains no id; delete the data folder, and the "
		    "process joins as a new member",
		    path);
	*out = (uint64_t)v;
	return 0;
}

int
save_identity(const char *dir, uint64_t id, struct fault *f)
{
	char text[32];

	snprintf(text, sizeof(text), "%llu\n", (unsigned long long)id);
	return replace_text(dir, FILE_NAME, text, f);
}

/*
 * The file has one address a line.
 */
int
load_voter_list(const char *dir, struct voter_list *out, struct fault *f)
{
	char path[PATH_BYTES], line[RPC_ADDRESS_BYTES + 1];
	bool failed;
	FILE *in;

	memset(out, 0, sizeof(*out));
	snprintf(path, sizeof(path), "%s/" VOTERS_FILE_NAME, dir);
	in = fopen(path, "re");
	if (in == NULL && errno == ENOENT)
		return ERR_NOT_FOUND;
	if (in == NULL)
		return set_fault(f, ERR_IO,
		    "cannot read %s: %s; check the disk", path,
		    strerror(errno));
	while (out->count < CONTROL_PEER_MAX &&
	       fgets(line, sizeof(line), in) != NULL) {
		line[strcspn(line, "\n")] = '\0';
		(void)copy_str(out->address[out->count], RPC_ADDRESS_BYTES,
		    make_str(line));
		out->count++;
	}
	failed = ferror(in) != 0;
	fclose(in);
	return failed ? set_fault(f, ERR_IO,
			    "cannot read all of %s; check the disk", path) :
			0;
}

int
save_voter_list(const char *dir, const struct voter_list *list, struct fault *f)
{
	char text[CONTROL_PEER_MAX * (RPC_ADDRESS_BYTES + 1)] = "";
	size_t len = 0;

	for (size_t i = 0; i < list->count; i++)
		len += (size_t)snprintf(
		    text + len, sizeof(text) - len, "%s\n", list->address[i]);
	return replace_text(dir, VOTERS_FILE_NAME, text, f);
}

void
remove_voter_list(const char *dir)
{
	char path[PATH_BYTES];

	snprintf(path, sizeof(path), "%s/" VOTERS_FILE_NAME, dir);
	(void)unlink(path);
}

/*
 * Renames the files of a damaged folder. The list of initial voters is the first
 * one: with it, a start that finds no log would bootstrap and vote anew under an
 * id that has voted. The id is the last one: until it is gone, a start finds a
 * damaged folder or one without a log, and does not take the rest for another
 * member's. The files of an earlier time are removed if that was completed, which
 * its id shows, so that a call after a failed one keeps what that has renamed.
 */
int
set_data_aside(const char *dir, struct fault *f)
{
	int rc = remove_kept_files(dir);

	if (rc == 0)
		rc = move_file(dir, VOTERS_FILE_NAME, false);
	if (rc == 0)
		rc = sync_dir(dir);
	if (rc == 0)
		rc = move_files(dir, false);
	if (rc == 0)
		rc = sync_dir(dir);
	if (rc == 0)
		rc = move_file(dir, FILE_NAME, false);
	if (rc == 0)
		rc = sync_dir(dir);
	if (rc != 0)
		return set_fault(f, ERR_IO,
		    "cannot rename the files of %s: %s; check the disk", dir,
		    strerror(-rc));
	return 0;
}

/*
 * Packs an IPv4 address and its port into 48 bits; hashes any other address.
 */
uint64_t
derive_identity(const char *address)
{
	unsigned int a, b, c, d, port;

	if (sscanf(address, "%3u.%3u.%3u.%3u:%5u", &a, &b, &c, &d, &port) == 5)
		return (uint64_t)(a & 255) << 40 | (uint64_t)(b & 255) << 32 |
		       (uint64_t)(c & 255) << 24 | (uint64_t)(d & 255) << 16 |
		       (port & 65535);
	return (hash_str(make_str(address), 0) >> 3) | 1;
}

uint64_t
draw_identity(void)
{
	struct rng r;

	seed_rng_random(&r);
	return (draw_u64(&r) >> 2) | RANDOM_BIT;
}

/*
 * Writes and syncs a temporary file and renames it, so that a crash leaves
 * either the old text or the new one. Creates the folder when it is missing.
 */
static int
replace_text(
    const char *dir, const char *name, const char *text, struct fault *f)
{
	char path[PATH_BYTES], temp[PATH_BYTES];
	int rc;

	if (mkdir(dir, 0700) != 0 && errno != EEXIST)
		return set_fault(f,
		    errno == EACCES || errno == ENOENT || errno == ENOTDIR ?
			ERR_DENIED :
			ERR_IO,
		    "cannot create the data folder %s: %s; check the parent "
		    "folder and its mode",
		    dir, strerror(errno));
	snprintf(path, sizeof(path), "%s/%s", dir, name);
	snprintf(temp, sizeof(temp), "%s/%s.new", dir, name);
	rc = write_file(temp, text);
	if (rc == 0 && rename(temp, path) != 0)
		rc = -errno;
	if (rc == 0)
		rc = sync_dir(dir);
	if (rc != 0)
		return set_fault(f, ERR_IO,
		    "cannot write %s: %s; free disk space or check the disk",
		    path, strerror(-rc));
	return 0;
}

/*
 * Removes the files that were set aside before, if their id is among them; it is
 * the first one, so that an interrupted removal is not taken for a new time.
 * Returns a negative errno.
 */
static int
remove_kept_files(const char *dir)
{
	char path[PATH_BYTES];
	int rc = 0;

	snprintf(path, sizeof(path), "%s/" ASIDE_PREFIX FILE_NAME, dir);
	if (unlink(path) != 0)
		return errno == ENOENT ? 0 : -errno;
	rc = sync_dir(dir);
	return rc == 0 ? move_files(dir, true) : rc;
}

/*
 * Removes the files that were set aside before, or renames all others but the
 * id and the lock. Returns a negative errno.
 */
static int
move_files(const char *dir, bool kept_before)
{
	DIR *d = opendir(dir);
	struct dirent *e;
	int rc = 0;

	if (d == NULL)
		return -errno;
	while (rc == 0 && (e = readdir(d)) != NULL) {
		bool kept = strncmp(e->d_name, ASIDE_PREFIX,
				sizeof(ASIDE_PREFIX) - 1) == 0;

		if (kept == kept_before && e->d_name[0] != '.' &&
		    strcmp(e->d_name, FILE_NAME) != 0 &&
		    strcmp(e->d_name, LOCK_NAME) != 0)
			rc = move_file(dir, e->d_name, kept_before);
	}
	closedir(d);
	return rc;
}

/*
 * A missing file is no error. Returns a negative errno.
 */
static int
move_file(const char *dir, const char *name, bool kept_before)
{
	char from[PATH_BYTES], to[PATH_BYTES];
	int rc;

	if (snprintf(from, sizeof(from), "%s/%s", dir, name) >=
		(int)sizeof(from) ||
	    snprintf(to, sizeof(to), "%s/" ASIDE_PREFIX "%s", dir, name) >=
		(int)sizeof(to))
		return -ENAMETOOLONG;
	rc = kept_before ? unlink(from) : rename(from, to);
	return rc == 0 || errno == ENOENT ? 0 : -errno;
}

static int
sync_dir(const char *dir)
{
	int fd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	int rc = 0;

	if (fd < 0)
		return -errno;
	if (fsync(fd) != 0)
		rc = -errno;
	close(fd);
	return rc;
}

static int
write_file(const char *path, const char *text)
{
	size_t len = strlen(text);
	int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
	int rc = 0;

	if (fd < 0)
		return -errno;
	if (write(fd, text, len) != (ssize_t)len)
		rc = errno != 0 ? -errno : -ENOSPC;
	if (rc == 0 && fsync(fd) != 0)
		rc = -errno;
	close(fd);
	return rc;
}
