#!/usr/bin/env bash
# Runs two entries and four companions before stand-ins on loopback, sends a mix of requests and checks every answer.
# Exits 0 only if all held. With --keep it leaves everything running until it is interrupted.
set -euo pipefail
cd "$(dirname "$0")"

KEEP=false
case "${1:-}" in
  "") ;;
  --keep) KEEP=true ;;
  *) echo "usage: ./demo.sh [--keep]" >&2; exit 2 ;;
esac

PORT=${GERANIUMREACH_DEMO_PORT:-18000}
SECONDS_OF_LOAD=${GERANIUMREACH_DEMO_SECONDS:-20}
SKEW=2
rate_of() { if [ "$1" = sabarmati-reports ]; then echo 300; else echo 3000; fi; }
requests_of() { case $1 in sabarmati-floor) echo 10 ;; sabarmati-reports) echo 12 ;; *) echo 4 ;; esac; }
bookings_of() { case $1 in sabarmati-counter) echo 3 ;; siam-clerks) echo 2 ;; *) echo 0 ;; esac; }
# shellcheck source=tools/fleet.sh
. tools/fleet.sh

finish() {
  local code=$?
  trap - EXIT INT TERM
  stop_fleet
  if [ "$code" -ne 0 ]; then
    say "FAILED (exit $code); logs are in $RUN"
  fi
  exit "$code"
}

write_load() {
  local account
  cat <<YAML
seed: 1
seconds: $SECONDS_OF_LOAD
warmupSeconds: 3
drainSeconds: 40
mode: ENTRY
$(write_load_targets)
accounts:
YAML
  for account in $ACCOUNTS; do
    cat <<YAML
  - name: $account
    key: $(key_of "$account")
    requestsPerSecond: $(requests_of "$account")
    bookingsPerSecond: $(bookings_of "$account")
    repeatShare: 0.3
    streamedShare: 0.7
    chatShare: 0.5
    promptCharacters: 160
    maximumTokens: 40
    tokensPerSecond: $(rate_of "$account")
    burstTokens: $(burst_of "$account")
    adapters: {prefix: "rewind-", first: 0, count: $ADAPTERS, version: v1, zipfExponent: 1.1}
YAML
  done
}

try_by_hand() {
  local entry operators
  entry=$(url $((CALLERS + 1)))
  operators=$(address $((OPERATORS + 1)))
  cat <<TEXT
Everything is running; interrupt to end it. To try by hand:

  curl -s $entry/v1/models -H "Authorization: Bearer \$(cat $RUN/keys/sabarmati-floor)"
  curl -N $entry/v1/completions -H "Authorization: Bearer \$(cat $RUN/keys/sabarmati-floor)" \\
    -d '{"model": "rewind-3@v1", "prompt": "Draft a rewinding sheet.", "max_tokens": 20, "stream": true}'
  curl -s $entry/v1/services/job-cards/book -H "Authorization: Bearer \$(cat $RUN/keys/sabarmati-counter)" \\
    -H "Idempotency-Key: by-hand-1" -d '{"booking": "by-hand-1"}'
  bin/geraniumreachctl --entry $operators --credential-file $RUN/credential list account
  bin/geraniumreachctl --entry $operators --credential-file $RUN/credential withdraw key siam-clerks-key
  curl -s $(url $((ENTRY_MANAGEMENT + 1)))/metrics
TEXT
  wait
}

build
write_fleet
write_load >"$RUN/load.yaml"
trap finish EXIT
trap 'exit 130' INT TERM

say "starting the stand-ins"
start_standins
say "starting two entries and four companions"
start_system
say "submitting $(grep -c '^---' "$RUN/records.yaml") records"
submit_records
say "sending a mix for $SECONDS_OF_LOAD s; sabarmati-reports sends several times its rate"
standins load --settings "$RUN/load.yaml" --out "$RUN/result.json"
require_running
say "every answer was whole, from the adapter and version named and for its own account; no refused request ran;"
say "each booking ran once; and no account got more than its rate and burst in any window"
if $KEEP; then
  try_by_hand
fi
