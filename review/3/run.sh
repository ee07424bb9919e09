#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
work=$(mktemp -d) || exit 2
timeout 110 java -cp "$root/review/classes" LostUnderHalfWritten "$root" "$work" "$here/record.txt" FEW &
pid=$!
trap 'kill $pid 2>/dev/null' TERM INT HUP
wait $pid
status=$?
rm -rf "$work"
case $status in 0) exit 0 ;; 11) exit 1 ;; *) exit 2 ;; esac
