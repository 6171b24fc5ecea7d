#!/bin/bash
# Measures which share of the quickstart's mix is served while the platform is
# away: two of five kinds of request carry a key and need a claim.
set -euo pipefail
cd "$(dirname "$0")/.."
export BIN="$PWD/build/bin"
source test/session-lib.sh
set -e
startPlatform
startBackend b1
startBackend b2
EXTRA='slots = 32\n' writeTree "$Work/tree.ini" b1 b2
publish "$Work/tree.ini" 0 first >/dev/null
startDaemon d1 a
eventually "daemon ready" isReady d1
Seed=0
Mix="GET /read/1;GET /read/9?bytes=100000;POST /pay/new keyed;POST /pay/buy keyed;POST /pay/new"
for Faults in '{}' '{"down":true}'; do
  setPlatform "$Faults"
  say "-- platform $Faults"
  "$BIN/canvaswick-load" --proxy "$(callersOf d1)" --targets "$Mix" \
    --rate 200 --seconds 10 --seed "$((Seed += 1))" || true
done
