#!/usr/bin/env bash
# Fails if a name of the users' platform stands outside the adapter, the deploy
# files, the stand-in that speaks its protocol, and the tests of the whole sidecar,
# which play callers and backend servers.
set -euo pipefail
cd "$(dirname "$0")/.."

names='X-Attempt-Id|X-Deadline-Ms|X-Expect-Instance|X-Tenant|X-Server-Seal|X-Not-Executed|X-Caller-Service|X-Instance-Id'
names+='|Instances\.Heartbeat|Instances\.Deregister|/-/rows-|/-/blob-|/-/readyz'
names+='|"(trafficSplit|allowAnonymous|apiKeys|ratePerS|targetLatency|coldRemaining|heartbeatAddr|maxConnections|healthPath'
names+='|retryBudgetRatio|budgetSlack|quotaOvershoot|quotaSlack|appAddr|nodeName|portRange)[",=]'
found=$(git ls-files '*.go' | grep -vE '^(platform|internal/standin)/|^internal/sidecar/(sidecar|answers)_test\.go$' | xargs grep -nE "$names" || true)
if [ -n "$found" ]; then
  printf 'names of the platform outside platform/, deploy/ and internal/standin/:\n%s\n' "$found"
  exit 1
fi
