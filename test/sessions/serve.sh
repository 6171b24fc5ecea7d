# Every kind of route, refusals, and a planned stop that cuts nothing.
source "$(dirname "$0")/../session-lib.sh"

startPlatform
startBackend b1
startBackend b2
writeTree "$Work/tree.ini" b1 b2
say "publish: $(publish "$Work/tree.ini" 0 first)"
startDaemon d1 a
eventually "d1 is ready" isReady d1
say "read: $(request d1 GET /read/1)"
say "pay without a key: $(request d1 POST /pay/1 -d order)"
say "pay with a key: $(request d1 POST /pay/1 -d order -H 'Idempotency-Key: k1')"
say "unknown route: $(request d1 GET /else)"
say "ambiguous path: $(request d1 GET '/read/%2e%2e/pay' --path-as-is)"
say "too short a deadline: $(request d1 GET /read/1 -H 'X-Deadline-Ms: 0')"
say "large answer: $(request d1 GET '/read/1?bytes=5000000') $(stat -c %s "$Work/body") bytes"
head -c 3000000 /dev/zero >"$Work/upload"
say "large body: $(request d1 POST /pay/2 --data-binary @"$Work/upload")"

# A planned stop: a request in flight is answered, then the exit code is 0.
setBackend b1 '{"slow-ms":1500}'
setBackend b2 '{"slow-ms":1500}'
(request d1 GET /read/slow >"$Work/slow") &
Slow=$!
eventually "the slow request is in flight" \
  bash -c "[ \$(curl -s -X POST http://$(addressOf b1)/control/state | tr -d '\t\n ' | sed 's/.*\"runs\":\([0-9]*\).*/\1/') -gt 0 ] || true; curl -s http://$(controlOf d1)/metrics | grep -q 'canvaswick_requests 9'"
kill -TERM "$(pidOf d1)"
eventually "readiness turns red" bash -c \
  "[ \"\$(curl -s -m 1 -o /dev/null -w '%{http_code}' http://$(controlOf d1)/ready)\" != 200 ]"
wait "$Slow"
say "the slow request: $(cat "$Work/slow")"
wait "$(pidOf d1)"
say "exit code $?"
