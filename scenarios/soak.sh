#!/bin/sh
# Runs the randomized soak test with many seeds and counts the results.
# usage: soak.sh quick|full [FIRST LAST [SECONDS]]
# quick: the seeds that failed once (soak_seeds.txt) and seeds 1 and 2, for 6
# seconds each; full: seeds FIRST to LAST. Both run three seeds in parallel.
set -u
cd "$(dirname "$0")/.." || exit 1
mode=${1:-quick} first=${2:-1} last=${3:-50} seconds=${4:-10}
logs=build/runs/soak-logs
mkdir -p "$logs"
if [ "$mode" = quick ]; then
	seeds="1 2 $(sed -n 's/^seed: \([0-9]*\).*/\1/p' scenarios/soak_seeds.txt)"
	seconds=6
else
	seeds=$(seq "$first" "$last")
fi
for s in $seeds; do
	echo "$s"
done | xargs -P 3 -I{} sh -c "timeout 180 build/bench/scenario \
    scenarios/soak.lua {} $seconds >$logs/{}.txt 2>&1 || echo {} >>$logs/failed-$$"
count=$(echo "$seeds" | wc -w)
failed=0
if [ -f "$logs/failed-$$" ]; then
	failed=$(wc -l <"$logs/failed-$$")
	while read -r s; do
		echo "FAILED: build/bench/scenario scenarios/soak.lua $s $seconds"
		grep -m1 "check failed\|not reached" "$logs/$s.txt"
		echo "log: $logs/$s.txt"
	done <"$logs/failed-$$"
	rm "$logs/failed-$$"
fi
echo "soak: $count seeds, $failed failed"
[ "$failed" -eq 0 ]
