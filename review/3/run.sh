#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# Needs the build of deploy/balancer.toml and review/build.sh. Writes record.txt beside this script.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in review/bin/case target/release/tansyjunction; do
  [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec review/bin/case session review/3
