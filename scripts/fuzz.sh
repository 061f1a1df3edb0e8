#!/usr/bin/env bash
# Runs every native fuzz target for FUZZTIME (default 60s), one after the other, then
# the tests of every package under core that uses rapid, with FUZZCHECKS (default
# 2000) checks of each property and the seed FUZZSEED (default 1). Prints the failures.
# FUZZTIMEOUT (default 30m) limits the tests of a package.
set -euo pipefail
cd "$(dirname "$0")/.."

fuzztime=${FUZZTIME:-60s}
checks=${FUZZCHECKS:-2000}
seed=${FUZZSEED:-1}
timeout=${FUZZTIMEOUT:-30m}

while IFS=: read -r file target; do
  echo "fuzz $target in $(dirname "$file") for $fuzztime"
  # Minimizing an input may take longer than FUZZTIME, which go test reports as a
  # failure, so the number of attempts is limited.
  go test -run '^$' -fuzz "^${target}\$" -fuzztime "$fuzztime" -fuzzminimizetime 10x "./$(dirname "$file")"
done < <(git ls-files '*_test.go' | xargs grep -HoE '^func Fuzz[A-Za-z0-9_]+' | sed 's/func //')

# Runs all packages even if one fails, so that all failures are reported.
failed=0
while read -r package; do
  echo "rapid package=$package seed=$seed checks=$checks"
  go test -count 1 -timeout "$timeout" "./$package" -rapid.seed "$seed" -rapid.checks "$checks" || failed=1
done < <(git ls-files 'core/*_test.go' | xargs grep -lF 'rapid.Check(' | xargs -n 1 dirname | sort -u)
exit "$failed"
