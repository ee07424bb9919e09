#!/bin/sh
# Creates target/tinroad.jsa, the class-data sharing archive of the classes that `run` loads at its start, so that a start need not
# read, verify and lay out these classes again. Called by `build`. Without the archive `run` starts, too, but takes longer.
# A start maps the archive without reading all of it, and a damaged one ends the process, so the archive gets its final name only once it
# is complete and verified.
set -eu
cd "$(dirname "$0")/.."
flags=$(sed -n 's/^run = "exec java \(.*\) -jar .*"$/\1/p' deploy/balancer.toml | sed 's/ -XX:SharedArchiveFile=[^ ]*//; s/ -Xshare:auto//')
new=target/tinroad.jsa.new
rm -f target/tinroad.jsa "$new"
# shellcheck disable=SC2086
java $flags -Xlog:disable -Xlog:all=error:stderr -XX:ArchiveClassesAtExit="$new" \
    -jar target/tinroad.jar check --start --config deploy/example.json
# shellcheck disable=SC2086
java $flags -Xshare:on -XX:+VerifySharedSpaces -XX:SharedArchiveFile="$new" -jar target/tinroad.jar version > /dev/null
mv "$new" target/tinroad.jsa
