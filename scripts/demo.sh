#!/bin/sh
# Runs the Co-operative's example deployment on loopback addresses: stand-ins
# of the platform, entries, controllers and API as separate processes, a mixed
# load, and faults while it runs. Prints a report and leaves nothing running.
#
# usage: scripts/demo.sh [--keep] [--seconds N]
#   --keep       leave the system running until the return key is pressed
#   --seconds N  length of the load, 30 or more (default 40)
set -eu

KEEP=no
SECONDS_LOAD=40
while [ $# -gt 0 ]; do
    case $1 in
    --keep) KEEP=yes ;;
    --seconds) shift; SECONDS_LOAD=$1 ;;
    *) echo "demo: unknown option $1" >&2; exit 2 ;;
    esac
    shift
done

. "$(dirname "$0")/deployment.sh"
start_platform
start_figtray
load_deployment

step "granting keys"
for team in city-water harbour-board river-trust dairy-union paper-mill; do
    figtray --output json key grant "$team" >"key-$team.json"
    echo "key for $team"
done
figtray --output json key grant paper-mill >key-withdrawn.json
python - "$SECONDS_LOAD" <<'PY'
import json
import sys


def secret(name):
    with open(f'key-{name}.json') as file:
        return json.load(file)['secret']


queues = {
    'city-water': ('quoting', 40),
    'harbour-board': ('dispatch', 30),
    'river-trust': ('plant-gate', 20),
    'dairy-union': ('convoys', 10),
    'paper-mill': ('quoting', 10),
}
teams = [
    {
        'team': team,
        'queue': queue,
        'key': secret(team),
        'rate_per_s': rate,
        'urgent_part': 0.1,
        'keyed_part': 0.1,
        'idempotent_part': 0.3,
        'cancelled_part': 0.02,
        'work_ms': 200,
        'deadline_ms': 10000,
    }
    for team, (queue, rate) in queues.items()
]
teams += [
    {
        'team': 'walk-in',
        'queue': 'public-quotes',
        'rate_per_s': 4,
        'work_ms': 100,
        'deadline_ms': 10000,
    },
    {
        'team': 'withdrawn-key',
        'queue': 'dispatch',
        'key': secret('withdrawn'),
        'rate_per_s': 10,
        'work_ms': 100,
        'deadline_ms': 10000,
    },
]
settings = {
    'entries': [f'127.1.1.{number}:8001' for number in range(1, 10)],
    'teams': teams,
    'duration_ms': int(sys.argv[1]) * 1000,
    'cycle_ms': 15000,
}
with open('load.json5', 'w') as file:
    json.dump(settings, file)
PY

step "running a mixed load for $SECONDS_LOAD s"
figtray-load --settings load.json5 --output load.json >load.txt 2>&1 &
LOAD=$!
sleep 5

KEY_ID=$(python -c "import json; \
print(json.load(open('key-withdrawn.json'))['name'])")
step "withdrawing key $KEY_ID while it is in use"
figtray key withdraw "$KEY_ID" --watch | tail -n 1
sleep 4

step "taking zone-2 out of service"
figtray zone out zone-2 --watch | tail -n 1
sleep 6

step "bringing zone-2 back"
figtray zone in zone-2 --watch | tail -n 1
sleep 3

step "killing entry-3"
kill -KILL "$(cat entry-3.pid)"
sleep 4
start entry-3 figtray-entry --settings "$SETTINGS/entry-3.json5"
wait_for "entry-3 ready again" is_ready 127.1.1.3:8002
echo "entry-3 was replaced and is ready"

LOAD_STATUS=0
wait "$LOAD" || LOAD_STATUS=$?

step "report"
cat load.txt
python - <<'PY'
import json
import urllib.request
starts = {}
for network in range(10, 15):
    url = f'http://127.1.{network}.100:9100/log'
    with urllib.request.urlopen(url, timeout=10) as reply:
        for host, events in json.load(reply).items():
            pool = host.rpartition('-')[0]
            count = sum(1 for item in events if item['event'] == 'start')
            starts[pool] = starts.get(pool, 0) + count
print('tasks that workers started:', sum(starts.values()), starts)
url = 'http://127.1.0.1:2379/stats'
with urllib.request.urlopen(url, timeout=10) as reply:
    print('store calls:', json.load(reply)['calls'])
PY
echo
echo "peak memory of each process (MB):"
for pid_file in *.pid; do
    name=${pid_file%.pid}
    awk -v name="$name" '/VmHWM/ {printf "  %-24s %6.1f\n", name, $2 / 1024}' \
        "/proc/$(cat "$pid_file")/status" 2>/dev/null || true
done

if [ "$KEEP" = yes ]; then
    step "still running in $DIR; press return to stop"
    echo "  export FIGTRAY_SERVER=$FIGTRAY_SERVER"
    echo "  export FIGTRAY_CREDENTIAL_FILE=$FIGTRAY_CREDENTIAL_FILE"
    read -r _
fi
exit "$LOAD_STATUS"
