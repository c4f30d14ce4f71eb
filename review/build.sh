#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start, into target/review/. It needs only
# the standard library. The build of the deploy file makes target/quince-node.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin ./review/_standin
