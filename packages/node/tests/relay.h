/*
 * A loopback relay between two nodes that can fall silent while its
 * connections stay open.
 */
#ifndef RELAY_H
#define RELAY_H

#include <stdbool.h>

struct relay;

struct relay *open_relay(const char *target); /* "IP:port" */
void close_relay(struct relay *r);
void set_relay_silent(struct relay *r, bool silent); /* bytes wait */
const char *get_relay_address(const struct relay *r); /* "IP:port" */

#endif
