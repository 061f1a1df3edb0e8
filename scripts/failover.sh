#!/usr/bin/env bash
# Measures from the logs of the processes how long services have no primary, on the
# users' test bench:
#   FLEETBENCH=PROGRAM scripts/failover.sh SITE [SEEDS [FIRST]]
# For each scenario in deploy/failover it prints the minimum, median and maximum over
# SEEDS (default 20) seeds from FIRST (default 1) on, in ms, from the fault until the
# control leader began a term (detected), until it ordered the promotion (ordered)
# and until the last proxy found the new primary (known).
set -euo pipefail
cd "$(dirname "$0")/.."
site=$1 seeds=${2:-20} first=${3:-1}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

# run_scenario runs one scenario with one seed and stores its log. A failed run does
# not stop the script: its log counts only if it shows a failover.
run_scenario() {
  "$FLEETBENCH" run "$site" "$1" --vary --seed "$2" --no-cpu --until 14 --log core,front --jobs 1 \
    --why "failover, $(basename "$1" .toml)" >"$out/$(basename "$1" .toml).$2.log" 2>&1 || true
}

# failover_times prints "detected ordered known" of one log, or nothing if the log
# has no failover. The bench prints the time of the fault after the log lines.
failover_times() {
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

for scenario in deploy/failover/*.toml; do
  for ((seed = first; seed < first + seeds; seed++)); do
    run_scenario "$scenario" "$seed" &
    while (($(jobs -rp | wc -l) >= 4)); do wait -n; done
  done
  wait
  name=$(basename "$scenario" .toml)
  for log in "$out/$name".*.log; do failover_times "$log"; done >"$out/$name.times"
  printf '%-28s %2d of %d' "$name" "$(wc -l <"$out/$name.times")" "$seeds"
  for column in 1 2 3; do
    awk -v c="$column" '{ print $c }' "$out/$name.times" | sort -n |
      awk -v n="$column" '{ v[NR] = $1 } END { if (NR) printf "  %s %d/%d/%d", (n==1 ? "detected" : n==2 ? "ordered" : "known"), v[1], v[int((NR+1)/2)], v[NR] }'
  done
  echo
done
