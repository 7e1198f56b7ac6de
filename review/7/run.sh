#!/bin/bash
# Shows case 7. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
cd "$root" || exit 2
"$root/target/play-2/release/play-2" silence "$root/target/release/rhubarblatch-entry" "$folder" "$here/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
