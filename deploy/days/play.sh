#!/usr/bin/env bash
# Plays all days of our own on a site and prints those with a broken rule.
# usage: play.sh BENCH SITE.toml [JOBS [PATTERN]]; run it in the repository
set -euo pipefail
bench=$1
site=$2
jobs=${3:-6}
pattern=${4:-}
days=$(mktemp -d)
"$(dirname "$0")/make.sh" "$site" "$days/days"
mkdir "$days/out"
ls "$days"/days/*"$pattern"*.toml | xargs -P "$jobs" -I{} sh -c \
  '"$0" run "$1" "$2" --jobs 1 --why "own day $(basename "$2" .toml)" >"$3/out/$(basename "$2" .toml).txt" 2>&1 || true' "$bench" "$site" {} "$days"
broken=0
for f in "$days"/out/*.txt; do
  if ! grep -qE '^((fault|plan|special|place|rare)-|rejoined )' "$f"; then
    echo "$(basename "$f" .txt): not played: $(tail -1 "$f")"
    broken=$((broken + 1))
  elif grep -q BROKEN "$f"; then
    echo "$(basename "$f" .txt): $(grep -oE 'BROKEN.*' "$f" | head -1)"
    broken=$((broken + 1))
  fi
done
echo "$(ls "$days/out" | wc -l) days, $broken with a rule broken or not played; reports in $days/out"
