#!/bin/sh
# Builds the stand-ins that the scripts start: they need Python's standard
# library only, so they are compiled, which also checks their syntax.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q .
