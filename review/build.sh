#!/bin/sh
# Checks the stand-ins, which are Python and need no packages; run after the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
for file in review/standins.py review/[0-9]*/case.py; do
    .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
chmod +x review/[0-9]*/run.sh
