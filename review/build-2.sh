#!/bin/sh
# The stand-ins of cases 6 to 10 are plain modules that run as they are: checks their syntax.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file"
done
