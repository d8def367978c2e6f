#!/bin/sh
# Builds the stand-ins of the cases from number 6 on. They are Python programs without further libraries, so it is enough
# that the environment of the deploy file exists and that they compile.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "build of deploy/balancer.toml first" >&2; exit 2; }
for folder in review/common_2 review/6 review/7 review/8 review/9 review/10; do
    test ! -d "$folder" || .venv/bin/python -m compileall -q "$folder" || exit 1
done
