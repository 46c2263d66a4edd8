#!/usr/bin/env bash
# Builds everything with sanitizers and with warnings as errors, runs the tests (all except those in
# KNOWN-RED.txt must pass, see tools/run_tests.sh), and then runs lint.sh.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B target/test -DCMAKE_BUILD_TYPE=Debug -DPINEROAD_TESTS=ON -DPINEROAD_WERROR=ON -DPINEROAD_SANITIZE=ON -DCMAKE_EXPORT_COMPILE_COMMANDS=ON
cmake --build target/test -j"$(nproc)"
tools/run_tests.sh target/test KNOWN-RED.txt
./lint.sh
