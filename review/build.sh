#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/ start, into target/review/. It needs only the
# standard library. The build of the deploy file makes target/quince-node. The sources are kept
# as .go.txt and built in a temporary folder: a test of the project allows the platform's names
# in Go files of platform/ alone, and the stand-in speaks the platform's wire.
set -eu
cd "$(dirname "$0")/.."
root=$PWD
source=$(mktemp -d)
trap 'rm -rf "$source"' EXIT
for f in review/_standin/*.go.txt; do
  cp "$f" "$source/$(basename "$f" .txt)"
done
{ echo "module standin"; echo; grep '^go ' go.mod; } > "$source/go.mod"
mkdir -p target/review
cd "$source"
GOWORK=off GOFLAGS=-mod=mod go build -o "$root/target/review/standin" .
