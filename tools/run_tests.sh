#!/usr/bin/env bash
# Runs every test of a build tree on all cores: tools/run_tests.sh BUILD_FOLDER [KNOWN_RED_FILE]
# Tests listed in the known-red file are run separately and printed, and don't decide the exit status; every
# other failure does. A line of that file reads "Suite.Name  cause  issue"; there are three lines at most, and
# each names an existing test.
set -euo pipefail
build=$1
known_red_file=${2:-}
max_known_red=3

# Lists the names of all tests, one a line.
list_tests() {
    ctest --test-dir "$build" --show-only | sed -nE 's/^ *Test +#[0-9]+: (.*)$/\1/p'
}

# Prints the names in the known-red file, one a line; fails on a line that breaks the rules above.
read_known_red() {
    local all_tests name cause issue extra line_number=0 seen=" "
    all_tests=$(list_tests)
    while read -r name cause extra || [ -n "$name" ]; do
        line_number=$((line_number + 1))
        issue=${extra##* }
        if [ -z "$name" ] || [ -z "$cause" ] || [ -z "$issue" ]; then
            echo "$known_red_file:$line_number: expected 'Suite.Name  cause  issue'" >&2
            return 1
        fi
        if ! grep -qxF -- "$name" <<<"$all_tests"; then
            echo "$known_red_file:$line_number: no test is named $name" >&2
            return 1
        fi
        if [[ $seen == *" $name "* ]]; then
            echo "$known_red_file:$line_number: $name is listed twice" >&2
            return 1
        fi
        seen+="$name "
        echo "$name"
    done <"$known_red_file"
    if [ "$line_number" -gt "$max_known_red" ]; then
        echo "$known_red_file: $line_number lines; $max_known_red at most" >&2
        return 1
    fi
}

run_ctest() {
    ctest --test-dir "$build" --output-on-failure --no-tests=error -j"$(nproc)" "$@"
}

if [ -z "$known_red_file" ] || [ ! -e "$known_red_file" ]; then
    run_ctest
    exit
fi

names=$(read_known_red)
if [ -z "$names" ]; then
    echo "$known_red_file lists no test; remove it" >&2
    exit 1
fi
# Every character with a meaning in CMake's regular expressions is escaped; the match is of the whole name.
pattern="^($(sed -E 's/[][\.*+?^$()|]/\\&/g' <<<"$names" | paste -sd '|'))\$"

echo "Known red, run separately ($known_red_file):"
awk 1 "$known_red_file"  # ends the last line too
known_red_status=0
run_ctest -R "$pattern" || known_red_status=$?
if [ "$known_red_status" -eq 0 ]; then
    echo "Known red: every one of them passes now; take them out of $known_red_file"
else
    echo "Known red: failed as listed above (status $known_red_status); passed over"
fi
echo "All other tests:"
run_ctest -E "$pattern"
