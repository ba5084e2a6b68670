#!/usr/bin/env bash
# A host that is stopped while it lists results hangs until its time for the hand-over is up.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec node review/8/case.js
