#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules without dependencies: there is nothing to build.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib/*.mjs [1-5]/case.mjs; do node --check "$module"; done
