#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 lets the request run like any other; SAME=1 repeats its query, too.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
export TROUBLE="${TROUBLE:-1}"
[ -d "$root/target/daemon" ] && [ -f "$root/review/standin3/target/PoisonedQuery.class" ] || { echo "not built"; exit 2; }
timeout -k 2 115 java -Droot="$root" -cp "$root/review/standin3/target" PoisonedQuery "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
