#!/usr/bin/env bash
# Builds the processes that the scripts of review/4 to review/8 start beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-casehost ./review/_casehost
