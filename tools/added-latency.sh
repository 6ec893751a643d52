#!/usr/bin/env bash
# Measures what the system adds to a stand-in engine's times: alternates loads sent directly to the engines with the same
# loads sent through two entries, all adapters resident. Prints for each process its memory at rest and under load and its
# processor time, and writes the results to the directory named.
#
#   tools/added-latency.sh DIRECTORY
#
# ROUNDS, SECONDS_OF_LOAD, REQUESTS_PER_SECOND, TOKENS and ENGINES are taken from the environment.
set -euo pipefail
mkdir -p "$1"
DIRECTORY=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."

PORT=${GERANIUMREACH_LATENCY_PORT:-20000}
RUN=${RUN:-demo-run/latency}
ROUNDS=${ROUNDS:-3}
SECONDS_OF_LOAD=${SECONDS_OF_LOAD:-20}
REQUESTS_PER_SECOND=${REQUESTS_PER_SECOND:-500}
TOKENS=${TOKENS:-100}
ENGINES=${ENGINES:-4}
ADAPTERS=6
ACCOUNTS=sabarmati-floor
ENGINE_OPTIONS=${ENGINE_OPTIONS:---batch 512 --step-micros 5000 --stream-micros 5 --adapter-micros 50 --prefill-micros 2}
PLATFORM_OPTIONS="--loads 0"
rate_of() { echo 1000000; }
# shellcheck source=tools/fleet.sh
. tools/fleet.sh

finish() {
  local code=$?
  trap - EXIT INT TERM
  stop_fleet
  exit "$code"
}

write_load() { # mode, targets
  cat <<YAML
seed: 1
seconds: $SECONDS_OF_LOAD
warmupSeconds: 5
drainSeconds: 60
mode: $1
$2
accounts:
  - name: $ACCOUNTS
    key: $(key_of "$ACCOUNTS")
    requestsPerSecond: $REQUESTS_PER_SECOND
    streamedShare: 1
    promptCharacters: 100
    maximumTokens: $TOKENS
    adapters: {prefix: "rewind-", first: 0, count: $ADAPTERS, version: v1, zipfExponent: 0.9}
YAML
}

direct_targets() {
  local number
  echo "entries:"
  for ((number = 1; number <= ENGINES; number++)); do
    echo "  - {url: \"$(url $((ENGINE + number)))\", weight: 1}"
  done
}

processes() { # when
  local index id
  for ((index = 0; index < ${#STARTED[@]}; index++)); do
    id=${STARTED[index]}
    printf '%s %s resident %s kB, processor time %s: %s\n' "$1" "$id" $(ps -o rss=,time= -p "$id") \
      "$(tr '\0' ' ' <"/proc/$id/cmdline" | grep -o 'standins.Main .*\|daemon.Main .*' | cut -c1-70)"
  done
}

build
write_fleet
trap finish EXIT
trap 'exit 130' INT TERM
start_standins
start_system
submit_records
write_load ENTRY "$(write_load_targets)" >"$RUN/through.yaml"
write_load ENGINE "$(direct_targets)" >"$RUN/direct.yaml"
{
  echo "load average before: $(cut -d' ' -f1-3 /proc/loadavg)"
  processes "at rest"
  for ((round = 1; round <= ROUNDS; round++)); do
    for way in direct through; do
      say "$way, round $round"
      GERANIUMREACH_STANDINS_JAVA_OPTIONS="-Xmx512m" \
        standins load --settings "$RUN/$way.yaml" --out "$DIRECTORY/$way-$round.json" || echo "NOT ALL HELD"
    done
  done
  processes "after load"
  echo "load average after: $(cut -d' ' -f1-3 /proc/loadavg)"
} | tee "$DIRECTORY/added-latency.txt"
