#!/bin/bash
# Measures the time one daemon adds, its processor time a request and its
# memory. Usage: benchmarks/run-latency.sh [SECONDS] ["RATES"]
set -euo pipefail
cd "$(dirname "$0")/.."
export BIN="$PWD/build/bin"
source test/session-lib.sh
set -e
Seconds="${1:-10}"
Rates="${2:-200 2000 8000}"

startPlatform
startBackend b1 --slots 64 --service_ms 0
startBackend b2 --slots 64 --service_ms 0
EXTRA='slots = 64\nconnections = 2000\nmax-in-flight = 1000\n' \
  writeTree "$Work/tree.ini" b1 b2
publish "$Work/tree.ini" 0 first >/dev/null
startDaemon d1 a
eventually "daemon ready" isReady d1

memory() { awk '/VmRSS/ {print $2 " KB resident"}' "/proc/$(pidOf d1)/status"; }
say "idle: $(memory)"
for Rate in $Rates; do
  say "-- $Rate requests/s, half of them direct"
  "$BIN/canvaswick-load" --proxy "$(callersOf d1)" --direct "$(addressOf b1)" \
    --targets "GET /read/1" --rate "$Rate" --seconds "$Seconds" --threads 48 \
    --daemon_pid "$(pidOf d1)" || true
  say "$(memory)"
done

say "-- 1,000 idle kept connections"
Host="$(callersOf d1)"
Fds=()
for _ in $(seq 1000); do
  exec {Fd}<>"/dev/tcp/${Host%:*}/${Host#*:}"
  Fds+=("$Fd")
done
sleep 1
say "with them: $(memory)"
say "still served: $(request d1 GET /read/1)"
for Fd in "${Fds[@]}"; do exec {Fd}>&-; done

say "-- 1 GB through the daemon to a slow caller"
curl -s --limit-rate 200M -o /dev/null -w 'status %{http_code} bytes %{size_download}\n' \
  "http://$Host/read/1?bytes=1000000000"
say "after it: $(memory)"
