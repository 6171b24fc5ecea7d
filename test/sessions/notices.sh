# What a backend server says of itself is kept to by all daemons.
source "$(dirname "$0")/../session-lib.sh"

startPlatform
for Name in b1 b2 b3 b4; do startBackend "$Name"; done
writeTree "$Work/tree.ini" b1 b2 b3 b4
startThreeDaemons

# Sends thirty requests through each daemon. Says how many were not served and
# whether a server ran no more than so many.
sendAll() { # SERVER MOST
  local Before Failed=0 Ran
  Before="$(runsOf "$1")"
  for _ in $(seq 30); do
    for Daemon in d1 d2 d3; do
      [ "$(request "$Daemon" GET /read/1)" = "200 - -" ] || Failed=$((Failed + 1))
    done
  done
  Ran="$(($(runsOf "$1") - Before))"
  say "not served: $Failed, $1 ran $2 at most: $([ "$Ran" -le "$2" ] && echo yes)"
}

# Sends a request and says whether a daemon has heard a word.
hears() { # DAEMON METRIC VALUE
  request "$1" GET /read/1 >/dev/null
  hasMetric "$1" "$2" "$3"
}

allHear() { # METRIC VALUE
  for Daemon in d1 d2 d3; do
    eventually "$Daemon has heard it" hears "$Daemon" "$1" "$2"
  done
}

say "-- b1 takes one request in ten seconds from all of them"
setBackend b1 '{"limit":"0.1"}'
allHear 'server_notices{kind="limit"}' 1
sendAll b1 3

say "-- b2 wants rest"
setBackend b2 '{"shed":true,"rest":"60"}'
allHear 'server_notices{kind="rest"}' 1
Sheds="$(metricOf d1 upstream_sheds)"
sendAll b2 0
say "refusals at d1 meanwhile: $(($(metricOf d1 upstream_sheds) - Sheds))"
say "why: $(ctl explain s/b2 --daemon "$(controlOf d1)" --key-file "$Work/calls.key" |
  grep -o 'reason [a-z-]*' | sort -u)"

say "-- b3 says that it leaves"
setBackend b3 '{"says-leaving":true}'
allHear 'server_notices{kind="leaving"}' 1
sendAll b3 0
