#!/usr/bin/env bash
# Measures what control costs a process when no request comes: processor time, memory, and bytes over its links and to the
# platform, for fleets of several sizes. Prints a line for each process and size; slopes are worked out from these.
#
#   tools/idle-cost.sh [FILE]
#
# SIZES ("entries:engines ..."), SETTLE_SECONDS and SECONDS_OF_REST are taken from the environment. Bytes are those that the machine's
# sockets count, both ways, without the headers of TCP and IP. Needs ss (iproute2).
set -euo pipefail
cd "$(dirname "$0")/.."

SIZES=${SIZES:-"2:2 2:8 4:8 8:8"}
SECONDS_OF_REST=${SECONDS_OF_REST:-20}
SETTLE_SECONDS=${SETTLE_SECONDS:-60}   # until the Java machine has compiled what runs at rest
FILE=${1:-/dev/stdout}
PORT=${GERANIUMREACH_IDLE_PORT:-22000}
RUN=${RUN:-demo-run/idle}
SERVICES=1
ADAPTERS=10
ACCOUNTS=sabarmati-floor
# shellcheck source=tools/fleet.sh
. tools/fleet.sh

finish() {
  local code=$?
  trap - EXIT INT TERM
  stop_fleet
  exit "$code"
}

daemons() {
  local id
  for id in "${STARTED[@]}"; do
    if tr '\0' ' ' <"/proc/$id/cmdline" | grep -q 'daemon.Main'; then echo "$id"; fi
  done
}

name_of() { tr '\0' ' ' <"/proc/$1/cmdline" | grep -o '[a-z]*-[0-9]*\.yaml' | head -1; }

ticks_of() { awk '{print $14 + $15}' "/proc/$1/stat"; }

# Bytes sent and received by a process's sockets, and how many sockets it has.
traffic_of() {
  ss -tniHp | awk -v want="pid=$1," '
    /users:/ { mine = index($0, want) > 0; if (mine) sockets++ }
    { if (mine && match($0, /bytes_sent:[0-9]+/)) sent += substr($0, RSTART + 11, RLENGTH - 11)
      if (mine && match($0, /bytes_received:[0-9]+/)) received += substr($0, RSTART + 15, RLENGTH - 15) }
    END { printf "%d %d %d\n", sent, received, sockets }'
}

measure() { # entries, engines
  local id
  declare -A ticks sent received
  for id in $(daemons); do
    ticks[$id]=$(ticks_of "$id")
    read -r sent["$id"] received["$id"] _ < <(traffic_of "$id")
  done
  sleep "$SECONDS_OF_REST"
  for id in $(daemons); do
    read -r sent_now received_now sockets < <(traffic_of "$id")
    awk -v e="$1" -v c="$2" -v name="$(name_of "$id")" -v s="$SECONDS_OF_REST" \
      -v ticks="$(($(ticks_of "$id") - ticks[$id]))" -v hz="$(getconf CLK_TCK)" \
      -v out="$((sent_now - sent[$id]))" -v in_="$((received_now - received[$id]))" -v sockets="$sockets" \
      -v rss="$(ps -o rss= -p "$id")" 'BEGIN {
        printf "entries %d engines %d %-18s core %.2f %% resident %.0f MB sockets %d sent %.0f B/s received %.0f B/s\n",
          e, c, name, 100 * ticks / hz / s, rss / 1024, sockets, out / s, in_ / s }'
  done
}

build
trap finish EXIT
trap 'exit 130' INT TERM
{
  echo "load average before: $(cut -d' ' -f1-3 /proc/loadavg), processors: $(nproc)"
  for size in $SIZES; do
    ENTRIES=${size%%:*}
    ENGINES=${size##*:}
    write_fleet
    start_standins >&2
    start_system >&2
    submit_records >&2
    sleep "$SETTLE_SECONDS"
    measure "$ENTRIES" "$ENGINES"
    stop_fleet
    STARTED=()
  done
  echo "load average after: $(cut -d' ' -f1-3 /proc/loadavg)"
} >"$FILE"
