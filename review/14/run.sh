#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 has the same manifest with a name without a space.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
export TROUBLE="${TROUBLE:-1}"
[ -d "$root/target/daemon" ] && [ -f "$root/review/standin3/target/TenantName.class" ] || { echo "not built"; exit 2; }
timeout -k 2 115 java -Droot="$root" -cp "$root/review/standin3/target" TenantName "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
