# A daemon that stood still notices it, and goes on with what is new.
source "$(dirname "$0")/../session-lib.sh"

startTwoDaemons b1 b2
say "served: $(request d1 GET /read/1)"

say "-- it stands still while servers start again and settings change"
kill -STOP "$(pidOf d1)"
for Name in b1 b2; do
  kill -KILL "$(pidOf "$Name")"
  wait "$(pidOf "$Name")" 2>/dev/null
  startProgram "$Name" standin-backend --name "$Name" \
    --address "$(addressOf "$Name")" --service_ms 2 --queue 32
done
sed 's/^floor-percent = .*/floor-percent = 10/' "$Work/tree.ini" >"$Work/next.ini"
say "publish: $(publish "$Work/next.ini" 1 second)"
eventually "d2 has version 2" hasMetric d2 config_version 2
# Longer than any round may be late.
sleep 4
kill -CONT "$(pidOf d1)"
eventually "d1 has noticed" grep -q stood-still "$Work/d1.log"
eventually "d1 has version 2" hasMetric d1 config_version 2
say "served: $(request d1 GET /read/1), $(request d1 POST /pay/1 -d order)"
say "d2 stood still: $(metricOf d2 standstills) times"
