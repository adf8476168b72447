# Functions that start and stop the Co-operative's example deployment on
# loopback addresses; sourced by the other scripts.

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

start_platform() {
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
}

start_figtray() {
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
}

load_deployment() {
    step "loading the Co-operative's deployment"
    figtray apply "$SETTINGS/deployment.json5" --watch | tail -n 1
    wait_for "allotments of the teams" all_allotted
    echo "the teams' limits are allotted to the entries"
}
