#!/bin/bash
# Installs, builds and runs every test. Ends with "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
utils/install-packages.sh || exit 1
utils/build.sh build || exit 1
# RapidCheck draws the same cases every time; see CONTRIBUTING.md for long runs.
export RC_PARAMS="${RC_PARAMS:-seed=20261202}"
Log="$(mktemp)"
(cd build && ctest --output-on-failure -j 4) | tee "$Log"
Status="${PIPESTATUS[0]}"
Passed="$(grep -c ' Passed ' "$Log")"
Failed="$(grep -cE '\*\*\*(Failed|Timeout|Exception|Not Run)' "$Log")"
rm -f "$Log"

# Real faults that are known and not mended yet; three at most.
if [ -f KNOWN-RED.txt ]; then
  echo "known red:"
  cat KNOWN-RED.txt
fi
echo "$Passed passed, $Failed failed"
[ "$Passed" -gt 0 ] && [ "$Status" -eq 0 ]
