#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review-3/case12 ] || exit 2
exec target/review-3/case12 "$folder"
