#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
objects=()
for source in standins/*.cpp; do
  object=build/$(basename "$source" .cpp).o
  if [ ! -e "$object" ] || [ -n "$(find standins -newer "$object" -print -quit)" ]; then
    g++ "${flags[@]}" -c "$source" -o "$object" &
  fi
  objects+=("$object")
done
wait
for source in [1-5]/case.cpp; do
  [ -e "$source" ] || continue
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "build/case-$(dirname "$source")" &
done
wait
