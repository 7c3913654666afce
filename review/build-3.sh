#!/usr/bin/env bash
# Builds the programs of the scripted cases 11 to 15 into target/review-3/. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/*.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -pthread -o "target/review-3/case-$number" "$source"
done
