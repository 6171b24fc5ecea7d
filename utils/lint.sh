#!/bin/bash
# Checks format and style of every source file. Needs build/ for the linter.
set -uo pipefail
cd "$(dirname "$0")/.."
Sources="$(git ls-files -co --exclude-standard '*.h' '*.cpp')"
echo "$Sources" | xargs clang-format-14 --dry-run -Werror || exit 1
git ls-files -co --exclude-standard '*.cpp' |
  xargs -P "$(nproc)" -n 2 clang-tidy-14 -p build --quiet \
    --extra-arg=-Wno-unknown-warning-option 2>/dev/null
Status=$?
[ "$Status" -eq 0 ] && echo "lint: clean"
exit "$Status"
