#!/usr/bin/env bash
# Runs every test of a build tree on all cores: tools/run_tests.sh BUILD_FOLDER [KNOWN_RED_FILE]
# Tests listed in the known-red file (known failures) run separately: their results are printed but do not
# affect the exit status. Any other failure does. Each line of that file has the form
# "Suite.Name  cause  issue" and must name an existing test; at most three lines are allowed.
set -euo pipefail
build=$1
known_red_file=${2:-}
max_known_red=3

# Prints the names of all tests, one per line.
list_tests() {
    ctest --test-dir "$build" --show-only | sed -nE 's/^ *Test +#[0-9]+: (.*)$/\1/p'
}

# Prints the test names from the known-red file, one per line; fails if the file breaks the rules above.
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
        echo "$known_red_file: $line_number lines, but at most $max_known_red are allowed" >&2
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
    echo "$known_red_file lists no tests; remove the file" >&2
    exit 1
fi
# Escapes the special characters of CMake's regular expressions and anchors the pattern, so that only whole
# names match.
pattern="^($(sed -E 's/[][\.*+?^$()|]/\\&/g' <<<"$names" | paste -sd '|'))\$"

echo "Known failures, run separately ($known_red_file):"
awk 1 "$known_red_file"  # adds a missing newline at the end of the file
known_red_status=0
run_ctest -R "$pattern" || known_red_status=$?
if [ "$known_red_status" -eq 0 ]; then
    echo "Known failures: all of them pass now; remove them from $known_red_file"
else
    echo "Known failures: ctest failed with status $known_red_status; ignored"
fi
echo "All other tests:"
run_ctest -E "$pattern"
