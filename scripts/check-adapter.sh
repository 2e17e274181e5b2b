#!/usr/bin/env bash
# Fails when src/ includes from the adapter in platform/ or uses a name that only the users' platform has.
set -euo pipefail
cd "$(dirname "$0")/.."
includes=$(git grep -nE '#include "platform/|\.\./platform/' -- src || true)
names=$(git grep -nE 'X-Fencing-Token|X-Lease-Holder|X-Instance-Id|cold_left_ms|db_role|STEPDOWN|WRONGNODE|CONNLIMIT|READONLY|LAGGING|INDOUBT|NOSTMT|/failover|/objects/|max_staleness_ms|tx_idle_ms' -- src || true)
if [ -n "$includes$names" ]; then
    echo "src/ knows what only platform/ may know:"
    printf '%s\n%s\n' "$includes" "$names"
    exit 1
fi
lines=$(git ls-files 'platform/*' | xargs cat | wc -l)
echo "adapter: $lines lines, not known to src/"
