# A request ends every server that runs it; it is held back by all daemons after
# its third end, and everything else is served.
source "$(dirname "$0")/../session-lib.sh"

startPlatform
Names="b1 b2 b3 b4 b5 b6"
for Name in $Names; do startBackend "$Name" --ends_under /pay/fatal; done
writeTree "$Work/tree.ini" $Names
startThreeDaemons

# Starts servers again that have ended, and counts their ends.
Ends=0
restartEnded() {
  for Name in $Names; do
    kill -0 "$(pidOf "$Name")" 2>/dev/null && continue
    Ends=$((Ends + 1))
    startProgram "$Name" standin-backend --name "$Name" \
      --address "$(addressOf "$Name")" --service_ms 2 --queue 32 \
      --ends_under /pay/fatal
  done
}
# Each time from another address: callers are many machines, or sit behind many.
Asked=0
askFatal() { # DAEMON
  request "$1" POST /pay/fatal -d order --interface "127.0.0.$((2 + Asked % 90))"
}

say "-- it comes again at any daemon"
for _ in $(seq 12); do
  for Daemon in d1 d2 d3; do
    Last="$(askFatal "$Daemon")"
    Asked=$((Asked + 1))
    sleep 0.1
    restartEnded
  done
done
# The last one may have been a try that was due; the one after it is not.
if [ "$Last" != "503 not-run held-back" ]; then
  Last="$(askFatal d1)"
  restartEnded
fi
say "its last answer: $Last"
say "it is told when to come back: $(grep -ci '^retry-after' "$Work/head")"
# Three, and one more for each try that was due meanwhile. Who tried knows first.
Tries="$(for Daemon in d1 d2 d3; do
  curl -s -m 2 "http://$(controlOf "$Daemon")/metrics" |
    sed -n 's/^canvaswick_held_request_ends.*tries="\([0-9]*\)".*/\1/p'
done | sort -n | tail -1)"
if [ "$Ends" -ge 3 ] && [ "$Ends" -le $((3 + ${Tries:-0})) ]; then
  say "servers that ended: three, and one a try"
else
  say "servers that ended: $Ends, tries: $Tries"
fi

say "-- all else is served"
serves() { # DAEMON
  answers "200 - -" "$1" POST /pay/other -d order
}
for Daemon in d1 d2 d3; do
  eventually "$Daemon serves another request" serves "$Daemon"
done

say "-- a daemon that starts now knows it"
startDaemon d4 a "$(controlOf d2)"
eventually "d4 is ready" isReady d4
eventually "d4 knows what is held back" hasMetric d4 held_requests 1
say "at d4: $(askFatal d4)"
eventually "d1 knows four members" hasMetric d1 members 4
ctl held --daemon "$(controlOf d1)" --key_file "$Work/calls.key" |
  sed -E "s/asks [0-9a-f]+/asks DIGEST/; s/ends [0-9]+/ends N/; s/last [0-9]+/last N/; s/tries [0-9]+/tries N/; s/try in [0-9]+/try in N/"
