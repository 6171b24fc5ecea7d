#!/bin/bash
# Starts a small fleet on loopback and measures, without load: how soon all know
# each other, how soon a change is in force everywhere, control bytes and
# processor time a daemon, and calls on the platform.
# Usage: benchmarks/run-fleet.sh [DAEMONS [QUIET SECONDS]]
set -euo pipefail
cd "$(dirname "$0")/.."
export BIN="$PWD/build/bin"
source test/session-lib.sh
set -e
Daemons="${1:-40}"
Quiet="${2:-20}"

startPlatform
startBackend b1
startBackend b2
writeTree "$Work/one.ini" b1
writeTree "$Work/two.ini" b1 b2
publish "$Work/one.ini" 0 first >/dev/null
startDaemon d1 a "" "workers = 4"
Seed="$(controlOf d1)"
for I in $(seq 2 "$Daemons"); do
  startDaemon "d$I" "h$((I % 3))" "$Seed" "workers = 4"
done

# Prints how many daemons have a metric at a value.
countAt() { # METRIC VALUE
  local I Count=0
  for I in $(seq "$Daemons"); do
    hasMetric "d$I" "$1" "$2" && Count=$((Count + 1))
  done
  echo "$Count"
}
allAt() { [ "$(countAt "$1" "$2")" = "$Daemons" ]; }
sumOf() { # METRIC
  local I Sum=0
  for I in $(seq "$Daemons"); do
    Sum=$((Sum + $(metricOf "d$I" "$1")))
  done
  echo "$Sum"
}
millis() { date +%s%3N; }
cpuOf() { awk '{print $14 + $15}' "/proc/$(pidOf "$1")/stat"; }
platformCalls() {
  curl -s -X POST "http://127.0.0.1:$PlatformPort/control/counts" |
    tr -d '\t\n "' | sed 's/.*reads:\([0-9]*\).*watches:\([0-9]*\).*writes:\([0-9]*\).*/reads \1 watches \2 writes \3/'
}

Began="$(millis)"
eventually "all $Daemons know each other" allAt members "$Daemons"
say "after $(($(millis) - Began)) ms"

Before="$(sumOf control_bytes_sent) $(sumOf control_bytes_received)"
Ticks="$(cpuOf d1)"
Calls="$(platformCalls)"
sleep "$Quiet"
After="$(sumOf control_bytes_sent) $(sumOf control_bytes_received)"
Spent=$(($(cpuOf d1) - Ticks))
say "platform calls before: $Calls"
say "platform calls after $Quiet s and the queries: $(platformCalls)"
read -r SentA ReceivedA <<<"$Before"
read -r SentB ReceivedB <<<"$After"
# Each call is counted by its caller only; the called side moves as much.
say "control bytes a second a daemon: $((2 * (SentB - SentA + ReceivedB - ReceivedA) / Daemons / Quiet))"
say "processor time of d1: $((Spent * 1000 / $(getconf CLK_TCK) / Quiet)) ms a second"
say "resident memory of d1: $(awk '/VmRSS/ {print $2}' "/proc/$(pidOf d1)/status") KB"

for Round in 1 2 3; do
  Base="$(metricOf d1 config_version)"
  File="$Work/one.ini"
  [ $((Round % 2)) = 1 ] && File="$Work/two.ini"
  Began="$(millis)"
  publish "$File" "$Base" "round $Round" >/dev/null
  eventually "change $Round in force on all" allAt config_version "$((Base + 1))"
  say "after at most $(($(millis) - Began)) ms, looking included"
done
