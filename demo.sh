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

# All ports are counted from this one.
PORT=${GERANIUMREACH_DEMO_PORT:-18000}
SECONDS_OF_LOAD=${GERANIUMREACH_DEMO_SECONDS:-20}
RUN=demo-run
ADAPTERS=40
ACCOUNTS="sabarmati-floor sabarmati-counter sabarmati-reports siam-clerks siam-inspectors"
STARTED=()

port() { echo $((PORT + $1)); }
address() { echo "127.0.0.1:$(port "$1")"; }
url() { echo "http://$(address "$1")"; }
standins() { tools/standins.sh "$@"; }
control() { bin/geraniumreachctl --entry "$(address 61)" --credential-file "$RUN/credential" "$@"; }
secret() { od -An -tx1 -N32 /dev/urandom | tr -d ' \n'; }
digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }
say() { printf '%s\n' "== $*"; }

# The command replaces the shell that runs it, so that the id kept is that of the process to end.
start() { # log name, command
  local log=$RUN/$1.log
  shift
  "$@" >"$log" 2>&1 &
  STARTED+=($!)
}

require_running() {
  local id
  for id in "${STARTED[@]}"; do
    if ! kill -0 "$id" 2>/dev/null; then
      echo "a process ended early; its log is in $RUN (is a port from $PORT on taken?)" >&2
      exit 1
    fi
  done
}

# Ends what was started, the processes of the system first, and waits for each.
finish() {
  local code=$? index
  trap - EXIT INT TERM
  for ((index = ${#STARTED[@]} - 1; index >= 0; index--)); do
    kill -TERM "${STARTED[index]}" 2>/dev/null || true
  done
  for ((index = ${#STARTED[@]} - 1; index >= 0; index--)); do
    wait "${STARTED[index]}" 2>/dev/null || true
  done
  if [ "$code" -ne 0 ]; then
    say "FAILED (exit $code); logs are in $RUN"
  fi
  exit "$code"
}

build() {
  if [ -f daemon/target/geraniumreach-daemon-0.1.0-SNAPSHOT.jar ] \
    && [ -f control/target/geraniumreach-control-0.1.0-SNAPSHOT.jar ] \
    && [ -f standins/target/geraniumreach-standins-0.1.0-SNAPSHOT.jar ]; then
    return
  fi
  say "building"
  mvn -B -q -o -DskipTests package || mvn -B -q -DskipTests package
}

write_node() { # file, role, instance, domain, link, management
  cat >"$1" <<YAML
role: $2
node:
  instance: $3
  failureDomain: $4
  link: $5
  management: $6
  drainLimit: 20s
platform:
  table: $(address 0)
  objects: $(address 1)
  list: $(address 3)
YAML
}

write_entry() { # number, domain
  write_node "$RUN/entry-$1.yaml" entry "entry-$1" "$2" "$(address $((40 + $1)))" "$(address $((50 + $1)))"
  cat >>"$RUN/entry-$1.yaml" <<YAML
callers: $(address $((30 + $1)))
operator:
  address: $(address $((60 + $1)))
  credentialDigest: $(digest "$CREDENTIAL")
requests:
  bytesPerToken: 4
YAML
}

write_companion() { # number, domain, target, kind, target's address
  write_node "$RUN/companion-$1.yaml" companion "companion-$1" "$2" "$(address $((70 + $1)))" "$(address $((80 + $1)))"
  cat >>"$RUN/companion-$1.yaml" <<YAML
target:
  name: $3
  kind: $4
  address: $5
YAML
}

write_list() {
  local number
  {
    echo '['
    for number in 1 2; do
      registration "entry-$number" entry "guj-west-$number" $((40 + number)) $((50 + number))
      echo ','
    done
    for number in 1 2 3 4; do
      registration "companion-$number" companion "guj-west-$((number > 3 ? 1 : number))" $((70 + number)) $((80 + number))
      if [ "$number" -lt 4 ]; then echo ','; fi
    done
    echo ']'
  } >"$RUN/list.json"
}

registration() { # instance, role, domain, link, management
  printf '{"instance":"%s","role":"%s","failureDomain":"%s","linkAddress":"%s","healthUrl":"%s/healthz"}\n' \
    "$1" "$2" "$3" "$(address "$4")" "$(url "$5")"
}

# One record a document. Accounts are written in both schema versions, which are read side by side.
write_records() {
  local number account
  {
    for account in $ACCOUNTS; do
      write_account "$account"
      printf -- '--- {kind: key, name: %s-key, schemaVersion: 1, account: %s, digest: %s}\n' \
        "$account" "$account" "$(digest "$(key_of "$account")")"
    done
    for ((number = 0; number < ADAPTERS; number++)); do
      printf -- '--- {kind: adapter, name: rewind-%d, schemaVersion: 1, baseModel: winder, versions: [v1, v2]}\n' \
        "$number"
    done
    for account in $ACCOUNTS; do
      printf -- '--- {kind: assignment, name: %s-all, schemaVersion: 2, account: %s, adapters: [%s]}\n' \
        "$account" "$account" "$(seq -s ', ' -f 'rewind-%g' 0 $((ADAPTERS - 1)))"
    done
    printf -- '--- {kind: service, name: job-cards, schemaVersion: 1, operations: {book: {repeatable: false, tokens: 10}}}\n'
    for number in 1 2 3; do
      printf -- '--- {kind: target, name: engine-%d, schemaVersion: 1, failureDomain: guj-west-%d, baseModel: winder, slots: 8, checksFence: %s}\n' \
        "$number" "$number" "$([ "$number" -eq 3 ] && echo false || echo true)"
    done
    printf -- '--- {kind: target, name: job-cards-1, schemaVersion: 1, failureDomain: guj-west-1, service: job-cards, checksFence: false}\n'
  } >"$RUN/records.yaml"
}

write_account() { # account
  if [ "$1" = siam-inspectors ]; then
    printf -- '--- {kind: account, name: %s, schemaVersion: 1, rate: %d, burst: %d}\n' "$1" "$(rate_of "$1")" "$(burst_of "$1")"
  else
    printf -- '--- {kind: account, name: %s, schemaVersion: 2, tokensPerSecond: %d, burstTokens: %d}\n' "$1" "$(rate_of "$1")" "$(burst_of "$1")"
  fi
}

rate_of() { if [ "$1" = sabarmati-reports ]; then echo 300; else echo 3000; fi; }
burst_of() { echo $((2 * $(rate_of "$1"))); }
requests_of() { case $1 in sabarmati-floor) echo 10 ;; sabarmati-reports) echo 12 ;; *) echo 4 ;; esac; }
bookings_of() { case $1 in sabarmati-counter) echo 3 ;; siam-clerks) echo 2 ;; *) echo 0 ;; esac; }
key_of() { cat "$RUN/keys/$1"; }

write_load() {
  local account
  {
    cat <<YAML
seed: 1
seconds: $SECONDS_OF_LOAD
warmupSeconds: 3
drainSeconds: 40
mode: ENTRY
entries:
  - {url: "$(url 31)", weight: 2}
  - {url: "$(url 32)", weight: 1}
service: {name: job-cards, operation: book, ran: ["$(url 20)"]}
engines: ["$(url 10)", "$(url 11)", "$(url 12)"]
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
  } >"$RUN/load.yaml"
}

start_standins() {
  start platform tools/standins.sh platform --port "$(port 0)"
  start engines tools/standins.sh engine --ports "$(port 10),$(port 11)" --admin-port "$(port 18)" --weights "$(url 2)"
  start engine-without-fence tools/standins.sh engine --ports "$(port 12)" --admin-port "$(port 19)" --weights "$(url 2)" --ignore-fence
  start service tools/standins.sh service --ports "$(port 20)" --admin-port "$(port 29)"
  standins call --quiet --wait-seconds 30 "$(url 4)/admin/parts" "$(url 18)/admin/parts" "$(url 19)/admin/parts" "$(url 29)/admin/parts"
  require_running
  standins call --quiet --post "$RUN/list.json" "$(url 4)/admin/instances?part=list"
}

start_system() {
  local number
  for number in 1 2; do
    start "entry-$number" bin/geraniumreachd entry --settings "$RUN/entry-$number.yaml"
  done
  for number in 1 2 3 4; do
    start "companion-$number" bin/geraniumreachd companion --settings "$RUN/companion-$number.yaml"
  done
  standins call --quiet --wait-seconds 60 "$(url 51)/healthz" "$(url 52)/healthz"
}

try_by_hand() {
  cat <<TEXT
Everything is running; interrupt to end it. To try by hand:

  curl -s $(url 31)/v1/models -H "Authorization: Bearer \$(cat $RUN/keys/sabarmati-floor)"
  curl -N $(url 31)/v1/completions -H "Authorization: Bearer \$(cat $RUN/keys/sabarmati-floor)" \\
    -d '{"model": "rewind-3@v1", "prompt": "Draft a rewinding sheet.", "max_tokens": 20, "stream": true}'
  curl -s $(url 32)/v1/services/job-cards/book -H "Authorization: Bearer \$(cat $RUN/keys/sabarmati-counter)" \\
    -H "Idempotency-Key: by-hand-1" -d '{"booking": "by-hand-1"}'
  bin/geraniumreachctl --entry $(address 61) --credential-file $RUN/credential list account
  bin/geraniumreachctl --entry $(address 62) --credential-file $RUN/credential withdraw key siam-clerks-key
  curl -s $(url 51)/metrics
TEXT
  wait
}

build
rm -rf "$RUN"
mkdir -p "$RUN/keys"
chmod 700 "$RUN"
CREDENTIAL=$(secret)
printf '%s' "$CREDENTIAL" >"$RUN/credential"
for account in $ACCOUNTS; do
  secret >"$RUN/keys/$account"
done
write_entry 1 guj-west-1
write_entry 2 guj-west-2
write_companion 1 guj-west-1 engine-1 engine "$(address 10)"
write_companion 2 guj-west-2 engine-2 engine "$(address 11)"
write_companion 3 guj-west-3 engine-3 engine "$(address 12)"
write_companion 4 guj-west-1 job-cards-1 service "$(address 20)"
write_list
write_records
write_load
trap finish EXIT
trap 'exit 130' INT TERM

say "starting the stand-ins"
start_standins
say "starting two entries and four companions"
start_system
say "submitting $(grep -c '^---' "$RUN/records.yaml") records"
control submit "$RUN/records.yaml" >"$RUN/submit.log"
standins call --quiet --wait-seconds 60 "$(url 51)/readyz" "$(url 52)/readyz" \
  "$(url 81)/readyz" "$(url 82)/readyz" "$(url 83)/readyz" "$(url 84)/readyz"
require_running
say "sending a mix for $SECONDS_OF_LOAD s; sabarmati-reports sends several times its rate"
standins load --settings "$RUN/load.yaml" --out "$RUN/result.json"
require_running
say "every answer was whole, from the adapter and version named and for its own account; no refused request ran;"
say "each booking ran once; and no account got more than its rate and burst in any window"
if $KEEP; then
  try_by_hand
fi
