#!/usr/bin/env bash
# Measures processor time and memory of one idle proxy that owns a number of groups: its status polls. Needs a build.
#
#   scripts/measure-owner.sh [GROUPS...]     default: 1 8 32
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/lib/estate.sh
. scripts/lib/estate.sh
# shellcheck source=scripts/lib/demo.sh
. scripts/lib/demo.sh
measured_seconds=8

# processor_ticks PROCESS: prints user and system time of a process in clock ticks.
processor_ticks() {
    awk '{print $14 + $15}' "/proc/$1/stat"
}

# write_groups COUNT: settings of that many groups, all on the servers of the one stand-in.
write_groups() {
    local number
    echo "{\"nodes\": [{\"path\": \"estate\", \"document\": {\"status.query\": \"$demo_status_query\"}}"
    for number in $(seq "$1"); do
        echo ", {\"path\": \"estate/group-$number\", \"document\": {\"group.servers\": [$demo_servers]}}"
    done
    echo "]}"
}

estate_begin
demo_start_group --max-connections 1000
for groups in "${@:-1 8 32}"; do
    for count in $groups; do
        write_groups "$count" >"$estate_folder/groups-$count.json"
        estate_start "platform-$count" "$estate_bin/coralhoist-lab" platform --initial "$estate_folder/groups-$count.json"
        demo_platform="http://$(estate_value "platform-$count" address):$(estate_value "platform-$count" port)"
        demo_start_proxy "owner-$count" zone-a
        process="${estate_processes[-1]}"
        sleep 4
        before=$(processor_ticks "$process")
        sleep "$measured_seconds"
        after=$(processor_ticks "$process")
        awk -v groups="$count" -v ticks=$((after - before)) -v hertz="$(getconf CLK_TCK)" -v seconds="$measured_seconds" \
            -v memory="$(awk '/VmRSS/ {print $2}' "/proc/$process/status")" \
            'BEGIN { printf "%4d groups: %.2f%% of a core, %d KiB resident\n", groups, 100 * ticks / hertz / seconds, memory }'
        kill -TERM "$process"
        wait "$process" || true
    done
done
