#!/usr/bin/env bash
# Runs the documentation check, clang-format and clang-tidy. Fails if a name in backquotes in the
# documentation does not exist, if clang-format would change a file, if clang-tidy has a finding in the
# project's sources, or if one of the tools itself fails. Requires the compile commands that test.sh writes to
# target/test.
set -euo pipefail
cd "$(dirname "$0")"
compile_commands=target/test/compile_commands.json
reports=target/test/clang-tidy  # for each file: the output of clang-tidy and its exit status

python3 tools/check_docs_names.py --self-test
python3 tools/check_docs_names.py

mapfile -t formatted < <(git ls-files 'src/*.cpp' 'src/*.hpp' 'tests/*.cpp' 'tests/*.hpp')
mapfile -t compiled < <(git ls-files 'src/*.cpp')
if [ "${#compiled[@]}" -eq 0 ]; then
    echo "no source files found"
    exit 1
fi
printf '%s\0' "${formatted[@]}" | xargs -0 -P "$(nproc)" -n 16 clang-format --dry-run --Werror

# For a file without a compile command, clang-tidy would infer one from a similar file.
missing_commands=0
for source in "${compiled[@]}"; do
    if ! grep -qF "\"file\": \"$PWD/$source\"" "$compile_commands"; then
        echo "$source has no compile command in $compile_commands"
        missing_commands=1
    fi
done
[ "$missing_commands" -eq 0 ]

rm -rf "$reports"
mkdir -p "$reports"
# --config-file: makes an unreadable .clang-tidy an error; without it, clang-tidy prints a message and ignores
# the file.
# -Wno-unknown-warning-option: the compile commands contain GCC options that clang does not know.
run_clang_tidy() {
    local source=$1 report="$2/${1//\//_}" status=0
    clang-tidy -p target/test --config-file=.clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option "$source" \
        >"$report.findings" 2>"$report.log" || status=$?
    echo "$status" >"$report.status"
    return "$status"
}
export -f run_clang_tidy
# Failures are detected below, from the status file of each source.
printf '%s\0' "${compiled[@]}" |
    xargs -0 -P "$(nproc)" -I{} bash -c 'run_clang_tidy "$1" "$2"' run_clang_tidy {} "$reports" || true

# A finding in a header appears in the report of every file that includes it, but is printed only once.
# Findings in library headers are printed but do not fail the check (clang's analyzer reports Asio's coroutine
# frames as uninitialized objects). Compile errors always fail it, wherever they occur.
finding='^([^ ]+:[0-9]+:[0-9]+: )?(warning|error): '
findings=$(cat "$reports"/*.findings | grep -E "$finding" | sort -u || true)
project_findings=$(grep -E "^$PWD/|^(warning|error): |clang-diagnostic-error" <<<"$findings" || true)
if [ -n "$findings" ]; then
    echo "$findings"
fi
if [ -n "$project_findings" ]; then
    echo "clang-tidy: $(wc -l <<<"$project_findings") findings in the project's sources"
fi
# A failure without findings, or with a status other than 1, means that clang-tidy itself failed.
tool_failed=0
for source in "${compiled[@]}"; do
    report="$reports/${source//\//_}"
    status=$(cat "$report.status" || echo none)
    if [ "$status" != 0 ] && { [ "$status" != 1 ] || ! grep -qE "$finding" "$report.findings"; }; then
        echo "clang-tidy failed to run on $source:"
        cat "$report.findings" "$report.log"
        tool_failed=1
    fi
done
if [ -n "$project_findings" ] || [ "$tool_failed" -ne 0 ]; then
    exit 1
fi
echo "lint: ${#formatted[@]} files formatted correctly, ${#compiled[@]} files without clang-tidy findings"
