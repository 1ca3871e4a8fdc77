#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into build/review-2, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/*/standin-2.cpp; do
    name=$(basename "$(dirname "$source")")
    "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -Ireview/standins-2 -o "build/review-2/$name" "$source"
done
