#!/usr/bin/env bash
# Searches for new failures with new seeds for a time in seconds: fuzz.sh 60s
# Prints how to reproduce a failure. The exit status is 1 if it found one.
set -uo pipefail
cd "$(dirname "$0")/.."
LIMIT=${1:-60s}
SECONDS_LEFT=$(( ${LIMIT%s} ))
END=$(( $(date +%s) + SECONDS_LEFT ))
# Checks per round: with 50, a round of all state machines takes some seconds.
export FUZZ_CHECKS=${FUZZ_CHECKS:-50}

MACHINES=$(grep -rl --include='*_test.go' 'testkit.FixSeed()' internal | xargs -n1 dirname | sort -u | sed 's#^#./#')
found=0 rounds=0
while [ "$(date +%s)" -lt "$END" ] && [ $found -eq 0 ]; do
  export FUZZ_SEED=$(( (RANDOM << 15) | RANDOM ))
  if ! output=$(go test -count=1 $MACHINES 2>&1); then
    echo "$output" | grep -v '^ok' | head -60
    echo "repeat: FUZZ_SEED=$FUZZ_SEED FUZZ_CHECKS=$FUZZ_CHECKS go test $(echo "$output" | awk '/^FAIL\t/{print $2}' | sort -u | paste -sd' ')"
    found=1
  fi
  rounds=$((rounds + 1))
done
# Then each coverage-guided target runs for a few seconds.
grep -rn --include='*_test.go' -o 'func Fuzz[A-Za-z0-9]*' internal platform | sed 's/:[0-9]*:func / /' | while read -r file target; do
  go test -run '^$' -fuzz "^$target\$" -fuzztime 5s "./$(dirname "$file")" >/dev/null 2>&1 || { echo "found by $target in $file"; exit 1; }
done || found=1
echo "$rounds rounds of the state machines, last seed $FUZZ_SEED, found: $found"
exit $found
