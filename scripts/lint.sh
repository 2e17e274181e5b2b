#!/usr/bin/env bash
# Checks formatting of all sources and runs clang-tidy over them. Needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${CORALHOIST_BUILD:-build}"
mapfile -t sources < <(git ls-files 'src/*.h' 'src/*.cpp' 'platform/*.h' 'platform/*.cpp' 'lab/*.h' 'lab/*.cpp' 'tests/*.h' 'tests/*.cpp')
clang-format --dry-run --Werror "${sources[@]}"
mapfile -t units < <(git ls-files 'src/*.cpp' 'platform/*.cpp' 'lab/*.cpp')
printf '%s\0' "${units[@]}" | xargs -0 -n 1 -P "$(nproc)" clang-tidy --quiet -p "$build" 2>/dev/null
