#!/usr/bin/env bash
# Checks the stand-ins and cases of the second review. They are plain modules for Node 20, in review/lib-2, and need no other build.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.js [6-9]/*.js 10/*.js; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
