#!/bin/sh
# The stand-ins are Python programs (review/standin/bench.py and the case.py of each folder) and use its standard library
# only. Nothing has to be compiled; this checks that they can be read.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'CHECK'
import ast, pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
    print("checked", path)
CHECK
