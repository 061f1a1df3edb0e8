#!/usr/bin/env bash
# Runs the fault soak with fresh seeds, some side by side:
#   scripts/soak.sh [SEEDS [FIRST [LENGTH]]]
# SEEDS (50) runs from seed FIRST (drawn), faults for LENGTH (20s) in each.
# A seed that fails goes into platform/testdata/failed_seeds.txt with its cause.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-50}
first=${2:-$RANDOM$RANDOM}
echo "seeds $first to $((first + seeds - 1))"
SOAK_SEEDS=$seeds SOAK_FIRST=$first SOAK_LENGTH=${3:-20s} \
  go test ./platform -run '^TestSoak$' -count=1 -parallel 3 -timeout 60m -v
