# Half of the daemons are cut off from the platform, wholly and then one way.
source "$(dirname "$0")/../session-lib.sh"

startPlatform
startBackend b1
startBackend b2
writeTree "$Work/one.ini" b1
writeTree "$Work/two.ini" b1 b2
say "publish: $(publish "$Work/one.ini" 0 first)"
startProgram relay standin-relay --target "127.0.0.1:$PlatformPort"
RelayControl="127.0.0.1:$(logField relay control)"
RealPort="$PlatformPort"
startDaemon d1 a
startDaemon d2 a "$(controlOf d1)"
PlatformPort="$(logField relay port)"
startDaemon d3 b "$(controlOf d1)"
startDaemon d4 b "$(controlOf d1)"
PlatformPort="$RealPort"
for Daemon in d1 d2 d3 d4; do
  eventually "$Daemon knows four members" hasMetric "$Daemon" members 4
  eventually "$Daemon holds version 1" hasMetric "$Daemon" config_version 1
done

say "-- nothing passes between d3, d4 and the platform"
curl -s "http://$RelayControl/cut"
say "publish: $(publish "$Work/two.ini" 1 second)"
for Daemon in d1 d2 d3 d4; do
  eventually "$Daemon holds version 2" hasMetric "$Daemon" config_version 2
done

say "-- their calls arrive, the answers do not"
curl -s "http://$RelayControl/heal"
curl -s "http://$RelayControl/cut-backward"
say "publish: $(publish "$Work/one.ini" 2 third)"
for Daemon in d1 d2 d3 d4; do
  eventually "$Daemon holds version 3" hasMetric "$Daemon" config_version 3
done

say "-- the other half alone can still have claims"
pay() { request "$1" POST /pay/1 -d order -H "Idempotency-Key: $2"; }
payIs() { [ "$(pay "$1" "$2")" = "$3" ]; }
say "through d1: $(pay d1 k1)"
say "through d3, which cannot ask the platform: $(pay d3 k1)"
say "runs of k1: $(($(runsOf b1 k1) + $(runsOf b2 k1)))"
curl -s "http://$RelayControl/heal"
eventually "when it is healed the first answer comes through d3" \
  payIs d3 k1 "200 ran first-answer"
say "runs of k1: $(($(runsOf b1 k1) + $(runsOf b2 k1)))"
