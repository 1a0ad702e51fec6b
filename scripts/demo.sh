#!/usr/bin/env bash
# Starts a small system of separate processes on loopback, requests a token
# stream, an idempotent call and a booking, and stops all processes gracefully.
# The exit status is 0 only if every answer was complete and correct.
#
#   scripts/demo.sh        run the requests and stop
#   scripts/demo.sh --up   keep the system running until Ctrl-C
set -euo pipefail
source "$(dirname "$0")/lib.sh"
trap clean_up EXIT

UPSTREAMS=(engine-1 engine-2 app-1)
GATEWAYS=(gateway-a gateway-b)
CONTROLLERS=(controller-a controller-b)

echo "starting"
start_platform
start engine-1 standin engine --platform "$PLATFORM" --id engine-1 --service spool-llm --failure-domain hall-a --class gpu-small --model spool-llm --model-version 2026-11
start engine-2 standin engine --platform "$PLATFORM" --id engine-2 --service spool-llm --failure-domain hall-b --class gpu-small --model spool-llm --model-version 2026-11
start app-1 standin plain --platform "$PLATFORM" --id app-1 --service auktion-app --failure-domain hall-a --class cpu-small --checks-fencing --finds-outcomes
for name in "${UPSTREAMS[@]}"; do await_line "$name"; done
start_gateway gateway-a hall-a
start_gateway gateway-b hall-b
start_controller controller-a hall-a gateway-a
start_controller controller-b hall-b gateway-b

echo "publishing"
for document in spool-llm auktion-app; do
  "$BIN/spoolctl" publish "$ROOT/examples/$document.toml" --platform "$PLATFORM"
done
for name in "${GATEWAYS[@]}" "${CONTROLLERS[@]}"; do ready_or_fail "$name"; done

CALLERS_A=$(field gateway-a callers)
CALLERS_B=$(field gateway-b callers)
OPERATORS_A=$(field gateway-a operators)

if [ "${1:-}" = --up ]; then
  cat <<EOF

running; Ctrl-C stops it
  callers      $CALLERS_A (hall-a)  $CALLERS_B (hall-b)  token $TOKEN
  operators    $OPERATORS_A  $(field gateway-b operators)
  platform     $PLATFORM
  logs         $WORK

try
  bin/caller --gateway $CALLERS_A --other $CALLERS_B --token $TOKEN
  bin/spoolctl status --gateway $OPERATORS_A
  bin/spoolctl history spool-llm --platform $PLATFORM
  bin/spoolctl publish examples/spool-llm.toml --platform $PLATFORM
  bin/spoolctl explain REQUEST_ID --gateway $OPERATORS_A
  bin/standin admin --platform $PLATFORM notice --id engine-1 --seconds 5
  bin/loadgen --gateway $CALLERS_A --gateway $CALLERS_B --account registrar=$TOKEN --account trader=trader-token --plain $(field app-1 address)
EOF
  # Ends the terminal's line with the "^C".
  trap echo INT
  wait "${PIDS[gateway-a]}" || true
  trap - INT
else
  echo "asking"
  "$BIN/caller" --gateway "$CALLERS_A" --other "$CALLERS_B" --token "$TOKEN"
  "$BIN/caller" --gateway "$CALLERS_B" --other "$CALLERS_A" --token "$TOKEN"
fi

echo "stopping"
stop_all "${GATEWAYS[@]}" "${CONTROLLERS[@]}"
stop_all "${UPSTREAMS[@]}"
stop_all platform
echo "done"
