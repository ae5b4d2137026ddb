#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript on Node.js and need no build;
# this checks that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
