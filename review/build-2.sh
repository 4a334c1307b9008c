#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-rig2 ./review/rig2
go build -o target/review-rig3 ./review/rig3
review/build.sh
