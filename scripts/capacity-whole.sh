#!/usr/bin/env bash
# Measures real gateway processes, idle and under load, with several numbers of
# gateways, 9 engines and 4 plain services. Prints a table for docs/CAPACITY.md
# with means per gateway.
#
#   scripts/capacity-whole.sh [GATEWAYS...]      default: 2 4 8 16
set -euo pipefail
source "$(dirname "$0")/lib.sh"
trap clean_up EXIT
export LOG_LEVEL=warn
IDLE=${IDLE:-5}
LOAD_SECONDS=${LOAD_SECONDS:-6}
RATE=${RATE:-200}
TICKS=$(getconf CLK_TCK)

# metric NAME KEY prints an expvar counter of a gateway.
metric() {
  local host port
  IFS=: read -r host port <<<"$(field "$1" operators)"
  exec 3<>"/dev/tcp/$host/$port"
  printf 'GET /debug/vars HTTP/1.0\r\n\r\n' >&3
  sed -n 's/^"'"$2"'": \([0-9]*\),\{0,1\}$/\1/p' <&3
  exec 3<&-
}

# sample prints sums over all gateways: milliseconds of processor time, resident
# memory in KiB, bytes of heartbeats, and appends to the journal. The last number is
# the time in nanoseconds.
sample() {
  local name pid cpu=0 rss=0 bytes=0 appends=0 fields
  for name in "${GATEWAYS[@]}"; do
    pid=${PIDS[$name]}
    fields=($(sed 's/^.*) //' "/proc/$pid/stat"))
    cpu=$((cpu + (fields[11] + fields[12]) * 1000 / TICKS))
    rss=$((rss + $(awk '/^VmRSS/{print $2}' "/proc/$pid/status")))
    bytes=$((bytes + $(metric "$name" goldcrestspool.membership.bytes_sent) + $(metric "$name" goldcrestspool.membership.bytes_received)))
    appends=$((appends + $(metric "$name" goldcrestspool.calls.appends)))
  done
  echo "$cpu $rss $bytes $appends $(date +%s%N)"
}

# row LABEL BEFORE AFTER prints a row of the table from two samples.
row() {
  local b=($2) a=($3)
  awk -v label="$1" -v n="${#GATEWAYS[@]}" -v cpu=$((a[0] - b[0])) -v rss="${a[1]}" -v bytes=$((a[2] - b[2])) \
    -v appends=$((a[3] - b[3])) -v ns=$((a[4] - b[4])) 'BEGIN {
      s = ns / 1e9
      printf "| %d | %s | %.1f%% | %.0f | %.1f | %.0f |\n", n, label, cpu / 10 / s / n, rss / 1024 / n, bytes / 1000 / s / n, appends / s }'
}

echo "| gateways | state | of a core | MiB resident | heartbeats, KB/s | appends/s of all |"
echo "|---|---|---|---|---|---|"
for count in "${@:-2 4 8 16}"; do
  for n in $count; do
    start_system "$n" 9 4
    sleep 3
    before=$(sample)
    sleep "$IDLE"
    after=$(sample)
    row idle "$before" "$after"
    load=(--account "registrar=$TOKEN=3" --account trader=trader-token --booking-method place_bid)
    for name in "${GATEWAYS[@]}"; do load+=(--gateway "$(field "$name" callers)"); done
    for name in "${APPS[@]}"; do load+=(--plain "$(field "$name" address)"); done
    before=$(sample)
    "$BIN/loadgen" "${load[@]}" --rate "$RATE" --duration "${LOAD_SECONDS}s" >"$WORK/load.out" 2>&1 || echo "loadgen failed, see below" >&2
    after=$(sample)
    row "$RATE requests/s" "$before" "$after"
    [ -z "${VERBOSE:-}" ] || cat "$WORK/load.out" >&2
    for name in "${!PIDS[@]}"; do kill -KILL "${PIDS[$name]}" 2>/dev/null; wait "${PIDS[$name]}" 2>/dev/null || true; unset "PIDS[$name]"; done
  done
done
