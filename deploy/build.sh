#!/bin/sh
# Makes .venv with the pinned packages and the program in it, compiled; again only where something is newer.
set -eu
cd "$(dirname "$0")/.."
made=.venv/made
if [ -e "$made" ] && [ -z "$(find damsonstream setup.py pyproject.toml requirements.txt -newer "$made" -type f -name '*[!c]')" ]; then
    exit 0
fi
test -d .venv || python3 -m venv .venv
pip=".venv/bin/pip -q --disable-pip-version-check install"
$pip -r requirements.txt
$pip --no-build-isolation --no-deps --force-reinstall .
touch "$made"
