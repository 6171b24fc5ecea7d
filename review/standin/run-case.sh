#!/bin/bash
# Runs a script of the review. Usage: run-case.sh FOLDER PROGRAM
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 runs it without the disruption; KEEP_LOGS=FOLDER keeps the daemons'
# logs there.
set -uo pipefail
Root="$(cd "$(dirname "$0")/../.." && pwd)"
Program="$Root/target/review/$2"
if [ ! -x "$Program" ] || [ ! -x "$Root/target/bin/canvaswickd" ]; then
  echo "$2: not built" >&2
  exit 2
fi
Work="$(mktemp -d)"
timeout -k 2 115 "$Program" "$Root" "$1" "$Work"
Status=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$Work"/*.log "$KEEP_LOGS"/
rm -rf "$Work"
[ "$Status" -le 1 ] || Status=2
exit "$Status"
