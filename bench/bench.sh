#!/bin/sh
# Runs the experiments and writes their results, one JSON object a line, to
# build/bench/results.jsonl. usage: bench.sh quick|full
# GGS_FACTORS sets the overload factors of flood.lua (2 5 10).
set -eu
cd "$(dirname "$0")/.."
mode=${1:-full}
GGS_COMMIT=$(git rev-parse --short HEAD 2>/dev/null || echo unknown)
GGS_RESULTS=$PWD/build/bench/results.jsonl
export GGS_COMMIT GGS_RESULTS
: >"$GGS_RESULTS"

# Runs a Lua experiment, which appends its results to GGS_RESULTS.
lua() {
	echo "== $*"
	build/bench/scenario "$@"
}

# Runs a C tool and appends the JSON lines of its output to the results.
tool() {
	echo "== $*"
	"$@" | tee build/bench/last.out
	grep '^{' build/bench/last.out >>"$GGS_RESULTS" || true
}

if [ "$mode" = quick ]; then
	lua bench/convergence.lua 25 20 10 5
	tool build/bench/baseline_push 25 20 20
	lua bench/failover.lua 11 1
	lua scenarios/catchup.lua 100
	lua bench/flood.lua workshop least 10 3
	exit 0
fi
for n in 25 50 100 200; do
	lua bench/convergence.lua $n 20 20 20
	tool build/bench/baseline_push $n 20 50
done
for rows in 240 960; do
	lua bench/convergence.lua 100 $rows 20 10
	tool build/bench/baseline_push 100 $rows 20
done
for n in 25 100 200; do
	lua bench/failover.lua $n 3
done
lua bench/churn.lua 50 4
lua scenarios/catchup.lua 500
lua scenarios/chain.lua
for t in rpc_bench agent_bench replica_bench; do
	[ ! -x build/bench/$t ] || tool build/bench/$t
done
tool build/bench/policy_bench --commit="$GGS_COMMIT" --json=build/bench/policy.jsonl
cat build/bench/policy.jsonl >>"$GGS_RESULTS"
[ ! -f bench/hop_bench.sh ] || tool sh bench/hop_bench.sh
for d in grants workshop; do
	for which in least most; do
		for factor in ${GGS_FACTORS:-2 5 10}; do
			lua bench/flood.lua $d $which $factor 8
		done
	done
done
