#!/usr/bin/env bash
# Runs loadgen against a system of today's size on loopback: 8 gateways, 9 engines
# and 4 plain services in four failure domains, all as separate processes.
#
#   scripts/load.sh [RATE] [DURATION]      default: 200 requests/s for 20s
#
# GATEWAY_COUNT, ENGINE_COUNT and APP_COUNT set other numbers of processes.
# With STOP=SECONDS a gateway is stopped gracefully after that time.
# With ROLL=SECONDS all gateways are stopped gracefully after that time, one after
# the other.
set -euo pipefail
source "$(dirname "$0")/lib.sh"
trap clean_up EXIT
export LOG_LEVEL=${LOG_LEVEL:-warn}

RATE=${1:-200}
DURATION=${2:-20s}

start_system "${GATEWAY_COUNT:-8}" "${ENGINE_COUNT:-9}" "${APP_COUNT:-4}"

LOAD=(--account "registrar=$TOKEN=3" --account trader=trader-token)
for name in "${GATEWAYS[@]}"; do LOAD+=(--gateway "$(field "$name" callers)"); done
for name in "${APPS[@]}"; do LOAD+=(--plain "$(field "$name" address)"); done
"$BIN/loadgen" "${LOAD[@]}" --rate "$RATE" --duration "$DURATION" ${LOADGEN_FLAGS:-} &
LOADGEN=$!

if [ -n "${STOP:-}" ]; then
  sleep "$STOP"
  stop_all gateway-1
fi
if [ -n "${ROLL:-}" ]; then
  sleep "$ROLL"
  for name in "${GATEWAYS[@]}"; do stop_all "$name"; sleep 0.5; done
fi
wait "$LOADGEN"
stop_all "${GATEWAYS[@]}" && stop_all "${ENGINES[@]}" "${APPS[@]}" && stop_all platform
