#!/bin/sh
# Measures what the data path adds to a call: the same load goes to the backend
# server itself, to its serving node, and to an entry node before that, three
# times in turn. Then the cost of a call at eight times the load.
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

measure() {
	"$build/bench/load" --entry="$2" --row="read:$rate:64:5000" \
	    --seconds="$seconds" --warm=2 --seed="$3" --experiment=hop \
	    --params="path=$1 rate=$rate round=$3" --commit="$commit"
}

ticks() {
	awk '{print $14 + $15}' "/proc/$1/stat"
}

# Prints the processor time of both nodes for a call and what that makes of a
# core, from the clock ticks (10 ms) used during the calls.
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
	before=$(ticks $nodes)
	measure hop $entry $round
	after=$(ticks $nodes)
	print_cost $((after - before)) "$rate" $((seconds + 2))
done

# Many calls at a time cost less each, because a wake-up serves several.
rate=$((rate * 8))
echo "two nodes, $rate calls/s" >&2
before=$(ticks $nodes)
measure hop $entry 4
after=$(ticks $nodes)
print_cost $((after - before)) "$rate" $((seconds + 2))
