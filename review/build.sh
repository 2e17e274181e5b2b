#!/usr/bin/env bash
# Builds the stand-ins and the clients of the review's scripts into target/review, where they are older than their source.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
exec 9>target/review/lock
flock 9
for source in review/*/case.cpp; do
    program="target/review/case-$(basename "$(dirname "$source")")"
    if [ "$program" -nt "$source" ] && [ "$program" -nt review/standins/Standins.h ]; then
        continue
    fi
    # shellcheck disable=SC2046
    g++ -std=c++20 -O1 -g -fPIC -Wall -Wextra -Ireview -o "$program.new" "$source" \
        $(pkg-config --cflags --libs Qt6Core) -pthread
    mv "$program.new" "$program"
done
