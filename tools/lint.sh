#!/bin/sh
# Runs clang-tidy and cppcheck over every hand-written source file.
# usage: lint.sh [BUILD_DIR]   (default build; contains compile_commands.json)
set -eu
build=${1:-build}
cmake -S . -B "$build" >/dev/null
# Only files that the build compiles, since clang-tidy needs each file's flags.
files=$(git ls-files 'packages/*.c' 'platform/*.c' 'apps/*.c' 'bench/*.c' | grep -v /gen/ |
    while read -r f; do
	grep -qF "\"$PWD/$f\"" "$build/compile_commands.json" && echo "$f"
    done; true)
printf '%s\n' $files | xargs -P 8 -n 4 clang-tidy --quiet -p "$build" \
    2>"$build/clang-tidy.err" || {
	grep -E 'error|warning' "$build/clang-tidy.err" >&2 || true
	exit 1
}
cppcheck --quiet --error-exitcode=1 --inline-suppr -j 8 --std=c11 \
    --enable=warning,portability \
    --suppress=missingIncludeSystem --suppress=normalCheckLevelMaxBranches \
    $files
echo "lint: clean"
