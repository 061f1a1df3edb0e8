#!/usr/bin/env bash
# Runs the fault-injection soak test with new seeds, up to 3 in parallel:
#   scripts/soak.sh [SEEDS [FIRST [LENGTH]]]
# Runs SEEDS (default 50) seeds from FIRST (default random) on, and injects faults for
# LENGTH (default 20s) in each. Add a seed that fails, with its cause, to
# platform/testdata/failed_seeds.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-50}
first=${2:-$RANDOM$RANDOM}
echo "seeds $first to $((first + seeds - 1))"
SOAK_SEEDS=$seeds SOAK_FIRST=$first SOAK_LENGTH=${3:-20s} \
  go test ./platform -run '^TestSoak$' -count=1 -parallel 3 -timeout 60m -v
