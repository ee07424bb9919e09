#!/bin/sh
# Leaves target/tinroad.jsa: the classes that a start of `run` loads, as the virtual machine keeps them, so that the next start need
# not read, check and lay them out again. Called by `build`; without the archive `run` starts all the same, only later.
set -eu
cd "$(dirname "$0")/.."
flags=$(sed -n 's/^run = "exec \(java .*\) -jar .*"$/\1/p' deploy/balancer.toml | sed 's/ -XX:SharedArchiveFile=[^ ]*//')
rm -f target/tinroad.jsa
# shellcheck disable=SC2086
exec $flags -Xlog:disable -Xlog:all=error:stderr -XX:ArchiveClassesAtExit=target/tinroad.jsa \
    -jar target/tinroad.jar check --start --config deploy/example.json
