#!/usr/bin/env bash
# Runs all tests with the race detector. Tests listed in KNOWN-RED.txt are printed
# and skipped. Arguments are passed to go test.
set -euo pipefail
cd "$(dirname "$0")/.."

skip=()
if [ -s KNOWN-RED.txt ]; then
  echo "known to fail, skipped:"
  sed 's/^/  /' KNOWN-RED.txt
  names=$(grep -oE '^Test[A-Za-z0-9_]+' KNOWN-RED.txt | paste -sd '|' || true)
  [ -z "$names" ] || skip=(-skip "^(${names})\$")
fi
go test -race -count=1 -timeout 20m -json "${skip[@]}" "${@:-./...}" | go run ./internal/testreport
