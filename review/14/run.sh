#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
exec target/review-3/case-"${here##*/}" "$here/record.txt" \
	target/apps/greengagespurd/greengagespurd
