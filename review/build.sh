#!/usr/bin/env bash
# Builds the stand-ins that the cases start: they are Python programs, so this only compiles them.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONPYCACHEPREFIX=../target/review
python3 -m py_compile standins/*.py ./*/case.py
