#!/usr/bin/env bash
# Runs every test that docs/PROMISES.md names, with the race detector, and
# prints a line for each:  PROMISE n name ok|FAILED|not proved
# A named test that does not exist counts as failed.
#
# The script reads two kinds of lines below a heading "## N. ...":
#   - `./package` `TestName`, `TestOther` text
#   - not proved: text
set -uo pipefail
cd "$(dirname "$0")/.."
PAGE=docs/PROMISES.md

# Each line: promise, package, test.
NAMED=$(awk '
  /^## [0-9]+\. /   { split($2, n, "."); promise = n[1] }
  /^- `\.\/[^`]*` `Test[^`]*`/ {
    fields = split($0, part, "`")
    for (i = 4; i <= fields; i += 2) if (part[i] ~ /^Test/) print promise, part[2], part[i]
  }' "$PAGE")
[ -n "$NAMED" ] || { echo "no tests named in $PAGE"; exit 1; }

RESULTS=$(mktemp)
trap 'rm -f "$RESULTS"' EXIT
# run_tests PACKAGE TESTS appends "PACKAGE TEST PASS|FAIL|SKIP" to RESULTS for each
# test.
run_tests() {
  local race=-race
  # The race detector would take the cores that the separate processes need.
  [ "$1" = ./internal/e2e ] && race=-tags=e2e
  go test "$race" -count=1 -v -run "^($2)\$" "$1" 2>&1 |
    awk -v p="$1" '/^--- (PASS|FAIL|SKIP): /{sub(":", "", $2); print p, $3, $2}' >>"$RESULTS"
}

for package in $(awk '{print $2}' <<<"$NAMED" | sort -u); do
  tests=$(awk -v p="$package" '$2 == p {print $3}' <<<"$NAMED" | sort -u | paste -sd'|')
  run_tests "$package" "$tests"
done

passed=0 failed=0
while read -r promise package name; do
  if grep -qx "$package $name PASS" "$RESULTS" && ! grep -q "^$package $name FAIL" "$RESULTS"; then
    echo "PROMISE $promise $name ok"
    passed=$((passed + 1))
  else
    echo "PROMISE $promise $name FAILED"
    failed=$((failed + 1))
  fi
done <<<"$NAMED"
awk '
  /^## [0-9]+\. /    { split($2, n, "."); promise = n[1] }
  /^- not proved: / { sub("^- not proved: ", ""); print "PROMISE " promise " " $0 " not proved" }' "$PAGE"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
