#!/bin/sh
# The stand-ins are Python files that need the standard library alone: this only compiles them. The deploy file's
# build comes first, as it makes .venv.
cd "$(dirname "$0")" || exit 1
exec ../.venv/bin/python -m compileall -q common.py 1 2
