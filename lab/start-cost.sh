#!/bin/bash
# What a start of `run` costs: ms from the start to the line 'listening on', and memory 2 s later, five starts of each
# variant in turn, medians. Each variant is what stands for 'target/tinroad.jar serve' in the deploy file's run line.
#
#   lab/start-cost.sh '../before/target/tinroad.jar serve' 'target/tinroad.jar serve'
#
# Exit status: 0 measured, 1 a start did not come up, 2 no variant given.
set -euo pipefail
[ $# -gt 0 ] || { echo "usage: lab/start-cost.sh VARIANT..." >&2; exit 2; }
cd "$(dirname "$0")/.."
STARTS=${STARTS:-5}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
line=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
export GW_CONFIG=$work/config.json
# Nobody listens at these: the start is that of a gateway whose engine comes later.
sed 's/127.0.0.1:4400/127.0.0.1:9/; s/127.0.0.1:8761/127.0.0.1:9/' deploy/example.json > "$GW_CONFIG"
for round in $(seq "$STARTS"); do
  n=0
  for variant in "$@"; do
    n=$((n + 1))
    mkdir -p "$work/tmp.$n"
    begun=$(date +%s%N)
    TMPDIR=$work/tmp.$n sh -c "${line%target/tinroad.jar serve}$variant" 2> "$work/log" &
    pid=$!
    for wait in $(seq 3000); do
      grep -q 'listening on' "$work/log" && break
      kill -0 $pid 2> /dev/null || { cat "$work/log" >&2; exit 1; }
      sleep 0.005
    done
    up=$((($(date +%s%N) - begun) / 1000000))
    sleep 2
    awk -v up=$up '/^Rss/ {r = $2} /^Anonymous/ {a = $2} END {printf "%d %d %d\n", up, r, a}' /proc/$pid/smaps_rollup >> "$work/figures.$n"
    kill -TERM $pid
    wait $pid || true
  done
done
median() { sort -n | awk '{v[NR] = $1} END {print v[int((NR + 1) / 2)]}'; }
n=0
printf '%-60s %10s %10s %10s\n' variant 'start ms' 'rss KB' 'anon KB'
for variant in "$@"; do
  n=$((n + 1))
  printf '%-60s %10d %10d %10d\n' "$variant" "$(cut -d' ' -f1 "$work/figures.$n" | median)" \
    "$(cut -d' ' -f2 "$work/figures.$n" | median)" "$(cut -d' ' -f3 "$work/figures.$n" | median)"
done
