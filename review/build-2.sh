#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are
# Python without libraries, so this only compiles them, into target/.
set -e
cd "$(dirname "$0")/.."
python3 - <<'PY'
import pathlib
import py_compile

out = pathlib.Path('target/review-2')
out.mkdir(parents=True, exist_ok=True)
for path in [
    pathlib.Path('review/standins-2/standin_site.py'),
    *sorted(pathlib.Path('review').glob('[0-9]*/case.py')),
]:
    if path.parent.name in {'1', '2', '3', '4', '5'}:
        continue
    name = f'{path.parent.name}-{path.stem}.pyc'
    py_compile.compile(str(path), str(out / name), doraise=True)
PY
