#!/usr/bin/env bash
# Scores the deployments that have to hold before a landing, one after the other, and prints the closing lines of each.
# Usage: tools/regression.sh BENCH SITES_DIRECTORY [OPTION...]
# BENCH is the users' bench, SITES_DIRECTORY the folder that holds their site files; OPTIONs go to each score.
set -euo pipefail
if [ "$#" -lt 2 ]; then
  sed -n '2,4s/^# //p' "$0" >&2
  exit 2
fi
bench=$1
sites=$2
shift 2
cd "$(dirname "$0")/.."
failed=0
for site in sites/kerbside-permits further/rundgeld further-grown/rundgeld-grown large/srw-floor-large; do
  echo "== $site"
  output=$("$bench" score "$sites/$site.toml" --why "regression run" "$@") || failed=1
  printf '%s\n' "$output" | grep -E '^(score|day|quiet|trouble|scale|fresh|GATE|too slow)|short of|breaks|broken' || true
  printf '%s\n' "$output" | grep -q '^GATE passed' || failed=1
done
exit "$failed"
