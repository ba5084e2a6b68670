#!/usr/bin/env bash
# Checks the stand-ins of the cases. They are plain modules for Node 20, in review/lib, and need no other build.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.js [1-5]/*.js; do
  node --check "$file"
done
