#!/usr/bin/env bash
# Scheduled jobs are accepted until an instance needs more memory than it has: no process may end by itself.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-rig3 ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review-rig3 -case schedules -dir review/7
