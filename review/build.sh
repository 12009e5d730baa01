#!/bin/sh
# Builds what the scripts start beside `run` of the deploy file. The stand-ins need the standard library only;
# a node with the section `fleet` needs msgpack, one of the pinned libraries of requirements-tools.txt.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -c "import msgpack" 2>/dev/null || .venv/bin/pip -q install -r requirements-tools.txt ||
    echo "msgpack is missing: the cases of a fleet cannot run" >&2
.venv/bin/python -m compileall -q review
