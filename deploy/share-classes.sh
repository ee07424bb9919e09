#!/bin/sh
# Leaves target/tinroad.jsa: the classes that a start of `run` loads, as the virtual machine keeps them, so that the next start need
# not read, check and lay them out again. Called by `build`; without the archive `run` starts all the same, only later.
# A start maps the archive without reading it through, and a damaged one ends it: so it comes under its name whole and verified, or not.
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
