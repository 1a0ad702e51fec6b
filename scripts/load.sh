#!/usr/bin/env bash
# Runs loadgen against a system of today's size on loopback: four failure
# domains, 8 gateways, 9 engines, 4 plain services, as separate processes.
#
#   scripts/load.sh [RATE] [DURATION]      default: 200 requests/s for 20s
#
# With STOP=SECONDS one gateway is stopped gracefully after so many seconds.
# With ROLL=SECONDS all gateways are replaced one after the other from then on.
set -euo pipefail
source "$(dirname "$0")/lib.sh"
trap clean_up EXIT
export LOG_LEVEL=${LOG_LEVEL:-warn}

RATE=${1:-200}
DURATION=${2:-20s}
DOMAINS=(hall-a hall-b hall-c hall-d)
ENGINES=() APPS=() GATEWAYS=()

start_platform
for i in 1 2 3 4 5 6 7 8 9; do
  ENGINES+=("engine-$i")
  start "engine-$i" standin engine --platform "$PLATFORM" --id "engine-$i" --service spool-llm \
    --failure-domain "${DOMAINS[$((i % 4))]}" --class gpu-small --model spool-llm --model-version 2026-11
done
for i in 1 2 3 4; do
  APPS+=("app-$i")
  start "app-$i" standin plain --platform "$PLATFORM" --id "app-$i" --service auktion-app \
    --failure-domain "${DOMAINS[$((i % 4))]}" --class cpu-small --checks-fencing --finds-outcomes
done
for name in "${ENGINES[@]}" "${APPS[@]}"; do await_line "$name"; done
for i in 1 2 3 4 5 6 7 8; do
  GATEWAYS+=("gateway-$i")
  start_gateway "gateway-$i" "${DOMAINS[$((i % 4))]}"
done
for document in spool-llm auktion-app; do
  "$BIN/spoolctl" publish "$ROOT/examples/$document.toml" --platform "$PLATFORM" >/dev/null
done
for name in "${GATEWAYS[@]}"; do ready_or_fail "$name"; done

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
