#!/bin/sh
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/beechgrade ] || [ ! -x review/bin/standin ]; then
  echo "not built: run the build of deploy/balancer.toml, then review/build.sh" >&2
  exit 2
fi
timeout --kill-after=5 110 review/bin/standin second-copy review/2/record.txt &
standin=$!
trap 'kill "$standin"' TERM INT
wait "$standin"
code=$?
trap - TERM INT
wait "$standin" 2>/dev/null # where a signal ended the first wait
[ "$code" -le 1 ] || code=2
exit "$code"
