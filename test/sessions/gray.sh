# Sick behind green health: it loses traffic everywhere, and comes back.
source "$(dirname "$0")/../session-lib.sh"

startPlatform
for Name in b1 b2 b3 b4; do startBackend "$Name"; done
FLOOR=50 EXTRA='deadline-ms = 2000\n' writeTree "$Work/tree.ini" b1 b2 b3 b4
startThreeDaemons

# Callers that keep asking through each daemon until they are ended.
for Daemon in d1 d2 d3; do
  startProgram "load-$Daemon" canvaswick-load --proxy "$(callersOf $Daemon)" \
    --targets "GET /read/1" --rate 60 --seconds 200 --threads 8 >/dev/null
done

say "-- one server fails behind green health"
setBackend b1 '{"fail":true}'
say "health: $(curl -s -o /dev/null -w '%{http_code}' "http://$(addressOf b1)/health")"
for Daemon in d1 d2 d3; do
  eventually "b1 has lost its traffic at $Daemon" shareIs "$Daemon" b1 0.00
done
ctl explain s/b1 --daemon "$(controlOf d1)" --key_file "$Work/calls.key" |
  grep -c "^daemon .* share 0.0" | sed 's/^/daemons that explain it: /'
setBackend b1 '{}'
for Daemon in d1 d2 d3; do
  eventually "b1 has its full share again at $Daemon" shareIs "$Daemon" b1 1.00
done

say "-- three of four are sick, the floor is 50 %"
for Name in b1 b2 b3; do setBackend "$Name" '{"fail":true}'; done
removedCount() {
  curl -s "http://$(controlOf "$1")/metrics" |
    grep canvaswick_share | grep -c ' 0.0[04]$'
}
twoRemoved() { [ "$(removedCount "$1")" = 2 ]; }
eventually "two have lost their traffic at d1" twoRemoved d1
say "never more than two: $(
  for _ in $(seq 40); do
    removedCount d1
    sleep 0.05
  done | sort -rn | head -n 1
) at most"

say "-- the burn report names services and halls"
ctl burn --daemon "$(controlOf d1)" --key_file "$Work/calls.key" --csv |
  cut -d, -f1-3
kill -KILL "$(pidOf d3)"
ctl burn --daemon "$(controlOf d1)" --key_file "$Work/calls.key" --csv |
  grep 'no answer'
