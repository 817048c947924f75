#!/bin/sh
# Plots the results of the last run of bench.sh full into docs/plots/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p docs/plots build/bench
build/bench/scenario bench/plots.lua
for p in convergence bytes cpu; do
	gnuplot "build/bench/$p.gp"
done
