#!/usr/bin/env bash
# Builds the programs of the cases, stand-ins included, into target/review. Needs g++ and the Boost
# headers that deploy/system.toml lists.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
compile() { g++ -std=c++20 -O1 -Wall -Wextra -pthread "$@"; }
compile -c review/standins/Json.cpp -o target/review/Json.o
for source in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    compile "$source" target/review/Json.o -o "target/review/case$number"
done
