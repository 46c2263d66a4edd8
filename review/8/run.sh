#!/usr/bin/env bash
# Runs the case. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
exec env PYTHONDONTWRITEBYTECODE=1 timeout -k 2 119 python3 case.py
