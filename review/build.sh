#!/usr/bin/env bash
# Builds the programs of the cases into review/out; needs only the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
for source in */case.cpp; do
    name=$(dirname "$source")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I standin "$source" -o "out/case-$name"
done
