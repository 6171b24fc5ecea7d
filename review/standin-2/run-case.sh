#!/bin/bash
# Runs one case: run-case.sh PROGRAM FOLDER. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. FOLDER/record.txt gets what was sent, answered and run.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
Program="target/review-2/$1"
if [ ! -x "$Program" ] || [ ! -x target/bin/canvaswickd ]; then
  echo "$2: build the deploy file's target and run review/build-2.sh first" >&2
  exit 2
fi
Work="$(mktemp -d)" || exit 2
trap 'rm -rf "$Work"' EXIT
# The case ends its daemons itself; they also end with it.
timeout -k 2 110 "$Program" "$2/record.txt" "$Work"
Status=$?
tail -n 1 "$2/record.txt"
[ "$Status" -le 2 ] || Status=2
exit "$Status"
