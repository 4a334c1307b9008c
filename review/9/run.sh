#!/usr/bin/env bash
# A queue is sent to another service while a scheduled job is accepted: its later occurrences must run.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-rig2 ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review-rig2 moved-queue review/9/record.txt
