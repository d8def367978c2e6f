#!/bin/sh
# The stand-ins are Python files that use the standard library only: this checks that they compile, and builds nothing.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
