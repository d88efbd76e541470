#!/bin/bash
# Builds the programs of the cases 6 to 10 into build/review-2, with the tool chain of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/[0-9]*/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/rig-2 "$source" -o "build/review-2/case-$number"
done
