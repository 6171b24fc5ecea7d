# Settings: in force everywhere, races, lost answers, outages, never back.
source "$(dirname "$0")/../session-lib.sh"

startPlatform
startBackend b1
startBackend b2
writeTree "$Work/one.ini" b1
writeTree "$Work/two.ini" b1 b2
Platform="127.0.0.1:$PlatformPort"
startDaemon d1 a
startDaemon d2 a "$(controlOf d1)"
isReady d1 && say "ready without settings" || say "not ready without settings"
say "publish: $(publish "$Work/one.ini" 0 first)"
eventually "version 1 in force on d1" hasMetric d1 config_version 1
eventually "version 1 in force on d2" hasMetric d2 config_version 1
say "read: $(request d2 GET /read/1)"

say "-- two operators at once"
say "anna: $(publish "$Work/two.ini" 1 'second server' anna)"
say "bo: $(publish "$Work/one.ini" 1 'other change' bo)"
eventually "version 2 in force on d1" hasMetric d1 config_version 2
eventually "version 2 in force on d2" hasMetric d2 config_version 2

say "-- the answer is lost after the write took effect"
Lost() { ctl put --platform "$Platform" --file "$Work/one.ini" --base 2 \
  --note lost --change "$1"; }
# The parts are there already; the manifest's answer is the one lost.
setPlatform '{"lose-answers":2}'
say "put: $(Lost change-a)"
say "landed: $(ctl landed --platform "$Platform" --change change-a)"
say "again: $(Lost change-a)"
say "never sent: $(ctl landed --platform "$Platform" --change change-b)"

say "-- a bad tree is not accepted"
sed 's/region = r/region = nowhere/' "$Work/one.ini" >"$Work/bad.ini"
publish "$Work/bad.ini" 3 bad | sed "s|$Work|WORK|"
eventually "version 3 stays in force on d2" hasMetric d2 config_version 3

say "-- the platform is away"
setPlatform '{"down":true}'
say "read: $(request d1 GET /read/1)"
say "put: $(publish "$Work/two.ini" 3 away | sed "s/$Platform/PLATFORM/")"
startDaemon d3 b "$(controlOf d1)"
eventually "a new daemon is ready from its peers" isReady d3
eventually "it holds version 3" hasMetric d3 config_version 3
say "read through it: $(request d3 GET /read/1)"

say "-- a frozen daemon comes back and catches up"
setPlatform '{}'
kill -STOP "$(pidOf d2)"
say "publish: $(publish "$Work/two.ini" 3 again)"
eventually "version 4 in force on d1" hasMetric d1 config_version 4
eventually "version 4 in force on d3" hasMetric d3 config_version 4
kill -CONT "$(pidOf d2)"
eventually "version 4 in force on d2" hasMetric d2 config_version 4

say "-- history and diff"
ctl history --platform "$Platform" | sed 's/change [0-9a-f]\{16\}/change ID/; s/at [0-9]*/at TIME/'
ctl diff --platform "$Platform" --from 1 --to 2 | sed 's/127.0.0.1:[0-9]*/ADDRESS/'
