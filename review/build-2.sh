#!/usr/bin/env bash
# Builds the program that plays the clients, the servers and the platform of the cases 6 to
# 8. The node comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/reviewstage2 ./review/stage2
