#!/usr/bin/env bash
# Runs all tests with the race detector.
#
# The detector's own runtime sometimes crashes in a test binary that starts
# hundreds of thousands of goroutines (seen with Go 1.26: "ThreadSanitizer: CHECK
# failed: tsan_rtl.cpp", or a SIGSEGV within it, in 2 of 29 runs of the state
# machine of internal/controllers/configuration). Such a crash says nothing about
# the code: no test has failed and no race was reported. Only in this case the
# script runs the package again, at most twice, and prints that it does. After a
# failed test, a reported race, a panic or a timeout it fails at once.
set -uo pipefail
cd "$(dirname "$0")/.."
GO=${GO:-go}
OUT=$(mktemp)
trap 'rm -f "$OUT"' EXIT

# verdict_missing succeeds if the output in $1 shows a crash of the detector's
# runtime and no failure of the code.
verdict_missing() {
  grep -qE '^ThreadSanitizer: CHECK failed|^SIGSEGV: segmentation violation$' "$1" &&
    ! grep -qE '^\s*--- FAIL|WARNING: DATA RACE|^panic: |\[build failed\]|\[setup failed\]' "$1"
}

# Tests in KNOWN-RED.txt, whose lines begin with "(test NAME)", are skipped and their names
# printed.
skip=()
red=$(scripts/known-red.sh)
if [ -n "$red" ]; then
  echo "known red, passed over: $red"
  skip=(-skip "$red")
fi

packages=(./...)
for attempt in 1 2 3; do
  "$GO" test -race "${skip[@]}" "${packages[@]}" 2>&1 | tee "$OUT" | grep -v '\[no test files\]'
  status=${PIPESTATUS[0]}
  [ "$status" -eq 0 ] && exit 0
  verdict_missing "$OUT" || exit "$status"
  mapfile -t packages < <(awk '/^FAIL\t/ {print $2}' "$OUT")
  [ "${#packages[@]}" -gt 0 ] || exit "$status"
  echo "the race detector's runtime ended these before their verdict; running them again: ${packages[*]}"
done
exit 1
