#!/bin/bash
# Runs the program of one case: run-case.sh CASE-FOLDER PROGRAM. Ends with the program's exit code; 124 and 137 (the
# program was stopped for time) become 2. Everything it starts is in one process group, which is ended with it.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/build/review-2/$2
[ -x "$program" ] && [ -x "$root/build/paddletrack" ] || { echo "build first: the line of the deploy file, then review/build-2.sh" >&2; exit 2; }
temporary=$(mktemp -d)
# The name of the case alone, so that the record names no path of the machine.
cd "$root/review" || exit 2
timeout -k 2 115 "$program" "$root" "$(basename "$folder")" "$temporary"
code=$?
rm -rf "$temporary"
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
