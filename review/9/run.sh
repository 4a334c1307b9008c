#!/usr/bin/env bash
# A route is replaced by one with the same host, prefix and service: the job accepted before must be found and cancelled there.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-rig2 ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review-rig2 replaced-route review/9/record.txt
