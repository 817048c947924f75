#!/bin/sh
# Runs the case after the build of the deploy file and review/build.sh.
cd "$(dirname "$0")" || exit 2
ROOT=$(cd ../.. && pwd)
export ROOT
[ -x ../build/case1 ] || { echo "run review/build.sh first"; exit 2; }
exec ../build/case1
