#!/bin/sh
# Builds the stand-ins of the cases; the build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target/classes
javac -Xlint:all -d review/target/classes review/standin/review/*.java
