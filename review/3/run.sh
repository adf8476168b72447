#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH="$root/target/deps:$root:$root/review/standins"
exec timeout -k 5 115 python3 case.py
