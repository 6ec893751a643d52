# shellcheck shell=bash
# Functions to run a fleet of the system before stand-ins on loopback; sourced by demo.sh and tools/experiment.sh from the
# root of the repository. What is started is kept by process id and ended by it.

PORT=${PORT:-18000}                  # all ports are counted from this one
RUN=${RUN:-demo-run}                 # settings, keys and logs
ENTRIES=${ENTRIES:-2}
ENGINES=${ENGINES:-3}                # each with a companion
SERVICES=${SERVICES:-1}              # workers of the plain service, each with a companion
DOMAINS=${DOMAINS:-3}
SLOTS=${SLOTS:-8}
ADAPTERS=${ADAPTERS:-40}
ACCOUNTS=${ACCOUNTS:-"sabarmati-floor sabarmati-counter sabarmati-reports siam-clerks siam-inspectors"}
ENGINE_OPTIONS=${ENGINE_OPTIONS:-}   # more options of the stand-in engines
PLATFORM_OPTIONS=${PLATFORM_OPTIONS:-}
ENTRY_SETTINGS=${ENTRY_SETTINGS:-}   # more YAML for each entry
COMPANION_SETTINGS=${COMPANION_SETTINGS:-}
STARTED=()

# Offsets of ports; each group has room for a hundred.
PLATFORM=0 ENGINE=100 SERVICE=200 CALLERS=300 OPERATORS=350 ENTRY_LINK=400 ENTRY_MANAGEMENT=450 LINK=500 MANAGEMENT=600
ENGINE_ADMINISTRATION=90 SERVICE_ADMINISTRATION=91

address() { echo "127.0.0.1:$((PORT + $1))"; }
url() { echo "http://$(address "$1")"; }
standins() { tools/standins.sh "$@"; }
control() { bin/geraniumreachctl --entry "$(address $((OPERATORS + 1)))" --credential-file "$RUN/credential" "$@"; }
secret() { od -An -tx1 -N32 /dev/urandom | tr -d ' \n'; }
digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }
key_of() { cat "$RUN/keys/$1"; }
domain_of() { echo "guj-west-$((($1 - 1) % DOMAINS + 1))"; }
say() { printf '%s\n' "== $*"; }

# What each account may use; a script may define its own before it sources this.
if ! declare -F rate_of >/dev/null; then
  rate_of() { echo 3000; }
fi
if ! declare -F burst_of >/dev/null; then
  burst_of() { echo $((2 * $(rate_of "$1"))); }
fi

# A comma between lines for each number from 1 to the first argument; the rest is the command, given the number.
joined() {
  local count=$1 number
  shift
  for ((number = 1; number <= count; number++)); do
    if [ "$number" -gt 1 ]; then printf ','; fi
    "$@" "$number"
  done
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

# Ends what was started, the processes of the system before the stand-ins, and waits for each.
stop_fleet() {
  local index
  for ((index = ${#STARTED[@]} - 1; index >= 0; index--)); do
    kill -TERM "${STARTED[index]}" 2>/dev/null || true
  done
  for ((index = ${#STARTED[@]} - 1; index >= 0; index--)); do
    wait "${STARTED[index]}" 2>/dev/null || true
  done
  STARTED=()
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
  table: $(address $PLATFORM)
  objects: $(address $((PLATFORM + 1)))
  list: $(address $((PLATFORM + 3)))
YAML
}

write_entry() { # number
  local file=$RUN/entry-$1.yaml
  write_node "$file" entry "entry-$1" "$(domain_of "$1")" "$(address $((ENTRY_LINK + $1)))" \
    "$(address $((ENTRY_MANAGEMENT + $1)))"
  cat >>"$file" <<YAML
callers: $(address $((CALLERS + $1)))
operator:
  address: $(address $((OPERATORS + $1)))
  credentialDigest: $(digest "$(cat "$RUN/credential")")
requests:
  bytesPerToken: 4
$ENTRY_SETTINGS
YAML
}

# Companions are counted over engines and then workers of the service.
write_companion() { # number
  local file=$RUN/companion-$1.yaml name kind target
  if [ "$1" -le "$ENGINES" ]; then
    name=engine-$1 kind=engine target=$(address $((ENGINE + $1)))
  else
    name=job-cards-$(($1 - ENGINES)) kind=service target=$(address $((SERVICE + $1 - ENGINES)))
  fi
  write_node "$file" companion "companion-$1" "$(domain_of "$1")" "$(address $((LINK + $1)))" \
    "$(address $((MANAGEMENT + $1)))"
  cat >>"$file" <<YAML
target:
  name: $name
  kind: $kind
  address: $target
$COMPANION_SETTINGS
YAML
}

registration() { # instance, role, domain, link, management
  printf '{"instance":"%s","role":"%s","failureDomain":"%s","linkAddress":"%s","healthUrl":"%s/healthz"}\n' \
    "$1" "$2" "$3" "$(address "$4")" "$(url "$5")"
}
entry_registration() {
  registration "entry-$1" entry "$(domain_of "$1")" $((ENTRY_LINK + $1)) $((ENTRY_MANAGEMENT + $1))
}
companion_registration() {
  registration "companion-$1" companion "$(domain_of "$1")" $((LINK + $1)) $((MANAGEMENT + $1))
}

# Every third engine does not check fences, and the last account is of the first schema version.
write_records() {
  local number account last
  for account in $ACCOUNTS; do last=$account; done
  for account in $ACCOUNTS; do
    if [ "$account" = "$last" ]; then
      printf -- '--- {kind: account, name: %s, schemaVersion: 1, rate: %d, burst: %d}\n' \
        "$account" "$(rate_of "$account")" "$(burst_of "$account")"
    else
      printf -- '--- {kind: account, name: %s, schemaVersion: 2, tokensPerSecond: %d, burstTokens: %d}\n' \
        "$account" "$(rate_of "$account")" "$(burst_of "$account")"
    fi
    printf -- '--- {kind: key, name: %s-key, schemaVersion: 1, account: %s, digest: %s}\n' \
      "$account" "$account" "$(digest "$(key_of "$account")")"
  done
  for ((number = 0; number < ADAPTERS; number++)); do
    printf -- '--- {kind: adapter, name: rewind-%d, schemaVersion: 1, baseModel: winder, versions: [v1, v2]}\n' "$number"
  done
  for account in $ACCOUNTS; do
    printf -- '--- {kind: assignment, name: %s-all, schemaVersion: 2, account: %s, adapters: [%s]}\n' \
      "$account" "$account" "$(seq -s ', ' -f 'rewind-%g' 0 $((ADAPTERS - 1)))"
  done
  for ((number = 1; number <= ENGINES; number++)); do
    printf -- '--- {kind: target, name: engine-%d, schemaVersion: 1, failureDomain: %s, baseModel: winder, slots: %d, checksFence: %s}\n' \
      "$number" "$(domain_of "$number")" "$SLOTS" "$([ $((number % 3)) -eq 0 ] && echo false || echo true)"
  done
  printf -- '--- {kind: service, name: job-cards, schemaVersion: 1, operations: {book: {repeatable: false, tokens: 10}}}\n'
  for ((number = 1; number <= SERVICES; number++)); do
    printf -- '--- {kind: target, name: job-cards-%d, schemaVersion: 1, failureDomain: %s, service: job-cards, checksFence: false}\n' \
      "$number" "$(domain_of $((ENGINES + number)))"
  done
}

write_fleet() {
  local account number
  rm -rf "$RUN"
  mkdir -p "$RUN/keys"
  chmod 700 "$RUN"
  secret >"$RUN/credential"
  for account in $ACCOUNTS; do
    secret >"$RUN/keys/$account"
  done
  for ((number = 1; number <= ENTRIES; number++)); do
    write_entry "$number"
  done
  for ((number = 1; number <= ENGINES + SERVICES; number++)); do
    write_companion "$number"
  done
  {
    echo '['
    joined "$ENTRIES" entry_registration
    printf ','
    joined $((ENGINES + SERVICES)) companion_registration
    echo ']'
  } >"$RUN/list.json"
  write_records >"$RUN/records.yaml"
}

engine_port() { echo $((PORT + ENGINE + $1)); }
service_port() { echo $((PORT + SERVICE + $1)); }
ports_by_fence() { # whether it checks
  local number ports=
  for ((number = 1; number <= ENGINES; number++)); do
    if [ "$([ $((number % 3)) -eq 0 ] && echo false || echo true)" = "$1" ]; then
      ports=$ports${ports:+,}$(engine_port "$number")
    fi
  done
  echo "$ports"
}

start_standins() {
  # shellcheck disable=SC2086
  start platform tools/standins.sh platform --port "$PORT" $PLATFORM_OPTIONS
  # shellcheck disable=SC2086
  start engines tools/standins.sh engine --ports "$(ports_by_fence true)" --admin-port $((PORT + ENGINE_ADMINISTRATION)) \
    --weights "$(url $((PLATFORM + 2)))" --slots "$SLOTS" $ENGINE_OPTIONS
  if [ "$ENGINES" -ge 3 ]; then
    # shellcheck disable=SC2086
    start engines-without-fence tools/standins.sh engine --ports "$(ports_by_fence false)" \
      --admin-port $((PORT + ENGINE_ADMINISTRATION + 5)) --weights "$(url $((PLATFORM + 2)))" --slots "$SLOTS" \
      --ignore-fence $ENGINE_OPTIONS
    standins call --quiet --wait-seconds 60 "$(url $((ENGINE_ADMINISTRATION + 5)))/admin/parts"
  fi
  start service tools/standins.sh service --ports "$(joined "$SERVICES" service_port)" \
    --admin-port $((PORT + SERVICE_ADMINISTRATION))
  standins call --quiet --wait-seconds 60 "$(url $((PLATFORM + 4)))/admin/parts" \
    "$(url $ENGINE_ADMINISTRATION)/admin/parts" "$(url $SERVICE_ADMINISTRATION)/admin/parts"
  require_running
  standins call --quiet --post "$RUN/list.json" "$(url $((PLATFORM + 4)))/admin/instances?part=list"
}

urls() { # first port, count, path
  local number
  for ((number = 1; number <= $2; number++)); do
    echo "$(url $(($1 + number)))$3"
  done
}

quoted_urls() { # first port, count
  urls "$1" "$2" '' | sed 's/.*/"&"/' | paste -sd, -
}

start_system() {
  local number
  for ((number = 1; number <= ENTRIES; number++)); do
    start "entry-$number" bin/geraniumreachd entry --settings "$RUN/entry-$number.yaml"
  done
  for ((number = 1; number <= ENGINES + SERVICES; number++)); do
    start "companion-$number" bin/geraniumreachd companion --settings "$RUN/companion-$number.yaml"
  done
  # shellcheck disable=SC2046
  standins call --quiet --wait-seconds 60 $(urls $ENTRY_MANAGEMENT "$ENTRIES" /healthz)
  require_running
}

submit_records() {
  control submit "$RUN/records.yaml" >"$RUN/submit.log"
  # shellcheck disable=SC2046
  standins call --quiet --wait-seconds 60 $(urls $ENTRY_MANAGEMENT "$ENTRIES" /readyz) \
    $(urls $MANAGEMENT $((ENGINES + SERVICES)) /readyz)
  require_running
}

# The part of a load's settings that tells where the fleet is.
write_load_targets() {
  local number weight
  echo "entries:"
  for ((number = 1; number <= ENTRIES; number++)); do
    weight=1
    if [ "$number" -eq 1 ]; then weight=${SKEW:-1}; fi
    echo "  - {url: \"$(url $((CALLERS + number)))\", weight: $weight}"
  done
  echo "service: {name: job-cards, operation: book, ran: [$(quoted_urls $SERVICE "$SERVICES")]}"
  echo "engines: [$(quoted_urls $ENGINE "$ENGINES")]"
  echo "observed: {metrics: [$(quoted_urls $ENTRY_MANAGEMENT "$ENTRIES")], platform: \"$(url $((PLATFORM + 4)))\"}"
}
