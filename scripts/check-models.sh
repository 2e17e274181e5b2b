#!/usr/bin/env bash
# Checks model/consistency.pml exhaustively with spin: the protocol must be free of errors, and each
# broken variant must violate an assertion. Prints a table; exits 1 when anything is not as expected.
# Needs spin and gcc. Files go to the build folder; the table is kept there as models/table.txt, and
# printed again without a new run while model, script and tools are the same as when it passed.
set -euo pipefail
cd "$(dirname "$0")/.."
script="$PWD/scripts/check-models.sh"
model="$PWD/model/consistency.pml"
folder="${CORALHOIST_BUILD:-build}/models"
mkdir -p "$folder"
folder=$(cd "$folder" && pwd)

readonly memory_limit_megabytes=2000
readonly depth_limit=100000
readonly time_limit_seconds=240

keyed_variants="KEY_SEPARATE RERUN_UNKEYED KEY_ANSWER_UNSAMPLED"
plain_variants="ACK_WITHOUT_SAMPLE SAMPLE_BEFORE_COMMIT ACK_IGNORES_TERM TERM_OF_LAST_ENTRY
    FLOOR_FROM_MINORITY FLOOR_IGNORES_TERM FLOOR_LEXICOGRAPHIC FLOOR_CAP_ANY_PRIMARY
    ELECTION_ANY VOTERS_NOT_FENCED"
failures=0

# check NAME EXPECTED(ok|violated) FLAGS...: runs one configuration and prints its line.
check() {
    local name="$1" expected="$2" work="$folder/$1" found states seconds megabytes
    # Violations are found within seconds, so compiling is what takes time.
    local optimization=-O1
    [ "$expected" = ok ] && optimization=-O2
    shift 2
    rm -rf "$work" && mkdir -p "$work" && pushd "$work" >/dev/null
    spin "$@" -a "$model" >spin.log 2>&1 &&
        gcc $optimization -DSAFETY -DCOLLAPSE -DMEMLIM=$memory_limit_megabytes -o pan pan.c >gcc.log 2>&1 &&
        { timeout "$time_limit_seconds" ./pan -m$depth_limit -w22 >pan.log 2>&1 || true; }
    touch pan.log
    if grep -q 'assertion violated' pan.log; then
        found=violated
    elif grep -q 'errors: 0$' pan.log && ! grep -qE 'Search not completed|too small' pan.log; then
        found=ok
    else
        found=incomplete
    fi
    states=$(grep -oE '[0-9.e+]+ states, stored' pan.log | head -1 | cut -d' ' -f1 || true)
    seconds=$(grep -oE 'elapsed time [0-9.]+' pan.log | cut -d' ' -f3 || true)
    megabytes=$(awk '/total actual memory usage/ {printf "%d", $1}' pan.log)
    popd >/dev/null
    rm -f "$work"/pan "$work"/pan.?
    [ "$found" = "$expected" ] || { failures=$((failures + 1)); found="$found (expected $expected)"; }
    printf '%-28s %-10s %12s %9s %8s\n' "$name" "$found" "${states:--}" "${seconds:--}" \
        "${megabytes:--}"
}

check_all() {
    printf '%-28s %-10s %12s %9s %8s\n' model result states seconds MB
    check writes-and-reads ok
    check keyed-requests ok -DKEYED
    for variant in $plain_variants; do
        check "$variant" violated "-D$variant"
    done
    for variant in $keyed_variants; do
        check "$variant" violated -DKEYED "-D$variant"
    done
    echo "not as expected: $failures"
}

inputs=$(cat "$model" "$script" <(spin -V) <(gcc --version) | sha256sum)
if [ -f "$folder/passed" ] && [ "$(cat "$folder/passed")" = "$inputs" ]; then
    cat "$folder/table.txt"
    echo "(unchanged since this check)"
    exit 0
fi
rm -f "$folder/passed"
check_all >"$folder/table.txt"
cat "$folder/table.txt"
[ "$failures" -eq 0 ]
echo "$inputs" >"$folder/passed"
