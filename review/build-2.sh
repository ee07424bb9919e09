#!/bin/sh
# Builds the stand-ins and the cases of the second review into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/stand-ins-2/review2/*.java
