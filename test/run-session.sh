#!/bin/bash
# Runs one session and compares its transcript with the golden file.
# Usage: test/run-session.sh NAME BIN_DIRECTORY [--update]
set -uo pipefail
Here="$(cd "$(dirname "$0")" && pwd)"
export BIN="$2"
Transcript="$(mktemp)"
bash "$Here/sessions/$1.sh" >"$Transcript"
Golden="$Here/sessions/$1.golden"
if [ "${3:-}" = --update ]; then
  cp "$Transcript" "$Golden"
fi
diff -u "$Golden" "$Transcript"
Status=$?
rm -f "$Transcript"
exit "$Status"
