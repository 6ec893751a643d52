#!/usr/bin/env bash
# Compares configurations of the system by alternating runs on real processes, and writes a report.
#
#   tools/experiment.sh DIRECTORY
#
# DIRECTORY holds one NAME.entry.yaml for each configuration, YAML that is added to each entry's settings, and perhaps a
# NAME.companion.yaml. Results go to DIRECTORY/results, the report to DIRECTORY/report. The size is set by ROUNDS, ENTRIES,
# ENGINES, SERVICES, SLOTS, ADAPTERS, SECONDS_OF_LOAD, REQUESTS_PER_SECOND (of the smallest account), SKEW, ENGINE_OPTIONS
# and PLATFORM_OPTIONS in the environment. The stand-ins and the records stay; engines and processes start anew for each run.
set -euo pipefail
DIRECTORY=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."

PORT=${GERANIUMREACH_EXPERIMENT_PORT:-19000}
RUN=${RUN:-demo-run/experiment}
ROUNDS=${ROUNDS:-5}
SECONDS_OF_LOAD=${SECONDS_OF_LOAD:-30}
REQUESTS_PER_SECOND=${REQUESTS_PER_SECOND:-2}
ENGINES=${ENGINES:-6}
ADAPTERS=${ADAPTERS:-200}
SKEW=${SKEW:-4}
# Entries that start anew may find budget shares still held in the name of those before them, which are taken back only
# after their quarantine. Without the wait, a run measures that and not its configuration.
SETTLE_SECONDS=${SETTLE_SECONDS:-30}
# A few accounts are large; sabarmati-reports sends five times its rate.
requests_of() {
  case $1 in
    sabarmati-floor) echo $((4 * REQUESTS_PER_SECOND)) ;;
    siam-clerks) echo $((3 * REQUESTS_PER_SECOND)) ;;
    *) echo "$REQUESTS_PER_SECOND" ;;
  esac
}
# A request uses about 100 tokens; rates are twice what is sent, but for the account above its rate.
rate_of() {
  if [ "$1" = sabarmati-reports ]; then
    echo $((20 * $(requests_of "$1")))
  else
    echo $((200 * $(requests_of "$1")))
  fi
}
burst_of() { echo $((500 + 2 * $(rate_of "$1"))); }
# shellcheck source=tools/fleet.sh
. tools/fleet.sh

finish() {
  local code=$?
  trap - EXIT INT TERM
  stop_fleet
  exit "$code"
}

write_load() { # seed
  local account
  cat <<YAML
seed: $1
seconds: $SECONDS_OF_LOAD
warmupSeconds: 10
drainSeconds: 60
$(write_load_targets)
accounts:
YAML
  for account in $ACCOUNTS; do
    cat <<YAML
  - name: $account
    key: $(key_of "$account")
    requestsPerSecond: $(requests_of "$account")
    streamedShare: 1
    chatShare: 0.5
    promptCharacters: 160
    maximumTokens: 60
    tokensPerSecond: $(rate_of "$account")
    burstTokens: $(burst_of "$account")
    adapters: {prefix: "rewind-", first: 0, count: $ADAPTERS, version: v1, zipfExponent: 1.0}
YAML
  done
}

restart_engines() {
  local number
  echo '{}' >"$RUN/empty.json"
  for ((number = 1; number <= ENGINES; number++)); do
    local administration=$ENGINE_ADMINISTRATION
    if [ $((number % 3)) -eq 0 ]; then administration=$((ENGINE_ADMINISTRATION + 5)); fi
    standins call --quiet --post "$RUN/empty.json" \
      "$(url $administration)/admin/restart?part=engine-$(engine_port "$number")"
  done
}

# Ends the processes of the system and leaves the stand-ins, which were started first.
stop_system() {
  local standins=("${STARTED[@]:0:$STANDINS}")
  STARTED=("${STARTED[@]:$STANDINS}")
  stop_fleet
  STARTED=("${standins[@]}")
}

configure() { # configuration
  local number
  ENTRY_SETTINGS=$(cat "$DIRECTORY/$1.entry.yaml")
  COMPANION_SETTINGS=$(cat "$DIRECTORY/$1.companion.yaml" 2>/dev/null || true)
  for ((number = 1; number <= ENTRIES; number++)); do
    write_entry "$number"
  done
  for ((number = 1; number <= ENGINES + SERVICES; number++)); do
    write_companion "$number"
  done
}

await_ready() {
  # shellcheck disable=SC2046
  standins call --quiet --wait-seconds 120 $(urls $ENTRY_MANAGEMENT "$ENTRIES" /readyz) \
    $(urls $MANAGEMENT $((ENGINES + SERVICES)) /readyz)
}

run_once() { # configuration, round
  local result=$DIRECTORY/results/$1-$2.json
  say "$1, round $2"
  configure "$1"
  restart_engines
  start_system
  await_ready
  sleep "$SETTLE_SECONDS"
  write_load "$2" >"$RUN/load.yaml"
  standins load --settings "$RUN/load.yaml" --out "$result" || echo "NOT ALL HELD in $1, round $2"
  stop_system
}

build
write_fleet
mkdir -p "$DIRECTORY/results"
trap finish EXIT
trap 'exit 130' INT TERM
start_standins
STANDINS=${#STARTED[@]}
mapfile -t CONFIGURATIONS < <(cd "$DIRECTORY" && ls -- *.entry.yaml | sed 's/\.entry\.yaml$//')
configure "${CONFIGURATIONS[0]}"
start_system
submit_records
stop_system
for ((round = 1; round <= ROUNDS; round++)); do
  for configuration in "${CONFIGURATIONS[@]}"; do
    run_once "$configuration" "$round"
  done
done
standins report --out "$DIRECTORY/report" "$DIRECTORY"/results/*.json | tee "$DIRECTORY/report.txt"
