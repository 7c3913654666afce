#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 1 110 "$root/build-review-2/case-$(basename "$here")" "$root" "$folder" "$here/record.txt"
code=$?
[ $code -le 2 ] && exit $code
exit 2
