#!/usr/bin/env bash
# Measures a point read through a proxy beside the same read straight to the stand-in, in one run. Needs a build.
#
#   scripts/benchmark.sh [FLAGS of coralhoist-lab benchmark]
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/lib/estate.sh
. scripts/lib/estate.sh
# shellcheck source=scripts/lib/demo.sh
. scripts/lib/demo.sh
estate_begin
demo_start_group --max-connections 35
demo_start_platform
demo_start_proxy proxy-1 zone-a
demo_wait_ready proxy-1 30
replica=$(echo "$demo_servers" | tr ',' '\n' | grep '"s2=' | sed -E 's/"s2=([^@]*)@.*/\1/')
"$estate_bin/coralhoist-lab" benchmark --direct "$replica" --database "$demo_group" --service "$demo_service" \
    --proxy "$(estate_value proxy-1 address):$(estate_value proxy-1 caller_port)" "$@"
