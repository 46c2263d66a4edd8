#!/usr/bin/env bash
# Builds everything with warnings as errors and sanitizers on, runs the tests, and then formatter and linter.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B target/test -DCMAKE_BUILD_TYPE=Debug -DPINEROAD_TESTS=ON -DPINEROAD_WERROR=ON -DPINEROAD_SANITIZE=ON -DCMAKE_EXPORT_COMPILE_COMMANDS=ON
cmake --build target/test -j"$(nproc)"
ctest --test-dir target/test --output-on-failure
./lint.sh
