# What may not be repeated runs at most once.
source "$(dirname "$0")/../session-lib.sh"

startPlatform
startBackend b1
writeTree "$Work/tree.ini" b1
say "publish: $(publish "$Work/tree.ini" 0 first)"
startDaemon d1 a
startDaemon d2 a "$(controlOf d1)"
eventually "d1 is ready" isReady d1
eventually "d2 is ready" isReady d2
eventually "d1 knows two members" hasMetric d1 members 2
eventually "d2 knows two members" hasMetric d2 members 2

pay() { # DAEMON KEY [BODY]
  request "$1" POST /pay/1 -d "${3:-order}" -H "Idempotency-Key: $2"
}
repeatIs() { [ "$(pay "$1" "$2")" = "$3" ]; }

say "-- a repeat through another daemon gets the first answer"
say "first: $(pay d1 k1) $(cat "$Work/body")"
eventually "repeat through d2 is the first answer" \
  repeatIs d2 k1 "200 ran first-answer"
say "repeat through d1: $(pay d1 k1) $(cat "$Work/body")"
say "another body: $(pay d2 k1 other)"
say "runs of k1: $(runsOf b1 k1)"

say "-- many at once through both daemons"
for I in $(seq 1 10); do
  for Daemon in d1 d2; do
    curl -s -m 20 -o /dev/null -X POST -d order -H 'Idempotency-Key: k2' \
      "http://$(callersOf "$Daemon")/pay/1" &
    Racers+=($!)
  done
done
wait "${Racers[@]}"
say "runs of k2: $(runsOf b1 k2)"

say "-- the answer of the backend server is lost"
setBackend b1 '{"lose-answer":true}'
say "first: $(pay d1 k3)"
eventually "repeat says not known" repeatIs d2 k3 "409 not-known outcome-not-known"
setBackend b1 '{}'
say "later repeat: $(pay d1 k3)"
say "runs of k3: $(runsOf b1 k3)"

say "-- a daemon dies between sending and recording"
setBackend b1 '{"slow-ms":4000}'
(pay d1 k4 >/dev/null) &
Sender=$!
eventually "k4 runs" bash -c "curl -s -X POST http://$(addressOf b1)/control/state | grep -q k4"
say "repeat meanwhile: $(pay d2 k4)"
kill -KILL "$(pidOf d1)"
wait "$Sender"
eventually "then it is not known" repeatIs d2 k4 "409 not-known outcome-not-known"
setBackend b1 '{}'
say "runs of k4: $(runsOf b1 k4)"

say "-- the caller leaves before the answer"
setBackend b1 '{"slow-ms":1500}'
curl -s -m 0.5 -o /dev/null -X POST -d order -H 'Idempotency-Key: k7' \
  "http://$(callersOf d2)/pay/1"
eventually "a repeat gets the first answer" repeatIs d2 k7 "200 ran first-answer"
setBackend b1 '{}'
say "runs of k7: $(runsOf b1 k7)"

say "-- the platform is away"
setPlatform '{"down":true}'
say "keyed: $(pay d2 k5)"
say "not keyed: $(request d2 POST /pay/1 -d order)"
say "read: $(request d2 GET /read/1)"
say "runs of k5: $(runsOf b1 k5)"
setPlatform '{}'
eventually "when it is back k5 runs" repeatIs d2 k5 "200 - -"
say "runs of k5: $(runsOf b1 k5)"

say "-- the platform's answer is lost after the write took effect"
setPlatform '{"lose-answers":1}'
say "keyed: $(pay d2 k6)"
say "runs of k6: $(runsOf b1 k6)"

say "-- a frozen daemon holds claims of others"
startDaemon d3 a "$(controlOf d2)"
eventually "d3 is ready" isReady d3
eventually "d2 knows d3" bash -c "[ \"\$(curl -s http://$(controlOf d2)/metrics | sed -n 's/^canvaswick_members //p')\" = 2 ]"
kill -STOP "$(pidOf d3)"
Bad=0
for I in $(seq 1 12); do
  [ "$(pay d2 "f$I")" = "200 - -" ] || Bad=$((Bad + 1))
done
say "not served while it is frozen: $Bad of 12"
kill -CONT "$(pidOf d3)"
Twice=0
for I in $(seq 1 12); do
  pay d3 "f$I" >/dev/null
  [ "$(runsOf b1 "f$I")" -gt 1 ] && Twice=$((Twice + 1))
done
say "run twice: $Twice of 12"
