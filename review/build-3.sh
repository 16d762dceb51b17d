#!/usr/bin/env bash
# Builds the stand-ins and the cases that the scripts of this review start.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/standin3/target"
javac -nowarn -d "$here/standin3/target" "$here"/standin3/src/*.java
