#!/usr/bin/env bash
# Check the stand-ins of the cases. They are Python files that need the standard
# library alone, so nothing is installed; the routers come from the deploy file's build.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m py_compile ./*.py ./*/case.py
