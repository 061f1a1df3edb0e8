#!/usr/bin/env bash
# Runs every native fuzz target in turn, each for FUZZTIME (default 60s), and
# prints what each one found.
set -euo pipefail
cd "$(dirname "$0")/.."

fuzztime=${FUZZTIME:-60s}
while IFS=: read -r file target; do
  echo "fuzz $target in $(dirname "$file") for $fuzztime"
  go test -run '^$' -fuzz "^${target}\$" -fuzztime "$fuzztime" "./$(dirname "$file")"
done < <(git ls-files '*_test.go' | xargs grep -HoE '^func Fuzz[A-Za-z0-9_]+' | sed 's/func //')
