#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the project's programs: stand-ins in plain Python, without packages.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in harness.py [1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
