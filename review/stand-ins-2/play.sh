#!/bin/sh
# Plays one case: play.sh CLASS FOLDER. The command that starts a gateway is that of the deploy file.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run, whatever the
# reason: the program says "broken" with status 3, as a virtual machine that fails exits with 1.
root=$(cd "$(dirname "$0")/../.." && pwd)
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
if [ -z "$run" ] || [ ! -f "$root/target/tinroad.jar" ] \
        || [ ! -f "$root/target/review-2/review2/$1.class" ]; then
    echo "could not run: build with the deploy file's build, then review/build-2.sh"
    exit 2
fi
java -Xmx128m -Drun="$run" -Droot="$root" -cp "$root/target/review-2" "review2.$1" "$2" &
case=$!
trap 'kill "$case" 2>/dev/null; wait "$case"; exit 2' HUP INT TERM
wait "$case"
case $? in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
