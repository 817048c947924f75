#!/bin/sh
# Builds the stand-ins and the programs of the cases into review/build/.
set -e
cd "$(dirname "$0")"
mkdir -p build
for source in [1-5]/*.c; do
	[ -e "$source" ] || continue
	name=case$(dirname "$source")
	${CC:-cc} -std=gnu11 -O1 -g -Wall -Wextra -Wno-format-truncation -Istand -o "build/$name" \
	    "$source" stand/mesh.c -lpthread
done
