#!/bin/sh
# Builds the stand-ins of the cases: they are Python modules, which need the
# libraries that the build line of deploy/system.toml puts into target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:$PWD:review/standins" \
    python3 -c 'import fleet'
echo 'the stand-ins are ready'
