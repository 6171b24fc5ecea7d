# Functions for whole-program sessions. A session prints what it sees; the
# transcript must equal its golden file. Waiting is for states, never for times.
# Needs BIN (the programs) and is sourced by every session.

set -uo pipefail

Work="$(mktemp -d)"
Pids=()

# Returns whether a process is one that this session started and that has not
# been waited for. Ids are used again, also for threads of other programs.
isOwn() { # PID
  [ "$(sed -n 's/^PPid:[[:space:]]*//p' "/proc/$1/status" 2>/dev/null)" = $$ ]
}

# Ends every process the session started, frozen ones too.
endSession() {
  local Pid
  for Pid in "${Pids[@]}"; do
    isOwn "$Pid" || continue
    kill -CONT "$Pid" 2>/dev/null
    kill -KILL "$Pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$Work"
}
trap endSession EXIT

# Prints a line of the transcript.
say() { printf '%s\n' "$*"; }

# Runs a check until it succeeds or 30 s have passed; says how it went.
eventually() { # WHAT COMMAND...
  local What="$1"
  shift
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then
      say "$What: yes"
      return 0
    fi
    sleep 0.1
  done
  say "$What: no"
  grep -H ' source-\(dis\)\?believed ' "$Work"/*.log >&2
  tail -n 40 "$Work"/*.log >&2
  return 1
}

# Starts a program in the background; its log and process id carry NAME.
startProgram() { # NAME PROGRAM ARGUMENTS...
  local Name="$1"
  shift
  "$BIN/$@" >"$Work/$Name.log" 2>&1 &
  Pids+=($!)
  echo $! >"$Work/$Name.pid"
}

pidOf() { cat "$Work/$1.pid"; }

# Prints the value of a field of a program's first log line that has it.
logField() { # NAME FIELD
  for _ in $(seq 300); do
    local Value
    Value="$(sed -n "s/.* $2=\([0-9]*\).*/\1/p" "$Work/$1.log" 2>/dev/null |
      head -n 1)"
    if [ -n "$Value" ]; then
      echo "$Value"
      return 0
    fi
    sleep 0.1
  done
  echo "session: error: $1 has no $2 in its log" >&2
  cat "$Work/$1.log" >&2
  return 1
}

startPlatform() {
  startProgram platform standin-platform --address 127.0.0.1:0
  PlatformPort="$(logField platform port)"
}

startBackend() { # NAME [ARGUMENTS...]
  local Name="$1"
  shift
  startProgram "$Name" standin-backend --name "$Name" --address 127.0.0.1:0 \
    --service_ms 2 --queue 32 "$@"
  echo "127.0.0.1:$(logField "$Name" port)" >"$Work/$Name.address"
}

addressOf() { cat "$Work/$1.address"; }

makeKey() {
  (umask 077 && echo "session = a-key-for-this-session-only" >"$Work/calls.key")
}

startDaemon() { # NAME HALL [SEEDS] [EXTRA INI LINES]
  [ -f "$Work/calls.key" ] || makeKey
  cat >"$Work/$1.ini" <<INI
[daemon]
name = $1
region = r
hall = $2
caller-address = 127.0.0.1:0
control-address = 127.0.0.1:0
platform-address = 127.0.0.1:$PlatformPort
key-file = $Work/calls.key
expected-daemons = 2
seeds = ${3:-}
${4:-}
INI
  startProgram "$1" canvaswickd --settings "$Work/$1.ini" --grace_ms 300
  echo "127.0.0.1:$(logField "$1" callers)" >"$Work/$1.callers"
  echo "127.0.0.1:$(logField "$1" control)" >"$Work/$1.control"
}

callersOf() { cat "$Work/$1.callers"; }
controlOf() { cat "$Work/$1.control"; }

isReady() { # DAEMON
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' \
    "http://$(controlOf "$1")/ready")" = 200 ]
}

# Prints the value of a daemon's metric.
metricOf() { # DAEMON NAME
  curl -s -m 2 "http://$(controlOf "$1")/metrics" |
    sed -n "s/^canvaswick_$2 \(.*\)/\1/p"
}

hasMetric() { # DAEMON NAME VALUE
  [ "$(metricOf "$1" "$2")" = "$3" ]
}

# Sends a request and prints "status outcome reason", and the body if asked to.
request() { # DAEMON METHOD TARGET [CURL ARGUMENTS...]
  local Daemon="$1" Method="$2" Target="$3"
  shift 3
  local Answer
  Answer="$(curl -s -m 20 -X "$Method" -D "$Work/head" -o "$Work/body" \
    -w '%{http_code}' "$@" "http://$(callersOf "$Daemon")$Target")"
  local Outcome Reason
  Outcome="$(sed -n 's/^Canvaswick-Outcome: \([a-z-]*\).*/\1/p' "$Work/head")"
  Reason="$(sed -n 's/^Canvaswick-Reason: \([a-z-]*\).*/\1/p' "$Work/head")"
  echo "$Answer ${Outcome:--} ${Reason:--}"
}

answers() { # EXPECTED DAEMON METHOD TARGET [CURL ARGUMENTS...]
  local Expected="$1"
  shift
  [ "$(request "$@")" = "$Expected" ]
}

setPlatform() { # JSON
  curl -s -m 5 -X POST -d "$1" \
    "http://127.0.0.1:$PlatformPort/control/faults" >/dev/null
}

setVms() { # JSON
  curl -s -m 5 -X POST -d "$1" \
    "http://127.0.0.1:$PlatformPort/control/vms" >/dev/null
}

setBackend() { # NAME JSON
  curl -s -m 5 -X POST -d "$2" \
    "http://$(addressOf "$1")/control/faults" >/dev/null
}

# Prints how often a backend server ran any request, or those of one key.
runsOf() { # NAME [KEY]
  local State
  State="$(curl -s -m 5 -X POST "http://$(addressOf "$1")/control/state" |
    tr -d '\t\n ')"
  if [ $# -eq 1 ]; then
    sed 's/.*"runs":\([0-9]*\).*/\1/' <<<"$State"
  else
    grep -o "\"$2\":[0-9]*" <<<"$State" | cut -d: -f2 | grep . || echo 0
  fi
}

ctl() { "$BIN/canvaswickctl" "$@" 2>&1; }

publish() { # FILE BASE NOTE
  ctl put --platform "127.0.0.1:$PlatformPort" --file "$1" --base "$2" \
    --note "$3" --author "${4:-anna}" | sed 's/change [0-9a-f]*/change ID/'
}

# Writes a tree with one service of the started backends: all of NAMES.
writeTree() { # FILE NAMES... ; EXTRA holds more lines for the service
  local File="$1"
  shift
  {
    echo "[region r]"
    echo "[service s]"
    echo "region = r"
    echo "floor-percent = ${FLOOR:-0}"
    echo "weighing = detection"
    echo "cold-start-ms = 0"
    printf '%b' "${EXTRA:-}"
    local Name
    for Name in "$@"; do
      echo "[server s/$Name]"
      echo "address = $(addressOf "$Name")"
      echo "hall = a"
    done
    echo "[route read]"
    echo "prefix = /read"
    echo "service = s"
    echo "[route pay]"
    echo "prefix = /pay"
    echo "service = s"
    echo "class = once"
    echo "[organisation default]"
    echo "requests-per-second = 100000"
    echo "burst = 100000"
  } >"$File"
}

# Starts the platform, the named backend servers behind one service, and two daemons
# of one hall that know each other.
startTwoDaemons() { # NAMES...
  local Name Daemon
  startPlatform
  for Name in "$@"; do startBackend "$Name"; done
  writeTree "$Work/tree.ini" "$@"
  say "publish: $(publish "$Work/tree.ini" 0 first)"
  startDaemon d1 a
  startDaemon d2 a "$(controlOf d1)"
  for Daemon in d1 d2; do
    eventually "$Daemon is ready" isReady "$Daemon"
    eventually "$Daemon knows two members" hasMetric "$Daemon" members 2
  done
}

# Publishes the tree and starts two daemons of one hall and one of another.
startThreeDaemons() {
  local Daemon
  say "publish: $(publish "$Work/tree.ini" 0 first)"
  startDaemon d1 a
  startDaemon d2 a "$(controlOf d1)"
  startDaemon d3 b "$(controlOf d1)"
  for Daemon in d1 d2 d3; do
    eventually "$Daemon is ready" isReady "$Daemon"
    eventually "$Daemon knows three members" hasMetric "$Daemon" members 3
  done
}

shareIs() { # DAEMON SERVER SHARE
  curl -s "http://$(controlOf "$1")/metrics" |
    grep -q "canvaswick_share{service=\"s\",server=\"$2\"} $3"
}
