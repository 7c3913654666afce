#!/usr/bin/env bash
# Builds the programs that the scripts in review/6 to review/10 start, into build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
parts=()
jobs=()
for source in review/harness-2/*.cpp; do
    part="build-review-2/$(basename "$source" .cpp).o"
    g++ -std=c++20 -O1 -Wall -Wextra -I. -c "$source" -o "$part" &
    jobs+=($!)
    parts+=("$part")
done
for job in "${jobs[@]}"; do
    wait "$job"
done
for source in review/{6,7,8,9,10}/Case.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -I. "$source" "${parts[@]}" -pthread -o "build-review-2/case-$(basename "$(dirname "$source")")"
done
