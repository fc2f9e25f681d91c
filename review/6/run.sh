#!/usr/bin/env bash
# Plays the case "smuggle" of review/standin2: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in bin/beechgrade bin/beechgrade-kit review/bin/standin2; do
  if [ ! -x "$program" ]; then echo "$program is missing: build it first" >&2; exit 2; fi
done
timeout -k 5 110 review/bin/standin2 smuggle "review/6" &
standin=$!
trap 'kill "$standin"' TERM INT
wait "$standin"
code=$?
trap - TERM INT
wait "$standin" 2>/dev/null # where a signal ended the first wait
[ "$code" -le 1 ] || code=2
exit "$code"
