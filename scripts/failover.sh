#!/usr/bin/env bash
# Measures how long services are without a primary on the users' bench, from the
# processes' logs:
#   FLEETBENCH=PROGRAM scripts/failover.sh SITE [SEEDS [FIRST]]
# For each day below deploy/failover: minimum, median and maximum over SEEDS (20)
# seeds, in ms, from the fault until the control leader began a term (detected),
# until it called for the promotion (ordered) and until the last proxy knew the new
# primary (known).
set -euo pipefail
cd "$(dirname "$0")/.."
site=$1 seeds=${2:-20} first=${3:-1}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

play() {
  "$FLEETBENCH" run "$site" "$1" --vary --seed "$2" --no-cpu --until 14 --log core,front --jobs 1 \
    --why "failover, $(basename "$1" .toml)" >"$out/$(basename "$1" .toml).$2.log" 2>&1 || true
}

# times prints "detected ordered known" of one log, or nothing without a failover.
# The time of the fault stands behind the log lines.
times() {
  local fault
  fault=$(awk '/ s to .*(srv_crash|primary_cut|release)/ { print $1; exit }' "$1")
  [ -n "$fault" ] || return 0
  awk -v fault="$fault" '
    $1 + 0 < fault { next }
    /"term_begun"/ && !begun { begun = $1; match($0, /service="[^"]*"/); service = substr($0, RSTART, RLENGTH) }
    /"promotion_called".*status=200/ && begun && !called { called = $1 }
    /"leader_found"/ && / target=/ && called && index($0, service) && !($2 in known) { known[$2]; last = $1 }
    END { if (last) printf "%d %d %d\n", 1000*(begun-fault), 1000*(called-fault), 1000*(last-fault) }' "$1"
}

for day in deploy/failover/*.toml; do
  for ((seed = first; seed < first + seeds; seed++)); do
    play "$day" "$seed" &
    while (($(jobs -rp | wc -l) >= 4)); do wait -n; done
  done
  wait
  name=$(basename "$day" .toml)
  for log in "$out/$name".*.log; do times "$log"; done >"$out/$name.times"
  printf '%-28s %2d of %d' "$name" "$(wc -l <"$out/$name.times")" "$seeds"
  for column in 1 2 3; do
    awk -v c="$column" '{ print $c }' "$out/$name.times" | sort -n |
      awk -v n="$column" '{ v[NR] = $1 } END { if (NR) printf "  %s %d/%d/%d", (n==1 ? "detected" : n==2 ? "ordered" : "known"), v[1], v[int((NR+1)/2)], v[NR] }'
  done
  echo
done
