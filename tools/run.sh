#!/bin/sh
# Starts both example deployments on loopback, shows an edit reach every node,
# and stops everything again. Ends with status 0 only if all of it held.
set -eu
GGS_COMMIT=$(git rev-parse --short HEAD 2>/dev/null || echo unknown)
export GGS_COMMIT
exec build/bench/scenario scenarios/run.lua
