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

ROOT=$(cd "$(dirname "$0")/.." && pwd)
SETTINGS=$ROOT/examples/co-operative
DIR=$(mktemp -d "${TMPDIR:-/tmp}/figtray-demo.XXXXXX")
cd "$DIR"
ENTRIES="1 2 3 4 5 6 7 8 9"
CONTROLLERS="1 2"
export FIGTRAY_SERVER=127.1.2.1:8100
export FIGTRAY_CREDENTIAL_FILE=$DIR/operator.credential

start() {
    name=$1
    shift
    "$@" >"$name.log" 2>&1 &
    echo $! >"$name.pid"
}

stop_all() {
    for pid_file in "$DIR"/*.pid; do
        [ -e "$pid_file" ] || continue
        kill -CONT "$(cat "$pid_file")" 2>/dev/null || true
        kill -TERM "$(cat "$pid_file")" 2>/dev/null || true
    done
    deadline=$(($(date +%s) + 15))
    for pid_file in "$DIR"/*.pid; do
        [ -e "$pid_file" ] || continue
        while kill -0 "$(cat "$pid_file")" 2>/dev/null; do
            if [ "$(date +%s)" -ge "$deadline" ]; then
                kill -KILL "$(cat "$pid_file")" 2>/dev/null || true
                break
            fi
            sleep 0.1
        done
    done
}

finish() {
    status=$?
    trap - EXIT INT TERM
    if [ "$status" -ne 0 ]; then
        echo "demo: failed with status $status; last log lines:" >&2
        tail -n 2 "$DIR"/*.log >&2 || true
    fi
    stop_all
    rm -rf "$DIR"
    exit "$status"
}
trap finish EXIT
trap 'exit 130' INT TERM

step() {
    echo
    echo "== $*"
}

wait_for() {
    what=$1
    shift
    deadline=$(($(date +%s) + 60))
    until "$@" >/dev/null 2>&1; do
        if [ "$(date +%s)" -ge "$deadline" ]; then
            echo "demo: $what did not happen within 60 s" >&2
            exit 1
        fi
        sleep 0.2
    done
}

is_ready() {
    python - "$1" <<'PY'
import sys
import urllib.request
urllib.request.urlopen(f'http://{sys.argv[1]}/ready', timeout=2)
PY
}

all_allotted() {
    python - <<'PY'
import json
import sys
import urllib.request
for number in range(1, 10):
    url = f'http://127.1.1.{number}:8002/debug'
    state = json.load(urllib.request.urlopen(url, timeout=2))
    if not any(item['held'] for item in state['allotments'].values()):
        sys.exit(1)
PY
}

step "starting stand-ins of the platform"
start kv figtray-standin-kv --listen 127.1.0.1:2379
start hosts figtray-standin-hosts --listen 127.1.0.2:7100
network=10
for pool in quoting dispatch plant-gate convoys administration; do
    set --
    for number in 1 2 3 4 5 6 7 8; do
        set -- "$@" --worker "$pool-$number=127.1.$network.$number:9000"
    done
    start "workers-$pool" figtray-standin-worker "$@" \
        --control "127.1.$network.100:9100" --host-list 127.1.0.2:7100
    network=$((network + 1))
done

step "starting entries, API and controllers"
python - <<'PY'
import hashlib
import pathlib
import secrets
token = secrets.token_hex(32)
pathlib.Path('operator.credential').write_text(token)
digest = hashlib.sha256(token.encode()).hexdigest()
pathlib.Path('api-credential.sha256').write_text(digest)
PY
for number in $ENTRIES; do
    start "entry-$number" figtray-entry \
        --settings "$SETTINGS/entry-$number.json5"
done
start api-1 figtray-api --settings "$SETTINGS/api-1.json5"
for number in $CONTROLLERS; do
    start "controller-$number" figtray-controller \
        --settings "$SETTINGS/controller-$number.json5"
done
for number in $ENTRIES; do
    wait_for "entry-$number ready" is_ready "127.1.1.$number:8002"
done
echo "9 entries are ready"

step "loading the Co-operative's deployment"
figtray apply "$SETTINGS/deployment.json5" --watch | tail -n 1
wait_for "allotments of the teams" all_allotted
echo "the teams' limits are allotted to the entries"

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
