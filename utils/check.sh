#!/bin/bash
# Installs, builds and runs every test. Ends with "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
utils/install-packages.sh || exit 1
utils/build.sh build || exit 1
# RapidCheck draws the same cases every time; see CONTRIBUTING.md for long runs.
export RC_PARAMS="${RC_PARAMS:-seed=20261202}"
Log="$(mktemp)"

# Real faults that are known and not mended yet, a line each: the test as ctest
# names it, a colon, cause and issue. Three at most; only these are passed over.
KnownRed=""
if [ -f KNOWN-RED.txt ]; then
  [ "$(wc -l <KNOWN-RED.txt)" -le 3 ] || { echo "too many known red"; exit 1; }
  KnownRed="$(cut -d: -f1 KNOWN-RED.txt | paste -sd'|')"
fi
(cd build && ctest --output-on-failure -j 4 ${KnownRed:+-E "^($KnownRed)\$"}) |
  tee "$Log"
Status="${PIPESTATUS[0]}"
Passed="$(grep -c ' Passed ' "$Log")"
Failed="$(grep -cE '\*\*\*(Failed|Timeout|Exception|Not Run)' "$Log")"
rm -f "$Log"

if [ -f KNOWN-RED.txt ]; then
  echo "known red:"
  cat KNOWN-RED.txt
fi
echo "$Passed passed, $Failed failed"
[ "$Passed" -gt 0 ] && [ "$Status" -eq 0 ]
