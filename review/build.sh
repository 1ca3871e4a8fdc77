#!/bin/sh
# Builds the stand-ins of all cases into build-review. After the build of the deploy file; needs nothing but what
# that needs.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/build-review"
for source in "$root"/review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -o "$root/build-review/case$number" "$source"
done
