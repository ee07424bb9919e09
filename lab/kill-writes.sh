#!/bin/bash
# Kills processes while they write state, 1,000 times or as many as are named; the folder is left in place when a file was
# damaged. A third argument names another program of the tests: tinroad.changelog.KillLogWrites for the change log.
# Needs the tests' classes: mvn -B -q test-compile. Exit status: 0 nothing damaged or lost, 1 something was.
set -euo pipefail
cd "$(dirname "$0")/.."
kills=${1:-1000}
work=$(mktemp -d)
mvn -B -q dependency:build-classpath -Dmdep.outputFile="$work/path" > /dev/null
out=$(java -cp "target/classes:target/test-classes:$(cat "$work/path")" "${3:-tinroad.state.KillWrites}" "$work/state" "$kills" "${2:-1}")
echo "$out"
[ "$out" = "kills $kills, damaged 0, lost 0" ] || { echo "the folder is left: $work/state" >&2; exit 1; }
rm -rf "$work"
