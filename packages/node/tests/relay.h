/*
 * A loopback TCP relay between two nodes. While paused it forwards nothing and
 * keeps its connections open.
 */
#ifndef RELAY_H
#define RELAY_H

#include <stdbool.h>

struct relay;

struct relay *open_relay(const char *target); /* "IP:port" */
void close_relay(struct relay *r);
void set_relay_paused(struct relay *r, bool paused);
const char *get_relay_address(const struct relay *r); /* "IP:port" */

#endif
