#!/usr/bin/env bash
# Builds the program of the cases: clients, members, the platform and the operator. The
# scripts start it, and it starts the programs of the deploy file from target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/1/platform
