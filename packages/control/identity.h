/*
 * The id of a control process that the settings do not number: stored in its
 * data folder, so that a process which lost its disk comes back under another
 * id and never votes twice.
 */
#ifndef IDENTITY_H
#define IDENTITY_H

#include "base.h"

/* ERR_NOT_FOUND: the folder holds none; ERR_CORRUPT, ERR_IO. */
int load_identity(const char *dir, uint64_t *out, struct fault *f);
int save_identity(const char *dir, uint64_t id, struct fault *f); /* durable */
/* The id of a founder, the same on all founders; never 0. */
uint64_t derive_identity(const char *address); /* "IP:port" */
uint64_t draw_identity(void); /* random, never 0 nor that of a founder */

#endif
