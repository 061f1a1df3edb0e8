#!/usr/bin/env bash
# Runs the case that claim.txt beside this file describes. Exit status: 1 the rule was
# broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
exec target/review-rig failed-begin review/4/record.txt
