#!/bin/sh
# After the build of the deploy file: makes what the scripts of the cases 6 to 10 start. The stand-ins are
# Python of the standard library, so there is nothing to compile; this checks that they can be read, and that
# the gateway was built.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run sh deploy/build.sh first" >&2; exit 2; }
.venv/bin/python -P -m damsonstream version
for file in review/rig2.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py; do
    .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
