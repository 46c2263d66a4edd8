#!/usr/bin/env bash
# Fails on a file that clang-format would change, on a finding of clang-tidy in our sources, on a name
# in backquotes on our pages that doesn't exist, and when one of the tools fails itself. Needs the compile commands
# that test.sh leaves in target/test.
set -euo pipefail
cd "$(dirname "$0")"
compile_commands=target/test/compile_commands.json
reports=target/test/clang-tidy  # of each file: what clang-tidy said, and its exit status

python3 tools/check_docs_names.py --self-test
python3 tools/check_docs_names.py

mapfile -t formatted < <(git ls-files 'src/*.cpp' 'src/*.hpp' 'tests/*.cpp' 'tests/*.hpp')
mapfile -t compiled < <(git ls-files 'src/*.cpp')
if [ "${#compiled[@]}" -eq 0 ]; then
    echo "no sources found"
    exit 1
fi
printf '%s\0' "${formatted[@]}" | xargs -0 -P "$(nproc)" -n 16 clang-format --dry-run --Werror

# Without a command of its own clang-tidy would guess a file's from a neighbour's.
without_command=0
for source in "${compiled[@]}"; do
    if ! grep -qF "\"file\": \"$PWD/$source\"" "$compile_commands"; then
        echo "$source has no compile command in $compile_commands"
        without_command=1
    fi
done
[ "$without_command" -eq 0 ]

rm -rf "$reports"
mkdir -p "$reports"
# --config-file: a .clang-tidy that can't be read is an error, otherwise it would be passed over with a message.
# -Wno-unknown-warning-option: the compile commands hold options of GCC.
tidy_one() {
    local source=$1 report="$2/${1//\//_}" status=0
    clang-tidy -p target/test --config-file=.clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option "$source" \
        >"$report.findings" 2>"$report.log" || status=$?
    echo "$status" >"$report.status"
    return "$status"
}
export -f tidy_one
# What failed is told by the status kept of each file, below.
printf '%s\0' "${compiled[@]}" | xargs -0 -P "$(nproc)" -I{} bash -c 'tidy_one "$1" "$2"' tidy_one {} "$reports" || true

# A finding in a header is in the report of every file that includes it; it is printed once. One inside a library's
# header is printed and doesn't count (clang's analyzer takes Asio's coroutine frames for uninitialized objects);
# a file that can't be read does, wherever the fault stands.
finding='^([^ ]+:[0-9]+:[0-9]+: )?(warning|error): '
findings=$(cat "$reports"/*.findings | grep -E "$finding" | sort -u || true)
own_findings=$(grep -E "^$PWD/|^(warning|error): |clang-diagnostic-error" <<<"$findings" || true)
if [ -n "$findings" ]; then
    echo "$findings"
fi
if [ -n "$own_findings" ]; then
    echo "clang-tidy: $(wc -l <<<"$own_findings") findings in our sources"
fi
# A file that failed without a finding, or with a status that isn't that of findings: the tool itself did.
tool_failures=0
for source in "${compiled[@]}"; do
    report="$reports/${source//\//_}"
    status=$(cat "$report.status" || echo none)
    if [ "$status" != 0 ] && { [ "$status" != 1 ] || ! grep -qE "$finding" "$report.findings"; }; then
        echo "clang-tidy failed itself on $source:"
        cat "$report.findings" "$report.log"
        tool_failures=1
    fi
done
if [ -n "$own_findings" ] || [ "$tool_failures" -ne 0 ]; then
    exit 1
fi
echo "lint: ${#formatted[@]} files formatted, ${#compiled[@]} without findings"
