#!/bin/sh
# The stand-ins are Python and need the standard library only. This checks
# their syntax before a case runs and writes nothing.
set -eu
cd "$(dirname "$0")"
python3 -B - ./*/*.py <<'CHECK'
import sys

for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as file:
        compile(file.read(), path, 'exec')
CHECK
