#!/bin/sh
# Runs one case: case-2.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root" || exit 2
[ -x target/review/standins-2 ] && [ -x target/bin/egretpath-sidecar ] || exit 2
CASE_TEMP=$(mktemp -d) || exit 2
export CASE_TEMP NODE_BINARY=target/bin/egretpath-sidecar
target/review/standins-2 "$1" "$2/record.txt"
outcome=$?
rm -rf "$CASE_TEMP"
[ "$outcome" -le 2 ] || outcome=2
exit "$outcome"
