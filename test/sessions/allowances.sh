# An allowance holds for all daemons together, in the same hall and in others.
source "$(dirname "$0")/../session-lib.sh"

startPlatform
startBackend b1
writeTree "$Work/tree.ini" b1
{
  echo "[organisation acme]"
  echo "requests-per-second = 1"
  echo "burst = 20"
  echo "key-digests = $(echo acme-key | ctl digest-key)"
} >>"$Work/tree.ini"
startThreeDaemons

asAcme() { # DAEMON
  request "$1" GET /read/1 -H 'Authorization: Bearer acme-key'
}

# Prints how many of so many requests of the organisation a daemon serves, ten
# a second: what comes faster than that is taken for a rise, of which a part is
# refused at once.
servedOf() { # DAEMON REQUESTS
  local Served=0
  for _ in $(seq "$2"); do
    [ "$(asAcme "$1")" = "200 - -" ] && Served=$((Served + 1))
    sleep 0.1
  done
  echo "$Served"
}

isAnswered() { # EXPECTED DAEMON
  [ "$(asAcme "$2")" = "$1" ]
}

# Whether little is left in the bucket as a daemon sees it.
hasHeard() { # DAEMON
  local Tokens
  Tokens="$(metricOf "$1" 'organisation_tokens{organisation="acme"}')"
  [ "${Tokens%%.*}" -le 12 ]
}

say "-- d1 is asked for most of the burst, the others hear of it"
say "d1 serves 16 of 18 at least: $([ "$(servedOf d1 18)" -ge 16 ] && echo yes)"
for Daemon in d2 d3; do
  eventually "$Daemon has heard of it" hasHeard "$Daemon"
done

say "-- what is left is little, wherever it is asked for"
Served="$(($(servedOf d2 15) + $(servedOf d3 15)))"
say "d2 and d3 serve fewer than 20 of 30: $([ "$Served" -lt 20 ] && echo yes)"
eventually "d3 refuses" isAnswered "429 not-run organisation-rate" d3

say "-- a daemon that is gone holds nothing back"
kill -KILL "$(pidOf d2)"
eventually "d1 serves again" isAnswered "200 - -" d1
