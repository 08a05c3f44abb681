#!/usr/bin/env bash
# Builds the stand-ins and drivers of cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
    program=target/review-2/$(basename "$source" .cpp)
    if [ ! -x "$program" ] || [ "$source" -nt "$program" ] ||
        [ review/standins-2/world.hpp -nt "$program" ]; then
        g++ -std=c++20 -O1 -Wall -o "$program" "$source" -pthread
    fi
done
