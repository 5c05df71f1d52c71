#!/bin/sh
# The stand-ins of cases 6 to 10 are Python files that use the standard
# library alone, so nothing has to be built; this checks that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 -B - platform2.py [6-9]/case.py 10/case.py <<'PROGRAM'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
    print(f"{name}: compiles")
PROGRAM
