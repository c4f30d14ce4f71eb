#!/usr/bin/env bash
# Writes days of our own for a site into a folder: each kind of trouble alone and twice, the kinds in pairs with an
# outage of the store, a burst and a rolling restart, and the days that show that no machine is special.
# usage: make.sh SITE.toml FOLDER
set -euo pipefail
site=$1
out=$2
mkdir -p "$out"
traffic=$(awk '/^traffic = \[/{p=1} p{print} p&&/^\]/{exit}' "$site")
zones=$(awk '/^zones = \[/{p=1;next} p&&/^\]/{exit} p' "$site" | sed -E 's/.*name = "([^"]+)".*/\1/')
pools=$(awk '/^services = \[/{p=1;next} p&&/^\]/{exit} p&&/stage = /' "$site" | sed -E 's/.*\{ name = "([^"]+)".*/\1/')
engines=$(awk '/^services = \[/{p=1;next} p&&/^\]/{exit} p&&/llm = /' "$site" | sed -E 's/.*\{ name = "([^"]+)".*/\1/')

# day NAME PLAN FAULTS
day() {
  cat >"$out/$1.toml" <<END
name = "$1"
slot = "trouble"
seed = $((RANDOM * 32768 + RANDOM))
labels = []
plan = [
$2
]
faults = [
$3
]
$traffic
END
}

RANDOM=7 # the same days each time

plans=(
  'kind = "release", share = 0.5, gap_s = 0.8'
  'kind = "scale_in", share = 0.2'
  'kind = "scale_out", share = 0.3, gap_s = 0.5'
  'kind = "roll_term", share = 1.0, gap_s = 1.2'
  'kind = "roll_term", how = "busy", gap_s = 1.0'
  'kind = "hup", share = 1.0, gap_s = 2.0'
  'kind = "config_change", how = "route"'
  'kind = "config_change", how = "weights"'
  'kind = "config_change", how = "timeout"'
  'kind = "config_change", how = "tenant"'
  'kind = "config_storm", for_s = 4.0, gap_s = 0.1'
  'kind = "big_config", count = 350'
  'kind = "revoke", count = 3, gap_s = 0.5'
  'kind = "revoke", count = 2, gap_s = 0.5, how = "last"'
)
faults=(
  'kind = "burst", x = 2.5, for_s = 5.0'
  'kind = "retry_abuse", share = 0.4, x = 4.0, for_s = 6.0'
  'kind = "give_up", share = 0.3, for_s = 6.0'
  'kind = "srv_slow", share = 0.3, x = 5.0, for_s = 6.0'
  'kind = "srv_grey", share = 0.25, how = "errors", for_s = 6.0'
  'kind = "srv_grey", share = 0.25, how = "hang", for_s = 6.0'
  'kind = "srv_grey", share = 0.25, how = "mute", for_s = 6.0'
  'kind = "srv_grey", share = 0.25, how = "reset", for_s = 6.0'
  'kind = "srv_grey", share = 0.25, how = "shed", for_s = 6.0'
  'kind = "answer_lost", share = 0.6, x = 0.3, for_s = 5.0'
  'kind = "answer_lost", share = 0.6, x = 0.3, for_s = 5.0, how = "reset"'
  'kind = "garble", share = 0.6, x = 0.05, for_s = 5.0'
  'kind = "garble", share = 0.6, x = 0.05, for_s = 5.0, how = "extra"'
  'kind = "garble", share = 0.6, x = 0.05, for_s = 5.0, how = "extra late"'
  'kind = "garble", share = 0.6, x = 0.05, for_s = 5.0, how = "unframed"'
  'kind = "garble", share = 0.6, x = 0.2, for_s = 5.0, how = "early"'
  'kind = "garble", share = 0.6, x = 0.2, for_s = 5.0, how = "rot"'
  'kind = "node_kill", share = 0.3, for_s = 3.0'
  'kind = "node_kill", share = 0.3, for_s = 3.0, how = "power"'
  'kind = "node_freeze", share = 0.3, for_s = 4.0'
  'kind = "node_slow", share = 0.3, x = 5.0, for_s = 5.0'
  'kind = "clock_step", share = 0.5, x = 3000.0, for_s = 5.0'
  'kind = "clock_step", share = 0.5, x = 3000.0, for_s = 5.0, how = "back"'
  'kind = "herd_kill", share = 0.6, for_s = 2.0, on = "core"'
  'kind = "herd_kill", share = 0.6, for_s = 2.0, how = "power"'
  'kind = "after_ack_kill", for_s = 3.0'
  'kind = "reset_conns", share = 0.5, x = 0.6'
  'kind = "core_cut", count = 2, for_s = 5.0'
  'kind = "core_cut", for_s = 5.0, how = "leader race"'
  'kind = "core_cut", for_s = 5.0, how = "reset"'
  'kind = "node_cut", share = 0.35, for_s = 6.0, how = "meet"'
  'kind = "node_cut", share = 0.35, for_s = 6.0, how = "all"'
  'kind = "node_cut", share = 0.35, for_s = 6.0, how = "reset revoke"'
  'kind = "node_cut", share = 0.35, for_s = 6.0, how = "servers"'
  'kind = "srv_cut", share = 0.3, for_s = 5.0'
  'kind = "srv_cut", share = 0.3, for_s = 5.0, how = "fronts"'
  'kind = "srv_cut", share = 0.3, for_s = 5.0, how = "some"'
  'kind = "srv_cut", share = 0.3, for_s = 5.0, how = "reset"'
  'kind = "replace_with_reuse", share = 0.2'
  'kind = "replace_with_reuse", share = 0.2, how = "drain"'
  'kind = "replace_with_reuse", share = 0.2, how = "dark"'
  'kind = "platform_down", for_s = 5.0, how = "silent"'
  'kind = "platform_down", for_s = 5.0, how = "busy"'
  'kind = "platform_down", for_s = 5.0, how = "reset lapse"'
  'kind = "platform_down", for_s = 8.0, share = 0.4, how = "nodes busy revoke meet drain"'
  'kind = "platform_down", for_s = 8.0, share = 0.4, how = "nodes many leader"'
  'kind = "platform_down", for_s = 8.0, share = 0.4, how = "nodes reset"'
  'kind = "platform_slow", x = 60.0, for_s = 5.0'
  'kind = "platform_lost", x = 0.4, for_s = 5.0'
  'kind = "platform_lost", x = 0.4, for_s = 5.0, how = "late"'
  'kind = "platform_compact", x = 5.0, for_s = 10.0'
  'kind = "platform_compact", x = 5.0, for_s = 10.0, how = "drain"'
)
for z in $zones; do
  faults+=("kind = \"lossy\", x = 0.03, for_s = 5.0, zone = \"$z\"")
done
for s in $engines $pools; do
  faults+=("kind = \"srv_crash\", share = 0.25, for_s = 5.0, service = \"$s\"")
  faults+=("kind = \"srv_crash\", share = 0.25, for_s = 5.0, service = \"$s\", how = \"dark\"")
done

entry() { echo "  { at = $1, $2 },"; }

n=0
for p in "${plans[@]}"; do
  n=$((n + 1))
  id=$(printf 'plan-%02d' $n)
  day "$id-alone" "$(entry 6.0 "$p")" ""
  day "$id-twice" "$(entry 5.0 "$p")
$(entry 18.0 "$p")" ""
  day "$id-outage" "$(entry 9.0 "$p")" "$(entry 7.0 'kind = "platform_down", for_s = 6.0, how = "silent lapse"')"
  day "$id-burst" "$(entry 9.0 "$p")" "$(entry 7.0 'kind = "burst", x = 2.2, for_s = 6.0')"
done
n=0
for f in "${faults[@]}"; do
  n=$((n + 1))
  id=$(printf 'fault-%02d' $n)
  day "$id-alone" "" "$(entry 6.0 "$f")"
  day "$id-twice" "" "$(entry 5.0 "$f")
$(entry 18.0 "$f")"
  day "$id-outage" "" "$(entry 9.0 "$f")
$(entry 7.0 'kind = "platform_down", for_s = 6.0, how = "silent lapse"')"
  day "$id-burst" "" "$(entry 9.0 "$f")
$(entry 7.0 'kind = "burst", x = 2.2, for_s = 6.0')"
  day "$id-restart" "$(entry 5.0 'kind = "roll_term", share = 1.0, gap_s = 1.2')" "$(entry 8.0 "$f")"
done

# No machine is special: the owner of the pools is killed wherever it goes, each zone is cut off in turn, the store is down from second 2 to 30 (a store that is down when the bench reads the configuration back at the end breaks CONFIG by itself).
kills=""
for at in 4 7 10 13 16 19 22 25 28; do
  kills+="$(entry $at.0 'kind = "node_kill", on = "core", count = 1, for_s = 1.0, how = "turn"')
"
done
day "special-owner-killed" "" "$kills"
cuts=""
at=3
for z in $zones; do
  cuts+="$(entry $at.0 "kind = \"node_cut\", share = 1.0, zone = \"$z\", for_s = 5.0, how = \"all\"")
"
  at=$((at + 7))
done
day "special-zones-cut" "" "$cuts"
for how in silent busy reset; do
  day "special-store-down-$how" "" "$(entry 2.0 "kind = \"platform_down\", for_s = 28.0, how = \"$how lapse\"")"
done

# Where halls may be emptied: one, two, overlapping, for a moment, all; taken back while the store is away, while replicas
# are replaced, in a start of all; replicas that turn cold under a burst; clients that leave while replicas are slow.
if grep -qE '^contracts = .*"places"' "$site"; then
  first=$(sed -n 1p <<<"$zones")
  second=$(sed -n 2p <<<"$zones")
  last=$(tail -1 <<<"$zones")
  plain=$(awk '/^services = \[/{p=1;next} p&&/^\]/{exit} p&&!/llm = |stage = /' "$site" | sed -E 's/.*\{ name = "([^"]+)".*/\1/' | head -1)
  evacuate() { entry "$1" "kind = \"evacuate\", zone = \"$2\", for_s = $3${4:+, how = \"$4\"}"; }
  burst=$(entry 11.0 'kind = "burst", x = 2.5, for_s = 6.0')
  day "place-one" "$(evacuate 6.0 "$first" 6.0)" "$burst"
  day "place-one-warm" "$(evacuate 6.0 "$first" 6.0 warm)" "$burst"
  day "place-two" "$(evacuate 6.0 "$first" 6.0)
$(evacuate 6.0 "$second" 6.0)" "$burst"
  day "place-overlapping" "$(evacuate 5.0 "$first" 8.0)
$(evacuate 8.0 "$second" 8.0)" "$burst"
  day "place-moments" "$(for at in 4 7 10 13 16 19 22; do evacuate $at.0 "$first" 1.0; done)" "$burst"
  day "place-all" "$(for z in $zones; do evacuate 8.0 "$z" 5.0; done)" ""
  for how in silent busy reset; do
    day "place-back-$how" "$(evacuate 4.0 "$first" 6.0)" "$(entry 8.0 "kind = \"platform_down\", for_s = 5.0, how = \"$how\"")"
    day "place-begin-$how" "$(evacuate 9.0 "$first" 8.0)" "$(entry 7.0 "kind = \"platform_down\", for_s = 5.0, how = \"$how lapse\"")"
  done
  day "place-nodes" "$(evacuate 8.0 "$first" 8.0)" "$(entry 6.0 'kind = "platform_down", for_s = 8.0, share = 0.4, how = "nodes silent leader"')"
  day "place-compact" "$(evacuate 6.0 "$first" 9.0)" "$(entry 5.0 'kind = "platform_compact", x = 5.0, for_s = 12.0')"
  day "place-slow" "$(evacuate 6.0 "$first" 6.0)" "$(entry 5.0 'kind = "platform_slow", x = 60.0, for_s = 9.0')"
  day "place-cut" "$(evacuate 6.0 "$first" 6.0)" "$(entry 5.0 'kind = "node_cut", share = 0.35, for_s = 6.0, how = "all"')"
  day "place-release" "$(evacuate 6.0 "$first" 6.0)
$(entry 5.0 'kind = "release", share = 0.5, gap_s = 0.8')" "$burst"
  day "place-roll" "$(evacuate 6.0 "$first" 8.0)
$(entry 5.0 'kind = "roll_term", share = 1.0, gap_s = 1.2')" ""
  day "place-herd" "$(evacuate 6.0 "$first" 8.0)" "$(entry 9.0 'kind = "herd_kill", share = 1.0, for_s = 1.0')"
  for z in $first $last; do
    day "place-cold-$z" "" "$(entry 6.0 "kind = \"cold_return\", zone = \"$z\", for_s = 3.0")
$burst"
  done
  day "place-cold-plain" "" "$(entry 6.0 "kind = \"srv_crash\", service = \"$plain\", share = 0.8, for_s = 4.0, how = \"across\"")
$burst"
  day "place-cold-twice" "" "$(entry 5.0 "kind = \"cold_return\", zone = \"$first\", for_s = 2.0")
$(entry 12.0 "kind = \"cold_return\", zone = \"$first\", for_s = 2.0, how = \"dark\"")
$(entry 14.0 "kind = \"herd_kill\", share = 1.0, for_s = 1.0")"
  day "place-leavers" "" "$(entry 5.0 'kind = "give_up", share = 0.6, for_s = 20.0')
$(for s in $engines $pools $plain; do entry 8.0 "kind = \"srv_slow\", service = \"$s\", share = 0.5, x = 5.0, for_s = 10.0"; done)"
  day "place-leavers-x" "" "$(entry 5.0 'kind = "give_up", share = 0.6, x = 300.0, for_s = 20.0')
$(entry 9.0 'kind = "burst", x = 3.0, for_s = 8.0')"
fi
# Kinds that standard days seldom or never have, several in one day, so that a large site is hunted in few plays: addresses
# used again, cuts between replicas and instances, instances that stand still or go slow, clocks that jump, connections
# forgotten as they are used, a start of all while the store is slow, leavers while all replicas are slow, more replicas.
slow=$(for s in $engines $pools; do entry 8.0 "kind = \"srv_slow\", service = \"$s\", share = 0.5, x = 5.0, for_s = 12.0"; done)
day "rare-reuse" "" "$(entry 4.0 'kind = "replace_with_reuse", share = 0.15')
$(entry 12.0 'kind = "replace_with_reuse", share = 0.15, how = "drain"')
$(entry 20.0 'kind = "replace_with_reuse", share = 0.15, how = "dark"')"
day "rare-reuse-outage" "" "$(entry 6.0 'kind = "replace_with_reuse", share = 0.2, how = "side"')
$(entry 5.0 'kind = "platform_down", for_s = 7.0, how = "silent lapse"')
$(entry 20.0 'kind = "replace_with_reuse", share = 0.2, how = "dark"')
$(entry 19.0 'kind = "platform_slow", x = 60.0, for_s = 6.0')"
day "rare-cut" "" "$(entry 4.0 'kind = "srv_cut", share = 0.25, for_s = 4.0')
$(entry 12.0 'kind = "srv_cut", share = 0.25, for_s = 4.0, how = "fronts"')
$(entry 20.0 'kind = "srv_cut", share = 0.25, for_s = 4.0, how = "some"')"
day "rare-cut-reborn" "" "$(entry 4.0 'kind = "srv_cut", share = 0.25, for_s = 4.0, how = "reborn"')
$(entry 12.0 'kind = "srv_cut", share = 0.25, for_s = 4.0, how = "one_way"')
$(entry 20.0 'kind = "srv_cut", share = 0.25, for_s = 4.0, how = "some lossy"')"
day "rare-cut-reset" "$(entry 5.0 'kind = "release", share = 0.5, x = 4.0, gap_s = 0.8')" "$(entry 6.0 'kind = "srv_cut", share = 0.25, for_s = 5.0, how = "reset"')
$(entry 16.0 'kind = "node_cut", share = 0.2, for_s = 5.0, how = "servers reborn"')"
day "rare-freeze" "" "$(entry 4.0 'kind = "node_freeze", share = 0.2, for_s = 4.0')
$(entry 13.0 'kind = "node_freeze", share = 0.2, for_s = 3.0, how = "renewed"')
$(entry 21.0 'kind = "node_freeze", share = 0.3, for_s = 1.0')"
day "rare-freeze-release" "$(entry 5.0 'kind = "release", share = 0.5, x = 4.0, gap_s = 0.8')
$(entry 18.0 'kind = "scale_in", share = 0.15')" "$(entry 7.0 'kind = "node_freeze", share = 0.3, for_s = 5.0')
$(entry 18.0 'kind = "node_freeze", share = 0.3, for_s = 4.0')"
day "rare-clock" "" "$(entry 4.0 'kind = "clock_step", share = 0.5, x = 3000.0, for_s = 5.0')
$(entry 12.0 'kind = "clock_step", share = 0.5, x = 5000.0, for_s = 5.0, how = "back"')
$(entry 20.0 'kind = "clock_step", share = 0.4, x = 60000.0, for_s = 4.0, how = "ahead"')
$(entry 21.0 'kind = "platform_down", for_s = 4.0, how = "reset lapse"')"
day "rare-node-slow" "" "$(entry 5.0 'kind = "node_slow", share = 0.25, x = 5.0, for_s = 6.0')
$(entry 16.0 'kind = "node_slow", share = 0.25, x = 10.0, for_s = 5.0')
$(entry 16.0 'kind = "burst", x = 1.8, for_s = 5.0')"
day "rare-idle" "$(entry 14.0 'kind = "roll_term", share = 0.5, x = 4.0, gap_s = 1.0')" "$(entry 4.0 'kind = "idle_race", share = 0.5, x = 300.0, for_s = 10.0')
$(entry 16.0 'kind = "idle_race", share = 1.0, x = 100.0, for_s = 10.0')"
day "rare-herd-slow" "" "$(entry 5.0 'kind = "platform_slow", x = 60.0, for_s = 12.0')
$(entry 7.0 'kind = "herd_kill", share = 1.0, for_s = 1.0')"
day "rare-herd-slow-power" "" "$(entry 5.0 'kind = "platform_slow", x = 100.0, for_s = 10.0')
$(entry 8.0 'kind = "herd_kill", share = 1.0, for_s = 2.0, how = "power"')
$(entry 9.0 'kind = "platform_lost", x = 0.3, for_s = 6.0, how = "late"')"
day "rare-leavers" "" "$(entry 5.0 'kind = "give_up", share = 0.6, for_s = 20.0')
$slow"
day "rare-leavers-prompt" "" "$(entry 5.0 'kind = "give_up", share = 0.6, x = 300.0, for_s = 20.0, how = "prompt"')
$slow
$(entry 10.0 'kind = "burst", x = 2.0, for_s = 6.0')"
day "rare-scale-out" "$(entry 6.0 'kind = "scale_out", share = 0.4, gap_s = 0.3')
$(entry 18.0 'kind = "scale_in", share = 0.25, how = "spot"')" "$(entry 5.0 'kind = "burst", x = 2.0, for_s = 8.0')"
# Where the loss of a hall is to be borne.
if awk '/^\[tolerate\]/{p=1;next} /^\[/{p=0} p&&/^zones = [1-9]/{found=1} END{exit !found}' "$site"; then
  z=$(head -1 <<<"$zones")
  day "rare-hall-lost" "" "$(entry 6.0 "kind = \"zone_loss\", zone = \"$z\", for_s = 6.0")
$(entry 18.0 'kind = "zone_loss", for_s = 3.0')"
  day "rare-hall-cut" "" "$(entry 6.0 "kind = \"zone_cut\", zone = \"$z\", for_s = 6.0")
$(entry 18.0 'kind = "zone_cut", for_s = 5.0')"
  day "rare-hall-cut-release" "$(entry 5.0 'kind = "release", share = 0.5, x = 4.0, gap_s = 0.8')" "$(entry 6.0 "kind = \"zone_cut\", zone = \"$z\", for_s = 6.0")
$(entry 18.0 "kind = \"zone_loss\", zone = \"$z\", for_s = 3.0")"
fi
# rejoined.toml, with the first service that has an engine in place of scribe-pool and its first kind of stream that
# clients ask again in place of manual-digest.
engine=$(awk '/^services = \[/{p=1;next} p&&/^\]/{exit} p&&/model = "llm"/{split($0,f,"\"");print f[2];exit}' "$site")
stream=$(awk -v service="service = \"$engine\"" '/^classes = \[/{p=1;next} p&&/^\]/{exit}
  p&&/kind = "stream"/&&/retries = [1-9]/&&index($0,service){split($0,f,"\"");print f[2];exit}' "$site")
if [ -n "$engine" ] && [ -n "$stream" ]; then
  sed -e "s/scribe-pool/$engine/g" -e "s/manual-digest/$stream/g" "$(dirname "$0")/rejoined.toml" >"$out/rejoined.toml"
fi
echo "$(ls "$out" | wc -l) days in $out"
