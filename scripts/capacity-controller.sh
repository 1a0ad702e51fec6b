#!/usr/bin/env bash
# Measures what upstreams cost a controller: processor time, bytes read and
# written, and memory. It measures a controller that holds all leases and one that
# is no candidate for leases. All engines are registered with the address of the
# same stand-in.
#
#   scripts/capacity-controller.sh COUNT...     default: 8 64 128 256
set -uo pipefail
source "$(dirname "$0")/lib.sh"
trap clean_up EXIT
export LOG_LEVEL=error
readonly SETTLE=14 WINDOW=20

# usage NAME prints a process's milliseconds of processor time, bytes read and
# written, and resident memory in KB.
usage() {
  local pid=${PIDS[$1]}
  awk '{printf "%d ", ($14 + $15) * 10}' "/proc/$pid/stat"
  awk '/^[rw]char/ {s += $2} END {printf "%d ", s}' "/proc/$pid/io"
  awk '/VmRSS/ {print $2}' "/proc/$pid/status"
}

# measure COUNT runs the system with so many engines and prints a line for each
# controller.
measure() {
  local engines=$1 i name cpu bytes rss cpu_before bytes_before
  local -A before
  start_platform
  start engine-1 standin engine --platform "$PLATFORM" --id engine-1 --service spool-llm --failure-domain hall-a \
    --class gpu-small --model spool-llm --model-version 2026-11
  await_line engine-1
  "$BIN/standin" admin --platform "$PLATFORM" register --id holder --failure-domain hall-a --address 127.0.0.1:9 >/dev/null
  for i in $(seq 2 "$engines"); do
    "$BIN/standin" admin --platform "$PLATFORM" register --id "engine-$i" --role engine --service spool-llm \
      --class gpu-small --failure-domain hall-a --address "$(field engine-1 address)" >/dev/null
  done
  sed "s/^min = .*/min = $engines/; s/^max = .*/max = $engines/" "$ROOT/examples/spool-llm.toml" >"$WORK/spool-llm.toml"
  "$BIN/spoolctl" publish "$WORK/spool-llm.toml" --platform "$PLATFORM" >/dev/null
  for name in holder watcher; do start_controller "$name" hall-a; done
  sleep $SETTLE
  for name in holder watcher; do before[$name]=$(usage $name); done
  sleep $WINDOW
  for name in holder watcher; do
    read -r cpu bytes rss < <(usage $name)
    read -r cpu_before bytes_before _ <<<"${before[$name]}"
    echo "engines=$engines $name cpu_ms_per_s=$(((cpu - cpu_before) / WINDOW)) bytes_per_s=$(((bytes - bytes_before) / WINDOW)) rss_kb=$rss"
  done
  stop_all holder watcher
  stop_all engine-1 platform
}

[ $# -gt 0 ] || set -- 8 64 128 256
for size in "$@"; do measure "$size"; done
