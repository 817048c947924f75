#!/bin/sh
# Measures what the data path adds to a call: the same load goes to the backend
# server directly, to its serving node, and through an entry node, in three
# rounds. Then measures the CPU time of a call at eight times the load.
# usage: hop_bench.sh [BUILD [RATE [SECONDS]]]
set -eu
build=${1:-build}
rate=${2:-500}
seconds=${3:-8}
commit=$(git rev-parse --short HEAD)
server=127.0.7.1:7901
serving=127.0.7.1:7902
entry=127.0.7.2:7902
slots=32

"$build/bench/standin" --listen=$server --slots=$slots --service-ms=2 \
    --shape=fixed &
standin=$!
"$build/bench/hop_nodes" $server $serving $entry $slots &
nodes=$!
trap 'kill $nodes $standin 2>/dev/null; wait' EXIT
sleep 1

# Arguments: path name, address, round (also the seed).
measure() {
	"$build/bench/load" --entry="$2" --row="read:$rate:64:5000" \
	    --seconds="$seconds" --warm=2 --seed="$3" --experiment=hop \
	    --params="path=$1 rate=$rate round=$3" --commit="$commit"
}

# CPU time of a process in clock ticks, user and system.
get_ticks() {
	awk '{print $14 + $15}' "/proc/$1/stat"
}

# Prints the CPU time of both nodes for a call, and the calls/s per node that
# one core can carry. Arguments: clock ticks (10 ms) used, calls/s, seconds.
print_cost() {
	awk -v t="$1" -v r="$2" -v s="$3" -v c="$commit" 'BEGIN {
		us = t * 10000 / (r * s)
		f = "{\"experiment\":\"hop\",\"params\":\"path=hop rate=%d\"," \
		    "\"metric\":\"%s\",\"value\":%.1f,\"unit\":\"%s\"," \
		    "\"commit\":\"%s\"}\n"
		printf f, r, "cpu_us_per_call", us, "us", c
		printf f, r, "calls_per_core_and_node", 2000000 / us, \
		    "calls/s", c }'
}

for round in 1 2 3; do
	echo "direct" >&2
	measure direct $server $round
	echo "one node" >&2
	measure serving $serving $round
	echo "two nodes" >&2
	before=$(get_ticks $nodes)
	measure hop $entry $round
	after=$(get_ticks $nodes)
	print_cost $((after - before)) "$rate" $((seconds + 2))
done

# At a higher rate a call costs less, because one wake-up serves several calls.
rate=$((rate * 8))
echo "two nodes, $rate calls/s" >&2
before=$(get_ticks $nodes)
measure hop $entry 4
after=$(get_ticks $nodes)
print_cost $((after - before)) "$rate" $((seconds + 2))
