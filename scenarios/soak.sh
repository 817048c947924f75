#!/bin/sh
# Runs the randomized soak test and the faults of disks with many seeds and
# counts the results.
# usage: soak.sh quick|full [FIRST LAST [SECONDS]]
# quick: the seeds that failed once (soak_seeds.txt) and seeds 1 and 2, for 6
# seconds each, the faults of disks in disk_seeds.txt, and hung_disk.lua; full:
# seeds FIRST to LAST of the first two. Three seeds run in parallel.
set -u
cd "$(dirname "$0")/.." || exit 1
mode=${1:-quick} first=${2:-1} last=${3:-50} seconds=${4:-10}
logs=build/runs/soak-logs
mkdir -p "$logs"
if [ "$mode" = quick ]; then
	seconds=6
	seeds="1 2 $(sed -n 's/^seed: \([0-9]*\).*/\1/p' scenarios/soak_seeds.txt)"
	disks=$(sed -n 's/^seed: //p' scenarios/disk_seeds.txt)
else
	seeds=$(seq "$first" "$last")
	disks=$seeds
fi
count=$({
	for s in $seeds; do
		echo "scenarios/soak.lua $s $seconds"
	done
	echo "$disks" | sed 's,^,scenarios/disk_faults.lua ,'
	if [ "$mode" = quick ]; then
		echo "scenarios/hung_disk.lua 1"
	fi
} | tee "$logs/list-$$" | wc -l)
xargs -P 3 -I{} sh -c "log=$logs/\$(echo {} | tr -c 'a-z0-9\n' -).txt
timeout 180 build/bench/scenario {} >\$log 2>&1 ||
    echo \"\$log {}\" >>$logs/failed-$$" <"$logs/list-$$"
rm "$logs/list-$$"
failed=0
if [ -f "$logs/failed-$$" ]; then
	failed=$(wc -l <"$logs/failed-$$")
	while read -r log run; do
		echo "FAILED: build/bench/scenario $run"
		grep -m1 "check failed\|not reached" "$log"
		echo "log: $log"
	done <"$logs/failed-$$"
	rm "$logs/failed-$$"
fi
echo "soak: $count seeds, $failed failed"
[ "$failed" -eq 0 ]
