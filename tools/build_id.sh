#!/bin/sh
# Writes a C file that names the sources of this build: the commit, with "+" if
# the product's sources differ from it, or, outside a checkout, a hash of them.
# usage: build_id.sh FILE; an unchanged file is left alone, so that nothing is
# linked again.
set -eu
export GIT_OPTIONAL_LOCKS=0 # a build beside a commit must not take its lock
cd "$(dirname "$0")/.."
product="CMakeLists.txt packages platform apps"

# A copy below another project's checkout is no checkout of its own.
if [ -e .git ] && id=$(git rev-parse --short=10 HEAD 2>/dev/null); then
	# shellcheck disable=SC2086
	git diff --quiet HEAD -- $product 2>/dev/null || id="$id+"
else
	# shellcheck disable=SC2086
	id=src-$(find $product -type f | LC_ALL=C sort | xargs cat | sha256sum |
	    cut -c 1-10)
fi
text="/* Written by tools/build_id.sh. */
#include \"daemon.h\"

const char *
get_build_id(void)
{
	return \"$id\";
}"
[ -f "$1" ] && [ "$(cat "$1")" = "$text" ] || printf '%s\n' "$text" >"$1"
