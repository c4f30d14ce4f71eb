#!/usr/bin/env bash
# Takes one mechanism after the other out of a copy of the tree and expects the
# tests of its row to fail. The copy is of what is committed. Usage:
# proctest/red/run.sh [NAME ...]; needs git.
set -euo pipefail
cd "$(git rev-parse --show-toplevel)"
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
names=("$@")
if [ ${#names[@]} -eq 0 ]; then
  for f in proctest/red/*.patch; do names+=("$(basename "$f" .patch)"); done
fi
green=0
for name in "${names[@]}"; do
  patch=proctest/red/$name.patch
  tree=$scratch/$name
  mkdir "$tree"
  git archive HEAD | tar -x -C "$tree"
  (cd "$tree" && grep -v '^# ' "proctest/red/$name.patch" | git apply -)
  tests=$(sed -n 's/^# test: //p' "$patch")
  package=$(sed -n 's/^# package: //p' "$patch")
  out=$scratch/$name.out
  if (cd "$tree" && go test -count 1 -run "$tests" "${package:-./proctest/}" >"$out" 2>&1); then
    green=$((green + 1))
    echo "NOT RED  $name ($tests)"
  elif ! grep -q -- '--- FAIL: ' "$out"; then
    green=$((green + 1))
    echo "NOT RUN  $name: $(head -3 "$out" | tr '\n' ' ')"
  else
    echo "red      $name: $(grep -cE '^ +[a-z]+_test.go:[0-9]+: ' "$out") lines; first: $(grep -E '^ +[a-z]+_test.go:[0-9]+: ' "$out" | grep -vE 'sent [0-9]+|answers, ' | head -1 | sed 's/^ *//' | cut -c1-150)"
    grep -E 'violations|FAIL: ' "$out" | sed 's/^/         /' || true
  fi
  rm -rf "$tree"
done
echo "${#names[@]} mechanisms taken out, $green not noticed or not run"
[ "$green" -eq 0 ]
