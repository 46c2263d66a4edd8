#!/usr/bin/env bash
# Fails on a file that clang-format would change and on a warning of clang-tidy in our own sources. Needs the
# compile commands that test.sh leaves in target/test.
set -euo pipefail
cd "$(dirname "$0")"
mapfile -t sources < <(git ls-files 'src/*.cpp' 'src/*.hpp' 'tests/*.cpp' 'tests/*.hpp')
clang-format --dry-run --Werror "${sources[@]}"
findings=target/test/clang-tidy.txt
# Its exit status also tells of warnings inside the headers of libraries, which are printed and don't count.
git ls-files 'src/*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy -p target/test --quiet --extra-arg=-Wno-unknown-warning-option >"$findings" 2>target/test/clang-tidy.log || true
if grep -q "error:" "$findings" target/test/clang-tidy.log; then
    cat "$findings" target/test/clang-tidy.log
    echo "clang-tidy could not read the sources"
    exit 1
fi
grep "warning:" "$findings" | sort -u || true
if grep -qE "^$PWD/(src|tests)/.*warning:" "$findings"; then
    echo "clang-tidy has warnings in our sources"
    exit 1
fi
