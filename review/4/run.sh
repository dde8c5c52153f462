#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves out the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/dotterelsidecar ] && [ -x target/review/reviewcase ] || { echo "not built" >&2; exit 2; }
exec target/review/reviewcase revoked review/4/record.txt
