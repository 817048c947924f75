#!/bin/sh
# Writes docs/CAPACITY.md from the results of the last run of bench.sh full.
set -eu
cd "$(dirname "$0")/.."
build/bench/scenario bench/capacity.lua >build/bench/CAPACITY.md
cp build/bench/CAPACITY.md docs/CAPACITY.md
