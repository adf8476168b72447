#!/bin/sh
# Measures the running Co-operative example: idle processor time, memory,
# store calls and loopback bytes, then latency and throughput of the path.
# Needs a machine that is otherwise quiet.
#
# usage: scripts/measure.sh
set -eu

. "$(dirname "$0")/deployment.sh"
IDLE_S=20

sample() {
    python - <<'PY'
import json
import os
import pathlib
import urllib.request

TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def process(pid):
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split(')')[1].split()
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    rss_kb = next(
        int(line.split()[1])
        for line in status.splitlines()
        if line.startswith('VmRSS')
    )
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S, rss_kb / 1024


names = {}
for path in pathlib.Path().glob('*.pid'):
    names[path.stem] = process(int(path.read_text()))
for line in pathlib.Path('/proc/net/dev').read_text().splitlines():
    if line.strip().startswith('lo:'):
        loopback = int(line.split(':')[1].split()[0])
with urllib.request.urlopen('http://127.1.0.1:2379/stats') as reply:
    calls = sum(json.load(reply)['calls'].values())
print(json.dumps({'names': names, 'loopback': loopback, 'calls': calls}))
PY
}

start_platform
start_figtray
load_deployment
figtray --output json key grant city-water >key.json
sleep 10

step "idle for $IDLE_S s"
sample >before.json
sleep "$IDLE_S"
sample >after.json
python - "$IDLE_S" <<'PY'
import json
import sys
seconds = float(sys.argv[1])
before, after = (json.load(open(f'{n}.json')) for n in ('before', 'after'))
for name, (cpu_s, rss_mb) in sorted(after['names'].items()):
    used = (cpu_s - before['names'][name][0]) / seconds
    print(f'  {name:24s} {100 * used:5.2f} % of a core, {rss_mb:5.1f} MB')
calls = (after['calls'] - before['calls']) / seconds
print(f'  store calls: {calls:.1f} per s')
rate = (after['loopback'] - before['loopback']) / seconds
print(f'  all loopback bytes: {rate:.0f} per s')
PY

step "request path"
KEY=$(python -c "import json; print(json.load(open('key.json'))['secret'])")
python -m figtray.bench.path --entry 127.1.1.1:8001 \
    --worker 127.1.10.1:9000 --queue quoting --key "$KEY"
