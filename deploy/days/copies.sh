#!/usr/bin/env bash
# Hunts days on copies of a site that are changed as an unseen deployment would be: other processors and memory, other
# counts of machines and replicas, other bounds, one zone less, halls that are emptied. Prints the days with a broken rule.
# usage: copies.sh BENCH SITE.toml [JOBS [DAYS [PATTERN [WIRE]]]]; run it in the repository. WIRE names what the halls' copy
# needs (warmup_per_s among its fields); without it that copy is not made.
set -euo pipefail
bench=$1
site=$2
jobs=${3:-4}
days=${4:-12}
pattern=${5:-}
wire=${6:-$(dirname "$site")/wire.json}
out=$(mktemp -d)
cp "$wire" "$out/wire.json"

zones=$(awk '/^zones = \[/{p=1;next} p&&/^\]/{exit} p' "$site" | sed -E 's/.*name = "([^"]+)".*/\1/')
first=$(head -1 <<<"$zones")
second=$(sed -n 2p <<<"$zones")
last=$(tail -1 <<<"$zones")

# machines PROGRAM: the site with a sed program run over the lines of its machines
machines() { sed -E "/^machines = \[/,/^\]/{ $1 }" "$site"; }

machines 's/cpu_share = [0-9.]+/cpu_share = 0.1/; s/memory_mb = [0-9]+/memory_mb = 96/' >"$out/cores-0.1.toml"
machines 's/cpu_share = [0-9.]+/cpu_share = 1.0/; s/cores = [0-9]+/cores = 4/' >"$out/cores-4.toml"
machines 's/count = [0-9]+/count = 1/' >"$out/machines-1.toml"
machines 's/count = [0-9]+/count = 2/' >"$out/machines-2.toml" # each hall's reader has one to hand over to
machines 's/count = [0-9]+/count = 4/' >"$out/machines-4.toml"
machines 's/link_mbps = [0-9.]+/link_mbps = 20.0/' >"$out/link-20.toml"
sed -E "/stage = /s/servers = \[[^]]*\]/servers = [{ zone = \"$first\", count = 1 }, { zone = \"$second\", count = 1 }]/" "$site" >"$out/pools-2.toml"
sed -E 's/^drain_ms = .*/drain_ms = 1500/; s/^config_ms = .*/config_ms = 1500/; s/^touch_ms = .*/touch_ms = 2500/; s/^grace_s = .*/grace_s = 5.0/' "$site" >"$out/bounds.toml"
sed -E "/^zones = \[/,/^\]/{ /\"$last\"/d }; s/\"$last\"/\"$first\"/g" "$site" >"$out/zone-less.toml"

# Halls that are emptied and taken back, replicas of every service that turn cold, clients that leave, and the newer rules.
if grep -q '"cold_per_s"' "$wire"; then
cold='s/cold_s = [0-9.]+/cold_s = 3.0/; s/, cold_per_s = [0-9.]+//; s/(cold_s = 3.0)/\1, cold_per_s = 1.5/'
sed -E -e 's/"tenants", "platform"/"tenants", "places", "platform"/' \
  -e "/^services = \[/,/^\]/{ $cold }" \
  -e 's/^by_machine = true/by_machine = true\nattends = true\ncloses = true\neven = true/' \
  -e "s/^troubles = \[/troubles = [\n  { kind = \"evacuate\", for_s = 6.0, zone = \"$first\" },\n  { kind = \"evacuate\", for_s = 3.0, zone = \"$second\", how = \"warm\" },\n  { kind = \"cold_return\", for_s = 3.0, zone = \"$last\" },\n  { kind = \"give_up\", share = 0.6, for_s = 6.0 },/" \
  "$site" >"$out/places.toml"
fi

broken=0
for copy in "$out"/*"$pattern"*.toml; do
  name=$(basename "$copy" .toml)
  log=$out/$name.txt
  "$bench" hunt "$copy" --days "$days" --jobs "$jobs" --why "hunt on a copy of $(basename "$site" .toml): $name" >"$log" 2>&1 || true
  line=$(grep -E 'with a rule broken' "$log" || true)
  echo "$name: ${line:-not played: $(tail -1 "$log")}"
  if [ -z "$line" ] || ! grep -q ' 0 with a rule broken' <<<"$line"; then
    broken=$((broken + 1))
    grep -E 'BROKEN' "$log" | head -5 || true
  fi
done
echo "$broken copies with a rule broken or not played; reports in $out"
