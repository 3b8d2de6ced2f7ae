#!/bin/sh
# Run the case; TROUBLE=0 leaves the disruption out. No bytecode is written,
# so that the folders of review/ stay those of the cases.
cd "$(dirname "$0")" && exec python3 -B case.py
