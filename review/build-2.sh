#!/bin/bash
# Builds the stand-ins of the cases of the second review, into build/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/standin-2/*.cpp; do
    name=$(basename "$source" .cpp)
    if [ "$name" != world ]; then
        g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standin-2/world.cpp "$source" \
            -o "build/review-2/$name"
    fi
done
