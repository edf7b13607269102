#!/usr/bin/env bash
# Case 8, after the build of the deploy file and review/build-2.sh. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case8 ] && [ -x target/wisteriashunt-entry ] || exit 2
# TROUBLE=0 plays the same without the disruption; the program reads it.
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/case8 review/8
