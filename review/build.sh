#!/bin/bash
# Builds the stand-ins and scripts of the review into target/review. Run it
# after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for Source in review/[0-9]/*.cpp; do
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread $(pkg-config --cflags jsoncpp) \
    -o "target/review/$(basename "$Source" .cpp)" "$Source" \
    review/standin/StandIn.cpp $(pkg-config --libs jsoncpp) -lz
done
