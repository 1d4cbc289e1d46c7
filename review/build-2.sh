#!/usr/bin/env bash
# The stand-ins of the cases 4 to 8 are plain modules of Node.js in review/lib-2 and beside each script, so there is nothing
# to compile; this checks that each of them can be loaded.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
