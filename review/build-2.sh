#!/bin/sh
# Builds what the scripts of cases 6 to 10 start, after `build` of the deploy file: stand-ins in plain Python.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/rig2 review/6 review/7 review/8 review/9 review/10
