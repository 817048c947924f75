#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for source in review/[0-9]*/case.c; do
	n=$(basename "$(dirname "$source")")
	[ "$n" -ge 6 ] || continue
	cc -std=gnu11 -O2 -Wall -Wextra -Wno-restrict -pthread -o "$out/case-$n" \
		"$source" review/stand-2/rig.c
done
