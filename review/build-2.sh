#!/usr/bin/env bash
# The stand-ins of review/lib-2 are plain JavaScript and need no build; this
# checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs */run.mjs; do
  node --check "$file"
done
