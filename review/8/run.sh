#!/usr/bin/env bash
# Plays case 8. Needs the build of the deploy file and review/build-2.sh.
# Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/dotterelsidecar ] && [ -x target/reviewstage2 ] || exit 2
exec target/reviewstage2 8 review/8
