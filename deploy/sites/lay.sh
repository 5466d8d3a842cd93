#!/bin/sh
# Lays what the operators' bench wants beside these site files, from a checkout of the operators' kit; git-ignored.
# Use: sh deploy/sites/lay.sh PATH_OF_KIT
set -eu
kit=${1:?the path of the kit}/more/mass/other
for file in real.json wire.json unlock.txt; do
    cp "$kit/$file" "$(dirname "$0")/$file"
    chmod u+w "$(dirname "$0")/$file"
done
