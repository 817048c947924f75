#!/bin/sh
# Measures what the data path adds to a call: the same load goes to the backend
# server itself, to its serving node, and to an entry node before that, three
# times in turn. Then the most calls/s through one serving node.
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

for round in 1 2 3; do
	echo "direct" >&2
	measure direct $server $round
	echo "one node" >&2
	measure serving $serving $round
	echo "two nodes" >&2
	before=$(ticks $nodes)
	measure hop $entry $round
	after=$(ticks $nodes)
	awk -v t=$((after - before)) -v r="$rate" -v s="$seconds" \
	    -v c="$commit" 'BEGIN {
		printf "{\"experiment\":\"hop\",\"params\":\"path=hop rate=%d\"," \
		    "\"metric\":\"cpu_us_per_call\",\"value\":%.1f," \
		    "\"unit\":\"us\",\"commit\":\"%s\"}\n", r,
		    t * 10000 / (r * (s + 2)), c }'
done
