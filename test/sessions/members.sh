# Daemons find each other; frozen, killed and one-way-cut ones are handled.
source "$(dirname "$0")/../session-lib.sh"

startPlatform
startBackend b1
writeTree "$Work/tree.ini" b1
say "publish: $(publish "$Work/tree.ini" 0 first)"
startDaemon d1 a
startDaemon d2 a "$(controlOf d1)"

say "-- by the platform's list alone"
setVms "[{\"name\":\"e1\",\"address\":\"$(controlOf d1)\",\"tag\":\"canvaswick\",\"state\":\"live\"}]"
startDaemon d3 b
for Daemon in d1 d2 d3; do
  eventually "$Daemon knows three members" hasMetric "$Daemon" members 3
done

say "-- a frozen daemon is dropped and comes back by itself"
kill -STOP "$(pidOf d2)"
eventually "d1 knows two members" hasMetric d1 members 2
eventually "d3 knows two members" hasMetric d3 members 2
kill -CONT "$(pidOf d2)"
for Daemon in d1 d2 d3; do
  eventually "$Daemon knows three members" hasMetric "$Daemon" members 3
done

say "-- a killed daemon is dropped"
kill -KILL "$(pidOf d2)"
eventually "d1 knows two members" hasMetric d1 members 2
eventually "d3 knows two members" hasMetric d3 members 2

say "-- a planned stop is told, not found out"
kill -TERM "$(pidOf d3)"
wait "$(pidOf d3)"
say "exit code $?"
eventually "d1 is alone" hasMetric d1 members 1

say "-- calls without the key are refused and counted"
Before="$(metricOf d1 calls_refused)"
curl -s -o /dev/null -w 'status %{http_code}\n' -X POST \
  -d '{"jsonrpc":"2.0","id":1,"method":"operator.status","params":{}}' \
  "http://$(controlOf d1)/rpc"
say "counted: $(($(metricOf d1 calls_refused) - Before))"
say "control on the callers' address: $(request d1 GET /metrics)"
