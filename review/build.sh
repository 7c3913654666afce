#!/usr/bin/env bash
# Builds the stand-ins that the scripts in this folder start, into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o build-review/review_standins review/standins/main.cpp
