#!/bin/bash
# Installs, builds, starts stand-ins and two daemons on loopback, sends requests
# for every kind of route, prints "served N of N" and stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."
utils/install-packages.sh
utils/build.sh build
Bin="$PWD/build/bin"
Work="$(mktemp -d)"
Pids=()
stopAll() {
  for Pid in "${Pids[@]}"; do kill -TERM "$Pid" 2>/dev/null || true; done
  for Pid in "${Pids[@]}"; do wait "$Pid" 2>/dev/null || true; done
  rm -rf "$Work"
}
trap stopAll EXIT

startProgram() { # NAME PROGRAM ARGUMENTS...
  local Name="$1"
  shift
  "$@" >"$Work/$Name.log" 2>&1 &
  Pids+=($!)
}

waitFor() { # ADDRESS PATH
  for _ in $(seq 100); do
    if "$Bin/canvaswick-load" --proxy "$1" --targets "GET $2" --rate 100 \
      --seconds 0.02 >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.1
  done
  echo "quickstart: error: $1$2 does not answer; logs:" >&2
  cat "$Work"/*.log >&2
  return 1
}

(umask 077 && echo "quickstart = $(head -c 24 /dev/urandom | base64)" \
  >"$Work/calls.key")
startProgram platform "$Bin/standin-platform" --address 127.0.0.1:17000
Port=19101
for Name in catalogue-01 catalogue-02 commissions-01 commissions-02 \
  art-packs-01 art-packs-02; do
  startProgram "$Name" "$Bin/standin-backend" --name "$Name" \
    --address "127.0.0.1:$Port" --service_ms 2 --queue 32
  Port=$((Port + 1))
done
for Number in 1 2; do
  cat >"$Work/daemon-$Number.ini" <<INI
[daemon]
name = entry-0$Number
region = bc
hall = kitsilano
caller-address = 127.0.0.1:1808$Number
control-address = 127.0.0.1:1740$Number
platform-address = 127.0.0.1:17000
key-file = $Work/calls.key
settings-file = examples/quickstart/settings.ini
expected-daemons = 2
seeds = 127.0.0.1:17401 127.0.0.1:17402
INI
  startProgram "daemon-$Number" "$Bin/canvaswickd" \
    --settings "$Work/daemon-$Number.ini" --grace_ms 200
done
waitFor 127.0.0.1:18081 /frames/1
waitFor 127.0.0.1:18082 /frames/1
waitFor 127.0.0.1:18082 "/packs/1?bytes=100"

Targets="GET /frames/1;GET /packs/9?bytes=100000;POST /commissions/new keyed"
Targets="$Targets;POST /licences/buy keyed;POST /commissions/new"
Status=0
# An organisation within its allowance is served, one beyond it is told when to
# come back, and without a key nobody is served but on public routes.
echo quickstart-guild-key >"$Work/caller.key"
askAs() { # ORGANISATION KEY
  local Answer
  Answer="$(curl -s -m 5 -o /dev/null -H "Authorization: Bearer $2" \
    -w '%{http_code}, Retry-After: %header{retry-after}' \
    http://127.0.0.1:18081/commissions/1)"
  echo "$1: $Answer"
}
askAs "guild, within its allowance" quickstart-guild-key
askAs "trial, first request" quickstart-trial-key
askAs "trial, beyond one a second" quickstart-trial-key
askAs "an unknown key" someone-elses-key
for Number in 1 2; do
  "$Bin/canvaswick-load" --proxy "127.0.0.1:1808$Number" \
    --caller_key_file "$Work/caller.key" --targets "$Targets" --rate 100 --seconds 3 --seed "$Number" || Status=1
done
if [ "$Status" -ne 0 ]; then
  cat "$Work"/*.log >&2
fi
exit "$Status"
