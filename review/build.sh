#!/bin/sh
# Builds the stand-ins that the scripts of this folder start. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 go build -buildvcs=false -trimpath -o review/bin/ ./review/standin ./review/witness
