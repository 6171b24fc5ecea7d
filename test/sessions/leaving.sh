# A leaving backend server gets no new work, whichever sign comes first.
source "$(dirname "$0")/../session-lib.sh"

startTwoDaemons b1 b2
# Sends requests through both daemons and says how many b1 ran.
countNewWork() {
  local Before After
  Before="$(runsOf b1)"
  for I in $(seq 20); do
    request d1 GET /read/1 >/dev/null
    request d2 GET /read/1 >/dev/null
  done
  After="$(runsOf b1)"
  say "new work at b1: $((After - Before))"
}

say "-- by the platform's list, which lags"
setPlatform '{"vm-lag-ms":500}'
setVms "[{\"name\":\"vm1\",\"address\":\"$(addressOf b1)\",\"state\":\"leaving\"}]"
for Daemon in d1 d2; do
  eventually "b1 is leaving at $Daemon" shareIs "$Daemon" b1 0.00
done
countNewWork
setVms "[{\"name\":\"vm1\",\"address\":\"$(addressOf b1)\",\"state\":\"live\"}]"
for Daemon in d1 d2; do
  eventually "b1 is back at $Daemon" shareIs "$Daemon" b1 1.00
done

say "-- by the settings"
ctl drain s/b1 --platform "127.0.0.1:$PlatformPort"
for Daemon in d1 d2; do
  eventually "b1 is leaving at $Daemon" shareIs "$Daemon" b1 0.00
done
countNewWork
ctl undrain s/b1 --platform "127.0.0.1:$PlatformPort"
for Daemon in d1 d2; do
  eventually "b1 is back at $Daemon" shareIs "$Daemon" b1 1.00
done

say "-- by its own word, while the platform is away"
setPlatform '{"down":true}'
setBackend b1 '{"drain":true}'
for Daemon in d1 d2; do
  eventually "b1 is leaving at $Daemon" shareIs "$Daemon" b1 0.00
done
countNewWork
say "requests are served: $(request d1 POST /pay/1 -d order)"
