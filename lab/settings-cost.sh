#!/bin/bash
# What the size of the settings costs a gateway, for one program or for several in turn: a JSON line a figure. Each program is
# a folder, named from the root of the repository, as `build` leaves it; of one that knows no settings that change in place its
# start, rest and re-read are played. Needs the tests' classes: mvn -B -q test-compile.
#
#   lab/settings-cost.sh ../before . -- 4x2 58000x2 4x24000 58000x24000
#
# Exit status: 0 measured, 1 a start did not come up, 2 no program or no size (TENANTSxCLASSES) given.
set -euo pipefail
cd "$(dirname "$0")/.."
path=$(mktemp)
trap 'rm -f "$path"' EXIT
mvn -B -q dependency:build-classpath -Dmdep.outputFile="$path" > /dev/null
java -cp "target/classes:target/test-classes:$(cat "$path")" tinroad.node.SettingsCost "$@"
