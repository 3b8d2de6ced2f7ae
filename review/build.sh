#!/bin/sh
# The stand-ins are Python and need the standard library only; this compiles
# them, so that a fault of syntax shows before a case runs.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q .
