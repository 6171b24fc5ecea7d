#!/bin/bash
# Builds the cases of the second review and their stand-ins into
# target/review-2. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
Shared="review/standin-2/Wire.cpp review/standin-2/Platform.cpp"
for Source in review/standin-2/*.cpp; do
  case " $Shared " in *" $Source "*) continue ;; esac
  # shellcheck disable=SC2086
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread $(pkg-config --cflags jsoncpp) \
    -o "target/review-2/$(basename "$Source" .cpp)" "$Source" $Shared \
    $(pkg-config --libs jsoncpp)
done
