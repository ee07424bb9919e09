#!/bin/sh
# Plays one case: play.sh CLASS FOLDER. The command that starts a gateway is that of the deploy file.
root=$(cd "$(dirname "$0")/../.." && pwd)
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
exec java -Xmx128m -Drun="$run" -Droot="$root" -cp "$root/target/review-2" "review2.$1" "$2"
