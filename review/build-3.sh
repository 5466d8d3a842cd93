#!/bin/sh
# After the build of the deploy file. The cases 11 to 13 start Python programs alone; they need no build-2.sh.
# This checks that what they start can be loaded.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -P -c "import damsonstream.standins.wire"
for file in review/rig3.py review/11/case.py review/12/case.py review/13/case.py; do
    .venv/bin/python -P -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
