#!/bin/sh
# Builds what the scripts of cases 11 to 15 start beside the program of the deploy file. Their stand-ins are
# plain modules of Node.js without dependencies: this checks that each one can be read.
set -eu
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
