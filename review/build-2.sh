#!/bin/bash
# Builds what the scripts of review/6 to review/10 start beside the programs of the deploy file: Python stand-ins, which
# need no compiler and no package. Only checks that they and the build of the deploy file are there.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
python3 -m py_compile review/rig_2.py $(find review/[6-9] review/10 -name '*.py' 2>/dev/null)
