#!/bin/sh
# Starts a stand-in site and three nodes, submits jobs, kills the leader in
# the middle and prints a report. All processes end with this script.
set -eu
dir=$(mktemp -d)
site='' nodes=''
stop() {
    for pid in $nodes $site; do kill "$pid" 2>/dev/null || true; done
    wait
    rm -rf "$dir"
}
trap stop EXIT
figtray-standin-site "$dir" > "$dir/site.log" 2>&1 &
site=$!
until grep -q 'the site is ready' "$dir/site.log"; do
    kill -0 "$site" || { cat "$dir/site.log"; exit 1; }
    sleep 0.1
done
for number in 0 1 2; do
    FIGTRAY_NODE_FILE="$dir/node-$number.json" \
        figtray-node > "$dir/node-$number.log" 2>&1 &
    nodes="$nodes $!"
done
until grep -q leader_won "$dir"/node-*.log 2>/dev/null; do sleep 0.1; done
figtray-jobs "$dir" --jobs "${JOBS:-40}" &
load=$!
sleep 3
leader=$(grep -l leader_won "$dir"/node-*.log | head -1 | sed 's/.*node-//; s/.log//')
set -- $nodes
shift "$leader"
echo "killing node-$leader (pid $1), which leads"
kill -9 "$1"
status=0
wait "$load" || status=$?
echo "starts: $(cat "$dir"/node-*.log | grep -c task_started)," \
    "leaders: $(cat "$dir"/node-*.log | grep -c leader_won)"
exit "$status"
