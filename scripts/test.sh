#!/usr/bin/env bash
# Runs all tests with the race detector. Tests listed in KNOWN-RED.txt (lines "skip: TestName") are left out.
set -euo pipefail
cd "$(dirname "$0")/.."

skip=$(sed -n 's/^skip: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
args=(-race -count=1 -timeout 20m -p 4)
if [ -n "$skip" ]; then
  args+=(-skip "^(${skip})\$")
fi
go test "${args[@]}" ./...
