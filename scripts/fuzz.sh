#!/usr/bin/env bash
# Runs every native fuzz target in turn, each for FUZZTIME (default 60s), then
# the tests of every package under core that uses rapid, with FUZZCHECKS checks
# (default 2000) of each property and the seed FUZZSEED (default 1). Prints
# what each one found. FUZZTIMEOUT (default 30m) bounds the tests of a package.
set -euo pipefail
cd "$(dirname "$0")/.."

fuzztime=${FUZZTIME:-60s}
checks=${FUZZCHECKS:-2000}
seed=${FUZZSEED:-1}
timeout=${FUZZTIMEOUT:-30m}

while IFS=: read -r file target; do
  echo "fuzz $target in $(dirname "$file") for $fuzztime"
  # Shrinking one input may take longer than FUZZTIME, and then counts as a failure.
  go test -run '^$' -fuzz "^${target}\$" -fuzztime "$fuzztime" -fuzzminimizetime 10x "./$(dirname "$file")"
done < <(git ls-files '*_test.go' | xargs grep -HoE '^func Fuzz[A-Za-z0-9_]+' | sed 's/func //')

# All packages run, so that one failure hides no other.
failed=0
while read -r package; do
  echo "rapid package=$package seed=$seed checks=$checks"
  go test -count 1 -timeout "$timeout" "./$package" -rapid.seed "$seed" -rapid.checks "$checks" || failed=1
done < <(git ls-files 'core/*_test.go' | xargs grep -lF 'rapid.Check(' | xargs -n 1 dirname | sort -u)
exit "$failed"
