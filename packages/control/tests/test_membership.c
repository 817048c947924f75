/*
 * Automatic membership: the rules of the plan, and real control processes that
 * join, lose their disk and are replaced.
 */
#include <ftw.h>
#include <unistd.h>

#include "api.h"
#include "identity.h"
#include "membership_plan.h"
#include "state_fixture.h"

#define SECOND NSEC_PER_SEC
#define NOW (100 * SECOND)
#define WAIT_S 30 /* longest wait for a state of the group */
#define PROCESSES 6

/* A member of the group in a plan case. */
struct plan_member {
	uint64_t id; /* 0: none */
	char kind; /* v: voter, l: learner */
	const char *address;
	bool caught_up;
	int64_t unresponsive_ms;
};

struct plan_case {
	const char *what;
	struct plan_member members[7];
	uint64_t candidate; /* 0: none */
	const char *candidate_address;
	int64_t request_age_ms;
	int want; /* enum raft_change_type; -1: nothing */
	uint64_t want_id;
};

static const struct plan_case plan_cases[] = {
    {"a full group stays unchanged",
	{{1, 'v', "a", true, 0}, {2, 'v', "b", true, 0}, {3, 'v', "c", true, 0},
	    {4, 'v', "d", true, 0}, {5, 'v', "e", true, 0}},
	0, "", 0, -1, 0},
    {"a process that requests to join becomes a learner",
	{{1, 'v', "a", true, 0}, {2, 'v', "b", true, 0},
	    {3, 'v', "c", true, 0}},
	9, "x", 100, RAFT_ADD_LEARNER, 9},
    {"an old request is ignored",
	{{1, 'v', "a", true, 0}, {2, 'v', "b", true, 0},
	    {3, 'v', "c", true, 0}},
	9, "x", 3000, -1, 0},
    {"a learner that is behind is not promoted",
	{{1, 'v', "a", true, 0}, {2, 'v', "b", true, 0}, {3, 'v', "c", true, 0},
	    {9, 'l', "x", false, 0}},
	9, "x", 100, -1, 0},
    {"a learner that has caught up is promoted",
	{{1, 'v', "a", true, 0}, {2, 'v', "b", true, 0}, {3, 'v', "c", true, 0},
	    {9, 'l', "x", true, 0}},
	9, "x", 100, RAFT_PROMOTE, 9},
    {"an unresponsive learner is not promoted",
	{{1, 'v', "a", true, 0}, {2, 'v', "b", true, 0}, {3, 'v', "c", true, 0},
	    {9, 'l', "x", true, 2000}},
	0, "", 0, -1, 0},
    {"a learner of a full group is not promoted",
	{{1, 'v', "a", true, 0}, {2, 'v', "b", true, 0}, {3, 'v', "c", true, 0},
	    {4, 'v', "d", true, 0}, {5, 'v', "e", true, 0},
	    {9, 'l', "x", true, 0}},
	9, "x", 100, -1, 0},
    {"it replaces the voter that is unresponsive for longest",
	{{1, 'v', "a", true, 0}, {2, 'v', "b", true, 1600},
	    {3, 'v', "c", false, 4000}, {4, 'v', "d", true, 0},
	    {5, 'v', "e", true, 0}, {9, 'l', "x", true, 0}},
	9, "x", 100, RAFT_REMOVE, 3},
    {"a voter with recent contact is not replaced",
	{{1, 'v', "a", true, 0}, {2, 'v', "b", true, 1400},
	    {3, 'v', "c", true, 0}, {4, 'v', "d", true, 0},
	    {5, 'v', "e", true, 0}, {9, 'l', "x", true, 0}},
	9, "x", 100, -1, 0},
    {"after a disk loss the former id is replaced at once",
	{{1, 'v', "a", true, 0}, {2, 'v', "b", true, 100},
	    {3, 'v', "c", true, 4000}, {4, 'v', "d", true, 0},
	    {5, 'v', "e", true, 0}, {9, 'l', "b", true, 0}},
	9, "b", 100, RAFT_REMOVE, 2},
    {"missing voters are added before voters are replaced",
	{{1, 'v', "a", true, 0}, {2, 'v', "b", true, 0},
	    {3, 'v', "c", true, 4000}, {4, 'v', "d", true, 0},
	    {9, 'l', "x", true, 0}},
	9, "x", 100, RAFT_PROMOTE, 9},
    {"the leader is never replaced",
	{{1, 'v', "a", true, 0}, {2, 'v', "b", true, 0}, {3, 'v', "c", true, 0},
	    {4, 'v', "d", true, 0}, {5, 'v', "e", true, 0},
	    {9, 'l', "a", true, 0}},
	9, "a", 100, -1, 0},
    {"a member with another address is updated",
	{{1, 'v', "a", true, 0}, {2, 'v', "b", true, 0},
	    {3, 'v', "c", true, 0}},
	2, "x", 100, RAFT_ADD_LEARNER, 2},
    {"a learner that is unresponsive for long is removed",
	{{1, 'v', "a", true, 0}, {2, 'v', "b", true, 0}, {3, 'v', "c", true, 0},
	    {9, 'l', "x", false, 20000}},
	0, "", 0, RAFT_REMOVE, 9},
};

/* Guards against changes that lose a vote or pick the wrong process. */
START_TEST(plan_follows_its_rules)
{
	const struct plan_case *c = &plan_cases[_i];
	struct replica_progress members[7];
	struct candidate candidates[MEMBERSHIP_CANDIDATES_MAX] = {0};
	struct membership_view v = {.now_ns = NOW,
	    .self = 1,
	    .voters_wanted = 5,
	    .members = members,
	    .candidates = candidates};
	struct raft_change change = {0};
	bool planned;

	for (; c->members[v.member_count].id != 0; v.member_count++) {
		const struct plan_member *m = &c->members[v.member_count];

		members[v.member_count] = (struct replica_progress){
		    .member = {.id = m->id, .voter = m->kind == 'v'},
		    .caught_up = m->caught_up,
		    .since_contact_ns = m->unresponsive_ms * NSEC_PER_MSEC};
		strcpy(members[v.member_count].member.address, m->address);
	}
	if (c->candidate != 0)
		record_candidate(candidates, c->candidate, c->candidate_address,
		    NOW - c->request_age_ms * NSEC_PER_MSEC);
	planned = plan_membership(&v, &change);
	ck_assert_msg(planned == (c->want >= 0), "%s", c->what);
	if (planned) {
		ck_assert_msg((int)change.type == c->want, "%s", c->what);
		ck_assert_msg(change.member.id == c->want_id, "%s", c->what);
	}
}
END_TEST

/*
 * Guards against an id that is shared by two processes, or kept after the loss
 * of a disk.
 */
START_TEST(ids_are_stored_and_redrawn_after_disk_loss)
{
	char dir[] = "/tmp/ggs-id-XXXXXX", file[64];
	uint64_t id = 0;
	struct fault f = {0};

	ck_assert_ptr_nonnull(mkdtemp(dir));
	ck_assert_int_eq(load_identity(dir, &id, &f), ERR_NOT_FOUND);
	ck_assert_int_eq(save_identity(dir, 77, &f), 0);
	ck_assert_int_eq(load_identity(dir, &id, &f), 0);
	ck_assert_uint_eq(id, 77);
	snprintf(file, sizeof(file), "%s/identity", dir);
	ck_assert_int_eq(truncate(file, 1), 0);
	ck_assert_int_eq(load_identity(dir, &id, &f), ERR_CORRUPT);
	ck_assert_int_eq(remove(file), 0);
	ck_assert_int_eq(rmdir(dir), 0);
	ck_assert_uint_eq(derive_identity("10.1.0.45:7600"),
	    derive_identity("10.1.0.45:7600"));
	ck_assert_uint_ne(derive_identity("10.1.0.45:7600"),
	    derive_identity("10.1.0.45:7601"));
	ck_assert_uint_ne(draw_identity(), draw_identity());
	ck_assert_uint_ge(draw_identity(), 1ULL << 62);
}
END_TEST

/* Control processes in this program, each on its own loopback address. */
struct process {
	struct control *control;
	char rpc[48], http[48], dir[64];
};

static struct process processes[PROCESSES];
static char root[] = "/tmp/ggs-join-XXXXXX";

static void
start_process(int i, bool first)
{
	struct process *p = &processes[i];
	struct control_config c = {.auto_members = true,
	    .first_start = first,
	    .voters_wanted = 5,
	    .seed_count = 3,
	    .zone = "z",
	    .rpc_listen = p->rpc,
	    .http_listen = p->http,
	    .data_dir = p->dir,
	    .key = make_str("0123456789abcdef"),
	    .clock = get_real_clock(),
	    .seed = (uint64_t)i + 1};
	struct fault f = {0};

	for (int k = 0; k < 3; k++)
		c.seeds[k] = processes[k].rpc;
	ck_assert_msg(start_control(&c, &p->control, &f) == 0, "%s", f.text);
}

static void
stop_process(int i)
{
	stop_control(processes[i].control);
	processes[i].control = NULL;
}

static int
remove_entry(const char *path, const struct stat *st, int type, struct FTW *at)
{
	(void)st;
	(void)type;
	(void)at;
	return remove(path);
}

static void
wipe_process(int i)
{
	ck_assert_int_eq(
	    nftw(processes[i].dir, remove_entry, 8, FTW_DEPTH | FTW_PHYS), 0);
}

/* Lists the voters that process i knows; 0: no voter or no recent leader. */
static size_t
count_voters(int i, uint64_t *ids)
{
	struct raft_members m = {0};
	struct replica_status st;
	size_t n = 0;

	if (!get_replication_status(processes[i].control, &st) || !st.voter ||
	    st.contact_ns < 0 || st.contact_ns > SECOND)
		return 0;
	(void)get_replication_members(processes[i].control, &m);
	for (size_t k = 0; k < m.count; k++) {
		if (m.member[k].voter)
			ids[n++] = m.member[k].id;
	}
	return n;
}

/* Waits until all started processes see a group of 5 voters without old. */
static void
wait_for_full_group(uint64_t old)
{
	uint64_t ids[RAFT_MEMBERS_MAX];
	bool full = false;

	for (int round = 0; round < WAIT_S * 20 && !full; round++) {
		usleep(50000);
		full = true;
		for (int i = 0; i < PROCESSES; i++) {
			size_t n;

			if (processes[i].control == NULL)
				continue;
			n = count_voters(i, ids);
			full = full && n == 5;
			for (size_t k = 0; k < n; k++)
				full = full && ids[k] != old;
		}
	}
	ck_assert(full);
}

static void
open_processes(void)
{
	unsigned int net = (unsigned int)getpid();

	ck_assert_ptr_nonnull(mkdtemp(root));
	for (int i = 0; i < PROCESSES; i++) {
		struct process *p = &processes[i];

		snprintf(p->rpc, sizeof(p->rpc), "127.%u.%u.%d:7401",
		    10 + net / 250 % 80, 1 + net % 250, i + 1);
		snprintf(p->http, sizeof(p->http), "127.%u.%u.%d:7400",
		    10 + net / 250 % 80, 1 + net % 250, i + 1);
		snprintf(p->dir, sizeof(p->dir), "%s/%d", root, i);
	}
}

/*
 * Guards against a group that does not bootstrap, or does not return to five
 * voters after a process loses its disk and another one is lost for good.
 */
START_TEST(group_bootstraps_joins_and_replaces_voters)
{
	uint64_t old;

	open_processes();
	for (int i = 4; i >= 0; i--)
		start_process(i, true);
	wait_for_full_group(0);
	old = processes[1].control->id;
	stop_process(1);
	wipe_process(1);
	start_process(1, false);
	wait_for_full_group(old);
	ck_assert_uint_ne(processes[1].control->id, old);
	old = processes[0].control->id;
	stop_process(0);
	start_process(5, false);
	wait_for_full_group(old);
	/* A restarted process keeps its id and its vote. */
	old = processes[3].control->id;
	stop_process(3);
	start_process(3, false);
	wait_for_full_group(0);
	ck_assert_uint_eq(processes[3].control->id, old);
	for (int i = 0; i < PROCESSES; i++) {
		if (processes[i].control != NULL)
			stop_process(i);
	}
	ck_assert_int_eq(nftw(root, remove_entry, 8, FTW_DEPTH | FTW_PHYS), 0);
}
END_TEST

static void
close_processes(void)
{
	for (int i = 0; i < PROCESSES; i++) {
		if (processes[i].control != NULL)
			stop_process(i);
	}
	ck_assert_int_eq(nftw(root, remove_entry, 8, FTW_DEPTH | FTW_PHYS), 0);
}

/*
 * Guards against a fleet that never gets a group, or a process that ends for
 * good: initial voters were ended before the group existed, and start again with
 * or without the flag of the first start, with the disks that they had.
 */
static const struct {
	unsigned int restarted; /* bit i: process i starts twice */
	bool first; /* the flag of the second start */
	bool id_lost; /* killed before the id was stored */
} restart_cases[] = {
    {1, false, false},
    {1, true, false},
    {1, false, true},
    {2, false, false},
    {2, true, false},
    {4, true, false},
    {3, false, false},
    {3, true, false},
    {7, false, false},
    {7, true, false},
    {7, false, true},
    {31, false, false},
    {31, true, false},
};

START_TEST(initial_voters_restart_before_the_group_exists)
{
	unsigned int restarted = restart_cases[_i].restarted;
	char path[80];

	open_processes();
	/* One at a time, so that they never see each other. */
	for (int i = 0; i < 5; i++) {
		if ((restarted & 1U << i) == 0)
			continue;
		start_process(i, true);
		stop_process(i);
		snprintf(path, sizeof(path), "%s/identity", processes[i].dir);
		if (restart_cases[_i].id_lost)
			ck_assert_int_eq(remove(path), 0);
	}
	for (int i = 4; i >= 0; i--) {
		if ((restarted & 1U << i) == 0)
			start_process(i, true);
	}
	usleep(300000);
	for (int i = 0; i < 5; i++) {
		if ((restarted & 1U << i) != 0)
			start_process(i, restart_cases[_i].first);
	}
	wait_for_full_group(0);
	close_processes();
}
END_TEST

/*
 * Guards against a process that ends for good: an initial voter was ended just
 * before it bootstrapped the group, and the others have done so meanwhile.
 */
START_TEST(initial_voter_restarts_when_the_others_have_a_group)
{
	char path[80];
	struct voter_list list;
	struct fault f = {0};
	uint64_t id;

	open_processes();
	for (int i = 4; i >= 0; i--)
		start_process(i, true);
	wait_for_full_group(0);
	stop_process(0);
	/* As its disk was before: the list of initial voters, and no log. */
	memset(&list, 0, sizeof(list));
	for (int i = 0; i < 3; i++)
		snprintf(list.address[list.count++], RPC_ADDRESS_BYTES, "%s",
		    processes[i].rpc);
	wipe_process(0);
	id = derive_identity(processes[0].rpc);
	ck_assert_int_eq(save_voter_list(processes[0].dir, &list, &f), 0);
	ck_assert_int_eq(save_identity(processes[0].dir, id, &f), 0);
	start_process(0, _i == 1);
	wait_for_full_group(0);
	ck_assert(!has_control_failed(processes[0].control, &f));
	ck_assert_uint_eq(processes[0].control->id, id);
	snprintf(path, sizeof(path), "%s/initial-voters", processes[0].dir);
	ck_assert_int_ne(access(path, F_OK), 0);
	close_processes();
}
END_TEST

/*
 * Guards against a fleet that never gets a group: an initial voter lost its disk
 * before the group existed, or starts late and without the flag of the first
 * start, so that its id is never seen.
 */
START_TEST(initial_voter_loses_its_disk_before_the_group_exists)
{
	open_processes();
	if (_i == 0) {
		start_process(2, true);
		usleep(50000);
		stop_process(2);
		wipe_process(2);
	}
	for (int i = 4; i >= 0; i--) {
		if (i != 2)
			start_process(i, true);
	}
	usleep(300000);
	start_process(2, false);
	wait_for_full_group(derive_identity(processes[2].rpc));
	close_processes();
}
END_TEST

/*
 * Guards against two groups: an initial voter that lost its disk after the group
 * had been bootstrapped must not bootstrap another one, though it is told that
 * this is the first start and another one has not yet started again.
 */
START_TEST(initial_voter_without_its_disk_bootstraps_no_second_group)
{
	struct fault f = {0};

	open_processes();
	for (int i = 4; i >= 0; i--)
		start_process(i, true);
	wait_for_full_group(0);
	stop_process(0);
	stop_process(1);
	wipe_process(1);
	start_process(1, true);
	for (int i = 0;
	     i < WAIT_S * 20 && !has_control_failed(processes[1].control, &f);
	     i++)
		usleep(50000);
	ck_assert(has_control_failed(processes[1].control, &f));
	ck_assert_int_eq(f.kind, ERR_CONFLICT);
	close_processes();
}
END_TEST

/* Flips one bit of a file, or removes it. */
static void
damage_file(int i, const char *name, bool remove)
{
	char path[128];
	FILE *file;
	int c;

	snprintf(path, sizeof(path), "%s/%s", processes[i].dir, name);
	if (remove) {
		ck_assert_int_eq(unlink(path), 0);
		return;
	}
	file = fopen(path, "r+");
	ck_assert_ptr_nonnull(file);
	c = fgetc(file);
	ck_assert_int_ne(c, EOF);
	rewind(file);
	ck_assert_int_eq(fputc(c ^ 1, file), c ^ 1);
	ck_assert_int_eq(fclose(file), 0);
}

/* Whether a call that fails comes before the one that renames all files. */
static const bool aside_cases[] = {false, true};

/*
 * Guards against damaged files that are not kept: the call that sets them aside
 * is tried again after a refused rename and removes what it has renamed, or
 * those of an earlier time stay for good.
 */
START_TEST(files_set_aside_are_kept)
{
	static const char *const names[] = {
	    "log-1", "log-2", "snapshot-1", "state", "initial-voters"};
	char dir[] = "/tmp/ggs-aside-XXXXXX", path[128], text[8];
	struct fault f = {0};
	FILE *file;

	ck_assert_ptr_nonnull(mkdtemp(dir));
	for (int round = 1; round <= 2; round++) {
		for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
			snprintf(path, sizeof(path), "%s/%s", dir, names[i]);
			file = fopen(path, "w");
			ck_assert_ptr_nonnull(file);
			fprintf(file, "%d", round);
			ck_assert_int_eq(fclose(file), 0);
		}
		ck_assert_int_eq(save_identity(dir, 7, &f), 0);
		snprintf(path, sizeof(path), "%s/damaged.log-2", dir);
		if (aside_cases[_i]) {
			(void)unlink(path);
			ck_assert_int_eq(mkdir(path, 0700), 0);
			ck_assert_int_eq(set_data_aside(dir, &f), ERR_IO);
			ck_assert_int_eq(rmdir(path), 0);
		}
		ck_assert_int_eq(set_data_aside(dir, &f), 0);
		for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
			snprintf(path, sizeof(path), "%s/%s", dir, names[i]);
			ck_assert_int_ne(access(path, F_OK), 0);
			snprintf(
			    path, sizeof(path), "%s/damaged.%s", dir, names[i]);
			file = fopen(path, "r");
			ck_assert_msg(file != NULL, "%s", path);
			ck_assert_ptr_nonnull(fgets(text, sizeof(text), file));
			ck_assert_int_eq(atoi(text), round);
			fclose(file);
		}
	}
	ck_assert_int_eq(nftw(dir, remove_entry, 8, FTW_DEPTH | FTW_PHYS), 0);
}
END_TEST

/*
 * Guards against an initial voter that forgets the others for good because its
 * list of them could not be read once.
 */
START_TEST(voter_list_that_cannot_be_read_is_no_empty_one)
{
	char dir[] = "/tmp/ggs-voters-XXXXXX", path[128];
	struct voter_list list;
	struct fault f = {0};

	ck_assert_ptr_nonnull(mkdtemp(dir));
	ck_assert_int_eq(load_voter_list(dir, &list, &f), ERR_NOT_FOUND);
	/* A folder opens like a file, and reading it fails. */
	snprintf(path, sizeof(path), "%s/initial-voters", dir);
	ck_assert_int_eq(mkdir(path, 0700), 0);
	ck_assert_int_eq(load_voter_list(dir, &list, &f), ERR_IO);
	ck_assert_int_eq(rmdir(path), 0);
	ck_assert_int_eq(rmdir(dir), 0);
}
END_TEST

/* Files of a process that are damaged before it starts again. */
struct damage_case {
	const char *name;
	bool removed;
};

static const struct damage_case damage_cases[] = {
    {"log-0000000000000001", false},
    {"log-0000000000000001", true},
    {"state", false},
    {"state", true},
    {"identity", false},
    {"identity", true},
};

/*
 * Guards against a process that ends at each start, and counts with the platform
 * each time, because its data is damaged: it ends once and joins as a new member
 * when the others have a quorum. Without one it keeps its files and waits.
 */
START_TEST(damaged_process_joins_again_when_the_others_have_a_quorum)
{
	const struct damage_case *d = &damage_cases[_i];
	struct fault f = {0};
	char path[128];
	uint64_t old;

	open_processes();
	for (int i = 4; i >= 0; i--)
		start_process(i, true);
	wait_for_full_group(0);
	old = processes[1].control->id;
	for (int i = 1; i < 4; i++)
		stop_process(i);
	damage_file(1, d->name, d->removed);
	start_process(1, false);
	usleep(1500000);
	ck_assert(!has_control_failed(processes[1].control, &f));
	snprintf(path, sizeof(path), "%s/damaged.lock", processes[1].dir);
	ck_assert_int_ne(access(path, F_OK), 0);
	snprintf(path, sizeof(path), "%s/damaged.state", processes[1].dir);
	ck_assert_int_ne(access(path, F_OK), 0);
	start_process(2, false);
	start_process(3, false);
	for (int i = 0;
	     i < WAIT_S * 20 && !has_control_failed(processes[1].control, &f);
	     i++)
		usleep(50000);
	ck_assert(has_control_failed(processes[1].control, &f));
	ck_assert_msg(
	    strstr(f.text, "join under a new id") != NULL, "%s", f.text);
	stop_process(1);
	start_process(1, false);
	wait_for_full_group(old);
	ck_assert_uint_ne(processes[1].control->id, old);
	close_processes();
}
END_TEST

int
main(void)
{
	TCase *t = tcase_create("membership");

	tcase_set_timeout(t, 120);
	tcase_add_loop_test(t, plan_follows_its_rules, 0,
	    sizeof(plan_cases) / sizeof(plan_cases[0]));
	tcase_add_test(t, ids_are_stored_and_redrawn_after_disk_loss);
	tcase_add_test(t, group_bootstraps_joins_and_replaces_voters);
	tcase_add_loop_test(
	    t, initial_voter_restarts_when_the_others_have_a_group, 0, 2);
	tcase_add_loop_test(t, initial_voters_restart_before_the_group_exists,
	    0, sizeof(restart_cases) / sizeof(restart_cases[0]));
	tcase_add_loop_test(
	    t, initial_voter_loses_its_disk_before_the_group_exists, 0, 2);
	tcase_add_test(
	    t, initial_voter_without_its_disk_bootstraps_no_second_group);
	tcase_add_loop_test(t, files_set_aside_are_kept, 0, 2);
	tcase_add_test(t, voter_list_that_cannot_be_read_is_no_empty_one);
	tcase_add_loop_test(t,
	    damaged_process_joins_again_when_the_others_have_a_quorum, 0,
	    sizeof(damage_cases) / sizeof(damage_cases[0]));
	return run_suite("membership", t);
}
