/*
 * The id of a control process that gets none from the settings. It is stored in
 * the data folder, so a process that lost its disk restarts under another id
 * and never votes twice under the same one. Until the group is bootstrapped, so
 * are its initial voters, with which a process that is started again goes on.
 */
#ifndef IDENTITY_H
#define IDENTITY_H

#include "control.h"
#include "rpc.h"

/* "IP:port" of the initial voters. */
struct voter_list {
	char address[CONTROL_PEER_MAX][RPC_ADDRESS_BYTES];
	size_t count;
};

/* ERR_NOT_FOUND: the folder contains none; ERR_CORRUPT, ERR_IO. */
int load_identity(const char *dir, uint64_t *out, struct fault *f);
/* Durable on return. ERR_DENIED: the folder cannot be created; ERR_IO. */
int save_identity(const char *dir, uint64_t id, struct fault *f);
/* Keeps the files of a damaged folder under other names, so that a start finds
 * it empty. ERR_IO. */
int set_data_aside(const char *dir, struct fault *f);
/* The id of an initial voter, derived from its "IP:port" so that all initial
 * voters know each other's ids; never 0. */
uint64_t derive_identity(const char *address);
uint64_t draw_identity(void); /* random; never 0 or a derived id */
/* As load_identity(), save_identity(). */
int load_voter_list(const char *dir, struct voter_list *out, struct fault *f);
int save_voter_list(
    const char *dir, const struct voter_list *list, struct fault *f);
void remove_voter_list(const char *dir); /* not durable; errors are ignored */

#endif
