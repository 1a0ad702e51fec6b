# Functions that start the processes of a small system on loopback. Other scripts
# source this file. It needs bash and the programs under bin/.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BIN="$ROOT/bin"
WORK=$(mktemp -d)
TOKEN=demo-token
declare -A PIDS

# start NAME PROGRAM ARGS... starts a process in the background. Its output goes to
# $WORK/NAME.out and .err. The process gets its own process group. Otherwise Ctrl-C
# would send it a signal too; together with the SIGTERM of stop_all it would get
# two signals and exit at once instead of gracefully.
start() {
  local name=$1
  shift
  set -m
  "$BIN/$1" "${@:2}" >"$WORK/$name.out" 2>"$WORK/$name.err" &
  PIDS[$name]=$!
  set +m
}

# await_line NAME waits until the process has printed its addresses.
await_line() {
  local i
  for i in $(seq 200); do
    grep -q '"event":"listening"' "$WORK/$1.out" 2>/dev/null && return 0
    kill -0 "${PIDS[$1]}" 2>/dev/null || break
    sleep 0.05
  done
  echo "$1 does not listen:" >&2
  cat "$WORK/$1.err" >&2
  return 1
}

# field NAME KEY prints a field of the line of JSON that a process printed.
field() {
  sed -n 's/.*"'"$2"'":"\([^"]*\)".*/\1/p' "$WORK/$1.out" | head -1
}

# digest TEXT prints the text's SHA-256 in hexadecimal.
digest() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

# gateway_settings NAME FAILURE_DOMAIN prints the settings of a gateway.
gateway_settings() {
  instance_settings "$1" "$2"
  cat <<EOF
[limits]
stop_timeout = "20s"
[[client_accounts]]
name = "registrar"
token_sha256 = "$(digest "$TOKEN")"
[[client_accounts]]
name = "trader"
token_sha256 = "$(digest trader-token)"
EOF
}

# instance_settings INSTANCE FAILURE_DOMAIN prints the settings that a gateway and
# the controller of the same instance share. A controller needs no others.
instance_settings() {
  cat <<EOF
[instance]
id = "$1"
region = "tirol"
failure_domain = "$2"
incarnation = 1
[platform]
address = "http://$PLATFORM"
[log]
level = "${LOG_LEVEL:-info}"
EOF
}

# start_platform starts the platform stand-in and sets PLATFORM.
start_platform() {
  start platform standin platform
  await_line platform
  PLATFORM=$(field platform address)
}

# start_gateway NAME FAILURE_DOMAIN starts a gateway and registers it with the
# platform stand-in.
start_gateway() {
  gateway_settings "$1" "$2" >"$WORK/$1.toml"
  start "$1" gateway --settings "$WORK/$1.toml"
  await_line "$1"
  "$BIN/standin" admin --platform "$PLATFORM" register --id "$1" --incarnation 1 --region tirol \
    --failure-domain "$2" --address "$(field "$1" callers)" --peer-address "$(field "$1" peers)" >/dev/null
}

# start_controller NAME FAILURE_DOMAIN [INSTANCE] starts a controller. It is a
# candidate for leases only if its instance is registered with the platform.
start_controller() {
  instance_settings "${3:-$1}" "$2" >"$WORK/$1.toml"
  start "$1" controller --settings "$WORK/$1.toml"
  await_line "$1"
}

# start_system GATEWAYS ENGINES APPS starts a whole system in four failure domains,
# publishes its documents and waits until every gateway is ready. The arguments are
# numbers of processes; their names are then in the arrays GATEWAYS, ENGINES and
# APPS.
start_system() {
  local i name document domains=(hall-a hall-b hall-c hall-d)
  GATEWAYS=() ENGINES=() APPS=()
  start_platform
  for i in $(seq "$2"); do
    ENGINES+=("engine-$i")
    start "engine-$i" standin engine --platform "$PLATFORM" --id "engine-$i" --service spool-llm \
      --failure-domain "${domains[$((i % 4))]}" --class gpu-small --model spool-llm --model-version 2026-11
  done
  for i in $(seq "$3"); do
    APPS+=("app-$i")
    start "app-$i" standin plain --platform "$PLATFORM" --id "app-$i" --service auktion-app \
      --failure-domain "${domains[$((i % 4))]}" --class cpu-small --checks-fencing --finds-outcomes
  done
  for name in "${ENGINES[@]}" "${APPS[@]}"; do await_line "$name"; done
  for i in $(seq "$1"); do
    GATEWAYS+=("gateway-$i")
    start_gateway "gateway-$i" "${domains[$((i % 4))]}"
  done
  for document in spool-llm auktion-app; do
    "$BIN/spoolctl" publish "$ROOT/examples/$document.toml" --platform "$PLATFORM" >/dev/null
  done
  for name in "${GATEWAYS[@]}"; do ready_or_fail "$name"; done
}

# ready_or_fail NAME waits until the process reports at its operators' address that
# it is ready.
ready_or_fail() {
  local i host port status
  IFS=: read -r host port <<<"$(field "$1" operators)"
  for i in $(seq 200); do
    exec 3<>"/dev/tcp/$host/$port"
    printf 'GET /readyz HTTP/1.0\r\n\r\n' >&3
    status=$(head -1 <&3)
    exec 3<&-
    [[ $status == *" 200 "* ]] && return 0
    sleep 0.1
  done
  echo "$1 is not ready: $status" >&2
  cat "$WORK/$1.err" >&2
  return 1
}

# stop_all NAMES... stops processes gracefully and returns 1 if one of them did not
# exit with status 0. A process may have ended before, for example if it was
# reclaimed. Its signal then fails, which is ignored: with set -e it would end the
# script while the other processes still run.
stop_all() {
  local name failed=0
  for name in "$@"; do
    [ -n "${PIDS[$name]:-}" ] || continue
    kill -TERM "${PIDS[$name]}" 2>/dev/null || true
  done
  for name in "$@"; do
    [ -n "${PIDS[$name]:-}" ] || continue
    if ! wait "${PIDS[$name]}"; then
      echo "$name did not stop with 0:" >&2
      tail -5 "$WORK/$name.err" >&2
      failed=1
    fi
    unset "PIDS[$name]"
  done
  return $failed
}

# clean_up kills the processes that still run, by process ID, and removes the work
# folder. As in stop_all, signals to processes that have ended fail and are ignored.
clean_up() {
  local name
  for name in "${!PIDS[@]}"; do
    kill -KILL "${PIDS[$name]}" 2>/dev/null || true
  done
  rm -rf "$WORK"
}
