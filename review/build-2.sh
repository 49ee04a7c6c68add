#!/bin/bash
# Builds what the scripts of review/6 to review/10 start beside the programs of the deploy file: Python stand-ins, which
# need no compiler and no package. Only checks that they and the build of the deploy file are there; writes no file.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
python3 -c 'import sys; [compile(open(name, encoding="utf-8").read(), name, "exec") for name in sys.argv[1:]]' \
    review/rig_2.py review/[6-9]/*.py review/10/*.py
