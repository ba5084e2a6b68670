#!/usr/bin/env bash
# A host that missed a few versions of a large configuration applies no later one.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec node review/8/case.js
