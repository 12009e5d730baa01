#!/bin/sh
# Builds what the scripts of cases 6 to 10 start, after `build` of the deploy file. The stand-ins are plain Python;
# the nodes of cases 6, 8 and 10 have the section `fleet`, which needs msgpack, pinned in requirements-tools.txt.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -c "import msgpack" 2>/dev/null || .venv/bin/pip -q install -r requirements-tools.txt ||
    echo "msgpack is missing: cases 6, 8 and 10 end with 2" >&2
.venv/bin/python -m compileall -q review/rig2 review/6 review/7 review/8 review/9 review/10
