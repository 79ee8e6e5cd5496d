#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. See claim.txt.
# What was sent, answered and run is written to record.txt in this folder.
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/case.py"
