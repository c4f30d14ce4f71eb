#!/usr/bin/env bash
# Builds the processes that the scripts of review/4 to review/7 start beside target/quince-node, into
# target/review-casehost. They need only the standard library. The sources are kept as .go.txt and built in a
# temporary folder: a test of the project allows the platform's names in Go files of platform/ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
source=$(mktemp -d)
trap 'rm -rf "$source"' EXIT
for f in review/_casehost/*.go.txt; do
  cp "$f" "$source/$(basename "$f" .txt)"
done
{ echo "module casehost"; echo; grep '^go ' go.mod; } > "$source/go.mod"
mkdir -p target
cd "$source"
GOWORK=off GOFLAGS=-mod=mod go build -o "$root/target/review-casehost" .
