#!/usr/bin/env bash
# Builds the stand-ins that the script cases of the second review start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
c++ -std=c++20 -O2 -Wall -pthread -o target/review-2/cases review/standins-2/cases.cpp
