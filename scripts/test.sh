#!/usr/bin/env bash
# Installs what is missing, builds everything and runs all tests. The last line gives the counts.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
build="${CORALHOIST_BUILD:-build}"
cmake -S . -B "$build" -G Ninja >"$build.configure.log" 2>&1 || { cat "$build.configure.log"; exit 1; }
ninja -C "$build"
if [ -f KNOWN-RED.txt ]; then
    echo "known failures, passed over:"
    cat KNOWN-RED.txt
    export CORALHOIST_KNOWN_RED="$PWD/KNOWN-RED.txt"
fi
ctest --test-dir "$build" --output-on-failure -j "${CORALHOIST_TEST_JOBS:-4}" | tee "$build.tests.log"
