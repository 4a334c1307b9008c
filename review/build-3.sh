#!/bin/sh
# Builds the stand-ins of the cases from 11 on, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/rig4
