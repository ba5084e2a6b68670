#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# What was sent, answered and run goes to record.txt in this folder.
cd "$(dirname "$0")" || exit 2
UV_USE_IO_URING=0 exec node case.js record.txt
