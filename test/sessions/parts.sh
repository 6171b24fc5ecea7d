# Two parts of a fleet that do not know each other find each other again.
source "$(dirname "$0")/../session-lib.sh"

startPlatform
startBackend b1
writeTree "$Work/tree.ini" b1
say "publish: $(publish "$Work/tree.ini" 0 first)"
startDaemon d1 a
startDaemon d2 a "$(controlOf d1)"
startDaemon d3 b
startDaemon d4 b "$(controlOf d3)"
for Daemon in d1 d2 d3 d4; do
  eventually "$Daemon knows two members" hasMetric "$Daemon" members 2
done
vm() { echo "{\"name\":\"$1\",\"address\":\"$(controlOf "$1")\",\"tag\":\"canvaswick\",\"state\":\"live\"}"; }
setVms "[$(vm d1),$(vm d3)]"
for Daemon in d1 d2 d3 d4; do
  eventually "$Daemon knows four members" hasMetric "$Daemon" members 4
done
