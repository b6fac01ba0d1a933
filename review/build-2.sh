#!/bin/sh
# Builds what the scripts of cases 4 to 8 start beside the program of the deploy file. Their stand-ins are Python and need no
# build; this checks that they can be run.
cd "$(dirname "$0")" || exit 1
python3 - <<'CHECK' || exit 1
import pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for source in [pathlib.Path("standin-2/platform2.py"), *sorted(pathlib.Path().glob("[4-8]/case.py"))]:
    compile(source.read_text(), str(source), "exec")
    print("checked", source)
CHECK
