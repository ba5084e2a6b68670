#!/usr/bin/env bash
# A host that is stopped while it lists results hangs until its time for the hand-over is up.
# With TROUBLE=0 it does the same without the disruption.
set -uo pipefail
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.."
exec node review/8/case.js
