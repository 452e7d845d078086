#!/bin/sh
# The stand-ins of cases 6 to 9 are Python files: this compiles them with the environment of the deploy file.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
python="$here/../.venv/bin/python"
[ -x "$python" ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
exec "$python" -m compileall -q "$here/common_2.py" "$here/6" "$here/7" "$here/8" "$here/9"
