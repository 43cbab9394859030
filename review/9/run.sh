#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
case="target/review-2/case-$(basename "$folder")"
[ -x "$case" ] || exit 2
"$case"
code=$?
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || exit 2
exit "$code"
