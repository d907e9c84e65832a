#!/bin/sh
# case.sh CASE FOLDER: runs a case of review/standins against the node of the deploy file. Called by run.sh of a case.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0: no disruption.
set -u
cd "$(dirname "$0")/.."
node=target/bin/egretpath-sidecar
standins=target/review/standins
if [ ! -x "$node" ] || [ ! -x "$standins" ]; then
    echo "build the deploy file and review/build.sh first" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "$standins" "$1" "$node" "$2/record.txt" "$folder"
result=$?
tail -n 6 "$2/record.txt"
case $result in
0 | 1) exit $result ;;
*) exit 2 ;;
esac
