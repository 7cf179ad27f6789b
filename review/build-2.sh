#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
g++ -std=c++20 -O1 -pthread -c review/standins-2/Http.cpp -o "$out/Http.o" &
g++ -std=c++20 -O1 -pthread -c review/standins-2/Store.cpp -o "$out/Store.o" &
g++ -std=c++20 -O1 -pthread -c review/standins-2/Fleet.cpp -o "$out/Fleet.o" &
wait -n && wait -n && wait -n
for number in 6 7 8 9 10; do
    g++ -std=c++20 -O1 -pthread -Ireview/standins-2 "review/$number/case.cpp" \
        "$out"/{Http,Store,Fleet}.o -lboost_json -o "$out/case-$number"
done
