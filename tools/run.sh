#!/bin/sh
# Starts both example deployments on loopback, shows that an edit reaches every
# node, and stops all processes. Exits with status 0 only if all checks pass.
set -eu
GGS_COMMIT=$(git rev-parse --short HEAD 2>/dev/null || echo unknown)
export GGS_COMMIT
exec build/bench/scenario scenarios/run.lua
