# A server that is sick for one daemon only loses that daemon's traffic only.
source "$(dirname "$0")/../session-lib.sh"

startPlatform
for Name in b1 b2 b3 b4; do startBackend "$Name"; done
FLOOR=50 EXTRA='deadline-ms = 2000\n' writeTree "$Work/tree.ini" b1 b2 b3 b4
say "publish: $(publish "$Work/tree.ini" 0 first)"
startDaemon d1 a
startDaemon d2 a "$(controlOf d1)"
for Daemon in d1 d2; do
  eventually "$Daemon is ready" isReady "$Daemon"
  eventually "$Daemon knows two members" hasMetric "$Daemon" members 2
  startProgram "load-$Daemon" canvaswick-load --proxy "$(callersOf $Daemon)" \
    --targets "GET /read/1" --rate 60 --seconds 120 --threads 24 >/dev/null
done

setBackend b1 '{"fail":true,"only-daemon":"d1"}'
eventually "b1 has lost d1's traffic" shareIs d1 b1 0.00
shareIs d2 b1 1.00 && say "b1 keeps d2's traffic" || say "b1 lost d2's traffic"
ctl explain s/b1 --daemon "$(controlOf d1)" --key_file "$Work/calls.key" |
  grep "^daemon d1" | sed 's/.*reason/reason/'
setBackend b1 '{}'
eventually "b1 has d1's traffic again" shareIs d1 b1 1.00
