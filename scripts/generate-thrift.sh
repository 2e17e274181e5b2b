#!/usr/bin/env bash
# Regenerates gen/*.cpp and gen/*.h from gen/*.thrift. Needs thrift-compiler 0.17; the build does not.
set -euo pipefail
cd "$(dirname "$0")/../gen"
for file in *.thrift; do
    thrift --gen cpp:no_skeleton,moveable_types -out . "$file"
done
