#!/usr/bin/env bash
# Runs all tests with the race detector, and those of crowds of callers alone and without
# it, since they measure memory. Tests listed in KNOWN-RED.txt are printed and skipped.
# Arguments are passed to go test.
set -euo pipefail
cd "$(dirname "$0")/.."

crowds='^TestCrowd'
names=''
if [ -s KNOWN-RED.txt ]; then
  echo "known to fail, skipped:"
  sed 's/^/  /' KNOWN-RED.txt
  names=$(grep -oE '^Test[A-Za-z0-9_]+' KNOWN-RED.txt | paste -sd '|' || true)
fi
known=()
[ -z "$names" ] || known=(-skip "^(${names})\$")
go test -race -count=1 -timeout 20m -json -skip "^(${names:-none})\$|${crowds}" "${@:-./...}" | go run ./internal/testreport
go test -count=1 -p 1 -parallel 1 -timeout 20m -json "${known[@]}" -run "$crowds" "${@:-./...}" | go run ./internal/testreport
