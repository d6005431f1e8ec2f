#!/usr/bin/env bash
# Builds the program of the scripts, with all stand-ins, into target/. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-harness ./review/harness
