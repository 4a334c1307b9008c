#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: bin/rig.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./review/rig
