#!/usr/bin/env bash
# The stand-ins of the third review are plain Node.js without dependencies: there is nothing to compile. Checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/lib-3"
for file in *.mjs; do node --check "$file"; done
