#!/bin/sh
# Builds the stand-ins of review/11 to 15: they are Python and need only the
# libraries that the build of the deploy file puts in target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD:$PWD/target/deps" python3 -m compileall -q figtray review/standins-3
PYTHONPATH="$PWD:$PWD/target/deps" python3 -c 'import figtray.platform.standin_services, figtray.platform.main'
