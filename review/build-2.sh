#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, and the programs of the deploy file if they are not there.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x bin/beechgrade ] || [ ! -x bin/beechgrade-kit ]; then
  sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)"
fi
mkdir -p review/bin
CGO_ENABLED=0 go build -buildvcs=false -trimpath -o review/bin/standin2 ./review/standin2
