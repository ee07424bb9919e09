#!/bin/sh
# Builds every stand-in that the scripts start, with the JDK alone, into review/classes.
set -e
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac -encoding UTF-8 -d classes standins/*.java
